/**
 * Replaces a failed primary. The databases' own terms arbitrate: a term is
 * granted by each database to one claimant only, so a claimant that raised a
 * majority owns the term. No clock and no other service decides anything;
 * timers only say when to try.
 */
import {majorityOf} from './ack.js';
import {
  FailoverEffect,
  FailoverEvent,
  FailoverRules,
  FailoverState,
  FailoverStep,
  StatusReport,
  Phase,
  SAFE_RULES,
  STEADY,
} from './failover_state.js';
import {DatabaseStatus} from './position.js';

const keep = (state: FailoverState): FailoverStep => ({state, effects: []});

/** Applies one event. */
export function stepFailover(
  state: FailoverState,
  event: FailoverEvent,
  rules: FailoverRules = SAFE_RULES,
): FailoverStep {
  switch (event.type) {
    case 'status':
      return onStatus(state, event.status, event.nowMs);
    case 'vote':
      return onVote(state, event, rules);
    case 'raised':
      return onRaised(state, event, rules);
    case 'promoted':
      return onPromoted(state, event);
    case 'tick':
      return onTick(state, event.observers, event.nowMs, rules);
    case 'leaving':
      return keep({...state, leaving: new Set(event.databases)});
    case 'handOver':
      return state.phase.name === 'steady'
        ? claim(state, event.nowMs, rules)
        : keep(state);
    case 'evict':
      return state.phase.name === 'steady'
        ? claim(state, event.nowMs, rules, currentPrimary(state))
        : keep(state);
  }
}

/** The primary of the highest term, as far as known. */
export function currentPrimary(state: FailoverState): StatusReport | undefined {
  let best: StatusReport | undefined;
  for (const known of state.known.values()) {
    if (known.status.role !== 'primary') continue;
    if (!best || known.status.term > best.status.term) best = known;
  }
  return best;
}

function onStatus(
  state: FailoverState,
  status: DatabaseStatus,
  nowMs: number,
): FailoverStep {
  const known = new Map(state.known).set(status.database, {
    status,
    answeredAtMs: nowMs,
  });
  const seen = {...state, known, term: Math.max(state.term, status.term)};
  if (!isUsablePrimary(seen, status)) return adoptStray(seen, status);
  const stranded = [...known.values()].some(k => k.status.term > status.term);
  return {
    state: {
      ...seen,
      primarySeenAtMs: nowMs,
      phase: calmed(seen, status),
      strandedSinceMs: stranded ? (state.strandedSinceMs ?? nowMs) : undefined,
    },
    effects: strayFollowers(seen, status),
  };
}

/** A primary whose term no majority has left behind. */
function isUsablePrimary(
  state: FailoverState,
  status: DatabaseStatus,
): boolean {
  if (status.role !== 'primary') return false;
  const later = [...state.known.values()].filter(
    known => known.status.term > status.term,
  );
  return later.length < majorityOf(state.databases.length);
}

/** A primary that answers ends suspicion, and any claim of a lower term. */
function calmed(state: FailoverState, primary: DatabaseStatus): Phase {
  const {phase} = state;
  if (phase.name === 'checking') return STEADY;
  const claimed = phase.name === 'steady' ? Infinity : phase.term;
  return primary.term >= claimed ? STEADY : phase;
}

/** Replicas that do not follow the primary are told to. */
function strayFollowers(
  state: FailoverState,
  primary: DatabaseStatus,
): FailoverEffect[] {
  return [...state.known.values()]
    .map(known => known.status)
    .filter(status => status.database !== primary.database)
    .filter(status => status.term <= primary.term)
    .filter(status => isStray(status, primary))
    .map(status => followEffect(status.database, primary));
}

const isStray = (status: DatabaseStatus, primary: DatabaseStatus): boolean =>
  status.term < primary.term ||
  status.role === 'primary' ||
  status.following !== primary.database;

const followEffect = (
  database: string,
  primary: DatabaseStatus,
): FailoverEffect => ({
  type: 'follow',
  database,
  term: primary.term,
  primary: primary.database,
});

function adoptStray(
  state: FailoverState,
  status: DatabaseStatus,
): FailoverStep {
  const primary = currentPrimary(state)?.status;
  const fits =
    primary &&
    primary.database !== status.database &&
    status.term <= primary.term &&
    isUsablePrimary(state, primary) &&
    isStray(status, primary);
  return fits
    ? {state, effects: [followEffect(status.database, primary)]}
    : keep(state);
}

function onTick(
  state: FailoverState,
  observers: readonly string[],
  nowMs: number,
  rules: FailoverRules,
): FailoverStep {
  const {phase, times} = state;
  switch (phase.name) {
    case 'steady':
      if (nowMs - state.primarySeenAtMs >= times.suspectAfterMs) {
        return suspect(state, observers, nowMs, rules);
      }
      return isStrandedTooLong(state, nowMs)
        ? claim(state, nowMs, rules)
        : keep(state);
    case 'checking':
      return nowMs - phase.sinceMs < times.voteWaitMs
        ? keep(state)
        : concludeVote(state, phase.votes, nowMs, rules);
    default:
      return nowMs - phase.sinceMs < times.stageWaitMs
        ? keep(state)
        : claim(state, nowMs, rules);
  }
}

