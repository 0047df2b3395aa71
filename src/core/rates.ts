/**
 * A customer's rate and burst across the fleet. Each VM accrues a fixed share
 * of the rate. A token expires one burst window (burst / rate) after it
 * accrued, wherever it is held by then. Hence whatever is granted in any
 * window [t, t+d] accrued in [t - burst/rate, t+d], which is at most
 * burst + rate * d, however tokens move between VMs.
 *
 * Tokens are kept as stretches of accrual time. A lender removes a stretch
 * before it answers; a lost answer loses tokens and never mints any.
 */

/** Tokens that accrued evenly over a stretch of time. */
export interface AccrualInterval {
  readonly fromMs: number;
  readonly toMs: number;
  readonly tokensPerMs: number;
}

/** A stretch as sent to another VM, by age instead of by clock. */
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

/** One customer's tokens at one VM. Immutable. */
export interface TokenBucket {
  readonly rate: Rate;
  /** Fraction of the rate that this VM accrues, 0 to 1. */
  readonly share: number;
  /** Closed stretches, oldest first. */
  readonly intervals: readonly AccrualInterval[];
  /** Start of the stretch that still accrues. */
  readonly accruesFromMs: number;
}

/** Result of taking tokens. */
export interface TakeResult {
  readonly bucket: TokenBucket;
  readonly intervals: readonly AccrualInterval[];
}

const MS_PER_S = 1_000;
const EPSILON = 1e-9;
const MAX_STRETCHES = 24;
/** Tokens closer to expiry than this are not worth lending. */
const MIN_LENT_LIFE_MS = 50;

/** Time from a token's accrual to its expiry. */
export const burstWindowMs = (rate: Rate): number =>
  (rate.burst / rate.ratePerS) * MS_PER_S;

/** An empty bucket. */
export const emptyBucket = (
  rate: Rate,
  share: number,
  nowMs: number,
): TokenBucket => ({rate, share, intervals: [], accruesFromMs: nowMs});

/** A full bucket, for a customer that is new to the whole fleet. */
export const fullBucket = (
  rate: Rate,
  share: number,
  nowMs: number,
): TokenBucket => emptyBucket(rate, share, nowMs - burstWindowMs(rate));

const perMs = (bucket: TokenBucket): number =>
  (bucket.rate.ratePerS * bucket.share) / MS_PER_S;

const tokensIn = (stretch: AccrualInterval): number =>
  Math.max(0, stretch.toMs - stretch.fromMs) * stretch.tokensPerMs;

/** All unexpired stretches, the accruing one closed at `nowMs`. */
function liveStretches(bucket: TokenBucket, nowMs: number): AccrualInterval[] {
  const oldestMs = nowMs - burstWindowMs(bucket.rate);
  const open: AccrualInterval = {
    fromMs: bucket.accruesFromMs,
    toMs: nowMs,
    tokensPerMs: perMs(bucket),
  };
  return [...bucket.intervals, open]
    .map(s => ({...s, fromMs: Math.max(s.fromMs, oldestMs)}))
    .filter(s => s.toMs > s.fromMs && s.tokensPerMs > 0);
}

/** Tokens that can be taken now. */
export const availableTokens = (bucket: TokenBucket, nowMs: number): number =>
  liveStretches(bucket, nowMs).reduce((sum, s) => sum + tokensIn(s), 0);

/** Removes up to `amount` tokens, oldest first. */
function remove(
  bucket: TokenBucket,
  amount: number,
  nowMs: number,
): TakeResult {
  const taken: AccrualInterval[] = [];
  const kept: AccrualInterval[] = [];
  let missing = amount;
  for (const stretch of liveStretches(bucket, nowMs)) {
    if (missing <= EPSILON) {
      kept.push(stretch);
      continue;
    }
    const tokens = tokensIn(stretch);
    const part = Math.min(tokens, missing);
    missing -= part;
    const cutMs =
      part >= tokens
        ? stretch.toMs
        : stretch.fromMs + part / stretch.tokensPerMs;
    taken.push({...stretch, toMs: cutMs});
    if (cutMs < stretch.toMs) kept.push({...stretch, fromMs: cutMs});
  }
  return {bucket: reopen(bucket, kept, nowMs), intervals: taken};
}

/** A bucket with the given stretches, the one that ends now accruing on. */
function reopen(
  bucket: TokenBucket,
  stretches: readonly AccrualInterval[],
  nowMs: number,
): TokenBucket {
  const open = stretches.find(
    s => s.toMs === nowMs && s.tokensPerMs === perMs(bucket),
  );
  const closed = stretches.filter(stretch => stretch !== open);
  return {
    ...bucket,
    intervals: merge(closed),
    accruesFromMs: open?.fromMs ?? nowMs,
  };
}

/**
 * Bounds the number of stretches. Newer tokens are dated back to the stretch
 * before them, so that they expire early rather than late.
 */
function merge(
  stretches: readonly AccrualInterval[],
): readonly AccrualInterval[] {
  if (stretches.length <= MAX_STRETCHES) return stretches;
  const merged: AccrualInterval[] = [];
  for (let at = 0; at < stretches.length; at += 2) {
    const older = stretches[at];
    const newer = at + 1 < stretches.length ? stretches[at + 1] : undefined;
    const tokens = tokensIn(older) + (newer ? tokensIn(newer) : 0);
    merged.push({...older, tokensPerMs: tokens / (older.toMs - older.fromMs)});
  }
  return merged;
}

