/**
 * Wrongful refusals and overruns: all of a customer's callers at one VM, the
 * rate shared by the whole fleet.
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
import type {UserSize} from './policy.js';
import {exponential, randomOf, VirtualTime} from './simulation.js';

const DURATION_MS = 30_000;
const RATE: Rate = {ratePerS: 100, burst: 100};
/** Offered load as part of the rate. */
const LOAD = 0.9;
const MAX_WAIT_MS = 250;
const ROUND_SPACING_MS = 20;
const MAX_LENDERS = 8;

/** Tokens to ask other VMs for. */
export type Borrow = typeof tokensToBorrow;

/** The policy in force. */
export const borrowing: Borrow = tokensToBorrow;

/** Each VM keeps its own share: the baseline. */
export const staticSplit: Borrow = () => 0;

/** What a run measured. */
export interface RateResult {
  /** Refused requests that one central bucket would have granted. */
  readonly wrongfulShare: number;
  /** Tokens granted beyond burst + rate * d in the worst window. */
  readonly overrunTokens: number;
}

interface Waiter {
  readonly atMs: number;
}

/** Runs one customer whose callers all come to VM 0. */
export function simulateRates(
  user: UserSize,
  borrow: Borrow,
  seed: number,
  faults: {loseVmAtMs?: number} = {},
): RateResult {
  const time = VirtualTime.create();
  const random = randomOf(seed);
  const buckets: TokenBucket[] = Array.from({length: user.vms}, () =>
    fullBucket(RATE, 1 / user.vms, 0),
  );
  let central = fullBucket(RATE, 1, 0);
  let demand = NO_DEMAND;
  let waiting: Waiter[] = [];
  let inRound = false;
  let nextRoundAtMs = 0;
  let offered = 0;
  let wrongful = 0;
  const grantsMs: number[] = [];
  const deserved = new Set<Waiter>();

  const isLost = (vm: number): boolean =>
    vm === user.vms - 1 && time.nowMs >= (faults.loseVmAtMs ?? Infinity);
  const settle = (): void => {
    while (waiting.length > 0) {
      const next = takeTokens(buckets[0], 1, time.nowMs);
      if (!next) break;
      buckets[0] = next;
      waiting.shift();
      grantsMs.push(time.nowMs);
    }
    const late = waiting.filter(w => time.nowMs - w.atMs >= MAX_WAIT_MS);
    wrongful += late.filter(waiter => deserved.has(waiter)).length;
    waiting = waiting.filter(waiter => !late.includes(waiter));
  };
  const round = (): void => {
    const lenders = buckets.map((_, vm) => vm).slice(1, 1 + MAX_LENDERS);
    const wanted = borrow(buckets[0], demand, waiting.length, time.nowMs);
    const delayMs = user.regionDelayMs;
    const requestedAtMs = time.nowMs;
    for (const vm of wanted > 0 ? lenders : []) {
      time.after(delayMs, () => {
        if (isLost(vm)) return;
        const each = (wanted / lenders.length) * 1.5;
        const reserve = lenderReserve(buckets[vm], NO_DEMAND, time.nowMs);
        const result = lendTokens(buckets[vm], each, reserve, time.nowMs);
        buckets[vm] = result.bucket;
        time.after(delayMs, () => {
          buckets[0] = addLentTokens(
            buckets[0],
            result.lent,
            requestedAtMs,
            time.nowMs,
          );
          settle();
        });
      });
    }
    time.after(2 * delayMs + 1, () => {
      inRound = false;
      nextRoundAtMs = time.nowMs + ROUND_SPACING_MS;
      settle();
      refill();
    });
  };
  const refill = (): void => {
    if (inRound) return;
    const low = borrow(buckets[0], demand, waiting.length, time.nowMs) > 0;
    if (!low && waiting.length === 0) return;
    inRound = true;
    time.after(Math.max(0, nextRoundAtMs - time.nowMs), round);
  };
  const arrive = (): void => {
    time.after(exponential(random, 1_000 / (RATE.ratePerS * LOAD)), () => {
      offered++;
      const waiter = {atMs: time.nowMs};
      const centrally = takeTokens(central, 1, time.nowMs);
      if (centrally) {
        central = centrally;
        deserved.add(waiter);
      }
      demand = addDemand(demand, 1, time.nowMs);
      waiting.push(waiter);
      settle();
      refill();
      arrive();
    });
  };
  arrive();
  time.runUntil(DURATION_MS);
  return {
    wrongfulShare: wrongful / Math.max(1, offered),
    overrunTokens: Number(overrunOf(grantsMs).toFixed(6)),
  };
}

/** The worst window's grants beyond burst + rate * d; 0 when none. */
function overrunOf(grantsMs: readonly number[]): number {
  let worst = 0;
  // max over i<=j of (j-i+1) - burst - rate*(t_j - t_i): one pass.
  let best = -Infinity;
  grantsMs.forEach((atMs, index) => {
    const accrued = (RATE.ratePerS * atMs) / 1_000;
    best = Math.max(best, accrued - index);
    worst = Math.max(worst, best + index + 1 - accrued - RATE.burst);
  });
  return Math.max(0, worst);
}
