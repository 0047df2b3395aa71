/**
 * Framing and authentication between fronts: JSON-RPC 2.0 in MessagePack.
 * The accepting side sends a nonce. The connecting side answers with both names
 * and a proof that it holds the fleet's secret: an HMAC of the nonce and names.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Socket} from 'node:net';
import {PackrStream, UnpackrStream} from 'msgpackr';

/** Maximum size of a message; rows of an answer take most of it. */
const MAX_MESSAGE_BYTES = 4 * 1_048_576;

/** First message of the connecting side. */
export interface Hello {
  readonly from: string;
  readonly to: string;
  readonly proof: string;
  /** Id of the sending process; absent in earlier versions. */
  readonly process?: string;
}

/** Answer to a valid hello. */
export interface Welcome {
  readonly welcome: true;
  /** Id of the sending process; absent in earlier versions. */
  readonly process?: string;
}

/** Returns the proof of the secret for one connection. */
export const createProof = (
  secret: string,
  nonce: string,
  from: string,
  to: string,
): string =>
  createHmac('sha256', secret).update(`${nonce}\n${from}\n${to}`).digest('hex');

/** Checks a proof in constant time. */
export function isValidProof(given: string, expected: string): boolean {
  const a = Buffer.from(given);
  const b = Buffer.from(expected);
  return a.length === b.length && timingSafeEqual(a, b);
}

/** Sending side of a message channel between fronts. */
export interface PeerChannel {
  send(message: unknown): void;
}

/**
 * Sends and receives messages over a socket. Field names are sent only once per
 * connection. Closes the socket on bytes that are no message or are too long.
 */
export function openChannel(
  socket: Socket,
  onMessage: (message: unknown) => void,
): PeerChannel {
  const encoder = new PackrStream();
  const decoder = new UnpackrStream();
  let pendingBytes = 0;
  socket.on('data', chunk => {
    pendingBytes += chunk.length;
    if (pendingBytes > MAX_MESSAGE_BYTES) return void socket.destroy();
    decoder.write(chunk);
  });
  decoder.on('data', message => {
    pendingBytes = 0;
    onMessage(message);
  });
  decoder.on('error', () => socket.destroy());
  encoder.on('data', chunk => {
    if (!socket.destroyed) socket.write(chunk as Buffer);
  });
  return {send: message => void encoder.write(message)};
}
