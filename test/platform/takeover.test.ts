/** Changes of primary by a front that has not seen earlier ones. */
import test from 'ava';
import {openSession, startFleet, until} from './fleet_fixture.js';

// Guards against the loss of acknowledged commits: a pause at a term that is
// not above the present one has no effect, so replicas go on acknowledging
// commits of a primary that is only lost to the fronts.
test('a front that missed a change of primary promotes only with paused replicas', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const {group, fronts} = fleet;
  const session = await openSession(fronts[0], 'primary', 'ana-key');
  t.truthy((await session.query('WRITE k v1')).done);
  const [, second] = group.databases;
  const isSecondListed = (): boolean =>
    fronts[0]
      .events('database_listed')
      .some(({database, leads}) => database === second.id && leads === true);
  // Another front had the coordinator lease then, and no statement has come
  // since that would have shown the new term.
  group.promote(second.id);
  await until(isSecondListed);
  const promote = group.promote.bind(group);
  const receiving: string[][] = [];
  group.promote = id => {
    const replicas = group.databases.filter(database => database.isRunning);
    receiving.push(replicas.filter(d => !d.isPaused).map(d => d.id));
    return promote(id);
  };
  await second.crash();
  void session.query('WRITE k v2');
  await until(() => group.primary !== second);
  t.deepEqual(receiving, [[]]);
});
