/**
 * Token buckets that enforce a customer's rate and burst across the fleet. Each
 * VM accrues a fixed share of the rate. A token expires one burst window (burst
 * / rate) after it accrued, on whichever VM it is held. Tokens granted in a
 * window [t, t+d] therefore accrued in [t - burst/rate, t+d], which yields at
 * most burst + rate * d, regardless of how tokens move between VMs.
 *
 * Tokens are kept as intervals of accrual time. A lender removes an interval
 * before it answers, so a lost answer loses tokens and never duplicates them.
 */

/** Tokens that accrued at a constant rate over an interval of time. */
export interface AccrualInterval {
  readonly fromMs: number;
  readonly toMs: number;
  readonly tokensPerMs: number;
}

/** An accrual interval as sent to another VM: ages instead of clock times. */
export interface LentInterval {
  readonly oldestAgeMs: number;
  readonly newestAgeMs: number;
  readonly tokensPerMs: number;
}

/** Rate and burst of one customer. */
export interface Rate {
  readonly ratePerS: number;
  readonly burst: number;
}

export const isSameRate = (a: Rate, b: Rate): boolean =>
  a.ratePerS === b.ratePerS && a.burst === b.burst;

/** One customer's tokens at one VM. Immutable. */
export interface TokenBucket {
  readonly rate: Rate;
  /** Fraction of the rate that this VM accrues, 0 to 1. */
  readonly share: number;
  /** Closed intervals, oldest first. */
  readonly intervals: readonly AccrualInterval[];
  /** Start of the open interval, which still accrues. */
  readonly accruesFromMs: number;
}

/** The remaining bucket and the intervals that were removed from it. */
export interface TakeResult {
  readonly bucket: TokenBucket;
  readonly intervals: readonly AccrualInterval[];
}

const MS_PER_S = 1_000;
const EPSILON = 1e-9;
const MAX_INTERVALS = 24;
/** Tokens that expire sooner than this are not lent. */
const MIN_LENT_LIFETIME_MS = 50;

/** Returns the lifetime of a token: the burst window. */
export const burstWindowMs = (rate: Rate): number =>
  (rate.burst / rate.ratePerS) * MS_PER_S;

/** Returns a bucket without tokens, which accrues from `nowMs`. */
export const emptyBucket = (
  rate: Rate,
  share: number,
  nowMs: number,
): TokenBucket => ({rate, share, intervals: [], accruesFromMs: nowMs});

/** Returns a full bucket, for a customer that is new to the whole fleet. */
export const fullBucket = (
  rate: Rate,
  share: number,
  nowMs: number,
): TokenBucket => emptyBucket(rate, share, nowMs - burstWindowMs(rate));

/** A share that a VM has kept over its restart, and since when it accrues. */
export interface KeptShare {
  readonly share: number;
  readonly sinceMs: number;
}

/**
 * Returns the bucket of the first share that a VM sees. Only what it has kept
 * accrued before `nowMs`; the rest of the share did so at another VM.
 */
export function firstBucket(
  rate: Rate,
  share: number,
  kept: KeptShare | undefined,
  nowMs: number,
): TokenBucket {
  if (!kept) return emptyBucket(rate, share, nowMs);
  const keptShare = Math.min(share, kept.share);
  const bucket = emptyBucket(rate, keptShare, kept.sinceMs);
  return reconfigureBucket(bucket, rate, share, nowMs);
}

const accrualPerMs = (bucket: TokenBucket): number =>
  (bucket.rate.ratePerS * bucket.share) / MS_PER_S;

const tokensIn = (interval: AccrualInterval): number =>
  Math.max(0, interval.toMs - interval.fromMs) * interval.tokensPerMs;

/** Returns all unexpired intervals, with the open one closed at `nowMs`. */
function liveIntervals(bucket: TokenBucket, nowMs: number): AccrualInterval[] {
  const oldestMs = nowMs - burstWindowMs(bucket.rate);
  const open: AccrualInterval = {
    fromMs: bucket.accruesFromMs,
    toMs: nowMs,
    tokensPerMs: accrualPerMs(bucket),
  };
  return [...bucket.intervals, open]
    .map(s => ({...s, fromMs: Math.max(s.fromMs, oldestMs)}))
    .filter(s => s.toMs > s.fromMs && s.tokensPerMs > 0);
}

