/**
 * Explores a pure step function: exhaustively near its start, through
 * `@xstate/graph`, then by seeded random walks. Finds a trace to a state that
 * breaks an invariant, the shortest one where the search was exhaustive.
 */
import {getAdjacencyMap} from '@xstate/graph';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {fromTransition} from 'xstate';

/** A system to explore. */
export interface Model<S, E extends {readonly type: string}> {
  readonly name: string;
  readonly initial: S;
  /** Events that may happen in a state. */
  readonly enabled: (state: S) => E[];
  readonly step: (state: S, event: E) => S;
  /** Invariants by name; each must hold in every state. */
  readonly invariants: Readonly<Record<string, (state: S) => boolean>>;
  /** Text that two equal states share. */
  readonly fingerprint: (state: S) => string;
}

/** A broken invariant and the events that lead to it. */
export interface Violation {
  readonly invariant: string;
  readonly trace: readonly string[];
}

/** How far to explore. */
export interface Bounds {
  /** States expanded exhaustively from the initial state. */
  readonly expanded: number;
  /** Random walks beyond them. */
  readonly walks: number;
  readonly walkSteps: number;
  readonly seed: number;
}

/** What an exploration found. */
export interface Exploration {
  /** Distinct states visited. */
  readonly states: number;
  /** Whether every reachable state was visited. */
  readonly complete: boolean;
  readonly violation: Violation | undefined;
}

interface Node<S> {
  readonly state: {readonly context: S};
  readonly transitions: Record<
    string,
    {readonly event: {readonly type: string}; readonly state: {context: S}}
  >;
}

/** Explores exhaustively near the start, then walks at random. */
export function explore<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  bounds: Bounds,
): Exploration {
  const seen = new Set<string>();
  const near = expand(model, bounds.expanded, seen);
  if (near.violation || near.complete) {
    return {...near, states: seen.size};
  }
  const violation = walkAll(model, bounds, seen);
  return {states: seen.size, complete: false, violation};
}

function expand<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  limit: number,
  seen: Set<string>,
): Omit<Exploration, 'states'> {
  const logic = fromTransition<S, E, never, undefined>(
    (state, event) => model.step(state, event),
    model.initial,
  );
  let expanded = 0;
  let complete = true;
  const map = getAdjacencyMap(logic, {
    events: ({context}) => {
      if (brokenInvariant(model, context)) return [];
      if (++expanded <= limit) return model.enabled(context);
      complete = false;
      return [];
    },
    serializeState: snapshot => model.fingerprint(snapshot.context),
    serializeEvent: event => JSON.stringify(event),
    limit: Infinity,
  }) as unknown as Record<string, Node<S>>;
  for (const key of Object.keys(map)) seen.add(key);
  return {complete, violation: findViolation(model, map)};
}

function walkAll<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  bounds: Bounds,
  seen: Set<string>,
): Violation | undefined {
  const random = xoroshiro128plus(bounds.seed);
  const pick = (count: number): number => uniformInt(random, 0, count - 1);
  for (let walk = 0; walk < bounds.walks; walk++) {
    const violation = walkOnce(model, bounds.walkSteps, pick, seen);
    if (violation) return violation;
  }
  return undefined;
}

function walkOnce<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  steps: number,
  pick: (count: number) => number,
  seen: Set<string>,
): Violation | undefined {
  const trace: string[] = [];
  let state = model.initial;
  for (let step = 0; step < steps; step++) {
    const events = model.enabled(state);
    if (events.length === 0) return undefined;
    const event = events[pick(events.length)];
    trace.push(JSON.stringify(event));
    state = model.step(state, event);
    seen.add(model.fingerprint(state));
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

/** Breadth-first over the map, so that the first violation is a nearest one. */
function findViolation<S, E extends {readonly type: string}>(
  model: Model<S, E>,
  map: Record<string, Node<S>>,
): Violation | undefined {
  const start = model.fingerprint(model.initial);
  const cameFrom = new Map<string, {from: string; event: string} | undefined>([
    [start, undefined],
  ]);
  const frontier = [start];
  for (let at = 0; at < frontier.length; at++) {
    const key = frontier[at];
    const node = map[key];
    if (!node) continue;
    const invariant = brokenInvariant(model, node.state.context);
    if (invariant) return {invariant, trace: traceTo(key, cameFrom)};
    for (const {event, state} of Object.values(node.transitions)) {
      const next = model.fingerprint(state.context);
      if (cameFrom.has(next)) continue;
      cameFrom.set(next, {from: key, event: JSON.stringify(event)});
      frontier.push(next);
    }
  }
  return undefined;
}

function traceTo(
  key: string,
  cameFrom: ReadonlyMap<string, {from: string; event: string} | undefined>,
): string[] {
  const trace: string[] = [];
  let step = cameFrom.get(key);
  while (step) {
    trace.unshift(step.event);
    step = cameFrom.get(step.from);
  }
  return trace;
}
