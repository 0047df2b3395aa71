/**
 * The entry of a front whose process was started again under the same name, in
 * virtual time: what one process wrote must not pass for another one's.
 */
import {mock} from 'node:test';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {BehaviorSubject} from 'rxjs';
import {qualifyRevision} from '../../src/core/store_revision.js';
import {Registration} from '../../src/front/registration.js';
import {StoreFeed} from '../../src/front/store_feed.js';
import {
  KeyValueStore,
  StoredItem,
  StoreFaultKind,
  StoreTransaction,
} from '../../src/store/key_values.js';
import {advance, settle} from '../fixtures/virtual_time.js';

const PREFIX = 'own/';
const ENTRY_KEY = `${PREFIX}fronts/a`;
const SECRET_KEY = `${PREFIX}secret`;
/** Longer than the interval at which a front checks its entry. */
const CHECK_MS = 600;

interface HeldItem extends StoredItem {
  readonly leaseId: number;
}

/**
 * How the store treats transactions: executes and answers them, refuses them,
 * executes them without an answer, or keeps them to be executed late.
 */
type CommitMode = 'normal' | 'refuse' | 'answer_lost' | 'delay';

const fault = (kind: StoreFaultKind) => err({kind, message: kind});

/** A store that fronts use through views that are updated by `show`. */
function createStore() {
  const state = {mode: 'normal' as CommitMode, revision: 10, era: 1};
  const items = new Map<string, HeldItem>();
  const delayed: StoreTransaction[] = [];
  let leases = 0;
  const present = (): number => qualifyRevision(state.era, state.revision);
  const put = (key: string, text: string, leaseId = 0): void => {
    state.revision++;
    const value = Buffer.from(text);
    items.set(key, {key, value, revision: present(), leaseId});
  };
  const execute = ({expected, writes}: StoreTransaction): boolean => {
    const isMet = expected.every(
      ({key, revision}) => (items.get(key)?.revision ?? 0) === revision,
    );
    if (!isMet) return false;
    for (const {key, value, leaseId} of writes) put(key, value, leaseId);
    return true;
  };
  const client = {
    grant: async (ttlMs: number) => ok({leaseId: ++leases, ttlMs}),
    renew: async () => ok(6_000),
    revoke: async () => ok(undefined),
    commit: async (transaction: StoreTransaction) => {
      if (state.mode === 'refuse') return fault(StoreFaultKind.notApplied);
      if (state.mode === 'delay') {
        delayed.push(transaction);
        return fault(StoreFaultKind.unknown);
      }
      const isDone = execute(transaction);
      if (state.mode === 'answer_lost') return fault(StoreFaultKind.unknown);
      return isDone ? ok(present()) : fault(StoreFaultKind.conflict);
    },
  } as unknown as KeyValueStore;
  const executeDelayed = (): void => {
    for (const transaction of delayed.splice(0)) execute(transaction);
  };
  const entryLease = (): number | undefined => items.get(ENTRY_KEY)?.leaseId;
  put(SECRET_KEY, 'secret');
  return {state, items, client, put, executeDelayed, present, entryLease};
}

/** Starts a process of the front `a`, which has just listed the store. */
function startProcess(store: ReturnType<typeof createStore>) {
  const fleetItems$ = new BehaviorSubject<ReadonlyMap<string, StoredItem>>(
    new Map(store.items),
  );
  let knownRevision = store.present();
  const feed = {
    config: {},
    config$: new BehaviorSubject({}),
    fleetItems$,
    isStoreFailing: false,
    get knownRevision() {
      return knownRevision;
    },
  } as unknown as StoreFeed;
  const registration = Registration.create({
    member: {
      vm: 'a',
      host: 'h',
      port: 1,
      place: {zone: 'z', region: 'r'},
      leaving: false,
    },
    prefix: PREFIX,
    store: store.client,
    feed,
    log: () => undefined,
  });
  const show = (): void => {
    knownRevision = store.present();
    fleetItems$.next(new Map(store.items));
  };
  return {registration, show};
}

