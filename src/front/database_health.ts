/**
 * Failure detector of one database: reachable, suspected and being probed, or
 * unreachable.
 */
import {JsonLog} from './json_log.js';

export interface DatabaseHealthOptions {
  readonly database: string;
  readonly service: string;
  readonly log: JsonLog;
  /**
   * Opens a new connection; resolves to false if the database does not answer.
   */
  readonly probe: () => Promise<boolean>;
  /** Called when the database becomes unreachable. */
  readonly onUnreachable: () => void;
}

/**
 * How long a primary counts as stalled after a commit that got no answer in
 * time, unless another one is answered.
 */
const STALLED_MS = 1_000;

/** Reachability of one database as seen from this VM. */
export class DatabaseHealth {
  /** When the database last answered, on the monotonic clock. */
  lastSeenAtMs = 0;
  private unreachableSinceMs: number | undefined;
  private isProbing = false;
  private stalledUntilMs = 0;

  private constructor(private readonly options: DatabaseHealthOptions) {}

  static create(options: DatabaseHealthOptions): DatabaseHealth {
    return new DatabaseHealth(options);
  }

  /** Whether the last check failed and no answer has come since. */
  get isUnreachable(): boolean {
    return this.unreachableSinceMs !== undefined;
  }

  /** Whether the database is being probed or is unreachable. */
  get isSuspect(): boolean {
    return this.isProbing || this.isUnreachable;
  }

  /** Whether commits that were sent lately have got no answer in time. */
  get isStalled(): boolean {
    return performance.now() < this.stalledUntilMs;
  }

  /** Records whether a commit was answered with success, or not in time. */
  recordCommit(isAnswered: boolean): void {
    this.stalledUntilMs = isAnswered ? 0 : performance.now() + STALLED_MS;
  }

  /** Records an answer of any kind; the database is reachable again. */
  recordAnswer(): void {
    this.lastSeenAtMs = performance.now();
    if (this.unreachableSinceMs === undefined) return;
    const {database, service, log} = this.options;
    log('database_regained', {
      database,
      service,
      afterMs: Math.round(this.lastSeenAtMs - this.unreachableSinceMs),
    });
    this.unreachableSinceMs = undefined;
  }

  /** Probes the database on a new connection, unless a probe is running. */
  suspect(text: string): void {
    if (this.isProbing) return;
    this.isProbing = true;
    const startedAtMs = performance.now();
    void this.options.probe().then(hasAnswered => {
      this.isProbing = false;
      if (hasAnswered || this.lastSeenAtMs > startedAtMs) return;
      this.markUnreachable(text, startedAtMs);
    });
  }

  /** Marks the database as unreachable since `sinceMs`. */
  markUnreachable(text: string, sinceMs: number): void {
    if (this.unreachableSinceMs !== undefined) return;
    this.unreachableSinceMs = sinceMs;
    const {database, service, log, onUnreachable} = this.options;
    const silentMs = Math.round(sinceMs - this.lastSeenAtMs);
    log('database_lost', {database, service, text, silentMs});
    onUnreachable();
  }
}
