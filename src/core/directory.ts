/**
 * The databases that register themselves in the store: who serves what, and
 * which of a service's databases leads.
 */
import {Place} from './placement.js';

/** One database, as it describes itself. */
export interface DatabaseEntry {
  readonly id: string;
  readonly service: string;
  readonly host: string;
  readonly port: number;
  readonly zone: string;
  readonly slots: number;
  /** A leaving database gets no new work. */
  readonly leaving: boolean;
  /** Time for which it stays slow after its start. */
  readonly remainingWarmUpMs: number;
  readonly isLeader: boolean;
  /** Unix time of its start: another start under the same id is another life. */
  readonly startedAtUnixMs: number | undefined;
}

/** An entry with what its history in the store tells. */
export interface KnownDatabase extends DatabaseEntry {
  readonly place: Place;
  /** Revision at which it last began to lead; 0 when it does not. */
  readonly leaderSinceRevision: number;
  /** When it stopped being listed; undefined while it is. */
  readonly missingSinceMs: number | undefined;
  /** Missing after an outage of the store: it may well be alive. */
  readonly isDoubtful: boolean;
}

/** All databases by id. Immutable. */
export type Directory = ReadonlyMap<string, KnownDatabase>;

/** Takes one entry written at `revision`. */
export function putEntry(
  directory: Directory,
  entry: DatabaseEntry,
  place: Place,
  revision: number,
): Directory {
  const known = directory.get(entry.id);
  const sameLife =
    known !== undefined && known.startedAtUnixMs === entry.startedAtUnixMs;
  const since =
    sameLife && known.isLeader ? known.leaderSinceRevision : revision;
  return new Map(directory).set(entry.id, {
    ...entry,
    place,
    leaderSinceRevision: entry.isLeader ? since : 0,
    missingSinceMs: undefined,
    isDoubtful: false,
  });
}

/** Marks an entry as no longer listed, or as doubtful. */
export function removeEntry(
  directory: Directory,
  id: string,
  nowMs: number,
  isDoubtful = false,
): Directory {
  const known = directory.get(id);
  if (!known || known.missingSinceMs !== undefined) return directory;
  const missing = {...known, missingSinceMs: nowMs, isDoubtful};
  return new Map(directory).set(id, missing);
}

/** Forgets entries that have been missing for `holdMs`. */
export function dropMissing(
  directory: Directory,
  nowMs: number,
  holdMs: number,
): Directory {
  const gone = [...directory.values()].filter(
    entry =>
      entry.missingSinceMs !== undefined &&
      nowMs - entry.missingSinceMs >= holdMs,
  );
  if (gone.length === 0) return directory;
  const next = new Map(directory);
  for (const entry of gone) next.delete(entry.id);
  return next;
}

/** Databases of one service that are listed, or in doubt. */
export const databasesOf = (
  directory: Directory,
  service: string,
): KnownDatabase[] =>
  [...directory.values()].filter(
    entry =>
      entry.service === service &&
      (entry.missingSinceMs === undefined || entry.isDoubtful),
  );

/**
 * The database that leads a service: of those that say so, the one that began
 * last. `deposed` tells of a database that has denied it since.
 */
export function leaderOf(
  directory: Directory,
  service: string,
  deposed: (entry: KnownDatabase) => boolean = () => false,
): KnownDatabase | undefined {
  let best: KnownDatabase | undefined;
  for (const entry of databasesOf(directory, service)) {
    if (!entry.isLeader || deposed(entry)) continue;
    if (!best || entry.leaderSinceRevision > best.leaderSinceRevision)
      best = entry;
  }
  return best;
}