/** Takes one request's tokens, or nothing. */
export function takeTokens(
  bucket: TokenBucket,
  amount: number,
  nowMs: number,
): TokenBucket | undefined {
  if (availableTokens(bucket, nowMs) + EPSILON < amount) return undefined;
  return remove(bucket, amount, nowMs).bucket;
}

/** Changes the share or the rate; tokens already accrued keep their age. */
export function reconfigureBucket(
  bucket: TokenBucket,
  rate: Rate,
  share: number,
  nowMs: number,
): TokenBucket {
  const stretches = liveStretches(bucket, nowMs);
  return {rate, share, intervals: stretches, accruesFromMs: nowMs};
}

/**
 * Lends up to `wanted` tokens, keeping `reserve`; nothing when there are fewer
 * than `least`: fractions of a token lent to many VMs serve none of them.
 */
export function lendTokens(
  bucket: TokenBucket,
  wanted: number,
  reserve: number,
  nowMs: number,
  least = 0,
): {bucket: TokenBucket; lent: readonly LentInterval[]} {
  const ripe = dropExpiring(bucket, nowMs);
  const amount = Math.min(wanted, availableTokens(ripe, nowMs) - reserve);
  if (amount <= EPSILON || amount + EPSILON < least) return {bucket, lent: []};
  const taken = remove(ripe, amount, nowMs);
  return {
    bucket: taken.bucket,
    lent: taken.intervals.map(s => ({
      oldestAgeMs: nowMs - s.fromMs,
      newestAgeMs: nowMs - s.toMs,
      tokensPerMs: s.tokensPerMs,
    })),
  };
}

/** Forgets tokens that would expire on their way. */
function dropExpiring(bucket: TokenBucket, nowMs: number): TokenBucket {
  const lifeMs = burstWindowMs(bucket.rate);
  const oldestMs = nowMs - lifeMs + Math.min(MIN_LENT_LIFE_MS, lifeMs / 4);
  const stretches = liveStretches(bucket, nowMs)
    .map(s => ({...s, fromMs: Math.max(s.fromMs, oldestMs)}))
    .filter(s => s.toMs > s.fromMs);
  return reopen(bucket, stretches, nowMs);
}

/**
 * Adds borrowed tokens. Their ages held when the lender answered, which was
 * after the request was sent: dating them from `requestedAtMs` makes them
 * expire no later than they would have at the lender.
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
  const stretches = [...liveStretches(bucket, nowMs), ...received];
  stretches.sort((a, b) => a.fromMs - b.fromMs);
  return reopen(bucket, stretches, nowMs);
}

/** How much a VM lately needed of one customer's tokens. Immutable. */
export interface Demand {
  readonly tokensPerS: number;
  readonly atMs: number;
}

const DEMAND_MEMORY_MS = 1_000;

export const NO_DEMAND: Demand = {tokensPerS: 0, atMs: 0};

/** Adds `amount` requested tokens to an exponentially fading mean. */
export function addDemand(
  demand: Demand,
  amount: number,
  nowMs: number,
): Demand {
  const fading = Math.exp(-(nowMs - demand.atMs) / DEMAND_MEMORY_MS);
  const tokensPerS =
    demand.tokensPerS * fading + amount * (MS_PER_S / DEMAND_MEMORY_MS);
  return {tokensPerS, atMs: nowMs};
}

/** The present mean. */
export const demandPerS = (demand: Demand, nowMs: number): number =>
  demand.tokensPerS * Math.exp(-(nowMs - demand.atMs) / DEMAND_MEMORY_MS);

/** How a VM decides to borrow. */
export interface BorrowPolicy {
  /** Demand over this time is kept in stock. */
  readonly targetSupplyMs: number;
  /** Borrowing starts when the stock is below this part of its target. */
  readonly refillBelow: number;
}

export const DEFAULT_BORROWING: BorrowPolicy = {
  targetSupplyMs: 400,
  refillBelow: 0.6,
};

/** Tokens to borrow now; 0 when the stock suffices. */
export function tokensToBorrow(
  bucket: TokenBucket,
  demand: Demand,
  waiting: number,
  nowMs: number,
  policy: BorrowPolicy = DEFAULT_BORROWING,
): number {
  const needPerS = Math.min(
    demandPerS(demand, nowMs) * 1.25,
    bucket.rate.ratePerS,
  );
  const ownPerS = bucket.rate.ratePerS * bucket.share;
  const uncoveredPerS = Math.max(0, needPerS - ownPerS);
  const expected = (uncoveredPerS * policy.targetSupplyMs) / MS_PER_S;
  // Less than a token in stock at each of many VMs is a token at none of them.
  const stock = expected >= 1 ? expected : 0;
  const target = stock + waiting;
  const held = availableTokens(bucket, nowMs);
  const isEnough = held >= target * policy.refillBelow && held >= waiting;
  return isEnough ? 0 : Math.min(target - held, bucket.rate.burst);
}

/** Tokens a lender keeps for its own demand. */
export function lenderReserve(
  bucket: TokenBucket,
  demand: Demand,
  nowMs: number,
  policy: BorrowPolicy = DEFAULT_BORROWING,
): number {
  const needPerS = Math.min(
    demandPerS(demand, nowMs),
    bucket.rate.ratePerS * bucket.share,
  );
  return (needPerS * policy.targetSupplyMs) / (2 * MS_PER_S);
}
