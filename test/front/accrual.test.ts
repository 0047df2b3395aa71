/** Whether a front that starts accrues its rate shares. */
import test from 'ava';
import {Accrual} from '../../src/front/accrual.js';
import {StoredItem} from '../../src/store/key_values.js';

const PREFIX = 'own/fronts/';

function createAccrual(listed: readonly string[], wasSettled: boolean) {
  const clock = {nowMs: 0};
  const items = listed.map((vm): [string, StoredItem] => {
    const key = PREFIX + vm;
    return [key, {key, value: Buffer.alloc(0), revision: 1}];
  });
  const accrual = Accrual.create({
    view: {isFresh: true, fleetItemsAtStart: new Map(items)},
    entryPrefix: PREFIX,
    entryKey: `${PREFIX}a`,
    wasSettledAtStart: () => wasSettled,
    isLeaseValid: () => true,
    nowMs: () => clock.nowMs,
  });
  return {clock, accrual};
}

test('a front accrues at once unless it joins a running fleet', t => {
  t.true(createAccrual([], true).accrual.isAllowed);
  t.true(createAccrual(['a', 'b'], true).accrual.isAllowed);
  const {clock, accrual} = createAccrual(['b'], true);
  t.false(accrual.isAllowed);
  clock.nowMs = 5_500;
  t.true(accrual.isAllowed);
});

// Guards against shares that running fronts still accrue: a restored store may
// list none of them, or only the one that has restarted.
test('a front that starts soon after a restore does not accrue at once', t => {
  for (const listed of [[], ['a']]) {
    const {clock, accrual} = createAccrual(listed, false);
    t.false(accrual.isAllowed);
    clock.nowMs = 3_000;
    t.is(accrual.startMs(), 3_000);
    clock.nowMs = 5_500;
    t.true(accrual.isAllowed);
  }
});
