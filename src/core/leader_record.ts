/**
 * Records of the database that may act as primary of each service. The holder of
 * the coordinator lease writes one before it chooses a new primary, another one
 * before it orders the promotion, and one when the change is over. A front
 * acknowledges a commit only if the newest record permits it at that database;
 * on a platform that does not fence a former primary, the same holds for reads
 * at the primary. A record contains the era of the store in which it was
 * written, so that its age is known even if the store was restored from a copy
 * since.
 */
import {isEra, qualifyRevision, revisionInEra} from './store_revision.js';

/** How long commits under way may take once a record has stopped commits. */
export const FINISH_COMMITS_MS = 150;

/** Which commits a record permits. */
export const CommitRule = {
  /** Those at the database that the record names. */
  allowed: 'allowed',
  /** None, since a new primary is being chosen. */
  stopped: 'stopped',
  /**
   * None, since an order to promote another database than the named one may
   * still be executed.
   */
  contested: 'contested',
} as const;
export type CommitRule = (typeof CommitRule)[keyof typeof CommitRule];

/** The database that may lead a service. */
export interface LeaderRecord {
  readonly service: string;
  readonly database: string;
  /** Whether no promotion order for the database can still be in flight. */
  readonly settled: boolean;
  /** `allowed` if absent. */
  readonly commits?: CommitRule;
}

/** A record with the qualified store revision at which it was written. */
export interface StoredLeaderRecord extends LeaderRecord {
  readonly revision: number;
}

/** Encodes a record that is written in an era. */
export const encodeLeaderRecord = (
  {service, database, settled, commits}: LeaderRecord,
  era: number,
): string => JSON.stringify({service, database, settled, commits, era});

export const isCommitRule = (value: unknown): value is CommitRule =>
  Object.values(CommitRule).some(rule => rule === value);

/**
 * Parses a record that is stored at `revision`; undefined if the text is not a
 * valid record. One without an era counts as written before all others.
 */
export function decodeLeaderRecord(
  text: string,
  revision: number,
): StoredLeaderRecord | undefined {
  try {
    const parsed = JSON.parse(text) as
      (Partial<LeaderRecord> & {readonly era?: unknown}) | null;
    const {service, database, settled, commits, era = 0} = parsed ?? {};
    const isRecord =
      typeof service === 'string' &&
      typeof database === 'string' &&
      (commits === undefined || isCommitRule(commits)) &&
      isEra(era);
    if (!isRecord) return undefined;
    return {
      service,
      database,
      settled: settled === true,
      ...(commits && {commits}),
      revision: qualifyRevision(era, revisionInEra(revision)),
    };
  } catch {
    // An invalid record permits and forbids nothing; the caller logs it.
    return undefined;
  }
}

/** Returns the record with the higher revision. */
export const newerLeaderRecord = (
  a: StoredLeaderRecord | undefined,
  b: StoredLeaderRecord | undefined,
): StoredLeaderRecord | undefined => {
  if (!a || !b) return a ?? b;
  return b.revision > a.revision ? b : a;
};

/**
 * Whether a record permits a database to lead; without a record, or with one
 * that names none, any may.
 */
export const mayLead = (
  record: StoredLeaderRecord | undefined,
  database: string,
): boolean =>
  record === undefined ||
  record.database === '' ||
  record.database === database;

/** Whether a record permits commits at a database; without a record, any may. */
export const mayCommit = (
  record: LeaderRecord | undefined,
  database: string,
): boolean =>
  record === undefined ||
  (record.database === database && !hasStoppedCommits(record));

/** Whether a record permits commits at no database. */
export const hasStoppedCommits = ({commits}: LeaderRecord): boolean =>
  commits !== undefined && commits !== CommitRule.allowed;

/**
 * Returns the record that ends all commits of a service. It keeps what the
 * newest record tells about orders that may still be executed.
 */
export const stoppedRecord = (
  newest: LeaderRecord | undefined,
  service: string,
  leader: string,
): LeaderRecord => ({
  service,
  database: newest?.database ?? leader,
  settled: newest?.settled ?? true,
  commits: CommitRule.stopped,
});

/**
 * Returns the record of an order to promote a database. While an order for
 * another database may be executed as well, the promoted one must not take
 * commits: they would be lost with the other order.
 */
export function orderRecord(
  newest: LeaderRecord | undefined,
  service: string,
  database: string,
): LeaderRecord {
  const isContested =
    newest?.commits === CommitRule.contested ||
    (newest !== undefined && !newest.settled && newest.database !== database);
  const commits = isContested ? CommitRule.contested : CommitRule.allowed;
  return {service, database, settled: false, commits};
}

/** A promotion order without an answer; it may be executed until `untilMs`. */
export interface UnconfirmedOrder {
  readonly database: string;
  readonly untilMs: number;
}

/**
 * Whether a database may be promoted, or may stay primary. An unconfirmed order
 * may still be executed after newer ones, so until it expires no other database
 * may lead.
 */
export const isPromotionAllowed = (
  unconfirmed: UnconfirmedOrder | undefined,
  database: string | undefined,
): boolean => unconfirmed === undefined || unconfirmed.database === database;

/**
 * Whether no front can still use the former primary in a way that a record
 * forbids: the database has confirmed that it does not lead, every front has
 * acknowledged the record, or enough time has passed that the view of the other
 * fronts is too old for them to use a primary.
 */
export const isFormerPrimaryRetired = (state: {
  readonly confirmedByDatabase: boolean;
  readonly unanswered: number;
  readonly sinceWrittenMs: number;
  readonly maxConfigAgeMs: number;
}): boolean =>
  state.confirmedByDatabase ||
  state.unanswered === 0 ||
  state.sinceWrittenMs > state.maxConfigAgeMs;
