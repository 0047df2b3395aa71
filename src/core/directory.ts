/**
 * The databases that have registered in the store: the service of each, and the
 * database that leads a service.
 */
import {Place} from './placement.js';

/** The entry that a database writes about itself. */
export interface DatabaseEntry {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly slots: number;
  /** Whether it is being removed from service; it gets no new work then. */
  readonly leaving: boolean;
  /** Remaining time of slow answers after the start of the database. */
  readonly remainingWarmUpMs: number;
  readonly isLeader: boolean;
  /** Unix time of the start; distinguishes restarts under the same id. */
  readonly startedAtUnixMs: number | undefined;
  /** Rises with each entry that the database writes from its start on. */
  readonly sequence: number | undefined;
}

/**
 * Whether a database wrote `entry` after `other`; false if that is unknown. A
 * database counts its own entries, whatever revisions the store gives them.
 */
export function isNewerEntry(
  entry: DatabaseEntry,
  other: DatabaseEntry,
): boolean {
  const startedAtMs = entry.startedAtUnixMs ?? 0;
  const otherStartedAtMs = other.startedAtUnixMs ?? 0;
  return startedAtMs === otherStartedAtMs
    ? (entry.sequence ?? 0) > (other.sequence ?? 0)
    : startedAtMs > otherStartedAtMs;
}

/** An entry and what follows from its history in the store. */
export interface KnownDatabase extends DatabaseEntry {
  readonly place: Place;
  /** When this front received the entry, on the steady clock. */
  readonly receivedAtMs: number;
  /**
   * Until when the database is cold by its entry, on the steady clock: its
   * remaining warm-up, counted from the receipt of its newest entry.
   */
  readonly coldUntilMs: number;
  /** Store revision at which it became leader; 0 if it does not lead. */
  readonly leaderSinceRevision: number;
  /**
   * When this front learned that the database leaves, on the steady clock;
   * undefined if it does not.
   */
  readonly leavingSinceMs?: number;
  /** When the entry disappeared; undefined while it is listed. */
  readonly missingSinceMs: number | undefined;
  /**
   * Whether the database may be alive although its entry is missing, because
   * the store had an outage.
   */
  readonly isPresumedAlive: boolean;
}

/** All databases by id. Immutable. */
export type Directory = ReadonlyMap<string, KnownDatabase>;

/**
 * Returns until when a database is cold by an entry received now. One that was
 * known before does not extend the warm-up; of two whose order is unknown, the
 * one that is cold for longer counts.
 */
function coldUntilMsOf(
  entry: DatabaseEntry,
  known: KnownDatabase | undefined,
  nowMs: number,
): number {
  const untilMs = nowMs + entry.remainingWarmUpMs;
  if (!known || isNewerEntry(entry, known)) return untilMs;
  const isKnown =
    entry.startedAtUnixMs !== undefined &&
    entry.startedAtUnixMs === known.startedAtUnixMs &&
    entry.sequence !== undefined &&
    entry.sequence === known.sequence;
  return isKnown ? known.coldUntilMs : Math.max(untilMs, known.coldUntilMs);
}

/** Identifies one start of a database, which may restart under its id. */
export const startKey = ({
  id,
  startedAtUnixMs,
}: Pick<KnownDatabase, 'id' | 'startedAtUnixMs'>): string =>
  `${id} ${startedAtUnixMs}`;

/**
 * Adds or replaces an entry that was written at `revision` and received at
 * `nowMs`.
 */
export function putEntry(
  directory: Directory,
  entry: DatabaseEntry,
  place: Place,
  revision: number,
  nowMs = 0,
): Directory {
  const known = directory.get(entry.id);
  const isSameStart =
    known !== undefined && known.startedAtUnixMs === entry.startedAtUnixMs;
  const since =
    isSameStart && known.isLeader ? known.leaderSinceRevision : revision;
  return new Map(directory).set(entry.id, {
    ...entry,
    place,
    receivedAtMs: nowMs,
    coldUntilMs: coldUntilMsOf(entry, known, nowMs),
    leaderSinceRevision: entry.isLeader ? since : 0,
    leavingSinceMs: entry.leaving
      ? ((isSameStart ? known.leavingSinceMs : undefined) ?? nowMs)
      : undefined,
    missingSinceMs: undefined,
    isPresumedAlive: false,
  });
}

/** Marks an entry as missing; `dropMissing` removes it later. */
export function removeEntry(
  directory: Directory,
  id: string,
  nowMs: number,
  isPresumedAlive = false,
): Directory {
  const known = directory.get(id);
  if (!known || known.missingSinceMs !== undefined) return directory;
  const missing = {...known, missingSinceMs: nowMs, isPresumedAlive};
  return new Map(directory).set(id, missing);
}

/** Removes entries that have been missing for `holdMs`. */
export function dropMissing(
  directory: Directory,
  nowMs: number,
  holdMs: number,
): Directory {
  const expired = [...directory.values()].filter(
    entry =>
      entry.missingSinceMs !== undefined &&
      nowMs - entry.missingSinceMs >= holdMs,
  );
  if (expired.length === 0) return directory;
  const next = new Map(directory);
  for (const entry of expired) next.delete(entry.id);
  return next;
}

/** Whether a database is listed or presumed alive. */
export const isAvailable = (entry: KnownDatabase): boolean =>
  entry.missingSinceMs === undefined || entry.isPresumedAlive;

/** Returns the databases of a service that are listed or presumed alive. */
export const databasesOf = (
  directory: Directory,
  service: string,
): KnownDatabase[] =>
  [...directory.values()].filter(
    entry => entry.service === service && isAvailable(entry),
  );

/**
 * Returns the leader of a service: of the databases that claim to lead, the one
 * that became leader last. `deposed` excludes those that have denied it since.
 */
export function leaderOf(
  directory: Directory,
  service: string,
  deposed: (entry: KnownDatabase) => boolean = () => false,
): KnownDatabase | undefined {
  let best: KnownDatabase | undefined;
  for (const entry of databasesOf(directory, service)) {
    if (!entry.isLeader || deposed(entry)) continue;
    if (!best || entry.leaderSinceRevision > best.leaderSinceRevision) {
      best = entry;
    }
  }
  return best;
}
