/**
 * Which database is to lead each service, where the platform does not fence a
 * former primary. The holder of the duty writes a record before it orders a
 * promotion; a front uses a database as primary only as far as records allow.
 */

/** The database that is to lead a service. */
export interface LeaderRecord {
  readonly service: string;
  readonly database: string;
  /** No order for it can still be outstanding. */
  readonly settled: boolean;
}

/** A record with the store's revision at which it was written. */
export interface StoredLeaderRecord extends LeaderRecord {
  readonly revision: number;
}

export const encodeLeaderRecord = (record: LeaderRecord): string =>
  JSON.stringify(record);

/** Reads a record; undefined when the text is none. */
export function decodeLeaderRecord(
  text: string,
  revision: number,
): StoredLeaderRecord | undefined {
  try {
    const read = JSON.parse(text) as Partial<LeaderRecord> | null;
    const {service, database, settled} = read ?? {};
    const isRecord =
      typeof service === 'string' && typeof database === 'string';
    if (!isRecord) return undefined;
    return {service, database, settled: settled === true, revision};
  } catch {
    // What is no record says nothing; the caller logs it.
    return undefined;
  }
}

/** The later of two records of a service. */
export const newerLeaderRecord = (
  a: StoredLeaderRecord | undefined,
  b: StoredLeaderRecord | undefined,
): StoredLeaderRecord | undefined => {
  if (!a || !b) return a ?? b;
  return b.revision > a.revision ? b : a;
};

/** Whether a record lets a database lead. */
export const mayLead = (
  record: StoredLeaderRecord | undefined,
  database: string,
): boolean => record === undefined || record.database === database;

/** An order that may still be carried out, and until when that is possible. */
export interface UnconfirmedOrder {
  readonly database: string;
  readonly untilMs: number;
}

/**
 * Whether a database may be made to lead now, or go on leading. An order without
 * an answer may be carried out later, after newer ones: until then nothing else
 * leads.
 */
export const isPromotionAllowed = (
  doubt: UnconfirmedOrder | undefined,
  database: string | undefined,
): boolean => doubt === undefined || doubt.database === database;

/**
 * Whether no front can use the former primary any more: it has confirmed that it
 * does not lead, all fronts have stopped, or those that did not answer have
 * outlived the proof without which they use none.
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
