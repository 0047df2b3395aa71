/** Unit tests of the fronts' decisions; tests of load name the load pattern. */
import test from 'ava';
import fc from 'fast-check';
import {
  growBudget,
  isReduced,
  reduceBudget,
  usualLimit,
} from '../../src/core/connection_budget.js';
import {
  chooseConnection,
  PooledConnection,
} from '../../src/core/connection_choice.js';
import {
  DatabaseEntry,
  databasesOf,
  Directory,
  dropMissing,
  leaderOf,
  putEntry,
  removeEntry,
} from '../../src/core/directory.js';
import {ageMs, isFresh, maxConfigAgeMs} from '../../src/core/freshness.js';
import {admit, ANONYMOUS, FrontConfig} from '../../src/core/front_config.js';
import {
  FrontMember,
  rankHolders,
  rateShareHolderCount,
  rateShareHoldersOf,
} from '../../src/core/fronts.js';
import {leaderWaitDeadlineMs} from '../../src/core/leader_wait.js';
import {
  addPositionSample,
  floorSince,
  fromSamplesByAge,
  PositionSamples,
  toSamplesByAge,
} from '../../src/core/position_samples.js';
import {comparePositions} from '../../src/core/position.js';
import {NO_LOAD, rankForRead} from '../../src/core/read_choice.js';
import {
  EMPTY_SESSION,
  preparationFor,
  prepare,
  requiredStateFor,
  setValue,
  valuesKeyOf,
} from '../../src/core/session_state.js';
import {LogWait} from '../../src/core/log_wait.js';
import {
  chooseTakeover,
  isPrimaryUnreachable,
  mayBePrimaryEnd,
} from '../../src/core/takeover.js';
import {WorkQueue} from '../../src/core/work_queue.js';
import {databaseEntry} from '../fixtures/database_entry.js';

const entry = (id: string, changes: Partial<DatabaseEntry> = {}) =>
  databaseEntry(id, {zone: 'z1', ...changes});
const PLACE = {zone: 'z1', region: 'r1'};

test('the database that became leader last is the leader', t => {
  let directory: Directory = new Map();
  directory = putEntry(directory, entry('a', {isLeader: true}), PLACE, 5);
  directory = putEntry(directory, entry('b', {isLeader: true}), PLACE, 9);
  t.is(leaderOf(directory, 's')?.id, 'b');
  // A later change of the old leader's entry does not make that database the
  // leader again.
  const slower = entry('a', {isLeader: true, remainingWarmUpMs: 7});
  directory = putEntry(directory, slower, PLACE, 12);
  t.is(leaderOf(directory, 's')?.id, 'b');
  t.is(leaderOf(directory, 's', e => e.id === 'b')?.id, 'a');
  // A database restarted under the same id that claims to lead does become the
  // leader again.
  const restarted = entry('a', {isLeader: true, startedAtUnixMs: 2});
  directory = putEntry(directory, restarted, PLACE, 15);
  t.is(leaderOf(directory, 's')?.id, 'a');
});

test('an entry that disappears during a store outage stays in use', t => {
  const start = putEntry(new Map(), entry('a'), PLACE, 1);
  t.is(databasesOf(removeEntry(start, 'a', 10), 's').length, 0);
  const presumedAlive = removeEntry(start, 'a', 10, true);
  t.is(databasesOf(presumedAlive, 's').length, 1);
  t.is(dropMissing(presumedAlive, 100, 90).size, 0);
});

test('configuration age is the larger difference of the two clocks', t => {
  const from = {steadyMs: 100, wallMs: 1_000};
  // On a suspended VM the monotonic clock stops; the time of day counts.
  t.is(ageMs(from, {steadyMs: 150, wallMs: 6_000}), 5_000);
  // The time of day jumps backwards; the monotonic clock counts.
  t.is(ageMs(from, {steadyMs: 4_100, wallMs: 500}), 4_000);
  const freshness = {version: 1, asOf: from};
  const limit = maxConfigAgeMs(5_000);
  t.true(isFresh(freshness, {steadyMs: 200, wallMs: 1_100}, limit));
  t.false(isFresh(freshness, {steadyMs: 5_000, wallMs: 1_100}, limit));
  t.false(isFresh(undefined, from, limit));
});

