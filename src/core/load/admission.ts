/**
 * Admission control of one database: decides which work waits, which is refused
 * at once or later, when a refused caller should return, and what runs next.
 * Both the check on arrival and the later ones use the same estimate, so that
 * no work is held until its time limit and then refused. Without I/O; the time
 * is passed in.
 */
import {AdmissionQueue, Candidate, Level} from './admission_queue.js';
import {PrimaryReserve} from './primary_reserve.js';
import {PriorityArrivals} from './priority_arrivals.js';
import {RetrySchedule} from './retry_schedule.js';
import {
  connectionWaitMs,
  DatabaseState,
  Estimate,
  inFlightMs,
  queueWaitMs,
  slowdownOf,
} from './work_estimate.js';
import {WorkKind, WorkTimes} from './work_times.js';

/** When work was refused. */
export const RefusalReason = {
  /** On arrival: it could not finish in time. */
  arrival: 'arrival',
  /** While it waited: the estimate showed that it cannot finish any more. */
  recheck: 'recheck',
  /** Its time limit passed while it waited. */
  deadline: 'deadline',
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export interface Refusal extends Estimate {
  readonly reason: RefusalReason;
  /** Time limit that was left. */
  readonly limitMs: number;
  /** How long it waited before it was refused. */
  readonly heldMs: number;
  /** Whether it had missed its objective. */
  readonly isLate: boolean;
  readonly retryAfterMs: number;
}

export interface RefusedCandidate<T> {
  readonly candidate: Candidate<T>;
  readonly refusal: Refusal;
}

/** What differs between the variants that `bench/admission.ts` compares. */
export interface AdmissionRules {
  /** Whether waits count the higher work that will arrive meanwhile. */
  readonly countsLaterArrivals: boolean;
  readonly rechecks: boolean;
  readonly yieldsWhenLate: boolean;
  readonly reservesForPrimary: boolean;
}

export const DEFAULT_RULES: AdmissionRules = {
  countsLaterArrivals: true,
  rechecks: true,
  yieldsWhenLate: true,
  reservesForPrimary: true,
};

/** Time in a database's slot to open a connection. */
export const CONNECT_MS = 12;

/**
 * Factor by which the wait may exceed its estimate. Without it, work at the
 * limit is admitted or kept and then refused late, as soon as the database is a
 * little slower than estimated.
 */
export const WAIT_MARGIN = 1.2;

/** What an estimate needs to know of work. */
export type EstimatedWork = Pick<
  Candidate<unknown>,
  | 'customer'
  | 'priority'
  | 'kind'
  | 'isReplicaRead'
  | 'connectMs'
  | 'blockedOnConnections'
>;

export class Admission<T> {
  readonly times = WorkTimes.create();
  private readonly queue = AdmissionQueue.create<T>();
  private readonly reserve = PrimaryReserve.create();
  private readonly retries = RetrySchedule.create();
  private readonly arrivals = PriorityArrivals.create();

  private constructor(private readonly rules: AdmissionRules) {}

  static create<T>(rules = DEFAULT_RULES): Admission<T> {
    return new Admission<T>(rules);
  }

  get size(): number {
    return this.queue.size;
  }

  /** Lowest priority that waits, the highest number; 0 if none waits. */
  get lowestPriority(): number {
    const waiting = this.queue.orderedLevels.filter(
      ({queue}) => queue.size > 0,
    );
    return Math.max(0, ...waiting.map(({priority}) => priority));
  }

  /**
   * Adds work to the queue, or returns why it is refused. An idle database is
   * always given work, since only its answers correct the estimate.
   */
  offer(
    given: Candidate<T>,
    state: DatabaseState,
    nowMs: number,
  ): Refusal | undefined {
    const candidate = this.rules.yieldsWhenLate
      ? given
      : {...given, objectiveAtMs: Infinity};
    const estimate = this.estimateOf(candidate, state, nowMs);
    const limitMs = candidate.deadlineAtMs - nowMs;
    const isIdle = state.inFlight === 0 && this.queue.size === 0;
    const neededMs = WAIT_MARGIN * estimate.waitMs + estimate.highRunMs;
    if (!isIdle && neededMs > limitMs) {
      const {arrival} = RefusalReason;
      return this.refuse(candidate, arrival, estimate, state, nowMs);
    }
    this.add(candidate, nowMs);
    return undefined;
  }

  /** Adds work that was admitted before, as after a failed connection. */
  add(candidate: Candidate<T>, nowMs: number): void {
    const {priority, kind, connectMs} = candidate;
    const placeMs = this.times.placeMsOf(kind) + connectMs;
    this.arrivals.record(priority, placeMs, nowMs);
    if (!candidate.isReplicaRead) this.recordPrimaryWork(kind, nowMs);
    this.queue.add(candidate, nowMs);
  }

  /** Records work that needs the primary and does not wait here. */
  recordPrimaryWork(kind: WorkKind, nowMs: number): void {
    this.reserve.recordArrival(this.times.placeMsOf(kind), nowMs);
  }

  /** Removes and returns the next work that may be sent now. */
  take(
    state: DatabaseState,
    nowMs: number,
    isBlocked: (customer: string) => boolean = () => false,
  ): Candidate<T> | undefined {
    if (this.queue.size === 0 || state.inFlight >= state.limit)
      return undefined;
    const reserved = this.reservedSlots(state, nowMs);
    const areReadsHeld =
      reserved > 0 && state.replicaReads >= Math.max(1, state.limit - reserved);
    return this.queue.take(
      nowMs,
      isBlocked,
      ({isReplicaRead}) => areReadsHeld && isReplicaRead,
    );
  }

  /** Removes an item; returns whether it was waiting. */
  remove(item: T): boolean {
    return this.queue.remove(item) !== undefined;
  }

  /** Removes and returns all waiting work. */
  drain(): T[] {
    const items = this.queue.inOrder().map(({candidate}) => candidate.item);
    for (const item of items) this.queue.remove(item);
    return items;
  }

  /**
   * Removes the waiting work that cannot finish in time any more. Work behind
   * it moves up and is judged by its new place, as it is behind work that will
   * miss its objective before its turn and then comes last.
   */
  recheck(state: DatabaseState, nowMs: number): Array<RefusedCandidate<T>> {
    if (!this.rules.rechecks || this.queue.size === 0) return [];
    this.queue.moveLate(nowMs);
    const slowdown = slowdownOf(state, this.times);
    const refused: Array<RefusedCandidate<T>> = [];
    const ahead = {
      allMs: inFlightMs(state, this.times) * slowdown,
      replicaReadsMs: 0,
    };
    let queueAhead = 0;
    const ownAhead = new Map<string, number>();
    for (const {candidate, level} of this.queue.inOrder()) {
      const {kind, connectMs, customer, objectiveAtMs} = candidate;
      const own = ownAhead.get(customer) ?? 0;
      const estimate = {
        ...this.estimateBehind(candidate, ahead, own, slowdown, state, nowMs),
        queueAhead,
      };
      const {waitMs, runMs} = estimate;
      const neededMs = WAIT_MARGIN * waitMs + runMs;
      if (nowMs + neededMs > candidate.deadlineAtMs) {
        this.queue.remove(candidate.item);
        const reason = RefusalReason.recheck;
        refused.push({
          candidate,
          refusal: this.refuse(candidate, reason, estimate, state, nowMs),
        });
      } else if (level.isLate || nowMs + waitMs <= objectiveAtMs) {
        const placeMs = this.times.placeMsOf(kind) * slowdown + connectMs;
        ahead.allMs += placeMs;
        if (candidate.isReplicaRead) ahead.replicaReadsMs += placeMs;
        ownAhead.set(customer, own + 1);
        queueAhead++;
      }
    }
    return refused;
  }

  /**
   * Returns what is expected of one more piece of work. `isLate`: whether it
   * comes after the work that can still meet its objective.
   */
  estimate(
    work: EstimatedWork,
    state: DatabaseState,
    nowMs: number,
    isLate = false,
  ): Estimate {
    const {customer, priority} = work;
    const slowdown = slowdownOf(state, this.times);
    let aheadMs = 0;
    let replicaReadsMs = 0;
    let queueAhead = 0;
    let ownAhead = 0;
    for (const level of this.queue.orderedLevels) {
      const {size} = level.queue;
      if (size === 0 || isBehind(level, priority, isLate)) continue;
      const isOwn = level.priority === priority && level.isLate === isLate;
      const count = isOwn ? level.queue.aheadOf(customer, 1) : size;
      const workMs = (levelWorkMs(level, this.times) * count) / size;
      aheadMs += workMs;
      replicaReadsMs += (workMs * level.replicaReads) / size;
      queueAhead += count;
      ownAhead += level.queue.countOf(customer);
    }
    const ahead = {
      allMs: (inFlightMs(state, this.times) + aheadMs) * slowdown,
      replicaReadsMs: replicaReadsMs * slowdown,
    };
    return {
      ...this.estimateBehind(work, ahead, ownAhead, slowdown, state, nowMs),
      queueAhead,
    };
  }

  /** Describes the refusal of work whose estimate does not fit its time. */
  refuse(
    candidate: Candidate<T>,
    reason: RefusalReason,
    estimate: Estimate,
    state: DatabaseState,
    nowMs: number,
  ): Refusal {
    const {priority, arrivedAtMs, deadlineAtMs, objectiveAtMs} = candidate;
    const {waitMs, highRunMs, share} = estimate;
    const usableMs = Math.min(deadlineAtMs, objectiveAtMs) - arrivedAtMs;
    const retryAfterMs = this.retries.delayMs(
      priority,
      waitMs + highRunMs - usableMs,
      this.times.meanMs / share / Math.max(1, state.limit),
      deadlineAtMs - arrivedAtMs,
      nowMs,
    );
    return {
      ...estimate,
      reason,
      limitMs: deadlineAtMs - nowMs,
      heldMs: nowMs - arrivedAtMs,
      isLate: objectiveAtMs <= nowMs,
      retryAfterMs,
    };
  }

  /**
   * Returns what is expected of a candidate. One that will miss its objective
   * while it waits then comes after other work, so that it is judged as such
   * from the beginning.
   */
  private estimateOf(
    candidate: Candidate<T>,
    state: DatabaseState,
    nowMs: number,
  ): Estimate {
    const estimate = this.estimate(candidate, state, nowMs);
    return nowMs + estimate.waitMs <= candidate.objectiveAtMs
      ? estimate
      : this.estimate(candidate, state, nowMs, true);
  }

  /** Returns what is expected of work behind other work. */
  private estimateBehind(
    work: EstimatedWork,
    ahead: {readonly allMs: number; readonly replicaReadsMs: number},
    ownAhead: number,
    slowdown: number,
    state: DatabaseState,
    nowMs: number,
  ): Omit<Estimate, 'queueAhead'> {
    const {kind, connectMs, isReplicaRead, blockedOnConnections} = work;
    const {times} = this;
    const share = this.rules.countsLaterArrivals
      ? this.arrivals.shareLeftTo(work.priority, state.limit, nowMs)
      : 1;
    const reservedSlots = this.reservedSlots(state, nowMs);
    const capacity = {share, reservedSlots, isReplicaRead};
    const connectionMs = connectionWaitMs(
      blockedOnConnections,
      ownAhead,
      times,
    );
    return {
      waitMs: Math.max(
        queueWaitMs(ahead, capacity, state, times),
        connectionMs * slowdown,
      ),
      runMs: times.meanOf(kind) * slowdown + connectMs,
      highRunMs: times.highOf(kind) * slowdown + connectMs,
      share,
      reservedSlots,
    };
  }

  private reservedSlots(state: DatabaseState, nowMs: number): number {
    const {isPrimary, limit} = state;
    return isPrimary && this.rules.reservesForPrimary
      ? this.reserve.reservedSlots(limit - 1, nowMs)
      : 0;
  }
}

/** Whether a level is served after work of a priority. */
const isBehind = <T>(
  level: Level<T>,
  priority: number,
  isLate: boolean,
): boolean =>
  level.isLate === isLate ? level.priority > priority : level.isLate;

/** Returns the expected work of a level, as time on a connection. */
function levelWorkMs<T>(level: Level<T>, times: WorkTimes): number {
  let workMs = level.connectMs;
  for (const [kind, count] of level.countByKind)
    workMs += count * times.placeMsOf(kind);
  return workMs;
}
