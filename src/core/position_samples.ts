/**
 * Positions that leaders are known to have reached, by time. A mark's time is
 * when its request was sent: the leader's log held at least every commit that
 * was acknowledged before that moment.
 */
import {comparePositions, Position} from './position.js';
import {PositionSample} from './routing.js';

const HISTORY_MS = 10_000;
const SPACING_MS = 40;

/** Marks of one service, ascending by time. Immutable. */
export type PositionSamples = readonly PositionSample[];

/** Adds a mark in its order of time, unless another is close to it. */
export function addPositionSample(
  marks: PositionSamples,
  mark: PositionSample,
): PositionSamples {
  let at = marks.length;
  while (at > 0 && marks[at - 1].atMs > mark.atMs) at--;
  const near = (other: PositionSample | undefined): boolean =>
    other !== undefined && Math.abs(other.atMs - mark.atMs) < SPACING_MS;
  if (near(marks[at - 1]) || near(marks[at])) return marks;
  const oldestMs = marks.length > 0 ? marks[marks.length - 1].atMs : mark.atMs;
  const kept = marks.slice(0, at).filter(m => m.atMs >= oldestMs - HISTORY_MS);
  return [...kept, mark, ...marks.slice(at)];
}

/** A mark as sent to another VM, by age instead of by clock. */
export type SampleByAge = readonly [
  ageMs: number,
  term: number,
  offset: number,
];

/** Distance in time of marks that are sent to another VM. */
const SENT_SPACING_MS = 150;

/** Marks younger than `sinceAgeMs`, by age, the newest and some before it. */
export function toSamplesByAge(
  marks: PositionSamples,
  sinceAgeMs: number,
  nowMs: number,
): SampleByAge[] {
  const out: SampleByAge[] = [];
  let lastMs = Infinity;
  for (const {atMs, position} of [...marks].reverse()) {
    if (nowMs - atMs >= sinceAgeMs) break;
    if (lastMs - atMs < SENT_SPACING_MS) continue;
    lastMs = atMs;
    out.push([Math.ceil(nowMs - atMs), position.term, position.offset]);
  }
  return out;
}

/**
 * Marks of another VM on this VM's clock. Their ages held when the other VM
 * answered, which was after the question: dating them from the question makes
 * them older than they are, never younger.
 */
export const fromSamplesByAge = (
  ages: readonly SampleByAge[],
  askedAtMs: number,
): PositionSample[] =>
  ages.map(([ageMs, term, offset]) => ({
    atMs: askedAtMs - ageMs,
    position: {term, offset},
  }));

/** The oldest mark taken at or after `sinceMs`: the least that must be seen. */
export function floorSince(
  marks: PositionSamples,
  sinceMs: number,
): Position | undefined {
  let floor: Position | undefined;
  for (const mark of marks) {
    if (mark.atMs < sinceMs) continue;
    const lower = !floor || comparePositions(mark.position, floor) < 0;
    if (lower) floor = mark.position;
  }
  return floor;
}

/** The later of two positions. */
export const laterPosition = (
  a: Position | undefined,
  b: Position | undefined,
): Position | undefined => {
  if (!a || !b) return a ?? b;
  return comparePositions(a, b) >= 0 ? a : b;
};
