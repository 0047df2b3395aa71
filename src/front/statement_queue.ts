/**
 * The statements that wait for one database and those that were sent to it.
 * Applies the decisions of `core/load/admission.ts` to the worker's jobs.
 */
import {
  Admission,
  CONNECT_MS,
  Refusal,
  RefusalReason,
} from '../core/load/admission.js';
import {DatabaseState} from '../core/load/work_estimate.js';
import {Candidate} from '../core/load/admission_queue.js';
import {InFlight} from '../core/load/in_flight.js';
import {isCommitting, kindOf, WorkKind} from '../core/load/work_times.js';
import {isReplicaRead, Job} from './statement_job.js';

/** How a customer's next statement gets a connection. */
export interface ConnectionNeed {
  readonly kind: 'use' | 'open' | 'wait';
  /** Number of the customer's connections. */
  readonly held: number;
}

export interface StatementQueueOptions {
  /** Number of statements that the database runs at once. */
  readonly slots: () => number;
  /** Whether the database is a primary. */
  readonly isPrimary: () => boolean;
  /**
   * Whether the database is in this front's zone. A distant database gets more
   * concurrent statements, so that it stays busy during the round trip.
   */
  readonly isNear: boolean;
  readonly connectionNeed: (customer: string) => ConnectionNeed;
  /** Called when a commit is expected to have left its place. */
  readonly onPlaceFree: () => void;
}

const NO_CONNECTION_NEEDED: ConnectionNeed = {kind: 'use', held: 0};
/** Interval of the checks of waiting statements. */
const RECHECK_INTERVAL_MS = 100;
/** Rise of the average work time that causes a check at once. */
const RECHECK_AFTER_RISE = 1.5;

export class StatementQueue {
  private readonly admission = Admission.create<Job>();
  private readonly sent = InFlight.create(this.admission.times);
  private recheckedAtMs = 0;
  private recheckedMeanMs = this.admission.times.meanMs;

  private constructor(private readonly options: StatementQueueOptions) {}

  static create(options: StatementQueueOptions): StatementQueue {
    return new StatementQueue(options);
  }

  /** Number of waiting statements. */
  get size(): number {
    return this.admission.size;
  }

  /** Statements that were sent and are not answered. */
  get inFlight(): number {
    return this.sent.size;
  }

  /** Expected time from sending a statement to its answer. */
  get serviceMs(): number {
    return this.admission.times.meanMs;
  }

  /** Returns the expected queueing time of one more read. */
  expectedWaitMs(customer: string, priority: number): number {
    if (this.isQuiet) return 0;
    const read = {
      customer,
      priority,
      kind: WorkKind.read,
      isReplicaRead: true,
      connectMs: 0,
    };
    const nowMs = performance.now();
    return this.admission.estimate(read, this.state(nowMs), nowMs).waitMs;
  }

  /**
   * Expected wait of one more read behind all that waits. Reads that may run
   * elsewhere mostly have a low priority, and are served behind the others.
   */
  get backlogMs(): number {
    return this.size === 0
      ? 0
      : this.expectedWaitMs('', this.admission.lowestPriority);
  }

  /** Queues an arriving job, or returns why it is refused. */
  offer(job: Job): Refusal | undefined {
    const nowMs = performance.now();
    return this.admission.offer(this.candidate(job), this.state(nowMs), nowMs);
  }

  /** Queues a job again whose connection could not be opened. */
  requeue(job: Job): void {
    this.admission.add(this.candidate(job), performance.now());
  }

  /** Records a statement that needs the primary and bypasses the queue. */
  recordPrimaryWork(job: Job): void {
    this.admission.recordPrimaryWork(kindOf(job.work), performance.now());
  }

  /** Removes and returns the next job that may be sent now. */
  take(isBlocked: (customer: string) => boolean): Job | undefined {
    if (this.size === 0) return undefined;
    const nowMs = performance.now();
    return this.admission.take(this.state(nowMs), nowMs, isBlocked)?.item;
  }

  /** Removes a job; returns whether it was waiting. */
  remove(job: Job): boolean {
    return this.admission.remove(job);
  }