test('callers are admitted by database name and key or on an open route', t => {
  const route = (database: string, open: boolean) => ({
    name: database,
    database,
    service: 's',
    freshness: 'primary' as const,
    maxStalenessMs: 0,
    timeoutMs: 1,
    objectiveMs: 1,
    priority: 0,
    open,
  });
  const config: FrontConfig = {
    version: 1,
    routes: new Map([
      ['closed', route('closed', false)],
      ['open', route('open', true)],
    ]),
    services: new Map(),
    customers: new Map(),
    customerOfKey: new Map([['k', 'ana']]),
    idleTransactionMs: 1,
  };
  t.deepEqual(admit(config, 'closed', 'k'), {
    kind: 'admitted',
    customer: 'ana',
  });
  t.is(admit(config, 'closed', 'x').kind, 'key_rejected');
  t.is(admit(config, 'nowhere', 'k').kind, 'service_unknown');
  t.deepEqual(admit(config, 'open', 'x'), {
    kind: 'admitted',
    customer: ANONYMOUS,
  });
});

test('samples from another VM are never dated later than they were taken', t => {
  const clocks = fc.record({
    offsetMs: fc.integer({min: -5_000, max: 5_000}),
    takenMs: fc.integer({min: 0, max: 700}),
    requestMs: fc.integer({min: 0, max: 1_000}),
    transitMs: fc.integer({min: 0, max: 300}),
  });
  fc.assert(
    fc.property(clocks, ({offsetMs, takenMs, requestMs, transitMs}) => {
      const answeredMs = requestMs + transitMs;
      const samples = [{atMs: takenMs, position: {term: 1, offset: 1}}];
      const byAge = toSamplesByAge(samples, Infinity, answeredMs);
      const [sample] = fromSamplesByAge(byAge, requestMs + offsetMs);
      t.true(sample.atMs - offsetMs <= takenMs);
    }),
    {seed: 7, numRuns: 300},
  );
});

test('the floor for an allowed age covers every earlier sample', t => {
  const sampleTimes = fc.array(fc.integer({min: 0, max: 3_000}), {
    minLength: 1,
    maxLength: 60,
  });
  fc.assert(
    fc.property(
      sampleTimes,
      fc.integer({min: 0, max: 3_000}),
      (times, sinceMs) => {
        // The offset equals the time, because a primary's log grows with time.
        let samples: PositionSamples = [];
        for (const atMs of times) {
          samples = addPositionSample(samples, {
            atMs,
            position: {term: 1, offset: atMs},
          });
        }
        const floor = floorSince(samples, sinceMs);
        if (!floor) return void t.pass();
        t.true(comparePositions(floor, {term: 1, offset: sinceMs}) >= 0);
      },
    ),
    {seed: 7, numRuns: 300},
  );
});

test('a connection is reset only if its state conflicts with the session', t => {
  const session = prepare(setValue(EMPTY_SESSION, 'a', '1'), {
    name: 's1',
    access: 'read',
    shape: 'q',
  });
  const required = requiredStateFor(session, session.prepared.get('s1'));
  const fresh = preparationFor({valuesKey: '', prepared: new Map()}, required);
  t.false(fresh.reset);
  t.deepEqual(fresh.values, [['a', '1']]);
  t.is(fresh.prepare?.name, 's1');
  const same = preparationFor(
    {valuesKey: valuesKeyOf(required), prepared: new Map([['s1', 'read q']])},
    required,
  );
  t.deepEqual(same, {reset: false, values: [], prepare: undefined});
  const conflicting = preparationFor(
    {valuesKey: valuesKeyOf(required), prepared: new Map([['s1', 'write q']])},
    required,
  );
  t.true(conflicting.reset);
  t.deepEqual(conflicting.values, [['a', '1']]);
  const other = preparationFor(
    {valuesKey: valuesKeyOf(required), prepared: new Map()},
    requiredStateFor(EMPTY_SESSION, undefined),
  );
  t.true(other.reset);
});

const stoppedLog = (database: string, offset: number, leaving = false) => ({
  database,
  position: {term: 1, offset},
  leaving,
});

