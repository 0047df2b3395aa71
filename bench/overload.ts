/**
 * More is asked than the databases can do: what callers get by policy, in
 * virtual time, over the queue and the choice of connections of the fronts.
 */
import {
  chooseConnection,
  PooledConnection,
} from '../src/core/connection_choice.js';
import {FifoQueue, ServiceCapacity} from '../src/core/fair_queue.js';
import {WorkQueue} from '../src/core/work_queue.js';
import {exponential, randomOf, VirtualTime} from './simulation.js';

/** One kind of request. */
interface Kind {
  readonly name: string;
  /** Part of all requests. */
  readonly part: number;
  readonly workMs: number;
  readonly priority: number;
  readonly aimMs: number;
  /** Time limit of one try. */
  readonly timeoutMs: number;
  readonly deadlineMs: number;
  readonly worth: number;
  readonly lateWorth: number;
}

/** One database and those who ask it. */
export interface Site {
  readonly slots: number;
  readonly connections: number;
  readonly handshakeMs: number;
  readonly customers: number;
  readonly kinds: readonly Kind[];
}

const kind = (
  name: string,
  part: number,
  [workMs, priority, aimMs, timeoutMs, deadlineMs]: readonly number[],
  [worth, lateWorth]: readonly number[],
): Kind => ({
  name,
  part,
  workMs,
  priority,
  aimMs,
  timeoutMs,
  deadlineMs,
  worth,
  lateWorth,
});

const VILLACRES: Site = {
  slots: 2,
  connections: 9,
  handshakeMs: 12,
  customers: 8,
  kinds: [
    kind('header-orders', 0.15, [4.5, 1, 600, 800, 4_000], [2, 0.6]),
    kind('proof-lookups', 0.15, [22, 2, 800, 1_500, 5_000], [1, 0.3]),
    kind('run-scheduling', 0.7, [14, 2, 1_000, 800, 4_000], [2, 0.3]),
  ],
};
const PITCH_OFFICE: Site = {
  slots: 3,
  connections: 21,
  handshakeMs: 27,
  customers: 8,
  kinds: [
    kind('pitch-claim', 0.15, [8, 1, 500, 1_000, 5_000], [2, 0.6]),
    kind('inspector-lookup', 0.15, [40, 2, 1_000, 2_000, 10_000], [1, 0.3]),
    kind('fee-settle', 0.7, [24, 2, 1_000, 1_000, 5_000], [2, 0.3]),
  ],
};

const tenfold = (site: Site): Site => ({
  ...site,
  slots: site.slots * 10,
  connections: site.connections * 10,
  customers: site.customers * 10,
});

/** Sites by name, as they are and at ten times their size. */
export const SITES: Readonly<Record<string, Site>> = {
  villacres: VILLACRES,
  villacres_x10: tenfold(VILLACRES),
  pitch_office: PITCH_OFFICE,
  pitch_office_x10: tenfold(PITCH_OFFICE),
};

interface Job {
  readonly kind: Kind;
  readonly customer: string;
  readonly askedAtMs: number;
  readonly tries: number;
  over: boolean;
}

/** Order of service, and who is refused on arrival. */
export interface Policy {
  /** Adds a job unless it is refused. */
  readonly offer: (job: Job, pace: ServiceCapacity, running: number) => boolean;
  readonly take: (isBlocked: (customer: string) => boolean) => Job | undefined;
  readonly remove: (job: Job) => void;
}

/** First come, first served; nothing is refused before its time limit. */
const firstCome = (): Policy => {
  const queue = FifoQueue.create<Job>();
  return {
    offer: job =>
      queue.offer({
        customer: job.customer,
        weight: 1,
        deadlineAtMs: Infinity,
        item: job,
      }),
    take: () => queue.take()?.item,
    // What is over is passed over when its turn comes.
    remove: () => undefined,
  };
};

/** The fronts' queue; a job is refused whose wait would exceed `limitOf`. */
const prioritised =
  (limitOf: (kind: Kind) => number, priorityOf: (kind: Kind) => number) =>
  (): Policy => {
    const queue = WorkQueue.create<Job>();
    return {
      offer: (job, pace, running) => {
        const {customer} = job;
        const priority = priorityOf(job.kind);
        const entry = {customer, weight: 1, priority};
        const waitMs = queue.waitMs(entry, pace, running);
        if (waitMs + pace.serviceTimeMs > limitOf(job.kind)) return false;
        const deadlineAtMs = Infinity;
        queue.add({...entry, deadlineAtMs, item: job}, pace);
        return true;
      },
      take: isBlocked => queue.take(isBlocked),
      remove: job => void queue.remove(job),
    };
  };

/** Policies compared; `today` is what the fronts do. */
export const POLICIES: Readonly<Record<string, () => Policy>> = {
  first_come: firstCome,
  fair_only: prioritised(
    k => k.timeoutMs,
    () => 1,
  ),
  today: prioritised(
    k => k.timeoutMs,
    k => k.priority,
  ),
  refuse_past_objective: prioritised(
    k => Math.min(k.aimMs, k.timeoutMs),
    k => k.priority,
  ),
};

const DURATION_MS = 30_000;
/** Part of the slots' time that work takes at the usual load. */
const USUAL_LOAD = 0.6;
const RETRIES = 2;
const RETRY_PAUSE_MS = 150;

