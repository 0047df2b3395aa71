/**
 * State machine of a failover election. Each database grants a term to at most
 * one claimant, so a claimant with grants from a majority owns the term. Safety
 * depends neither on clocks nor on another service; timers only decide when to
 * start an attempt.
 */
import {majorityOf} from './ack.js';
import {
  FailoverEffect,
  FailoverEvent,
  FailoverRules,
  FailoverState,
  FailoverStep,
  Phase,
  SAFE_RULES,
  StatusReport,
  STEADY,
} from './failover_state.js';
import {DatabaseStatus} from './position.js';

const withoutEffects = (state: FailoverState): FailoverStep => ({
  state,
  effects: [],
});

/** Returns the state after an event and the effects to carry out. */
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
      return withoutEffects({...state, leaving: new Set(event.databases)});
    case 'handOver':
      return state.phase.name === 'steady'
        ? claimTerm(state, event.nowMs, rules)
        : withoutEffects(state);
    case 'evict':
      return state.phase.name === 'steady'
        ? claimTerm(state, event.nowMs, rules, currentPrimary(state))
        : withoutEffects(state);
  }
}

/** Returns the reported primary with the highest term. */
export function currentPrimary(state: FailoverState): StatusReport | undefined {
  let best: StatusReport | undefined;
  for (const report of state.known.values()) {
    if (report.status.role !== 'primary') continue;
    if (!best || report.status.term > best.status.term) best = report;
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
  const next = {...state, known, term: Math.max(state.term, status.term)};
  if (!isUsablePrimary(next, status)) return redirectIfStray(next, status);
  const isTermAhead = [...known.values()].some(
    r => r.status.term > status.term,
  );
  return {
    state: {
      ...next,
      primarySeenAtMs: nowMs,
      phase: phaseAfterAnswer(next, status),
      strandedSinceMs: isTermAhead
        ? (state.strandedSinceMs ?? nowMs)
        : undefined,
    },
    effects: redirectStrays(next, status),
  };
}

/** Whether `status` is a primary and no majority reports a higher term. */
function isUsablePrimary(
  state: FailoverState,
  status: DatabaseStatus,
): boolean {
  if (status.role !== 'primary') return false;
  const later = [...state.known.values()].filter(
    report => report.status.term > status.term,
  );
  return later.length < majorityOf(state.databases.length);
}

/**
 * Returns the phase after a usable primary answered: the answer ends a check of
 * the primary, and an election for the same or a lower term.
 */
function phaseAfterAnswer(
  state: FailoverState,
  primary: DatabaseStatus,
): Phase {
  const {phase} = state;
  if (phase.name === 'checking') return STEADY;
  const claimedTerm = phase.name === 'steady' ? Infinity : phase.term;
  return primary.term >= claimedTerm ? STEADY : phase;
}

/** Returns the effects that make each stray database follow the primary. */
function redirectStrays(
  state: FailoverState,
  primary: DatabaseStatus,
): FailoverEffect[] {
  return [...state.known.values()]
    .map(report => report.status)
    .filter(status => status.database !== primary.database)
    .filter(status => status.term <= primary.term)
    .filter(status => isStray(status, primary))
    .map(status => followEffect(status.database, primary));
}

/** Whether a database does not follow the primary in the primary's term. */
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

function redirectIfStray(
  state: FailoverState,
  status: DatabaseStatus,
): FailoverStep {
  const primary = currentPrimary(state)?.status;
  const shouldFollow =
    primary &&
    primary.database !== status.database &&
    status.term <= primary.term &&
    isUsablePrimary(state, primary) &&
    isStray(status, primary);
  return shouldFollow
    ? {state, effects: [followEffect(status.database, primary)]}
    : withoutEffects(state);
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
        return suspectPrimary(state, observers, nowMs, rules);
      }
      return isTermAheadTooLong(state, nowMs)
        ? claimTerm(state, nowMs, rules)
        : withoutEffects(state);
    case 'checking':
      return nowMs - phase.sinceMs < times.voteWaitMs
        ? withoutEffects(state)
        : concludeVote(state, phase.votes, nowMs, rules);
    default:
      return nowMs - phase.sinceMs < times.stageWaitMs
        ? withoutEffects(state)
        : claimTerm(state, nowMs, rules);
  }
}

