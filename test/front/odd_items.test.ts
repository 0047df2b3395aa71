/** Odd items among those that fronts write to the store. */
import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {decodeLeaderRecord} from '../../src/core/leader_record.js';
import {FrontList, frontEntryKey} from '../../src/front/front_list.js';
import {StoredItem} from '../../src/store/key_values.js';

const PREFIX = 'own/';
const SEED = 35;
const NUMBER_OF_RUNS = 2_000;
const NESTING_DEPTH = 100_000;

const MEMBER = {
  vm: 'front-1',
  host: '127.0.0.1',
  port: 7_560,
  place: {zone: 'z', region: 'r'},
  leaving: false,
};

/** Returns the fronts that a list with one entry yields. */
function decodeFront(text: string, vm = MEMBER.vm) {
  const list = FrontList.create(PREFIX, () => undefined);
  const key = frontEntryKey(PREFIX, vm);
  const item: StoredItem = {key, value: Buffer.from(text), revision: 1};
  return [...list.decodeFronts(new Map([[key, item]])).values()];
}

const ODD_MEMBERS: readonly string[] = [
  ...[0, -1, 65_536, 1e308, 1.5, '80', null].map(port => ({...MEMBER, port})),
  ...['', 'a b', 'a\r\n', 'h'.repeat(300), 7, null].map(host => ({
    ...MEMBER,
    host,
  })),
  ...['', 'front-2', 7, null].map(vm => ({...MEMBER, vm})),
  ...[null, {}, {zone: 1, region: 'r'}, []].map(place => ({...MEMBER, place})),
  {...MEMBER, leaving: 'no'},
  [],
  null,
  7,
]
  .map(value => JSON.stringify(value))
  .concat(
    '',
    '['.repeat(NESTING_DEPTH) + ']'.repeat(NESTING_DEPTH),
    '{"__proto__":{"vm":"front-1"}}',
  );

// Guards against calls that hang: an address that cannot exist threw while the
// link to that front was connecting, and later calls waited for it.
test('an entry of a front with a field that cannot be used is passed over', t => {
  t.deepEqual(decodeFront(JSON.stringify(MEMBER)), [MEMBER]);
  for (const text of ODD_MEMBERS) {
    t.deepEqual(decodeFront(text), [], text.slice(0, 200));
  }
});

testProp(
  'an entry of a front with a random field is passed over or can be used',
  [fc.constantFrom(...Object.keys(MEMBER)), fc.json({maxDepth: 3})],
  (t, name, json) => {
    const text = JSON.stringify({...MEMBER, [name]: JSON.parse(json)});
    for (const {vm, host, port} of decodeFront(text)) {
      t.is(vm, MEMBER.vm);
      t.true(/^[!-~]+$/.test(host) && port >= 1 && port <= 65_535);
    }
    t.pass();
  },
  {seed: SEED, numRuns: NUMBER_OF_RUNS},
);

// Guards against a service that no database may lead any more: a record with an
// era beyond all others stayed the newest for good.
test('a leader record with an era that cannot exist is not taken', t => {
  const record = {service: 'orders', database: 'b', settled: true};
  for (const era of [-1, 1.5, 1e308, 2 ** 53, 9_000, '2', null, []]) {
    const text = JSON.stringify({...record, era});
    t.is(decodeLeaderRecord(text, 5), undefined, text);
  }
  t.is(decodeLeaderRecord(JSON.stringify(record), 5)?.revision, 5);
  t.is(decodeLeaderRecord('['.repeat(NESTING_DEPTH), 5), undefined);
});
