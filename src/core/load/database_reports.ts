/**
 * Load reports: what the holder of a database tells other fronts about it with
 * each reply. A router keeps the newest report of each database and its age.
 */
import {comparePositions, Position} from '../position.js';

/** State of a database as its holder knows it when it sends a reply. */
export interface LoadReport {
  /** Expected queueing time. */
  readonly waitMs: number;
  /**
   * Newest log position that the database has shown in an answer; absent if it
   * is that of the reply.
   */
  readonly position?: Position;
  /** How long ago it showed that position. */
  readonly positionAgeMs?: number;
  /** Answers of the last second that failed by the database's fault. */
  readonly failed: number;
  /** All answers of the last second. */
  readonly answers: number;
}

/** A log position that a database had reached at some time. */
export interface ShownPosition {
  readonly position: Position;
  /** Earliest time at which the database may have shown the position. */
  readonly atMs: number;
  /** Latest such time. */
  readonly latestAtMs: number;
}

/** A report dated on the clock of the front that received it. */
export interface DatedReport {
  readonly report: LoadReport;
  /** No report is younger than this says. */
  readonly atMs: number;
  readonly shown: ShownPosition | undefined;
  /** An earlier position, by which the progress of the log is measured. */
  readonly earlier: ShownPosition | undefined;
}

/** Returns the report of a reply with the position that the reply shows. */
export const withPosition = (
  report: LoadReport,
  replyPosition: Position | undefined,
): LoadReport =>
  report.position || !replyPosition
    ? report
    : {...report, position: replyPosition, positionAgeMs: 0};

/** Age at which a report is discarded. */
export const MAX_REPORT_AGE_MS = 2_000;
/** Least distance in time of two positions whose progress is compared. */
const PROGRESS_INTERVAL_MS = 300;

/** The newest report of each database. Mutable, without a clock. */
export class DatabaseReports {
  private readonly reports = new Map<string, DatedReport>();

  private constructor() {}

  static create(): DatabaseReports {
    return new DatabaseReports();
  }

  /**
   * Keeps a report that came with the reply to a call. The holder wrote it at
   * some time during the call, so it is dated as old as the call is.
   */
  record(
    database: string,
    report: LoadReport,
    sentAtMs: number,
    nowMs: number,
  ): void {
    const known = this.reports.get(database);
    const shown = report.position && {
      position: report.position,
      atMs: sentAtMs - (report.positionAgeMs ?? 0),
      latestAtMs: nowMs - (report.positionAgeMs ?? 0),
    };
    if (known && known.atMs > sentAtMs) {
      // The reply of an older call may still show a higher position.
      if (shown && isHigher(shown, known.shown))
        this.reports.set(database, {...known, shown});
      return;
    }
    const earlier = earlierOf(known, shown);
    const kept = shown ?? known?.shown;
    this.reports.set(database, {
      report,
      atMs: sentAtMs,
      shown: kept,
      earlier,
    });
  }

  /** Returns the newest report of a database, unless it is too old. */
  get(database: string, nowMs: number): DatedReport | undefined {
    const known = this.reports.get(database);
    if (!known || nowMs - known.atMs <= MAX_REPORT_AGE_MS) return known;
    this.reports.delete(database);
    return undefined;
  }
}

const isHigher = (a: ShownPosition, b: ShownPosition | undefined): boolean =>
  !b || comparePositions(a.position, b.position) > 0;

/** Returns the position to compare with a newer one. */
function earlierOf(
  known: DatedReport | undefined,
  shown: ShownPosition | undefined,
): ShownPosition | undefined {
  if (!known?.shown || !shown) return known?.earlier;
  const {earlier} = known;
  const isDistant =
    !earlier || shown.atMs - earlier.atMs >= 2 * PROGRESS_INTERVAL_MS;
  return isDistant ? known.shown : earlier;
}
