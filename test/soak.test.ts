/** Tests the judges of the fault soak, and runs a short soak. */
import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import test, {ExecutionContext} from 'ava';
import {Attempt, judgeCommits, Outcome} from '../soak/commit_judge.js';
import {drawSchedule} from '../soak/fault_schedule.js';
import {hasPassed, runSoak, SoakOptions} from '../soak/soak_run.js';
import {SentStatement, StatementJudge} from '../soak/statement_judge.js';
import {DatabaseEvent, RanStatement} from './platform/standin_session.js';

/** What callers sent: two transactions, of two customers, and a single read. */
const SENT: readonly SentStatement[] = (
  [
    ['a1', 'WRITE x a1', 'ana', 'A'],
    ['a2', 'READ x', 'ana', 'A'],
    ['a3', 'COMMIT', 'ana', 'A'],
    ['b1', 'WRITE y b1', 'bea', 'B'],
    ['c1', 'READ x', 'ana', undefined],
  ] as const
).map(([id, text, customer, transaction]) => ({
  id,
  text,
  service: 'orders',
  customer,
  front: 'front-1',
  transaction,
  values: new Map(customer === 'ana' ? [['one', '1']] : []),
}));

const begun = (connection: string): DatabaseEvent => ({
  kind: 'begun',
  connection,
});
const ended = (connection: string): DatabaseEvent => ({
  kind: 'ended',
  connection,
});

/** A statement that ran as it was sent, but for `changes`. */
function ran(
  id: string,
  connection: string,
  changes: Partial<RanStatement> = {},
): RanStatement {
  const statement = SENT.find(known => known.id === id) ?? SENT[0];
  const {text, service, customer, values} = statement;
  return {
    kind: 'ran',
    connection,
    service,
    customer,
    requestId: id,
    text,
    values,
    rows: [],
    signature: `sig.${id}`,
    ...changes,
  };
}

/** Returns what the judge reports of a history. */
function judge(history: readonly DatabaseEvent[]): string[] {
  const findings: string[] = [];
  const statementJudge = StatementJudge.create(({rule, kind}) =>
    findings.push(`${rule}/${kind}`),
  );
  for (const statement of SENT) statementJudge.expect(statement);
  for (const event of history) statementJudge.observe(event);
  return findings;
}

/** Transaction A on one connection, B on another, and a read between. */
const RIGHT: readonly DatabaseEvent[] = [
  begun('1'),
  ran('a1', '1'),
  begun('2'),
  ran('b1', '2'),
  ran('c1', '3'),
  ran('a2', '1'),
  ran('a3', '1'),
  ended('1'),
  ended('2'),
];

test('the judge accepts a right history', t => {
  t.deepEqual(judge(RIGHT), []);
});

test('the judge accepts a read in a transaction that is opened for it alone', t => {
  t.deepEqual(judge([begun('1'), ran('c1', '1'), ended('1')]), []);
});

/** Wrong histories, and what the judge must report of each. */
const MUTANTS: ReadonlyArray<
  readonly [string, readonly DatabaseEvent[], readonly string[]]
> = [
  [
    "a statement in another caller's transaction",
    [begun('1'), ran('a1', '1'), begun('2'), ran('b1', '2'), ran('a2', '2')],
    ['PINNED/inside_anothers'],
  ],
  [
    "a first statement in another caller's transaction",
    [begun('1'), ran('a1', '1'), ran('b1', '1', {customer: 'bea'})],
    ['PINNED/inside_anothers'],
  ],
  [
    "a single statement in another caller's transaction",
    [begun('1'), ran('a1', '1'), ran('c1', '1')],
    ['PINNED/inside_anothers'],
  ],
  [
    'a statement after the end of its transaction',
    [begun('1'), ran('a1', '1'), ended('1'), ran('a2', '1')],
    ['PINNED/outside'],
  ],
  [
    'a first statement outside a transaction',
    [ran('a1', '1')],
    ['PINNED/outside'],
  ],
  [
    'a statement in a second transaction on its connection',
    [begun('1'), ran('a1', '1'), ended('1'), begun('1'), ran('a2', '1')],
    ['PINNED/outside'],
  ],
  [
    'a statement on another connection than the first',
    [begun('1'), ran('a1', '1'), begun('2'), ran('a2', '2')],
    ['PINNED/other_connection'],
  ],
  [
    'other values',
    [ran('c1', '1', {values: new Map([['one', '2']])})],
    ['PINNED/values'],
  ],
  ['missing values', [ran('c1', '1', {values: new Map()})], ['PINNED/values']],
  [
    'values that the session did not set',
    [begun('1'), ran('b1', '1', {values: new Map([['one', '1']])})],
    ['PINNED/values'],
  ],
  ['another shape', [ran('c1', '1', {prepared: 'READ s'})], ['PINNED/shape']],
  [
    'an unknown name',
    [{kind: 'unknown_name', connection: '1', requestId: 'c1'}],
    ['PINNED/unknown_name'],
  ],
  [
    'a connection of another customer',
    [ran('c1', '1', {customer: 'bea'})],
    ['UNASKED/customer'],
  ],
  ['a changed text', [ran('c1', '1', {text: 'READ y'})], ['UNASKED/text']],
  ['an unknown id', [ran('z9', '1')], ['UNASKED/not_sent']],
  ['another service', [ran('c1', '1', {service: 'rota'})], ['ROUTE/service']],
];

for (const [name, history, expected] of MUTANTS) {
  test(`the judge reports ${name}`, t => {
    t.deepEqual(judge(history), expected);
  });
}

