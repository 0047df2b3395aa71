/** Changes of primary by a front that has not seen earlier ones. */
import test, {ExecutionContext} from 'ava';
import {databaseCodec} from '../../platform/wire.js';
import {KnownDatabase} from '../../src/core/directory.js';
import {FailingVote} from '../../src/core/load/failing_primary.js';
import {Evacuations} from '../../src/core/evacuation.js';
import {CoordinatorLease} from '../../src/front/coordinator_lease.js';
import {Leadership} from '../../src/front/leadership.js';
import {hasStopped} from '../../src/core/takeover.js';
import {pauseReplicas} from '../../src/front/replica_pause.js';
import {ReplicaResumer} from '../../src/front/replica_resumer.js';
import {UnconfirmedOrders} from '../../src/front/unconfirmed_orders.js';
import {PromotionOrder, PromotionOutcome} from '../../src/front/promoter.js';
import {
  TakeoverOptions,
  TakeoverRunner,
} from '../../src/front/takeover_runner.js';
import {pause} from '../../src/front/timeout.js';
import {openSession, startFleet, until, ZONES} from './fleet_fixture.js';
import {StandinDatabase, StandinGroup} from './standin_database.js';

/** Longer than a front without the lease takes to see a primary. */
const SEEN_MS = 400;
/** Less than a primary that was never seen is waited for. */
const LEADERLESS_LIMIT_MS = 3_000;

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
  receivedAtMs: 0,
  coldUntilMs: 0,
  leaderSinceRevision: isPrimary ? 1 : 0,
  missingSinceMs: undefined,
  isPresumedAlive: false,
});

// Guards against a service that is never served again: a database led for a
// moment, sent its log to nobody and ended, and each pause is at its term.
test('replicas that have not heard of the newest term are paused above it', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  t.teardown(() => group.stop());
  group.term = 3;
  const [, ...replicas] = group.databases;
  const commit = {term: 1, offset: 1, item: 'k', data: 'v', requestId: 'r'};
  for (const replica of replicas) {
    replica.heardTerm = 1;
    replica.log.push(commit);
  }
  const entries = replicas.map(entryOf);
  const {term, reports} = await pauseReplicas(
    entries,
    2,
    databaseCodec,
    () => true,
  );
  t.is(term, 4);
  t.is(reports.filter(({report}) => hasStopped(report, term)).length, 2);
});

/** The leader records of the only front, on a platform with fencing. */
function createLeadership(lease: CoordinatorLease): Leadership {
  return Leadership.create({
    isFenced: true,
    prefix: 'own/',
    storedItems: () => new Map(),
    knownRevision: () => Infinity,
    fronts: () => new Map(),
    listFronts: () => Promise.resolve([]),
    isFreshAndRegistered: () => true,
    areRecordsComplete: () => true,
    era: () => 0,
    maxConfigAgeMs: 4_800,
    coordinatorLease: () => lease,
    codec: databaseCodec,
    announce: () => Promise.resolve(undefined),
    abortPrimaryWorkExcept: () => undefined,
    stopCommitsExcept: () => Promise.resolve(),
    log: () => undefined,
  });
}

/** A runner for a group, with a lease and a platform that tests control. */
function createRunner(
  t: ExecutionContext,
  group: StandinGroup,
  overrides: Partial<TakeoverOptions> = {},
) {
  let revision = 0;
  const lease = {
    isHeld: true,
    tenure: 1,
    currentFencingToken: 5,
    heldForMs: 60_000,
    raiseFencingToken: async () => ++lease.currentFencingToken,
    write: async () => ++revision,
  };
  const leadership = createLeadership(lease as unknown as CoordinatorLease);
  const entries = group.databases.map(entryOf);
  const orders: PromotionOrder[] = [];
  const events: string[] = [];
  const runner = TakeoverRunner.create({
    self: 'front-1',
    coordinatorLease: lease as unknown as CoordinatorLease,
    codec: databaseCodec,
    promote: async order => {
      orders.push(order);
      return 'done';
    },
    directory: () => new Map(entries.map(entry => [entry.id, entry])),
    serviceOf: name => ({name, maxConnections: 16, syncReplicas: 1}),
    leaderOf: () => entries[0],
    serviceNames: () => ['orders'],
    allowedRoutes: () => 0,
    areHomesSettled: () => true,
    termOf: () => 1,
    collectVotes: () => Promise.resolve([false]),
    collectFailingVotes: () => Promise.resolve([{failing: true}]),
    evacuations: () => Evacuations.none,
    formerMembersOf: () => [],
    recordedMembersOf: () => [],
    unseenMemberOf: () => undefined,
    leadership,
    log: event => events.push(event),
    ...overrides,
  });
  t.teardown(async () => {
    runner.close();
    await group.stop();
  });
  return {runner, lease, leadership, entries, orders, events};
}

