/**
 * What the fronts reported of acknowledged commits to the holder of the
 * coordinator lease when it stopped commits of a service. A front that reports
 * may acknowledge more once commits are permitted again, so reports count only in
 * the stop that they were made for.
 */
import {
  combineReports,
  FleetCommits,
  ReceivedCommitReport,
} from '../core/commit_positions.js';
import {Fronts} from '../core/fronts.js';
import {hasStoppedCommits, StoredLeaderRecord} from '../core/leader_record.js';

export interface CommitReportsOptions {
  /** Fronts that are registered, as this front's view shows. */
  readonly fronts: () => Fronts;
  /** When the store was last listed; fronts may have come and gone before. */
  readonly listedAtMs?: () => number;
  /** Steady clock in milliseconds. */
  readonly nowMs: () => number;
}

/** Records by which commits of a service have been stopped without a break. */
interface Stop {
  readonly firstRevision: number;
  readonly newestRevision: number;
}

/** What the fronts know, and how many of them have not reported. */
export type ReportedCommits = FleetCommits & {readonly unreported: number};

export class CommitReports {
  /** The newest stop of commits, as far as it is known to be one, by service. */
  private readonly stops = new Map<string, Stop>();
  /** What each front reported in the newest stop, by service and VM. */
  private readonly reports = new Map<
    string,
    Map<string, ReceivedCommitReport>
  >();
  /** The fronts that are to report, by service. */
  private readonly reporters = new Map<string, readonly string[]>();
  private lastFronts: Fronts = new Map();
  /** When a front was last found to be registered no more. */
  private frontLostAtMs = -Infinity;

  private constructor(private readonly options: CommitReportsOptions) {}

  static create(options: CommitReportsOptions): CommitReports {
    return new CommitReports(options);
  }

  /**
   * What the fronts know of a service's commits since these were stopped. Those
   * that have not reported may know of later commits.
   */
  of(service: string): ReportedCommits {
    const reports = this.reports.get(service) ?? new Map();
    const vms = this.reporters.get(service);
    const unreported = vms?.filter(vm => !reports.has(vm)).length ?? 0;
    const isComplete = vms !== undefined && unreported === 0;
    const listedAtMs = this.options.listedAtMs?.() ?? -Infinity;
    const goneBeforeMs = Math.max(this.frontLostAtMs, listedAtMs);
    const unreportedBeforeMs = isComplete ? goneBeforeMs : Infinity;
    return {
      ...combineReports([...reports.values()], unreportedBeforeMs),
      unreported,
    };
  }

  /** Must be called when the set of registered fronts may have changed. */
  recordFronts(): void {
    const {fronts, nowMs} = this.options;
    const present = fronts();
    if (present === this.lastFronts) return;
    const isLost = [...this.lastFronts.keys()].some(vm => !present.has(vm));
    if (isLost) this.frontLostAtMs = nowMs();
    this.lastFronts = present;
  }

  /**
   * Records that commits are stopped by a record that was written over the one
   * at `replacedRevision`. Drops the reports of an earlier stop.
   */
  recordStop(
    service: string,
    revision: number,
    replacedRevision: number,
  ): void {
    const stop = this.stops.get(service);
    const goesOn = stop?.newestRevision === replacedRevision;
    if (!goesOn) this.reports.delete(service);
    const firstRevision = goesOn ? stop.firstRevision : revision;
    this.stops.set(service, {firstRevision, newestRevision: revision});
  }

  /** Records which fronts are to report. */
  expectFrom(service: string, vms: readonly string[]): void {
    this.reporters.set(service, vms);
  }

  /**
   * Keeps a front's answer to a record if it was made in the newest stop.
   * `newest` is the newest record of the service.
   */
  record(
    vm: string,
    report: ReceivedCommitReport,
    record: StoredLeaderRecord,
    newest: StoredLeaderRecord | undefined,
  ): void {
    const {service, revision} = record;
    const isStopped = newest !== undefined && hasStoppedCommits(newest);
    if (!isStopped || !hasStoppedCommits(record) || revision > newest.revision)
      return;
    const {firstRevision = Infinity} = this.stops.get(service) ?? {};
    if (revision < firstRevision) return;
    const reports = this.reports.get(service) ?? new Map();
    reports.set(vm, report);
    this.reports.set(service, reports);
  }
}
