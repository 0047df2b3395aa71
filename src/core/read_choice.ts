/** Ranks the databases that can serve a read, for the front that routes it. */
import {KnownDatabase} from './directory.js';
import {Distance, distance, Place} from './placement.js';

/** A database's load and availability as observed by a front. */
export interface DatabaseLoad {
  /** Expected queueing time. */
  readonly waitMs: number;
  /** Until when it receives no reads because of a failure. */
  readonly avoidUntilMs: number;
  /** Until when it gets no reads, because it lagged behind a read's floor. */
  readonly laggingUntilMs: number;
  /** Length of the last pause that lagging caused. */
  readonly laggingMs: number;
  /** Until when it gets no reads, because it is cold and had no room. */
  readonly coldUntilMs?: number;
  /**
   * Whether the requests that it gets while it is cold are limited; its warm-up
   * costs nothing then.
   */
  readonly isLimitedWhileCold?: boolean;
}

export const NO_LOAD: DatabaseLoad = {
  waitMs: 0,
  avoidUntilMs: 0,
  laggingUntilMs: 0,
  laggingMs: 0,
};

/**
 * Round trip times by distance, to weigh network time against queueing time.
 */
const ROUND_TRIP_MS: Record<Distance, number> = {
  [Distance.zone]: 1,
  [Distance.region]: 4,
  [Distance.far]: 45,
};
/** Extra cost of the primary, because writes need its slots. */
const PRIMARY_COST_MS = 30;
/** Extra cost in milliseconds per millisecond of remaining warm-up. */
const COST_PER_WARM_UP_MS = 0.02;

/** A database that can serve a read. */
export interface ReadCandidate {
  readonly entry: KnownDatabase;
  /** Expected response time, and what else speaks against the database. */
  readonly cost: number;
  readonly distance: Distance;
}

/** Expected time until a statement arrives at a database. */
export const arrivalDelayMs = ({distance}: ReadCandidate, waitMs: number) =>
  ROUND_TRIP_MS[distance] / 2 + waitMs;

/** As `rankForRead`, with the figures by which the databases are ranked. */
export function candidatesForRead(
  databases: readonly KnownDatabase[],
  leader: string | undefined,
  from: Place,
  loadOf: (database: string) => DatabaseLoad,
  nowMs: number,
): ReadCandidate[] {
  const costOf = (entry: KnownDatabase): number => {
    const load = loadOf(entry.id);
    const roundTripMs = ROUND_TRIP_MS[distance(from, entry.place)];
    const primaryMs = entry.id === leader ? PRIMARY_COST_MS : 0;
    const warmUpMs = load.isLimitedWhileCold
      ? 0
      : entry.remainingWarmUpMs * COST_PER_WARM_UP_MS;
    return roundTripMs + load.waitMs + primaryMs + warmUpMs;
  };
  // A former leader that is alive stops claiming to lead at once, so one that
  // still claims it is taken to be down.
  const isFormer = (entry: KnownDatabase): boolean =>
    entry.isLeader && entry.id !== leader;
  return databases
    .filter(entry => !entry.leaving && !isFormer(entry))
    .filter(entry => loadOf(entry.id).avoidUntilMs <= nowMs)
    .filter(entry => (loadOf(entry.id).coldUntilMs ?? 0) <= nowMs)
    .filter(
      entry => entry.id === leader || loadOf(entry.id).laggingUntilMs <= nowMs,
    )
    .map(entry => ({
      entry,
      cost: costOf(entry),
      distance: distance(from, entry.place),
    }))
    .sort((a, b) => a.cost - b.cost);
}

/** Ranks databases by expected response time; leaves out unsuitable ones. */
export const rankForRead = (
  ...args: Parameters<typeof candidatesForRead>
): KnownDatabase[] => candidatesForRead(...args).map(({entry}) => entry);
