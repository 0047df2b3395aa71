/**
 * Decides when a commit may be acknowledged: a majority of the group's
 * databases must report the commit's term in probes sent after the commit
 * came back. Any two majorities meet, so a primary that has been replaced
 * never gets one. One probe round serves every commit that waits.
 */
import {coverage, Coverage, DatabaseStatus, Position} from './position.js';
import {WriteAck} from './config.js';

/** A commit that waits for its confirmation. */
export interface PendingCommit {
  readonly id: number;
  readonly position: Position;
  /** Place in the order of commits and probes; later ones are higher. */
  readonly sequence: number;
}

/** The newest probe answer of one database. */
export interface Evidence {
  readonly status: DatabaseStatus;
  /** Sequence at which the probe was sent. */
  readonly sequence: number;
}

/** Waiting commits and the evidence so far. Immutable. */
export interface AckState {
  readonly databases: readonly string[];
  readonly writeAck: WriteAck;
  readonly pending: readonly PendingCommit[];
  readonly evidence: ReadonlyMap<string, Evidence>;
}

/** Ids decided by one step. */
export interface AckDecision {
  readonly state: AckState;
  readonly confirmed: readonly number[];
  /** Commits whose term has been superseded by a majority. */
  readonly superseded: readonly number[];
}

/** Tells whether a commit is confirmed; replaceable to prove that it matters. */
export type ConfirmRule = (state: AckState, commit: PendingCommit) => boolean;

export const createAckState = (
  databases: readonly string[],
  writeAck: WriteAck,
): AckState => ({databases, writeAck, pending: [], evidence: new Map()});

export const majorityOf = (count: number): number => Math.floor(count / 2) + 1;

/** Adds a commit that has just come back from the primary. */
export const addCommit = (
  state: AckState,
  commit: PendingCommit,
): AckState => ({
  ...state,
  pending: [...state.pending, commit],
});

/** Removes a commit, as when its deadline has passed. */
export const dropCommit = (state: AckState, id: number): AckState => ({
  ...state,
  pending: state.pending.filter(commit => commit.id !== id),
});

/** Adds a probe answer and decides what it allows. */
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
  return decide(next, confirms);
}

function decide(state: AckState, confirms: ConfirmRule): AckDecision {
  const confirmed: number[] = [];
  const refused: number[] = [];
  const pending = state.pending.filter(commit => {
    if (confirms(state, commit)) confirmed.push(commit.id);
    else if (isSuperseded(state, commit)) refused.push(commit.id);
    else return true;
    return false;
  });
  return {state: {...state, pending}, confirmed, superseded: refused};
}

/** The rule in force. */
export function confirmedByMajority(
  state: AckState,
  commit: PendingCommit,
): boolean {
  const agreeing = state.databases
    .map(name => state.evidence.get(name))
    .filter(entry => entry && entry.sequence > commit.sequence)
    .filter(entry => entry?.status.term === commit.position.term);
  if (agreeing.length < majorityOf(state.databases.length)) return false;
  return (
    state.writeAck === WriteAck.primary ||
    state.databases.length === 1 ||
    agreeing.some(entry => entry && holdsAsReplica(entry, commit.position))
  );
}

const holdsAsReplica = (entry: Evidence, position: Position): boolean =>
  entry.status.role === 'replica' &&
  coverage(entry.status, position) === Coverage.covered;

function isSuperseded(state: AckState, commit: PendingCommit): boolean {
  const later = [...state.evidence.values()].filter(
    entry => entry.status.term > commit.position.term,
  );
  const agreeable = state.databases.length - later.length;
  return agreeable < majorityOf(state.databases.length);
}
