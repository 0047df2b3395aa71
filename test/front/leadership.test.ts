/**
 * Retiring a former primary where the platform does not fence it, in virtual
 * time. Guards against ordering a promotion while a front can still use the
 * former primary, which would leave two primaries.
 */
import {mock} from 'node:test';
import test from 'ava';
import {ReceivedCommitReport} from '../../src/core/commit_positions.js';
import {KnownDatabase} from '../../src/core/directory.js';
import {Fronts} from '../../src/core/fronts.js';
import {
  CommitRule,
  decodeLeaderRecord,
  encodeLeaderRecord,
  isPromotionAllowed,
} from '../../src/core/leader_record.js';
import {qualifyRevision} from '../../src/core/store_revision.js';
import {CoordinatorLease} from '../../src/front/coordinator_lease.js';
import {Leadership} from '../../src/front/leadership.js';
import {StoredItem} from '../../src/store/key_values.js';
import {DatabaseCodec} from '../../src/front/wire_types.js';
import {advance as advanceInSteps} from '../fixtures/virtual_time.js';

const MAX_CONFIG_AGE_MS = 4_800;
const STEP_MS = 10;

const advance = (ms: number): Promise<void> => advanceInSteps(ms, STEP_MS);

/**
 * Creates the leadership of the front that holds the coordinator lease; calls
 * that announce a leader to `unresponsive` fronts fail with `error`.
 */
function createHolder(
  unresponsive: readonly string[],
  error = 'no answer',
  report: () => ReceivedCommitReport | undefined = () => undefined,
) {
  const lease = {
    isHeld: true,
    write: (): Promise<number | undefined> => Promise.resolve(10),
  };
  const items$ = {value: new Map<string, StoredItem>()};
  const vms = ['a', 'b', 'c'];
  const fronts: Fronts = new Map(
    vms.map(vm => [
      vm,
      {
        vm,
        host: '',
        port: 0,
        place: {zone: 'z', region: 'r'},
        leaving: false,
      },
    ]),
  );
  let onAnnounce = (): void => undefined;
  const leadership: Leadership = Leadership.create({
    isFenced: false,
    prefix: 'own/',
    storedItems: () => items$.value,
    knownRevision: () => 20,
    fronts: () => fronts,
    listFronts: () => Promise.resolve(vms),
    isFreshAndRegistered: () => true,
    areRecordsComplete: () => true,
    era: () => 0,
    maxConfigAgeMs: MAX_CONFIG_AGE_MS,
    coordinatorLease: () => lease as unknown as CoordinatorLease,
    codec: {} as DatabaseCodec,
    announce: vm => {
      onAnnounce();
      return unresponsive.includes(vm)
        ? Promise.reject(new Error(error))
        : Promise.resolve(report());
    },
    abortPrimaryWorkExcept: () => undefined,
    stopCommitsExcept: () => Promise.resolve(),
    log: () => undefined,
    nowMs: () => Date.now(),
  });
  const setOnAnnounce = (action: () => void): void => {
    onAnnounce = action;
  };
  return {leadership, lease, items$, setOnAnnounce};
}

const NEVER = (): boolean => false;

test.beforeEach(() =>
  mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date']}),
);
test.afterEach.always(() => mock.timers.reset());

test.serial(
  'all fronts acknowledge: the former primary is retired at once',
  async t => {
    const {leadership} = createHolder([]);
    const appointed = leadership.appoint('orders', 'db-2', undefined, 2);
    await advance(50);
    t.true(await appointed);
  },
);

test.serial(
  'an unresponsive front delays the retirement until its view has expired',
  async t => {
    const {leadership} = createHolder(['b']);
    let outcome: boolean | undefined;
    void leadership
      .appoint('orders', 'db-2', undefined, 2)
      .then(done => (outcome = done));
    await advance(MAX_CONFIG_AGE_MS);
    t.is(outcome, undefined);
    await advance(600);
    t.true(outcome);
  },
);

// Guards against commits that a front acknowledges after it was taken for ended:
// a cut that refuses connections looks like a process that has ended.
test.serial(
  'a front that refuses connections is waited for until its view has expired',
  async t => {
    const {leadership} = createHolder(
      ['b'],
      'connect ECONNREFUSED 10.0.0.1:7560',
    );
    let outcome: boolean | undefined;
    void leadership
      .stopCommits('orders', 'db-1', undefined, NEVER)
      .then(done => (outcome = done));
    await advance(MAX_CONFIG_AGE_MS);
    t.is(outcome, undefined);
    await advance(600);
    t.true(outcome);
  },
);

test.serial(
  'a front that loses the coordinator lease meanwhile orders nothing',
  async t => {
    const {leadership, lease} = createHolder(['b']);
    const appointed = leadership.appoint('orders', 'db-2', undefined, 2);
    await advance(1_000);
    lease.isHeld = false;
    await advance(500);
    t.false(await appointed);
  },
);

