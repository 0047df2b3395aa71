/**
 * The coordinator lease: restores of the store from an older copy, and raises of
 * the fencing token.
 */
import {mock} from 'node:test';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {BehaviorSubject} from 'rxjs';
import {eraOf, qualifyRevision} from '../../src/core/store_revision.js';
import {CoordinatorLease} from '../../src/front/coordinator_lease.js';
import {StoreFeed} from '../../src/front/store_feed.js';
import {
  KeyValueStore,
  StoredItem,
  StoreFaultKind,
  StoreTransaction,
} from '../../src/store/key_values.js';
import {settle} from '../fixtures/virtual_time.js';

const KEY = 'own/duty';
const SELF = 'front-1';
const WRITTEN_REVISION = 40;
const RENEW_INTERVAL_MS = 800;

/** A front that has acquired the lease at `WRITTEN_REVISION` of era 1. */
async function createHolder(t: {teardown: (end: () => void) => void}) {
  mock.timers.enable({apis: ['setTimeout', 'setInterval']});
  const state = {era: 1, revision: WRITTEN_REVISION, mayHold: true};
  const fleetItems$ = new BehaviorSubject<ReadonlyMap<string, StoredItem>>(
    new Map(),
  );
  const commits: StoreTransaction[] = [];
  const revoked: number[] = [];
  /** Revision of the key while the view does not show it yet. */
  let unseenRevision: number | undefined;
  /** Runs between a commit and its answer. */
  let beforeAnswer: (
    transaction: StoreTransaction,
  ) => Promise<void> = async () => undefined;
  /** Items other than the key. */
  const others = new Map<string, StoredItem>();
  let isAnswerLost = false;
  const renewals: Array<(reply: unknown) => void> = [];
  let leases = 4;
  const qualified = (): number => qualifyRevision(state.era, state.revision);
  const store = {
    grant: async (ttlMs: number) => ok({leaseId: ++leases, ttlMs}),
    renew: () => new Promise(resolve => renewals.push(resolve)),
    revoke: async (id: number) => ok(revoked.push(id)),
    list: async (prefix: string) => {
      const items = [...others.values()].filter(({key}) =>
        key.startsWith(prefix),
      );
      return ok({items, revision: qualified()});
    },
    commit: async (transaction: StoreTransaction) => {
      commits.push(transaction);
      const [{key, revision}] = transaction.expected;
      const shown = fleetItems$.value.get(key)?.revision ?? 0;
      const present = unseenRevision ?? shown;
      const areOthersAsExpected = transaction.expected
        .slice(1)
        .every(
          other => (others.get(other.key)?.revision ?? 0) === other.revision,
        );
      if (revision !== present || !areOthersAsExpected)
        return err({kind: StoreFaultKind.conflict, message: 'conflict'});
      if (commits.length > 1) state.revision++;
      const result = ok(qualified());
      const [write] = transaction.writes;
      if (write.key === KEY) unseenRevision = qualified();
      else
        others.set(write.key, {
          key: write.key,
          value: Buffer.from(write.value),
          revision: qualified(),
        });
      if (isAnswerLost) {
        isAnswerLost = false;
        return err({kind: StoreFaultKind.unknown, message: 'no answer'});
      }
      // A store never answers within the call.
      await Promise.resolve();
      await beforeAnswer(transaction);
      return result;
    },
  } as unknown as KeyValueStore;
  const feed = {
    config: {},
    fleetItems$,
    get knownRevision() {
      return qualified();
    },
    get era() {
      return state.era;
    },
  } as unknown as StoreFeed;
  const lease = CoordinatorLease.create({
    self: SELF,
    key: KEY,
    store,
    feed,
    minLeaseMs: 500,
    rank: () => 0,
    mayHold: () => state.mayHold,
    log: () => undefined,
  });
  t.teardown(async () => {
    await lease.release();
    mock.timers.reset();
  });
  const show = (holder: string | undefined, revision = 0): void => {
    const item = {
      key: KEY,
      value: Buffer.from(holder ?? ''),
      revision: qualifyRevision(state.era, revision),
    };
    unseenRevision = undefined;
    fleetItems$.next(new Map(holder === undefined ? [] : [[KEY, item]]));
  };
  mock.timers.tick(1);
  await settle();
  show(SELF, WRITTEN_REVISION);
  t.teardown(() => undefined);
  const onCommit = (action: typeof beforeAnswer): void => {
    beforeAnswer = action;
  };
  const loseNextAnswer = (): void => {
    isAnswerLost = true;
  };
  return {
    state,
    lease,
    show,
    commits,
    revoked,
    renewals,
    onCommit,
    others,
    loseNextAnswer,
    store,
  };
}

// Guards against seconds without a holder, though the store still has its lease.
test.serial(
  'a holder whose key the copy includes keeps the lease and its token',
  async t => {
    const {state, lease, show} = await createHolder(t);
    const token = lease.currentFencingToken;
    t.is(token, qualifyRevision(1, WRITTEN_REVISION));
    Object.assign(state, {era: 2, revision: WRITTEN_REVISION + 2});
    show(SELF, WRITTEN_REVISION);
    t.true(lease.isHeld);
    t.is(lease.currentFencingToken, token);
    const raised = await lease.raiseFencingToken();
    t.is(raised && eraOf(raised), 2);
    t.true(lease.isHeld);
  },
);

