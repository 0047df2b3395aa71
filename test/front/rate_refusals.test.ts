/**
 * Which requests wait and which are refused when a customer exceeds its rate,
 * in virtual time.
 */
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

/**
 * Lets chains of pending promise callbacks finish while virtual time stands
 * still.
 */
const runPendingCallbacks = async (): Promise<void> => {
  for (let n = 0; n < 20; n++) await Promise.resolve();
};

async function advance(ms: number): Promise<void> {
  for (let n = 0; n < ms; n++) {
    mock.timers.tick(1);
    await runPendingCallbacks();
  }
}

/**
 * Creates the limiter of a front that accrues the fraction `share` of 20 tokens
 * per second and borrows from lenders that hold `stock` tokens each.
 */
function createLimiter(share: number, stock: (lender: string) => number) {
  const limiter = RateLimiter.create({
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
  const admit = (): void => {
    const startedMs = Date.now();
    const done = (granted: boolean): void => {
      outcomes.push({granted, tookMs: Date.now() - startedMs});
    };
    const answer = limiter.admit('hot');
    if (typeof answer === 'boolean') done(answer);
    else void answer.then(done);
  };
  return {limiter, outcomes, admit};
}

test.beforeEach(() =>
  mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date']}),
);
test.afterEach.always(() => mock.timers.reset());

test.serial(
  'a customer at ten times its rate in a fleet without tokens is refused soon, mostly at once',
  async t => {
    const {limiter, outcomes, admit} = createLimiter(1 / 9, () => 0);
    for (let n = 0; n < 400; n++) {
      admit();
      await advance(5);
    }
    await advance(300);
    const late = outcomes.slice(100).map(outcome => outcome.tookMs);
    const held = late.filter(ms => ms > 125).length;
    t.true(held <= late.length * 0.02, `${held} held for long`);
    const atOnce = late.filter(ms => ms === 0).length;
    t.true(atOnce >= late.length * 0.7, `${atOnce} answered at once`);
    const granted = outcomes.filter(outcome => outcome.granted).length;
    t.true(granted >= 4 && granted <= 6, `${granted} granted`);
    limiter.close();
  },
);

test.serial(
  'a front without a share tries one lender after another before it refuses',
  async t => {
    const {limiter, outcomes, admit} = createLimiter(0, vm =>
      vm === 'h' ? 5 : 0,
    );
    admit();
    await advance(300);
    t.deepEqual(
      outcomes.map(outcome => outcome.granted),
      [true],
    );
    limiter.close();
  },
);

test.serial(
  'a customer within its rate is never refused while lenders have tokens',
  async t => {
    const {limiter, outcomes, admit} = createLimiter(0, () => 1);
    for (let n = 0; n < 40; n++) {
      admit();
      await advance(60);
    }
    await advance(300);
    t.is(outcomes.length, 40);
    t.true(outcomes.every(outcome => outcome.granted));
    limiter.close();
  },
);

test.serial(
  'without lenders, a front lets as many requests wait as tokens accrue in time',
  async t => {
    const {limiter, outcomes, admit} = createLimiter(1, () => 0);
    await advance(2);
    for (let n = 0; n < 12; n++) admit();
    await advance(400);
    const granted = outcomes.filter(outcome => outcome.granted).length;
    t.true(granted >= 4, `${granted} granted`);
    limiter.close();
  },
);

test('shares are not read again while the change token stays the same', async t => {
  let reads = 0;
  let changeToken = {};
  const rates = new Map([['hot', {ratePerS: 20, burst: 20}]]);
  const limiter = RateLimiter.create({
    rates: () => rates,
    changed$: NEVER,
    lenders: () => [],
    nowMs: () => Date.now(),
    share: () => {
      reads++;
      return 1;
    },
    sharesChangeToken: () => changeToken,
    requestTokens: () => Promise.resolve([]),
  });
  await advance(500);
  const settled = reads;
  await advance(2_000);
  t.is(reads, settled);
  changeToken = {};
  await advance(200);
  t.true(reads > settled);
  limiter.close();
});
