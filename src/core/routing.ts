/**
 * Routes requests within a database group. The owner of the group's pools
 * samples the status of each database and the log positions of the primary;
 * a read goes to a replica only if its log covers the read's floor.
 */
import {
  comparePositions,
  coverage,
  Coverage,
  DatabaseStatus,
  logEnd,
  Position,
} from './position.js';

/** The status that a database reported in answer to a probe. */
export interface StatusSample {
  readonly status: DatabaseStatus;
  /** When the probe was sent; the status was taken at this time or later. */
  readonly sentAtMs: number;
}

/** A log position that the primary is known to have reached at `atMs`. */
export interface PositionSample {
  readonly atMs: number;
  readonly position: Position;
}

/** What the owner knows about one database group. Immutable. */
export interface GroupView {
  /** Highest term that a primary has reported; 0 before the first report. */
  readonly term: number;
  /** The primary of `term`; undefined if none is known or it was removed. */
  readonly primary: string | undefined;
  /** The newest status of each database, by name. */
  readonly samples: ReadonlyMap<string, StatusSample>;
  /**
   * Position samples of the primary of `term`, ascending by time, over
   * `SAMPLE_HISTORY_MS`.
   */
  readonly marks: readonly PositionSample[];
}

/** Consistency and timing requirements of a read. */
export interface ReadNeed {
  /** Log position that the read must see; undefined while none is known. */
  readonly floor: Position | undefined;
  /** Accepted age of the data; replaces the floor if defined. */
  readonly maxStalenessMs: number | undefined;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Returns a database's current cost; a read goes to the cheapest. */
export type Cost = (database: string) => number;

/**
 * Decision for a read or write. `learnFloor`: the caller must determine a floor
 * first; `writeLost`: the log of a later term lacks the write at the floor, so
 * it is lost; `noDatabase`: no usable primary is known.
 */
export type ReadRoute =
  | {readonly kind: 'database'; readonly database: string}
  | {readonly kind: 'wait'; readonly untilMs: number}
  | {readonly kind: 'learnFloor'}
  | {readonly kind: 'writeLost'}
  | {readonly kind: 'noDatabase'};

/** Routing strategy for reads; the baseline sends all to the primary. */
export type RouteRead = (
  view: GroupView,
  need: ReadNeed,
  cost: Cost,
  nowMs: number,
) => ReadRoute;

const SAMPLE_HISTORY_MS = 120_000;
const SAMPLE_SPACING_MS = 100;
/** A database counts as live while its newest sample is at most this old. */
const SAMPLE_LIFETIME_MS = 2_000;
/** Longest age of a sample that counts towards the majority for writes. */
const QUORUM_LIFETIME_MS = 1_000;
/** Longest total wait for a replica before the primary serves the read. */
const CATCH_UP_WAIT_MS = 30;
const WAIT_STEP_MS = 10;

/** Returns a view without samples. */
export const emptyGroupView = (): GroupView => ({
  term: 0,
  primary: undefined,
  samples: new Map(),
  marks: [],
});

/** Adds a sample to a view, unless a newer one of the database is known. */
export function addStatusSample(
  view: GroupView,
  sample: StatusSample,
): GroupView {
  const {status, sentAtMs} = sample;
  const known = view.samples.get(status.database);
  if (known && known.sentAtMs > sentAtMs) return view;
  const samples = new Map(view.samples).set(status.database, sample);
  const next = {...view, samples};
  return status.role === 'primary' ? addPrimarySample(next, sample) : next;
}

function addPrimarySample(view: GroupView, sample: StatusSample): GroupView {
  const {status, sentAtMs} = sample;
  if (status.term < view.term) return view;
  const isNewTerm = status.term > view.term;
  const marks = addPositionSample(isNewTerm ? [] : view.marks, {
    atMs: sentAtMs,
    position: logEnd(status),
  });
  return {
    ...view,
    term: status.term,
    primary: status.database,
    marks,
  };
}

function addPositionSample(
  samples: readonly PositionSample[],
  sample: PositionSample,
): readonly PositionSample[] {
  const last = samples[samples.length - 1];
  if (last && sample.atMs - last.atMs < SAMPLE_SPACING_MS) return samples;
  const oldestMs = sample.atMs - SAMPLE_HISTORY_MS;
  const first = samples.findIndex(entry => entry.atMs >= oldestMs);
  return [...(first > 0 ? samples.slice(first) : samples), sample];
}

/** Removes a database from the view, for example when it leaves its group. */
export function removeDatabase(view: GroupView, database: string): GroupView {
  const samples = new Map(view.samples);
  samples.delete(database);
  return {
    ...view,
    samples,
    primary: view.primary === database ? undefined : view.primary,
  };
}

/**
 * Returns the position that data at most `maxStalenessMs` old must include:
 * that of the oldest sample within this age. A sample is dated with the time
 * when its probe was sent, so its position is at least as new as its time says.
 */
export function floorForStaleness(
  view: GroupView,
  maxStalenessMs: number,
  nowMs: number,
): Position | undefined {
  const limitMs = nowMs - maxStalenessMs;
  let low = 0;
  let high = view.marks.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (view.marks[middle].atMs < limitMs) low = middle + 1;
    else high = middle;
  }
  return view.marks[low]?.position;
}

