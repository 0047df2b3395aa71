/**
 * The data of a stand-in database: a log with terms, the tables that result
 * from it, asynchronous replication from the primary it follows, and faults
 * that tests switch on. The data survive `DatabaseServer.kill`, as on a disk.
 */
import {DatabaseStatus, Position, TermStart} from '../core/position.js';
import {Change, Row, RowSource} from './sql_engine.js';

/** One committed transaction; the log holds them in commit order. */
interface LogEntry {
  readonly changes: readonly Change[];
  readonly committedAtMs: number;
  /** `application_name` of the committing connection, or else its user. */
  readonly user: string;
}

/** Name, limits and delays of one stand-in database. */
export interface DatabaseOptions {
  readonly name: string;
  /** Maximum number of statements that run at the same time. */
  readonly slots: number;
  /** Maximum number of open connections. */
  readonly connections: number;
  /** Artificial delay of each login. */
  readonly connectMs: number;
  /** Artificial delay of each statement, which occupies its slot meanwhile. */
  readonly serviceTimeMs: number;
  /** Age that a commit must reach before this database replicates it. */
  readonly lagMs: number;
}

/** Faults that tests switch on and off while the database runs. */
export interface DatabaseFaults {
  /** Accepts connections but never responds. */
  isUnresponsive: boolean;
  /** Resets new connections; `DatabaseServer.kill` also resets open ones. */
  isDown: boolean;
  /** Exchanges no log entries with other databases; clients still connect. */
  isIsolated: boolean;
  /** Delay before a cancel request takes effect. */
  cancelDelayMs: number;
}

/** Log, term, role and tables of one database, without its connections. */
export class StandinDatabase implements RowSource {
  readonly faults: DatabaseFaults = {
    isUnresponsive: false,
    isDown: false,
    isIsolated: false,
    cancelDelayMs: 0,
  };
  lagMs: number;
  serviceTimeMs: number;
  private tables = new Map<string, Map<string, Row>>();
  private log: LogEntry[] = [];
  private lineage: TermStart[] = [{term: 1, startOffset: 0}];
  private term = 1;
  private claimant = '';
  private role: 'primary' | 'replica' = 'replica';
  private following: StandinDatabase | undefined;

  private constructor(
    readonly options: DatabaseOptions,
    private readonly now: () => number,
  ) {
    this.lagMs = options.lagMs;
    this.serviceTimeMs = options.serviceTimeMs;
  }

  static create(
    options: DatabaseOptions,
    now: () => number = Date.now,
  ): StandinDatabase {
    return new StandinDatabase(options, now);
  }

  get name(): string {
    return this.options.name;
  }

  get isPrimary(): boolean {
    return this.role === 'primary';
  }

  /** Makes this the first primary of a new group, without a claimant. */
  becomeFirstPrimary(): void {
    this.role = 'primary';
  }

  status(): DatabaseStatus {
    return {
      database: this.name,
      role: this.role,
      term: this.term,
      offset: this.log.length,
      lineage: [...this.lineage],
      following: this.following?.name,
    };
  }

  /** Returns all transactions in the log, for checks of lost writes. */
  committed(): readonly LogEntry[] {
    return this.log;
  }

  /**
   * Raises the term for a claimant and steps down. Returns whether the term is
   * granted: each term goes to one claimant, whose repeated requests succeed.
   */
  raiseTerm(term: number, claimant: string): boolean {
    if (term === this.term) return claimant === this.claimant;
    if (term < this.term) return false;
    this.term = term;
    this.claimant = claimant;
    this.role = 'replica';
    this.following = undefined;
    return true;
  }

  /** Becomes primary of a term that `raiseTerm` granted to this claimant. */
  promote(term: number, claimant: string): boolean {
    if (term !== this.term || claimant !== this.claimant) return false;
    if (this.role === 'primary') return true;
    this.role = 'primary';
    this.lineage.push({term, startOffset: this.log.length});
    return true;
  }

  /**
   * Becomes a replica of the primary of a term. The next replication discards
   * log entries that this primary does not have.
   */
  follow(term: number, primary: StandinDatabase): boolean {
    if (term < this.term || primary === this) return false;
    this.term = term;
    this.role = 'replica';
    this.following = primary;
    return true;
  }

  /** Appends a transaction. The caller checks that this is the primary. */
  commit(changes: readonly Change[], user: string): Position {
    this.log.push({changes, committedAtMs: this.now(), user});
    this.applyChanges(changes);
    return {
      term: this.lineage[this.lineage.length - 1].term,
      offset: this.log.length,
    };
  }

  /** Copies the primary's log entries that are at least `lagMs` old. */
  replicate(): void {
    const primary = this.following;
    if (!primary || this.faults.isIsolated || primary.faults.isIsolated) return;
    if (this.faults.isDown || primary.faults.isDown) return;
    if (!primary.isPrimary || primary.term !== this.term) return;
    this.adoptLineage(primary);
    const visibleUntilMs = this.now() - this.lagMs;
    while (this.log.length < primary.log.length) {
      const entry = primary.log[this.log.length];
      if (entry.committedAtMs > visibleUntilMs) break;
      this.log.push(entry);
      this.applyChanges(entry.changes);
    }
  }

  get(table: string, id: string): Row | undefined {
    return this.tables.get(table)?.get(id);
  }

  all(table: string): Iterable<[string, Row]> {
    return this.tables.get(table) ?? new Map<string, Row>();
  }

  /**
   * Adopts the primary's lineage and truncates the log to the part that
   * both share: none of it if this log has a term that the primary's lacks.
   */
  private adoptLineage(primary: StandinDatabase): void {
    const known = new Set(this.lineage.map(start => start.term));
    const newTermStart = primary.lineage.find(start => !known.has(start.term));
    const hasUnknownTerm = this.lineage.some(
      start => !primary.lineage.some(other => other.term === start.term),
    );
    if (!newTermStart && !hasUnknownTerm) return;
    const keptEntries = hasUnknownTerm ? 0 : (newTermStart?.startOffset ?? 0);
    if (this.log.length > keptEntries) this.truncateLog(keptEntries);
    this.lineage = [...primary.lineage];
  }

  /** Keeps the first `offset` log entries and rebuilds the tables from them. */
  private truncateLog(offset: number): void {
    this.log = this.log.slice(0, offset);
    this.tables = new Map();
    for (const entry of this.log) this.applyChanges(entry.changes);
  }

  private applyChanges(changes: readonly Change[]): void {
    for (const {table, id, row} of changes) {
      let rows = this.tables.get(table);
      if (!rows) this.tables.set(table, (rows = new Map()));
      if (row) rows.set(id, row);
      else rows.delete(id);
    }
  }
}
