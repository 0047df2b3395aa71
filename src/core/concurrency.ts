/**
 * How many statements to keep in flight at one database. The limit follows
 * the queue that the database itself builds, estimated from how far latency
 * rises above its unloaded value, so that waiting happens in the fair queue
 * and not in the database.
 */

/** Adaptive limit for one database. Immutable. */
export interface Concurrency {
  readonly limit: number;
  /** Lowest latency seen lately: round trip plus service. */
  readonly floorMs: number;
  readonly latencyMs: number;
}

/** Bounds of the limit. */
export interface ConcurrencyBounds {
  readonly slots: number;
  readonly connections: number;
}

const SMOOTHING = 0.05;
/** Rate at which the floor forgets, so that it follows a slower workload. */
const FLOOR_DRIFT = 0.002;
const STEP = 0.25;

/** The starting limit: what the database runs at once. */
export const initialConcurrency = (bounds: ConcurrencyBounds): Concurrency => ({
  limit: Math.min(bounds.connections, bounds.slots + 1),
  floorMs: Infinity,
  latencyMs: 0,
});

/** Statements that seem to wait inside the database. */
export const estimatedQueueLength = (state: Concurrency): number =>
  state.latencyMs > 0 && Number.isFinite(state.floorMs)
    ? state.limit * Math.max(0, 1 - state.floorMs / state.latencyMs)
    : 0;

/** Adjusts the limit by one finished statement. */
export function observeLatency(
  state: Concurrency,
  bounds: ConcurrencyBounds,
  latencyMs: number,
  saturated: boolean,
): Concurrency {
  const smoothed =
    state.latencyMs === 0
      ? latencyMs
      : state.latencyMs + SMOOTHING * (latencyMs - state.latencyMs);
  const drifted = state.floorMs + FLOOR_DRIFT * (smoothed - state.floorMs);
  const floorMs = Math.min(
    Number.isFinite(drifted) ? drifted : latencyMs,
    latencyMs,
  );
  const next = {...state, latencyMs: smoothed, floorMs};
  const inside = estimatedQueueLength(next);
  let limit = state.limit;
  if (inside > 2 * bounds.slots) limit -= STEP;
  else if (saturated && inside < bounds.slots) limit += STEP;
  return {
    ...next,
    limit: Math.min(
      bounds.connections,
      Math.max(Math.min(bounds.slots + 1, bounds.connections), limit),
    ),
  };
}

/**
 * Expected time one statement occupies a place, for estimates of waiting.
 */
export const serviceTimeMs = (state: Concurrency): number => state.latencyMs;