test('a takeover needs enough final logs and promotes the longest', t => {
  const group = {size: 3, syncReplicas: 1};
  t.is(chooseTakeover(group, [stoppedLog('a', 9)]).kind, 'need_logs');
  t.deepEqual(
    chooseTakeover(group, [stoppedLog('a', 9), stoppedLog('b', 12)]),
    {
      kind: 'promote',
      database: 'b',
    },
  );
  // With one synchronous replica, a group counts as at least three databases.
  t.is(
    chooseTakeover({size: 2, syncReplicas: 1}, [stoppedLog('a', 9)]).kind,
    'need_logs',
  );
  // A database that is about to be removed from its group must not be promoted,
  // nor one that lacks commits.
  t.is(
    chooseTakeover(group, [stoppedLog('a', 9), stoppedLog('b', 12, true)]).kind,
    'catch_up',
  );
  t.deepEqual(
    chooseTakeover(group, [stoppedLog('b', 12), stoppedLog('a', 12)]),
    {
      kind: 'promote',
      database: 'a',
    },
  );
});

// Guards against a choice among enough logs none of which has the newest commits,
// as only a database that nobody knows of has received them.
test('a log that lacks an acknowledged commit is not promoted, however many were read', t => {
  const acknowledged = {atLeast: {term: 1, offset: 10}};
  const group = {size: 3, syncReplicas: 1, acknowledged};
  const logs = [stoppedLog('a', 9), stoppedLog('b', 9)];
  t.deepEqual(chooseTakeover(group, logs), {kind: 'need_logs', missing: 1});
  t.deepEqual(chooseTakeover(group, [...logs, stoppedLog('c', 10)]), {
    kind: 'promote',
    database: 'c',
  });
});

test('one log is enough if it has reached every acknowledged commit', t => {
  const acknowledged = {
    atLeast: {term: 1, offset: 8},
    atMost: {term: 1, offset: 10},
  };
  const group = {size: 3, syncReplicas: 1, acknowledged};
  t.deepEqual(chooseTakeover(group, [stoppedLog('a', 10)]), {
    kind: 'promote',
    database: 'a',
  });
  t.is(chooseTakeover(group, [stoppedLog('a', 9)]).kind, 'need_logs');
});

// Guards against a leaving database that takes the newest commits with it.
test('a leaving database with the longest log leads if nobody can send that log', t => {
  const group = {size: 3, syncReplicas: 1};
  const logs = [stoppedLog('a', 9), stoppedLog('b', 12, true)];
  const preference = {mayPromoteLeaving: true};
  t.deepEqual(chooseTakeover(group, logs, undefined, preference), {
    kind: 'promote',
    database: 'b',
  });
  const equal = [stoppedLog('a', 12), stoppedLog('b', 12, true)];
  t.deepEqual(chooseTakeover(group, equal, undefined, preference), {
    kind: 'promote',
    database: 'a',
  });
});

// Guards against any log that counts as complete, as the primary has restarted
// empty and leads on.
test('a primary whose log is behind what is known does not tell where it ends', t => {
  const acknowledged = {atLeast: {term: 1, offset: 10}};
  const group = {size: 3, syncReplicas: 1, acknowledged};
  const logs = [stoppedLog('a', 11)];
  t.false(mayBePrimaryEnd({term: 1, offset: 0}, group, []));
  t.false(mayBePrimaryEnd({term: 1, offset: 10}, group, logs));
  t.true(mayBePrimaryEnd({term: 1, offset: 11}, group, logs));
});

// Guards against a wait that begins anew with each attempt, as each of them first
// waits for a front that does not answer.
test('the wait for a log with all acknowledged commits ends after 15 s', t => {
  const waits = LogWait.create();
  t.false(waits.record('s', 0));
  t.false(waits.record('s', 8_000));
  t.true(waits.record('s', 16_000));
  t.false(waits.record('other', 16_000));
  // Nothing waited for a while: this is another change.
  t.false(waits.record('s', 32_000));
  waits.end('s');
  t.false(waits.record('s', 47_000));
});

test('a primary counts as unreachable if most voters cannot reach it', t => {
  t.true(isPrimaryUnreachable([false, false, true]));
  t.false(isPrimaryUnreachable([false, true]));
  t.false(isPrimaryUnreachable([]));
});

const connection = (
  customer: string,
  use: PooledConnection['use'],
  lastUsedMs = 0,
): PooledConnection => ({
  customer,
  use,
  lastUsedMs,
});

