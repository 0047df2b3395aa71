/**
 * Admits the requests of one worker to its database while that is cold: at most
 * the front's share in any second, and none if the front is not the holder.
 */
import {coldUntilMs, refutes, RestartSuspicion} from '../core/cold_state.js';
import {KnownDatabase} from '../core/directory.js';
import {WarmUpLimiter, WarmUpPermit} from '../core/warm_up.js';
import {Fault, faultReply, Reply} from '../core/work.js';
import {JsonLog} from './json_log.js';
import {Job} from './statement_job.js';

/** Why nothing may be sent to a cold database now. */
export const ColdRefusalReason = {
  /** The front's share of the last second is used up. */
  share: 'share',
  /** This front is not the holder of the database. */
  notHolder: 'not_holder',
  /** This front's view of the store is too old to know who the holder is. */
  staleView: 'stale_view',
  /** More than one other front may have sent to the database in the last second. */
  newHolder: 'new_holder',
} as const;
export type ColdRefusalReason =
  (typeof ColdRefusalReason)[keyof typeof ColdRefusalReason];

export interface ColdRefusal {
  readonly reason: ColdRefusalReason;
  /** Time until there may be room. */
  readonly retryAfterMs: number;
}

/** How a worker treats its database while it is cold. */
export interface WarmUpOptions {
  /** Requests that this front may send in a second; undefined: no limit. */
  readonly sharePerS: () => number | undefined;
  /** How long the database is cold after its start. */
  readonly coldStartMs: () => number;
  /**
   * Why this front may send nothing to the cold database; undefined if it may.
   * `inTransaction`: whether a statement of an open transaction is concerned.
   */
  readonly refusal: (
    nowMs: number,
    inTransaction: boolean,
  ) => ColdRefusal | undefined;
  /** Called when the database may have been restarted. */
  readonly onSuspected: () => void;
}

export interface ColdGateOptions {
  readonly warmUp: WarmUpOptions | undefined;
  readonly entry: () => KnownDatabase;
  readonly log: JsonLog;
}

/** A statement of an open transaction that waits for room. */
interface Waiter {
  readonly job: Job;
  readonly count: number;
  readonly run: () => void;
}

/** Longest pause until waiting statements are checked again. */
const MAX_TURN_PAUSE_MS = 50;
/** Shortest retry delay that a refusal states. */
const MIN_RETRY_DELAY_MS = 50;
const UNLIMITED: WarmUpPermit = {end: () => undefined};

