/**
 * Records of the database that may act as primary of each service, for
 * platforms that do not fence a former primary. The holder of the coordinator
 * lease writes a record before it orders a promotion; a front uses a database
 * as primary only if the newest record permits it. A record contains the era of
 * the store in which it was written, so that its age is known even if the store
 * was restored from a copy since.
 */
import {isEra, qualifyRevision, revisionInEra} from './store_revision.js';

/** The database that may lead a service. */
export interface LeaderRecord {
  readonly service: string;
  readonly database: string;
  /** Whether no promotion order for the database can still be in flight. */
  readonly settled: boolean;
}

/** A record with the qualified store revision at which it was written. */
export interface StoredLeaderRecord extends LeaderRecord {
  readonly revision: number;
}

/** Encodes a record that is written in an era. */
export const encodeLeaderRecord = (
  {service, database, settled}: LeaderRecord,
  era: number,
): string => JSON.stringify({service, database, settled, era});

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
    const {service, database, settled, era = 0} = parsed ?? {};
    const isRecord =
      typeof service === 'string' && typeof database === 'string' && isEra(era);
    if (!isRecord) return undefined;
    return {
      service,
      database,
      settled: settled === true,
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

/** Whether a record permits a database to lead; without a record, any may. */
export const mayLead = (
  record: StoredLeaderRecord | undefined,
  database: string,
): boolean => record === undefined || record.database === database;

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
 * Whether no front can still use the former primary: the database has confirmed
 * that it does not lead, every front has acknowledged the new record or ended,
 * or enough time has passed that the configuration of the other fronts is too
 * old for them to use a primary.
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
