/** Brings a database connection to the state that a session's statement needs. */
import {
  preparationFor,
  shapeKeyOf,
  valuesKeyOf,
} from '../core/session_state.js';
import {RequiredSessionState} from '../core/work.js';
import {DatabaseLink} from './database_link.js';
import {DatabaseCodec} from './wire_types.js';

/**
 * The statements that a connection lacks, noted on the link as done. Inside a
 * transaction (`keeps`) only what is missing is added; nothing is reset.
 */
export function setupStatements(
  link: DatabaseLink,
  session: RequiredSessionState,
  codec: DatabaseCodec,
  keeps: boolean,
): string[] {
  const held = keeps ? {valuesKey: '', prepared: new Map()} : link;
  const needed = preparationFor(held, session);
  const sameValues = keeps && link.valuesKey === valuesKeyOf(session);
  const texts: string[] = [];
  if (needed.reset) {
    texts.push(codec.internalStatement({kind: 'reset'}));
    link.prepared.clear();
  }
  for (const [name, value] of sameValues ? [] : needed.values) {
    texts.push(codec.internalStatement({kind: 'set', name, value}));
  }
  const {prepare} = needed;
  if (prepare && link.prepared.get(prepare.name) !== shapeKeyOf(prepare)) {
    texts.push(codec.internalStatement({kind: 'prepare', prepared: prepare}));
    link.prepared.set(prepare.name, shapeKeyOf(prepare));
  }
  link.valuesKey = valuesKeyOf(session);
  return texts;
}
