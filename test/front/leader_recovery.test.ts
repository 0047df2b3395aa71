/** Leader records after a restore of the store, in virtual time. */
import {mock} from 'node:test';
import test from 'ava';
import {KnownDatabase} from '../../src/core/directory.js';
import {StoredLeaderRecord} from '../../src/core/leader_record.js';
import {qualifyRevision} from '../../src/core/store_revision.js';
import {
  LeaderRecovery,
  recordFromAnswers,
} from '../../src/front/leader_recovery.js';
import {DatabaseReport} from '../../src/front/wire_types.js';
import {StoredItem} from '../../src/store/key_values.js';
import {settle} from '../fixtures/virtual_time.js';

const MARK_KEY = 'own/leaders-era';

const answer = (id: string, isLeader: boolean, term: number, offset = 0) => ({
  entry: {id} as KnownDatabase,
  report: {isLeader, term, position: {term, offset}} as DatabaseReport,
});

const itemsOf = (mark: string): ReadonlyMap<string, StoredItem> =>
  new Map([[MARK_KEY, {key: MARK_KEY, value: Buffer.from(mark), revision: 1}]]);

function createRecovery(
  t: {teardown: (end: () => void) => void},
  start: {era: number; mark?: string; isFirstStart?: boolean},
) {
  mock.timers.enable({apis: ['setInterval']});
  const items = itemsOf(start.mark ?? '0');
  const source = {
    era: start.era,
    eraAtStart: start.era,
    eraSeenAtMs: 0,
    fleetItems$: {value: items},
    fleetItemsAtStart: items,
  };
  const records = new Map<string, StoredLeaderRecord>();
  const stored = new Map<string, StoredLeaderRecord>();
  const state = {
    isLeaseHeld: false,
    answers: [] as Array<ReturnType<typeof answer>>,
  };
  const recovery = LeaderRecovery.create({
    source,
    markKey: MARK_KEY,
    isFirstStart: start.isFirstStart ?? false,
    isLeaseHeld: () => state.isLeaseHeld,
    serviceNames: () => ['orders'],
    databasesOf: () => ['a', 'b', 'c'].map(id => ({id}) as KnownDatabase),
    queryStatus: async ({id}) =>
      state.answers.find(({entry}) => entry.id === id)?.report,
    latestRecord: service => records.get(service),
    writeRecord: async record => {
      const revision = qualifyRevision(source.era, 50);
      records.set(record.service, {...record, revision});
      stored.set(record.service, {...record, revision});
      return {...record, revision};
    },
    write: async (_key, value) => {
      source.fleetItems$.value = itemsOf(value);
      return 1;
    },
    log: () => undefined,
  });
  t.teardown(() => {
    recovery.close();
    mock.timers.reset();
  });
  return {source, records, stored, state, recovery};
}

async function runOnce(): Promise<void> {
  mock.timers.tick(250);
  await settle();
}

// Guards against a former primary that a restarted front accepts, because the
// record of its successor is lost.
test.serial(
  'the holder writes lost records again, and marks them as complete',
  async t => {
    const {source, records, stored, state, recovery} = createRecovery(t, {
      era: 1,
      mark: '1',
    });
    const record = {service: 'orders', database: 'b', settled: true};
    records.set('orders', {...record, revision: qualifyRevision(1, 40)});
    t.true(recovery.isComplete);
    recovery.recordRestore(true);
    source.era = 2;
    t.true(recovery.isComplete);
    state.isLeaseHeld = true;
    await runOnce();
    t.is(stored.get('orders')?.database, 'b');
    t.is(source.fleetItems$.value.get(MARK_KEY)?.value.toString(), '2');
  },
);

// Guards against a change of primary that is undone, as the holder has replaced
// the record by which it had just stopped commits.
test.serial(
  'a record of this era is not written again before the view shows it',
  async t => {
    const {source, records, stored, state} = createRecovery(t, {
      era: 2,
      isFirstStart: true,
    });
    const record = {service: 'orders', database: 'b', settled: true};
    records.set('orders', {...record, revision: qualifyRevision(2, 40)});
    state.isLeaseHeld = true;
    await runOnce();
    t.is(stored.get('orders'), undefined);
    t.is(source.fleetItems$.value.get(MARK_KEY)?.value.toString(), '2');
  },
);

// Guards against using a primary without the record that excludes it.
test.serial(
  'a front that may have missed records uses no primary before the mark',
  async t => {
    const stale = createRecovery(t, {era: 1, mark: '1'});
    stale.recovery.recordRestore(false);
    stale.source.era = 2;
    t.false(stale.recovery.isComplete);
    stale.source.fleetItems$.value = itemsOf('2');
    t.true(stale.recovery.isComplete);
    mock.timers.reset();
    t.false(createRecovery(t, {era: 2, mark: '1'}).recovery.isComplete);
    mock.timers.reset();
    const first = createRecovery(t, {era: 1, isFirstStart: true});
    t.true(first.recovery.isComplete);
  },
);

// Guards against a fleet that nobody leads, as no front has kept its memory.
test.serial(
  'a holder without the records asks the databases for their terms',
  async t => {
    const {stored, state, recovery} = createRecovery(t, {era: 2, mark: '1'});
    state.isLeaseHeld = true;
    state.answers = [answer('a', true, 3)];
    await runOnce();
    t.false(recovery.isComplete);
    state.answers = [answer('a', true, 3), answer('b', true, 4)];
    await runOnce();
    t.is(stored.get('orders')?.database, 'b');
    // An order that no front knows of may still be executed.
    t.is(stored.get('orders')?.commits, 'contested');
    t.true(recovery.isComplete);
  },
);

test('without a primary of the highest term, the record allows no present one', t => {
  const answers = [answer('a', true, 3, 9), answer('c', false, 4, 7)];
  t.deepEqual(recordFromAnswers('orders', 3, answers), {
    service: 'orders',
    database: 'c',
    settled: false,
    commits: 'contested',
  });
  t.is(recordFromAnswers('orders', 3, answers.slice(1)), undefined);
});
