/**
 * PostgreSQL wire frames: splitting a byte stream into frames, and encoding the
 * messages that the proxy sends itself. A frame is one type byte, a 32-bit
 * length that includes its own four bytes, and the body.
 */
import {Writer} from 'pg-protocol/dist/buffer-writer.js';
import {answerOf, Failure} from '../core/errors.js';

const HEADER_BYTES = 5;
const LENGTH_OFFSET = 1;

/** Type bytes of frames. Some have a different meaning in each direction. */
export const FrameCode = {
  authentication: 0x52,
  backendKey: 0x4b,
  bind: 0x42,
  bindComplete: 0x32,
  close: 0x43,
  commandComplete: 0x43,
  copyIn: 0x47,
  copyOut: 0x48,
  copyFail: 0x66,
  dataRow: 0x44,
  describe: 0x44,
  emptyQuery: 0x49,
  error: 0x45,
  execute: 0x45,
  flush: 0x48,
  noData: 0x6e,
  notice: 0x4e,
  notification: 0x41,
  parameterDescription: 0x74,
  parameterStatus: 0x53,
  parse: 0x50,
  parseComplete: 0x31,
  password: 0x70,
  query: 0x51,
  ready: 0x5a,
  rowDescription: 0x54,
  closeComplete: 0x33,
  sync: 0x53,
  terminate: 0x58,
  /** Between VMs only: a JSON-RPC notification. */
  rpc: 0x21,
  /** Between VMs only: the frames of one batch. */
  batch: 0x40,
} as const;

/** Whether frames of a type are sent between VMs only. */
export const isInternalCode = (code: number): boolean =>
  code === FrameCode.rpc || code === FrameCode.batch;

/** Receives a complete frame, including its header. */
export type FrameHandler = (code: number, frame: Buffer) => void;

/** Splits a byte stream into frames. */
export class FrameReader {
  /** Bytes of an incomplete frame. */
  private chunks: Buffer[] = [];
  private chunkBytes = 0;
  /**
   * Number of buffered bytes needed before the next frame, or its header, is
   * complete.
   */
  private neededBytes = HEADER_BYTES;

  private constructor(private readonly maxFrameBytes: number) {}

  static create(options: {maxFrameBytes: number}): FrameReader {
    return new FrameReader(options.maxFrameBytes);
  }

  /** Processes a chunk; returns false if a frame is malformed or too large. */
  push(chunk: Buffer, onFrame: FrameHandler): boolean {
    this.chunks.push(chunk);
    this.chunkBytes += chunk.length;
    if (this.chunkBytes < this.neededBytes) return true;
    const data = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks);
    return this.split(data, onFrame);
  }

  /** Number of buffered bytes of an incomplete frame. */
  get bufferedBytes(): number {
    return this.chunkBytes;
  }

  private split(data: Buffer, onFrame: FrameHandler): boolean {
    let offset = 0;
    this.neededBytes = HEADER_BYTES;
    while (data.length - offset >= HEADER_BYTES) {
      const lengthField = data.readUInt32BE(offset + LENGTH_OFFSET);
      if (lengthField < 4 || lengthField > this.maxFrameBytes) return false;
      const end = offset + 1 + lengthField;
      if (end > data.length) {
        this.neededBytes = end - offset;
        break;
      }
      onFrame(data[offset], data.subarray(offset, end));
      offset = end;
    }
    this.chunks = offset < data.length ? [data.subarray(offset)] : [];
    this.chunkBytes = data.length - offset;
    return true;
  }
}

export const bodyOf = (frame: Buffer): Buffer => frame.subarray(HEADER_BYTES);

/** A zero-terminated string in a buffer, and the offset that follows it. */
export interface CString {
  readonly bytes: Buffer;
  readonly end: number;
}

/** Reads a zero-terminated string; undefined if it has no end. */
export function readCString(
  buffer: Buffer,
  offset: number,
): CString | undefined {
  const end = buffer.indexOf(0, offset);
  if (end < 0) return undefined;
  return {bytes: buffer.subarray(offset, end), end: end + 1};
}

/** Returns name and value of a ParameterStatus; undefined if malformed. */
export function parseParameterStatus(
  frame: Buffer,
): {readonly name: string; readonly value: string} | undefined {
  const body = bodyOf(frame);
  const name = readCString(body, 0);
  const value = name && readCString(body, name.end);
  if (!name || value?.end !== body.length) return undefined;
  return {
    name: name.bytes.toString('utf8'),
    value: value.bytes.toString('utf8'),
  };
}