test.serial.beforeEach(() =>
  mock.timers.enable({apis: ['setTimeout', 'setInterval']}),
);
test.serial.afterEach.always(() => mock.timers.reset());

// Guards against a right that rests on the entry of the former process, which
// ends with that process's lease.
test.serial(
  'the lease of a process counts only once its own entry is written',
  async t => {
    const store = createStore();
    store.put(ENTRY_KEY, '{"vm":"a"}', 99);
    store.state.mode = 'refuse';
    const {registration, show} = startProcess(store);
    await advance(CHECK_MS);
    t.false(registration.isLeaseValid);
    store.state.mode = 'normal';
    await advance(CHECK_MS);
    t.true(registration.isLeaseValid);
    t.false(registration.isWriteInView);
    t.false(registration.isRegistrationInView);
    show();
    t.true(registration.isWriteInView);
    t.true(registration.isRegistrationInView);
    t.true(registration.firstWrite?.foundEntry);
    await registration.close();
  },
);

// Guards against an entry with the lease, address or leave announcement of a
// process that has ended.
test.serial(
  'a write of the former process that is executed late changes nothing',
  async t => {
    const store = createStore();
    store.state.mode = 'delay';
    const former = startProcess(store);
    await settle();
    await former.registration.close();
    store.state.mode = 'normal';
    const {registration} = startProcess(store);
    await settle();
    const lease = store.entryLease();
    t.true(registration.isLeaseValid);
    store.executeDelayed();
    t.is(store.entryLease(), lease);
    await registration.close();
  },
);

// Guards against a former process that keeps its rights next to the present one.
test.serial(
  'a process whose entry was replaced by a later one of its name gives way',
  async t => {
    const store = createStore();
    const former = startProcess(store);
    await settle();
    former.show();
    t.true(former.registration.isLeaseValid);
    const present = startProcess(store);
    await settle();
    present.show();
    former.show();
    const lease = store.entryLease();
    await advance(CHECK_MS);
    t.false(former.registration.isLeaseValid);
    t.true(present.registration.isLeaseValid);
    t.is(store.entryLease(), lease);
    await former.registration.close();
    await present.registration.close();
  },
);

// Guards against taking an own write without an answer for another process's.
test.serial(
  'an entry that was written without an answer is written again',
  async t => {
    const store = createStore();
    store.state.mode = 'answer_lost';
    const {registration, show} = startProcess(store);
    await settle();
    t.truthy(store.entryLease());
    t.false(registration.isLeaseValid);
    store.state.mode = 'normal';
    show();
    await advance(CHECK_MS);
    t.true(registration.isLeaseValid);
    t.false(registration.firstWrite?.foundEntry);
    await registration.close();
  },
);

// Guards against a front that waits for its view before it registers again.
test.serial(
  'an entry that ended is written as soon as the view shows it',
  async t => {
    const store = createStore();
    store.put(ENTRY_KEY, '{"vm":"a"}', 99);
    const {registration, show} = startProcess(store);
    store.items.delete(ENTRY_KEY);
    await settle();
    t.false(registration.isLeaseValid);
    show();
    await settle();
    t.true(registration.isLeaseValid);
    t.false(registration.firstWrite?.foundEntry);
    await registration.close();
  },
);

// Guards against an entry of an earlier process that a copy brings back.
test.serial('an older entry of a restored store is replaced', async t => {
  const store = createStore();
  store.put(ENTRY_KEY, '{"vm":"a"}', 99);
  const [copy] = [new Map(store.items)];
  const {registration, show} = startProcess(store);
  await settle();
  show();
  const lease = store.entryLease();
  store.state.era = 2;
  store.items.clear();
  for (const [key, item] of copy) {
    const revision = qualifyRevision(2, item.revision % 2 ** 40);
    store.items.set(key, {...item, revision});
  }
  show();
  await advance(CHECK_MS);
  t.is(store.entryLease(), lease);
  await registration.close();
});
