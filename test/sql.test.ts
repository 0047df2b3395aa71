import test from 'ava';
import fc from 'fast-check';
import {loadModule, parseSync} from 'libpg-query';
import {planBatch} from '../src/core/request.js';
import {createClassifier} from '../src/core/sql.js';

await loadModule();
const classify = createClassifier(parseSync, {
  cacheEntries: 100,
  cachedTextBytes: 4_096,
});
const kinds = (text: string): string[] => classify(text).map(s => s.kind);
const planOf = (text: string) => planBatch(classify(text));

const READS = [
  'SELECT 1',
  "SELECT * FROM bookings WHERE id = 'x' AND state <> 'done' LIMIT 3",
  'SELECT count(*), max(lower(a)) FROM t GROUP BY b HAVING count(*) > 1',
  'WITH x AS (SELECT 1 AS a) SELECT a FROM x',
  'SELECT a::int4 + 1 FROM t WHERE b BETWEEN 1 AND 2 ORDER BY a',
  'EXPLAIN SELECT 1',
  'EXPLAIN ANALYZE SELECT 1',
  "SELECT CASE WHEN a IS NULL THEN 'x' ELSE coalesce(a, 'y') END FROM t",
];

const WRITES = [
  'WITH x AS (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM x',
  'WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x',
  'SELECT * FROM t FOR UPDATE',
  'SELECT * FROM t FOR SHARE',
  'SELECT * FROM (SELECT * FROM t FOR UPDATE) s',
  'SELECT 1 INTO u',
  "SELECT nextval('s')",
  'SELECT public.lower(a) FROM t',
  'SELECT my_function(a) FROM t',
  'SELECT a OPERATOR(public.+) b FROM t',
  "SELECT 'x'::my_type",
  'SELECT pg_sleep(1)',
  'SELECT random()',
  'EXPLAIN ANALYZE DELETE FROM t',
  'EXPLAIN ANALYZE INSERT INTO t VALUES (1)',
  'SELECT 1; DELETE FROM t',
  'CREATE TABLE t (a int)',
  'VACUUM',
  'CALL p()',
  'LOCK TABLE t',
  'SELECT lo_unlink(1)',
  'this is not sql',
];

const REFUSED = [
  'DO $$ BEGIN DELETE FROM t; END $$',
  'PREPARE p AS SELECT 1',
  'EXECUTE p',
  'DEALLOCATE ALL',
  'LISTEN c',
  'COPY t FROM STDIN',
  'CREATE TEMP TABLE t (a int)',
  'SELECT pg_advisory_lock(1)',
  "SELECT set_config('work_mem', '1', false)",
  'SET statement_timeout = 1',
  'SELECT 1; SET search_path = x',
  'DECLARE c CURSOR WITH HOLD FOR SELECT 1',
  "PREPARE TRANSACTION 'x'",
  'SET mustardpass.repeatable = on; SELECT 1',
];

// Guards against texts that the database reads in another encoding, or splits
// into other statements, than the proxy.
test('settings that change how a text is read are refused', t => {
  for (const scope of ['', 'SESSION ', 'LOCAL ']) {
    for (const name of ["'LATIN1'", "'SJIS'", 'win1252', "'SQL_ASCII'"]) {
      t.is(planOf(`SET ${scope}client_encoding = ${name}`).kind, 'refused');
    }
    for (const setting of [
      'standard_conforming_strings = off',
      "backslash_quote TO 'on'",
    ]) {
      t.is(planOf(`SET ${scope}${setting}`).kind, 'refused', setting);
    }
  }
  t.is(planOf("SET NAMES 'LATIN1'").kind, 'refused');
  t.is(planOf("SELECT 1; SET LOCAL client_encoding = 'SJIS'").kind, 'refused');
  for (const name of ["'UTF8'", 'utf8', "'utf-8'", "'Unicode'", 'DEFAULT']) {
    t.is(planOf(`SET client_encoding = ${name}`).kind, 'local', name);
  }
  t.is(planOf('RESET client_encoding').kind, 'local');
});

test('reads without side effects are classified as reads', t => {
  for (const text of READS) {
    const plan = planOf(text);
    t.is(plan.kind === 'run' && plan.access, 'read', text);
  }
});

test('statements with possible side effects are classified as writes', t => {
  for (const text of WRITES) {
    const plan = planOf(text);
    t.is(plan.kind === 'run' && plan.access, 'write', text);
  }
});

test('statements that would leave state on a connection are rejected', t => {
  for (const text of REFUSED) t.is(planOf(text).kind, 'refused', text);
});

test('transactions and settings are classified', t => {
  t.deepEqual(kinds('BEGIN'), ['begin']);
  t.deepEqual(classify('BEGIN READ ONLY'), [{kind: 'begin', readOnly: true}]);
  t.deepEqual(kinds('COMMIT'), ['end']);
  t.deepEqual(classify('SET mustardpass.max_staleness_ms = 500'), [
    {kind: 'set', name: 'mustardpass.max_staleness_ms', value: '500'},
  ]);
  t.is(planOf('SET application_name = x').kind, 'local');
  t.is(planOf('SET LOCAL work_mem = 1').kind, 'run');
});

test('a write nested at any depth is classified as a write', t => {
  const read = fc.constantFrom('SELECT 1', 'SELECT a FROM t', 'SELECT now()');
  const write = fc.constantFrom(
    'SELECT f()',
    'SELECT a FROM t FOR UPDATE',
    "SELECT setval('s', 1)",
  );
  const wrap = (text: string, depth: number): string =>
    depth === 0
      ? text
      : `SELECT * FROM (${wrap(text, depth - 1)}) s${depth} WHERE EXISTS (${text})`;
  const depth = fc.integer({min: 0, max: 4});
  fc.assert(
    fc.property(read, depth, (text, levels) => {
      const plan = planOf(wrap(text, levels));
      return plan.kind === 'run' && plan.access === 'read';
    }),
    {seed: 7, numRuns: 60},
  );
  fc.assert(
    fc.property(write, depth, (text, levels) => {
      const plan = planOf(wrap(text, levels));
      return plan.kind === 'run' && plan.access === 'write';
    }),
    {seed: 8, numRuns: 60},
  );
  t.pass();
});
