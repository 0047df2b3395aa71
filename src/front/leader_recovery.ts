/**
 * Completes the leader records after the store was restored from a copy. A front
 * that saw the store until the restore still knows the records that are lost;
 * the holder of the coordinator lease writes those again. If the holder does not
 * know them either, it asks the databases for their terms. It then marks the
 * records of the era as complete for the fronts that know nothing of them.
 */
import {KnownDatabase} from '../core/directory.js';
import {
  CommitRule,
  LeaderRecord,
  StoredLeaderRecord,
} from '../core/leader_record.js';
import {comparePositions} from '../core/position.js';
import {JsonLog} from './json_log.js';
import {eraOf} from '../core/store_revision.js';
import {EraSource, isMarked} from './store_era.js';
import {DatabaseReport} from './wire_types.js';

export interface LeaderRecoveryOptions {
  readonly source: EraSource;
  /** Key of the mark. */
  readonly markKey: string;
  /** Whether no front of the fleet can have run before. */
  readonly isFirstStart: boolean;
  readonly isLeaseHeld: () => boolean;
  readonly serviceNames: () => readonly string[];
  readonly databasesOf: (service: string) => readonly KnownDatabase[];
  /** Queries a database for its role and term; undefined without an answer. */
  readonly queryStatus: (
    database: KnownDatabase,
  ) => Promise<DatabaseReport | undefined>;
  /** Newest known record of a service. */
  readonly latestRecord: (service: string) => StoredLeaderRecord | undefined;
  /** Writes a record while the lease is held; see `Leadership.writeRecord`. */
  readonly writeRecord: (
    record: LeaderRecord,
  ) => Promise<StoredLeaderRecord | undefined>;
  /** Writes an item while the lease is held. */
  readonly write: (key: string, value: string) => Promise<number | undefined>;
  readonly log: JsonLog;
}

interface Answer {
  readonly entry: KnownDatabase;
  readonly report: DatabaseReport;
}

const CHECK_INTERVAL_MS = 250;

/**
 * Returns the record that the databases' answers imply; undefined if too few
 * have answered. A database that leads the highest term is the primary. Without
 * one, no database may be used as primary until another is promoted: the record
 * names the one with the longest log, and is not settled. Either way, an order
 * of which no front knows any more may still be executed, so commits wait until
 * the holder has made such orders void.
 */
export function recordFromAnswers(
  service: string,
  size: number,
  answers: readonly Answer[],
): LeaderRecord | undefined {
  if (answers.length * 2 <= size) return undefined;
  const term = Math.max(...answers.map(({report}) => report.term));
  const primary = answers.find(
    ({report}) => report.isLeader && report.term === term,
  );
  const commits = CommitRule.contested;
  if (primary)
    return {service, database: primary.entry.id, settled: true, commits};
  const longest = answers.reduce((best, answer) =>
    comparePositions(answer.report.position, best.report.position) > 0
      ? answer
      : best,
  );
  return {service, database: longest.entry.id, settled: false, commits};
}

/** Whether this front knows all leader records, and how it restores them. */
export class LeaderRecovery {
  /** Whether this front has known all records since an earlier era. */
  private hasAllRecords: boolean;
  private isRunning = false;
  /** Last era whose mark this front has written; its view may lag. */
  private markedEra = 0;
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: LeaderRecoveryOptions) {
    this.hasAllRecords = options.isFirstStart;
    this.timer = setInterval(() => void this.run(), CHECK_INTERVAL_MS);
  }

  static create(options: LeaderRecoveryOptions): LeaderRecovery {
    return new LeaderRecovery(options);
  }

  /** Whether this front knows every record that a promotion relied on. */
  get isComplete(): boolean {
    const {source} = this.options;
    if (source.eraSeenAtMs === undefined) return false;
    if (source.era === 0 || this.isMarked) this.hasAllRecords = true;
    return this.hasAllRecords;
  }

  /**
   * Must be called when a restore is found, before the view changes. A front
   * whose view was too old to use a primary may have missed records.
   */
  recordRestore(wasFresh: boolean): void {
    this.hasAllRecords = this.isComplete && wasFresh;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private get isMarked(): boolean {
    const {source, markKey} = this.options;
    return isMarked(source.fleetItems$.value, markKey, source.era);
  }

  private async run(): Promise<void> {
    const {source, isLeaseHeld, markKey, write} = this.options;
    const isDue = source.era > 0 && isLeaseHeld();
    const {era} = source;
    if (!isDue || this.isRunning || this.isMarked || this.markedEra === era) {
      return;
    }
    this.isRunning = true;
    const isDone = await this.completeRecords();
    if (isDone && era === source.era) {
      const revision = await write(markKey, String(era));
      if (revision !== undefined) this.markedEra = era;
    }
    this.isRunning = false;
  }

  /** Resolves to whether the store now holds the record of every service. */
  private async completeRecords(): Promise<boolean> {
    const {serviceNames, log} = this.options;
    const isKnown = this.isComplete;
    const services = serviceNames();
    const results = await Promise.all(
      services.map(service =>
        isKnown ? this.rewrite(service) : this.determine(service),
      ),
    );
    const isDone = services.length > 0 && results.every(Boolean);
    log('leader_records_restored', {known: isKnown, done: isDone});
    return isDone;
  }

  /**
   * Writes the newest known record unless it was written in this era: the store
   * holds it then, even if the view does not show it yet.
   */
  private async rewrite(service: string): Promise<boolean> {
    const {latestRecord, writeRecord, source} = this.options;
    const record = latestRecord(service);
    if (!record || eraOf(record.revision) === source.era) return true;
    const {database, settled, commits} = record;
    const written = await writeRecord({service, database, settled, commits});
    return written !== undefined;
  }

  /** Writes the record that the terms of the databases imply. */
  private async determine(service: string): Promise<boolean> {
    const {databasesOf, queryStatus, writeRecord} = this.options;
    const databases = databasesOf(service);
    const answers = await Promise.all(
      databases.map(async entry => {
        const report = await queryStatus(entry);
        return report && {entry, report};
      }),
    );
    const known = answers.filter(answer => answer !== undefined);
    const record = recordFromAnswers(service, databases.length, known);
    return record !== undefined && (await writeRecord(record)) !== undefined;
  }
}
