/**
 * Places each group's connection pool on one VM: rendezvous hashing among the
 * VMs nearest to the group. VMs with differing membership views may disagree;
 * a request then takes a longer way but is still served.
 */
import {createHash} from 'node:crypto';

/** Where a VM or database is. */
export interface Place {
  readonly region: string;
  readonly zone: string;
}

/** A VM that may own pools. */
export interface Candidate {
  readonly vm: string;
  readonly place: Place;
}

const SCORE_BYTES = 6;

/** The rendezvous score of a VM for a key; the highest score wins. */
export function score(key: string, vm: string): number {
  return createHash('sha1')
    .update(`${key}\0${vm}`)
    .digest()
    .readUIntBE(0, SCORE_BYTES);
}

/** Distance classes between two places. */
export const Distance = {zone: 0, region: 1, far: 2} as const;
export type Distance = (typeof Distance)[keyof typeof Distance];

/** How far two places are apart. */
export function distance(a: Place, b: Place): Distance {
  if (a.region !== b.region) return Distance.far;
  return a.zone === b.zone ? Distance.zone : Distance.region;
}

/** Orders VMs by their claim to own `key`, which lives at `home`. */
export function rankOwners(
  key: string,
  home: Place,
  candidates: readonly Candidate[],
): Candidate[] {
  const scored = candidates.map(candidate => ({
    candidate,
    nearness: distance(candidate.place, home),
    score: score(key, candidate.vm),
  }));
  scored.sort((a, b) => a.nearness - b.nearness || b.score - a.score);
  return scored.map(entry => entry.candidate);
}

/** The owner of `key`, or undefined when there is no VM. */
export function ownerOf(
  key: string,
  home: Place,
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestNearness = Infinity;
  let bestScore = -1;
  for (const candidate of candidates) {
    const nearness = distance(candidate.place, home);
    if (nearness > bestNearness) continue;
    const points = score(key, candidate.vm);
    if (nearness < bestNearness || points > bestScore) {
      best = candidate;
      bestNearness = nearness;
      bestScore = points;
    }
  }
  return best;
}
