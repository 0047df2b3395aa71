/**
 * Simulates a rate that is shared by the fleet while all callers of the
 * customer connect to one VM. Measures wrongful rejections and overruns of the
 * rate.
 */
import {
  addDemand,
  TokenBucket,
  fullBucket,
  lendTokens,
  NO_DEMAND,
  Rate,
  addLentTokens,
  lenderReserve,
  takeTokens,
  tokensToBorrow,
} from '../src/core/rates.js';
import type {DeploymentProfile} from './policy.js';
import {exponential, seededRandom, VirtualTime} from './simulation.js';

const DURATION_MS = 30_000;
const RATE: Rate = {ratePerS: 100, burst: 100};
/** Offered load as a fraction of the rate. */
const OFFERED_LOAD = 0.9;
/** Time after which a request without a token is rejected. */
const MAX_WAIT_MS = 250;
const MIN_ROUND_INTERVAL_MS = 20;
const MAX_LENDERS = 8;

/** Returns how many tokens to request from other VMs. */
export type BorrowRule = typeof tokensToBorrow;

/** The rule that the proxies use. */
export const borrowOnDemand: BorrowRule = tokensToBorrow;

/** Baseline: every VM uses only its own share. */
export const neverBorrow: BorrowRule = () => 0;

export interface RateResult {
  /** Fraction of requests rejected although a central bucket grants them. */
  readonly wrongfulShare: number;
  /** Tokens granted beyond burst + rate * duration in the worst window. */
  readonly overrunTokens: number;
}

interface QueuedRequest {
  readonly arrivedAtMs: number;
}

/** Simulates one customer whose callers all connect to VM 0. */
export function simulateRates(
  deployment: DeploymentProfile,
  borrow: BorrowRule,
  seed: number,
  faults: {loseVmAtMs?: number} = {},
): RateResult {
  const time = VirtualTime.create();
  const random = seededRandom(seed);
  const buckets: TokenBucket[] = Array.from({length: deployment.vms}, () =>
    fullBucket(RATE, 1 / deployment.vms, 0),
  );
  let centralBucket = fullBucket(RATE, 1, 0);
  let demand = NO_DEMAND;
  let queue: QueuedRequest[] = [];
  let isBorrowing = false;
  let nextRoundAtMs = 0;
  let requestCount = 0;
  let wrongfulRejections = 0;
  const grantTimesMs: number[] = [];
  const grantedCentrally = new Set<QueuedRequest>();

  const isLost = (vm: number): boolean =>
    vm === deployment.vms - 1 && time.nowMs >= (faults.loseVmAtMs ?? Infinity);
  const grantQueued = (): void => {
    while (queue.length > 0) {
      const bucket = takeTokens(buckets[0], 1, time.nowMs);
      if (!bucket) break;
      buckets[0] = bucket;
      queue.shift();
      grantTimesMs.push(time.nowMs);
    }
    const expired = queue.filter(
      request => time.nowMs - request.arrivedAtMs >= MAX_WAIT_MS,
    );
    wrongfulRejections += expired.filter(request =>
      grantedCentrally.has(request),
    ).length;
    queue = queue.filter(request => !expired.includes(request));
  };
  const runBorrowRound = (): void => {
    const lenders = buckets.map((_, vm) => vm).slice(1, 1 + MAX_LENDERS);
    const wanted = borrow(buckets[0], demand, queue.length, time.nowMs);
    const delayMs = deployment.regionDelayMs;
    const requestedAtMs = time.nowMs;
    for (const vm of wanted > 0 ? lenders : []) {
      time.after(delayMs, () => {
        if (isLost(vm)) return;
        const wantedPerLender = (wanted / lenders.length) * 1.5;
        const reserve = lenderReserve(buckets[vm], NO_DEMAND, time.nowMs);
        const result = lendTokens(
          buckets[vm],
          wantedPerLender,
          reserve,
          time.nowMs,
        );
        buckets[vm] = result.bucket;
        time.after(delayMs, () => {
          buckets[0] = addLentTokens(
            buckets[0],
            result.lent,
            requestedAtMs,
            time.nowMs,
          );
          grantQueued();
        });
      });
    }
    time.after(2 * delayMs + 1, () => {
      isBorrowing = false;
      nextRoundAtMs = time.nowMs + MIN_ROUND_INTERVAL_MS;
      grantQueued();
      borrowIfNeeded();
    });
  };
  const borrowIfNeeded = (): void => {
    if (isBorrowing) return;
    const needsTokens =
      borrow(buckets[0], demand, queue.length, time.nowMs) > 0;
    if (!needsTokens && queue.length === 0) return;
    isBorrowing = true;
    time.after(Math.max(0, nextRoundAtMs - time.nowMs), runBorrowRound);
  };
  const scheduleArrival = (): void => {
    time.after(
      exponential(random, 1_000 / (RATE.ratePerS * OFFERED_LOAD)),
      () => {
        requestCount++;
        const request = {arrivedAtMs: time.nowMs};
        const bucket = takeTokens(centralBucket, 1, time.nowMs);
        if (bucket) {
          centralBucket = bucket;
          grantedCentrally.add(request);
        }
        demand = addDemand(demand, 1, time.nowMs);
        queue.push(request);
        grantQueued();
        borrowIfNeeded();
        scheduleArrival();
      },
    );
  };
  scheduleArrival();
  time.runUntil(DURATION_MS);
  return {
    wrongfulShare: wrongfulRejections / Math.max(1, requestCount),
    overrunTokens: Number(worstOverrun(grantTimesMs).toFixed(6)),
  };
}

/**
 * Returns the largest excess of grants over burst + rate * duration in any
 * window; 0 if there is none.
 */
function worstOverrun(grantTimesMs: readonly number[]): number {
  let worst = 0;
  // Computes max over i<=j of (j-i+1) - burst - rate*(t_j - t_i) in one pass.
  let maxAccruedMinusIndex = -Infinity;
  grantTimesMs.forEach((atMs, index) => {
    const accrued = (RATE.ratePerS * atMs) / 1_000;
    maxAccruedMinusIndex = Math.max(maxAccruedMinusIndex, accrued - index);
    worst = Math.max(
      worst,
      maxAccruedMinusIndex + index + 1 - accrued - RATE.burst,
    );
  });
  return Math.max(0, worst);
}
