/**
 * Texts that callers, databases and other fronts pass through a front: each
 * arrives as it was sent, or is refused.
 */
import test from 'ava';
import {Fleet, openSession, startFleet, WireClient} from './fleet_fixture.js';
import {RanStatement} from './standin_session.js';

/** Records the callers' statements that the databases run. */
function recordStatements({group}: Fleet): RanStatement[] {
  const statements: RanStatement[] = [];
  group.onEvent = event => {
    if (event.kind === 'ran') statements.push(event);
  };
  return statements;
}

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
