/**
 * Collecting the log lines about one request, transaction, lane or connection
 * from the logs of several fronts.
 */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {
  explain,
  explainFromFiles,
  Explanation,
  formatExplanation,
  formatLogLine,
} from '../../src/cli/explain.js';

const FIRST =
  '  10.9411 front-1 {"time":"2026-10-24T01:15:28.845Z","vm":"front-1","event":"statement","request":"8d2c","database":"i-77","holder":"front-2","outcome":"unreachable","tookMs":681}';
const SECOND =
  '{"time":"2026-10-24T01:15:29.067Z","vm":"front-1","event":"statement_refused","request":"8d2c","access":"write"}';
const OTHER =
  '{"time":"2026-10-24T01:15:27.000Z","vm":"front-1","event":"statement","request":"ffff","text":"8d2c"}';

/** Returns log lines of a front; each has its time in ms and its fields. */
const logOf = (
  vm: string,
  lines: ReadonlyArray<readonly [number, string, object?]>,
): string =>
  lines
    .map(([ms, event, fields]) =>
      JSON.stringify({
        time: new Date(ms).toISOString(),
        vm,
        event,
        ...fields,
      }),
    )
    .join('\n');

/**
 * Logs of a caller's front and of a holder that is started again between two
 * statements of transaction `p1.1`; the holder gives `p1.2` the same lane.
 */
function restartLogs(): string[] {
  const lane = 'i-77/1';
  const qualified = 'front-2|i-77/1';
  const first = {transaction: 'p1.1', lane: qualified, holder: 'front-2'};
  const caller = logOf('front-1', [
    [100, 'started', {process: 'p1'}],
    [300, 'peer_connected', {peer: 'front-2', process: 'p2'}],
    [310, 'peer_connected', {peer: 'front-9', process: 'p9'}],
    [320, 'statement', {request: 'r1', database: 'i-77', ...first}],
    [500, 'peer_lost', {peer: 'front-2'}],
    [610, 'peer_connected', {peer: 'front-2', process: 'p3'}],
    [720, 'statement', {request: 'r2', ...first, transaction: 'p1.2'}],
    [810, 'statement', {request: 'r3', ...first, outcome: 'aborted'}],
    [810, 'transaction_ended', {transaction: 'p1.1', lane: qualified}],
    [900, 'peer_lost', {peer: 'front-2'}],
  ]);
  const ids = {transaction: 'p1.1', lane, origin: 'front-1'};
  const holder = logOf('front-2', [
    [310, 'lane_opened', {request: 'r1', connection: 'p2.1', ...ids}],
    [315, 'peer_statement', {request: 'r1', ...ids}],
    [550, 'started', {process: 'p3'}],
    [600, 'database_listed', {database: 'i-77'}],
    [605, 'database_listed', {database: 'i-88'}],
    [609, 'peer_accepted', {peer: 'front-1', process: 'p1'}],
    [710, 'lane_opened', {...ids, connection: 'p3.1', transaction: 'p1.2'}],
    [805, 'lane_refused', {request: 'r3', ...ids}],
  ]);
  const bystander = logOf('front-3', [
    [400, 'started', {process: 'p4'}],
    [410, 'peer_accepted', {peer: 'front-1', process: 'p1'}],
    [420, 'lane_opened', {transaction: 'p1.7', lane, connection: 'p4.1'}],
  ]);
  return [caller, holder, bystander];
}

const eventsOf = (explanation: Explanation | undefined): string[] =>
  (explanation?.lines ?? []).map(
    ({vm, event, request}) =>
      `${String(vm)} ${String(event)}${request === undefined ? '' : ` ${String(request)}`}`,
  );

test('finds the lines of a request in order of time, also behind a prefix', t => {
  const explanation = explain('8d2c', [
    `${SECOND}\nbroken {8d2c\n`,
    `${OTHER}\n${FIRST}`,
  ]);
  const lines = explanation?.lines ?? [];
  t.deepEqual(
    lines.map(line => line.event),
    ['statement', 'statement_refused'],
  );
  t.regex(
    formatLogLine(lines[0], '8d2c'),
    /front-1: statement database=i-77 holder=front-2 outcome=unreachable/,
  );
});

test('reports a file that cannot be read, and an id that is not found', t => {
  const folder = mkdtempSync(join(tmpdir(), 'mustardpass-'));
  const file = join(folder, 'front-1.log');
  writeFileSync(file, `${FIRST}\n`);
  t.true(explainFromFiles('8d2c', [file]).isOk());
  t.is(
    explainFromFiles('0000', [file])._unsafeUnwrapErr(),
    `no request, transaction, lane or connection 0000 in ${file}`,
  );
  const missing = join(folder, 'missing.log');
  t.regex(
    explainFromFiles('8d2c', [missing])._unsafeUnwrapErr(),
    /missing\.log/,
  );
});

// Guards against a transaction that cannot be followed over fronts: the record
// of issue 29 could not tell its hypotheses apart.
test('follows a transaction over fronts, connections and a process that was started again', t => {
  const explanation = explain('p1.1', restartLogs());
  t.is(explanation?.subject, 'transaction');
  t.deepEqual(eventsOf(explanation), [
    'front-2 lane_opened r1',
    'front-2 peer_statement r1',
    'front-1 statement r1',
    'front-1 peer_lost',
    'front-2 started',
    'front-2 database_listed',
    'front-2 peer_accepted',
    'front-1 peer_connected',
    'front-2 lane_refused r3',
    'front-1 statement r3',
    'front-1 transaction_ended',
  ]);
});

test('names the transaction of a request after its lines', t => {
  const explanation = explain('r3', restartLogs());
  t.deepEqual(eventsOf(explanation), [
    'front-2 lane_refused r3',
    'front-1 statement r3',
  ]);
  const formatted = explanation ? formatExplanation(explanation) : [];
  t.is(formatted[formatted.length - 1], 'in transaction p1.1');
  t.is(formatted.length, 3);
});

// Guards against overlooking that one name stands for two transactions.
test('finds a lane at the holder and at the caller, and names all of its transactions', t => {
  const logs = restartLogs();
  const qualified = explain('front-2|i-77/1', logs);
  t.is(qualified?.subject, 'lane');
  t.deepEqual(qualified?.transactions, ['p1.1', 'p1.2']);
  t.false(eventsOf(qualified).some(text => text.startsWith('front-3')));
  const bare = explain('i-77/1', logs);
  t.deepEqual(bare?.transactions, ['p1.1', 'p1.7', 'p1.2']);
});

test('finds the transactions that used a connection', t => {
  const explanation = explain('p3.1', restartLogs());
  t.is(explanation?.subject, 'connection');
  t.deepEqual(explanation?.transactions, ['p1.2']);
});

test('finds what came over a connection between fronts', t => {
  const holder = logOf('front-2', [
    [100, 'peer_accepted', {peer: 'front-1', connection: 'p2.1'}],
    [200, 'lane_opened', {connection: 'p2.2', originConnection: 'p2.1'}],
    [300, 'lane_ended', {connection: 'p2.2'}],
    [400, 'peer_gone', {peer: 'front-1', connection: 'p2.1'}],
  ]);
  const explanation = explain('p2.1', [holder]);
  t.deepEqual(eventsOf(explanation), [
    'front-2 peer_accepted',
    'front-2 lane_opened',
    'front-2 peer_gone',
  ]);
  const formatted = explanation ? formatExplanation(explanation) : [];
  t.regex(formatted[1], /lane_opened connection=p2\.2$/);
});