// Guards against the loss of acknowledged commits: another front that held the
// lease between may have let the replicas receive the log again.
test('an attempt orders nothing in a later tenure of the coordinator lease', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const {runner, lease, entries, orders, events} = createRunner(t, group, {
    // Called while the attempt pauses the replicas.
    termOf: () => {
      lease.tenure = 2;
      return 1;
    },
  });
  runner.reportSuspect('orders', entries[0].id);
  await until(() => events.includes('takeover_ended') || orders.length > 0);
  t.deepEqual(orders, []);
});

// Guards against a leaving replica that alone has the newest commits and is gone
// when the change begins, as the new holder takes the primary for one never seen.
test('a new holder replaces a primary that it has seen and that vanishes just then', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  let isListed = true;
  const {lease, entries, events} = createRunner(t, group, {
    leaderOf: () => (isListed ? entries[0] : undefined),
  });
  const holder = lease as {tenure: number | undefined};
  holder.tenure = undefined;
  await pause(SEEN_MS);
  isListed = false;
  holder.tenure = 2;
  const startedMs = performance.now();
  await until(() => events.includes('takeover_begun'), 15_000);
  t.true(performance.now() - startedMs < LEADERLESS_LIMIT_MS);
});

// Guards against the loss of a primary's last commits: it crashed and is back
// under another id, so that its log was not asked for.
test('a primary that is listed again under another id while logs are read stays', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  let isBack = false;
  const {runner, entries, orders, events} = createRunner(t, group, {
    // Called while the attempt pauses the replicas.
    termOf: () => {
      isBack = true;
      return 1;
    },
    leaderOf: () =>
      isBack ? {...entries[0], id: 'i-orders-again'} : entries[0],
  });
  runner.reportSuspect('orders', entries[0].id);
  await until(() => events.includes('takeover_ended'), 15_000);
  t.false(orders.some(({database}) => database === entries[1].id));
  t.false(orders.some(({database}) => database === entries[2].id));
});

// Guards against the loss of acknowledged commits: the platform may execute an
// order that confirms the primary late, after another database was promoted.
test('an order after an unanswered confirmation of the primary makes it void', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const sent: PromotionOrder[] = [];
  const {runner, entries} = createRunner(t, group, {
    // Accepts the first promotion, which has no effect, and answers no more.
    promote: async order => (sent.push(order) === 1 ? 'done' : 'unknown'),
  });
  const isOfOther = ({database}: PromotionOrder): boolean =>
    database !== entries[0].id;
  runner.reportSuspect('orders', entries[0].id);
  await until(() => sent.some(order => !isOfOther(order)), 15_000);
  await group.databases[0].crash();
  const reports = setInterval(
    () => runner.reportSuspect('orders', entries[0].id),
    50,
  );
  await until(() => isOfOther(sent[sent.length - 1]));
  clearInterval(reports);
  const confirmations = sent.filter(order => !isOfOther(order));
  const next = sent[sent.length - 1];
  const highest = Math.max(...confirmations.map(o => o.fencingToken));
  t.true(next.fencingToken > highest);
});

const areRising = (orders: readonly PromotionOrder[]): boolean =>
  orders.every(
    ({fencingToken}, index) =>
      index === 0 || fencingToken > orders[index - 1].fencingToken,
  );

// Guards against the loss of acknowledged commits: the platform executes an
// unanswered promotion, and after it an unanswered confirmation of the primary.
test('the primary is not confirmed while a promotion of another database is unanswered', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const votes = [false];
  const sent: PromotionOrder[] = [];
  let outcome: PromotionOutcome = 'unknown';
  let leader = 0;
  const {runner, entries, events} = createRunner(t, group, {
    leaderOf: () => entries[leader],
    // The primary is back after the first vote.
    collectVotes: async () => [votes.pop() ?? true],
    promote: async order => {
      sent.push(order);
      if (outcome === 'done') leader = 1;
      return outcome;
    },
  });
  runner.reportSuspect('orders', entries[0].id);
  await until(() => sent.length === 4);
  outcome = 'done';
  await until(() => events.includes('replicas_resumed'));
  t.deepEqual([...new Set(sent.map(o => o.database))], [entries[1].id]);
  t.true(areRising(sent));
});