  /** Removes and returns all waiting jobs. */
  drain(): Job[] {
    return this.admission.drain();
  }

  /**
   * Removes the jobs that cannot finish in time any more, if a check is due: at
   * an interval, and when the database has become slower.
   */
  recheck(): Array<{job: Job; refusal: Refusal}> {
    if (this.size === 0) return [];
    const nowMs = performance.now();
    const {times} = this.admission;
    const meanMs = times.meanMs * times.recentSlowdown;
    const isDue =
      nowMs - this.recheckedAtMs >= RECHECK_INTERVAL_MS ||
      meanMs >= RECHECK_AFTER_RISE * this.recheckedMeanMs;
    if (!isDue) return [];
    this.recheckedAtMs = nowMs;
    this.recheckedMeanMs = meanMs;
    return this.admission
      .recheck(this.state(nowMs), nowMs)
      .map(({candidate, refusal}) => ({job: candidate.item, refusal}));
  }

  /** Describes the refusal of a job whose time limit has passed. */
  refusalAtDeadline(job: Job): Refusal {
    const nowMs = performance.now();
    const candidate = this.candidate(job);
    const state = this.state(nowMs);
    const estimate = this.admission.estimate(candidate, state, nowMs);
    const {deadline} = RefusalReason;
    return this.admission.refuse(candidate, deadline, estimate, state, nowMs);
  }

  /** Records that a statement of a job occupies a place at the database. */
  begin(job: Job): void {
    const kind = kindOf(job.work);
    job.inFlight = {
      kind,
      isReplicaRead: isReplicaRead(job.work),
      sentAtMs: performance.now(),
    };
    this.sent.add(job.inFlight);
    const placeMs = this.admission.times.committingPlaceMs;
    if (isCommitting(kind) && placeMs < Infinity)
      setTimeout(this.options.onPlaceFree, placeMs).unref();
  }

  /** Records that a statement was answered or given up. */
  end(job: Job): void {
    if (job.inFlight) this.sent.delete(job.inFlight);
    job.inFlight = undefined;
  }

  /** Records how long the statement of a job took that was just answered. */
  recordServiceTime(job: Job): void {
    const tookMs = performance.now() - job.sentAtMs;
    this.admission.times.record(kindOf(job.work), tookMs);
  }

  /** Whether a job would be sent at once, so that no estimate is needed. */
  private get isQuiet(): boolean {
    return this.size === 0 && this.inFlight < this.limit;
  }

  private get limit(): number {
    const slots = this.options.slots();
    return this.options.isNear ? slots + 1 : 2 * slots + 1;
  }

  private candidate(job: Job): Candidate<Job> {
    const {work, arrivedAtMs} = job;
    const {customer, priority, budgetMs, remainingObjectiveMs} = work;
    const need = this.isQuiet
      ? NO_CONNECTION_NEEDED
      : this.options.connectionNeed(customer);
    return {
      item: job,
      customer,
      priority,
      kind: kindOf(work),
      isReplicaRead: isReplicaRead(work),
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + budgetMs,
      objectiveAtMs: arrivedAtMs + (remainingObjectiveMs ?? Infinity),
      connectMs: need.kind === 'open' ? CONNECT_MS : 0,
      blockedOnConnections: need.kind === 'wait' ? need.held : undefined,
    };
  }

  private state(nowMs: number): DatabaseState {
    const {limit} = this;
    const isPrimary = this.options.isPrimary();
    return {limit, isPrimary, ...this.sent.occupied(limit, nowMs)};
  }
}

/** Fields of the log line of a refusal: what the estimate rested on. */
export const refusalFields = (refusal: Refusal): object => ({
  reason: refusal.reason,
  queueAhead: Math.round(refusal.queueAhead),
  waitMs: Math.round(refusal.waitMs),
  runMs: Math.round(refusal.runMs),
  highRunMs: Math.round(refusal.highRunMs),
  limitMs: Math.round(refusal.limitMs),
  heldMs: Math.round(refusal.heldMs),
  late: refusal.isLate,
  share: Number(refusal.share.toFixed(2)),
  reserved: refusal.reservedSlots,
  retryAfterMs: refusal.retryAfterMs,
});
