/**
 * A stand-in database: a log with terms, asynchronous replication from the
 * database it follows, and the switches that tests use to break it. Its state
 * survives `kill`, as a disk would.
 */
import {DatabaseStatus, Position, TermStart} from '../core/position.js';
import {Change, Row, RowSource} from './sql_engine.js';

/** One committed transaction. */
interface LogEntry {
  readonly changes: readonly Change[];
  readonly committedAtMs: number;
  /** Who asked, for accounting in tests. */
  readonly user: string;
}

/** Timing and limits of one stand-in database. */
export interface DatabaseOptions {
  readonly name: string;
  readonly slots: number;
  readonly connections: number;
  readonly connectMs: number;
  readonly serviceTimeMs: number;
  readonly lagMs: number;
}

/** Faults that can be switched on. */
export interface DatabaseFaults {
  /** Accepts connections and answers nothing. */
  isUnresponsive: boolean;
  /** Refuses connections and drops the open ones. */
  isDown: boolean;
  /** Neither replicates from nor to other databases. */
  isIsolated: boolean;
}

/** The data and log of one database. */
export class StandinDatabase implements RowSource {
  readonly faults: DatabaseFaults = {
    isUnresponsive: false,
    isDown: false,
    isIsolated: false,
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

  /** Makes this the first primary of a new group. */
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

  /** Users and changes of every committed transaction, for accounting. */
  committed(): readonly LogEntry[] {
    return this.log;
  }

  /**
   * Raises the term for one claimant. A term is granted once; asking again
   * with the same claimant is granted again.
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

  /** Makes this database the primary of a term it was raised to. */
  promote(term: number, claimant: string): boolean {
    if (term !== this.term || claimant !== this.claimant) return false;
    if (this.role === 'primary') return true;
    this.role = 'primary';
    this.lineage.push({term, startOffset: this.log.length});
    return true;
  }

  /** Follows the primary of a term; discards what that primary lacks. */
  follow(term: number, primary: StandinDatabase): boolean {
    if (term < this.term || primary === this) return false;
    this.term = term;
    this.role = 'replica';
    this.following = primary;
    return true;
  }

  /** Appends a transaction; only a primary may. */
  commit(changes: readonly Change[], user: string): Position {
    this.log.push({changes, committedAtMs: this.now(), user});
    this.applyChanges(changes);
    return {
      term: this.lineage[this.lineage.length - 1].term,
      offset: this.log.length,
    };
  }

  /** Copies what the followed primary committed at least the lag ago. */
  replicate(): void {
    const primary = this.following;
    if (!primary || this.faults.isIsolated || primary.faults.isIsolated) return;
    if (this.faults.isDown || primary.faults.isDown) return;
    if (!primary.isPrimary || primary.term !== this.term) return;
    this.adoptLineage(primary);
    const visibleMs = this.now() - this.lagMs;
    while (this.log.length < primary.log.length) {
      const entry = primary.log[this.log.length];
      if (entry.committedAtMs > visibleMs) break;
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

  private adoptLineage(primary: StandinDatabase): void {
    const known = new Set(this.lineage.map(start => start.term));
    const fresh = primary.lineage.find(start => !known.has(start.term));
    const stray = this.lineage.some(
      start => !primary.lineage.some(other => other.term === start.term),
    );
    if (!fresh && !stray) return;
    const limit = stray ? 0 : (fresh?.startOffset ?? 0);
    if (this.log.length > limit) this.rewind(limit);
    this.lineage = [...primary.lineage];
  }

  /** Rebuilds the tables from the first `offset` entries. */
  private rewind(offset: number): void {
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
