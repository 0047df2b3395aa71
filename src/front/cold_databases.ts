/**
 * Logs when databases become cold and warm, and counts the cold ones. A database
 * of a service without a limit for cold databases is never cold.
 */
import {Directory, isAvailable} from '../core/directory.js';
import {DatabaseWorker} from './database_worker.js';
import {JsonLog} from './json_log.js';

export interface ColdDatabasesOptions {
  readonly directory: () => Directory;
  /** Whether the databases of a service are limited while they are cold. */
  readonly isLimited: (service: string) => boolean;
  readonly workers: () => ReadonlyMap<string, DatabaseWorker>;
  readonly log: JsonLog;
}

/**
 * Shortest pause between two checks. At 28,000 databases a check visits each
 * entry, and entries change many times a second.
 */
const MIN_CHECK_PAUSE_MS = 500;

interface ColdDatabase {
  readonly untilMs: number;
  readonly sinceMs: number;
}

export class ColdDatabases {
  private cold: ReadonlyMap<string, ColdDatabase> = new Map();
  private timer: NodeJS.Timeout | undefined;
  private checkAtMs = Infinity;
  private checkedAtMs = -Infinity;

  private constructor(private readonly options: ColdDatabasesOptions) {}

  static create(options: ColdDatabasesOptions): ColdDatabases {
    return new ColdDatabases(options);
  }

  get count(): number {
    return this.cold.size;
  }

  /** Must be called after changes of what determines whether one is cold. */
  refresh(): void {
    this.scheduleCheck(performance.now());
  }

  /** Compares the databases with the last check. */
  private check(): void {
    this.checkAtMs = Infinity;
    const nowMs = performance.now();
    this.checkedAtMs = nowMs;
    const {directory, log} = this.options;
    const former = this.cold;
    const cold = this.coldAt(nowMs);
    this.cold = cold;
    for (const [database, {untilMs}] of cold) {
      if (former.has(database)) continue;
      const entry = directory().get(database);
      const byEntryMs = Math.max(0, (entry?.coldUntilMs ?? 0) - nowMs);
      log('database_cold', {
        database,
        service: entry?.service,
        remainingMs: Math.round(untilMs - nowMs),
        byEntryMs: Math.round(byEntryMs),
        entryAgeMs: entry && Math.round(nowMs - entry.receivedAtMs),
        isSuspected: untilMs - nowMs > byEntryMs,
      });
    }
    for (const [database, {sinceMs}] of former) {
      if (cold.has(database)) continue;
      const coldMs = Math.round(nowMs - sinceMs);
      log('database_warm', {database, coldMs});
    }
    if (cold.size > 0) {
      const ends = [...cold.values()].map(({untilMs}) => untilMs);
      this.scheduleCheck(Math.min(...ends));
    }
  }

  close(): void {
    clearTimeout(this.timer);
  }

  private coldAt(nowMs: number): Map<string, ColdDatabase> {
    const {directory, isLimited, workers} = this.options;
    const cold = new Map<string, ColdDatabase>();
    for (const entry of directory().values()) {
      if (!isAvailable(entry) || !isLimited(entry.service)) continue;
      const ofWorkerMs = workers().get(entry.id)?.coldUntilMs ?? -Infinity;
      const untilMs = Math.max(entry.coldUntilMs, ofWorkerMs);
      if (untilMs <= nowMs) continue;
      const sinceMs = this.cold.get(entry.id)?.sinceMs ?? nowMs;
      cold.set(entry.id, {untilMs, sinceMs});
    }
    return cold;
  }

  private scheduleCheck(wantedAtMs: number): void {
    const atMs = Math.max(wantedAtMs, this.checkedAtMs + MIN_CHECK_PAUSE_MS);
    if (atMs >= this.checkAtMs) return;
    clearTimeout(this.timer);
    this.checkAtMs = atMs;
    const pauseMs = Math.max(0, Math.ceil(atMs - performance.now()));
    this.timer = setTimeout(() => this.check(), pauseMs);
    this.timer.unref();
  }
}