/** Returns the number of tokens that can be taken now. */
export const availableTokens = (bucket: TokenBucket, nowMs: number): number =>
  liveIntervals(bucket, nowMs).reduce((sum, s) => sum + tokensIn(s), 0);

/** Removes up to `amount` tokens, the oldest first. */
function removeTokens(
  bucket: TokenBucket,
  amount: number,
  nowMs: number,
): TakeResult {
  const taken: AccrualInterval[] = [];
  const kept: AccrualInterval[] = [];
  let missing = amount;
  for (const interval of liveIntervals(bucket, nowMs)) {
    if (missing <= EPSILON) {
      kept.push(interval);
      continue;
    }
    const tokens = tokensIn(interval);
    const part = Math.min(tokens, missing);
    missing -= part;
    const cutMs =
      part >= tokens
        ? interval.toMs
        : interval.fromMs + part / interval.tokensPerMs;
    taken.push({...interval, toMs: cutMs});
    if (cutMs < interval.toMs) kept.push({...interval, fromMs: cutMs});
  }
  return {bucket: withIntervals(bucket, kept, nowMs), intervals: taken};
}

/**
 * Replaces a bucket's intervals. The one that ends at `nowMs` and has the
 * bucket's accrual rate becomes the open interval again.
 */
function withIntervals(
  bucket: TokenBucket,
  intervals: readonly AccrualInterval[],
  nowMs: number,
): TokenBucket {
  const open = intervals.find(
    s => s.toMs === nowMs && s.tokensPerMs === accrualPerMs(bucket),
  );
  const closed = intervals.filter(interval => interval !== open);
  return {
    ...bucket,
    intervals: mergeIntervals(closed),
    accruesFromMs: open?.fromMs ?? nowMs,
  };
}

/**
 * Bounds the number of intervals by merging pairs. The newer tokens of a pair
 * get the time of the older interval, so they expire early and never late.
 */
function mergeIntervals(
  intervals: readonly AccrualInterval[],
): readonly AccrualInterval[] {
  if (intervals.length <= MAX_INTERVALS) return intervals;
  const merged: AccrualInterval[] = [];
  for (let index = 0; index < intervals.length; index += 2) {
    const older = intervals[index];
    const newer =
      index + 1 < intervals.length ? intervals[index + 1] : undefined;
    const tokens = tokensIn(older) + (newer ? tokensIn(newer) : 0);
    merged.push({...older, tokensPerMs: tokens / (older.toMs - older.fromMs)});
  }
  return merged;
}

/** Takes `amount` tokens; undefined if there are fewer. */
export function takeTokens(
  bucket: TokenBucket,
  amount: number,
  nowMs: number,
): TokenBucket | undefined {
  if (availableTokens(bucket, nowMs) + EPSILON < amount) return undefined;
  return removeTokens(bucket, amount, nowMs).bucket;
}

/**
 * Changes the rate or the share (the fraction of the rate that accrues here);
 * accrued tokens keep their age.
 */
export function reconfigureBucket(
  bucket: TokenBucket,
  rate: Rate,
  share: number,
  nowMs: number,
): TokenBucket {
  const intervals = liveIntervals(bucket, nowMs);
  return {rate, share, intervals, accruesFromMs: nowMs};
}

/**
 * Lends up to `wanted` tokens and keeps `reserve`. Lends nothing if fewer than
 * `least` are available, because fractions of a token lent to many VMs would
 * serve a request at none of them.
 */
export function lendTokens(
  bucket: TokenBucket,
  wanted: number,
  reserve: number,
  nowMs: number,
  least = 0,
): {bucket: TokenBucket; lent: readonly LentInterval[]} {
  const lendable = dropExpiring(bucket, nowMs);
  const amount = Math.min(wanted, availableTokens(lendable, nowMs) - reserve);
  if (amount <= EPSILON || amount + EPSILON < least) return {bucket, lent: []};
  const taken = removeTokens(lendable, amount, nowMs);
  return {
    bucket: taken.bucket,
    lent: taken.intervals.map(s => ({
      oldestAgeMs: nowMs - s.fromMs,
      newestAgeMs: nowMs - s.toMs,
      tokensPerMs: s.tokensPerMs,
    })),
  };
}