/** What callers got of what they were owed, 0 to 1, in all and by kind. */
export interface Earned {
  readonly worth: number;
  readonly worstKind: number;
  /** Part of the slots' time spent on new connections. */
  readonly handshakes: number;
}

interface Connection extends PooledConnection {
  use: 'idle' | 'busy';
  lastUsedMs: number;
}

/** Plays one site at `load` times its usual traffic. */
export function simulateOverload(
  site: Site,
  createPolicy: () => Policy,
  load: number,
  seed: number,
): Earned {
  const time = VirtualTime.create();
  const policy = createPolicy();
  const work = randomOf(seed);
  const meanMs = site.kinds.reduce((sum, k) => sum + k.part * k.workMs, 0);
  const pace = {concurrency: site.slots, serviceTimeMs: meanMs};
  const owed = new Map<Kind, number>();
  const earned = new Map<Kind, number>();
  let connections: Connection[] = [];
  let running = 0;
  let handshakeMs = 0;

  const add = (sums: Map<Kind, number>, k: Kind, worth: number): void =>
    void sums.set(k, (sums.get(k) ?? 0) + worth);
  const choose = (customer: string) =>
    chooseConnection(connections, customer, site.connections);
  const isBlocked = (customer: string): boolean =>
    choose(customer).kind === 'wait';

  const settle = (job: Job): void => {
    const tookMs = time.nowMs - job.askedAtMs;
    const {aimMs, deadlineMs, worth, lateWorth} = job.kind;
    if (tookMs > deadlineMs) return;
    add(earned, job.kind, tookMs <= aimMs ? worth : lateWorth);
  };
  const fail = (job: Job): void => {
    job.over = true;
    if (job.tries >= RETRIES) return;
    const next = {...job, tries: job.tries + 1, over: false};
    time.after(RETRY_PAUSE_MS, () => ask(next));
  };
  const connect = (customer: string): {held: Connection; costMs: number} => {
    const choice = choose(customer);
    if (choice.kind === 'use') return {held: choice.connection, costMs: 0};
    const evicted = choice.kind === 'open' ? choice.evict : undefined;
    connections = connections.filter(c => c !== evicted);
    const held: Connection = {customer, use: 'busy', lastUsedMs: time.nowMs};
    connections.push(held);
    handshakeMs += site.handshakeMs;
    return {held, costMs: site.handshakeMs};
  };
  const pump = (): void => {
    while (running < site.slots) {
      const job = policy.take(isBlocked);
      if (!job) return;
      if (job.over) continue;
      running++;
      const {held, costMs} = connect(job.customer);
      held.use = 'busy';
      const tookMs = costMs + exponential(work, job.kind.workMs);
      time.after(tookMs, () => {
        running--;
        held.use = 'idle';
        held.lastUsedMs = time.nowMs;
        if (!job.over) settle(job);
        job.over = true;
        pump();
      });
    }
  };
  const ask = (job: Job): void => {
    if (!policy.offer(job, pace, running)) return fail(job);
    time.after(job.kind.timeoutMs, () => {
      if (job.over) return;
      policy.remove(job);
      fail(job);
    });
    pump();
  };
  const arrive = (k: Kind, customer: number, random: () => number): void => {
    const perMs = (site.slots * USUAL_LOAD * load * k.part) / meanMs;
    const pauseMs = exponential(random, site.customers / perMs);
    time.after(pauseMs, () => {
      add(owed, k, k.worth);
      ask({
        kind: k,
        customer: `c${customer}`,
        askedAtMs: time.nowMs,
        tries: 0,
        over: false,
      });
      arrive(k, customer, random);
    });
  };

  for (const [n, k] of site.kinds.entries()) {
    for (let customer = 0; customer < site.customers; customer++) {
      arrive(k, customer, randomOf(seed + 1 + n * site.customers + customer));
    }
  }
  time.runUntil(DURATION_MS);
  const parts = site.kinds.map(
    k => (earned.get(k) ?? 0) / Math.max(1, owed.get(k) ?? 0),
  );
  const sum = (sums: Map<Kind, number>): number =>
    [...sums.values()].reduce((total, worth) => total + worth, 0);
  return {
    worth: sum(earned) / sum(owed),
    worstKind: Math.min(...parts),
    handshakes: handshakeMs / (DURATION_MS * site.slots),
  };
}

const LOADS = [1, 2, 4];
const SEED = 20261204;
const round = (value: number): number => Number(value.toFixed(3));

/** All sites, loads and policies. */
export function benchOverload(say: (line: string) => void): Promise<object> {
  const result: Record<string, Record<string, object>> = {};
  for (const [name, site] of Object.entries(SITES)) {
    result[name] = {};
    for (const load of LOADS) {
      const row: Record<string, object> = {};
      for (const [policy, create] of Object.entries(POLICIES)) {
        const earned = simulateOverload(site, create, load, SEED);
        row[policy] = {
          worth: round(earned.worth),
          worst_kind: round(earned.worstKind),
          handshakes: round(earned.handshakes),
        };
        say(`${name} ${load}x ${policy}: ${JSON.stringify(row[policy])}`);
      }
      result[name][`${load}x`] = row;
    }
  }
  return Promise.resolve(result);
}
