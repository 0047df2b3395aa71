/** Orders the databases that may serve a read. */
import {KnownDatabase} from './directory.js';
import {Distance, distance, Place} from './placement.js';

/** What is known of a database from outside. */
export interface DatabaseLoad {
  /** Expected wait in its queue. */
  readonly waitMs: number;
  /** Until when it is not to be asked, after a failure. */
  readonly avoidUntilMs: number;
  /** Until when it is known to lag behind what reads need. */
  readonly laggingUntilMs: number;
  /** Length of the last such pause. */
  readonly laggingMs: number;
}

export const NO_LOAD: DatabaseLoad = {
  waitMs: 0,
  avoidUntilMs: 0,
  laggingUntilMs: 0,
  laggingMs: 0,
};

/** Round trips by distance, for comparing a way with a wait. */
const ROUND_TRIP_MS: Record<Distance, number> = {
  [Distance.zone]: 1,
  [Distance.region]: 4,
  [Distance.far]: 45,
};
/** Keeps reads off the primary, whose slots writes need. */
const LEADER_COST_MS = 30;
/** Share of its remaining cold time that a database is taken to be slower. */
const COLD_COST = 0.02;

/** Databases by expected time to an answer, those to be avoided left out. */
export function rankForRead(
  databases: readonly KnownDatabase[],
  leader: string | undefined,
  from: Place,
  loadOf: (database: string) => DatabaseLoad,
  nowMs: number,
): KnownDatabase[] {
  const costOf = (entry: KnownDatabase): number => {
    const load = loadOf(entry.id);
    const way = ROUND_TRIP_MS[distance(from, entry.place)];
    const lead = entry.id === leader ? LEADER_COST_MS : 0;
    return way + load.waitMs + lead + entry.remainingWarmUpMs * COLD_COST;
  };
  // A former leader that lives says at once that it leads no more.
  const isFormer = (entry: KnownDatabase): boolean =>
    entry.isLeader && entry.id !== leader;
  return databases
    .filter(entry => !entry.leaving && !isFormer(entry))
    .filter(entry => loadOf(entry.id).avoidUntilMs <= nowMs)
    .filter(
      entry => entry.id === leader || loadOf(entry.id).laggingUntilMs <= nowMs,
    )
    .map(entry => ({entry, cost: costOf(entry)}))
    .sort((a, b) => a.cost - b.cost)
    .map(ranked => ranked.entry);
}
