/**
 * The estimate of when waiting work starts and how long it runs, from the work
 * ahead of it and the state of the database. Pure functions.
 */
import {WorkTimes} from './work_times.js';

/** What the database runs at present. */
export interface DatabaseState {
  /** Number of statements that may be in flight at once. */
  readonly limit: number;
  readonly inFlight: number;
  /** Reads in flight that a replica could serve. */
  readonly replicaReads: number;
  /** Whether it is the primary, so that capacity may be reserved. */
  readonly isPrimary: boolean;
  /** How long the statements in flight have run so far. */
  readonly runningMs: readonly number[];
}

/** What the decision about one piece of work rests on. */
export interface Estimate {
  /** Pieces of work that run before it. */
  readonly queueAhead: number;
  /** Expected wait. */
  readonly waitMs: number;
  /** Expected time from sending to the answer: mean and high quantile. */
  readonly runMs: number;
  readonly highRunMs: number;
  /** Share of the capacity that higher priorities leave to it. */
  readonly share: number;
  readonly reservedSlots: number;
}

/** Work that is served before one piece of work, as time on a connection. */
export interface WorkAhead {
  readonly allMs: number;
  /** Part of it that consists of reads that a replica could serve. */
  readonly replicaReadsMs: number;
}

/** Capacity that one piece of work may use. */
export interface UsableCapacity {
  readonly share: number;
  readonly reservedSlots: number;
  readonly isReplicaRead: boolean;
}

/** Returns the work in flight that must end before one more can be sent. */
export const inFlightMs = (
  {inFlight, limit}: DatabaseState,
  times: WorkTimes,
): number => Math.max(0, inFlight + 1 - limit) * times.meanMs;

/**
 * With fewer statements in flight, one whose answer is lost would make the
 * database look slow until its time limit, and all other work be refused.
 */
const MIN_RUNNING = 3;

/**
 * Returns how much slower than usual the database is, by its newest answers and
 * before these show it: the median of the times that the work in flight has run
 * so far is below the mean of complete times while it is as fast as before.
 */
export function slowdownOf(state: DatabaseState, times: WorkTimes): number {
  if (state.runningMs.length < MIN_RUNNING) return times.recentSlowdown;
  const runningMs = [...state.runningMs].sort((a, b) => a - b);
  const medianMs = runningMs[Math.floor((runningMs.length - 1) / 2)] ?? 0;
  return Math.max(times.recentSlowdown, medianMs / times.meanMs);
}

/** Returns the expected wait behind other work. */
export function queueWaitMs(
  ahead: WorkAhead,
  {share, reservedSlots, isReplicaRead}: UsableCapacity,
  {limit, replicaReads}: DatabaseState,
  times: WorkTimes,
): number {
  const waitMs = ahead.allMs / Math.max(1, limit) / share;
  if (reservedSlots === 0 || !isReplicaRead) return waitMs;
  // The work of higher priorities that arrives meanwhile uses the reserve.
  const readLimit = Math.max(1, limit - reservedSlots);
  const fullMs = replicaReads >= readLimit ? times.meanMs : 0;
  return Math.max(waitMs, (ahead.replicaReadsMs + fullMs) / readLimit);
}

/**
 * Returns the expected wait for one of the customer's connections, behind the
 * customer's own work; 0 if the customer may use or open another one.
 */
export const connectionWaitMs = (
  blockedOnConnections: number | undefined,
  ownAhead: number,
  times: WorkTimes,
): number =>
  blockedOnConnections === undefined
    ? 0
    : ((ownAhead + 1) * times.meanMs) / Math.max(1, blockedOnConnections);