// Guards against the same where a former holder may have sent the promotion.
test('a new holder finishes a change of primary rather than confirm the former primary', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  for (const replica of group.databases.slice(1)) replica.pause(3);
  const sent: PromotionOrder[] = [];
  const {lease, entries} = createRunner(t, group, {
    collectVotes: async () => [true],
    promote: async order => {
      sent.push(order);
      return 'unknown';
    },
  });
  lease.heldForMs = 1_000;
  await until(() => sent.length === 3);
  t.deepEqual([...new Set(sent.map(o => o.database))], [entries[1].id]);
  t.true(areRising(sent));
});

// Guards against writes that hang although no order can still be executed: a
// platform that has refused one with the highest token executes no older one.
test('a change whose order is refused is undone once the primary is back', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const votes = [false];
  const sent: PromotionOrder[] = [];
  const {runner, entries, events} = createRunner(t, group, {
    collectVotes: async () => [votes.pop() ?? true],
    promote: async order => {
      sent.push(order);
      if (order.database === entries[0].id) return 'done';
      return sent.length === 1 ? 'unknown' : 'refused';
    },
  });
  runner.reportSuspect('orders', entries[0].id);
  await until(() => events.includes('replicas_resumed'));
  t.deepEqual(sent.map(o => o.database).slice(0, 2), [
    entries[1].id,
    entries[1].id,
  ]);
  t.true(group.databases.every(({isPaused}) => !isPaused));
});

// Guards against the loss of acknowledged commits: a promotion that was accepted
// but is not seen may take effect after the replicas receive the log again.
test('replicas resume after a promotion that is not seen only once the primary is confirmed', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const {entries, orders, events, runner} = createRunner(t, group);
  runner.reportSuspect('orders', entries[0].id);
  await until(() => events.includes('replicas_resumed'), 15_000);
  const databases = orders.map(({database}) => database);
  t.deepEqual(databases, [entries[1].id, entries[0].id]);
  t.true(orders[1].fencingToken > orders[0].fencingToken);
});

const NORTE_EVACUATED = Evacuations.none.begin('norte', 1, undefined, 0);

// Guards against a primary that is moved for an evacuation that has ended, and
// against a change that is not begun again with the next one.
test('a change is undone if the evacuation ends before the order, and begun again', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  let evacuations = NORTE_EVACUATED;
  let leader = 0;
  const {entries, orders, events} = createRunner(t, group, {
    evacuations: () => evacuations,
    leaderOf: () => entries[leader],
    // Called while the attempt pauses the replicas.
    termOf: () => {
      if (!events.includes('replicas_resumed')) evacuations = Evacuations.none;
      return 1;
    },
    promote: async order => {
      orders.push(order);
      leader = 1;
      return 'done';
    },
  });
  await until(() => events.includes('takeover_ended'));
  t.deepEqual(orders, []);
  t.true(group.databases.every(({isPaused}) => !isPaused));
  evacuations = NORTE_EVACUATED;
  await until(() => orders.length > 0);
  t.is(orders[0].database, entries[1].id);
});

// Guards against attempts that pause replicas again and again while the only
// database outside cannot take over.
test('replicas are not paused while the database outside does not answer', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const [, replica, outside] = group.databases;
  outside.isUnresponsive = true;
  let pauses = 0;
  replica.pause = () => void pauses++;
  const evacuations = NORTE_EVACUATED.begin('puerto', 1, undefined, 0);
  const {events} = createRunner(t, group, {evacuations: () => evacuations});
  await until(() => events.includes('evacuation_blocked'));
  await new Promise(resolve => setTimeout(resolve, 1_000));
  t.is(pauses, 0);
  t.false(events.includes('takeover_begun'));
});

