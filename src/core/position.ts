/** Log positions, terms and the lineage that orders them. */

/** A place in a group's log: the term that wrote it and its offset. */
export interface Position {
  readonly term: number;
  readonly offset: number;
}

/** Where each term began: offsets above `startOffset` belong to the term. */
export interface TermStart {
  readonly term: number;
  readonly startOffset: number;
}

/** A database's report about itself. */
export interface DatabaseStatus {
  readonly database: string;
  readonly role: 'primary' | 'replica';
  /** The highest term this database has been raised to. */
  readonly term: number;
  /** Offset applied locally. */
  readonly offset: number;
  /** Lineage of the local log, ascending by term. */
  readonly lineage: readonly TermStart[];
  /** The database this one replicates from. */
  readonly following?: string;
}

/** Name of the parameter by which a database reports a commit's position. */
export const POSITION_PARAMETER = 'group.position';

/** Orders log ends: a later term's log wins, then the longer one. */
export const comparePositions = (a: Position, b: Position): number =>
  a.term - b.term || a.offset - b.offset;

/** The position at the end of a database's log. */
export function logEnd(status: DatabaseStatus): Position {
  const last = status.lineage[status.lineage.length - 1];
  return {term: last?.term ?? 0, offset: status.offset};
}

/** How a session's floor relates to one database's log. */
export const Coverage = {
  covered: 'covered',
  /** The position is on this lineage, not applied yet. */
  behind: 'behind',
  /** The log does not know the floor's term yet. */
  unknownTerm: 'unknown_term',
  /** A later term started below the floor: the write is not in this log. */
  lost: 'lost',
} as const;
export type Coverage = (typeof Coverage)[keyof typeof Coverage];

/**
 * Tells whether a log holds everything up to `floor`. The offset alone does
 * not tell: a log that never knew the floor's term may hold another write there.
 */
export function coverage(status: DatabaseStatus, floor: Position): Coverage {
  if (floor.offset === 0) return Coverage.covered;
  const {lineage} = status;
  const next = lineage.find(start => start.term > floor.term);
  if (next && floor.offset > next.startOffset) return Coverage.lost;
  const known = lineage.some(
    start => start.term === floor.term && start.startOffset <= floor.offset,
  );
  if (!known) return next ? Coverage.lost : Coverage.unknownTerm;
  return status.offset >= floor.offset ? Coverage.covered : Coverage.behind;
}

/** The position of a log's last entry: the term that wrote it, its offset. */
export function lastEntryPosition(status: DatabaseStatus): Position {
  const {lineage, offset} = status;
  const writer = lineage.filter(start => start.startOffset < offset).at(-1);
  return {term: writer?.term ?? 0, offset};
}

/** Text form used between proxies and databases: `term/offset`. */
export const formatPosition = (position: Position): string =>
  `${position.term}/${position.offset}`;

/** Parses `term/offset`; undefined when malformed. */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return {term: Number(match[1]), offset: Number(match[2])};
}
