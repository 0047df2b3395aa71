/**
 * Benchmark of the policies for reads, failover, queueing and rates. Runs the
 * core modules in virtual time and compares each policy with a baseline.
 */
import {FairQueue, FifoQueue, RequestQueue} from '../src/core/fair_queue.js';
import {
  DEFAULT_FAILOVER_TIMEOUTS,
  FailoverTimeouts,
} from '../src/core/failover_state.js';
import {routeToPrimary, routeToReplicas} from '../src/core/routing.js';
import {simulateFailover} from './policy_failover.js';
import {simulateQueue} from './policy_queue.js';
import {borrowOnDemand, neverBorrow, simulateRates} from './policy_rates.js';
import {simulateReads} from './policy_reads.js';

/** Network, database and customers of a deployment in the requirements. */
export interface DeploymentProfile {
  readonly name: string;
  readonly vms: number;
  /** One-way delay between zones of a region. */
  readonly zoneDelayMs: number;
  /** One-way delay between regions. */
  readonly regionDelayMs: number;
  /** Number of statements that the database runs at the same time. */
  readonly slots: number;
  readonly serviceTimeMs: number;
  readonly customers: number;
  readonly replicaLagMs: number;
}

export const DEPLOYMENTS: readonly DeploymentProfile[] = [
  {
    name: 'villacres',
    vms: 9,
    zoneDelayMs: 1.5,
    regionDelayMs: 20,
    slots: 2,
    serviceTimeMs: 4,
    customers: 8,
    replicaLagMs: 60,
  },
  {
    name: 'pitch-office',
    vms: 9,
    zoneDelayMs: 1.5,
    regionDelayMs: 10,
    slots: 3,
    serviceTimeMs: 4,
    customers: 8,
    replicaLagMs: 40,
  },
];

export const POLICY_SEED = 20_261_204;

/** Baseline: the primary is suspected only after a lease of 5 s expires. */
const LEASE_TIMEOUTS: FailoverTimeouts = {
  ...DEFAULT_FAILOVER_TIMEOUTS,
  suspectAfterMs: 5_000,
};

interface Comparison {
  readonly policy: number;
  readonly baseline: number;
}

const round = (value: number): number => Number(value.toFixed(4));

const compareWithBaseline = (policy: number, baseline: number): Comparison => ({
  policy: round(policy),
  baseline: round(baseline),
});

/** Simulates all policies and their baselines for one deployment. */
export function measureDeployment(
  deployment: DeploymentProfile,
  seed: number,
): object {
  const borrowed = simulateRates(deployment, borrowOnDemand, seed);
  const notBorrowed = simulateRates(deployment, neverBorrow, seed);
  const borrowedVmLost = simulateRates(deployment, borrowOnDemand, seed, {
    loseVmAtMs: 10_000,
  });
  const createFairQueue = <T>(): RequestQueue<T> => FairQueue.create<T>();
  const createFifoQueue = <T>(): RequestQueue<T> => FifoQueue.create<T>();
  return {
    replica_read_share: compareWithBaseline(
      simulateReads(deployment, routeToReplicas, seed),
      simulateReads(deployment, routeToPrimary, seed),
    ),
    write_gap_ms: compareWithBaseline(
      simulateFailover(deployment, DEFAULT_FAILOVER_TIMEOUTS),
      simulateFailover(deployment, LEASE_TIMEOUTS),
    ),
    worst_customer_p99_ratio: compareWithBaseline(
      simulateQueue(deployment, createFairQueue, seed),
      simulateQueue(deployment, createFifoQueue, seed),
    ),
    wrongful_refusal_share: compareWithBaseline(
      borrowed.wrongfulShare,
      notBorrowed.wrongfulShare,
    ),
    wrongful_refusal_share_vm_lost: round(borrowedVmLost.wrongfulShare),
    overrun_tokens: Math.max(
      borrowed.overrunTokens,
      notBorrowed.overrunTokens,
      borrowedVmLost.overrunTokens,
    ),
  };
}

export async function benchPolicy(
  printLine: (line: string) => void,
): Promise<object> {
  const users = DEPLOYMENTS.map(deployment => {
    const measures = measureDeployment(deployment, POLICY_SEED);
    printLine(`${deployment.name}: ${JSON.stringify(measures)}`);
    return [deployment.name, measures];
  });
  return {
    bench: 'policy',
    seed: POLICY_SEED,
    users: Object.fromEntries(users) as object,
  };
}
