/**
 * Decisions of a change of primary. Guards against acknowledged commits that the
 * promoted database lacks, as the former primary went on taking commits while a
 * promotion was under way.
 */
import test from 'ava';
import {
  CommitRule,
  decodeLeaderRecord,
  encodeLeaderRecord,
  LeaderRecord,
  mayCommit,
  orderRecord,
  stoppedRecord,
} from '../../src/core/leader_record.js';
import {
  beginChange,
  ChangeEvent,
  ChangeFacts,
  ChangePhase,
  ChangeStep,
  stepChange,
} from '../../src/core/primary_change.js';
import {chooseTakeover, StoppedLog} from '../../src/core/takeover.js';

const IN_TIME: ChangeFacts = {isLate: false, isOrderInDoubt: false};

/** Applies events to a change that has begun; returns the last step. */
const after = (
  events: readonly ChangeEvent[],
  facts: ChangeFacts = IN_TIME,
): ChangeStep =>
  events.reduce(
    ({change}, event) => stepChange(change, event, facts),
    beginChange('a'),
  );

const STOPPED: ChangeEvent = {type: 'commitsStopped', isStopped: true};
const promote = (database: string): ChangeEvent => ({
  type: 'logsRead',
  choice: {kind: 'promote', database},
  isMoot: false,
  isPrimaryEndKnown: false,
});
const RECOVERED: ChangeEvent = {
  type: 'formerChecked',
  leader: 'a',
  hasRecovered: true,
};

test('no log is read before every front has stopped commits', t => {
  t.deepEqual(beginChange('a').effect, {type: 'stopCommits'});
  const notStopped: ChangeEvent = {type: 'commitsStopped', isStopped: false};
  t.is(after([notStopped]).change.phase, ChangePhase.checking);
  t.deepEqual(after([STOPPED]).effect, {type: 'readLogs'});
});

test('a change ends once its database leads', t => {
  const ordered = after([STOPPED, promote('b')]);
  t.deepEqual(ordered.effect, {type: 'order', database: 'b'});
  const accepted: ChangeEvent = {
    type: 'ordered',
    isAccepted: true,
    database: 'b',
  };
  const led = after([
    STOPPED,
    promote('b'),
    accepted,
    {type: 'leadAwaited', isSeen: true},
  ]);
  t.deepEqual(led, {
    change: {phase: ChangePhase.ended, former: 'a', isDone: true},
    effect: undefined,
  });
});

test('the former primary is not restored while an order may still be executed', t => {
  const unanswered: ChangeEvent = {
    type: 'ordered',
    isAccepted: false,
    database: 'b',
  };
  const events = [STOPPED, promote('b'), unanswered, RECOVERED];
  t.deepEqual(after(events).effect, {type: 'restore', database: 'a'});
  const inDoubt = {isLate: false, isOrderInDoubt: true};
  t.deepEqual(after(events, inDoubt).effect, {type: 'stopCommits'});
  const late = {isLate: true, isOrderInDoubt: true};
  const moot: ChangeEvent = {
    type: 'logsRead',
    choice: {kind: 'catch_up'},
    isMoot: true,
    isPrimaryEndKnown: false,
  };
  t.is(after([STOPPED, moot], late).change.phase, ChangePhase.ended);
});

test('nothing follows once the lease is lost', t => {
  const {change, effect} = after([STOPPED, {type: 'leaseLost'}]);
  t.is(change.phase, ChangePhase.ended);
  t.false(change.isDone);
  t.is(effect, undefined);
});

const record = (changes: Partial<LeaderRecord> = {}): LeaderRecord => ({
  service: 's',
  database: 'a',
  settled: true,
  ...changes,
});

test('a record that stops commits keeps the order that is in doubt', t => {
  const stopped = stoppedRecord(
    record({database: 'b', settled: false}),
    's',
    'a',
  );
  t.like(stopped, {database: 'b', settled: false, commits: CommitRule.stopped});
  t.false(mayCommit(stopped, 'b'));
  t.true(mayCommit(undefined, 'a'));
  t.false(mayCommit(record(), 'b'));
  const decoded = decodeLeaderRecord(encodeLeaderRecord(stopped, 0), 5);
  t.is(decoded?.commits, CommitRule.stopped);
});

// Guards against commits at a database that an older, unanswered order replaces.
test('a promoted database takes no commits while another order is in doubt', t => {
  const inDoubt = record({database: 'b', settled: false});
  t.is(orderRecord(inDoubt, 's', 'b').commits, CommitRule.allowed);
  const contested = orderRecord(inDoubt, 's', 'c');
  t.false(mayCommit(contested, 'c'));
  t.false(mayCommit(orderRecord(contested, 's', 'c'), 'c'));
});

const log = (
  database: string,
  offset: number,
  leaving = false,
): StoppedLog => ({
  database,
  position: {term: 1, offset},
  leaving,
});

// Guards against a draining primary that stays, as one replica does not answer.
test('a log that has reached the end of the primary suffices', t => {
  const group = {size: 4, syncReplicas: 1};
  const primaryEnd = {term: 1, offset: 7};
  const logs = [log('b', 7), log('c', 6)];
  t.is(chooseTakeover(group, logs).kind, 'need_logs');
  t.deepEqual(chooseTakeover({...group, primaryEnd}, logs), {
    kind: 'promote',
    database: 'b',
  });
  const behind = {...group, primaryEnd: {term: 1, offset: 8}};
  t.is(chooseTakeover(behind, logs).kind, 'need_logs');
  const onlyLeaving = [log('b', 7, true)];
  t.is(chooseTakeover({...group, primaryEnd}, onlyLeaving).kind, 'catch_up');
});
