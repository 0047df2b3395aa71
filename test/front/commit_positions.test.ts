/** What fronts know of the positions of acknowledged commits. */
import test from 'ava';
import {
  combineReports,
  CommitPositions,
  FleetCommits,
  receiveCommitReport,
} from '../../src/core/commit_positions.js';
import {Position} from '../../src/core/position.js';

const SERVICE = 'orders';

const at = (offset: number, term = 1): Position => ({term, offset});

/** A front that has seen the primary at each position, one every 100 ms. */
function createFront(startedAtMs: number, offsets: readonly number[]) {
  const front = CommitPositions.create(startedAtMs);
  offsets.forEach((offset, index) =>
    front.recordReached(SERVICE, startedAtMs + 100 * (index + 1), at(offset)),
  );
  return front;
}

/** What fronts report together when all of them are asked at `nowMs`. */
const combine = (
  fronts: readonly CommitPositions[],
  nowMs: number,
  unreportedBeforeMs = -Infinity,
): FleetCommits =>
  combineReports(
    fronts.map(front =>
      receiveCommitReport(front.report(SERVICE, nowMs), nowMs, nowMs),
    ),
    unreportedBeforeMs,
  );

test('a commit lies above what the primary had reached before and not above its answer', t => {
  const front = createFront(0, [7]);
  const reachedBefore = front.reachedBy(SERVICE);
  front.recordReached(SERVICE, 300, at(9));
  front.recordCommit(SERVICE, reachedBefore, at(10), 400);
  const {atLeast, atMost} = combine([front], 1_000);
  t.deepEqual(atLeast, at(8));
  t.deepEqual(atMost, at(10));
});

test('the highest commit of all fronts counts, in the order of terms', t => {
  const first = createFront(0, [7]);
  const second = createFront(0, [7]);
  first.recordCommit(SERVICE, at(50), at(60), 400);
  second.recordCommit(SERVICE, at(3, 2), at(4, 2), 400);
  const {atLeast, atMost} = combine([first, second], 1_000);
  t.deepEqual(atLeast, at(4, 2));
  t.deepEqual(atMost, at(4, 2));
});

// Guards against a log that is taken for complete although a front that has
// ended, or did not answer, acknowledged more.
test('no upper bound is known unless the primary was seen after all unreported commits', t => {
  const front = createFront(0, [7, 8]);
  front.recordCommit(SERVICE, at(5), at(6), 400);
  t.deepEqual(combine([front], 1_000, 150).atMost, at(8));
  t.is(combine([front], 1_000, 250).atMost, undefined);
  t.is(combine([front], 1_000, Infinity).atMost, undefined);
  const restarted = createFront(900, []);
  t.is(combine([front, restarted], 1_000).atMost, undefined);
});

// Guards against changes of primary that wait, one after the other, for commits
// that are lost for good.
test('commits that a later answer of a primary does not show are forgotten', t => {
  const front = createFront(0, [7]);
  front.recordCommit(SERVICE, at(9), at(10), 400);
  // Sent before the commit was acknowledged.
  front.recordReached(SERVICE, 300, at(8));
  t.deepEqual(combine([front], 1_000).atLeast, at(10));
  front.recordReached(SERVICE, 500, at(8));
  t.is(combine([front], 1_000).atLeast, undefined);
  t.deepEqual(front.reachedBy(SERVICE), at(8));
  // Too high a bound only costs a wait.
  t.deepEqual(combine([front], 1_000).atMost, at(10));
});

// Guards against a bound that no log reaches, and against one that is dropped for
// that reason.
test('a commit that changed nothing raises no lower bound', t => {
  const front = createFront(0, [9]);
  front.recordCommit(SERVICE, at(9), at(9), 400);
  const {atLeast, atMost} = combine([front], 1_000);
  t.is(atLeast, undefined);
  t.deepEqual(atMost, at(9));
});