/** Prefixes a body with its type byte and length. */
export function frameOf(code: number, body: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame[0] = code;
  frame.writeUInt32BE(body.length + 4, LENGTH_OFFSET);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** Builds a frame without a body. */
export const emptyFrame = (code: number): Buffer =>
  frameOf(code, Buffer.alloc(0));

/** Idle, in a transaction, or in a failed transaction. */
export type TransactionStatus = 'I' | 'T' | 'E';

const writer = new Writer();

export const readyForQueryFrame = (status: TransactionStatus): Buffer =>
  frameOf(FrameCode.ready, Buffer.from(status));

/** Returns the transaction status in a ReadyForQuery frame. */
export const transactionStatusOf = (frame: Buffer): TransactionStatus =>
  String.fromCharCode(frame[HEADER_BYTES]) as TransactionStatus;

export const parameterStatusFrame = (name: string, value: string): Buffer =>
  Buffer.from(
    writer.addCString(name).addCString(value).flush(FrameCode.parameterStatus),
  );

/**
 * Builds a CommandComplete frame; the tag names the command, as in `SELECT 1`.
 */
export const commandCompleteFrame = (tag: string): Buffer =>
  Buffer.from(writer.addCString(tag).flush(FrameCode.commandComplete));

export const authenticationOkFrame = (): Buffer =>
  Buffer.from(writer.addInt32(0).flush(FrameCode.authentication));

/** Builds a frame that asks for a password in clear text. */
export const authenticationPasswordFrame = (): Buffer =>
  Buffer.from(writer.addInt32(3).flush(FrameCode.authentication));

/** Builds a BackendKeyData frame. */
export const backendKeyDataFrame = (
  processId: number,
  secret: number,
): Buffer =>
  Buffer.from(
    writer.addInt32(processId).addInt32(secret).flush(FrameCode.backendKey),
  );

/** Builds a RowDescription frame with columns of type text. */
export function rowDescriptionFrame(columns: readonly string[]): Buffer {
  const TEXT_OID = 25;
  writer.addInt16(columns.length);
  for (const column of columns) {
    writer.addCString(column).addInt32(0).addInt16(0);
    writer.addInt32(TEXT_OID).addInt16(-1).addInt32(-1).addInt16(0);
  }
  return Buffer.from(writer.flush(FrameCode.rowDescription));
}

/** Builds a DataRow frame with values in text format. */
export function dataRowFrame(values: readonly (string | null)[]): Buffer {
  writer.addInt16(values.length);
  for (const value of values) {
    if (value === null) {
      writer.addInt32(-1);
    } else {
      writer.addInt32(Buffer.byteLength(value)).addString(value);
    }
  }
  return Buffer.from(writer.flush(FrameCode.dataRow));
}

/**
 * Builds an ErrorResponse frame; the severity is sent in both of its fields,
 * `S` and `V`.
 */
export const errorResponseFrame = (
  severity: string,
  sqlState: string,
  message: string,
  detail?: string,
): Buffer => {
  writer.addString('S').addCString(severity);
  writer.addString('V').addCString(severity);
  writer.addString('C').addCString(sqlState);
  writer.addString('M').addCString(message);
  if (detail) writer.addString('D').addCString(detail);
  return Buffer.from(writer.addString('\0').flush(FrameCode.error));
};

/** Builds an ErrorResponse for a failure, with kind and outcome as detail. */
export function failureFrame(failure: Failure): Buffer {
  const answer = answerOf(failure.kind);
  return errorResponseFrame(
    answer.severity,
    answer.sqlState,
    failure.message,
    `kind=${failure.kind} outcome=${answer.outcome}`,
  );
}

/** Frames up to this total size are copied into one buffer. */
const MAX_COPY_BYTES = 32 * 1024;

/** The methods of a socket that `writeFrames` uses. */
interface ByteSink {
  write(bytes: Buffer): boolean;
  cork(): void;
  uncork(): void;
}

/**
 * Writes frames with as few system calls as possible. Returns false if the
 * caller should wait for `drain`.
 */
export function writeFrames(
  sink: ByteSink,
  frames: readonly Buffer[],
): boolean {
  if (frames.length === 1) return sink.write(frames[0]);
  const bytes = frames.reduce((sum, frame) => sum + frame.length, 0);
  if (bytes <= MAX_COPY_BYTES) return sink.write(Buffer.concat(frames, bytes));
  let hasRoom = true;
  sink.cork();
  for (const frame of frames) hasRoom = sink.write(frame);
  sink.uncork();
  return hasRoom;
}
