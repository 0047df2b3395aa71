/** Establishes a session's values and prepared statements on a connection. */
import {
  preparationFor,
  shapeKeyOf,
  valuesKeyOf,
} from '../core/session_state.js';
import {RequiredSessionState} from '../core/work.js';
import {DatabaseLink} from './database_link.js';
import {DatabaseCodec} from './wire_types.js';

/**
 * Returns the statements that bring a connection to the session's state and
 * records that state on the link. Inside a transaction nothing is reset; only
 * missing values and prepared statements are added.
 */
export function setupStatements(
  link: DatabaseLink,
  session: RequiredSessionState,
  codec: DatabaseCodec,
  inTransaction: boolean,
): string[] {
  const held = inTransaction ? {valuesKey: '', prepared: new Map()} : link;
  const preparation = preparationFor(held, session);
  const hasSameValues =
    inTransaction && link.valuesKey === valuesKeyOf(session);
  const statements: string[] = [];
  if (preparation.reset) {
    statements.push(codec.internalStatement({kind: 'reset'}));
    link.prepared.clear();
  }
  for (const [name, value] of hasSameValues ? [] : preparation.values) {
    statements.push(codec.internalStatement({kind: 'set', name, value}));
  }
  const {prepare} = preparation;
  if (prepare && link.prepared.get(prepare.name) !== shapeKeyOf(prepare)) {
    statements.push(
      codec.internalStatement({kind: 'prepare', prepared: prepare}),
    );
    link.prepared.set(prepare.name, shapeKeyOf(prepare));
  }
  link.valuesKey = valuesKeyOf(session);
  return statements;
}