const isLive = (sample: StatusSample, nowMs: number): boolean =>
  nowMs - sample.sentAtMs <= SAMPLE_LIFETIME_MS;

function cheapest(
  databases: readonly string[],
  cost: Cost,
): string | undefined {
  let best: string | undefined;
  for (const database of databases) {
    if (best === undefined || cost(database) < cost(best)) best = database;
  }
  return best;
}

/** Prefers the cheapest live replica whose log covers the read's floor. */
export const routeToReplicas: RouteRead = (view, need, cost, nowMs) => {
  const floor = floorOf(view, need, nowMs);
  if (!floor) return {kind: 'learnFloor'};
  if (isFloorLost(view, floor)) return {kind: 'writeLost'};
  const replicas = [...view.samples.values()]
    .filter(s => s.status.role === 'replica' && isLive(s, nowMs))
    .filter(s => coverage(s.status, floor) === Coverage.covered)
    .map(s => s.status.database);
  const replica = cheapest(replicas, cost);
  if (replica !== undefined) return {kind: 'database', database: replica};
  return waitOrRouteToPrimary(view, floor, need, nowMs);
};

function isFloorLost(view: GroupView, floor: Position): boolean {
  const primary = view.samples.get(view.primary ?? '');
  return primary ? coverage(primary.status, floor) === Coverage.lost : false;
}

/** Sends every read to the primary; a baseline for comparisons. */
export const routeToPrimary: RouteRead = view =>
  view.primary === undefined
    ? {kind: 'noDatabase'}
    : {kind: 'database', database: view.primary};

function floorOf(
  view: GroupView,
  need: ReadNeed,
  nowMs: number,
): Position | undefined {
  if (need.maxStalenessMs === undefined) return need.floor;
  return floorForStaleness(view, need.maxStalenessMs, nowMs) ?? need.floor;
}

function waitOrRouteToPrimary(
  view: GroupView,
  floor: Position,
  need: ReadNeed,
  nowMs: number,
): ReadRoute {
  const untilMs = nowMs + WAIT_STEP_MS;
  const canCatchUp = [...view.samples.values()]
    .filter(s => s.status.database !== view.primary && isLive(s, nowMs))
    .some(s => catchUpMs(view, s, floor, nowMs) <= CATCH_UP_WAIT_MS);
  const waitEndsMs = Math.min(
    need.arrivedAtMs + CATCH_UP_WAIT_MS,
    need.deadlineAtMs,
  );
  if (canCatchUp && untilMs <= waitEndsMs) return {kind: 'wait', untilMs};
  return routeToPrimaryFor(view, floor, nowMs);
}

/**
 * Returns the primary if its log can contain `floor`. A floor of the primary's
 * own term is always in its log, even if the last sample is older.
 */
function routeToPrimaryFor(
  view: GroupView,
  floor: Position,
  nowMs: number,
): ReadRoute {
  const sample = view.samples.get(view.primary ?? '');
  if (!sample || !isLive(sample, nowMs)) return {kind: 'noDatabase'};
  const relation = coverage(sample.status, floor);
  if (relation === Coverage.lost) return {kind: 'writeLost'};
  if (relation === Coverage.unknownTerm) return {kind: 'noDatabase'};
  return {kind: 'database', database: sample.status.database};
}

/**
 * Routes a write to the primary. A write is sent only if a majority has
 * recently reported the primary's term, so that callers of a partitioned
 * primary wait instead of receiving an unknown outcome.
 */
export function routeWrite(
  view: GroupView,
  floor: Position | undefined,
  groupSize: number,
  nowMs: number,
): ReadRoute {
  const agreeing = [...view.samples.values()].filter(
    s =>
      s.status.term === view.term && nowMs - s.sentAtMs <= QUORUM_LIFETIME_MS,
  );
  if (agreeing.length * 2 <= groupSize) return {kind: 'noDatabase'};
  return routeToPrimaryFor(view, floor ?? {term: 0, offset: 0}, nowMs);
}

/**
 * Estimates the time until a replica reaches `floor`: its replication lag minus
 * the time since the primary reached the floor.
 */
function catchUpMs(
  view: GroupView,
  sample: StatusSample,
  floor: Position,
  nowMs: number,
): number {
  if (coverage(sample.status, floor) !== Coverage.behind) return Infinity;
  const end = logEnd(sample.status);
  const passed = view.marks.find(m => comparePositions(m.position, end) > 0);
  const reached = view.marks.find(
    m => comparePositions(m.position, floor) >= 0,
  );
  if (!passed) return Infinity;
  const lagMs = sample.sentAtMs - passed.atMs;
  const sinceMs = nowMs - (reached?.atMs ?? nowMs);
  return Math.max(0, lagMs - sinceMs);
}
