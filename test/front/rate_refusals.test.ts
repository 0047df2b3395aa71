/** Who waits and who is refused over a customer's rate, in virtual time. */
import {mock} from 'node:test';
import test from 'ava';
import {NEVER} from 'rxjs';
import {LentInterval} from '../../src/core/rates.js';
import {RateLimiter} from '../../src/proxy/rate_limiter.js';

const ROUND_TRIP_MS = 40;
const LENDERS = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];

interface Outcome {
  readonly granted: boolean;
  readonly tookMs: number;
}

/** Lets all promises that can settle do so. */
const settle = async (): Promise<void> => {
  for (let n = 0; n < 20; n++) await Promise.resolve();
};

async function advance(ms: number): Promise<void> {
  for (let n = 0; n < ms; n++) {
    mock.timers.tick(1);
    await settle();
  }
}

/** A front that accrues `share` of 20 a second, among lenders that have `stock`. */
function keeperWith(share: number, stock: (lender: string) => number) {
  const keeper = RateLimiter.create({
    rates: () => new Map([['hot', {ratePerS: 20, burst: 20}]]),
    changed$: NEVER,
    lenders: () => LENDERS,
    lendersPerRound: 2,
    nowMs: () => Date.now(),
    share: () => share,
    requestTokens: async (lender, {wanted}): Promise<LentInterval[]> => {
      await new Promise(done => setTimeout(done, ROUND_TRIP_MS));
      const tokens = Math.min(wanted, stock(lender));
      if (tokens <= 0) return [];
      return [{oldestAgeMs: 100, newestAgeMs: 0, tokensPerMs: tokens / 100}];
    },
  });
  const outcomes: Outcome[] = [];
  const ask = (): void => {
    const startedMs = Date.now();
    const done = (granted: boolean): void => {
      outcomes.push({granted, tookMs: Date.now() - startedMs});
    };
    const answer = keeper.admit('hot');
    if (typeof answer === 'boolean') done(answer);
    else void answer.then(done);
  };
  return {keeper, outcomes, ask};
}

test.beforeEach(() =>
  mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date']}),
);
test.afterEach.always(() => mock.timers.reset());

test.serial(
  'one customer asks ten times its rate of a drained fleet: told soon, most at once',
  async t => {
    const {keeper, outcomes, ask} = keeperWith(1 / 9, () => 0);
    for (let n = 0; n < 400; n++) {
      ask();
      await advance(5);
    }
    await advance(300);
    const late = outcomes.slice(100).map(outcome => outcome.tookMs);
    const held = late.filter(ms => ms > 125).length;
    t.true(held <= late.length * 0.02, `${held} held for long`);
    const atOnce = late.filter(ms => ms === 0).length;
    t.true(atOnce >= late.length * 0.7, `${atOnce} told at once`);
    const granted = outcomes.filter(outcome => outcome.granted).length;
    t.true(granted >= 4 && granted <= 6, `${granted} granted`);
    keeper.close();
  },
);

test.serial(
  'a front without a share asks one lender after another before it refuses',
  async t => {
    const {keeper, outcomes, ask} = keeperWith(0, vm => (vm === 'h' ? 5 : 0));
    ask();
    await advance(300);
    t.deepEqual(
      outcomes.map(outcome => outcome.granted),
      [true],
    );
    keeper.close();
  },
);

test.serial(
  'lenders with tokens: a customer within its rate is never refused',
  async t => {
    const {keeper, outcomes, ask} = keeperWith(0, () => 1);
    for (let n = 0; n < 40; n++) {
      ask();
      await advance(60);
    }
    await advance(300);
    t.is(outcomes.length, 40);
    t.true(outcomes.every(outcome => outcome.granted));
    keeper.close();
  },
);

test.serial(
  'alone, a front lets as many wait as tokens accrue in time',
  async t => {
    const {keeper, outcomes, ask} = keeperWith(1, () => 0);
    await advance(2);
    for (let n = 0; n < 12; n++) ask();
    await advance(400);
    const granted = outcomes.filter(outcome => outcome.granted).length;
    t.true(granted >= 4, `${granted} granted`);
    keeper.close();
  },
);

test('shares are not read again while what they depend on is the same', async t => {
  let reads = 0;
  let basis = {};
  const rates = new Map([['hot', {ratePerS: 20, burst: 20}]]);
  const keeper = RateLimiter.create({
    rates: () => rates,
    changed$: NEVER,
    lenders: () => [],
    nowMs: () => Date.now(),
    share: () => {
      reads++;
      return 1;
    },
    sharesChangeToken: () => basis,
    requestTokens: () => Promise.resolve([]),
  });
  await advance(500);
  const settled = reads;
  await advance(2_000);
  t.is(reads, settled);
  basis = {};
  await advance(200);
  t.true(reads > settled);
  keeper.close();
});
