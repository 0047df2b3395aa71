/**
 * Passing the store's changes on between fronts: whom a front asks, what the
 * asked one keeps, and how recent the answer is on the asker's clocks.
 */
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {StoreEvent} from '../store/key_values.js';
import {ClockReading} from './freshness.js';
import {FrontMember, Fronts} from './fronts.js';
import {rankByScore} from './placement.js';

/**
 * A change as passed on; `packed`: its value is compressed; `changed`: too large
 * to pass, ask the store.
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

/** Fronts of a region that may watch the store for the others. */
const CANDIDATES = 2;
const RANKED_FOR = 'changes';

const candidatesOf = new WeakMap<Fronts, Map<string, readonly FrontMember[]>>();

/** Fronts of a region that may watch the store, best first; kept a set of fronts. */
function relayCandidates(
  fronts: Fronts,
  region: string,
): readonly FrontMember[] {
  const byRegion = candidatesOf.get(fronts) ?? new Map();
  candidatesOf.set(fronts, byRegion);
  const known = byRegion.get(region);
  if (known) return known;
  const staying = [...fronts.values()].filter(
    front => !front.leaving && front.place.region === region,
  );
  const candidates = rankByScore(RANKED_FOR, staying).slice(0, CANDIDATES);
  byRegion.set(region, candidates);
  return candidates;
}

/**
 * The front of the own region that is asked for changes; undefined when this
 * front should ask the store itself. All fronts rank alike, so that one front a
 * region watches while it is usable for the others.
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

/** Changes kept for those who ask, oldest first. Immutable. */
export interface ChangeHistory {
  /** Revision after which every change is kept. */
  readonly since: number;
  readonly events: readonly RelayedEvent[];
}

export const emptyChangeHistory = (since: number): ChangeHistory => ({
  since,
  events: [],
});

const MAX_EVENTS = 1_000;
/** Longest value that is passed on: links between fronts may be narrow. */
const MAX_PASSED_BYTES = 16_384;
/** Shorter values are not worth compressing. */
const MIN_PACKED_BYTES = 1_024;
/** Longest value that the store keeps, and so the longest one unpacked. */
const MAX_VALUE_BYTES = 1_048_576;

function toRelayed(event: RelayedEvent): RelayedEvent {
  if (event.kind !== 'put' || event.value.length <= MIN_PACKED_BYTES) {
    return event;
  }
  const {key, revision} = event;
  const value = deflateRawSync(event.value);
  return value.length > MAX_PASSED_BYTES
    ? {kind: 'changed', key, revision}
    : {kind: 'packed', key, revision, value};
}

/** The value of a packed change; throws when it is not one. */
export const unpackValue = (value: Uint8Array): Buffer =>
  inflateRawSync(value, {maxOutputLength: MAX_VALUE_BYTES});

/** Adds changes; the oldest are forgotten above a bound. */
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

/** Changes after a revision; undefined when some are no longer kept. */
export const changesAfter = (
  history: ChangeHistory,
  after: number,
): readonly RelayedEvent[] | undefined =>
  after < history.since
    ? undefined
    : history.events.filter(event => event.revision > after);

/**
 * How much later than the arrival of a question something was known to hold;
 * negative when before. The smaller of both clocks' differences: a suspension
 * stops one, a step moves the other.
 */
export const asOfOffsetMs = (
  askedAt: ClockReading,
  asOf: ClockReading,
): number =>
  Math.min(asOf.steadyMs - askedAt.steadyMs, asOf.wallMs - askedAt.wallMs);

/**
 * The same on the asker's clocks. The question arrived after it was sent, so
 * dating from `sentAt` makes the state older than it is, never younger.
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
