/** Changes of primary by a front that has not seen earlier ones. */
import test from 'ava';
import {databaseCodec} from '../../platform/wire.js';
import {KnownDatabase} from '../../src/core/directory.js';
import {CoordinatorLease} from '../../src/front/coordinator_lease.js';
import {Leadership} from '../../src/front/leadership.js';
import {TakeoverRunner} from '../../src/front/takeover_runner.js';
import {openSession, startFleet, until, ZONES} from './fleet_fixture.js';
import {StandinDatabase, StandinGroup} from './standin_database.js';

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

const entryOf = ({
  id,
  port,
  zone,
  isPrimary,
}: StandinDatabase): KnownDatabase => ({
  id,
  service: 'orders',
  host: '127.0.0.1',
  port,
  zone,
  slots: 2,
  leaving: false,
  remainingWarmUpMs: 0,
  isLeader: isPrimary,
  startedAtUnixMs: 1,
  sequence: 1,
  place: {zone, region: zone},
  leaderSinceRevision: isPrimary ? 1 : 0,
  missingSinceMs: undefined,
  isPresumedAlive: false,
});

// Guards against the loss of acknowledged commits: another front that held the
// lease between may have let the replicas receive the log again.
test('an attempt orders nothing in a later tenure of the coordinator lease', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const lease = {
    isHeld: true,
    tenure: 1,
    currentFencingToken: 5,
    heldForMs: 60_000,
  };
  const entries = group.databases.map(entryOf);
  const orders: string[] = [];
  let ended = false;
  const runner = TakeoverRunner.create({
    self: 'front-1',
    coordinatorLease: lease as unknown as CoordinatorLease,
    codec: databaseCodec,
    promote: async ({database}) => {
      orders.push(database);
      return 'done';
    },
    directory: () => new Map(entries.map(entry => [entry.id, entry])),
    serviceOf: name => ({name, maxConnections: 16, syncReplicas: 1}),
    leaderOf: () => entries[0],
    serviceNames: () => ['orders'],
    // Called while the attempt pauses the replicas.
    termOf: () => {
      lease.tenure = 2;
      return 1;
    },
    collectVotes: () => Promise.resolve([false]),
    leadership: {
      isEnabled: false,
      latestRecord: () => undefined,
    } as unknown as Leadership,
    log: event => {
      if (event === 'takeover_ended') ended = true;
    },
  });
  t.teardown(async () => {
    runner.close();
    await group.stop();
  });
  runner.reportSuspect('orders', entries[0].id);
  await until(() => ended || orders.length > 0);
  t.deepEqual(orders, []);
});
