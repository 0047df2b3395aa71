/**
 * Positions that leaders are known to have reached, by time. A mark's time is
 * when its request was sent: the leader's log held at least every commit that
 * was acknowledged before that moment.
 */
import {comparePositions, Position} from './position.js';
import {PrimaryMark} from './routing.js';

const HISTORY_MS = 10_000;
const SPACING_MS = 40;

/** Marks of one service, ascending by time. Immutable. */
export type Marks = readonly PrimaryMark[];

/** Adds a mark in its order of time; marks close together keep the older. */
export function addMark(marks: Marks, mark: PrimaryMark): Marks {
  const last = marks[marks.length - 1];
  if (last && mark.atMs - last.atMs < SPACING_MS) return marks;
  const oldestMs = mark.atMs - HISTORY_MS;
  const kept = marks.length > 0 && marks[0].atMs < oldestMs;
  return [...(kept ? marks.filter(m => m.atMs >= oldestMs) : marks), mark];
}

/** The oldest mark taken at or after `sinceMs`: the least that must be seen. */
export function floorSince(
  marks: Marks,
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
