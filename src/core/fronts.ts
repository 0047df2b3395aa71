/** The fronts that are registered, and which of them holds a database. */
import {Candidate, Place, rankByScore, rankOwners} from './placement.js';
import {Rate} from './rates.js';

/** One registered front. */
export interface FrontMember {
  readonly vm: string;
  readonly host: string;
  readonly port: number;
  readonly place: Place;
  /** A leaving front takes no new work. */
  readonly leaving: boolean;
}

/** Fronts by VM. Immutable. */
export type Fronts = ReadonlyMap<string, FrontMember>;

/**
 * Fronts in the order in which they should hold a database's connections: near
 * ones first, leaving ones last.
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

/** Tokens that a share should hold when it is full. */
const TOKENS_A_SHARE = 4;
const MIN_COMMITTEE = 1;
const MAX_COMMITTEE = 16;

/**
 * How many fronts accrue a rate: many, so that few are missed, but not so many
 * that a share never holds a whole token.
 */
export const rateShareHolderCount = ({burst}: Rate): number =>
  Math.min(
    MAX_COMMITTEE,
    Math.max(MIN_COMMITTEE, Math.floor(burst / TOKENS_A_SHARE)),
  );

/**
 * The fronts that accrue a customer's rate, in equal shares: the best by hash in
 * each region, then the best of the rest.
 */
export function rateShareHoldersOf(
  fronts: Fronts,
  customer: string,
  size: number,
): FrontMember[] {
  const staying = [...fronts.values()].filter(front => !front.leaving);
  const ranked = rankByScore(customer, staying);
  const regions = new Set<string>();
  const spread = ranked.filter(({place}) => {
    const isFirst = !regions.has(place.region);
    regions.add(place.region);
    return isFirst;
  });
  const rest = ranked.filter(front => !spread.includes(front));
  return [...spread, ...rest].slice(0, size);
}
