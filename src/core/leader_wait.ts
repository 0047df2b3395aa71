/** How long a statement waits for a service to have a primary. */

/** A statement that only a primary can run. */
export interface LeaderWait {
  /** When it began to look for a database. */
  readonly startedMs: number;
  readonly deadlineMs: number;
  /** Time in which the caller hopes for an answer. */
  readonly objectiveMs: number;
  /** When the primary was found not to answer; undefined: it was not. */
  readonly lostAtMs: number | undefined;
}

/** Time from the loss of a primary, once known, until its successor leads. */
export const EXPECTED_TAKEOVER_MS = 1_500;
/** Least time in which a statement can be served. */
export const MIN_BUDGET_MS = 10;
/** Part of the objective for which a statement waits without such a reason. */
const SHORT_WAIT_PART = 0.2;

/**
 * Until when to wait. A change of primary that should be over before the
 * deadline is waited for; else the caller is told soon to come back.
 */
export function leaderWaitDeadlineMs(wait: LeaderWait): number {
  const {startedMs, deadlineMs, objectiveMs, lostAtMs} = wait;
  const lastMs = deadlineMs - MIN_BUDGET_MS;
  const shortMs = Math.min(lastMs, startedMs + objectiveMs * SHORT_WAIT_PART);
  if (lostAtMs === undefined) return shortMs;
  const overMs = lostAtMs + EXPECTED_TAKEOVER_MS;
  return overMs <= lastMs ? Math.max(shortMs, overMs) : shortMs;
}
