/**
 * Estimates whether a replica holds the log position that a read requires by the
 * time that the read arrives there. A position that a replica has shown is only
 * a lower bound of what it holds now: it is assumed to replay the log as fast as
 * the primary writes it, unless its lag is known to grow. Bounds are taken so
 * that a replica is left out only if it lacks the position even then.
 */
import {comparePositions, Position} from '../position.js';
import {PositionSamples} from '../position_samples.js';
import {ShownPosition} from './database_reports.js';

/** Whether a replica holds a required position. */
export const Holding = {
  /** It has shown the position. */
  holds: 'holds',
  /** Its lag lets it hold the position when the read arrives. */
  expected: 'expected',
  unsure: 'unsure',
  /** It does not hold the position when the read arrives. */
  lacks: 'lacks',
} as const;
export type Holding = (typeof Holding)[keyof typeof Holding];

export interface ReplicaProgress {
  /** Newest position that the replica has shown. */
  readonly shown: ShownPosition | undefined;
  /** An older one, if there is one. */
  readonly earlier: ShownPosition | undefined;
  /** Positions of the primary over time. */
  readonly samples: PositionSamples;
}

/**
 * Time by which a sample may be newer than its date, which is when its request
 * was sent.
 */
const SAMPLE_CALL_MS = 100;
/** Lag from which the progress of a replica is compared with the primary's. */
const MIN_GROWING_LAG_MS = 500;
const MIN_PROGRESS_INTERVAL_MS = 200;

export function estimateHolding(
  {shown, earlier, samples}: ReplicaProgress,
  required: Position | undefined,
  arrivesAtMs: number,
): Holding {
  if (!required) return Holding.holds;
  if (!shown) return Holding.unsure;
  if (comparePositions(shown.position, required) >= 0) return Holding.holds;
  const isGrowing = isLagGrowing(shown, earlier, samples);
  const elapsedMs = isGrowing ? 0 : Math.max(0, arrivesAtMs - shown.atMs);
  const missing = samples.find(s => isBelow(shown.position, s.position));
  const before = samples.findLast(s => isBelow(s.position, required));
  if (missing && before) {
    const replayedToMs = missing.atMs + SAMPLE_CALL_MS + elapsedMs;
    if (replayedToMs < before.atMs) return Holding.lacks;
  }
  if (isGrowing) return Holding.unsure;
  const replayed = samples.findLast(s => !isBelow(shown.position, s.position));
  const holding = samples.find(s => !isBelow(s.position, required));
  if (!replayed || !holding) return Holding.unsure;
  const surelyElapsedMs = Math.max(0, arrivesAtMs - shown.latestAtMs);
  const surelyReplayedToMs = replayed.atMs + surelyElapsedMs;
  return surelyReplayedToMs >= holding.atMs + SAMPLE_CALL_MS
    ? Holding.expected
    : Holding.unsure;
}

/**
 * Whether a replica lags visibly and has replayed less than half of what the
 * primary wrote between two positions that the replica has shown.
 */
function isLagGrowing(
  shown: ShownPosition,
  earlier: ShownPosition | undefined,
  samples: PositionSamples,
): boolean {
  if (!earlier) return false;
  const elapsedMs = shown.atMs - earlier.latestAtMs;
  if (elapsedMs < MIN_PROGRESS_INTERVAL_MS) return false;
  const missing = samples.find(s => isBelow(shown.position, s.position));
  if (!missing || shown.atMs - missing.atMs < MIN_GROWING_LAG_MS) return false;
  if (comparePositions(shown.position, earlier.position) === 0) return true;
  const from = samples.find(s => isBelow(earlier.position, s.position));
  return from !== undefined && missing.atMs - from.atMs < elapsedMs / 2;
}

const isBelow = (a: Position, b: Position): boolean =>
  comparePositions(a, b) < 0;
