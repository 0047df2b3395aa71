/** One connection to a stand-in database: transactions and statements. */
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
  SqlFailure,
  Value,
} from './sql_engine.js';

/** Finds a database of the same group by name. */
export type FindDatabase = (name: string) => StandinDatabase | undefined;

/** Rows as seen inside a transaction. */
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
  readonly term: number;
  readonly readOnly: boolean;
  readonly overlay: Overlay;
  changes: Change[];
  failed: boolean;
}

/** What one statement produced. */
export interface StatementOutcome {
  readonly result: QueryResult;
  /** Log position, when the statement committed a change. */
  readonly position?: string;
  /** Extra time that the statement asks for. */
  readonly sleepMs: number;
}

const done = (tag: string): QueryResult => ({
  tag,
  changes: [],
  columns: [],
  rows: [],
});

const MS_PER_S = 1_000;

/** Transaction state of one connection. */
export class DatabaseSession {
  private transaction: Transaction | undefined;

  private constructor(
    private readonly database: StandinDatabase,
    private readonly find: FindDatabase,
    private readonly user: string,
  ) {}

  static create(
    database: StandinDatabase,
    find: FindDatabase,
    user: string,
  ): DatabaseSession {
    return new DatabaseSession(database, find, user);
  }

  get status(): TransactionStatus {
    if (!this.transaction) return 'I';
    return this.transaction.failed ? 'E' : 'T';
  }

  /** Marks the open transaction failed, as any error does. */
  fail(): void {
    if (this.transaction) this.transaction.failed = true;
  }

  run(node: Node, parameters: readonly Value[]): StatementOutcome {
    if (node.TransactionStmt) return this.runTransaction(node.TransactionStmt);
    if (this.transaction?.failed) {
      throw SqlFailure.create('25P02', 'current transaction is aborted');
    }
    if (node.VariableSetStmt) return {result: done('SET'), sleepMs: 0};
    if (node.VariableShowStmt) return {result: done('SHOW'), sleepMs: 0};
    const call = calledFunction(node, parameters);
    if (call?.name.startsWith('group_')) return this.runAdmin(call);
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
    const stale =
      this.transaction && this.transaction.term !== this.database.status().term;
    if (!this.database.isPrimary || stale || this.transaction?.readOnly) {
      throw SqlFailure.create('25006', 'cannot write on a read-only database');
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
        return {result: done('BEGIN'), sleepMs: 0};
      case 'TRANS_STMT_COMMIT':
        return this.end();
      case 'TRANS_STMT_ROLLBACK':
        this.transaction = undefined;
        return {result: done('ROLLBACK'), sleepMs: 0};
      default:
        return {result: done('SAVEPOINT'), sleepMs: 0};
    }
  }

  private begin(readOnly: boolean): void {
    this.transaction ??= {
      term: this.database.status().term,
      readOnly,
      overlay: Overlay.create(this.database),
      changes: [],
      failed: false,
    };
  }

  private end(): StatementOutcome {
    const transaction = this.transaction;
    if (!transaction || transaction.failed) {
      this.transaction = undefined;
      return {result: done(transaction ? 'ROLLBACK' : 'COMMIT'), sleepMs: 0};
    }
    try {
      if (transaction.changes.length > 0) this.requireWritable();
    } finally {
      this.transaction = undefined;
    }
    const position = this.commit(transaction.changes);
    return {result: done('COMMIT'), sleepMs: 0, position};
  }

  private runAdmin(call: {name: string; args: Value[]}): StatementOutcome {
    const answer = this.administer(call.name, call.args);
    const rows = [[JSON.stringify(answer)]];
    return {
      result: {columns: [call.name], rows, tag: 'SELECT 1', changes: []},
      sleepMs: 0,
    };
  }

  private administer(name: string, args: readonly Value[]): unknown {
    const term = Number(args[0]);
    const word = String(args[1]);
    switch (name) {
      case 'group_status':
        return this.database.status();
      case 'group_raise':
        return {
          granted: this.database.raiseTerm(term, word),
          status: this.database.status(),
        };
      case 'group_promote':
        return {
          granted: this.database.promote(term, word),
          status: this.database.status(),
        };
      case 'group_follow': {
        const primary = this.find(word);
        return {granted: primary && this.database.follow(term, primary)};
      }
      default:
        throw SqlFailure.create('42883', `no function ${name}`);
    }
  }
}

const isWrite = (node: Node): boolean =>
  Boolean(node.InsertStmt || node.UpdateStmt || node.DeleteStmt);
