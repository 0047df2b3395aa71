/**
 * Model of a customer's rate shared by several VMs. Runs the production token
 * buckets at three VMs, of which the third may join later. Lending messages are
 * lost, delayed or answered late, and VMs pause. Checks for every window of
 * length d that at most burst + rate * d tokens are granted.
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

/** Lent tokens in transit from the lender to the borrower. */
interface Loan {
  /** Index of the borrowing VM. */
  readonly to: number;
  readonly lent: readonly LentInterval[];
  readonly requestedAtMs: number;
}

/** State of the VMs and the network. */
export interface RateSystem {
  readonly nowMs: number;
  readonly buckets: readonly TokenBucket[];
  /** Roster version that each VM has applied. */
  readonly appliedVersions: readonly number[];
  readonly loans: readonly Loan[];
  /** Number of loans made so far. */
  readonly loanCount: number;
  /** Time at which each token was granted, at any VM. */
  readonly grantsMs: readonly number[];
}

/** A transition of the model. The numbers are indexes into the system. */
export type RateEvent =
  | {readonly type: 'advanceClock'}
  | {readonly type: 'grant'; readonly vm: number}
  | {readonly type: 'lend'; readonly from: number; readonly to: number}
  | {readonly type: 'receiveLoan'; readonly loan: number}
  | {readonly type: 'applyRoster'; readonly vm: number};

/** The bucket and share functions; each mutant replaces one. */
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

export interface RateModelOptions {
  readonly name: string;
  readonly rules: RateRules;
  readonly maxMs: number;
  readonly maxLoans: number;
}

const RATE: Rate = {ratePerS: 2, burst: 2};
const STEP_MS = 500;
const MAX_LOANS_IN_TRANSIT = 1;
const TOLERANCE = 1e-6;
const MS_PER_S = 1_000;
const VM_NAMES = ['x', 'y', 'z'];

/** The roster before the third VM joins. */
const INITIAL_ROSTER = ['x', 'y'].reduce<Roster>(
  (roster, vm) => withMember(roster, vm) ?? roster,
  {version: 0, members: []},
);
const GROWN_ROSTER: Roster = withMember(INITIAL_ROSTER, 'z') ?? INITIAL_ROSTER;
const INITIAL_VERSION = INITIAL_ROSTER.version;

const rosterAt = (version: number): Roster =>
  version >= GROWN_ROSTER.version ? GROWN_ROSTER : INITIAL_ROSTER;

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
    appliedVersions: [INITIAL_VERSION, INITIAL_VERSION, 0],
    loans: [],
    loanCount: 0,
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
  if (system.nowMs < options.maxMs) events.push({type: 'advanceClock'});
  VM_NAMES.forEach((_, vm) => {
    if (availableTokens(system.buckets[vm], system.nowMs) >= 1) {
      events.push({type: 'grant', vm});
    }
    if (system.appliedVersions[vm] < GROWN_ROSTER.version) {
      events.push({type: 'applyRoster', vm});
    }
  });
  const mayLend =
    system.loans.length < MAX_LOANS_IN_TRANSIT &&
    system.loanCount < options.maxLoans;
  if (mayLend) {
    events.push({type: 'lend', from: 1, to: 0});
    events.push({type: 'lend', from: 0, to: 2});
  }
  system.loans.forEach((_, loan) => events.push({type: 'receiveLoan', loan}));
  return events;
}

function stepSystem(
  system: RateSystem,
  event: RateEvent,
  rules: RateRules,
): RateSystem {
  const {nowMs} = system;
  switch (event.type) {
    case 'advanceClock':
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
        loanCount: system.loanCount + 1,
        buckets: system.buckets.with(event.from, bucket),
        loans: [...system.loans, {to: event.to, lent, requestedAtMs: nowMs}],
      };
    }
    case 'receiveLoan':
      return receiveLoan(system, event.loan, rules);
    case 'applyRoster':
      return applyRoster(system, event.vm, rules);
  }
}

function receiveLoan(
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

/**
 * Applies the grown roster at one VM and recomputes the shares of all VMs,
 * which depend on the versions applied everywhere.
 */
function applyRoster(
  system: RateSystem,
  vm: number,
  rules: RateRules,
): RateSystem {
  const appliedVersions = system.appliedVersions.with(vm, GROWN_ROSTER.version);
  const versions = new Map(
    VM_NAMES.map((name, at) => [name, appliedVersions[at]]),
  );
  const buckets = system.buckets.map((bucket, at) => {
    const share = rules.share(
      rosterAt(appliedVersions[at]),
      VM_NAMES[at],
      versions,
    );
    return share === bucket.share
      ? bucket
      : reconfigureBucket(bucket, RATE, share, system.nowMs);
  });
  return {...system, appliedVersions, buckets};
}

/** Whether any window of length d has at most burst + rate * d grants. */
function neverOverRate(system: RateSystem): boolean {
  const {grantsMs} = system;
  return grantsMs.every((fromMs, first) =>
    grantsMs.slice(first).every((toMs, offset) => {
      const allowed = RATE.burst + (RATE.ratePerS * (toMs - fromMs)) / MS_PER_S;
      return offset + 1 <= allowed + TOLERANCE;
    }),
  );
}

/**
 * The tokens granted and held do not exceed those accrued since the start,
 * including the initial burst.
 */
function tokensNeverMinted(system: RateSystem): boolean {
  const held = system.buckets.reduce(
    (sum, bucket) => sum + availableTokens(bucket, system.nowMs),
    0,
  );
  const accrued = RATE.burst + (RATE.ratePerS * system.nowMs) / MS_PER_S;
  return system.grantsMs.length + held <= accrued + TOLERANCE;
}
