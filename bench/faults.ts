/**
 * Benchmark of correctness under faults: compares the outcome that callers saw
 * for each request with the databases' logs, for every fault and for random
 * pairs of faults.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {LocalFleet, LocalFleetOptions} from '../src/standin/local_fleet.js';
import {Fault, FAULTS, SERVICE} from './fault_cases.js';
import {measureWithdrawal} from './withdrawal.js';
import {Workload, WorkloadOutcomes} from './workload.js';

/** Result of one run, printed as JSON (see `WorkloadOutcomes`). */
export interface FaultRow {
  readonly fault: string;
  readonly requests: number;
  readonly lost: number;
  readonly doubled: number;
  readonly false_not_run: number;
  /** Partially committed transactions. */
  readonly torn: number;
  readonly stale: number;
  /** Answers that belong to another request. */
  readonly crossed: number;
  readonly unknown: number;
  /** Error messages of requests with an unknown outcome, with counts. */
  readonly unknown_says: Readonly<Record<string, number>>;
  readonly not_run: number;
  /** Longest time without an acknowledged write. */
  readonly gap_ms: number;
  readonly violations: number;
}

const CUSTOMER = 'villacres';
const CALLER_COUNT = 8;
const PROXY_COUNT = 4;
const PAIR_COUNT = 10;
const PAIR_SEED = 4_711;
/** Duration of normal operation before the faults; twice as long after them. */
const STEADY_MS = 500;

/**
 * Runs a workload while `faults` are injected one after another, spread over
 * `faultMs`, and then restored together.
 */
export async function runFaults(
  faults: readonly Fault[],
  faultMs: number,
  overrides: Partial<LocalFleetOptions> = {},
): Promise<FaultRow> {
  const fleet = await LocalFleet.create({
    proxies: PROXY_COUNT,
    services: [{service: SERVICE, lagMs: 10}],
    customers: [{name: CUSTOMER}],
    ...overrides,
  });
  try {
    const workload = Workload.create(fleet, {
      service: SERVICE,
      customer: CUSTOMER,
      callers: CALLER_COUNT,
      clientTimeoutMs: 20_000,
    });
    await delay(STEADY_MS);
    workload.resetGap();
    for (const {inject} of faults) {
      await inject(fleet);
      await delay(faultMs / faults.length);
    }
    for (const {restore} of faults) await restore(fleet);
    await delay(STEADY_MS * 2);
    const outcomes = await workload.stopAndReconcile();
    return rowOf(faults, outcomes);
  } finally {
    await fleet.close();
  }
}

function rowOf(faults: readonly Fault[], outcomes: WorkloadOutcomes): FaultRow {
  const maxGapMs = faults.reduce((sum, fault) => sum + fault.maxGapMs, 0);
  const violationCount =
    outcomes.lost +
    outcomes.doubled +
    outcomes.falseNotRun +
    outcomes.torn +
    outcomes.stale +
    outcomes.crossed;
  return {
    fault: faults.map(fault => fault.name).join(' + '),
    requests: outcomes.requests,
    lost: outcomes.lost,
    doubled: outcomes.doubled,
    false_not_run: outcomes.falseNotRun,
    torn: outcomes.torn,
    stale: outcomes.stale,
    crossed: outcomes.crossed,
    unknown: outcomes.unknown,
    unknown_says: outcomes.unknownMessages,
    not_run: outcomes.notRun,
    gap_ms: outcomes.gapMs,
    violations: violationCount + (outcomes.gapMs > maxGapMs ? 1 : 0),
  };
}

/** Returns pairs of two different faults, chosen by a seeded generator. */
export function randomFaultPairs(count: number, seed: number): Fault[][] {
  const random = xoroshiro128plus(seed);
  return Array.from({length: count}, () => {
    const first = uniformInt(random, 0, FAULTS.length - 1);
    const step = uniformInt(random, 1, FAULTS.length - 1);
    return [FAULTS[first], FAULTS[(first + step) % FAULTS.length]];
  });
}

export async function benchFaults(
  printLine: (line: string) => void,
  seconds: number,
): Promise<object> {
  const faultSets = [
    ...FAULTS.map(fault => [fault]),
    ...randomFaultPairs(PAIR_COUNT, PAIR_SEED),
  ];
  const rows: FaultRow[] = [];
  for (const faults of faultSets) {
    const row = await runFaults(faults, seconds * 1_000);
    printLine(JSON.stringify(row));
    rows.push(row);
  }
  const withdrawal = await measureWithdrawal();
  printLine(JSON.stringify(withdrawal));
  return {
    bench: 'faults',
    pair_seed: PAIR_SEED,
    rows,
    key_withdrawal: withdrawal,
    total_violations: rows.reduce((sum, row) => sum + row.violations, 0),
  };
}

const delay = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));