// Guards against a service without a primary: if only an evacuated replica has
// the longest log of a primary that is lost, it is promoted all the same.
test('an evacuated database is promoted if the primary is lost and no other can', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const [, replica] = group.databases;
  const change = {item: 'k', data: 'v', requestId: 'r'};
  replica.log.push({...change, term: 1, offset: 1});
  const evacuations = Evacuations.none.begin('puerto', 1, undefined, 0);
  const {runner, entries, orders} = createRunner(t, group, {
    evacuations: () => evacuations,
  });
  runner.reportSuspect('orders', entries[0].id);
  await until(() => orders.length > 0);
  t.is(orders[0].database, entries[1].id);
});

// Guards against checks that take the places of other services: signs of a stall
// came faster than a silent replica lets a check of its service end.
test('a service is not checked for paused replicas twice at once', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const [, replica, silent] = group.databases;
  silent.isUnresponsive = true;
  const {runner} = createRunner(t, group);
  const reports = setInterval(
    () => runner.reportPause('orders', 'stalled'),
    20,
  );
  await until(() => replica.connectionsOpened > 0);
  await new Promise(resolve => setTimeout(resolve, 500));
  clearInterval(reports);
  t.is(replica.connectionsOpened, 1);
});

// Guards against the loss of acknowledged commits: a front that was frozen while
// it connected let the replicas receive in the tenure of another one.
test('an order to resume is not sent once the lease was lost while connecting', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  t.teardown(() => group.stop());
  const replicas = group.databases.slice(1);
  for (const replica of replicas) replica.pause(3);
  let isConnecting = false;
  const resumer = ReplicaResumer.create({
    self: 'front-1',
    coordinatorLease: {heldForMs: 60_000} as CoordinatorLease,
    codec: {
      ...databaseCodec,
      start: (...target) => {
        isConnecting = true;
        return databaseCodec.start(...target);
      },
    },
    promote: async () => 'done',
    leadership: {
      isFenced: true,
      latestRecord: () => undefined,
    } as unknown as Leadership,
    orders: UnconfirmedOrders.create(),
    replicasOf: () => replicas.map(entryOf),
    isTenureOf: () => !isConnecting,
    onReceiving: () => t.fail(),
    log: () => undefined,
  });
  t.false(await resumer.resume('orders', entryOf(group.databases[0])));
  t.true(replicas.every(({isPaused}) => isPaused));
});

// Guards against a second change, of a primary that is well, with each new holder
// of the lease: the record tells that no order for another database is in flight.
test('a new holder lets the primary that its predecessor promoted take commits', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const {lease, entries, orders, leadership} = createRunner(t, group);
  lease.heldForMs = 1_000;
  const [{id}] = entries;
  await leadership.recordOrder('orders', id);
  await leadership.stopCommits('orders', id, undefined, () => false);
  t.false(leadership.mayCommit(entries[0]));
  await until(() => leadership.mayCommit(entries[0]));
  t.true(leadership.latestRecord('orders')?.settled);
  t.deepEqual(orders, []);
});

// Guards against changes back and forth between primaries that fail by turns: a
// new holder of the lease does not know why the last change was made.
test('a new holder does not replace a primary that its voters saw take over just now', async t => {
  for (const heldForMs of [1_000, 60_000]) {
    const group = await StandinGroup.start('orders', ZONES);
    const {runner, lease, entries, events} = createRunner(t, group, {
      collectFailingVotes: async () => [{failing: true, leadsForMs: 4_000}],
    });
    lease.heldForMs = heldForMs;
    runner.reportFailing('orders', entries[0].id);
    await until(() => events.includes('failing_votes'));
    await new Promise(resolve => setTimeout(resolve, 50));
    t.is(events.includes('takeover_begun'), heldForMs === 60_000);
  }
});

// Guards against a change of primary without evidence, as from fronts of an
// earlier version, and against one that most fronts see succeed.
test('a primary is not replaced as failing unless most votes with evidence agree', async t => {
  const group = await StandinGroup.start('orders', ZONES);
  const votes: FailingVote[][] = [
    [{}, {}],
    [{failing: true}, {failing: false}],
  ];
  const {runner, entries, events} = createRunner(t, group, {
    collectFailingVotes: async () => votes.pop() ?? [],
  });
  for (const round of [1, 2]) {
    await until(() => {
      runner.reportFailing('orders', entries[0].id);
      return events.filter(e => e === 'failing_votes').length === round;
    });
  }
  t.false(events.includes('takeover_begun'));
});