test('the judge reports a success with other rows, or without the signature of its run', t => {
  const findings: string[] = [];
  const statementJudge = StatementJudge.create(({rule, kind}) =>
    findings.push(`${rule}/${kind}`),
  );
  for (const statement of SENT) statementJudge.expect(statement);
  statementJudge.observe(ran('c1', '1', {rows: ['1']}));
  statementJudge.succeeded('c1', 'sig.c1', ['1']);
  t.deepEqual(findings, []);
  statementJudge.succeeded('c1', 'sig.c1', ['2']);
  statementJudge.succeeded('c1', 'sig.c1', []);
  statementJudge.succeeded('c1', 'sig.a1', ['1']);
  statementJudge.succeeded('a2', 'sig.a2', []);
  t.deepEqual(findings, [
    'MIXED/rows',
    'MIXED/rows',
    'MIXED/signature',
    'MIXED/signature',
  ]);
});

/** Judges an attempt with two writes against a log of these writes. */
function judgeAttempt(outcome: Outcome, log: readonly string[]): string[] {
  const attempt: Attempt = {
    front: 'front-1',
    writes: ['a', 'b'],
    outcome,
    answeredAtMs: 0,
    answer: '',
  };
  const changes = log.map((requestId, index) => ({
    term: 1,
    offset: index + 1,
    item: 'x',
    data: requestId,
    requestId,
  }));
  return judgeCommits([attempt], changes).map(
    ({rule, kind}) => `${rule}/${kind}`,
  );
}

test('the judge of commits accepts what callers were told', t => {
  t.deepEqual(judgeAttempt(Outcome.acknowledged, ['z', 'a', 'b']), []);
  t.deepEqual(judgeAttempt(Outcome.promised, ['z']), []);
  t.deepEqual(judgeAttempt(Outcome.notAsked, []), []);
  t.deepEqual(judgeAttempt(Outcome.unknown, []), []);
  t.deepEqual(judgeAttempt(Outcome.unknown, ['a', 'b']), []);
});

test('the judge of commits reports lost, kept, doubled and partial writes', t => {
  t.deepEqual(judgeAttempt(Outcome.acknowledged, ['a']), ['LOST/commit']);
  t.deepEqual(judgeAttempt(Outcome.acknowledged, []), ['LOST/commit']);
  t.deepEqual(judgeAttempt(Outcome.promised, ['a', 'b']), ['REFUSED/kept']);
  t.deepEqual(judgeAttempt(Outcome.notAsked, ['b']), ['UNASKED/commit']);
  t.deepEqual(judgeAttempt(Outcome.unknown, ['a']), ['LOST/part']);
  t.deepEqual(judgeAttempt(Outcome.acknowledged, ['a', 'b', 'a']), [
    'TWICE/write',
  ]);
});

test('a seed draws the same schedule each time', t => {
  const targets = {fronts: 6, databases: 9, spares: 2, services: 3};
  const schedule = drawSchedule(7, 60_000, targets);
  t.deepEqual(drawSchedule(7, 60_000, targets), schedule);
  t.notDeepEqual(drawSchedule(8, 60_000, targets), schedule);
  t.true(schedule.length > 40);
  const primary = drawSchedule(7, 60_000, targets, undefined, 'primary');
  t.deepEqual(drawSchedule(7, 60_000, targets, undefined, 'primary'), primary);
  t.true(primary.some(({choice}) => choice !== undefined));
  const kinds = drawSchedule(7, 60_000, targets, ['kill']).map(f => f.kind);
  t.deepEqual([...new Set(kinds)], ['kill']);
});

/** Runs a seed for `minutes` and expects that it breaks no rule. */
async function expectPassed(
  t: ExecutionContext,
  options: Pick<
    SoakOptions,
    'seed' | 'minutes' | 'callersPerFront' | 'kinds' | 'faults'
  >,
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'mustardpass-soak-'));
  const result = await runSoak({
    ...options,
    fronts: 4,
    program: fileURLToPath(new URL('../platform/main.js', import.meta.url)),
    folder,
  });
  t.log(JSON.stringify(result), folder);
  t.deepEqual(result.findings, {});
  t.true(hasPassed(result));
  rmSync(folder, {recursive: true});
}

// Guards against a front that was started again under its name and ran
// statements of transactions that its former process had opened.
test.serial('fronts that are killed and started again break no rule', t =>
  expectPassed(t, {
    seed: 1,
    minutes: 0.35,
    callersPerFront: 10,
    kinds: ['kill', 'kill_twice'],
  }),
);

// Guards against services of which no write is acknowledged any more, because a
// change of primary was given up and nobody resumed the replicas.
test.serial('services recover from changes of primary that are given up', t =>
  expectPassed(t, {
    seed: 101,
    minutes: 0.5,
    callersPerFront: 6,
    kinds: [
      'kill_holder',
      'freeze_holder',
      'silence_primary',
      'silence_replicas',
      'lose_promotions',
      'delay_promotions',
      'busy_store',
      'silent_store',
      'kill',
      'freeze',
      'terminate',
    ],
  }),
);

// Guards against a promotion without acknowledged commits that one replica alone
// had, which left, lapsed or was out of sight while the primary was lost.
test.serial('no promotion loses commits that one replica alone had', t =>
  expectPassed(t, {
    seed: 503,
    minutes: 0.4,
    callersPerFront: 6,
    faults: 'primary',
    kinds: ['sole_holder', 'cut_pair'],
  }),
);
