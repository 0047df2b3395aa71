/**
 * Transactions, data statements and the group functions (`group_status`,
 * `group_raise`, `group_promote`, `group_follow`) of one connection.
 */
import {formatPosition} from '../core/position.js';
import {TransactionStatus} from '../pg/wire.js';
import {StandinDatabase} from './database.js';
import {
  calledFunction,
  Change,
  Node,
  QueryResult,
  Row,
  RowSource,
  runStatement,
  SqlError,
  Value,
} from './sql_engine.js';

/** Finds a database by name in the group of the session's database. */
export type FindDatabase = (name: string) => StandinDatabase | undefined;

/** The rows of a database with a transaction's uncommitted changes applied. */
class Overlay implements RowSource {
  private readonly changed = new Map<string, Row | undefined>();

  private constructor(private readonly base: RowSource) {}

  static create(base: RowSource): Overlay {
    return new Overlay(base);
  }

  add(changes: readonly Change[]): void {
    for (const {table, id, row} of changes) {
      this.changed.set(`${table}\0${id}`, row);
    }
  }

  get(table: string, id: string): Row | undefined {
    const key = `${table}\0${id}`;
    return this.changed.has(key)
      ? this.changed.get(key)
      : this.base.get(table, id);
  }

  *all(table: string): Iterable<[string, Row]> {
    for (const [id, row] of this.base.all(table)) {
      if (!this.changed.has(`${table}\0${id}`)) yield [id, row];
    }
    for (const [key, row] of this.changed) {
      const [name, id] = key.split('\0');
      if (row && name === table) yield [id, row];
    }
  }
}

interface Transaction {
  /** The database's term at BEGIN; writes fail once it has changed. */
  readonly term: number;
  readonly isReadOnly: boolean;
  readonly overlay: Overlay;
  changes: Change[];
  isFailed: boolean;
}

/** Result and side effects of one statement. */
export interface StatementOutcome {
  readonly result: QueryResult;
  /** Log position of the commit, if the statement committed a change. */
  readonly position?: string;
  /** Time for which `pg_sleep` asked; 0 for all other statements. */
  readonly sleepMs: number;
}

const emptyResult = (tag: string): QueryResult => ({
  tag,
  changes: [],
  columns: [],
  rows: [],
});

const MS_PER_S = 1_000;

/** Runs the statements of one connection and keeps its transaction. */
export class DatabaseSession {
  private transaction: Transaction | undefined;

  private constructor(
    private readonly database: StandinDatabase,
    private readonly findDatabase: FindDatabase,
    private readonly user: string,
  ) {}

  static create(
    database: StandinDatabase,
    findDatabase: FindDatabase,
    user: string,
  ): DatabaseSession {
    return new DatabaseSession(database, findDatabase, user);
  }

  get status(): TransactionStatus {
    if (!this.transaction) return 'I';
    return this.transaction.isFailed ? 'E' : 'T';
  }

  /** Marks the open transaction as failed after an error. */
  fail(): void {
    if (this.transaction) this.transaction.isFailed = true;
  }

  run(node: Node, parameters: readonly Value[]): StatementOutcome {
    if (node.TransactionStmt) return this.runTransaction(node.TransactionStmt);
    if (this.transaction?.isFailed) {
      throw SqlError.create('25P02', 'current transaction is aborted');
    }
    if (node.VariableSetStmt) return {result: emptyResult('SET'), sleepMs: 0};
    if (node.VariableShowStmt) return {result: emptyResult('SHOW'), sleepMs: 0};
    const call = calledFunction(node, parameters);
    if (call?.name.startsWith('group_')) return this.runGroupFunction(call);
    return this.runData(node, parameters, call);
  }

  private runData(
    node: Node,
    parameters: readonly Value[],
    call: ReturnType<typeof calledFunction>,
  ): StatementOutcome {
    const source = this.transaction?.overlay ?? this.database;
    const result = runStatement(node, source, parameters);
    const sleepMs =
      call?.name === 'pg_sleep' ? Number(call.args[0]) * MS_PER_S : 0;
    if (!isWrite(node)) return {result, sleepMs};
    this.requireWritable();
    if (this.transaction) {
      this.transaction.overlay.add(result.changes);
      this.transaction.changes.push(...result.changes);
      return {result, sleepMs};
    }
    return {result, sleepMs, position: this.commit(result.changes)};
  }

  private requireWritable(): void {
    const isTermStale =
      this.transaction && this.transaction.term !== this.database.status().term;
    if (
      !this.database.isPrimary ||
      isTermStale ||
      this.transaction?.isReadOnly
    ) {
      throw SqlError.create('25006', 'cannot write on a read-only database');
    }
  }

  private commit(changes: readonly Change[]): string | undefined {
    if (changes.length === 0) return undefined;
    return formatPosition(this.database.commit(changes, this.user));
  }

  private runTransaction(body: Node): StatementOutcome {
    switch (body.kind) {
      case 'TRANS_STMT_BEGIN':
      case 'TRANS_STMT_START':
        this.begin(JSON.stringify(body.options ?? '').includes('read_only'));
        return {result: emptyResult('BEGIN'), sleepMs: 0};
      case 'TRANS_STMT_COMMIT':
        return this.commitTransaction();
      case 'TRANS_STMT_ROLLBACK':
        this.transaction = undefined;
        return {result: emptyResult('ROLLBACK'), sleepMs: 0};
      default:
        return {result: emptyResult('SAVEPOINT'), sleepMs: 0};
    }
  }

  private begin(readOnly: boolean): void {
    this.transaction ??= {
      term: this.database.status().term,
      isReadOnly: readOnly,
      overlay: Overlay.create(this.database),
      changes: [],
      isFailed: false,
    };
  }

  private commitTransaction(): StatementOutcome {
    const transaction = this.transaction;
    if (!transaction || transaction.isFailed) {
      this.transaction = undefined;
      return {
        result: emptyResult(transaction ? 'ROLLBACK' : 'COMMIT'),
        sleepMs: 0,
      };
    }
    try {
      if (transaction.changes.length > 0) this.requireWritable();
    } finally {
      this.transaction = undefined;
    }
    const position = this.commit(transaction.changes);
    return {result: emptyResult('COMMIT'), sleepMs: 0, position};
  }

  private runGroupFunction(call: {
    name: string;
    args: Value[];
  }): StatementOutcome {
    const value = this.callGroupFunction(call.name, call.args);
    const rows = [[JSON.stringify(value)]];
    return {
      result: {columns: [call.name], rows, tag: 'SELECT 1', changes: []},
      sleepMs: 0,
    };
  }

  private callGroupFunction(name: string, args: readonly Value[]): unknown {
    const term = Number(args[0]);
    const argument = String(args[1]);
    switch (name) {
      case 'group_status':
        return this.database.status();
      case 'group_raise':
        return {
          granted: this.database.raiseTerm(term, argument),
          status: this.database.status(),
        };
      case 'group_promote':
        return {
          granted: this.database.promote(term, argument),
          status: this.database.status(),
        };
      case 'group_follow': {
        const primary = this.findDatabase(argument);
        return {granted: primary && this.database.follow(term, primary)};
      }
      default:
        throw SqlError.create('42883', `no function ${name}`);
    }
  }
}

const isWrite = (node: Node): boolean =>
  Boolean(node.InsertStmt || node.UpdateStmt || node.DeleteStmt);
