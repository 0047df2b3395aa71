/**
 * Relays the store's changes between fronts, so that few fronts watch the
 * store: selects the front to request changes from, keeps the history that it
 * serves, and converts the age of its answer to the requester's clocks.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {StoreEvent} from '../store/key_values.js';
import {ClockReading} from './freshness.js';
import {FrontMember, Fronts} from './fronts.js';
import {rankByScore} from './placement.js';

/**
 * A change as relayed. `packed`: its value is compressed. `changed`: its value
 * is too large to relay and must be read from the store.
 */
export type RelayedEvent =
  | StoreEvent
  | {
      readonly kind: 'packed';
      readonly key: string;
      readonly revision: number;
      readonly value: Buffer;
    }
  | {readonly kind: 'changed'; readonly key: string; readonly revision: number};

/** Number of fronts per region that may watch the store for the others. */
const CANDIDATES_PER_REGION = 2;
const RANKING_KEY = 'changes';

const candidateCache = new WeakMap<
  Fronts,
  Map<string, readonly FrontMember[]>
>();

/**
 * Returns the region's relay candidates, best first; cached by set of fronts.
 */
function relayCandidates(
  fronts: Fronts,
  region: string,
): readonly FrontMember[] {
  const byRegion = candidateCache.get(fronts) ?? new Map();
  candidateCache.set(fronts, byRegion);
  const cached = byRegion.get(region);
  if (cached) return cached;
  const staying = [...fronts.values()].filter(
    front => !front.leaving && front.place.region === region,
  );
  const candidates = rankByScore(RANKING_KEY, staying).slice(
    0,
    CANDIDATES_PER_REGION,
  );
  byRegion.set(region, candidates);
  return candidates;
}

/**
 * Returns the front of this region to request changes from; undefined if this
 * front should watch the store itself. All fronts rank candidates equally, so
 * one front per region watches the store as long as the others can use it.
 */
export function relayFor(
  fronts: Fronts,
  self: string,
  region: string,
  isUsable: (vm: string) => boolean,
): string | undefined {
  const candidates = relayCandidates(fronts, region);
  const first = candidates.find(({vm}) => vm === self || isUsable(vm));
  return first?.vm === self ? undefined : first?.vm;
}

/** Recent changes that are served to requesters, oldest first. Immutable. */
export interface ChangeHistory {
  /** All changes after this revision are kept. */
  readonly since: number;
  readonly events: readonly RelayedEvent[];
}

export const emptyChangeHistory = (since: number): ChangeHistory => ({
  since,
  events: [],
});

const MAX_EVENTS = 1_000;
/** Longest relayed value; the bandwidth between fronts may be low. */
const MAX_RELAYED_BYTES = 16_384;
/** Values up to this length are not compressed. */
const MAX_UNCOMPRESSED_BYTES = 1_024;
/** Longest value that the store accepts; bounds decompression. */
const MAX_VALUE_BYTES = 1_048_576;

function toRelayed(event: RelayedEvent): RelayedEvent {
  if (event.kind !== 'put' || event.value.length <= MAX_UNCOMPRESSED_BYTES) {
    return event;
  }
  const {key, revision} = event;
  const value = deflateRawSync(event.value);
  return value.length > MAX_RELAYED_BYTES
    ? {kind: 'changed', key, revision}
    : {kind: 'packed', key, revision, value};
}

/** Decompresses the value of a `packed` event; throws on invalid data. */
export const unpackValue = (value: Uint8Array): Buffer =>
  inflateRawSync(value, {maxOutputLength: MAX_VALUE_BYTES});

/** Adds changes; drops the oldest ones beyond `MAX_EVENTS`. */
export function addChanges(
  history: ChangeHistory,
  events: readonly RelayedEvent[],
): ChangeHistory {
  if (events.length === 0) return history;
  const all = [...history.events, ...events.map(toRelayed)];
  const dropped = all.slice(0, Math.max(0, all.length - MAX_EVENTS));
  const since = dropped[dropped.length - 1]?.revision ?? history.since;
  return {since, events: all.slice(dropped.length)};
}

/** Returns the changes after a revision; undefined if some were dropped. */
export const changesAfter = (
  history: ChangeHistory,
  after: number,
): readonly RelayedEvent[] | undefined =>
  after < history.since
    ? undefined
    : history.events.filter(event => event.revision > after);

/**
 * Returns by how much `asOf` is later than the arrival of a request; negative
 * if it is earlier. Uses the smaller difference of the two clocks, because a
 * suspended VM stops one of them and a clock step moves the other.
 */
export const asOfOffsetMs = (
  requestedAt: ClockReading,
  asOf: ClockReading,
): number =>
  Math.min(
    asOf.steadyMs - requestedAt.steadyMs,
    asOf.wallMs - requestedAt.wallMs,
  );

/**
 * Converts the offset from `asOfOffsetMs` to the requester's clocks. A request
 * arrives after it was sent, so dating from `sentAt` makes the state appear
 * older, never newer.
 */
export function asOfOnLocalClock(
  sentAt: ClockReading,
  offsetMs: number,
  now: ClockReading,
): ClockReading {
  return {
    steadyMs: Math.min(now.steadyMs, sentAt.steadyMs + offsetMs),
    wallMs: Math.min(now.wallMs, sentAt.wallMs + offsetMs),
  };
}
