/** Odd items under the key of the secret that fronts share. */
import test, {ExecutionContext} from 'ava';
import {ok} from 'neverthrow';
import {BehaviorSubject} from 'rxjs';
import {Registration} from '../../src/front/registration.js';
import {StoreFeed} from '../../src/front/store_feed.js';
import {
  KeyValueStore,
  StoredItem,
  StoreTransaction,
} from '../../src/store/key_values.js';

const SECRET_KEY = 'own/secret';
const SECRET = 'ab'.repeat(24);

/** Starts a front's registration beside an item under the secret's key. */
function register(t: ExecutionContext, value: Buffer) {
  const commits: StoreTransaction[] = [];
  const events: string[] = [];
  const store = {
    grant: () => Promise.resolve(ok({leaseId: 1, ttlMs: 6_000})),
    commit: (transaction: StoreTransaction) => {
      commits.push(transaction);
      return Promise.resolve(ok(9));
    },
    renew: () => Promise.resolve(ok(undefined)),
    revoke: () => Promise.resolve(ok(undefined)),
  } as unknown as KeyValueStore;
  const item = {key: SECRET_KEY, value, revision: 7};
  const items = new Map<string, StoredItem>([[SECRET_KEY, item]]);
  const feed = {
    config: {},
    config$: new BehaviorSubject({}),
    fleetItems$: new BehaviorSubject(items),
    isStoreFailing: false,
    knownRevision: 8,
  };
  const registration = Registration.create({
    member: {
      vm: 'a',
      host: 'h',
      port: 1,
      place: {zone: 'z', region: 'r'},
      leaving: false,
    },
    prefix: 'own/',
    store,
    feed: feed as unknown as StoreFeed,
    log: event => events.push(event),
  });
  t.teardown(() => registration.close());
  return {registration, commits, events, feed};
}

const settle = (): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, 50));

const secretWrites = (commits: readonly StoreTransaction[]) =>
  commits.flatMap(({writes}) => writes).filter(({key}) => key === SECRET_KEY);

// Guards against a secret that anybody knows: an empty item was taken for it.
test('an odd item is not taken for the secret and is replaced by one', async t => {
  const odd = ['', 'x', SECRET.toUpperCase(), `${SECRET}\n`, '0'.repeat(1e5)];
  const values = odd.map(text => Buffer.from(text, 'latin1'));
  for (const value of [...values, Buffer.alloc(48, 0xff)]) {
    const {registration, commits, events} = register(t, value);
    await settle();
    t.is(registration.secret, '');
    const [written] = secretWrites(commits);
    t.regex(written.value, /^[0-9a-f]{48}$/);
    const [{expected}] = commits;
    t.deepEqual(expected[0], {key: SECRET_KEY, revision: 7});
    t.deepEqual(events.slice(0, 1), ['secret_invalid']);
  }
});

test('a secret that is known outlives an odd item', async t => {
  const {registration, commits, events, feed} = register(
    t,
    Buffer.from(SECRET),
  );
  await settle();
  t.deepEqual(secretWrites(commits), []);
  const odd = {key: SECRET_KEY, value: Buffer.alloc(0), revision: 9};
  feed.fleetItems$.next(new Map([[SECRET_KEY, odd]]));
  feed.fleetItems$.next(new Map([[SECRET_KEY, odd]]));
  t.is(registration.secret, SECRET);
  t.is(events.filter(event => event === 'secret_invalid').length, 1);
});
