/** The list of fronts when a restored store lacks some of their entries. */
import test from 'ava';
import {FrontList, frontEntryKey} from '../../src/front/front_list.js';
import {StoredItem} from '../../src/store/key_values.js';

const PREFIX = 'own/';

function itemsOf(...vms: string[]): ReadonlyMap<string, StoredItem> {
  const items = vms.map((vm, index): [string, StoredItem] => {
    const key = frontEntryKey(PREFIX, vm);
    const place = {zone: 'z', region: 'r'};
    const member = {vm, host: 'h', port: 1, place, leaving: false};
    const value = Buffer.from(JSON.stringify(member));
    return [key, {key, value, revision: index + 1}];
  });
  return new Map(items);
}

const createList = () => {
  const clock = {nowMs: 0};
  const list = FrontList.create(
    PREFIX,
    () => undefined,
    () => clock.nowMs,
  );
  const names = (items: ReadonlyMap<string, StoredItem>): string[] =>
    [...list.decodeFronts(items).keys()].sort();
  return {clock, list, names};
};

// Guards against shares of a rate that add up to more than the rate.
test('a front without an entry is kept until its lease has ended', t => {
  const {clock, list, names} = createList();
  names(itemsOf('a', 'b', 'c'));
  list.retain();
  const afterRestore = itemsOf('a');
  t.deepEqual(names(afterRestore), ['a', 'b', 'c']);
  clock.nowMs = 6_000;
  t.deepEqual(names(afterRestore), ['a', 'b', 'c']);
  clock.nowMs = 7_000;
  t.deepEqual(names(afterRestore), ['a']);
});

// Guards against work for a front that has registered again and then left.
test('a front that is listed again is no longer kept', t => {
  const {list, names} = createList();
  names(itemsOf('a', 'b'));
  list.retain();
  t.deepEqual(names(itemsOf('a')), ['a', 'b']);
  t.deepEqual(names(itemsOf('a', 'b')), ['a', 'b']);
  t.deepEqual(names(itemsOf('a')), ['a']);
});
