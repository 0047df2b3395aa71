/** Logins of callers: each message is read once, however the bytes are cut. */
import {readFileSync} from 'node:fs';
import {connect, Socket} from 'node:net';
import {connect as connectTls} from 'node:tls';
import {fc, testProp} from '@fast-check/ava';
import test, {ExecutionContext} from 'ava';
import {serialize} from 'pg-protocol';
import {
  parseOptions,
  StartupMessage,
  StartupReader,
} from '../src/pg/startup.js';
import {customerKeyOf, LocalFleet} from '../src/standin/local_fleet.js';

const SERVICE = 'order-books-1';
const CUSTOMER = 'villacres';
const OPTIONS = {seed: 47, numRuns: 500};
const MAX_BYTES = 1_000;
const TLS_REQUEST = Buffer.from(serialize.requestSsl());

/** Builds a startup message of the given strings. */
function startupOf(strings: readonly string[]): Buffer {
  const body = Buffer.concat([
    Buffer.of(0, 3, 0, 0),
    ...strings.map(text => Buffer.from(`${text}\0`)),
    Buffer.of(0),
  ]);
  const length = Buffer.alloc(4);
  length.writeUInt32BE(body.length + 4);
  return Buffer.concat([length, body]);
}

const LOGIN = startupOf(['user', CUSTOMER, 'database', SERVICE]);
const PASSWORD = Buffer.from(serialize.password(customerKeyOf(CUSTOMER)));

/** Reads bytes in pieces of the given sizes, which repeat. */
function readInPieces(bytes: Buffer, sizes: readonly number[]) {
  const reader = StartupReader.create({maxMessageBytes: MAX_BYTES});
  const found: StartupMessage[] = [];
  for (let at = 0, n = 0; at < bytes.length; n++) {
    const size = sizes[n % sizes.length];
    reader.push(bytes.subarray(at, at + size));
    at += size;
    for (;;) {
      const message = reader.next();
      if (message) found.push(message);
      if (!message || message.kind === 'invalid') break;
    }
  }
  return {found, rest: reader.takeRest()};
}

const text = fc.string().filter(each => !each.includes('\0'));
const name = text.filter(each => each !== '');

testProp(
  'the messages of a login are read as they were written, cut anywhere',
  [
    fc.uniqueArray(fc.tuple(name, text), {
      selector: ([key]) => key,
      maxLength: 5,
    }),
    text,
    fc.uint8Array({maxLength: 4}),
    fc.array(fc.integer({min: 1, max: 30}), {minLength: 1}),
  ],
  (t, parameters, password, behind, sizes) => {
    fc.pre(LOGIN.length + password.length * 4 < MAX_BYTES);
    const bytes = Buffer.concat([
      TLS_REQUEST,
      startupOf(parameters.flat()),
      Buffer.from(serialize.password(password)),
      Buffer.from(behind),
    ]);
    const {found, rest} = readInPieces(bytes, sizes);
    t.deepEqual(found, [
      {kind: 'tls'},
      {kind: 'startup', parameters: new Map(parameters)},
      {kind: 'password', password},
    ]);
    t.deepEqual([...rest], [...behind]);
  },
  OPTIONS,
);

test('a message that could be read in two ways is refused', t => {
  const cut = (bytes: Buffer): Buffer => {
    const shorter = Buffer.from(bytes.subarray(0, -1));
    shorter.writeUInt32BE(shorter.length);
    return shorter;
  };
  const withBytes = (value: number): Buffer => {
    const bytes = Buffer.from(LOGIN);
    bytes[bytes.indexOf(CUSTOMER)] = value;
    return bytes;
  };
  const refused = [
    cut(LOGIN),
    startupOf(['user', 'ana', 'user', 'bea']),
    startupOf(['user', 'ana', '', 'database', 'x']),
    startupOf(['user']),
    withBytes(0xff),
    Buffer.of(0, 0, 0, 3),
    Buffer.of(0, 0, 0, 8, 0, 2, 0, 0),
    Buffer.concat([LOGIN, Buffer.from(serialize.query('SELECT 1'))]),
  ];
  for (const bytes of refused) {
    const {found} = readInPieces(bytes, [bytes.length]);
    t.is(found[found.length - 1].kind, 'invalid', bytes.toString());
  }
});

// Guards against a setting that is taken from the value of another one.
test('options are split as the database splits them', t => {
  t.deepEqual(
    parseOptions(
      '-c a.b=1 -ca.c=2 --a-d=3 -d 5 -c a.e=x\\ y --f=\\\\z -c g= -c h',
    ),
    [
      ['a.b', '1'],
      ['a.c', '2'],
      ['a_d', '3'],
      ['a.e', 'x y'],
      ['f', '\\z'],
      ['g', ''],
    ],
  );
  t.deepEqual(parseOptions('-c application_name=x--a.repeatable=on'), [
    ['application_name', 'x--a.repeatable=on'],
  ]);
});

