/**
 * Log positions of a database group. A term is the period of one primary; the
 * lineage of a log lists where each term began in it.
 */

/** A log position: the term that wrote it and its offset in the log. */
export interface Position {
  readonly term: number;
  readonly offset: number;
}

/** The beginning of a term: it wrote the offsets above `startOffset`. */
export interface TermStart {
  readonly term: number;
  readonly startOffset: number;
}

/** The status that a database reports about itself. */
export interface DatabaseStatus {
  readonly database: string;
  readonly role: 'primary' | 'replica';
  /** The highest term that this database has granted. */
  readonly term: number;
  /** Offset up to which the database has applied its log. */
  readonly offset: number;
  /** Beginnings of the terms in the local log, ascending by term. */
  readonly lineage: readonly TermStart[];
  /** The database this one replicates from. */
  readonly following?: string;
}

/** Name of the ParameterStatus that reports the position of a commit. */
export const POSITION_PARAMETER = 'group.position';

/** Compares positions by term, then by offset. */
export const comparePositions = (a: Position, b: Position): number =>
  a.term - b.term || a.offset - b.offset;

/** Returns the log's end with its last term, which may have no entry yet. */
export function logEnd(status: DatabaseStatus): Position {
  const last = status.lineage[status.lineage.length - 1];
  return {term: last?.term ?? 0, offset: status.offset};
}

/** How a floor (the minimum position that a read must see) relates to a log. */
export const Coverage = {
  covered: 'covered',
  /** The position belongs to this log's lineage but is not applied yet. */
  behind: 'behind',
  /** The log does not know the floor's term yet. */
  unknownTerm: 'unknown_term',
  /** A later term started below the floor, so this log lacks the write. */
  lost: 'lost',
} as const;
export type Coverage = (typeof Coverage)[keyof typeof Coverage];

/**
 * Compares a log with `floor`. The offset alone is not enough: a log that never
 * knew the floor's term may contain another write at the same offset.
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

/** Returns the position of a log's last entry, with the term that wrote it. */
export function lastEntryPosition(status: DatabaseStatus): Position {
  const {lineage, offset} = status;
  const writer = lineage.filter(start => start.startOffset < offset).at(-1);
  return {term: writer?.term ?? 0, offset};
}

/** Formats a position as `term/offset`, as sent between proxy and database. */
export const formatPosition = (position: Position): string =>
  `${position.term}/${position.offset}`;

/** Parses `term/offset`; undefined if malformed. */
export function parsePosition(text: string): Position | undefined {
  const match = /^(\d{1,15})\/(\d{1,15})$/.exec(text);
  if (!match) return undefined;
  return {term: Number(match[1]), offset: Number(match[2])};
}
