/**
 * Judges what databases did with callers' statements. It knows from the callers
 * which session and transaction each statement id belongs to, and from the
 * databases what ran on which connection; it reads no log of a front.
 */
import {DatabaseEvent, RanStatement} from '../test/platform/standin_session.js';

/** A statement as its caller sent it. */
export interface SentStatement {
  readonly id: string;
  readonly text: string;
  readonly service: string;
  readonly customer: string;
  /** Front that the caller is connected to; for reports. */
  readonly front: string;
  /** The caller's transaction, unique in the run; undefined outside of one. */
  readonly transaction?: string;
  /** Values that were acknowledged to the session. */
  readonly values: ReadonlyMap<string, string>;
  /** Access and shape of the name that an EXECUTE names. */
  readonly prepared?: string;
}

/** A broken rule. */
export interface Finding {
  readonly rule: string;
  /** What broke it; findings are counted by rule and kind. */
  readonly kind: string;
  readonly details: object;
}

/** A transaction of a database, and the caller's one that it belongs to. */
interface OpenTransaction {
  readonly connection: string;
  owner?: SentStatement;
}

const formatValues = (values: ReadonlyMap<string, string>): string =>
  JSON.stringify([...values].sort(([a], [b]) => (a < b ? -1 : 1)));

/** Checks the rules PINNED, UNASKED, ROUTE and MIXED statement by statement. */
export class StatementJudge {
  private readonly sent = new Map<string, SentStatement>();
  private readonly ran = new Map<string, RanStatement[]>();
  private readonly open = new Map<string, OpenTransaction>();
  /** The database's transaction of each transaction of a caller. */
  private readonly homes = new Map<string, OpenTransaction>();

  private constructor(private readonly report: (finding: Finding) => void) {}

  static create(report: (finding: Finding) => void): StatementJudge {
    return new StatementJudge(report);
  }

  /** Registers a statement; called before it is sent. */
  expect(statement: SentStatement): void {
    this.sent.set(statement.id, statement);
  }

  /** Takes an event of a database, in the order of that database. */
  observe(event: DatabaseEvent): void {
    const {connection} = event;
    switch (event.kind) {
      case 'begun':
        return void this.open.set(connection, {connection});
      case 'ended':
        return void this.open.delete(connection);
      case 'unknown_name':
        return this.report({
          rule: 'PINNED',
          kind: 'unknown_name',
          details: event,
        });
      case 'ran':
        return this.judge(event);
    }
  }

  /** Database that ran a statement last. */
  databaseOf(id: string): string | undefined {
    return this.ran.get(id)?.at(-1)?.connection.split('#')[0];
  }

  /** Checks a success that a caller got for a read, write or commit. */
  succeeded(id: string, signature: string, rows: readonly string[]): void {
    const runs = this.ran.get(id) ?? [];
    const run = runs.find(known => known.signature === signature);
    const hasSameRows =
      run?.rows.length === rows.length &&
      run.rows.every((row, index) => row === rows[index]);
    if (run && hasSameRows) return;
    const kind = run ? 'rows' : 'signature';
    this.report({rule: 'MIXED', kind, details: {id, signature, rows, runs}});
  }

  private judge(run: RanStatement): void {
    this.ran.set(run.requestId, [...(this.ran.get(run.requestId) ?? []), run]);
    const statement = this.sent.get(run.requestId);
    const fail = (rule: string, kind: string, more?: object): void =>
      this.report({rule, kind, details: {run, statement, ...more}});
    if (!statement) return fail('UNASKED', 'not_sent');
    if (statement.text !== run.text) fail('UNASKED', 'text');
    if (statement.service !== run.service) fail('ROUTE', 'service');
    if (statement.customer !== run.customer) fail('UNASKED', 'customer');
    if (formatValues(statement.values) !== formatValues(run.values)) {
      fail('PINNED', 'values', {
        acknowledged: formatValues(statement.values),
        held: formatValues(run.values),
      });
    }
    if (statement.prepared !== run.prepared) fail('PINNED', 'shape');
    this.judgeTransaction(run, statement, fail);
  }

  private judgeTransaction(
    run: RanStatement,
    statement: SentStatement,
    fail: (rule: string, kind: string, more?: object) => void,
  ): void {
    const {transaction} = statement;
    const current = this.open.get(run.connection);
    const home =
      transaction === undefined ? undefined : this.homes.get(transaction);
    const owner = current?.owner;
    const isOwn =
      owner === undefined ||
      (transaction !== undefined && owner.transaction === transaction);
    if (current && !isOwn) {
      fail('PINNED', 'inside_anothers', {owner});
    } else if (transaction !== undefined && !current) {
      fail('PINNED', 'outside');
    } else if (home && home.connection !== run.connection) {
      fail('PINNED', 'other_connection', {first: home.connection});
    } else if (home && home !== current) {
      fail('PINNED', 'outside', {first: home.connection});
    }
    if (!current) return;
    current.owner ??= statement;
    if (transaction !== undefined && !home)
      this.homes.set(transaction, current);
  }
}
