/**
 * Proof that the configuration held here is recent. A right that can be
 * withdrawn is used only while the proof is young enough. Ages are taken on two
 * clocks, because one stops while the VM is suspended and the other may jump.
 */

/** Readings of the steady clock and of the time of day. */
export interface ClockReading {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/** The moment as of which the configuration is known. Immutable. */
export interface ConfigFreshness {
  readonly version: number;
  readonly asOf: ClockReading;
}

/** Age of a reading: the larger difference of both clocks. */
export const ageMs = (from: ClockReading, now: ClockReading): number =>
  Math.max(now.steadyMs - from.steadyMs, now.wallMs - from.wallMs);

/** Whether a proof is at most `limitMs` old. */
export const isFresh = (
  proof: ConfigFreshness | undefined,
  now: ClockReading,
  limitMs: number,
): boolean => proof !== undefined && ageMs(proof.asOf, now) <= limitMs;

/** Takes a newer proof; an older one changes nothing. */
export function newerFreshness(
  known: ConfigFreshness | undefined,
  proof: ConfigFreshness,
): ConfigFreshness {
  if (!known) return proof;
  const newer =
    proof.version >= known.version &&
    proof.asOf.steadyMs >= known.asOf.steadyMs;
  return newer ? proof : known;
}

/**
 * Margin for what lies between the check of a request and its arrival here.
 * Freezes need none: a request is sent before it is checked, and a proof is
 * dated from when its call was sent.
 */
const MARGIN_MS = 200;

/** Longest age of a proof that still allows keyed requests. */
export const maxConfigAgeMs = (revokeMs: number): number =>
  Math.max(0, revokeMs - MARGIN_MS);
