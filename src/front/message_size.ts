/** Sizes of messages between fronts, known before they are encoded. */
import {MAX_MESSAGE_BYTES} from './peer_protocol.js';

/**
 * The receiver counts bytes by chunks, each of which may also hold the end of
 * the message before; Node reads at most this many bytes at once.
 */
const MAX_CHUNK_BYTES = 65_536;
/** Longest message that the receiver accepts however it is cut. */
export const MAX_SENT_BYTES = MAX_MESSAGE_BYTES - MAX_CHUNK_BYTES;
/** Room for the envelope of a call or an answer. */
export const MAX_CONTENT_BYTES = MAX_SENT_BYTES - 1_024;

/** Most bytes that precede a text or a list, and that a number takes. */
const HEADER_BYTES = 9;
/** Most bytes of a UTF-16 code unit in UTF-8. */
const MAX_CODE_UNIT_BYTES = 3;
/** Length up to which the bound of a text is taken, not its exact size. */
const SHORT_TEXT_LENGTH = 1_024;

const maxTextBytes = (text: string): number =>
  text.length <= SHORT_TEXT_LENGTH
    ? text.length * MAX_CODE_UNIT_BYTES
    : Buffer.byteLength(text);

/** Returns how many bytes a value takes at most in MessagePack. */
export function maxEncodedBytes(value: unknown): number {
  if (typeof value === 'string') return HEADER_BYTES + maxTextBytes(value);
  if (typeof value !== 'object' || value === null) return HEADER_BYTES;
  if (Buffer.isBuffer(value)) return HEADER_BYTES + value.length;
  let bytes = HEADER_BYTES;
  if (Array.isArray(value)) {
    for (const element of value) bytes += maxEncodedBytes(element);
    return bytes;
  }
  for (const [name, field] of Object.entries(value)) {
    bytes += HEADER_BYTES + maxTextBytes(name) + maxEncodedBytes(field);
  }
  return bytes;
}
