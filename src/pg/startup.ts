/**
 * Messages of a caller before its session: requests for TLS, cancel requests,
 * the startup message and the password. Pure: it splits bytes and checks them.
 */
import {isUtf8} from 'node:buffer';
import {bodyOf, FrameCode, readCString} from './wire.js';

/** A message, or why the bytes are none. */
export type StartupMessage =
  | {readonly kind: 'tls'}
  /** A request for encryption by GSSAPI. */
  | {readonly kind: 'gss'}
  | {
      readonly kind: 'cancel';
      readonly processId: number;
      readonly secret: number;
    }
  | {
      readonly kind: 'startup';
      readonly parameters: ReadonlyMap<string, string>;
    }
  | {readonly kind: 'password'; readonly password: string}
  | {readonly kind: 'invalid'; readonly text: string};

const LENGTH_BYTES = 4;
const CODE_BYTES = 4;
const CANCEL_CODE = 80_877_102;
const TLS_CODE = 80_877_103;
const GSS_CODE = 80_877_104;
const CANCEL_BYTES = 16;
const PROTOCOL_3_0 = 0x0003_0000;

const invalid = (text: string): StartupMessage => ({kind: 'invalid', text});

/** Splits the bytes of a caller into messages, up to the session. */
export class StartupReader {
  private buffered: Buffer = Buffer.alloc(0);
  /** Whether the startup message was read, after which messages have a type. */
  private hasStarted = false;

  private constructor(private readonly maxMessageBytes: number) {}

  static create(options: {maxMessageBytes: number}): StartupReader {
    return new StartupReader(options.maxMessageBytes);
  }

  push(chunk: Buffer): void {
    this.buffered =
      this.buffered.length === 0
        ? chunk
        : Buffer.concat([this.buffered, chunk]);
  }

  /** Number of bytes behind the last message that was returned. */
  get bufferedBytes(): number {
    return this.buffered.length;
  }

  /** Returns and removes the bytes behind the last message. */
  takeRest(): Buffer {
    const rest = this.buffered;
    this.buffered = Buffer.alloc(0);
    return rest;
  }

  /** Returns the next message; undefined until it is complete. */
  next(): StartupMessage | undefined {
    const typeBytes = this.hasStarted ? 1 : 0;
    const headerBytes = typeBytes + LENGTH_BYTES;
    if (this.buffered.length < headerBytes) return undefined;
    const bytes = typeBytes + this.buffered.readUInt32BE(typeBytes);
    if (bytes < headerBytes || bytes > this.maxMessageBytes)
      return invalid('malformed or too large');
    if (this.buffered.length < bytes) return undefined;
    const message = this.buffered.subarray(0, bytes);
    this.buffered = this.buffered.subarray(bytes);
    if (this.hasStarted) return readPassword(message);
    const read = readUntyped(message);
    if (read.kind === 'startup') this.hasStarted = true;
    return read;
  }
}

function readUntyped(message: Buffer): StartupMessage {
  const body = message.subarray(LENGTH_BYTES);
  if (body.length < CODE_BYTES) return invalid('malformed');
  const code = body.readUInt32BE(0);
  const hasOnlyCode = body.length === CODE_BYTES;
  if (code === TLS_CODE && hasOnlyCode) return {kind: 'tls'};
  if (code === GSS_CODE && hasOnlyCode) return {kind: 'gss'};
  if (code === CANCEL_CODE && message.length === CANCEL_BYTES) {
    const [processId, secret] = [body.readUInt32BE(4), body.readInt32BE(8)];
    return {kind: 'cancel', processId, secret};
  }
  if (code !== PROTOCOL_3_0) return invalid('protocol version is not 3.0');
  const parameters = readParameters(body.subarray(CODE_BYTES));
  return parameters
    ? {kind: 'startup', parameters}
    : invalid('malformed parameters');
}

/** Reads pairs of strings up to an empty name at the end of the body. */
function readParameters(body: Buffer): Map<string, string> | undefined {
  if (!isUtf8(body)) return undefined;
  const parameters = new Map<string, string>();
  let offset = 0;
  for (;;) {
    const name = readCString(body, offset);
    if (!name) return undefined;
    if (name.bytes.length === 0)
      return name.end === body.length ? parameters : undefined;
    const value = readCString(body, name.end);
    const key = name.bytes.toString('utf8');
    if (!value || parameters.has(key)) return undefined;
    parameters.set(key, value.bytes.toString('utf8'));
    offset = value.end;
  }
}

function readPassword(frame: Buffer): StartupMessage {
  const body = bodyOf(frame);
  const password = readCString(body, 0);
  const isPassword =
    frame[0] === FrameCode.password && password?.end === body.length;
  return isPassword && isUtf8(password.bytes)
    ? {kind: 'password', password: password.bytes.toString('utf8')}
    : invalid('a password was expected');
}

/**
 * Returns names and values of the settings in the startup parameter `options`:
 * words separated by white space, where a backslash makes the next character
 * part of the word. A setting is `-c NAME=VALUE` or `--NAME=VALUE`.
 */
export function parseOptions(options: string): Array<[string, string]> {
  const words = (options.match(/(?:\\[\s\S]|[^\s\\])+/g) ?? []).map(word =>
    word.replace(/\\([\s\S])/g, '$1'),
  );
  const settings: Array<[string, string]> = [];
  for (let index = 0; index < words.length; index++) {
    const word = words[index];
    const isSwitch = word === '-c';
    if (!isSwitch && !word.startsWith('-c') && !word.startsWith('--')) continue;
    const setting = isSwitch ? (words[++index] ?? '') : word.slice(2);
    const separator = setting.indexOf('=');
    if (separator <= 0) continue;
    const name = setting.slice(0, separator).replaceAll('-', '_');
    settings.push([name, setting.slice(separator + 1)]);
  }
  return settings;
}
