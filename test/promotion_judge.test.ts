/** Tests the judge of promotions, and the replication that it judges. */
import test from 'ava';
import {Attempt, Outcome} from '../soak/commit_judge.js';
import {PromotionJudge} from '../soak/promotion_judge.js';
import {
  CommittedChange,
  StandinDatabase,
  StandinGroup,
} from './platform/standin_database.js';
import {StandinReplication} from './platform/standin_replication.js';

const change = (requestId: string, offset: number): CommittedChange => ({
  term: 1,
  offset,
  item: 'x',
  data: requestId,
  requestId,
});

const attempt = (outcome: Outcome, ...writes: string[]): Attempt => ({
  front: 'front-1',
  writes,
  outcome,
  answeredAtMs: 0,
  answer: '',
});

/** A service whose primary has three writes, its first replica two. */
function createGroup(): StandinGroup {
  const group = new StandinGroup('orders');
  for (const index of [0, 1, 2])
    group.databases.push(new StandinDatabase(group, `i-${index}`, 'norte'));
  const [primary, newest] = group.databases;
  primary.isPrimary = true;
  primary.log.push(change('a', 1), change('b', 2), change('c', 3));
  newest.log.push(...primary.log.slice(0, 2));
  return group;
}

const createJudge = (): PromotionJudge =>
  PromotionJudge.create({isListed: () => true, databaseOf: () => 'i-0'});

test('a promotion is not reported if the log has all that callers saw acknowledged', t => {
  const group = createGroup();
  const attempts = [
    attempt(Outcome.acknowledged, 'a', 'b'),
    attempt(Outcome.unknown, 'c'),
    attempt(Outcome.promised, 'd'),
  ];
  const [, newest] = group.databases;
  t.deepEqual(createJudge().judge(attempts, newest, undefined), []);
});

test('a promotion without an acknowledged commit is reported once, with the databases that have it', t => {
  const group = createGroup();
  const attempts = [attempt(Outcome.acknowledged, 'a', 'b')];
  const [, , empty] = group.databases;
  const judge = createJudge();
  const findings = judge.judge(attempts, empty, undefined);
  t.is(findings.length, 1);
  t.is(findings[0].rule, 'LOST');
  t.is(findings[0].kind, 'promotion_held_by_former_primary');
  t.like(findings[0].details, {promoted: 'i-2', ranAt: 'i-0'});
  t.deepEqual(judge.judge(attempts, empty, undefined), []);
});

test('a commit is acknowledged once the only replica that is not cut off has it', async t => {
  const group = await StandinGroup.start('orders', [
    'norte',
    'puerto',
    'parque',
  ]);
  t.teardown(() => group.stop());
  const replication = StandinReplication.start(group, () => 5);
  const [primary, reached, cutOff] = group.databases;
  const heal = replication.cut(primary, cutOff);
  const commit = change('a', 1);
  primary.log.push(commit);
  await replication.replicate(primary, commit);
  t.deepEqual(reached.log, [commit]);
  t.deepEqual(cutOff.log, []);
  heal();
  const next = change('b', 2);
  primary.log.push(next);
  reached.pausedAtTerm = 2;
  await replication.replicate(primary, next);
  t.deepEqual(reached.log, [commit]);
  t.deepEqual(cutOff.log, [commit, next]);
});
