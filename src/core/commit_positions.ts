/**
 * What the fronts know of the log positions of acknowledged commits. An answer
 * of a database shows the end of its log, which may include commits that were
 * not acknowledged, so a front knows the position of a commit only as a range:
 * above every position that the primary had reached before the commit was sent,
 * and not above the position of its answer.
 */
import {comparePositions, Position} from './position.js';
import {
  addPositionSample,
  floorSince,
  fromSamplesByAge,
  laterPosition,
  PositionSamples,
  SampleByAge,
  toSamplesByAge,
} from './position_samples.js';
import {PositionSample} from './routing.js';

/** Age up to which position samples are reported. */
const REPORTED_SAMPLES_MS = 10_000;

/** Bounds of the highest position of an acknowledged commit of a service. */
export interface CommitBounds {
  /** A log that has not reached it lacks an acknowledged commit. */
  readonly atLeast?: Position;
  /** A log that has reached it has every acknowledged commit. */
  readonly atMost?: Position;
}

/** What one front knows of a service, as sent to another front. */
export interface CommitReport extends CommitBounds {
  /** Positions that primaries have reached, by age. */
  readonly samples: readonly SampleByAge[];
  /** Age of the process; it knows nothing of what was acknowledged before. */
  readonly sinceAgeMs: number;
}

/** A report with its times on the clock of the front that received it. */
export interface ReceivedCommitReport extends CommitBounds {
  readonly samples: readonly PositionSample[];
  /** Not before the reporting process started. */
  readonly sinceMs: number;
}

/** What all fronts together know of a service. */
export interface FleetCommits extends CommitBounds {
  readonly samples: PositionSamples;
}

/** Returns the lowest position above another one in the same term. */
const nextPosition = ({term, offset}: Position): Position => ({
  term,
  offset: offset + 1,
});

/** What this front knows of the positions of primaries and commits. */
export class CommitPositions {
  /** Highest position that a primary has reached, by service. */
  private readonly reached = new Map<string, Position>();
  private readonly samples = new Map<string, PositionSamples>();
  private readonly bounds = new Map<string, CommitBounds & {atMs: number}>();

  private constructor(private readonly startedAtMs: number) {}

  static create(startedAtMs: number): CommitPositions {
    return new CommitPositions(startedAtMs);
  }

  /** Highest position that a primary of a service is known to have reached. */
  reachedBy(service: string): Position | undefined {
    return this.reached.get(service);
  }

  /** Positions that the primaries of a service are known to have reached. */
  samplesOf(service: string): PositionSamples {
    return this.samples.get(service) ?? [];
  }

  /**
   * Records a position in an answer that only a primary gives, to a request
   * that was sent at `atMs`.
   */
  recordReached(service: string, atMs: number, position: Position): void {
    this.forgetIfLost(service, atMs, position);
    this.raiseReached(service, position);
    const samples = this.samples.get(service) ?? [];
    this.samples.set(service, addPositionSample(samples, {atMs, position}));
  }

  /**
   * Records the position in the answer to a commit that wrote; `reachedBefore`
   * is what `reachedBy` returned when it was sent.
   */
  recordCommit(
    service: string,
    reachedBefore: Position | undefined,
    position: Position,
    nowMs: number,
  ): void {
    const known = this.bounds.get(service);
    const next = reachedBefore && nextPosition(reachedBefore);
    // A commit that changed nothing has no position of its own.
    const hasOwn = next && comparePositions(next, position) <= 0;
    const lowest = hasOwn ? next : undefined;
    this.bounds.set(service, {
      atLeast: laterPosition(known?.atLeast, lowest),
      atMost: laterPosition(known?.atMost, position),
      atMs: nowMs,
    });
    this.raiseReached(service, position);
  }

  /** Returns what to send to another front. */
  report(service: string, nowMs: number): CommitReport {
    const samples = this.samples.get(service) ?? [];
    const {atLeast, atMost} = this.bounds.get(service) ?? {};
    return {
      atLeast,
      atMost,
      samples: toSamplesByAge(samples, REPORTED_SAMPLES_MS, nowMs),
      sinceAgeMs: Math.floor(nowMs - this.startedAtMs),
    };
  }

  /**
   * Lowers the bound below commits that a primary lacks which was asked after
   * they had been acknowledged: they are lost, and no log will reach them.
   */
  private forgetIfLost(
    service: string,
    atMs: number,
    position: Position,
  ): void {
    const known = this.bounds.get(service);
    if (!known?.atLeast || atMs <= known.atMs) return;
    if (comparePositions(position, known.atLeast) >= 0) return;
    this.bounds.set(service, {...known, atLeast: undefined});
    this.reached.delete(service);
  }

  private raiseReached(service: string, position: Position): void {
    const highest = laterPosition(this.reached.get(service), position);
    if (highest) this.reached.set(service, highest);
  }
}

/** Dates a report that was requested and received at these times. */
export const receiveCommitReport = (
  {atLeast, atMost, samples, sinceAgeMs}: CommitReport,
  requestedAtMs: number,
  receivedAtMs: number,
): ReceivedCommitReport => ({
  atLeast,
  atMost,
  samples: fromSamplesByAge(samples, requestedAtMs),
  sinceMs: receivedAtMs - sinceAgeMs,
});

/**
 * Combines the reports of fronts. `unreportedBeforeMs`: fronts that do not
 * report may have acknowledged commits before that time. A position that the
 * primary reached later covers these; without one, no upper bound is known.
 */
export function combineReports(
  reports: readonly ReceivedCommitReport[],
  unreportedBeforeMs: number,
): FleetCommits {
  const samples = reports
    .flatMap(report => report.samples)
    .sort((a, b) => a.atMs - b.atMs);
  const atLeast = reports
    .map(report => report.atLeast)
    .reduce(laterPosition, undefined);
  const sinceMs = Math.max(
    unreportedBeforeMs,
    ...reports.map(report => report.sinceMs),
  );
  const covered = floorSince(samples, sinceMs);
  const atMost =
    covered &&
    reports.map(report => report.atMost).reduce(laterPosition, covered);
  return {atLeast, atMost, samples};
}