test.serial(
  'while an order may still be executed only its database may lead',
  t => {
    const unconfirmed = {database: 'db-2', untilMs: 1_000};
    t.true(isPromotionAllowed(unconfirmed, 'db-2'));
    t.false(isPromotionAllowed(unconfirmed, 'db-3'));
    t.false(isPromotionAllowed(unconfirmed, undefined));
    t.true(isPromotionAllowed(undefined, 'db-3'));
  },
);

test.serial('an invalid record is ignored', t => {
  t.is(decodeLeaderRecord('{"service":', 1), undefined);
  t.is(decodeLeaderRecord('null', 1), undefined);
  t.is(decodeLeaderRecord('{"service":1,"database":"x"}', 1), undefined);
});

/** Items with the record of `orders` as written in an era. */
function itemsWith(
  database: string,
  era: number,
  revision: number,
): Map<string, StoredItem> {
  const key = 'own/leaders/orders';
  const record = {service: 'orders', database, settled: true};
  const value = Buffer.from(encodeLeaderRecord(record, era));
  return new Map([[key, {key, value, revision}]]);
}

// Guards against two primaries: a copy of the store names the former one.
test.serial('a record from a copy does not replace a newer one', t => {
  const {leadership, items$} = createHolder([]);
  items$.value = itemsWith('db-2', 1, qualifyRevision(1, 40));
  t.is(leadership.latestRecord('orders')?.database, 'db-2');
  items$.value = itemsWith('db-1', 1, qualifyRevision(2, 30));
  t.is(leadership.latestRecord('orders')?.database, 'db-2');
  t.is(leadership.storedRecord('orders')?.database, 'db-1');
  items$.value = itemsWith('db-3', 2, qualifyRevision(2, 35));
  t.is(leadership.latestRecord('orders')?.database, 'db-3');
});

// Guards against two primaries: a front that gave no answer has listed a
// restored store, so that its view is fresh and lacks the record.
test.serial(
  'views of before a restore do not retire the former primary by their age',
  async t => {
    const {leadership, lease} = createHolder(['b']);
    const former = undefined;
    const appointed = leadership.appoint('orders', 'db-2', former, 2);
    await advance(MAX_CONFIG_AGE_MS - 100);
    lease.write = () => Promise.resolve(undefined);
    await advance(1_000);
    t.false(await appointed);
  },
);

// Guards against logs that are read although commits are permitted again.
test.serial(
  'commits are not stopped if a newer record permits them',
  async t => {
    const {leadership, setOnAnnounce} = createHolder([]);
    setOnAnnounce(
      () =>
        void leadership.receiveRecord({
          service: 'orders',
          database: 'db-1',
          settled: true,
          revision: 11,
        }),
    );
    const stopped = leadership.stopCommits('orders', 'db-1', undefined, NEVER);
    await advance(500);
    t.false(await stopped);
  },
);

// Guards against a promoted database that takes no commits for 15 s, as its order
// had got no answer at first.
test.serial('a database that is appointed again takes commits', async t => {
  const {leadership, lease} = createHolder([]);
  let revision = 10;
  lease.write = () => Promise.resolve(++revision);
  for (let round = 0; round < 2; round++) {
    void leadership.stopCommits('orders', 'db-1', undefined, NEVER);
    await advance(500);
    void leadership.appoint('orders', 'db-2', undefined, 2);
    await advance(2_000);
  }
  const entry = {service: 'orders', id: 'db-2'} as KnownDatabase;
  t.true(leadership.mayCommit(entry));
});

// Guards against a log that is taken for complete by what fronts reported before
// another holder of the lease permitted commits and stopped them again.
test.serial('reports of an earlier stop do not count', async t => {
  const reported = {
    atMost: {term: 1, offset: 5},
    samples: [{atMs: 100, position: {term: 1, offset: 4}}],
    sinceMs: 0,
  };
  const unresponsive: string[] = [];
  const {leadership} = createHolder(unresponsive, '', () => reported);
  const stop = (): Promise<boolean> =>
    leadership.stopCommits('orders', 'db-1', undefined, NEVER);
  void stop();
  await advance(500);
  t.deepEqual(leadership.commitsOf('orders').atMost, reported.atMost);
  const record = {service: 'orders', database: 'db-1', settled: true};
  void leadership.receiveRecord({...record, revision: 11});
  void leadership.receiveRecord({
    ...record,
    commits: CommitRule.stopped,
    revision: 12,
  });
  unresponsive.push('b');
  void stop();
  await advance(500);
  t.is(leadership.commitsOf('orders').atMost, undefined);
  t.is(leadership.commitsOf('orders').unreported, 1);
});
