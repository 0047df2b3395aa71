/**
 * PostgreSQL wire frames: splitting a byte stream and building the few
 * messages the proxy itself originates. Frames are one type byte, a 32-bit
 * length that counts itself, and the body.
 */
import {Writer} from 'pg-protocol/dist/buffer-writer.js';
import {answerOf, Failure} from '../core/errors.js';

const HEADER_BYTES = 5;
const LENGTH_OFFSET = 1;

/** Frame type bytes used by the proxy. */
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
  /** Proxy to proxy only: a JSON-RPC message. */
  rpc: 0x21,
  /** Proxy to proxy only: the frames of one batch. */
  batch: 0x40,
} as const;

/** Receives one whole frame, header included. */
export type FrameHandler = (code: number, frame: Buffer) => void;

/** Splits a byte stream into frames. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private chunkBytes = 0;
  private neededBytes = HEADER_BYTES;

  private constructor(private readonly maxFrameBytes: number) {}

  static create(options: {maxFrameBytes: number}): FrameReader {
    return new FrameReader(options.maxFrameBytes);
  }

  /** Feeds a chunk. Returns false when a frame is malformed or too large. */
  push(chunk: Buffer, onFrame: FrameHandler): boolean {
    this.chunks.push(chunk);
    this.chunkBytes += chunk.length;
    if (this.chunkBytes < this.neededBytes) return true;
    const data = this.chunks.length === 1 ? chunk : Buffer.concat(this.chunks);
    return this.split(data, onFrame);
  }

  /** Bytes held back for an incomplete frame. */
  get bufferedBytes(): number {
    return this.chunkBytes;
  }

  private split(data: Buffer, onFrame: FrameHandler): boolean {
    let at = 0;
    this.neededBytes = HEADER_BYTES;
    while (data.length - at >= HEADER_BYTES) {
      const bodyBytes = data.readUInt32BE(at + LENGTH_OFFSET);
      if (bodyBytes < 4 || bodyBytes > this.maxFrameBytes) return false;
      const end = at + 1 + bodyBytes;
      if (end > data.length) {
        this.neededBytes = end - at;
        break;
      }
      onFrame(data[at], data.subarray(at, end));
      at = end;
    }
    this.chunks = at < data.length ? [data.subarray(at)] : [];
    this.chunkBytes = data.length - at;
    return true;
  }
}

/** The body of a frame. */
export const bodyOf = (frame: Buffer): Buffer => frame.subarray(HEADER_BYTES);

/** Reads a zero-terminated string; returns it and the offset after it. */
export function readCString(buffer: Buffer, at: number): [string, number] {
  const end = buffer.indexOf(0, at);
  if (end < 0) return [buffer.toString('utf8', at), buffer.length];
  return [buffer.toString('utf8', at, end), end + 1];
}

/** Builds a frame from a body. */
export function frameOf(code: number, body: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame[0] = code;
  frame.writeUInt32BE(body.length + 4, LENGTH_OFFSET);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/** A frame without a body. */
export const emptyFrame = (code: number): Buffer =>
  frameOf(code, Buffer.alloc(0));

export type TransactionStatus = 'I' | 'T' | 'E';

const writer = new Writer();

/** ReadyForQuery. */
export const readyForQueryFrame = (status: TransactionStatus): Buffer =>
  frameOf(FrameCode.ready, Buffer.from(status));

/** The status byte of a ReadyForQuery frame. */
export const transactionStatusOf = (frame: Buffer): TransactionStatus =>
  String.fromCharCode(frame[HEADER_BYTES]) as TransactionStatus;

/** ParameterStatus. */
export const parameterStatusFrame = (name: string, value: string): Buffer =>
  Buffer.from(
    writer.addCString(name).addCString(value).flush(FrameCode.parameterStatus),
  );

/** CommandComplete. */
export const commandCompleteFrame = (tag: string): Buffer =>
  Buffer.from(writer.addCString(tag).flush(FrameCode.commandComplete));

/** AuthenticationOk. */
export const authenticationOkFrame = (): Buffer =>
  Buffer.from(writer.addInt32(0).flush(FrameCode.authentication));

/** BackendKeyData. */
export const backendKeyDataFrame = (
  processId: number,
  secret: number,
): Buffer =>
  Buffer.from(
    writer.addInt32(processId).addInt32(secret).flush(FrameCode.backendKey),
  );

/** RowDescription with text columns. */
export function rowDescriptionFrame(columns: readonly string[]): Buffer {
  const TEXT_OID = 25;
  writer.addInt16(columns.length);
  for (const column of columns) {
    writer.addCString(column).addInt32(0).addInt16(0);
    writer.addInt32(TEXT_OID).addInt16(-1).addInt32(-1).addInt16(0);
  }
  return Buffer.from(writer.flush(FrameCode.rowDescription));
}

/** DataRow of text values. */
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

/** ErrorResponse with explicit fields. */
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

/** ErrorResponse for a failure; the detail names the kind and outcome. */
export function failureFrame(failure: Failure): Buffer {
  const answer = answerOf(failure.kind);
  return errorResponseFrame(
    answer.severity,
    answer.sqlState,
    failure.message,
    `kind=${failure.kind} outcome=${answer.outcome}`,
  );
}

/** Frames up to this total are copied into one write. */
const COALESCED_BYTES = 32 * 1024;

/** Anything that takes bytes, as a socket does. */
interface ByteSink {
  write(bytes: Buffer): boolean;
  cork(): void;
  uncork(): void;
}

/** Writes frames with as few system calls as possible; false: congested. */
export function writeFrames(
  sink: ByteSink,
  frames: readonly Buffer[],
): boolean {
  if (frames.length === 1) return sink.write(frames[0]);
  const bytes = frames.reduce((sum, frame) => sum + frame.length, 0);
  if (bytes <= COALESCED_BYTES) return sink.write(Buffer.concat(frames, bytes));
  let roomy = true;
  sink.cork();
  for (const frame of frames) roomy = sink.write(frame);
  sink.uncork();
  return roomy;
}
