/**
 * The registered fronts, ranked as holders of a database's connections (other
 * fronts send their statements to the holder) and of shares of a customer's
 * rate (the fractions that each front accrues).
 */
import {Candidate, Place, rankByScore, rankOwners} from './placement.js';
import {Rate} from './rates.js';

/** A front is a process that serves callers on the platform, one per VM. */
export interface FrontMember {
  readonly vm: string;
  readonly host: string;
  readonly port: number;
  readonly place: Place;
  /** Whether it is being removed from service; it takes no new work then. */
  readonly leaving: boolean;
}

/** Fronts by VM. Immutable. */
export type Fronts = ReadonlyMap<string, FrontMember>;

/**
 * Ranks the fronts as holders of a database's connections: nearer ones first,
 * leaving ones last.
 */
export function rankHolders(
  fronts: Fronts,
  database: string,
  place: Place,
): FrontMember[] {
  const candidates: Candidate[] = [...fronts.values()].map(f => ({
    vm: f.vm,
    place: f.place,
  }));
  const ranked = rankOwners(database, place, candidates)
    .map(candidate => fronts.get(candidate.vm))
    .filter((front): front is FrontMember => front !== undefined);
  return [
    ...ranked.filter(front => !front.leaving),
    ...ranked.filter(front => front.leaving),
  ];
}

/** Number of tokens that a full share should hold. */
const TOKENS_PER_SHARE = 4;
const MIN_SHARE_HOLDERS = 1;
const MAX_SHARE_HOLDERS = 16;

/**
 * Returns how many fronts accrue shares of a rate: many, so that losing some
 * costs little of the rate, but few enough that a share can hold whole tokens.
 */
export const rateShareHolderCount = ({burst}: Rate): number =>
  Math.min(
    MAX_SHARE_HOLDERS,
    Math.max(MIN_SHARE_HOLDERS, Math.floor(burst / TOKENS_PER_SHARE)),
  );

/**
 * Returns the fronts that accrue a customer's rate in equal shares: the highest
 * ranked of each region, then the highest ranked of the others.
 */
export function rateShareHoldersOf(
  fronts: Fronts,
  customer: string,
  size: number,
): FrontMember[] {
  const staying = [...fronts.values()].filter(front => !front.leaving);
  const ranked = rankByScore(customer, staying);
  const regions = new Set<string>();
  const bestOfRegions = ranked.filter(({place}) => {
    const isFirst = !regions.has(place.region);
    regions.add(place.region);
    return isFirst;
  });
  const rest = ranked.filter(front => !bestOfRegions.includes(front));
  return [...bestOfRegions, ...rest].slice(0, size);
}
