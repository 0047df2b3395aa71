/**
 * Judges whose transaction a statement runs in. Callers name themselves and
 * their transaction in a comment at the start of each statement.
 */

/** Who sent a statement. */
export interface StatementTag {
  readonly caller: string;
  /** The caller's transaction; undefined for a statement without one. */
  readonly transaction: string | undefined;
}

/** A statement that did not run where its caller sent it. */
export interface Violation {
  readonly database: string;
  /** Process id of the connection. */
  readonly connection: number;
  readonly statement: StatementTag;
  /** The transaction that was open; undefined if there was none. */
  readonly open: StatementTag | undefined;
}

/** Where a statement is about to run. */
export interface StatementPlace {
  readonly database: string;
  readonly connection: number;
  readonly isInTransaction: boolean;
  /** Whether the statement begins a transaction. */
  readonly isBegin: boolean;
}

const TAG_PATTERN = /^\/\* caller=(\S+)(?: transaction=(\S+))? \*\/ /;

/** Returns a statement with the comment that names its caller. */
export function tagStatement(tag: StatementTag, sql: string): string {
  const {caller, transaction} = tag;
  const inTransaction =
    transaction === undefined ? '' : ` transaction=${transaction}`;
  return `/* caller=${caller}${inTransaction} */ ${sql}`;
}

/** Returns the tag of a statement; undefined if it has none. */
export function readTag(sql: string): StatementTag | undefined {
  const match = TAG_PATTERN.exec(sql);
  return match ? {caller: match[1], transaction: match[2]} : undefined;
}

/** Describes a violation on one line. */
export const describeViolation = (violation: Violation): string =>
  `violation ${JSON.stringify(violation)}`;

const isSame = (a: StatementTag | undefined, b: StatementTag): boolean =>
  a?.caller === b.caller && a.transaction === b.transaction;

/** Judges the statements of one connection, in the order in which they run. */
export class TransactionJudge {
  /** Who began the open transaction, or the last one. */
  private begunBy: StatementTag | undefined;

  private constructor() {}

  static create(): TransactionJudge {
    return new TransactionJudge();
  }

  /**
   * Judges a statement just before it runs. Statements without a tag are not
   * judged.
   */
  judge(
    place: StatementPlace,
    tag: StatementTag | undefined,
  ): Violation | undefined {
    const {database, connection, isInTransaction, isBegin} = place;
    const open = isInTransaction ? this.begunBy : undefined;
    if (isBegin && !isInTransaction) {
      this.begunBy = tag;
      return undefined;
    }
    if (!tag) return undefined;
    const isInPlace =
      tag.transaction === undefined ? !isInTransaction : isSame(open, tag);
    return isInPlace ? undefined : {database, connection, statement: tag, open};
  }
}
