/**
 * Position samples: log positions that primaries are known to have reached, by
 * time. A sample is dated with the time when its request was sent; the
 * primary's log contained every commit that was acknowledged before that time.
 */
import {comparePositions, Position} from './position.js';
import {PositionSample} from './routing.js';

const HISTORY_MS = 10_000;
const SPACING_MS = 40;

/** Samples of one service, ascending by time. Immutable. */
export type PositionSamples = readonly PositionSample[];

/** Inserts a sample by time, unless one within `SPACING_MS` exists. */
export function addPositionSample(
  samples: PositionSamples,
  sample: PositionSample,
): PositionSamples {
  let index = samples.length;
  while (index > 0 && samples[index - 1].atMs > sample.atMs) index--;
  const isClose = (other: PositionSample | undefined): boolean =>
    other !== undefined && Math.abs(other.atMs - sample.atMs) < SPACING_MS;
  if (isClose(samples[index - 1]) || isClose(samples[index])) return samples;
  const newestMs =
    samples.length > 0 ? samples[samples.length - 1].atMs : sample.atMs;
  const kept = samples
    .slice(0, index)
    .filter(s => s.atMs >= newestMs - HISTORY_MS);
  return [...kept, sample, ...samples.slice(index)];
}

/** A sample as sent to another VM: an age instead of a clock time. */
export type SampleByAge = readonly [
  ageMs: number,
  term: number,
  offset: number,
];

/** Minimum interval between samples that are sent to another VM. */
const SENT_SAMPLE_SPACING_MS = 150;

/** Returns samples younger than `sinceAgeMs`, thinned out, newest first. */
export function toSamplesByAge(
  samples: PositionSamples,
  sinceAgeMs: number,
  nowMs: number,
): SampleByAge[] {
  const out: SampleByAge[] = [];
  let lastMs = Infinity;
  for (const {atMs, position} of [...samples].reverse()) {
    if (nowMs - atMs >= sinceAgeMs) break;
    if (lastMs - atMs < SENT_SAMPLE_SPACING_MS) continue;
    lastMs = atMs;
    out.push([Math.ceil(nowMs - atMs), position.term, position.offset]);
  }
  return out;
}

/**
 * Converts another VM's samples to this VM's clock. Their ages were computed
 * after the request had been sent, so dating them from the request makes them
 * appear older, never newer.
 */
export const fromSamplesByAge = (
  ages: readonly SampleByAge[],
  requestedAtMs: number,
): PositionSample[] =>
  ages.map(([ageMs, term, offset]) => ({
    atMs: requestedAtMs - ageMs,
    position: {term, offset},
  }));

/**
 * Returns the lowest position sampled at or after `sinceMs`, for use as a
 * read's floor: the position that its database must have reached.
 */
export function floorSince(
  samples: PositionSamples,
  sinceMs: number,
): Position | undefined {
  let floor: Position | undefined;
  for (const sample of samples) {
    if (sample.atMs < sinceMs) continue;
    const isLower = !floor || comparePositions(sample.position, floor) < 0;
    if (isLower) floor = sample.position;
  }
  return floor;
}

/** Returns the later of two positions. */
export const laterPosition = (
  a: Position | undefined,
  b: Position | undefined,
): Position | undefined => {
  if (!a || !b) return a ?? b;
  return comparePositions(a, b) >= 0 ? a : b;
};
