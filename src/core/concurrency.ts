/**
 * Adaptive limit of the statements in flight at one database. The queue inside
 * the database is estimated from the rise of the latency above its unloaded
 * value. The limit keeps that queue short, so that statements wait in the fair
 * queue instead of in the database.
 */

/** State of the limit of one database. Immutable. */
export interface Concurrency {
  readonly limit: number;
  /** Lowest recent latency: round trip plus service time. */
  readonly baseLatencyMs: number;
  readonly latencyMs: number;
}

/** The limit stays between `slots` + 1 and `connections`. */
export interface ConcurrencyBounds {
  readonly slots: number;
  readonly connections: number;
}

const LATENCY_SMOOTHING = 0.05;
/** Rate at which the base latency rises, to follow a slower workload. */
const BASE_LATENCY_DRIFT = 0.002;
const LIMIT_STEP = 0.25;

/** Returns the initial limit: one more than the database's slots. */
export const initialConcurrency = (bounds: ConcurrencyBounds): Concurrency => ({
  limit: Math.min(bounds.connections, bounds.slots + 1),
  baseLatencyMs: Infinity,
  latencyMs: 0,
});

/** Estimates how many statements wait inside the database. */
export const estimatedQueueLength = (state: Concurrency): number =>
  state.latencyMs > 0 && Number.isFinite(state.baseLatencyMs)
    ? state.limit * Math.max(0, 1 - state.baseLatencyMs / state.latencyMs)
    : 0;

/**
 * Adjusts the limit to the latency of a finished statement; it grows only if
 * `isSaturated`.
 */
export function observeLatency(
  state: Concurrency,
  bounds: ConcurrencyBounds,
  latencyMs: number,
  isSaturated: boolean,
): Concurrency {
  const smoothed =
    state.latencyMs === 0
      ? latencyMs
      : state.latencyMs + LATENCY_SMOOTHING * (latencyMs - state.latencyMs);
  const drifted =
    state.baseLatencyMs + BASE_LATENCY_DRIFT * (smoothed - state.baseLatencyMs);
  const baseLatencyMs = Math.min(
    Number.isFinite(drifted) ? drifted : latencyMs,
    latencyMs,
  );
  const next = {...state, latencyMs: smoothed, baseLatencyMs};
  const queued = estimatedQueueLength(next);
  let limit = state.limit;
  if (queued > 2 * bounds.slots) limit -= LIMIT_STEP;
  else if (isSaturated && queued < bounds.slots) limit += LIMIT_STEP;
  return {
    ...next,
    limit: Math.min(
      bounds.connections,
      Math.max(Math.min(bounds.slots + 1, bounds.connections), limit),
    ),
  };
}

/** Returns the expected time that a statement is in flight. */
export const serviceTimeMs = (state: Concurrency): number => state.latencyMs;
