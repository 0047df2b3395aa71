/**
 * Framing and authentication between fronts: JSON-RPC 2.0, one message a line.
 * The side that accepts sends a nonce; the side that dials proves that it holds
 * the fleet's secret and names both ends.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Socket} from 'node:net';

/** Longest line of a peer; an answer's rows make the bulk of it. */
const MAX_LINE_CHARS = 4 * 1_048_576;

/** First line of the dialling side. */
export interface Hello {
  readonly from: string;
  readonly to: string;
  readonly proof: string;
}

/** Proof of the secret for one connection. */
export const prove = (
  secret: string,
  nonce: string,
  from: string,
  to: string,
): string =>
  createHmac('sha256', secret)
    .update(`${nonce}\n${from}\n${to}`)
    .digest('hex');

/** Checks a proof in constant time. */
export function isProof(given: string, expected: string): boolean {
  const a = Buffer.from(given);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
}

/** Writes one message. */
export function sendLine(socket: Socket, message: unknown): void {
  if (!socket.destroyed) socket.write(JSON.stringify(message) + '\n');
}

/** Calls back for each message; a line that cannot be read ends the socket. */
export function onLines(
  socket: Socket,
  take: (message: unknown) => void,
): void {
  let rest = '';
  socket.setEncoding('utf8');
  socket.on('data', (chunk: string) => {
    const lines = (rest + chunk).split('\n');
    rest = lines.pop() ?? '';
    if (rest.length > MAX_LINE_CHARS) return void socket.destroy();
    for (const line of lines) {
      let message: unknown;
      try {
        message = JSON.parse(line);
      } catch {
        return void socket.destroy();
      }
      take(message);
    }
  });
}
