/** Parses frontend frames into the messages that batches are built from. */
import {FrontendMessage} from '../core/batch.js';
import {bodyOf, FrameCode, frameOf, readCString} from './wire.js';

/** First body byte of a Describe or Close that names a prepared statement. */
const STATEMENT_TARGET = 0x53;

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

function readParse(frame: Buffer): FrontendMessage {
  const body = bodyOf(frame);
  const [name, textOffset] = readCString(body, 0);
  const [text] = readCString(body, textOffset);
  const unnamedFrame =
    name === '' ? frame : withoutName(FrameCode.parse, body, 0, textOffset);
  return {type: 'parse', name, text, unnamedFrame};
}

function readBind(frame: Buffer): FrontendMessage {
  const body = bodyOf(frame);
  const [, nameOffset] = readCString(body, 0);
  const [name, nameEnd] = readCString(body, nameOffset);
  const unnamedFrame =
    name === ''
      ? frame
      : withoutName(FrameCode.bind, body, nameOffset, nameEnd);
  return {type: 'bind', name, unnamedFrame};
}

function readDescribeOrClose(
  code: number,
  frame: Buffer,
  statementType: 'describeStatement' | 'closeStatement',
  portalType: 'describePortal' | 'closePortal',
): FrontendMessage {
  const body = bodyOf(frame);
  if (body[0] !== STATEMENT_TARGET) return {type: portalType, frame};
  const [name, nameEnd] = readCString(body, 1);
  const unnamedFrame =
    name === '' ? frame : withoutName(code, body, 1, nameEnd);
  return {type: statementType, name, unnamedFrame};
}

/** Parses a frame; returns undefined for an unsupported message type. */
export function parseFrontendFrame(
  code: number,
  frame: Buffer,
): FrontendMessage | undefined {
  switch (code) {
    case FrameCode.query:
      return {type: 'query', text: readCString(bodyOf(frame), 0)[0], frame};
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
      return {type: 'execute', frame};
    case FrameCode.sync:
      return {type: 'sync', frame};
    case FrameCode.flush:
      return {type: 'flush', frame};
    default:
      return undefined;
  }
}
