/**
 * Explores the states of a pure step function: exhaustively near the initial
 * state, with `@xstate/graph`, then by seeded random walks. Finds a trace to a
 * state that breaks an invariant. A trace from the exhaustive search is a
 * shortest one.
 */
import {getAdjacencyMap} from '@xstate/graph';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {fromTransition} from 'xstate';

/** A system to explore: states of type `S`, events of type `E`. */
export interface Model<S, E extends {readonly type: string}> {
  readonly name: string;
  readonly initial: S;
  /** Returns the events that may happen in a state. */
  readonly enabled: (state: S) => E[];
  readonly step: (state: S, event: E) => S;
  /** Invariants by name; each must hold in every state. */
  readonly invariants: Readonly<Record<string, (state: S) => boolean>>;
  /** Returns a text that is equal for two states if they count as the same. */
  readonly fingerprint: (state: S) => string;
}

/** A broken invariant and the events, as JSON, that lead to it. */
export interface Violation {
  readonly invariant: string;
  readonly trace: readonly string[];
}

/** Limits of an exploration. */
export interface Bounds {
  /** Maximum number of states expanded by the exhaustive search. */
  readonly maxExpanded: number;
  /** Number of random walks if the exhaustive search is incomplete. */
  readonly walks: number;
  /** Maximum number of events in a walk. */
  readonly walkSteps: number;
  /** Seed of the random walks. */
  readonly seed: number;
}

export interface Exploration {
  /** Number of distinct states visited. */
  readonly states: number;
  /** Whether every reachable state was visited. */
  readonly isComplete: boolean;
  readonly violation: Violation | undefined;
}

/** A state in the adjacency map, with its transitions by event. */
interface Node<S> {
  readonly state: {readonly context: S};
  readonly transitions: Record<
    string,
    {readonly event: {readonly type: string}; readonly state: {context: S}}
  >;
}

/** Explores a model until a state breaks an invariant or a limit is reached. */
export function explore<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  bounds: Bounds,
): Exploration {
  const visited = new Set<string>();
  const exhaustive = searchExhaustively(model, bounds.maxExpanded, visited);
  if (exhaustive.violation || exhaustive.isComplete) {
    return {...exhaustive, states: visited.size};
  }
  const violation = runWalks(model, bounds, visited);
  return {states: visited.size, isComplete: false, violation};
}

function searchExhaustively<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  limit: number,
  visited: Set<string>,
): Omit<Exploration, 'states'> {
  const logic = fromTransition<S, E, never, undefined>(
    (state, event) => model.step(state, event),
    model.initial,
  );
  let expandedCount = 0;
  let isComplete = true;
  const adjacency = getAdjacencyMap(logic, {
    events: ({context}) => {
      if (brokenInvariant(model, context)) return [];
      if (++expandedCount <= limit) return model.enabled(context);
      isComplete = false;
      return [];
    },
    serializeState: snapshot => model.fingerprint(snapshot.context),
    serializeEvent: event => JSON.stringify(event),
    limit: Infinity,
  }) as unknown as Record<string, Node<S>>;
  for (const key of Object.keys(adjacency)) visited.add(key);
  return {isComplete, violation: findViolation(model, adjacency)};
}

function runWalks<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  bounds: Bounds,
  visited: Set<string>,
): Violation | undefined {
  const random = xoroshiro128plus(bounds.seed);
  const pickIndex = (count: number): number => uniformInt(random, 0, count - 1);
  for (let walk = 0; walk < bounds.walks; walk++) {
    const violation = runWalk(model, bounds.walkSteps, pickIndex, visited);
    if (violation) return violation;
  }
  return undefined;
}

function runWalk<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  steps: number,
  pickIndex: (count: number) => number,
  visited: Set<string>,
): Violation | undefined {
  const trace: string[] = [];
  let state = model.initial;
  for (let step = 0; step < steps; step++) {
    const events = model.enabled(state);
    if (events.length === 0) return undefined;
    const event = events[pickIndex(events.length)];
    trace.push(JSON.stringify(event));
    state = model.step(state, event);
    visited.add(model.fingerprint(state));
    const invariant = brokenInvariant(model, state);
    if (invariant) return {invariant, trace};
  }
  return undefined;
}

function brokenInvariant<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  state: S,
): string | undefined {
  return Object.keys(model.invariants).find(
    name => !model.invariants[name](state),
  );
}

/** Searches breadth-first, so that the trace is a shortest one. */
function findViolation<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  adjacency: Record<string, Node<S>>,
): Violation | undefined {
  const start = model.fingerprint(model.initial);
  const predecessors = new Map<
    string,
    {from: string; event: string} | undefined
  >([[start, undefined]]);
  const queue = [start];
  for (let at = 0; at < queue.length; at++) {
    const key = queue[at];
    const node = adjacency[key];
    if (!node) continue;
    const invariant = brokenInvariant(model, node.state.context);
    if (invariant) return {invariant, trace: traceTo(key, predecessors)};
    for (const {event, state} of Object.values(node.transitions)) {
      const next = model.fingerprint(state.context);
      if (predecessors.has(next)) continue;
      predecessors.set(next, {from: key, event: JSON.stringify(event)});
      queue.push(next);
    }
  }
  return undefined;
}

function traceTo(
  key: string,
  predecessors: ReadonlyMap<string, {from: string; event: string} | undefined>,
): string[] {
  const trace: string[] = [];
  let step = predecessors.get(key);
  while (step) {
    trace.unshift(step.event);
    step = predecessors.get(step.from);
  }
  return trace;
}