/** Discards tokens that would expire in transit. */
function dropExpiring(bucket: TokenBucket, nowMs: number): TokenBucket {
  const lifetimeMs = burstWindowMs(bucket.rate);
  const oldestMs =
    nowMs - lifetimeMs + Math.min(MIN_LENT_LIFETIME_MS, lifetimeMs / 4);
  const intervals = liveIntervals(bucket, nowMs)
    .map(s => ({...s, fromMs: Math.max(s.fromMs, oldestMs)}))
    .filter(s => s.toMs > s.fromMs);
  return withIntervals(bucket, intervals, nowMs);
}

/**
 * Adds borrowed tokens. The lender computed their ages after the request had
 * been sent, so dating them from `requestedAtMs` makes them expire no later
 * than they would have at the lender.
 */
export function addLentTokens(
  bucket: TokenBucket,
  lent: readonly LentInterval[],
  requestedAtMs: number,
  nowMs: number,
): TokenBucket {
  const received = lent.map(s => ({
    fromMs: requestedAtMs - s.oldestAgeMs,
    toMs: requestedAtMs - s.newestAgeMs,
    tokensPerMs: s.tokensPerMs,
  }));
  const intervals = [...liveIntervals(bucket, nowMs), ...received];
  intervals.sort((a, b) => a.fromMs - b.fromMs);
  return withIntervals(bucket, intervals, nowMs);
}

/** A VM's recent demand for one customer's tokens. Immutable. */
export interface Demand {
  readonly tokensPerS: number;
  readonly atMs: number;
}

const DEMAND_TIME_CONSTANT_MS = 1_000;

export const NO_DEMAND: Demand = {tokensPerS: 0, atMs: 0};

/** Adds `amount` requested tokens to an exponentially decaying average. */
export function addDemand(
  demand: Demand,
  amount: number,
  nowMs: number,
): Demand {
  const decay = Math.exp(-(nowMs - demand.atMs) / DEMAND_TIME_CONSTANT_MS);
  const tokensPerS =
    demand.tokensPerS * decay + amount * (MS_PER_S / DEMAND_TIME_CONSTANT_MS);
  return {tokensPerS, atMs: nowMs};
}

/** Returns the average demand in tokens per second, decayed to `nowMs`. */
export const demandPerS = (demand: Demand, nowMs: number): number =>
  demand.tokensPerS *
  Math.exp(-(nowMs - demand.atMs) / DEMAND_TIME_CONSTANT_MS);

/** When a VM borrows tokens from other VMs, and how many. */
export interface BorrowPolicy {
  /** Time whose expected demand the held tokens should cover. */
  readonly targetSupplyMs: number;
  /** Borrowing starts below this fraction of the target supply. */
  readonly refillBelow: number;
}

export const DEFAULT_BORROWING: BorrowPolicy = {
  targetSupplyMs: 400,
  refillBelow: 0.6,
};

/** Returns how many tokens to borrow now; 0 if the supply suffices. */
export function tokensToBorrow(
  bucket: TokenBucket,
  demand: Demand,
  waiting: number,
  nowMs: number,
  policy: BorrowPolicy = DEFAULT_BORROWING,
): number {
  const neededPerS = Math.min(
    demandPerS(demand, nowMs) * 1.25,
    bucket.rate.ratePerS,
  );
  const ownPerS = bucket.rate.ratePerS * bucket.share;
  const uncoveredPerS = Math.max(0, neededPerS - ownPerS);
  const expected = (uncoveredPerS * policy.targetSupplyMs) / MS_PER_S;
  // Fractions of a token held at many VMs would serve a request at none of
  // them.
  const supply = expected >= 1 ? expected : 0;
  const target = supply + waiting;
  const held = availableTokens(bucket, nowMs);
  const isEnough = held >= target * policy.refillBelow && held >= waiting;
  return isEnough ? 0 : Math.min(target - held, bucket.rate.burst);
}

/** Returns how many tokens a lender keeps for its own demand. */
export function lenderReserve(
  bucket: TokenBucket,
  demand: Demand,
  nowMs: number,
  policy: BorrowPolicy = DEFAULT_BORROWING,
): number {
  const neededPerS = Math.min(
    demandPerS(demand, nowMs),
    bucket.rate.ratePerS * bucket.share,
  );
  return (neededPerS * policy.targetSupplyMs) / (2 * MS_PER_S);
}
