/**
 * Load pattern: many fronts and customers with small rates, so that each front
 * sees a customer's statement only now and then. The fleet must keep to the
 * customer's rate and refuse hardly more than a single front would. Virtual
 * time, real rate limiters.
 */
import {mock} from 'node:test';
import test from 'ava';
import {NEVER} from 'rxjs';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {
  rateShareHoldersOf,
  rateShareHolderCount,
  FrontMember,
} from '../../src/core/fronts.js';
import {rankByScore} from '../../src/core/placement.js';
import {RateLimiter} from '../../src/proxy/rate_limiter.js';

const SEED = 20_261_204;
const REGIONS = 3;
const NEAR_MS = 2;
const FAR_MS = 24;
const CUSTOMER = 'small';

const settle = async (): Promise<void> => {
  for (let n = 0; n < 25; n++) await Promise.resolve();
};

interface Fleet {
  readonly fronts: number;
  readonly ratePerS: number;
  readonly burst: number;
  /** Requested fraction of the rate. */
  readonly load: number;
  readonly seconds: number;
}

/**
 * Simulates a fleet; returns how many requests were made, granted and refused,
 * and how many calls went to lenders, the fronts that lend tokens of their
 * share.
 */
async function simulate({fronts, ratePerS, burst, load, seconds}: Fleet) {
  const members = new Map<string, FrontMember>();
  for (let n = 0; n < fronts; n++) {
    const region = `r${n % REGIONS}`;
    const place = {region, zone: region};
    const vm = `front-${n}`;
    members.set(vm, {vm, host: '', port: 0, place, leaving: false});
  }
  const rate = {ratePerS, burst};
  const rates = new Map([[CUSTOMER, rate]]);
  const shareHolders = rateShareHoldersOf(
    members,
    CUSTOMER,
    rateShareHolderCount(rate),
  );
  const limiters = new Map<string, RateLimiter>();
  let lenderCalls = 0;
  for (const {vm, place} of members.values()) {
    const isShareHolder = shareHolders.some(front => front.vm === vm);
    const others = rankByScore(
      `${CUSTOMER}/${vm}`,
      shareHolders.filter(front => front.vm !== vm),
    );
    const isNear = (front: FrontMember): boolean =>
      front.place.region === place.region;
    const lenders = [
      ...others.filter(isNear),
      ...others.filter(front => !isNear(front)),
    ].map(front => front.vm);
    limiters.set(
      vm,
      RateLimiter.create({
        rates: () => rates,
        changed$: NEVER,
        lenders: () => lenders,
        lendersPerRound: 2,
        lendersInFirstRound: 1,
        nowMs: () => Date.now(),
        share: () => (isShareHolder ? 1 / shareHolders.length : 0),
        requestTokens: async (lender, request) => {
          lenderCalls++;
          const isNearLender =
            members.get(lender)?.place.region === place.region;
          const oneWayMs = (isNearLender ? NEAR_MS : FAR_MS) / 2;
          await new Promise(done => setTimeout(done, oneWayMs));
          const lent = limiters.get(lender)?.lend(request) ?? [];
          await new Promise(done => setTimeout(done, oneWayMs));
          return lent;
        },
      }),
    );
  }
  const random = xoroshiro128plus(SEED);
  const requestsPerMs = (ratePerS * load) / 1_000;
  let requested = 0;
  let refused = 0;
  let granted = 0;
  const vms = [...limiters.keys()];
  const count = (isGranted: boolean): void => {
    if (isGranted) granted++;
    else refused++;
  };
  for (let ms = 0; ms < seconds * 1_000; ms++) {
    mock.timers.tick(1);
    if (uniformFloat64(random) < requestsPerMs) {
      const vm = vms[Math.floor(uniformFloat64(random) * vms.length)];
      const answer = limiters.get(vm)?.admit(CUSTOMER) ?? false;
      if (ms > 3_000) {
        requested++;
        if (typeof answer === 'boolean') count(answer);
        else void answer.then(count);
      }
    }
    await settle();
  }
  for (const limiter of limiters.values()) limiter.close();
  return {
    requested,
    granted,
    refusedFraction: refused / requested,
    lenderCalls,
  };
}

test.serial.beforeEach(() =>
  mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date']}),
);
test.afterEach.always(() => mock.timers.reset());

for (const ratePerS of [4, 12, 40]) {
  test.serial(
    `58 fronts at 62.5 % of a rate of ${ratePerS} per second refuse hardly more than one front`,
    async t => {
      const fleet = {
        fronts: 58,
        ratePerS,
        burst: ratePerS,
        load: 0.625,
        seconds: 60,
      };
      const single = await simulate({...fleet, fronts: 1});
      const together = await simulate(fleet);
      t.log(together, `single ${single.refusedFraction}`);
      const wrongful = together.refusedFraction - single.refusedFraction;
      t.true(wrongful < 0.01, `${wrongful} wrongfully refused`);
    },
  );
}
