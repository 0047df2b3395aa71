/**
 * Texts that callers, databases and other fronts pass through a front: each
 * arrives as it was sent, or is refused.
 */
import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {databaseCodec} from '../../platform/wire.js';
import {
  Fleet,
  openSession,
  operatorConfig,
  startFleet,
  WireClient,
} from './fleet_fixture.js';
import {RanStatement} from './standin_session.js';

/** Records the callers' statements that the databases run. */
function recordStatements({group}: Fleet): RanStatement[] {
  const statements: RanStatement[] = [];
  group.onEvent = event => {
    if (event.kind === 'ran') statements.push(event);
  };
  return statements;
}

const tenant = (name: string, key: string): Record<string, unknown> => ({
  name,
  api_keys: [key],
  rate_per_s: 500,
  burst: 500,
});

/** Returns the UTF-8 bytes of a text, one character for each. */
const utf8 = (text: string): string =>
  Buffer.from(text, 'utf8').toString('latin1');

/** Texts that look like line ends or messages to a lenient reader. */
const ODD_TEXTS = [
  'two\nlines',
  'a\n',
  '\n',
  '\r',
  'ends\r',
  'a\rb',
  '\n\r',
  'x\nQUERY forged WRITE other cancelled',
  'x\nDONE forged\nREADY I 9.9',
  '\0\x01\x7f\x80\x85\xa0\xff',
  'with  blanks ',
];

// Guards against a line feed that ends a statement, so that the database runs
// a changed text and a statement that nobody sent (review/6).
test('texts with line feeds reach the database and come back unchanged', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const statements = recordStatements(fleet);
  const sessions: WireClient[] = [];
  for (const front of fleet.fronts)
    sessions.push(await openSession(front, 'primary', 'ana-key'));
  for (const [index, text] of ODD_TEXTS.entries()) {
    for (const [front, session] of sessions.entries()) {
      const item = `item-${index}`;
      const write = `EXECUTE put ${item} ${text}`;
      await session.query(`SET value ${text}`);
      await session.query(`PREPARE put WRITE ${text}`);
      t.truthy((await session.query(write, `w-${index}-${front}`)).done);
      const ran = statements.find(s => s.requestId === `w-${index}-${front}`);
      t.is(ran?.text, write);
      t.is(ran?.values.get('value'), text);
      t.is(ran?.prepared, `WRITE ${text}`);
    }
  }
  t.is(statements.length, ODD_TEXTS.length * sessions.length);
  const rows = ODD_TEXTS.map((text, index) => ({text, item: `row-${index}`}));
  for (const {text, item} of rows) {
    const log = fleet.group.primary?.log ?? [];
    const offset = log.length + 1;
    log.push({term: 1, offset, item, data: text, requestId: ''});
  }
  for (const session of sessions) {
    for (const {text, item} of rows)
      t.deepEqual((await session.query(`READ ${item}`)).rows, [text]);
  }
});

// Guards against a caller's statement that databases take for one which the
// product issues itself.
test('a caller cannot use the id of the product’s own statements', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const statements = recordStatements(fleet);
  for (const text of ['WRITE item data', 'READ item', 'BEGIN']) {
    const session = await openSession(fleet.fronts[0], 'primary', 'ana-key');
    const {error} = await session.query(text, '-');
    t.regex(error ?? '', /^MALFORMED /);
  }
  t.deepEqual(statements, []);
});

/** Customers' names that are alike, but for bits that an encoding may drop. */
const LIKE_NAMES = [
  'Zara',
  '\u015aara',
  '\u00dara',
  'Z\u00e1ra',
  'Zar\u0430',
  '\u{1f35a}',
];

// Guards against a customer that databases take for another, because of letters
// that the encoding of the wire does not have (review/7).
test('databases are told the names of customers in UTF-8', async t => {
  const fleet = await startFleet(['norte'], {
    routes: [{...operatorConfig('orders').routes[0], host: 'pedidos-\u00f1'}],
    tenants: LIKE_NAMES.map((name, index) =>
      tenant(name, `clav\u00e9-${index}`),
    ),
  });
  t.teardown(() => fleet.stop());
  const statements = recordStatements(fleet);
  for (const [index, name] of LIKE_NAMES.entries()) {
    const [host, key] = ['pedidos-\u00f1', `clav\u00e9-${index}`].map(utf8);
    const session = await openSession(fleet.fronts[0], host, key);
    t.truthy((await session.query('READ item', `r-${index}`)).done);
    const ran = statements.find(s => s.requestId === `r-${index}`);
    t.is(ran?.customer, utf8(name));
  }
});

// Guards against a customer whose name is read as another name, or as a name
// and an id.
test('a customer whose name cannot be sent is refused, and others are served', async t => {
  const names = ['ana maria', '', 'x\ty', 'x\r\ny', '\ud800', 'x\u2028y'];
  const fleet = await startFleet(['norte'], {
    tenants: [
      tenant('ana', 'ana-key'),
      ...names.map((name, index) => tenant(name, `key-${index}`)),
    ],
  });
  t.teardown(() => fleet.stop());
  const [front] = fleet.fronts;
  const {port} = front.settings.callerAddress;
  for (const index of names.keys()) {
    const {answer} = await WireClient.start(port, 'primary', `key-${index}`);
    t.regex(answer.error ?? '', /^NOAUTH databases cannot be told/);
  }
  const {answer} = await WireClient.start(port, 'primary', '');
  t.is(answer.error, 'NOAUTH primary');
  const session = await openSession(front, 'primary', 'ana-key');
  t.truthy((await session.query('READ item')).done);
  t.deepEqual(
    front.events('config_applied').map(e => e.unusableCustomers),
    [names],
  );
});

// Guards against a customer whose rate is not limited, and whose connections
// serve callers without a key, since it has the name given to these.
test('a customer cannot have a name that the product uses itself', async t => {
  const [route] = operatorConfig('orders').routes;
  const fleet = await startFleet(['norte'], {
    routes: [route, {...route, name: 'r-open', host: 'open', public: true}],
    tenants: [tenant('anonymous', 'key-1'), tenant('mustardpass', 'key-2')],
  });
  t.teardown(() => fleet.stop());
  const statements = recordStatements(fleet);
  const {port} = fleet.fronts[0].settings.callerAddress;
  for (const host of ['primary', 'open']) {
    for (const key of ['key-1', 'key-2']) {
      const {answer} = await WireClient.start(port, host, key);
      t.regex(answer.error ?? '', /^NOAUTH databases cannot be told/);
    }
  }
  const session = await openSession(fleet.fronts[0], 'open', '');
  t.truthy((await session.query('READ item')).done);
  t.deepEqual(
    statements.map(({customer}) => customer),
    ['anonymous'],
  );
});

const anyText = fc.oneof(
  fc.string({unit: 'binary'}),
  fc.string({unit: fc.constantFrom(' ', 'a', '\r', '\n', '\ud83c', '\udf5a')}),
);

testProp(
  'a handshake is read back as the same names, or refused',
  [anyText, anyText, anyText],
  (t, service, customer, instance) => {
    const names = [service, customer, instance];
    const start = databaseCodec.start(service, customer, instance);
    if (start.isErr()) {
      t.regex(start.error, /cannot be sent/);
      return;
    }
    const line = Buffer.from(start.value, 'latin1').toString('utf8');
    t.true(line.endsWith('\r\n'));
    t.deepEqual(line.slice(0, -2).split(' '), ['START', ...names]);
  },
  {seed: 47, numRuns: 1_000},
);
