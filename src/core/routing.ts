/**
 * Chooses the database for a request from what the pool owner has sampled:
 * the newest status of each database and the primary's recent history.
 */
import {
  comparePositions,
  coverage,
  Coverage,
  DatabaseStatus,
  logEnd,
  Position,
} from './position.js';

/** One probe answer. */
export interface StatusSample {
  readonly status: DatabaseStatus;
  /** When the probe was sent: the status is at least this new. */
  readonly sentAtMs: number;
}

/** The primary's log end at a moment. */
export interface PositionSample {
  readonly atMs: number;
  readonly position: Position;
}

/** What the owner knows about one group. Immutable. */
export interface GroupView {
  readonly term: number;
  readonly primary: string | undefined;
  readonly samples: ReadonlyMap<string, StatusSample>;
  /** Ascending by time, bounded by `MARK_HISTORY_MS`. */
  readonly marks: readonly PositionSample[];
}

/** What a read asks for. */
export interface ReadNeed {
  /** Position to be seen; undefined when the session has none yet. */
  readonly floor: Position | undefined;
  /** Age of data accepted instead of the floor. */
  readonly maxStalenessMs: number | undefined;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
}

/** Cost of using one database now, lower is better. */
export type Cost = (database: string) => number;

/** Where a read goes. */
export type ReadRoute =
  | {readonly kind: 'database'; readonly database: string}
  | {readonly kind: 'wait'; readonly untilMs: number}
  | {readonly kind: 'learnFloor'}
  | {readonly kind: 'writeLost'}
  | {readonly kind: 'noDatabase'};

/** Chooses a read's route. */
export type RouteRead = (
  view: GroupView,
  need: ReadNeed,
  cost: Cost,
  nowMs: number,
) => ReadRoute;

const MARK_HISTORY_MS = 120_000;
const MARK_SPACING_MS = 100;
/** A sample older than this no longer counts as a live database. */
const SAMPLE_LIFETIME_MS = 2_000;
/** Age up to which term reports count towards a majority for sending. */
const QUORUM_LIFETIME_MS = 1_000;
/** Longest wait for a replica, in all, before the primary serves the read. */
const CATCH_UP_WAIT_MS = 30;
const WAIT_STEP_MS = 10;

/** A view that knows nothing. */
export const emptyGroupView = (): GroupView => ({
  term: 0,
  primary: undefined,
  samples: new Map(),
  marks: [],
});

/** Adds a probe answer to a view. */
export function addStatusSample(
  view: GroupView,
  sample: StatusSample,
): GroupView {
  const {status, sentAtMs} = sample;
  const known = view.samples.get(status.database);
  if (known && known.sentAtMs > sentAtMs) return view;
  const samples = new Map(view.samples).set(status.database, sample);
  const next = {...view, samples};
  return status.role === 'primary' ? observePrimary(next, sample) : next;
}

function observePrimary(view: GroupView, sample: StatusSample): GroupView {
  const {status, sentAtMs} = sample;
  if (status.term < view.term) return view;
  const moved = status.term > view.term;
  const marks = addMark(moved ? [] : view.marks, {
    atMs: sentAtMs,
    position: logEnd(status),
  });
  return {...view, term: status.term, primary: status.database, marks};
}

function addMark(
  marks: readonly PositionSample[],
  mark: PositionSample,
): readonly PositionSample[] {
  const last = marks[marks.length - 1];
  if (last && mark.atMs - last.atMs < MARK_SPACING_MS) return marks;
  const oldestMs = mark.atMs - MARK_HISTORY_MS;
  const first = marks.findIndex(entry => entry.atMs >= oldestMs);
  return [...(first > 0 ? marks.slice(first) : marks), mark];
}

/** Drops a database from the view, as when it is leaving. */
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
 * The position that data of the stated age must include: the newest mark taken
 * no later than `maxStalenessMs` ago. A mark's time is when its probe was sent,
 * so the position read is at least as new.
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

/** Serves reads from replicas where their position allows it. */
export const routeToReplicas: RouteRead = (view, need, cost, nowMs) => {
  const floor = floorOf(view, need, nowMs);
  if (!floor) return {kind: 'learnFloor'};
  if (isLost(view, floor)) return {kind: 'writeLost'};
  const replicas = [...view.samples.values()]
    .filter(s => s.status.role === 'replica' && isLive(s, nowMs))
    .filter(s => coverage(s.status, floor) === Coverage.covered)
    .map(s => s.status.database);
  const replica = cheapest(replicas, cost);
  if (replica !== undefined) return {kind: 'database', database: replica};
  return waitOrPrimary(view, floor, need, nowMs);
};

function isLost(view: GroupView, floor: Position): boolean {
  const primary = view.samples.get(view.primary ?? '');
  return primary ? coverage(primary.status, floor) === Coverage.lost : false;
}

/** Sends every read to the primary: the baseline. */
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

function waitOrPrimary(
  view: GroupView,
  floor: Position,
  need: ReadNeed,
  nowMs: number,
): ReadRoute {
  const untilMs = nowMs + WAIT_STEP_MS;
  const predicted = [...view.samples.values()]
    .filter(s => s.status.database !== view.primary && isLive(s, nowMs))
    .some(s => catchUpMs(view, s, floor, nowMs) <= CATCH_UP_WAIT_MS);
  const waitEndsMs = Math.min(
    need.arrivedAtMs + CATCH_UP_WAIT_MS,
    need.deadlineAtMs,
  );
  if (predicted && untilMs <= waitEndsMs) return {kind: 'wait', untilMs};
  return primaryFor(view, floor, nowMs);
}

/**
 * The primary, when its log can hold `floor`. A floor of the primary's own
 * term is always in its log, even when the last sample is older.
 */
function primaryFor(
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
 * Chooses the primary for a write. A write is sent only while a majority has
 * lately reported the primary's term, so that a cut-off primary's callers
 * wait instead of getting an unknown outcome.
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
  return primaryFor(view, floor ?? {term: 0, offset: 0}, nowMs);
}

/**
 * Time until a replica is expected to hold `floor`: its present delay behind
 * the primary, less the time since the primary reached the floor.
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
