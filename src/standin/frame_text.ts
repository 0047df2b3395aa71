/** Texts in the frames that a stand-in database receives. */
import {readCString} from '../pg/wire.js';
import {SqlError} from './sql_expressions.js';

/** Reads a zero-terminated text; returns it and the offset that follows. */
export function readText(buffer: Buffer, offset: number): [string, number] {
  const text = readCString(buffer, offset);
  if (!text) throw SqlError.create('08P01', 'invalid message format');
  return [text.bytes.toString('utf8'), text.end];
}
