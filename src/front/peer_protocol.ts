/**
 * Framing and authentication between fronts: JSON-RPC 2.0 in MessagePack.
 * The accepting side sends a nonce. The connecting side answers with both names
 * and a proof that it holds the fleet's secret: an HMAC of the nonce and names.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {Socket} from 'node:net';
import {PackrStream, UnpackrStream} from 'msgpackr';

/** Maximum size of a message; rows of an answer take most of it. */
export const MAX_MESSAGE_BYTES = 4 * 1_048_576;
/** Maximum size of a message before both sides have proved themselves. */
export const MAX_HELLO_BYTES = 4_096;
/** Longest name that a hello may have. */
const MAX_NAME_LENGTH = 255;

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

/** No line feeds, which separate the names that a proof is for. */
const isName = (value: unknown): value is string =>
  typeof value === 'string' &&
  value.length <= MAX_NAME_LENGTH &&
  !value.includes('\n');

const isOptionalName = (value: unknown): value is string | undefined =>
  value === undefined || isName(value);

const fieldsOf = (message: unknown): Readonly<Record<string, unknown>> =>
  typeof message === 'object' && message !== null
    ? (message as Readonly<Record<string, unknown>>)
    : {};

/** Decodes the first message of the accepting side; undefined if invalid. */
export function decodeNonce(message: unknown): string | undefined {
  const {nonce} = fieldsOf(message);
  return isName(nonce) ? nonce : undefined;
}

/** Decodes a hello; undefined if the message is none. */
export function decodeHello(message: unknown): Hello | undefined {
  const {from, to, proof, process} = fieldsOf(message);
  const isHello = isName(from) && isName(to) && isName(proof);
  if (!isHello || !isOptionalName(process)) return undefined;
  return {from, to, proof, process};
}

/** Decodes a welcome; undefined if the message is none. */
export function decodeWelcome(message: unknown): Welcome | undefined {
  const {welcome, process} = fieldsOf(message);
  if (welcome !== true || !isOptionalName(process)) return undefined;
  return {welcome, process};
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
 * connection. Closes the socket on bytes that are no message, on a message
 * longer than `maxBytes` returns at its time, and if `onMessage` throws:
 * whatever the other side sends ends no more than its own connection.
 */
export function openChannel(
  socket: Socket,
  onMessage: (message: unknown) => void,
  maxBytes: () => number = () => MAX_MESSAGE_BYTES,
): PeerChannel {
  const encoder = new PackrStream();
  const decoder = new UnpackrStream();
  let pendingBytes = 0;
  const guard = (action: () => void): void => {
    try {
      action();
    } catch (error) {
      socket.destroy(error as Error);
    }
  };
  socket.on('data', chunk => {
    if (socket.destroyed) return;
    pendingBytes += chunk.length;
    if (pendingBytes > maxBytes()) return void socket.destroy();
    guard(() => decoder.write(chunk));
  });
  decoder.on('data', message => {
    pendingBytes = 0;
    if (!socket.destroyed) guard(() => onMessage(message));
  });
  decoder.on('error', () => socket.destroy());
  encoder.on('data', chunk => {
    if (!socket.destroyed) socket.write(chunk as Buffer);
  });
  return {send: message => void encoder.write(message)};
}
