/**
 * Places each group's connection pool on one VM: rendezvous hashing among the
 * VMs nearest to the group. VMs with differing membership views may disagree;
 * a request then takes a longer way but is still served.
 */
import murmur from 'imurmurhash';

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

const seedOf = (key: string): number => murmur(key).result();

/** The rendezvous score of a VM for a key; the highest score wins. */
export const rendezvousScore = (
  key: string,
  vm: string,
  seed = seedOf(key),
): number => murmur(vm, seed).result();

interface Scored {
  readonly vm: string;
  readonly points: number;
}

/** Highest score first; equal scores by name, so that all VMs rank alike. */
const byScore = (a: Scored, b: Scored): number =>
  b.points - a.points || (a.vm < b.vm ? -1 : 1);

/** Orders VMs by their score for a key, best first. */
export function rankByScore<T extends {readonly vm: string}>(
  key: string,
  members: readonly T[],
): T[] {
  const seed = seedOf(key);
  const scored = members.map(member => ({
    member,
    vm: member.vm,
    points: rendezvousScore(key, member.vm, seed),
  }));
  return scored.sort(byScore).map(entry => entry.member);
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
    vm: candidate.vm,
    nearness: distance(candidate.place, home),
    points: rendezvousScore(key, candidate.vm),
  }));
  scored.sort((a, b) => a.nearness - b.nearness || byScore(a, b));
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
    const points = rendezvousScore(key, candidate.vm);
    const isEqual = points === bestScore && nearness === bestNearness;
    const isBetter = isEqual
      ? best !== undefined && candidate.vm < best.vm
      : nearness < bestNearness || points > bestScore;
    if (isBetter) {
      best = candidate;
      bestNearness = nearness;
      bestScore = points;
    }
  }
  return best;
}
