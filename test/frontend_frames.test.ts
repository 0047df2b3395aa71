/** Frames of callers and databases: each is read in one way, or refused. */
import {Socket} from 'node:net';
import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {serialize} from 'pg-protocol';
import {FrontendMessage} from '../src/core/batch.js';
import {BackendConnection} from '../src/pg/backend.js';
import {parseFrontendFrame} from '../src/pg/frontend.js';
import {
  FrameCode,
  frameOf,
  parameterStatusFrame,
  parseParameterStatus,
} from '../src/pg/wire.js';

const OPTIONS = {seed: 47, numRuns: 1_000};

const parse = (frame: Buffer): FrontendMessage | undefined =>
  parseFrontendFrame(frame[0], frame);

const nameBytes = fc
  .array(fc.integer({min: 1, max: 255}), {maxLength: 6})
  .map(bytes => Buffer.from(bytes));
const END = Buffer.of(0);
const NO_TYPES = Buffer.of(0, 0);

/** Frames that name a prepared statement. */
const namingFrames = (name: Buffer): Buffer[] => [
  frameOf(
    FrameCode.parse,
    Buffer.concat([name, END, Buffer.from('SELECT 1'), END, NO_TYPES]),
  ),
  frameOf(
    FrameCode.bind,
    Buffer.concat([END, name, END, NO_TYPES, NO_TYPES, NO_TYPES]),
  ),
  frameOf(FrameCode.describe, Buffer.concat([Buffer.from('S'), name, END])),
  frameOf(FrameCode.close, Buffer.concat([Buffer.from('S'), name, END])),
];

// Guards against a Bind that runs another statement, as names in bytes that are
// not UTF-8 were taken for the same.
testProp(
  'different names of prepared statements stay different',
  [nameBytes, nameBytes],
  (t, first, second) => {
    for (const [index, frame] of namingFrames(first).entries()) {
      const names = [frame, namingFrames(second)[index]].map(each => {
        const message = parse(each);
        return message && 'name' in message ? message.name : undefined;
      });
      t.is(names[0] === names[1], first.equals(second));
      t.not(names[0], undefined);
    }
  },
  OPTIONS,
);

const withBody = (frame: Buffer, change: (body: Buffer) => Buffer): Buffer =>
  frameOf(frame[0], change(frame.subarray(5)));

/** Messages as clients send them. */
const VALID_FRAMES: readonly Buffer[] = [
  serialize.query('SELECT 1'),
  serialize.parse({name: 'a', text: 'SELECT $1', types: [25, 0]}),
  serialize.bind({portal: 'p', statement: 'a', values: ['x']}),
  serialize.describe({type: 'S', name: 'a'}),
  serialize.describe({type: 'P', name: ''}),
  serialize.execute({portal: 'p', rows: 3}),
  serialize.close({type: 'P', name: 'p'}),
  serialize.sync(),
  serialize.flush(),
].map(frame => Buffer.from(frame));

// Guards against a text of which the proxy reads another part than the database.
test('messages that are cut or have bytes behind their end are refused', t => {
  for (const frame of VALID_FRAMES) {
    const name = String.fromCharCode(frame[0]);
    t.truthy(parse(frame), name);
    if (frame[0] === FrameCode.bind) continue;
    const longer = withBody(frame, body =>
      Buffer.concat([body, Buffer.from('; DELETE FROM t'), END]),
    );
    t.is(parse(longer), undefined, name);
    if (frame.length === 5) continue;
    const cut = withBody(frame, body => body.subarray(0, -1));
    t.is(parse(cut), undefined, name);
  }
  for (const body of ['', 'x', 'X\0', 'SELECT 1'])
    t.is(parse(frameOf(FrameCode.describe, Buffer.from(body))), undefined);
});

testProp(
  'a parameter of a database is read back as it was written',
  [fc.string(), fc.string()],
  (t, name, value) => {
    fc.pre(!name.includes('\0') && !value.includes('\0'));
    const frame = parameterStatusFrame(name, value);
    t.deepEqual(parseParameterStatus(frame), {name, value});
    const cut = withBody(frame, body => body.subarray(0, -1));
    t.is(parseParameterStatus(cut), undefined);
  },
  OPTIONS,
);

// Guards against bytes of a database that another VM takes for a message of the
// VM that holds the connection.
test('a database cannot send frames that only VMs exchange', t => {
  for (const code of [FrameCode.rpc, FrameCode.batch]) {
    const received: number[] = [];
    let closes = 0;
    const socket = new Socket();
    const target = {
      host: 'localhost',
      port: 1,
      database: 'd',
      user: 'u',
      password: 'p',
      connectTimeoutMs: 100,
      maxFrameBytes: 1_000,
    };
    const key = {processId: 1, secret: 1};
    const connection = BackendConnection.fromSocket(socket, target, key);
    connection.setHandlers({
      onFrame: each => received.push(each),
      onChunkEnd: () => undefined,
      onClose: () => closes++,
    });
    const done = Buffer.from('{"jsonrpc":"2.0","method":"done"}');
    const row = frameOf(FrameCode.dataRow, NO_TYPES);
    socket.emit('data', Buffer.concat([row, frameOf(code, done), row]));
    t.deepEqual(received, [FrameCode.dataRow]);
    t.is(closes, 1);
    t.true(connection.isClosed);
  }
});
