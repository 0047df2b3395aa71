/** Whether a database answers: heard, silent and being probed, or lost. */
import {JsonLog} from './json_log.js';

/** What is needed to tell. */
export interface DatabaseHealthOptions {
  readonly database: string;
  readonly service: string;
  readonly log: JsonLog;
  /** Opens a new connection; false when it is not answered. */
  readonly probe: () => Promise<boolean>;
  /** Nothing should wait for the database any more. */
  readonly onLost: () => void;
}

/** What one VM has heard of one database. */
export class DatabaseHealth {
  /** When the database was last heard, on the steady clock. */
  lastSeenAtMs = 0;
  private failingSinceMs: number | undefined;
  private probing = false;

  private constructor(private readonly options: DatabaseHealthOptions) {}

  static create(options: DatabaseHealthOptions): DatabaseHealth {
    return new DatabaseHealth(options);
  }

  /** Whether the database does not answer. */
  get isUnreachable(): boolean {
    return this.failingSinceMs !== undefined;
  }

  /** Whether it is being checked, or has failed a check. */
  get isSuspect(): boolean {
    return this.probing || this.isUnreachable;
  }

  /** The database has answered something. */
  recordAnswer(): void {
    this.lastSeenAtMs = performance.now();
    if (this.failingSinceMs === undefined) return;
    const {database, service, log} = this.options;
    log('database_regained', {
      database,
      service,
      afterMs: Math.round(this.lastSeenAtMs - this.failingSinceMs),
    });
    this.failingSinceMs = undefined;
  }

  /** Something went wrong: a new connection tells whether the database lives. */
  suspect(text: string): void {
    if (this.probing) return;
    this.probing = true;
    const startedMs = performance.now();
    void this.options.probe().then(alive => {
      this.probing = false;
      if (alive || this.lastSeenAtMs > startedMs) return;
      this.markUnreachable(text, startedMs);
    });
  }

  /** The database does not answer. */
  markUnreachable(text: string, sinceMs: number): void {
    if (this.failingSinceMs !== undefined) return;
    this.failingSinceMs = sinceMs;
    const {database, service, log, onLost} = this.options;
    const silentMs = Math.round(sinceMs - this.lastSeenAtMs);
    log('database_lost', {database, service, text, silentMs});
    onLost();
  }
}
