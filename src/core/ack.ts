/**
 * Decides when a commit may be acknowledged: a majority of the group's
 * databases must report the commit's term in answer to probes sent after the
 * primary returned the commit. Any two majorities overlap, so a replaced
 * primary never obtains one, and a later election finds a commit that a
 * majority holds. A single round of probes covers all pending commits.
 */
import {coverage, Coverage, DatabaseStatus, Position} from './position.js';
import {WriteAck} from './config.js';

/** A commit that the primary has returned and that is not decided yet. */
export interface PendingCommit {
  readonly id: number;
  readonly position: Position;
  /** Sequence number in the common order of commits and probes. */
  readonly sequence: number;
}

/** The newest status that one database reported in answer to a probe. */
export interface Evidence {
  readonly status: DatabaseStatus;
  /** Sequence number at which the probe was sent. */
  readonly sequence: number;
}

/** Pending commits of a group and its evidence by database. Immutable. */
export interface AckState {
  readonly databases: readonly string[];
  readonly writeAck: WriteAck;
  readonly pending: readonly PendingCommit[];
  readonly evidence: ReadonlyMap<string, Evidence>;
}

/** The new state and the ids of the commits that it decides. */
export interface AckDecision {
  readonly state: AckState;
  readonly confirmed: readonly number[];
  /** Commits that can no longer get a majority, because of a later term. */
  readonly superseded: readonly number[];
}

/**
 * Whether a commit is confirmed. The model check replaces this rule by weaker
 * ones.
 */
export type ConfirmRule = (state: AckState, commit: PendingCommit) => boolean;

export const createAckState = (
  databases: readonly string[],
  writeAck: WriteAck,
): AckState => ({databases, writeAck, pending: [], evidence: new Map()});

export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** Whether each majority of one list shares a database with each of the other. */
export function majoritiesMeet(
  before: readonly string[],
  after: readonly string[],
): boolean {
  const all = new Set([...before, ...after]);
  return majorityOf(before.length) + majorityOf(after.length) > all.size;
}

/** Adds a commit that the primary has just returned. */
export const addCommit = (
  state: AckState,
  commit: PendingCommit,
): AckState => ({
  ...state,
  pending: [...state.pending, commit],
});

/** Removes a commit, for example when its deadline has passed. */
export const dropCommit = (state: AckState, id: number): AckState => ({
  ...state,
  pending: state.pending.filter(commit => commit.id !== id),
});

/** Adds a probe's answer and decides the pending commits. */
export function addEvidence(
  state: AckState,
  evidence: Evidence,
  confirms: ConfirmRule = confirmedByMajority,
): AckDecision {
  const {database} = evidence.status;
  const known = state.evidence.get(database);
  if (known && known.sequence > evidence.sequence) {
    return {state, confirmed: [], superseded: []};
  }
  const next = {
    ...state,
    evidence: new Map(state.evidence).set(database, evidence),
  };
  return evaluatePending(next, confirms);
}

function evaluatePending(state: AckState, confirms: ConfirmRule): AckDecision {
  const confirmed: number[] = [];
  const superseded: number[] = [];
  const pending = state.pending.filter(commit => {
    if (confirms(state, commit)) confirmed.push(commit.id);
    else if (isSuperseded(state, commit)) superseded.push(commit.id);
    else return true;
    return false;
  });
  return {state: {...state, pending}, confirmed, superseded};
}

/** The rule used in production. */
export function confirmedByMajority(
  state: AckState,
  commit: PendingCommit,
): boolean {
  const agreeing = state.databases
    .map(name => state.evidence.get(name))
    .filter(entry => entry && entry.sequence > commit.sequence)
    .filter(entry => entry?.status.term === commit.position.term);
  const majority = majorityOf(state.databases.length);
  if (agreeing.length < majority) return false;
  const holdingReplicas = agreeing.filter(
    entry => entry && holdsAsReplica(entry, commit.position),
  );
  // The primary, which returned the commit, is the other holder.
  return (
    state.writeAck === WriteAck.primary ||
    holdingReplicas.length + 1 >= majority
  );
}

const holdsAsReplica = (entry: Evidence, position: Position): boolean =>
  entry.status.role === 'replica' &&
  coverage(entry.status, position) === Coverage.covered;

function isSuperseded(state: AckState, commit: PendingCommit): boolean {
  const later = [...state.evidence.values()].filter(
    entry => entry.status.term > commit.position.term,
  );
  const remaining = state.databases.length - later.length;
  return remaining < majorityOf(state.databases.length);
}
