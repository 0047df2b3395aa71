/** Until when a database counts as cold, by its entries and its connections. */
import {DatabaseEntry, isNewerEntry, KnownDatabase} from './directory.js';

/**
 * A database closed or refused connections, so that it may have been restarted
 * although its entry in the store is still that of its former process.
 */
export interface RestartSuspicion {
  /** The entry that was known at that time. */
  readonly entry: DatabaseEntry;
  readonly atMs: number;
  /** When the suspicion ends unless an entry refutes it before. */
  readonly untilMs: number;
}

/**
 * Longest time that an entry is assumed to take from the database to a front.
 * One that arrives sooner after a connection was closed may have been written
 * by the former process.
 */
export const ENTRY_TRANSIT_MS = 1_500;

/**
 * Whether an entry shows the state of the database after the suspicion arose:
 * it is that of a later start, or of the same process but written since.
 */
export function refutes(
  entry: KnownDatabase,
  {entry: former, atMs}: RestartSuspicion,
): boolean {
  if (!isNewerEntry(entry, former)) return false;
  const isLaterStart =
    (entry.startedAtUnixMs ?? 0) > (former.startedAtUnixMs ?? 0);
  return isLaterStart || entry.receivedAtMs >= atMs + ENTRY_TRANSIT_MS;
}

/**
 * Returns until when a database counts as cold, on the steady clock. That clock
 * stops while a VM is suspended, so that a database is cold for longer there.
 */
export function coldUntilMs(
  entry: KnownDatabase,
  suspicion: RestartSuspicion | undefined,
): number {
  return Math.max(entry.coldUntilMs, suspicion?.untilMs ?? -Infinity);
}
