/** Establishes a session's values and prepared statements on a connection. */
import {err, ok, Result} from 'neverthrow';
import {
  preparationFor,
  shapeKeyOf,
  valuesKeyOf,
} from '../core/session_state.js';
import {RequiredSessionState} from '../core/work.js';
import {DatabaseLink} from './database_link.js';
import {DatabaseCodec, SetupStatement} from './wire_types.js';

/** What a connection lacks for a session's statement. */
function setupOf(
  link: DatabaseLink,
  session: RequiredSessionState,
  inTransaction: boolean,
) {
  const held = inTransaction ? {valuesKey: '', prepared: new Map()} : link;
  const {reset, values, prepare} = preparationFor(held, session);
  const hasSameValues =
    inTransaction && link.valuesKey === valuesKeyOf(session);
  const isPrepared =
    !reset &&
    prepare !== undefined &&
    link.prepared.get(prepare.name) === shapeKeyOf(prepare);
  return {
    reset,
    values: hasSameValues ? [] : values,
    prepare: isPrepared ? undefined : prepare,
  };
}

/** Returns how many statements `setupStatements` would return. */
export function setupStatementCount(
  link: DatabaseLink,
  session: RequiredSessionState,
  inTransaction: boolean,
): number {
  const {reset, values, prepare} = setupOf(link, session, inTransaction);
  return (reset ? 1 : 0) + values.length + (prepare ? 1 : 0);
}

/**
 * Returns the statements that bring a connection to the session's state and
 * records that state on the link. Inside a transaction nothing is reset; only
 * missing values and prepared statements are added. The error tells what the
 * database cannot be sent; the link is unchanged then.
 */
export function setupStatements(
  link: DatabaseLink,
  session: RequiredSessionState,
  codec: DatabaseCodec,
  inTransaction: boolean,
): Result<string[], string> {
  const {reset, values, prepare} = setupOf(link, session, inTransaction);
  const setup: SetupStatement[] = values.map(([name, value]) => ({
    kind: 'set',
    name,
    value,
  }));
  if (prepare) setup.push({kind: 'prepare', prepared: prepare});
  const encoded = Result.combine(setup.map(codec.setupStatement));
  if (encoded.isErr()) return err(encoded.error);
  if (reset) link.prepared.clear();
  if (prepare) link.prepared.set(prepare.name, shapeKeyOf(prepare));
  link.valuesKey = valuesKeyOf(session);
  const resets = reset ? [codec.internalStatement({kind: 'reset'})] : [];
  return ok([...resets, ...encoded.value]);
}