export class ColdGate {
  private suspicion: RestartSuspicion | undefined;
  private readonly limiter: WarmUpLimiter;
  private waiters: Waiter[] = [];
  private isServingWaiters = false;
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: ColdGateOptions) {
    this.limiter = WarmUpLimiter.create(() => this.sharePerS ?? Infinity);
  }

  static create(options: ColdGateOptions): ColdGate {
    return new ColdGate(options);
  }

  /** Until when the database is cold; -Infinity if it is never cold. */
  get coldUntilMs(): number {
    if (this.sharePerS === undefined) return -Infinity;
    return coldUntilMs(this.options.entry(), this.suspicion);
  }

  /** Whether the service limits what its cold databases receive. */
  get isLimited(): boolean {
    return this.sharePerS !== undefined;
  }

  get isCold(): boolean {
    return performance.now() < this.coldUntilMs;
  }

  /** Must be called after each change of the database's entry. */
  recordEntry(): void {
    const {suspicion} = this;
    if (suspicion && refutes(this.options.entry(), suspicion))
      this.suspicion = undefined;
  }

  /**
   * Records that the database closed or refused a connection that was opened
   * when the database's entry was that of the start at `startedAtUnixMs`.
   */
  recordClosing(startedAtUnixMs: number | undefined): void {
    const {warmUp, entry: currentEntry} = this.options;
    if (!warmUp || this.sharePerS === undefined) return;
    const entry = currentEntry();
    const isOfFormerProcess =
      (entry.startedAtUnixMs ?? 0) > (startedAtUnixMs ?? 0);
    if (isOfFormerProcess) return;
    const atMs = performance.now();
    this.suspicion = {entry, atMs, untilMs: atMs + warmUp.coldStartMs()};
    warmUp.onSuspected();
  }

  /**
   * Returns why `count` more requests must not be sent now; undefined if they
   * may be. `pending` requests were admitted before and have not been sent.
   */
  refusal(
    count: number,
    pending: number,
    inTransaction: boolean,
  ): ColdRefusal | undefined {
    if (!this.isCold) return undefined;
    const nowMs = performance.now();
    const refusal = this.options.warmUp?.refusal(nowMs, inTransaction);
    if (refusal) return refusal;
    const waiting = this.isServingWaiters ? 0 : this.waiters.length;
    const total = count + pending + waiting;
    const retryAfterMs =
      total > (this.sharePerS ?? Infinity) && pending + waiting > 0
        ? Math.max(this.limiter.waitMs(total, nowMs), MAX_TURN_PAUSE_MS)
        : this.limiter.waitMs(total, nowMs);
    return retryAfterMs === 0
      ? undefined
      : {reason: ColdRefusalReason.share, retryAfterMs};
  }

  /**
   * Counts requests that are sent now. Returns undefined if they must not be
   * sent; `end` of the permit must be called when they are answered.
   */
  start(count: number, inTransaction: boolean): WarmUpPermit | undefined {
    if (this.sharePerS === undefined) return UNLIMITED;
    const nowMs = performance.now();
    // Requests to a warm database count too: it may turn out to have been cold.
    if (!this.isCold) return this.limiter.record(count, nowMs);
    return this.refusal(count, 0, inTransaction)
      ? undefined
      : this.limiter.start(count, nowMs);
  }

  /** Calls `run` when there is room for a statement of an open transaction. */
  awaitTurn(job: Job, count: number, run: () => void): void {
    this.waiters.push({job, count, run});
    this.scheduleTurn();
  }

  /**
   * Returns the reply to a statement that was admitted and is refused because
   * the front's share was used up when its turn came, or did not come.
   */
  refuseLate(job: Job, inTransaction: boolean): Reply {
    const refusal = this.refusal(1, 0, inTransaction);
    return this.refuse(
      job,
      refusal ?? {reason: ColdRefusalReason.share, retryAfterMs: 0},
    );
  }

  /** Returns the reply to a refused statement; logs the refusal. */
  refuse(job: Job, {reason, retryAfterMs}: ColdRefusal): Reply {
    const {entry, log} = this.options;
    const {id, service, receivedAtMs} = entry();
    const nowMs = performance.now();
    const delayMs = Math.max(MIN_RETRY_DELAY_MS, Math.ceil(retryAfterMs));
    log('cold_refused', {
      request: job.work.requestId,
      transaction: job.work.transaction,
      database: id,
      service,
      reason,
      sharePerS: this.sharePerS,
      counted: this.limiter.countAt(nowMs),
      remainingMs: Math.round(this.coldUntilMs - nowMs),
      isSuspected: this.suspicion !== undefined,
      entryAgeMs: Math.round(nowMs - receivedAtMs),
      retryAfterMs: delayMs,
    });
    return faultReply(Fault.busy, 'database is cold', {
      retryAfterMs: delayMs,
      isCold: true,
    });
  }

  close(): void {
    clearTimeout(this.timer);
    this.waiters = [];
  }

  private get sharePerS(): number | undefined {
    return this.options.warmUp?.sharePerS();
  }

  private scheduleTurn(): void {
    const [first] = this.waiters;
    if (!first || this.timer) return;
    const waitMs = this.limiter.waitMs(first.count, performance.now());
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        this.serveWaiters();
      },
      Math.min(MAX_TURN_PAUSE_MS, Math.ceil(waitMs)),
    );
  }

  /**
   * Runs the waiting statements for which there is room, in their order. If
   * this front may send nothing at all, each of them learns it from `start`.
   */
  private serveWaiters(): void {
    this.waiters = this.waiters.filter(({job}) => !job.isFinished);
    this.isServingWaiters = true;
    for (;;) {
      const [first] = this.waiters;
      const refusal = first && this.refusal(first.count, 0, true);
      if (!first || refusal?.reason === ColdRefusalReason.share) break;
      this.waiters.shift();
      first.run();
    }
    this.isServingWaiters = false;
    this.scheduleTurn();
  }
}
