/**
 * Changes of primary on a platform without fencing: a former primary accepts
 * writes until it is ordered to step down, and a late promotion order is still
 * carried out.
 */
import test from 'ava';
import {
  openSession,
  operatorConfig,
  startFront,
  until,
} from './fleet_fixture.js';
import {StandinGroup} from './standin_database.js';
import {StandinStore} from './standin_store.js';

/** Starts two fronts for one service on a platform without fencing. */
async function startUnfencedFleet(acceptsStepDown: boolean) {
  const group = await StandinGroup.start('orders', [
    'norte',
    'puerto',
    'parque',
  ]);
  group.fencesFormerPrimary = false;
  group.acceptsStepDown = acceptsStepDown;
  const store = await StandinStore.start([group]);
  store.put('op/config', operatorConfig('orders'));
  const fronts = [
    await startFront('front-1', 'norte', store, {isFenced: false}),
    await startFront('front-2', 'puerto', store, {isFenced: false}),
  ];
  await until(() => fronts.every(({front}) => front.isReady));
  const stop = async (): Promise<void> => {
    await Promise.all(fronts.map(({front}) => front.stop()));
    await group.stop();
    await store.stop();
  };
  return {group, store, fronts, stop};
}

for (const acceptsStepDown of [true, false]) {
  const how = acceptsStepDown ? 'steps down' : 'ignores the order to step down';
  test(`a former primary that ${how} gets no more work that needs the primary`, async t => {
    const {group, store, fronts, stop} =
      await startUnfencedFleet(acceptsStepDown);
    t.teardown(stop);
    const [old] = group.databases;
    let ended = false;
    const readers = await Promise.all(
      fronts.map(front => openSession(front, 'primary', 'ana-key')),
    );
    const reading = readers.map(async reader => {
      while (!ended) {
        const {error} = await reader.query('READ k');
        if (error) await new Promise(resolve => setTimeout(resolve, 5));
      }
    });
    await until(() => old.executedStatements.length > 20);
    old.isDraining = true;
    store.registerDatabases();
    await until(() => group.databases.some(d => d !== old && d.isPrimary));
    const successor = group.databases.find(d => d !== old && d.isPrimary);
    await until(
      () =>
        successor?.executedStatements.some(run => run.needsPrimary) === true,
      12_000,
    );
    ended = true;
    await Promise.all(reading);
    const late = old.executedStatements.filter(
      run => run.needsPrimary && run.executedAtMs > group.promotedAtMs,
    );
    t.deepEqual(late, []);
  });
}

test('a former primary that registers again is not accepted as leader', async t => {
  const {group, store, fronts, stop} = await startUnfencedFleet(false);
  t.teardown(stop);
  const [old] = group.databases;
  old.isDraining = true;
  store.registerDatabases();
  const session = await openSession(fronts[0], 'primary', 'ana-key');
  await until(() => group.promotedAtMs < Infinity);
  let served = false;
  const endMs = performance.now() + 8_000;
  while (!served && performance.now() < endMs) {
    served = (await session.query('WRITE k v')).done !== undefined;
  }
  t.true(served);
  store.remove(`servers/${old.id}`);
  // Longer than fronts keep a database whose entry is missing, so that the
  // claim of `old` to lead counts as a new claim.
  await new Promise(resolve => setTimeout(resolve, 3_600));
  old.isDraining = false;
  store.registerDatabases();
  await new Promise(resolve => setTimeout(resolve, 500));
  const before = old.executedStatements.length;
  for (let n = 0; n < 20; n++) await session.query('READ k');
  t.deepEqual(
    old.executedStatements.slice(before).filter(run => run.needsPrimary),
    [],
  );
  t.deepEqual((await session.query('READ k')).rows, ['v']);
});
