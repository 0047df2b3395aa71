/**
 * What each policy is worth: the real core in virtual time, at both users'
 * sizes, beside a baseline passed in as a function.
 */
import {FairQueue, FifoQueue, RequestQueue} from '../src/core/fair_queue.js';
import {
  DEFAULT_FAILOVER_TIMEOUTS,
  FailoverTimeouts,
} from '../src/core/failover_state.js';
import {routeToPrimary, routeToReplicas} from '../src/core/routing.js';
import {simulateFailover} from './policy_failover.js';
import {simulateQueue} from './policy_queue.js';
import {borrowing, simulateRates, staticSplit} from './policy_rates.js';
import {simulateReads} from './policy_reads.js';

/** A user's places and services, from the brief. */
export interface UserSize {
  readonly name: string;
  readonly vms: number;
  readonly zoneDelayMs: number;
  readonly regionDelayMs: number;
  readonly slots: number;
  readonly serviceTimeMs: number;
  readonly customers: number;
  readonly replicaLagMs: number;
}

export const USERS: readonly UserSize[] = [
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

/** Detection as by a lease: nothing happens before it has run out. */
const LEASE_TIMES: FailoverTimeouts = {
  ...DEFAULT_FAILOVER_TIMEOUTS,
  suspectAfterMs: 5_000,
};

interface Compared {
  readonly policy: number;
  readonly baseline: number;
}

const round = (value: number): number => Number(value.toFixed(4));

const compared = (policy: number, baseline: number): Compared => ({
  policy: round(policy),
  baseline: round(baseline),
});

/** All measures of one user. */
export function measureUser(user: UserSize, seed: number): object {
  const rates = simulateRates(user, borrowing, seed);
  const split = simulateRates(user, staticSplit, seed);
  const lossy = simulateRates(user, borrowing, seed, {loseVmAtMs: 10_000});
  const fair = <T>(): RequestQueue<T> => FairQueue.create<T>();
  const arrival = <T>(): RequestQueue<T> => FifoQueue.create<T>();
  return {
    replica_read_share: compared(
      simulateReads(user, routeToReplicas, seed),
      simulateReads(user, routeToPrimary, seed),
    ),
    write_gap_ms: compared(
      simulateFailover(user, DEFAULT_FAILOVER_TIMEOUTS),
      simulateFailover(user, LEASE_TIMES),
    ),
    worst_customer_p99_ratio: compared(
      simulateQueue(user, fair, seed),
      simulateQueue(user, arrival, seed),
    ),
    wrongful_refusal_share: compared(rates.wrongfulShare, split.wrongfulShare),
    wrongful_refusal_share_vm_lost: round(lossy.wrongfulShare),
    overrun_tokens: Math.max(
      rates.overrunTokens,
      split.overrunTokens,
      lossy.overrunTokens,
    ),
  };
}

/** Runs the benchmark. */
export async function benchPolicy(
  say: (line: string) => void,
): Promise<object> {
  const users = USERS.map(user => {
    const measures = measureUser(user, POLICY_SEED);
    say(`${user.name}: ${JSON.stringify(measures)}`);
    return [user.name, measures];
  });
  return {
    bench: 'policy',
    seed: POLICY_SEED,
    users: Object.fromEntries(users) as object,
  };
}
