/** Parses frontend frames into the messages that batches are built from. */
import {FrontendMessage} from '../core/batch.js';
import {bodyOf, CString, FrameCode, frameOf, readCString} from './wire.js';

/** First body byte of a Describe or Close that names a prepared statement. */
const STATEMENT_TARGET = 0x53;
/** First body byte of a Describe or Close that names a portal. */
const PORTAL_TARGET = 0x50;
const COUNT_BYTES = 2;
const TYPE_BYTES = 4;
const ROW_LIMIT_BYTES = 4;

/** Builds a frame with an empty name in place of `[start, end)` of `body`. */
function withoutName(
  code: number,
  body: Buffer,
  start: number,
  end: number,
): Buffer {
  return frameOf(
    code,
    Buffer.concat([body.subarray(0, start), Buffer.of(0), body.subarray(end)]),
  );
}

/**
 * Returns a name as a key, one character for each byte: names in bytes that are
 * not UTF-8 stay different.
 */
const keyOfName = ({bytes}: CString): string => bytes.toString('latin1');

function readQuery(frame: Buffer): FrontendMessage | undefined {
  const body = bodyOf(frame);
  const text = readCString(body, 0);
  if (text?.end !== body.length) return undefined;
  return {type: 'query', text: text.bytes.toString('utf8'), frame};
}

function readParse(frame: Buffer): FrontendMessage | undefined {
  const body = bodyOf(frame);
  const name = readCString(body, 0);
  const text = name && readCString(body, name.end);
  if (!name || !text || !endsWithTypes(body, text.end)) return undefined;
  const unnamedFrame =
    name.bytes.length === 0
      ? frame
      : withoutName(FrameCode.parse, body, 0, name.end);
  return {
    type: 'parse',
    name: keyOfName(name),
    text: text.bytes.toString('utf8'),
    unnamedFrame,
  };
}

/** Whether a Parse holds just a count and as many types of parameters. */
function endsWithTypes(body: Buffer, offset: number): boolean {
  if (body.length < offset + COUNT_BYTES) return false;
  const count = body.readUInt16BE(offset);
  return body.length === offset + COUNT_BYTES + count * TYPE_BYTES;
}

function readBind(frame: Buffer): FrontendMessage | undefined {
  const body = bodyOf(frame);
  const portal = readCString(body, 0);
  const name = portal && readCString(body, portal.end);
  if (!portal || !name) return undefined;
  const unnamedFrame =
    name.bytes.length === 0
      ? frame
      : withoutName(FrameCode.bind, body, portal.end, name.end);
  return {type: 'bind', name: keyOfName(name), unnamedFrame};
}

function readDescribeOrClose(
  code: number,
  frame: Buffer,
  statementType: 'describeStatement' | 'closeStatement',
  portalType: 'describePortal' | 'closePortal',
): FrontendMessage | undefined {
  const body = bodyOf(frame);
  const name = readCString(body, 1);
  if (name?.end !== body.length) return undefined;
  if (body[0] === PORTAL_TARGET) return {type: portalType, frame};
  if (body[0] !== STATEMENT_TARGET) return undefined;
  const unnamedFrame =
    name.bytes.length === 0 ? frame : withoutName(code, body, 1, name.end);
  return {type: statementType, name: keyOfName(name), unnamedFrame};
}

/** A portal and the largest number of rows. */
function readExecute(frame: Buffer): FrontendMessage | undefined {
  const body = bodyOf(frame);
  const portal = readCString(body, 0);
  if (portal?.end !== body.length - ROW_LIMIT_BYTES) return undefined;
  return {type: 'execute', frame};
}

/**
 * Parses a frame; returns undefined for an unsupported message type, and for a
 * message that the database could read in another way.
 */
export function parseFrontendFrame(
  code: number,
  frame: Buffer,
): FrontendMessage | undefined {
  switch (code) {
    case FrameCode.query:
      return readQuery(frame);
    case FrameCode.parse:
      return readParse(frame);
    case FrameCode.bind:
      return readBind(frame);
    case FrameCode.describe:
      return readDescribeOrClose(
        code,
        frame,
        'describeStatement',
        'describePortal',
      );
    case FrameCode.close:
      return readDescribeOrClose(code, frame, 'closeStatement', 'closePortal');
    case FrameCode.execute:
      return readExecute(frame);
    case FrameCode.sync:
    case FrameCode.flush:
      if (bodyOf(frame).length > 0) return undefined;
      return {type: code === FrameCode.sync ? 'sync' : 'flush', frame};
    default:
      return undefined;
  }
}
