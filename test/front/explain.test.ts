/**
 * Collecting the log lines of one request from the logs of several processes.
 */
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import test from 'ava';
import {
  formatLogLine,
  readRequestLines,
  selectRequestLines,
} from '../../src/cli/explain.js';

const FIRST =
  '  10.9411 front-1 {"time":"2026-10-24T01:15:28.845Z","vm":"front-1","event":"statement","request":"8d2c","database":"i-77","holder":"front-2","outcome":"unreachable","tookMs":681}';
const SECOND =
  '{"time":"2026-10-24T01:15:29.067Z","vm":"front-1","event":"statement_refused","request":"8d2c","access":"write"}';
const OTHER =
  '{"time":"2026-10-24T01:15:27.000Z","vm":"front-1","event":"statement","request":"ffff","text":"8d2c"}';

test('finds the lines of a request in order of time, also behind a prefix', t => {
  const lines = selectRequestLines('8d2c', [
    `${SECOND}\nbroken {8d2c\n`,
    `${OTHER}\n${FIRST}`,
  ]);
  t.deepEqual(
    lines.map(line => line.event),
    ['statement', 'statement_refused'],
  );
  t.regex(
    formatLogLine(lines[0]),
    /front-1: statement database=i-77 holder=front-2 outcome=unreachable/,
  );
});

test('reports a file that cannot be read, and a request that is not found', t => {
  const folder = mkdtempSync(join(tmpdir(), 'mustardpass-'));
  const file = join(folder, 'front-1.log');
  writeFileSync(file, `${FIRST}\n`);
  t.true(readRequestLines('8d2c', [file]).isOk());
  t.regex(readRequestLines('0000', [file])._unsafeUnwrapErr(), /no line/);
  const missing = join(folder, 'missing.log');
  t.regex(
    readRequestLines('8d2c', [missing])._unsafeUnwrapErr(),
    /missing\.log/,
  );
});