test('more customers than connections: evicts from a customer with several', t => {
  const full = [
    connection('a', 'idle', 1),
    connection('b', 'idle', 2),
    connection('b', 'idle', 3),
  ];
  const choice = chooseConnection(full, 'c', 3);
  t.deepEqual(choice, {kind: 'open', evict: full[1]});
  t.is(chooseConnection(full, 'a', 3).kind, 'use');
});

test('a lost VM leaves connections open: the limit recovers one at a time', t => {
  let budget = reduceBudget(3, 1_000);
  t.is(budget.limit, 3);
  t.is(growBudget(budget, 6, 1_100).limit, 3);
  t.true(budget.nextOpenAtMs > 1_100);
  budget = growBudget(budget, 6, 1_121);
  t.is(budget.limit, 4);
  budget = growBudget(growBudget(budget, 6, 1_242), 6, 1_363);
  t.false(isReduced(budget));
  t.is(reduceBudget(0, 0).limit, 1);
});

test('idle transactions of one customer leave the last connections to others', t => {
  const pinned = Array.from({length: 8}, () => connection('hot', 'pinned'));
  const busy = [
    ...pinned,
    ...Array.from({length: 5}, () => connection('x', 'busy')),
  ];
  t.is(chooseConnection(busy, 'hot', 16).kind, 'wait');
  t.is(chooseConnection(busy, 'calm', 16).kind, 'open');
});

const CAPACITY = {concurrency: 2, serviceTimeMs: 10};
const queued = (customer: string, priority: number, item: string) => ({
  customer,
  weight: 1,
  priority,
  deadlineAtMs: Infinity,
  item,
});

test('one customer floods a database: other customers are served in turn', t => {
  const queue = WorkQueue.create<string>();
  for (let n = 0; n < 50; n++) queue.add(queued('hot', 2, `hot${n}`), CAPACITY);
  queue.add(queued('calm', 2, 'calm'), CAPACITY);
  const served = [queue.take(() => false), queue.take(() => false)];
  t.true(served.includes('calm'));
});

test('a burst exceeds the slots: higher priority runs first and waits less', t => {
  const queue = WorkQueue.create<string>();
  for (let n = 0; n < 20; n++) queue.add(queued(`c${n}`, 2, `l${n}`), CAPACITY);
  const urgent = {customer: 'u', weight: 1, priority: 1};
  t.true(
    queue.waitMs(urgent, CAPACITY, 2) <
      queue.waitMs({...urgent, priority: 2}, CAPACITY, 2),
  );
  queue.add(queued('u', 1, 'urgent'), CAPACITY);
  t.is(
    queue.take(() => false),
    'urgent',
  );
});

test('a database is overloaded: the expected wait grows with the queue', t => {
  const queue = WorkQueue.create<string>();
  const one = {customer: 'new', weight: 1, priority: 2};
  let last = queue.waitMs(one, CAPACITY, 2);
  for (let n = 0; n < 30; n++) {
    queue.add(queued(`c${n}`, 2, `w${n}`), CAPACITY);
    const next = queue.waitMs(one, CAPACITY, 2);
    t.true(next >= last);
    last = next;
  }
  t.true(last >= 100);
});

const database = (id: string, zone: string, region: string) => {
  const place = {zone, region};
  return [...putEntry(new Map(), entry(id, {zone}), place, 1).values()][0];
};

test('a near replica is busy: reads go to a far one if that is faster', t => {
  const near = database('near', 'z1', 'r1');
  const far = database('far', 'z2', 'r2');
  const rank = (waitMs: number) =>
    rankForRead(
      [near, far],
      undefined,
      PLACE,
      id => ({...NO_LOAD, waitMs: id === 'near' ? waitMs : 0}),
      0,
    ).map(e => e.id);
  t.deepEqual(rank(5), ['near', 'far']);
  t.deepEqual(rank(200), ['far', 'near']);
});

test('lagging or failed replicas get no reads; the primary is the last choice', t => {
  const near = database('near', 'z1', 'r1');
  const lead = database('lead', 'z1', 'r1');
  const ranked = (load: object) =>
    rankForRead(
      [near, lead],
      'lead',
      PLACE,
      id => (id === 'near' ? {...NO_LOAD, ...load} : NO_LOAD),
      0,
    ).map(e => e.id);
  t.deepEqual(ranked({}), ['near', 'lead']);
  t.deepEqual(ranked({laggingUntilMs: 5}), ['lead']);
  t.deepEqual(ranked({avoidUntilMs: 5}), ['lead']);
});