const isTermAheadTooLong = (state: FailoverState, nowMs: number): boolean =>
  state.strandedSinceMs !== undefined &&
  nowMs - state.strandedSinceMs >= state.times.strandedAfterMs;

function suspectPrimary(
  state: FailoverState,
  observers: readonly string[],
  nowMs: number,
  rules: FailoverRules,
): FailoverStep {
  const primary = currentPrimary(state);
  if (!primary || !isUsablePrimary(state, primary.status)) {
    // A majority has a higher term than the last primary: no vote is needed.
    return hasRecentMajority(state, nowMs)
      ? claimTerm(state, nowMs, rules)
      : withoutEffects(state);
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

function hasRecentMajority(state: FailoverState, nowMs: number): boolean {
  const recent = [...state.known.values()].filter(
    report => nowMs - report.answeredAtMs < 2 * state.times.suspectAfterMs,
  );
  return recent.length >= majorityOf(state.databases.length);
}

function onVote(
  state: FailoverState,
  event: Extract<FailoverEvent, {type: 'vote'}>,
  rules: FailoverRules,
): FailoverStep {
  const {phase} = state;
  if (phase.name !== 'checking') return withoutEffects(state);
  const votes = new Map(phase.votes).set(event.observer, event.reachable);
  const next = {...state, phase: {...phase, votes}};
  return votes.size < phase.asked
    ? withoutEffects(next)
    : concludeVote(next, votes, event.nowMs, rules);
}

/**
 * Starts an election when most of the VMs that answered cannot reach the
 * primary.
 */
function concludeVote(
  state: FailoverState,
  votes: ReadonlyMap<string, boolean>,
  nowMs: number,
  rules: FailoverRules,
): FailoverStep {
  const unreachable = [...votes.values()].filter(vote => !vote).length;
  return unreachable * 2 > votes.size
    ? claimTerm(state, nowMs, rules)
    : withoutEffects({...state, phase: STEADY, primarySeenAtMs: nowMs});
}

function claimTerm(
  state: FailoverState,
  nowMs: number,
  rules: FailoverRules,
  excluded?: StatusReport,
): FailoverStep {
  const term = rules.nextTerm(state.term);
  const phase: Phase = {
    name: 'raising',
    sinceMs: nowMs,
    term,
    granted: new Map(),
    avoided: excluded?.status.database,
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
  const next = {
    ...state,
    known,
    term: Math.max(state.term, event.status.term),
  };
  const {phase} = state;
  if (phase.name !== 'raising' || event.term !== phase.term) {
    return withoutEffects(next);
  }
  if (!event.granted) return withoutEffects(next);
  const granted = new Map(phase.granted).set(event.database, event.status);
  const eligible = [...granted.values()].filter(
    status => status.database !== phase.avoided,
  );
  if (!hasEnoughGrants(state, granted.size, eligible.length, rules)) {
    return withoutEffects({...next, phase: {...phase, granted}});
  }
  const target = rules.choose(eligible, state.leaving);
  return {
    state: {
      ...next,
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
 * Whether the grants suffice to promote a database. When the old primary is
 * excluded, all other databases must have granted, because an acknowledged
 * write may be on only one of them.
 */
function hasEnoughGrants(
  state: FailoverState,
  granted: number,
  eligible: number,
  rules: FailoverRules,
): boolean {
  const {phase, databases} = state;
  const isExcluding = phase.name === 'raising' && phase.avoided !== undefined;
  if (granted < rules.grantsNeeded(databases.length)) return false;
  return !isExcluding || eligible >= databases.length - 1;
}

function onPromoted(
  state: FailoverState,
  event: Extract<FailoverEvent, {type: 'promoted'}>,
): FailoverStep {
  const {phase} = state;
  if (phase.name !== 'promoting' || event.term !== phase.term) {
    return withoutEffects(state);
  }
  if (!event.granted) return withoutEffects(state);
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