testProp(
  'the value of an option is read back as it was escaped',
  [fc.array(fc.string(), {maxLength: 4})],
  (t, values) => {
    const escaped = values.map(
      (value, index) => `-c n${index}=${value.replace(/[\s\\]/g, '\\$&')}`,
    );
    t.deepEqual(
      parseOptions(escaped.join(' ')),
      values.map((value, index) => [`n${index}`, value]),
    );
  },
  OPTIONS,
);

async function startFleet(t: ExecutionContext, flags = {}) {
  const fleet = await LocalFleet.create({
    proxies: 1,
    services: [{service: SERVICE}],
    flags: {loginTimeoutMs: 2_000, ...flags},
  });
  t.teardown(() => fleet.close());
  return fleet;
}

/** Collects what a socket receives until it holds `end`, or is closed. */
const receiveUntil = (socket: Socket, end: string): Promise<string> =>
  new Promise(resolve => {
    let received = '';
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      received += chunk.toString('latin1');
      if (received.includes(end)) resolve(received);
    });
    socket.once('close', () => resolve(received));
  });

// Guards against a login that hangs, and a statement of which the beginning is
// lost, where they arrive together.
test.serial('a login is served however its bytes are cut', async t => {
  const fleet = await startFleet(t);
  const statements = [1, 2, 3].map(n =>
    Buffer.from(serialize.query(`SELECT 'answer-${n}' AS v`)),
  );
  const bytes = Buffer.concat([LOGIN, PASSWORD, ...statements]);
  const loginBytes = LOGIN.length + PASSWORD.length;
  const cuts = [1, LOGIN.length, LOGIN.length + 3, loginBytes, loginBytes + 4];
  for (const cut of [...cuts, loginBytes + 40, bytes.length]) {
    const socket = connect(fleet.proxies[0].callerPort, '127.0.0.1');
    socket.setNoDelay(true);
    const answer = receiveUntil(socket, 'answer-3');
    socket.write(bytes.subarray(0, cut));
    await new Promise(resolve => setTimeout(resolve, 60));
    socket.write(bytes.subarray(cut));
    const received = await answer;
    for (const n of [1, 2, 3])
      t.true(received.includes(`answer-${n}`), `${cut}`);
    socket.destroy();
  }
});

// Guards against bytes that somebody else put behind the request for TLS and
// that are then read as if they had come encrypted.
test.serial('nothing unencrypted is read after a request for TLS', async t => {
  const fixtures = new URL('../../test/fixtures/', import.meta.url).pathname;
  const fleet = await startFleet(t, {
    tlsCertFile: `${fixtures}cert.pem`,
    tlsKeyFile: `${fixtures}key.pem`,
  });
  const {callerPort} = fleet.proxies[0];
  const socket = connect(callerPort, '127.0.0.1');
  const answer = receiveUntil(socket, 'unencrypted bytes');
  socket.write(Buffer.concat([TLS_REQUEST, LOGIN]));
  t.true((await answer).includes('unencrypted bytes'));
  socket.destroy();
  const plain = connect(callerPort, '127.0.0.1');
  plain.write(TLS_REQUEST);
  t.is(await receiveUntil(plain, 'S'), 'S');
  plain.removeAllListeners('data');
  const secure = connectTls({
    socket: plain,
    ca: readFileSync(`${fixtures}cert.pem`),
    servername: 'localhost',
  });
  const secureAnswer = receiveUntil(secure, 'over-tls');
  const query = Buffer.from(serialize.query("SELECT 'over-tls' AS v"));
  secure.write(Buffer.concat([LOGIN, PASSWORD, query]));
  t.true((await secureAnswer).includes('over-tls'));
  secure.destroy();
});

// Guards against a session without the position that its caller asked for.
test.serial(
  'a setting of the startup that cannot be used is refused',
  async t => {
    const fleet = await startFleet(t);
    const settings = [
      ['mustardpass.session', 'order-books-1:1/5:forged'],
      ['mustardpass.max_staleness_ms', 'soon'],
      ['options', '-c mustardpass.repeatable=maybe'],
      ['client_encoding', 'LATIN1'],
    ];
    for (const setting of settings) {
      const socket = connect(fleet.proxies[0].callerPort, '127.0.0.1');
      const answer = receiveUntil(socket, 'FATAL');
      const login = startupOf([
        'user',
        CUSTOMER,
        'database',
        SERVICE,
        ...setting,
      ]);
      socket.write(Buffer.concat([login, PASSWORD]));
      t.regex(await answer, /ERROR|FATAL/, setting[0]);
      socket.destroy();
    }
  },
);
