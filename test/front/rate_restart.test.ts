/**
 * Rates of a front that was started again and keeps its shares: tokens that it
 * has from its start on must not have accrued at another front as well.
 */
import {mock} from 'node:test';
import test from 'ava';
import {Subject} from 'rxjs';
import {KeptShare, Rate} from '../../src/core/rates.js';
import {RateLimiter} from '../../src/proxy/rate_limiter.js';
import {advance} from '../fixtures/virtual_time.js';

const STARTED_MS = 0;
/** Time until another front, which held the rate, leaves. */
const UNTIL_TAKEN_OVER_MS = 3_000;
const RATE: Rate = {ratePerS: 100, burst: 200};

test.serial.beforeEach(() =>
  mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date']}),
);
test.serial.afterEach.always(() => mock.timers.reset());

/** Creates the limiter of a restarted front that can borrow from nobody. */
function createLimiter(keptShare: number, rate = RATE) {
  const state = {share: keptShare, rates: new Map([['hot', rate]])};
  const changed$ = new Subject<void>();
  const kept: KeptShare = {share: keptShare, sinceMs: STARTED_MS};
  const limiter = RateLimiter.create({
    rates: () => state.rates,
    changed$,
    lenders: () => [],
    nowMs: () => Date.now(),
    share: () => state.share,
    keptShare: () => kept,
    requestTokens: () => Promise.resolve([]),
  });
  return {limiter, state, changed$};
}

/** Returns how many requests are granted at once. */
function takeAll(limiter: RateLimiter): number {
  let granted = 0;
  while (limiter.admit('hot') === true) granted++;
  return granted;
}

test.serial('a share kept over a restart accrues from the start', async t => {
  const {limiter, changed$} = createLimiter(1);
  mock.timers.setTime(1_000);
  changed$.next();
  t.is(takeAll(limiter), 100);
  limiter.close();
});

// Guards against a rate that is exceeded by up to its burst: a share that the
// restarted front takes over has accrued at the former holder until then.
test.serial(
  'a share taken over soon after a restart accrues from then on',
  async t => {
    const {limiter, state} = createLimiter(0);
    await advance(UNTIL_TAKEN_OVER_MS);
    state.share = 1;
    await advance(100);
    const granted = takeAll(limiter);
    t.true(granted <= 10, `${granted} granted`);
    limiter.close();
  },
);

// Guards against tokens of a part of the share that another front held.
test.serial(
  'a share that grows after a restart grows from then on',
  async t => {
    const {limiter, state, changed$} = createLimiter(0.5);
    mock.timers.setTime(1_000);
    state.share = 1;
    changed$.next();
    const granted = takeAll(limiter);
    t.true(granted <= 50, `${granted} granted`);
    limiter.close();
  },
);

// Guards against shares of a rate that had other holders before it was changed.
test.serial(
  'a share of a rate that was changed after a restart accrues from then on',
  async t => {
    const {limiter, state} = createLimiter(1, {ratePerS: 10, burst: 4});
    state.share = 0;
    await advance(1_000);
    state.rates = new Map([['hot', RATE]]);
    state.share = 1;
    await advance(100);
    const granted = takeAll(limiter);
    t.true(granted <= 10, `${granted} granted`);
    limiter.close();
  },
);
