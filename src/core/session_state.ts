/**
 * State of a caller's session, and what a pooled connection needs so that a
 * statement of the session can run on it.
 */
import {PreparedStatement, RequiredSessionState} from './work.js';

/** Settings and prepared statements of one session. Immutable. */
export interface SessionState {
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: ReadonlyMap<string, PreparedStatement>;
}

export const EMPTY_SESSION: SessionState = {
  values: new Map(),
  prepared: new Map(),
};

/** Limits of what one session may keep; a front has many sessions. */
export const MAX_SESSION_ENTRIES = 1_000;
export const MAX_SESSION_BYTES = 1_048_576;

/** Whether a state is within the limits of a session. */
export function isWithinLimits({values, prepared}: SessionState): boolean {
  if (values.size + prepared.size > MAX_SESSION_ENTRIES) return false;
  let bytes = 0;
  for (const [name, value] of values) bytes += name.length + value.length;
  for (const {name, shape} of prepared.values())
    bytes += name.length + shape.length;
  return bytes <= MAX_SESSION_BYTES;
}

export const setValue = (
  state: SessionState,
  name: string,
  value: string,
): SessionState => ({
  ...state,
  values: new Map(state.values).set(name, value),
});

/** Adds a prepared statement; replaces one of the same name. */
export const prepare = (
  state: SessionState,
  statement: PreparedStatement,
): SessionState => ({
  ...state,
  prepared: new Map(state.prepared).set(statement.name, statement),
});

export function deallocate(state: SessionState, name: string): SessionState {
  const prepared = new Map(state.prepared);
  prepared.delete(name);
  return {...state, prepared};
}

/** Returns the state that a connection needs for a statement of the session. */
export const requiredStateFor = (
  state: SessionState,
  prepared: PreparedStatement | undefined,
): RequiredSessionState => ({values: [...state.values], prepared});

/** Returns a key that is equal for equal settings. */
export const valuesKeyOf = (required: RequiredSessionState): string =>
  required.values.length === 0 ? '' : JSON.stringify(required.values);

/** What to do on a connection before a statement runs on it. */
export interface Preparation {
  /** Whether the connection's session state must be reset first. */
  readonly reset: boolean;
  readonly values: RequiredSessionState['values'];
  readonly prepare: PreparedStatement | undefined;
}

/** Returns the steps from a connection's state to the required state. */
export function preparationFor(
  current: {valuesKey: string; prepared: ReadonlyMap<string, string>},
  required: RequiredSessionState,
): Preparation {
  const {prepared} = required;
  const shape = prepared && shapeKeyOf(prepared);
  const currentShape = prepared && current.prepared.get(prepared.name);
  const hasSameValues = current.valuesKey === valuesKeyOf(required);
  const isConflicting = currentShape !== undefined && currentShape !== shape;
  const reset = isConflicting || (!hasSameValues && current.valuesKey !== '');
  return {
    reset,
    values: reset || !hasSameValues ? required.values : [],
    prepare:
      prepared && (reset || currentShape !== shape) ? prepared : undefined,
  };
}

/** Returns a key that is equal for equal prepared statements. */
export const shapeKeyOf = (statement: PreparedStatement): string =>
  `${statement.access} ${statement.shape}`;
