/**
 * Records of the databases of each service whose logs may hold acknowledged
 * commits: the listed ones, and those that have gone lately. The holder of the
 * coordinator lease keeps them in the store, so that a front which starts knows
 * of databases that left, or lapsed, while no front that still runs was there to
 * see it.
 */
import {Position} from './position.js';
import {isEra} from './store_revision.js';

/** One start of a database. */
export interface RecordedMember {
  /** As `startKey`. */
  readonly start: string;
  /** Whether it was the service's primary as far as the holder knew. */
  readonly leads: boolean;
  readonly leaving: boolean;
  /**
   * A position that the primary reached after the database was gone. A log that
   * has reached it has everything that the database may have held alone.
   */
  readonly coveredBy?: Position;
}

export interface MemberRecord {
  readonly service: string;
  /** Era of the store in which it was written; a restore may have lost others. */
  readonly era: number;
  readonly members: readonly RecordedMember[];
}

const FOLDER = 'members/';

export const memberRecordKey = (prefix: string, service: string): string =>
  `${prefix}${FOLDER}${service}`;

export const isMemberRecordKey = (prefix: string, key: string): boolean =>
  key.startsWith(prefix + FOLDER);

/** Encodes a record; equal records have equal texts. */
export const encodeMemberRecord = ({
  service,
  era,
  members,
}: MemberRecord): string => {
  const sorted = [...members].sort((a, b) => (a.start < b.start ? -1 : 1));
  return JSON.stringify({service, era, members: sorted});
};

const isPosition = (value: unknown): value is Position => {
  const {term, offset} = (value ?? {}) as Partial<Position>;
  return Number.isSafeInteger(term) && Number.isSafeInteger(offset);
};

const isMember = (value: unknown): value is RecordedMember => {
  const {start, leads, leaving, coveredBy} = (value ??
    {}) as Partial<RecordedMember>;
  return (
    typeof start === 'string' &&
    typeof leads === 'boolean' &&
    typeof leaving === 'boolean' &&
    (coveredBy === undefined || isPosition(coveredBy))
  );
};

/** Parses a record; undefined if the text is not a valid one. */
export function decodeMemberRecord(text: string): MemberRecord | undefined {
  try {
    const parsed = JSON.parse(text) as Partial<MemberRecord> | null;
    const {service, era, members} = parsed ?? {};
    const isRecord =
      typeof service === 'string' &&
      isEra(era) &&
      Array.isArray(members) &&
      members.every(isMember);
    return isRecord ? {service, era, members} : undefined;
  } catch {
    // What an invalid record would tell counts as unknown; the caller logs it.
    return undefined;
  }
}
