/**
 * Rate shares: the real bucket functions at three VMs, of which the third may
 * join; lending messages are lost, delayed or answered late; VMs pause. Checks
 * the bound burst + rate * d over every window exactly.
 */
import {
  availableTokens,
  TokenBucket,
  emptyBucket,
  fullBucket,
  lendTokens,
  LentInterval,
  Rate,
  addLentTokens,
  reconfigureBucket,
  takeTokens,
} from '../src/core/rates.js';
import {Roster, rateShareOf, withMember} from '../src/core/roster.js';
import {Model} from './explore.js';

/** An answer of a lender on its way. */
interface Loan {
  readonly to: number;
  readonly lent: readonly LentInterval[];
  readonly requestedAtMs: number;
}

/** The whole system. */
export interface RateSystem {
  readonly nowMs: number;
  readonly buckets: readonly TokenBucket[];
  /** Roster version that each VM has applied. */
  readonly applied: readonly number[];
  readonly loans: readonly Loan[];
  /** Loans made so far. */
  readonly lends: number;
  /** Times of grants. */
  readonly grantsMs: readonly number[];
}

/** One thing that may happen. */
export type RateEvent =
  | {readonly type: 'pass'}
  | {readonly type: 'grant'; readonly vm: number}
  | {readonly type: 'lend'; readonly from: number; readonly to: number}
  | {readonly type: 'arrive'; readonly loan: number}
  | {readonly type: 'applyRoster'; readonly vm: number};

/** Parts that mutants replace. */
export interface RateRules {
  readonly lend: typeof lendTokens;
  readonly receive: typeof addLentTokens;
  readonly share: typeof rateShareOf;
}

export const SAFE_RATE_RULES: RateRules = {
  lend: lendTokens,
  receive: addLentTokens,
  share: rateShareOf,
};

/** Bounds of the exploration. */
export interface RateModelOptions {
  readonly name: string;
  readonly rules: RateRules;
  readonly maxMs: number;
  readonly maxLends: number;
}

const RATE: Rate = {ratePerS: 2, burst: 2};
const STEP_MS = 500;
const MAX_LOANS_UNDER_WAY = 1;
const TOLERANCE = 1e-6;
const MS_PER_S = 1_000;
const VMS = ['x', 'y', 'z'];

const FOUNDED = ['x', 'y'].reduce<Roster>(
  (roster, vm) => withMember(roster, vm) ?? roster,
  {version: 0, members: []},
);
const GROWN: Roster = withMember(FOUNDED, 'z') ?? FOUNDED;
const FOUNDED_VERSION = FOUNDED.version;

const rosterAt = (version: number): Roster =>
  version >= GROWN.version ? GROWN : FOUNDED;

/** Builds the model. */
export function ratesModel(
  options: RateModelOptions,
): Model<RateSystem, RateEvent> {
  const initial: RateSystem = {
    nowMs: 0,
    buckets: [
      fullBucket(RATE, 0.5, 0),
      fullBucket(RATE, 0.5, 0),
      emptyBucket(RATE, 0, 0),
    ],
    applied: [FOUNDED_VERSION, FOUNDED_VERSION, 0],
    loans: [],
    lends: 0,
    grantsMs: [],
  };
  return {
    name: options.name,
    initial,
    enabled: system => enabledEvents(system, options),
    step: (system, event) => stepSystem(system, event, options.rules),
    invariants: {neverOverRate, tokensNeverMinted},
    fingerprint: system => JSON.stringify(system),
  };
}

function enabledEvents(
  system: RateSystem,
  options: RateModelOptions,
): RateEvent[] {
  const events: RateEvent[] = [];
  if (system.nowMs < options.maxMs) events.push({type: 'pass'});
  VMS.forEach((_, vm) => {
    if (availableTokens(system.buckets[vm], system.nowMs) >= 1) {
      events.push({type: 'grant', vm});
    }
    if (system.applied[vm] < GROWN.version) {
      events.push({type: 'applyRoster', vm});
    }
  });
  const mayLend =
    system.loans.length < MAX_LOANS_UNDER_WAY &&
    system.lends < options.maxLends;
  if (mayLend) {
    events.push({type: 'lend', from: 1, to: 0});
    events.push({type: 'lend', from: 0, to: 2});
  }
  system.loans.forEach((_, loan) => events.push({type: 'arrive', loan}));
  return events;
}

function stepSystem(
  system: RateSystem,
  event: RateEvent,
  rules: RateRules,
): RateSystem {
  const {nowMs} = system;
  switch (event.type) {
    case 'pass':
      return {...system, nowMs: nowMs + STEP_MS};
    case 'grant': {
      const next = takeTokens(system.buckets[event.vm], 1, nowMs);
      if (!next) return system;
      return {
        ...system,
        buckets: system.buckets.with(event.vm, next),
        grantsMs: [...system.grantsMs, nowMs],
      };
    }
    case 'lend': {
      const {bucket, lent} = rules.lend(
        system.buckets[event.from],
        1,
        0,
        nowMs,
      );
      if (lent.length === 0) return system;
      return {
        ...system,
        lends: system.lends + 1,
        buckets: system.buckets.with(event.from, bucket),
        loans: [...system.loans, {to: event.to, lent, requestedAtMs: nowMs}],
      };
    }
    case 'arrive':
      return arrive(system, event.loan, rules);
    case 'applyRoster':
      return applyRoster(system, event.vm, rules);
  }
}

function arrive(
  system: RateSystem,
  index: number,
  rules: RateRules,
): RateSystem {
  const {to, lent, requestedAtMs} = system.loans[index];
  const bucket = rules.receive(
    system.buckets[to],
    lent,
    requestedAtMs,
    system.nowMs,
  );
  return {
    ...system,
    buckets: system.buckets.with(to, bucket),
    loans: system.loans.filter((_, at) => at !== index),
  };
}

/** A VM applies the grown roster; every share follows from what is applied. */
function applyRoster(
  system: RateSystem,
  vm: number,
  rules: RateRules,
): RateSystem {
  const applied = system.applied.with(vm, GROWN.version);
  const versions = new Map(VMS.map((name, at) => [name, applied[at]]));
  const buckets = system.buckets.map((bucket, at) => {
    const share = rules.share(rosterAt(applied[at]), VMS[at], versions);
    return share === bucket.share
      ? bucket
      : reconfigureBucket(bucket, RATE, share, system.nowMs);
  });
  return {...system, applied, buckets};
}

/** In every window: granted <= burst + rate * d. */
function neverOverRate(system: RateSystem): boolean {
  const {grantsMs} = system;
  return grantsMs.every((fromMs, first) =>
    grantsMs.slice(first).every((toMs, offset) => {
      const allowed = RATE.burst + (RATE.ratePerS * (toMs - fromMs)) / MS_PER_S;
      return offset + 1 <= allowed + TOLERANCE;
    }),
  );
}

/** All that was granted, held or lent has accrued since the start. */
function tokensNeverMinted(system: RateSystem): boolean {
  const held = system.buckets.reduce(
    (sum, bucket) => sum + availableTokens(bucket, system.nowMs),
    0,
  );
  const accrued = RATE.burst + (RATE.ratePerS * system.nowMs) / MS_PER_S;
  return system.grantsMs.length + held <= accrued + TOLERANCE;
}
