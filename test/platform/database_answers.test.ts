/** Answers of databases: what a connection makes of each sequence of messages. */
import {createServer, Socket} from 'node:net';
import {fc, testProp} from '@fast-check/ava';
import test, {ExecutionContext} from 'ava';
import {callerCodec, databaseCodec} from '../../platform/wire.js';
import {DatabaseLink, StepAnswer} from '../../src/front/database_link.js';
import {CallerAnswer} from '../../src/front/wire_types.js';

const TARGET = {
  host: '127.0.0.1',
  service: 'orders',
  customer: 'ana',
  instance: 'i-1',
};
const STATEMENTS = ['QUERY q1 READ a\r\n', 'QUERY q2 READ b\r\n'];

/**
 * Opens a connection to a database that sends `bytes` once it has received the
 * statements; returns its answers to both.
 */
async function answersTo(
  t: ExecutionContext,
  bytes: string,
): Promise<StepAnswer[]> {
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', chunk => {
      const isStart = chunk.toString('latin1').startsWith('START');
      socket.write(isStart ? 'READY I 1.1\r\n' : bytes, 'latin1');
    });
  });
  await new Promise<void>(done => server.listen(0, TARGET.host, done));
  t.teardown(() => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  });
  const {port} = server.address() as {port: number};
  return new Promise((resolve, reject) => {
    const answers: StepAnswer[] = [];
    const link = DatabaseLink.open(
      {...TARGET, port},
      databaseCodec,
      (fault, text) => {
        if (fault !== undefined) return reject(new Error(text));
        link.run(STATEMENTS, (_, answer) => {
          answers.push(answer);
          if (answers.length < STATEMENTS.length) return;
          link.close();
          resolve(answers);
        });
      },
      () => undefined,
    );
  });
}

const COMPLETE = 'ROW b\r\nDONE s2\r\nREADY I 3.8\r\n';

test('each answer is that of its statement', async t => {
  const answers = await answersTo(
    t,
    `ROW a\r\nROW a\nb\r\nDONE s1\r\nREADY T 3.7\r\n${COMPLETE}`,
  );
  t.like(answers[0], {
    rows: ['a', 'a\nb'],
    signature: 's1',
    state: 'open',
    position: {term: 3, offset: 7},
  });
  t.like(answers[1], {rows: ['b'], signature: 's2', state: 'idle'});
});

// Guards against a commit whose position is taken for none, so that the session
// does not see its own write.
test('an answer with a position that cannot be read counts as lost', async t => {
  for (const position of ['', ' ', ' 3', ' 3.', ' 3.1234567890123456', ' x']) {
    const answers = await answersTo(
      t,
      `DONE s1\r\nREADY I${position}\r\n${COMPLETE}`,
    );
    t.like(answers[0], {ok: false, fault: 'lost'}, position);
  }
  const [answer] = await answersTo(t, `DONE s1\r\nREADY I -\r\n${COMPLETE}`);
  t.true(answer.ok);
  t.is(answer.position, undefined);
});

// Guards against two answers that are read as one, the second of which would
// then be taken for that of the next statement.
test('an answer with anything but READY after its result counts as lost', async t => {
  for (const extra of ['ROW x', 'DONE s1', 'ERROR BUSY i-1', 'DONE s9']) {
    for (const result of ['DONE s1', 'ERROR FAILED i-1']) {
      const answers = await answersTo(
        t,
        `${result}\r\n${extra}\r\nREADY I 3.7\r\n${COMPLETE}`,
      );
      t.like(answers[0], {ok: false, fault: 'lost'}, `${result}, ${extra}`);
      t.like(answers[1], {ok: false, fault: 'lost'}, `${result}, ${extra}`);
    }
  }
});

const field = fc
  .array(
    fc.oneof(
      fc.constantFrom('\r', '\n', ' ', 'READY I 1.1'),
      fc.integer({min: 0, max: 255}).map(byte => String.fromCharCode(byte)),
    ),
    {maxLength: 8},
  )
  .map(parts => parts.join(''))
  .filter(text => !text.includes('\r\n'));
const number = fc.integer({min: 0, max: 999_999_999_999_999});
const answer = fc.oneof(
  field.map((data): CallerAnswer => ({kind: 'row', data})),
  field.map((signature): CallerAnswer => ({kind: 'done', signature})),
  fc.record({
    kind: fc.constant('fault' as const),
    fault: fc.constantFrom('busy' as const, 'read_only' as const),
    text: field,
  }),
  fc.record({
    kind: fc.constant('ready' as const),
    state: fc.constantFrom('idle' as const, 'open' as const, 'failed' as const),
    position: fc.option(fc.record({term: number, offset: number}), {
      nil: undefined,
    }),
  }),
);

testProp(
  'answers are read as they were written, cut anywhere',
  [fc.array(answer), fc.array(fc.integer({min: 1, max: 9}), {minLength: 1})],
  (t, answers, sizes) => {
    const bytes = Buffer.from(
      answers.map(a => callerCodec.encode(a)._unsafeUnwrap()).join(''),
      'latin1',
    );
    const decoder = databaseCodec.createDecoder();
    const decoded: unknown[] = [];
    for (let at = 0, n = 0; at < bytes.length; n++) {
      const size = sizes[n % sizes.length];
      decoded.push(...decoder.push(bytes.subarray(at, at + size)));
      at += size;
    }
    const expected = answers.map(a =>
      a.kind === 'fault' ? {...a, kind: 'error'} : a,
    );
    t.deepEqual(decoded, expected);
  },
  {seed: 47, numRuns: 1_000},
);

testProp(
  'a statement is sent to a database as the caller sent it',
  [field, field],
  (t, id, text) => {
    const line = Buffer.from(`QUERY ${id} ${text}\r\n`, 'latin1');
    const [message] = callerCodec.createDecoder().push(line);
    if (message.kind !== 'query') return t.is(message.kind, 'malformed');
    const sent = databaseCodec.callerStatement(message.id, message.text);
    return t.is(sent._unsafeUnwrap(), line.toString('latin1'));
  },
  {seed: 47, numRuns: 1_000},
);
