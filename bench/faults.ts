/** Requests accounted for under each fault, and under seeded pairs of them. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {LocalFleet, LocalFleetOptions} from '../src/standin/local_fleet.js';
import {Fault, FAULTS, SERVICE} from './fault_cases.js';
import {measureWithdrawal} from './withdrawal.js';
import {Accounts, Workload} from './workload.js';

/** One row of the result. */
export interface FaultRow {
  readonly fault: string;
  readonly requests: number;
  readonly lost: number;
  readonly doubled: number;
  readonly false_not_run: number;
  readonly torn: number;
  readonly stale: number;
  readonly crossed: number;
  readonly unknown: number;
  readonly unknown_says: Readonly<Record<string, number>>;
  readonly not_run: number;
  readonly gap_ms: number;
  readonly violations: number;
}

const CUSTOMER = 'villacres';
const CALLERS = 8;
const PROXIES = 4;
const PAIRS = 10;
const PAIR_SEED = 4_711;
const STEADY_MS = 500;

/** Runs callers while faults strike one after another and heal. */
export async function runFaults(
  faults: readonly Fault[],
  struckMs: number,
  extra: Partial<LocalFleetOptions> = {},
): Promise<FaultRow> {
  const scene = await LocalFleet.create({
    proxies: PROXIES,
    services: [{service: SERVICE, lagMs: 10}],
    customers: [{name: CUSTOMER}],
    ...extra,
  });
  try {
    const workload = Workload.create(scene, {
      service: SERVICE,
      customer: CUSTOMER,
      callers: CALLERS,
      clientTimeoutMs: 20_000,
    });
    await pause(STEADY_MS);
    workload.resetGap();
    for (const {strike} of faults) {
      await strike(scene);
      await pause(struckMs / faults.length);
    }
    for (const {heal} of faults) await heal(scene);
    await pause(STEADY_MS * 2);
    const accounts = await workload.settle();
    return rowOf(faults, accounts);
  } finally {
    await scene.close();
  }
}

function rowOf(faults: readonly Fault[], accounts: Accounts): FaultRow {
  const maxGapMs = faults.reduce((sum, fault) => sum + fault.maxGapMs, 0);
  const wrong =
    accounts.lost +
    accounts.doubled +
    accounts.falseNotRun +
    accounts.torn +
    accounts.stale +
    accounts.crossed;
  return {
    fault: faults.map(fault => fault.name).join(' + '),
    requests: accounts.requests,
    lost: accounts.lost,
    doubled: accounts.doubled,
    false_not_run: accounts.falseNotRun,
    torn: accounts.torn,
    stale: accounts.stale,
    crossed: accounts.crossed,
    unknown: accounts.unknown,
    unknown_says: accounts.unknownSays,
    not_run: accounts.notRun,
    gap_ms: accounts.gapMs,
    violations: wrong + (accounts.gapMs > maxGapMs ? 1 : 0),
  };
}

/** Pairs of different faults, chosen by seed. */
export function pairsOf(count: number, seed: number): Fault[][] {
  const random = xoroshiro128plus(seed);
  return Array.from({length: count}, () => {
    const first = uniformInt(random, 0, FAULTS.length - 1);
    const step = uniformInt(random, 1, FAULTS.length - 1);
    return [FAULTS[first], FAULTS[(first + step) % FAULTS.length]];
  });
}

/** Runs the benchmark. */
export async function benchFaults(
  say: (line: string) => void,
  seconds: number,
): Promise<object> {
  const plans = [...FAULTS.map(fault => [fault]), ...pairsOf(PAIRS, PAIR_SEED)];
  const rows: FaultRow[] = [];
  for (const faults of plans) {
    const row = await runFaults(faults, seconds * 1_000);
    say(JSON.stringify(row));
    rows.push(row);
  }
  const withdrawal = await measureWithdrawal();
  say(JSON.stringify(withdrawal));
  return {
    bench: 'faults',
    pair_seed: PAIR_SEED,
    rows,
    key_withdrawal: withdrawal,
    total_violations: rows.reduce((sum, row) => sum + row.violations, 0),
  };
}

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));
