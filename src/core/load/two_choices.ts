/** Chooses by load so that fronts with the same view do not choose alike. */

/** Returns a number from 0 to 1, 1 excluded. */
export type RandomSource = () => number;

/** Difference in cost below which candidates count as equally loaded. */
const SIMILAR_COST_MS = 5;

/** Draws two candidates and returns the less loaded one. */
export function chooseLessLoaded<T extends {readonly cost: number}>(
  candidates: readonly T[],
  random: RandomSource,
): T | undefined {
  if (candidates.length < 2) return candidates[0];
  const first = Math.floor(random() * candidates.length);
  const step = 1 + Math.floor(random() * (candidates.length - 1));
  const a = candidates[first];
  const b = candidates[(first + step) % candidates.length];
  return a.cost - b.cost > SIMILAR_COST_MS ? b : a;
}