test('the primary is lost: writes wait if a takeover ends before the deadline', t => {
  const write = {startedMs: 0, deadlineMs: 780, objectiveMs: 600};
  const until = (lostAtMs: number | undefined) =>
    leaderWaitDeadlineMs({...write, lostAtMs});
  t.is(until(undefined), 120);
  // The primary was lost 900 ms ago: its successor is expected in 600 ms.
  t.is(until(-900), 600);
  // The primary was lost 100 ms ago: the takeover ends after the deadline of
  // the request, so the caller retries.
  t.is(until(-100), 120);
  // The takeover is overdue, so its end cannot be predicted.
  t.is(until(-5_000), 120);
});

test('the primary was replaced: a former one that claims to lead gets no reads', t => {
  const former = {...database('former', 'z1', 'r1'), isLeader: true};
  const leader = {...database('leader', 'z2', 'r2'), isLeader: true};
  const replica = database('replica', 'z2', 'r2');
  const ranked = (lead: string | undefined) =>
    rankForRead([former, leader, replica], lead, PLACE, () => NO_LOAD, 0).map(
      e => e.id,
    );
  t.deepEqual(ranked('leader'), ['replica', 'leader']);
  t.deepEqual(ranked(undefined), ['replica']);
});

test('near fronts rank first as holders of a database, leaving fronts last', t => {
  const member = (vm: string, zone: string, leaving = false): FrontMember => ({
    vm,
    host: 'h',
    port: 1,
    place: {zone, region: zone},
    leaving,
  });
  const fronts = new Map(
    [member('a', 'z1'), member('b', 'z1'), member('c', 'z2')].map(m => [
      m.vm,
      m,
    ]),
  );
  const place = {zone: 'z1', region: 'z1'};
  const [first, second, third] = rankHolders(fronts, 'db', place);
  t.deepEqual([first.vm, second.vm].sort(), ['a', 'b']);
  t.is(third.vm, 'c');
  const withLeaving = new Map(fronts).set(first.vm, {...first, leaving: true});
  t.is(rankHolders(withLeaving, 'db', place)[0].vm, second.vm);
});

test('a fixed number of fronts accrue a rate, at least one in each region', t => {
  const fronts = new Map(
    Array.from({length: 62}, (_, n): [string, FrontMember] => {
      const region = `r${n % 3}`;
      const place = {zone: `${region}-${n % 6}`, region};
      return [
        `vm${n}`,
        {vm: `vm${n}`, host: 'h', port: 1, place, leaving: false},
      ];
    }),
  );
  const holders = rateShareHoldersOf(fronts, 'ana', 3);
  t.is(holders.length, 3);
  t.is(new Set(holders.map(front => front.place.region)).size, 3);
  // The loss of a front without a share of the customer's rate changes nothing.
  const other = [...fronts.keys()].find(
    vm => !holders.some(front => front.vm === vm),
  );
  const fewer = new Map(fronts);
  fewer.delete(other ?? '');
  t.deepEqual(rateShareHoldersOf(fewer, 'ana', 3), holders);
  t.is(
    rateShareHoldersOf(new Map([...fronts].slice(0, 2)), 'ana', 3).length,
    2,
  );
});

test('a rate share holds whole tokens, for small and large bursts', t => {
  for (const burst of [4, 10, 97, 500]) {
    const size = rateShareHolderCount({ratePerS: burst, burst});
    t.true(burst / size >= 4);
  }
  t.is(rateShareHolderCount({ratePerS: 1, burst: 1}), 1);
  t.is(rateShareHolderCount({ratePerS: 500, burst: 500}), 16);
});

test('connection limits of a holder and two other VMs fit the database', t => {
  for (const maxConnections of [16, 22, 36, 49, 50, 90, 400]) {
    const holder = usualLimit(maxConnections, true);
    const other = usualLimit(maxConnections, false);
    t.true(holder + 2 * other <= maxConnections, `${maxConnections}`);
    t.true(holder >= Math.floor(0.6 * maxConnections), `${maxConnections}`);
    t.true(other >= 1);
  }
  t.is(usualLimit(90, true), 80);
  t.is(usualLimit(1, true), 1);
});
