/**
 * Load pattern: many fronts, many customers with small rates. Each front sees a
 * statement of a customer now and then; together they stay within its rate.
 * Virtual time, real keepers.
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
  /** Part of the rate that is asked for. */
  readonly load: number;
  readonly seconds: number;
}

/** Plays a fleet; answers how many were asked for, refused, and asked of lenders. */
async function play({fronts, ratePerS, burst, load, seconds}: Fleet) {
  const members = new Map<string, FrontMember>();
  for (let n = 0; n < fronts; n++) {
    const region = `r${n % REGIONS}`;
    const place = {region, zone: region};
    const vm = `front-${n}`;
    members.set(vm, {vm, host: '', port: 0, place, leaving: false});
  }
  const rate = {ratePerS, burst};
  const rates = new Map([[CUSTOMER, rate]]);
  const committee = rateShareHoldersOf(
    members,
    CUSTOMER,
    rateShareHolderCount(rate),
  );
  const keepers = new Map<string, RateLimiter>();
  let loans = 0;
  for (const {vm, place} of members.values()) {
    const isMember = committee.some(front => front.vm === vm);
    const others = rankByScore(
      `${CUSTOMER}/${vm}`,
      committee.filter(front => front.vm !== vm),
    );
    const isNear = (front: FrontMember): boolean =>
      front.place.region === place.region;
    const lenders = [
      ...others.filter(isNear),
      ...others.filter(front => !isNear(front)),
    ].map(front => front.vm);
    keepers.set(
      vm,
      RateLimiter.create({
        rates: () => rates,
        changed$: NEVER,
        lenders: () => lenders,
        lendersPerRound: 2,
        lendersInFirstRound: 1,
        nowMs: () => Date.now(),
        share: () => (isMember ? 1 / committee.length : 0),
        requestTokens: async (lender, request) => {
          loans++;
          const near = members.get(lender)?.place.region === place.region;
          const wayMs = (near ? NEAR_MS : FAR_MS) / 2;
          await new Promise(done => setTimeout(done, wayMs));
          const lent = keepers.get(lender)?.lend(request) ?? [];
          await new Promise(done => setTimeout(done, wayMs));
          return lent;
        },
      }),
    );
  }
  const random = xoroshiro128plus(SEED);
  const perMs = (ratePerS * load) / 1_000;
  let asked = 0;
  let refused = 0;
  let granted = 0;
  const vms = [...keepers.keys()];
  const count = (isGranted: boolean): void => {
    if (isGranted) granted++;
    else refused++;
  };
  for (let ms = 0; ms < seconds * 1_000; ms++) {
    mock.timers.tick(1);
    if (uniformFloat64(random) < perMs) {
      const vm = vms[Math.floor(uniformFloat64(random) * vms.length)];
      const answer = keepers.get(vm)?.admit(CUSTOMER) ?? false;
      if (ms > 3_000) {
        asked++;
        if (typeof answer === 'boolean') count(answer);
        else void answer.then(count);
      }
    }
    await settle();
  }
  for (const keeper of keepers.values()) keeper.close();
  return {asked, granted, refusedPart: refused / asked, loans};
}

test.serial.beforeEach(() =>
  mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date']}),
);
test.afterEach.always(() => mock.timers.reset());

for (const ratePerS of [4, 12, 40]) {
  test.serial(
    `58 fronts, a rate of ${ratePerS} a second, asked for to five eighths: refused no more than by one`,
    async t => {
      const fleet = {
        fronts: 58,
        ratePerS,
        burst: ratePerS,
        load: 0.625,
        seconds: 60,
      };
      const alone = await play({...fleet, fronts: 1});
      const together = await play(fleet);
      t.log(together, `alone ${alone.refusedPart}`);
      const wrongful = together.refusedPart - alone.refusedPart;
      t.true(wrongful < 0.01, `${wrongful} wrongfully refused`);
    },
  );
}
