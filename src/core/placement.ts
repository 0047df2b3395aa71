/**
 * Assigns each database group's pools to one VM by rendezvous hashing among the
 * VMs nearest to the group. VMs with different membership views may disagree; a
 * request then takes an additional hop but is still served.
 */
import murmur from 'imurmurhash';

/** Location of a VM or a database; a zone is an availability zone. */
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

/** Returns the rendezvous score of a VM for a key; the highest score wins. */
export const rendezvousScore = (
  key: string,
  vm: string,
  seed = seedOf(key),
): number => murmur(vm, seed).result();

interface Scored {
  readonly vm: string;
  readonly score: number;
}

/** Orders by descending score, then by name, so that all VMs rank equally. */
const byScore = (a: Scored, b: Scored): number =>
  b.score - a.score || (a.vm < b.vm ? -1 : 1);

/** Ranks VMs by their score for a key, best first. */
export function rankByScore<T extends {readonly vm: string}>(
  key: string,
  members: readonly T[],
): T[] {
  const seed = seedOf(key);
  const scored = members.map(member => ({
    member,
    vm: member.vm,
    score: rendezvousScore(key, member.vm, seed),
  }));
  return scored.sort(byScore).map(entry => entry.member);
}

/** Distance classes: same zone, same region, different regions. */
export const Distance = {zone: 0, region: 1, far: 2} as const;
export type Distance = (typeof Distance)[keyof typeof Distance];

/** Returns the distance class of two places. */
export function distance(a: Place, b: Place): Distance {
  if (a.region !== b.region) return Distance.far;
  return a.zone === b.zone ? Distance.zone : Distance.region;
}

/** Ranks VMs as owners of `key`: by distance to `home`, then by score. */
export function rankOwners(
  key: string,
  home: Place,
  candidates: readonly Candidate[],
): Candidate[] {
  const scored = candidates.map(candidate => ({
    candidate,
    vm: candidate.vm,
    homeDistance: distance(candidate.place, home),
    score: rendezvousScore(key, candidate.vm),
  }));
  scored.sort((a, b) => a.homeDistance - b.homeDistance || byScore(a, b));
  return scored.map(entry => entry.candidate);
}

/** Returns the best-ranked owner of `key`; undefined without candidates. */
export function ownerOf(
  key: string,
  home: Place,
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestDistance = Infinity;
  let bestScore = -1;
  for (const candidate of candidates) {
    const homeDistance = distance(candidate.place, home);
    if (homeDistance > bestDistance) continue;
    const score = rendezvousScore(key, candidate.vm);
    const isEqual = score === bestScore && homeDistance === bestDistance;
    const isBetter = isEqual
      ? best !== undefined && candidate.vm < best.vm
      : homeDistance < bestDistance || score > bestScore;
    if (isBetter) {
      best = candidate;
      bestDistance = homeDistance;
      bestScore = score;
    }
  }
  return best;
}
