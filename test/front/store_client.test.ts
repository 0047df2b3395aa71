/** Revisions of a store that is restored from an older copy. */
import test from 'ava';
import {ok} from 'neverthrow';
import {eraOf, isSameWrite} from '../../src/core/store_revision.js';
import {KeyValueStore} from '../../src/store/key_values.js';
import {
  createKeyValueStore,
  StoreClient,
} from '../../src/store/store_client.js';

/** A store whose state a test sets; counts the commits that it receives. */
function createFakeStore(): {
  readonly state: {era: number; revision: number; commits: number};
  readonly store: KeyValueStore;
  readonly eras: number[];
} {
  const state = {era: 1, revision: 100, commits: 0};
  const eras: number[] = [];
  const reply = async <T>(value: T) => ({era: state.era, result: ok(value)});
  const client: StoreClient = {
    listPage: (prefix, afterKey) =>
      reply({
        items: [
          {
            key: `${prefix}${afterKey === '' ? 'a' : 'b'}`,
            value: Buffer.alloc(0),
            revision: state.revision,
          },
        ],
        revision: state.revision,
        hasMore: afterKey === '',
      }),
    watch: () => reply({events: [], revision: state.revision}),
    commit: () => {
      state.commits++;
      return reply(++state.revision);
    },
    grant: ttlMs => reply({leaseId: 7, ttlMs}),
    renew: () => reply(1_000),
    revoke: () => reply(undefined),
  };
  const store = createKeyValueStore(client, era => eras.push(era));
  return {state, store, eras};
}

const transaction = (revision: number) => ({
  expected: [{key: 'k', revision}],
  writes: [],
  removals: [],
});

// Guards against taking a view of a lost history for one of the present store.
test('a watch that succeeds in another era reports discarded history', async t => {
  const {state, store, eras} = createFakeStore();
  const {revision} = (await store.list(''))._unsafeUnwrap();
  t.true((await store.watch('', revision, 0)).isOk());
  state.era = 2;
  state.revision = 120;
  const watched = await store.watch('', revision, 0);
  t.is(watched._unsafeUnwrapErr().kind, 'history_gone');
  t.deepEqual(eras, [1, 2]);
});

// Guards against fencing tokens and views that go back with the store.
test('revisions rise although the store gives them out again', async t => {
  const {state, store} = createFakeStore();
  const before = (await store.commit(transaction(0)))._unsafeUnwrap();
  state.era = 2;
  state.revision = 40;
  const after = (await store.commit(transaction(0)))._unsafeUnwrap();
  t.true(after > before);
  t.deepEqual([eraOf(before), eraOf(after)], [1, 2]);
});

// Guards against a condition that holds only because another write has got the
// same revision.
test('a condition from a lost era is a conflict and is not sent', async t => {
  const {state, store} = createFakeStore();
  const held = (await store.commit(transaction(0)))._unsafeUnwrap();
  state.era = 2;
  t.true((await store.grant(1_000)).isOk());
  const {commits} = state;
  const result = await store.commit(transaction(held));
  t.is(result._unsafeUnwrapErr().kind, 'conflict');
  t.is(state.commits, commits);
});

// Guards against relying on a commit whose condition a reused revision has met.
test('a commit that is executed in a later era than its condition is unknown', async t => {
  const {state, store} = createFakeStore();
  const held = (await store.commit(transaction(0)))._unsafeUnwrap();
  state.era = 2;
  const result = await store.commit(transaction(held));
  t.is(result._unsafeUnwrapErr().kind, 'unknown');
});

// Guards against a list that mixes items from before and after a restore.
test('a list is not taken when the store is restored between two pages', async t => {
  const {state, store} = createFakeStore();
  const pages = store.list('');
  state.era = 2;
  t.true((await pages).isErr());
  const listed = (await store.list(''))._unsafeUnwrap();
  t.deepEqual(
    listed.items.map(({key}) => key),
    ['a', 'b'],
  );
  t.true(listed.items.every(({revision}) => eraOf(revision) === 2));
});

// Guards against a response that was under way during the restore.
test('a delayed response of an earlier era is not used', async t => {
  const {state, store} = createFakeStore();
  state.era = 2;
  await store.list('');
  state.era = 1;
  t.is((await store.list(''))._unsafeUnwrapErr().kind, 'unknown');
});

test('a write that the copy includes is recognized in the next era', async t => {
  const {state, store} = createFakeStore();
  const written = (await store.commit(transaction(0)))._unsafeUnwrap();
  state.era = 2;
  const listed = (await store.list(''))._unsafeUnwrap();
  t.true(isSameWrite(listed.revision, written));
  t.false(isSameWrite(listed.revision, written - 1));
});
