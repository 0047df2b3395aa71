/** Decides how long a statement waits until its service has a primary. */

/** Timing of a statement that only a primary can run. */
export interface LeaderWait {
  /** When the search for a database began. */
  readonly startedMs: number;
  readonly deadlineMs: number;
  /** Latency objective of the caller. */
  readonly objectiveMs: number;
  /** When the primary was found to be unreachable; undefined if it was not. */
  readonly lostAtMs: number | undefined;
}

/** Expected time from detecting a lost primary until its successor leads. */
export const EXPECTED_TAKEOVER_MS = 1_500;
/** Minimum time to serve a statement. */
export const MIN_BUDGET_MS = 10;
/** Fraction of the objective to wait if no takeover is expected in time. */
const SHORT_WAIT_FRACTION = 0.2;

/**
 * Returns until when to wait. A statement waits for a takeover that should end
 * before its deadline; otherwise it fails early so that the caller can retry.
 */
export function leaderWaitDeadlineMs(wait: LeaderWait): number {
  const {startedMs, deadlineMs, objectiveMs, lostAtMs} = wait;
  const lastMs = deadlineMs - MIN_BUDGET_MS;
  const shortMs = Math.min(
    lastMs,
    startedMs + objectiveMs * SHORT_WAIT_FRACTION,
  );
  if (lostAtMs === undefined) return shortMs;
  const takeoverEndMs = lostAtMs + EXPECTED_TAKEOVER_MS;
  return takeoverEndMs <= lastMs ? Math.max(shortMs, takeoverEndMs) : shortMs;
}