// Guards against orders of a holder whose lease the store has lost.
test.serial('a holder whose key the copy lacks gives up the lease', async t => {
  const {state, lease, show} = await createHolder(t);
  Object.assign(state, {era: 2, revision: 30, mayHold: false});
  show(undefined);
  t.false(lease.isHeld);
  t.is(lease.currentFencingToken, undefined);
});

// Guards against two holders, as the copy names one of before.
test.serial(
  'a holder gives up the lease when the copy names another one',
  async t => {
    const {state, lease, show} = await createHolder(t);
    Object.assign(state, {era: 2, revision: 30});
    show('front-2', WRITTEN_REVISION - 10);
    t.false(lease.isHeld);
  },
);

// Guards against orders with a token that the platform has seen already.
test.serial('a token of a later era is higher than all before', async t => {
  const {state, lease, show} = await createHolder(t);
  const token = lease.currentFencingToken ?? 0;
  Object.assign(state, {era: 2, revision: 12});
  show(undefined);
  mock.timers.tick(1);
  await settle();
  t.true((lease.currentFencingToken ?? 0) > token);
});

// Guards against seconds without a holder, and against what was found before
// another front may have held the lease being acted on after it.
test.serial(
  'a late reply about a former lease does not end the next one, which is another tenure',
  async t => {
    const {state, lease, show, renewals} = await createHolder(t);
    const {tenure} = lease;
    t.not(tenure, undefined);
    mock.timers.tick(RENEW_INTERVAL_MS);
    await settle();
    t.is(renewals.length, 1);
    state.revision++;
    show('front-2', state.revision);
    t.is(lease.tenure, undefined);
    show(undefined);
    mock.timers.tick(1);
    await settle();
    t.true(lease.isHeld);
    t.not(lease.tenure, tenure);
    const kind = StoreFaultKind.leaseNotFound;
    renewals[0](err({kind, message: 'the former lease has ended'}));
    await settle();
    t.true(lease.isHeld);
  },
);

// Guards against replicas that stay paused, and seconds without a holder: the
// watch of the store may show the rewritten key before the answer to the write.
test.serial(
  'a holder that sees the raise of its fencing token before the answer keeps the lease',
  async t => {
    const {state, lease, show, onCommit} = await createHolder(t);
    const {tenure, currentFencingToken: token = 0} = lease;
    onCommit(async () => show(SELF, state.revision));
    const raised = await lease.raiseFencingToken();
    t.true((raised ?? 0) > token);
    t.is(lease.tenure, tenure);
    t.is(lease.currentFencingToken, raised);
    show('front-2', state.revision + 1);
    t.false(lease.isHeld);
  },
);

// Guards against the same where two services raise the token at the same time:
// the second write met the revision of the first.
test.serial(
  'raises at the same time share one write of the key, and the lease is kept',
  async t => {
    const {state, lease, show, commits, onCommit} = await createHolder(t);
    onCommit(async () => show(SELF, state.revision));
    const before = commits.length;
    const [first, second] = await Promise.all([
      lease.raiseFencingToken(),
      lease.raiseFencingToken(),
    ]);
    t.not(first, undefined);
    t.is(second, first);
    t.is(commits.length, before + 1);
    t.true(lease.isHeld);
    t.true(((await lease.raiseFencingToken()) ?? 0) > (first ?? 0));
  },
);

// Guards against a lost lease: a record that is written while the token is
// raised meets a key that this front has rewritten itself.
test.serial(
  'a write that conflicts with the raise of the own token is tried again',
  async t => {
    const {state, lease, show, commits, onCommit} = await createHolder(t);
    onCommit(async ({writes}) => {
      if (writes[0].key === KEY) show(SELF, state.revision);
      await settle();
    });
    const raise = lease.raiseFencingToken();
    const written = lease.write('own/record', 'text');
    t.not(await raise, undefined);
    t.not(await written, undefined);
    t.is(commits.filter(({writes}) => writes[0].key !== KEY).length, 2);
    t.true(lease.isHeld);
  },
);

// Guards against lost commits: a write of a leader record that got no answer is
// executed after a newer one, and permits commits that the newer one has stopped.
test.serial(
  'a write without an answer does not replace a newer one',
  async t => {
    const {lease, commits, others, loseNextAnswer, store} =
      await createHolder(t);
    loseNextAnswer();
    const first = lease.write('own/leaders/s', 'old', 0);
    await settle();
    mock.timers.tick(100);
    const revision = await first;
    t.is(revision, others.get('own/leaders/s')?.revision);
    t.truthy(await lease.write('own/leaders/s', 'new', revision));
    t.is(await lease.write('own/leaders/s', 'late', revision), undefined);
    // The first attempt arrives once more.
    const late = commits.find(({writes}) => writes[0].value === 'old');
    t.true((await store.commit(late!)).isErr());
    t.is(others.get('own/leaders/s')?.value.toString(), 'new');
    t.true(lease.isHeld);
  },
);
