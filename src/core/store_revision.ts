/**
 * Revisions of a store that may come back from an older copy of itself. Each
 * restore begins a new era, in which the store gives out again the revisions
 * that followed the copy. A qualified revision combines the era with the
 * store's own revision in one number, so that it rises across restores too and
 * never names two states.
 */

/** Revisions of one era. */
const REVISIONS_PER_ERA = 2 ** 40;
/** Highest era whose qualified revisions are exact. */
const MAX_ERA = 8_191;

/** Whether a value is an era that a store can have. */
export const isEra = (value: unknown): value is number =>
  Number.isInteger(value) && Number(value) >= 0 && Number(value) <= MAX_ERA;

/** Returns the qualified form of a revision of an era. */
export const qualifyRevision = (era: number, revision: number): number =>
  era * REVISIONS_PER_ERA + revision;

/** Returns the era of a qualified revision. */
export const eraOf = (qualified: number): number =>
  Math.floor(qualified / REVISIONS_PER_ERA);

/** Returns the store's own revision. */
export const revisionInEra = (qualified: number): number =>
  qualified % REVISIONS_PER_ERA;

/**
 * Whether an item that is listed at `listed` is the one that was written at
 * `written`. In a later era, it is if the copy that the store was restored from
 * includes the write; `listed` and `written` are of the same key.
 */
export const isSameWrite = (listed: number, written: number): boolean =>
  revisionInEra(listed) === revisionInEra(written);
