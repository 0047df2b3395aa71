/** When a front may rely on a restored store again, in virtual time. */
import {mock} from 'node:test';
import test from 'ava';
import {StoreEra, StoreEraOptions} from '../../src/front/store_era.js';
import {StoredItem} from '../../src/store/key_values.js';
import {advance} from '../fixtures/virtual_time.js';

const KEY = 'own/era';

const itemsOf = (mark?: string): ReadonlyMap<string, StoredItem> =>
  new Map(
    mark === undefined
      ? []
      : [[KEY, {key: KEY, value: Buffer.from(mark), revision: 1}]],
  );

function createEra(
  t: {teardown: (end: () => void) => void},
  start: {era: number; mark?: string; isFirstStart?: boolean},
) {
  mock.timers.enable({apis: ['setInterval', 'Date']});
  const source = {
    era: start.era,
    eraAtStart: start.era,
    eraSeenAtMs: Date.now(),
    fleetItems$: {value: itemsOf(start.mark)},
    fleetItemsAtStart: itemsOf(start.mark),
  };
  const written: string[] = [];
  const options: StoreEraOptions = {
    source,
    key: KEY,
    isFirstStart: start.isFirstStart ?? false,
    write: async (_key, value) => {
      written.push(value);
      source.fleetItems$.value = itemsOf(value);
      return 1;
    },
    isLeaseHeld: () => true,
    nowMs: () => Date.now(),
  };
  const storeEra = StoreEra.create(options);
  t.teardown(() => {
    storeEra.close();
    mock.timers.reset();
  });
  return {source, storeEra, written};
}

// Guards against two holders of the coordinator lease: one relies on a lease
// that the store has lost, while the other acquires it.
test.serial(
  'after a restore nobody acquires the lease before a former one has ended',
  async t => {
    const {source, storeEra} = createEra(t, {era: 1, mark: '1'});
    t.true(storeEra.isFormerLeaseOver);
    source.era = 2;
    source.eraSeenAtMs = Date.now();
    t.false(storeEra.isFormerLeaseOver);
    await advance(2_400);
    t.false(storeEra.isFormerLeaseOver);
    await advance(200);
    t.true(storeEra.isFormerLeaseOver);
  },
);

// Guards against a restarted front that takes what the store lists for all that
// fronts hold, just after a restore.
test.serial(
  'a front that starts in an era without a mark waits longer',
  async t => {
    const {storeEra} = createEra(t, {era: 2, mark: '1'});
    t.false(storeEra.wasSettledAtStart);
    await advance(5_900);
    t.false(storeEra.isFormerLeaseOver);
    await advance(200);
    t.true(storeEra.isFormerLeaseOver);
  },
);

test.serial('an era is marked once, after it has settled', async t => {
  const {source, written} = createEra(t, {era: 2, mark: '1'});
  await advance(5_900);
  t.deepEqual(written, []);
  await advance(5_000);
  t.deepEqual(written, ['2']);
  source.era = 3;
  source.eraSeenAtMs = Date.now();
  await advance(8_000);
  t.deepEqual(written, ['2', '3']);
});

test.serial('no wait at the first start, nor without eras', async t => {
  const first = createEra(t, {era: 1, isFirstStart: true});
  t.true(first.storeEra.isFormerLeaseOver);
  mock.timers.reset();
  const plain = createEra(t, {era: 0});
  t.true(plain.storeEra.isFormerLeaseOver && plain.storeEra.wasSettledAtStart);
  await advance(9_000);
  t.deepEqual(plain.written, []);
});
