/**
 * Readers of JSON documents and base64 that others wrote. They are strict:
 * replacing or skipping bytes would make different texts equal.
 */
import {isUtf8} from 'node:buffer';

/** Decodes UTF-8; throws for other bytes. */
export function decodeUtf8(bytes: Buffer): string {
  if (!isUtf8(bytes)) throw new SyntaxError('not valid UTF-8');
  return bytes.toString('utf8');
}

/** Parses JSON; throws unless the bytes are valid UTF-8 and JSON. */
export const parseJson = (bytes: Buffer): unknown =>
  JSON.parse(decodeUtf8(bytes));

/** Standard base64 with padding. */
const BASE64_PATTERN =
  /^(?:[A-Za-z0-9+/]{4})*(?:[A-Za-z0-9+/]{2}==|[A-Za-z0-9+/]{3}=)?$/;

/** Decodes standard base64 with padding; undefined if the text is none. */
export const parseBase64 = (text: string): Buffer | undefined =>
  BASE64_PATTERN.test(text) ? Buffer.from(text, 'base64') : undefined;

/**
 * Reads chunks to their end; undefined if they have more than `maxBytes`. They
 * are decoded together, as a character may be cut in two.
 */
export async function readAll(
  chunks: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const read: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of chunks) {
    bytes += chunk.length;
    if (bytes > maxBytes) return undefined;
    read.push(chunk);
  }
  return Buffer.concat(read);
}
