/**
 * Zones that operators are evacuating. An evacuated zone's databases get no new
 * work if others can serve it, and no work at all once the evacuation's
 * deadline has passed. The deadline is held on both clocks, as the monotonic
 * one stops while the VM is suspended and the time of day may be set back.
 */
import {ClockReading} from './freshness.js';

/** One evacuation of a zone, as a front knows it. */
export interface Evacuation {
  /** Store revision at which it began. */
  readonly revision: number;
  /** The time from which the zone's databases get no work, on each clock. */
  readonly deadline: ClockReading;
}

/** Time that work which was sent before the deadline may be in transit. */
const TRANSIT_MARGIN_MS = 500;

/** A deadline that has passed on both clocks. */
const PASSED: ClockReading = {steadyMs: -Infinity, wallMs: -Infinity};

/**
 * Returns the deadline of an evacuation that was not there yet at
 * `lastAbsentAt`. It is never later than `evacuateMs` after the evacuation was
 * written, less the margin. Without an earlier view the evacuation may have
 * begun at any time before, so its deadline has passed.
 */
function deadlineOf(
  lastAbsentAt: ClockReading | undefined,
  evacuateMs: number,
): ClockReading {
  if (!lastAbsentAt) return PASSED;
  const allowedMs = Math.max(0, evacuateMs - TRANSIT_MARGIN_MS);
  return {
    steadyMs: lastAbsentAt.steadyMs + allowedMs,
    wallMs: lastAbsentAt.wallMs + allowedMs,
  };
}

/** The evacuations in force, by zone. Immutable. */
export class Evacuations {
  static readonly none = new Evacuations(new Map());

  private constructor(readonly byZone: ReadonlyMap<string, Evacuation>) {}

  /** Adds an evacuation; one that is in force already keeps its deadline. */
  begin(
    zone: string,
    revision: number,
    lastAbsentAt: ClockReading | undefined,
    evacuateMs: number,
  ): Evacuations {
    if (this.byZone.has(zone)) return this;
    const deadline = deadlineOf(lastAbsentAt, evacuateMs);
    return new Evacuations(
      new Map(this.byZone).set(zone, {revision, deadline}),
    );
  }

  end(zone: string): Evacuations {
    if (!this.byZone.has(zone)) return this;
    const next = new Map(this.byZone);
    next.delete(zone);
    return new Evacuations(next);
  }

  get size(): number {
    return this.byZone.size;
  }

  /** Whether a zone is being evacuated, before or after the deadline. */
  isEvacuating(zone: string): boolean {
    return this.byZone.has(zone);
  }

  /** Whether the deadline of a zone's evacuation has passed on either clock. */
  isClosed(zone: string, now: ClockReading): boolean {
    const deadline = this.byZone.get(zone)?.deadline;
    return (
      deadline !== undefined &&
      (now.steadyMs >= deadline.steadyMs || now.wallMs >= deadline.wallMs)
    );
  }

  /** Returns the time until a zone closes; 0 if it has closed. */
  remainingMs(zone: string, now: ClockReading): number {
    const deadline = this.byZone.get(zone)?.deadline;
    if (!deadline) return Infinity;
    const steadyMs = deadline.steadyMs - now.steadyMs;
    return Math.max(0, Math.min(steadyMs, deadline.wallMs - now.wallMs));
  }
}

/** A database as far as the choice of what to evacuate needs it. */
interface Located {
  readonly zone: string;
  readonly leaving: boolean;
}

/** Whether a database could be primary outside the evacuated zones. */
export const isOutside = (
  evacuations: Evacuations,
  {zone, leaving}: Located,
): boolean => !leaving && !evacuations.isEvacuating(zone);

const FIRST_RETRY_MS = 400;
const MAX_RETRY_MS = 30_000;

/**
 * Returns how long to wait after a number of failed attempts to move a primary
 * out of its zone. Each attempt pauses the replicas, and until the deadline the
 * primary still acknowledges commits, which takes a replica that receives.
 */
export const evacuationRetryMs = (failures: number): number =>
  Math.min(MAX_RETRY_MS, FIRST_RETRY_MS * 2 ** Math.max(0, failures - 1));
