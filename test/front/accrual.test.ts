/** Whether a front that starts accrues its rate shares. */
import test from 'ava';
import {Accrual} from '../../src/front/accrual.js';
import {FirstWrite} from '../../src/front/registration.js';
import {FrontMember} from '../../src/core/fronts.js';

const member = (vm: string, leaving: boolean): FrontMember => ({
  vm,
  host: '',
  port: 0,
  place: {zone: 'z', region: 'r'},
  leaving,
});

/** Creates the accrual of front `a`; `leaving` fronts are among the listed. */
function createAccrual(
  listed: readonly string[],
  wasSettled: boolean,
  leaving: readonly string[] = [],
  write: Partial<FirstWrite> = {},
) {
  const clock = {nowMs: 0};
  const firstWrite = {
    atMs: 0,
    foundEntry: listed.includes('a'),
    ...write,
  };
  const fronts = new Map(
    listed.map(vm => [vm, member(vm, leaving.includes(vm))]),
  );
  const accrual = Accrual.create({
    self: 'a',
    isViewFresh: () => true,
    frontsAtStart: () => fronts,
    wasSettledAtStart: () => wasSettled,
    firstWrite: () => firstWrite,
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
    t.is(accrual.keptSinceMs, undefined);
    clock.nowMs = 5_500;
    t.true(accrual.isAllowed);
  }
});

// Guards against a share that two fronts accrue: the others have taken over the
// share of a front that leaves before its process is started again.
test('a front whose former process announced that it leaves joins anew', t => {
  const {clock, accrual} = createAccrual(['a', 'b'], true, ['a']);
  t.false(accrual.isAllowed);
  t.is(accrual.keptSinceMs, undefined);
  clock.nowMs = 5_500;
  t.true(accrual.isAllowed);
});

// Guards against a share that two fronts accrue: the others have taken it over
// if the entry of the former process ended before the new one wrote its own.
test('a front whose former entry ended meanwhile joins anew', t => {
  const write = {atMs: 4_000, foundEntry: false};
  const {clock, accrual} = createAccrual(['a', 'b'], true, [], write);
  clock.nowMs = 9_400;
  t.false(accrual.isAllowed);
  t.is(accrual.keptSinceMs, undefined);
  clock.nowMs = 9_500;
  t.true(accrual.isAllowed);
});