const isStrandedTooLong = (state: FailoverState, nowMs: number): boolean =>
  state.strandedSinceMs !== undefined &&
  nowMs - state.strandedSinceMs >= state.times.strandedAfterMs;

function suspect(
  state: FailoverState,
  observers: readonly string[],
  nowMs: number,
  rules: FailoverRules,
): FailoverStep {
  const primary = currentPrimary(state);
  if (!primary || !isUsablePrimary(state, primary.status)) {
    // A majority of databases has left the last primary's term.
    return hasMajorityAnswer(state, nowMs)
      ? claim(state, nowMs, rules)
      : keep(state);
  }
  const phase: Phase = {
    name: 'checking',
    sinceMs: nowMs,
    asked: observers.length,
    votes: new Map(),
  };
  const {database} = primary.status;
  return {
    state: {...state, phase},
    effects: [{type: 'askObservers', database, observers}],
  };
}

function hasMajorityAnswer(state: FailoverState, nowMs: number): boolean {
  const lately = [...state.known.values()].filter(
    known => nowMs - known.answeredAtMs < 2 * state.times.suspectAfterMs,
  );
  return lately.length >= majorityOf(state.databases.length);
}

function onVote(
  state: FailoverState,
  event: Extract<FailoverEvent, {type: 'vote'}>,
  rules: FailoverRules,
): FailoverStep {
  const {phase} = state;
  if (phase.name !== 'checking') return keep(state);
  const votes = new Map(phase.votes).set(event.observer, event.reachable);
  const next = {...state, phase: {...phase, votes}};
  return votes.size < phase.asked
    ? keep(next)
    : concludeVote(next, votes, event.nowMs, rules);
}

/** Claims a term when most of the VMs that answered cannot reach the primary. */
function concludeVote(
  state: FailoverState,
  votes: ReadonlyMap<string, boolean>,
  nowMs: number,
  rules: FailoverRules,
): FailoverStep {
  const unreachable = [...votes.values()].filter(vote => !vote).length;
  return unreachable * 2 > votes.size
    ? claim(state, nowMs, rules)
    : keep({...state, phase: STEADY, primarySeenAtMs: nowMs});
}

function claim(
  state: FailoverState,
  nowMs: number,
  rules: FailoverRules,
  avoided?: StatusReport,
): FailoverStep {
  const term = rules.nextTerm(state.term);
  const phase: Phase = {
    name: 'raising',
    sinceMs: nowMs,
    term,
    granted: new Map(),
    avoided: avoided?.status.database,
  };
  return {
    state: {...state, term, phase, strandedSinceMs: undefined},
    effects: state.databases.map(database => ({
      type: 'raise',
      database,
      term,
    })),
  };
}

function onRaised(
  state: FailoverState,
  event: Extract<FailoverEvent, {type: 'raised'}>,
  rules: FailoverRules,
): FailoverStep {
  const known = new Map(state.known).set(event.database, {
    status: event.status,
    answeredAtMs: event.nowMs,
  });
  const seen = {
    ...state,
    known,
    term: Math.max(state.term, event.status.term),
  };
  const {phase} = state;
  if (phase.name !== 'raising' || event.term !== phase.term) return keep(seen);
  if (!event.granted) return keep(seen);
  const granted = new Map(phase.granted).set(event.database, event.status);
  const eligible = [...granted.values()].filter(
    status => status.database !== phase.avoided,
  );
  if (!isEnough(state, granted.size, eligible.length, rules)) {
    return keep({...seen, phase: {...phase, granted}});
  }
  const target = rules.choose(eligible, state.leaving);
  return {
    state: {
      ...seen,
      phase: {
        name: 'promoting',
        sinceMs: event.nowMs,
        term: phase.term,
        target,
      },
    },
    effects: [{type: 'promote', database: target, term: phase.term}],
  };
}

/**
 * A majority, and when a database is avoided all the others: an acknowledged
 * write may be on just one of them.
 */
function isEnough(
  state: FailoverState,
  granted: number,
  eligible: number,
  rules: FailoverRules,
): boolean {
  const {phase, databases} = state;
  const avoiding = phase.name === 'raising' && phase.avoided !== undefined;
  if (granted < rules.grantsNeeded(databases.length)) return false;
  return !avoiding || eligible >= databases.length - 1;
}

function onPromoted(
  state: FailoverState,
  event: Extract<FailoverEvent, {type: 'promoted'}>,
): FailoverStep {
  const {phase} = state;
  if (phase.name !== 'promoting' || event.term !== phase.term) {
    return keep(state);
  }
  if (!event.granted) return keep(state);
  const followers = state.databases.filter(name => name !== phase.target);
  return {
    state: {...state, phase: STEADY, primarySeenAtMs: event.nowMs},
    effects: followers.map(database => ({
      type: 'follow',
      database,
      term: phase.term,
      primary: phase.target,
    })),
  };
}
