/** What a caller's session keeps: values and prepared statements. Immutable. */
import {PreparedStatement, RequiredSessionState} from './work.js';

/** State of one session. */
export interface SessionState {
  readonly values: ReadonlyMap<string, string>;
  readonly prepared: ReadonlyMap<string, PreparedStatement>;
}

export const EMPTY_SESSION: SessionState = {
  values: new Map(),
  prepared: new Map(),
};

/** Sets one value. */
export const setValue = (
  state: SessionState,
  name: string,
  value: string,
): SessionState => ({
  ...state,
  values: new Map(state.values).set(name, value),
});

/** Prepares a statement; a later one of the same name replaces it. */
export const prepare = (
  state: SessionState,
  statement: PreparedStatement,
): SessionState => ({
  ...state,
  prepared: new Map(state.prepared).set(statement.name, statement),
});

/** Forgets a prepared statement. */
export function deallocate(state: SessionState, name: string): SessionState {
  const prepared = new Map(state.prepared);
  prepared.delete(name);
  return {...state, prepared};
}

/** What a connection needs for one statement of the session. */
export const requiredStateFor = (
  state: SessionState,
  prepared: PreparedStatement | undefined,
): RequiredSessionState => ({values: [...state.values], prepared});

/** Compares the values of two sessions. */
export const valuesKeyOf = (slice: RequiredSessionState): string =>
  slice.values.length === 0 ? '' : JSON.stringify(slice.values);

/** What a connection lacks for a statement. */
export interface Preparation {
  /** All that the connection holds has to go first. */
  readonly reset: boolean;
  readonly values: RequiredSessionState['values'];
  readonly prepare: PreparedStatement | undefined;
}

/** Compares what a connection holds with what a statement needs. */
export function preparationFor(
  held: {valuesKey: string; prepared: ReadonlyMap<string, string>},
  slice: RequiredSessionState,
): Preparation {
  const {prepared} = slice;
  const shape = prepared && shapeKeyOf(prepared);
  const heldShape = prepared && held.prepared.get(prepared.name);
  const sameValues = held.valuesKey === valuesKeyOf(slice);
  const clash = heldShape !== undefined && heldShape !== shape;
  const reset = clash || (!sameValues && held.valuesKey !== '');
  return {
    reset,
    values: reset || !sameValues ? slice.values : [],
    prepare: prepared && (reset || heldShape !== shape) ? prepared : undefined,
  };
}

/** Compares prepared statements. */
export const shapeKeyOf = (statement: PreparedStatement): string =>
  `${statement.access} ${statement.shape}`;
