/**
 * How long work of each kind takes at one database, from sending it to its
 * answer, learned from the answers. Without a clock.
 */
import {Access, ExecutionMode, Work} from '../work.js';

/** Kinds of work whose times differ. */
export const WorkKind = {
  read: 'read',
  write: 'write',
  commit: 'commit',
  fenced: 'fenced',
  /** Opens a transaction and runs its first statement. */
  opening: 'opening',
  /** Runs in an open transaction and does not end it. */
  inTransaction: 'in_transaction',
} as const;
export type WorkKind = (typeof WorkKind)[keyof typeof WorkKind];

export function kindOf({
  mode,
  access,
}: Pick<Work, 'mode' | 'access'>): WorkKind {
  if (access === Access.commit) return WorkKind.commit;
  if (mode === ExecutionMode.open || mode === ExecutionMode.openRead)
    return WorkKind.opening;
  if (mode === ExecutionMode.lane) return WorkKind.inTransaction;
  if (mode === ExecutionMode.fenced) return WorkKind.fenced;
  return access === Access.write ? WorkKind.write : WorkKind.read;
}

/** Whether the answer to work of a kind waits for replicas. */
export const isCommitting = (kind: WorkKind): boolean =>
  kind === WorkKind.write || kind === WorkKind.commit;

interface TimeEstimate {
  readonly meanMs: number;
  readonly highMs: number;
}

const INITIAL_MS = 15;
/** Weight of the newest measurement in the moving average. */
const SMOOTHING = 0.1;
/** Quantile that `highMs` follows. */
const HIGH_QUANTILE = 0.95;
/** Number of answers by which a database is found to have become slow. */
const RECENT_ANSWERS = 7;
/** Step of the high quantile for each answer, as a part of the mean. */
const QUANTILE_STEP = 0.5;

/** Moving average and high quantile of the work times by kind. */
export class WorkTimes {
  private readonly byKind = new Map<WorkKind, TimeEstimate>();
  private all: TimeEstimate = {meanMs: INITIAL_MS, highMs: 2 * INITIAL_MS};
  /** Of the kinds whose answers do not wait for replicas. */
  private executing: TimeEstimate | undefined;

  private recent: ReadonlyArray<{
    readonly kind: WorkKind;
    readonly tookMs: number;
  }> = [];

  private constructor() {}

  static create(): WorkTimes {
    return new WorkTimes();
  }

  /** Mean time that a piece of work occupies a place at the database. */
  get meanMs(): number {
    return (this.executing ?? this.all).meanMs;
  }

  /**
   * Time after which committing work is expected to only wait for replicas;
   * infinite until other kinds show how fast the database executes. With 1.5 and
   * 2.5 times the mean, fewer requests were served in time in
   * `bench/admission.ts`.
   */
  get committingPlaceMs(): number {
    return this.executing?.meanMs ?? Infinity;
  }

  /**
   * How much longer than the moving average the newest answers took: the
   * median, so that single slow ones do not count. Shows that a database has
   * become slow many answers before the moving average does.
   */
  get recentSlowdown(): number {
    if (this.recent.length < RECENT_ANSWERS) return 1;
    const ratios = this.recent
      .map(({kind, tookMs}) => tookMs / this.meanOf(kind))
      .sort((a, b) => a - b);
    return Math.max(1, ratios[Math.floor(ratios.length / 2)]);
  }

  /** Mean time that work of a kind occupies a place at the database. */
  placeMsOf(kind: WorkKind): number {
    return isCommitting(kind)
      ? Math.min(this.meanOf(kind), this.committingPlaceMs)
      : this.meanOf(kind);
  }

  meanOf(kind: WorkKind): number {
    return (this.byKind.get(kind) ?? this.all).meanMs;
  }

  highOf(kind: WorkKind): number {
    return (this.byKind.get(kind) ?? this.all).highMs;
  }

  record(kind: WorkKind, tookMs: number): void {
    this.byKind.set(kind, follow(this.byKind.get(kind) ?? this.all, tookMs));
    this.all = follow(this.all, tookMs);
    this.recent = [...this.recent.slice(1 - RECENT_ANSWERS), {kind, tookMs}];
    if (!isCommitting(kind))
      this.executing = follow(this.executing ?? this.all, tookMs);
  }
}

/**
 * Moves the mean toward a measurement and the quantile by a step up or down,
 * so that the share of measurements above it becomes 1 - `HIGH_QUANTILE`.
 */
function follow(estimate: TimeEstimate, tookMs: number): TimeEstimate {
  const meanMs = estimate.meanMs + SMOOTHING * (tookMs - estimate.meanMs);
  const stepMs = QUANTILE_STEP * meanMs;
  const highMs =
    tookMs > estimate.highMs
      ? estimate.highMs + stepMs * HIGH_QUANTILE
      : estimate.highMs - stepMs * (1 - HIGH_QUANTILE);
  return {meanMs, highMs: Math.max(meanMs, highMs)};
}
