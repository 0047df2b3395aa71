/**
 * Freshness of a VM's copy of the configuration. Rights that can be revoked are
 * used only while the copy is known to be recent. Ages are measured on two
 * clocks, because the monotonic one stops while the VM is suspended and the
 * time of day may jump.
 */

/** Readings of the monotonic clock and of the time of day. */
export interface ClockReading {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/** The version that was current at `asOf`. Immutable. */
export interface ConfigFreshness {
  readonly version: number;
  readonly asOf: ClockReading;
}

/** Returns the age of a reading: the larger difference of the two clocks. */
export const ageMs = (from: ClockReading, now: ClockReading): number =>
  Math.max(now.steadyMs - from.steadyMs, now.wallMs - from.wallMs);

/** Whether the configuration was current at most `limitMs` ago. */
export const isFresh = (
  freshness: ConfigFreshness | undefined,
  now: ClockReading,
  limitMs: number,
): boolean => freshness !== undefined && ageMs(freshness.asOf, now) <= limitMs;

/**
 * Returns the received freshness if neither its version nor its time is older,
 * else the known one.
 */
export function newerFreshness(
  known: ConfigFreshness | undefined,
  received: ConfigFreshness,
): ConfigFreshness {
  if (!known) return received;
  const isNewer =
    received.version >= known.version &&
    received.asOf.steadyMs >= known.asOf.steadyMs;
  return isNewer ? received : known;
}

/**
 * Margin for the time between a request's arrival and its check. A suspended VM
 * needs no margin: a request is sent before it is checked, and `asOf` is the
 * time when the configuration was requested.
 */
const CHECK_MARGIN_MS = 200;

/** Returns the age of the configuration up to which keys are accepted. */
export const maxConfigAgeMs = (revokeMs: number): number =>
  Math.max(0, revokeMs - CHECK_MARGIN_MS);

/** Share of the time in which keys must be withdrawn. */
const COMMIT_VIEW_SHARE = 0.6;

/**
 * Returns the age of the view up to which commits are acknowledged. A view is
 * renewed within 2 s while the store answers; a change of primary waits this long
 * for a front that does not.
 */
export const maxCommitViewAgeMs = (revokeMs: number): number =>
  revokeMs * COMMIT_VIEW_SHARE;
