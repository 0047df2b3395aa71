/**
 * Framing and authentication between fronts: JSON-RPC 2.0 in MessagePack.
 * The side that accepts sends a nonce; the side that dials proves that it holds
 * the fleet's secret and names both ends.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Socket} from 'node:net';
import {PackrStream, UnpackrStream} from 'msgpackr';

/** Longest message of a peer; an answer's rows make the bulk of it. */
const MAX_MESSAGE_BYTES = 4 * 1_048_576;
/** First message of the dialling side. */
export interface Hello {
  readonly from: string;
  readonly to: string;
  readonly proof: string;
}

/** Proof of the secret for one connection. */
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

/** One side of a connection between fronts, as a channel of messages. */
export interface PeerChannel {
  send(message: unknown): void;
}

/**
 * Sends and receives messages over a socket. Field names are sent once a
 * connection. Bytes that are no message end the socket.
 */
export function openChannel(
  socket: Socket,
  take: (message: unknown) => void,
): PeerChannel {
  const encoder = new PackrStream();
  const decoder = new UnpackrStream();
  let held = 0;
  socket.on('data', chunk => {
    held += chunk.length;
    if (held > MAX_MESSAGE_BYTES) return void socket.destroy();
    decoder.write(chunk);
  });
  decoder.on('data', message => {
    held = 0;
    take(message);
  });
  decoder.on('error', () => socket.destroy());
  encoder.on('data', chunk => {
    if (!socket.destroyed) socket.write(chunk as Buffer);
  });
  return {send: message => void encoder.write(message)};
}
