/** The fronts that are registered, and which of them holds a database. */
import {Candidate, Place, rankOwners} from './placement.js';

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
export function holdersOf(
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
