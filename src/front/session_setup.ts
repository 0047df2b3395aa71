/** Brings a database connection to the state that a session's statement needs. */
import {
  preparationFor,
  shapeKeyOf,
  valuesKeyOf,
} from '../core/session_state.js';
import {SessionSlice} from '../core/work.js';
import {DatabaseLink} from './database_link.js';
import {DatabaseCodec} from './wire_types.js';

/**
 * The statements that a connection lacks, noted on the link as done. Inside a
 * transaction (`keeps`) only what is missing is added; nothing is reset.
 */
export function setupTexts(
  link: DatabaseLink,
  session: SessionSlice,
  codec: DatabaseCodec,
  keeps: boolean,
): string[] {
  const held = keeps ? {valuesKey: '', prepared: new Map()} : link;
  const needed = preparationFor(held, session);
  const sameValues = keeps && link.valuesKey === valuesKeyOf(session);
  const texts: string[] = [];
  if (needed.reset) {
    texts.push(codec.own({kind: 'reset'}));
    link.prepared.clear();
  }
  for (const [name, value] of sameValues ? [] : needed.values) {
    texts.push(codec.own({kind: 'set', name, value}));
  }
  const {prepare} = needed;
  if (prepare && link.prepared.get(prepare.name) !== shapeKeyOf(prepare)) {
    texts.push(codec.own({kind: 'prepare', prepared: prepare}));
    link.prepared.set(prepare.name, shapeKeyOf(prepare));
  }
  link.valuesKey = valuesKeyOf(session);
  return texts;
}
