/** Reads frontend frames into the messages that batches are built from. */
import {FrontendMessage} from '../core/batch.js';
import {bodyOf, FrameCode, frameOf, readCString} from './wire.js';

const STATEMENT = 0x53;

/** Replaces the name in `[start, end)` of a body by the empty name. */
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
  const [name, textAt] = readCString(body, 0);
  const [text] = readCString(body, textAt);
  const unnamedFrame =
    name === '' ? frame : withoutName(FrameCode.parse, body, 0, textAt);
  return {type: 'parse', name, text, unnamedFrame};
}

function readBind(frame: Buffer): FrontendMessage {
  const body = bodyOf(frame);
  const [, nameAt] = readCString(body, 0);
  const [name, rest] = readCString(body, nameAt);
  const unnamedFrame =
    name === '' ? frame : withoutName(FrameCode.bind, body, nameAt, rest);
  return {type: 'bind', name, unnamedFrame};
}

function readTarget(
  code: number,
  frame: Buffer,
  statement: 'describeStatement' | 'closeStatement',
  portal: 'describePortal' | 'closePortal',
): FrontendMessage {
  const body = bodyOf(frame);
  if (body[0] !== STATEMENT) return {type: portal, frame};
  const [name, rest] = readCString(body, 1);
  const unnamedFrame = name === '' ? frame : withoutName(code, body, 1, rest);
  return {type: statement, name, unnamedFrame};
}

/** Reads one frame; undefined for a message the proxy does not accept. */
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
      return readTarget(code, frame, 'describeStatement', 'describePortal');
    case FrameCode.close:
      return readTarget(code, frame, 'closeStatement', 'closePortal');
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
