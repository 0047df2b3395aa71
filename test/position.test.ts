import test from 'ava';
import {
  coverage,
  Coverage,
  DatabaseStatus,
  formatPosition,
  lastEntryPosition,
  parsePosition,
} from '../src/core/position.js';

const statusOf = (
  offset: number,
  ...starts: [number, number][]
): DatabaseStatus => ({
  database: 'db',
  role: 'replica',
  term: starts.at(-1)?.[0] ?? 1,
  offset,
  lineage: starts.map(([term, startOffset]) => ({term, startOffset})),
});

test('coverage of a position follows from the lineage of the log', t => {
  const status = statusOf(50, [1, 0], [3, 40]);
  t.is(coverage(status, {term: 1, offset: 40}), Coverage.covered);
  t.is(coverage(status, {term: 1, offset: 41}), Coverage.lost);
  t.is(coverage(status, {term: 3, offset: 50}), Coverage.covered);
  t.is(coverage(status, {term: 3, offset: 51}), Coverage.behind);
  t.is(coverage(status, {term: 4, offset: 1}), Coverage.unknownTerm);
});

test('an offset written by another term is not the same write', t => {
  // Counterexample that the model check found: this log contains terms 1 and 3
  // but never contained term 2.
  const status = statusOf(1, [1, 0], [3, 1]);
  t.is(coverage(status, {term: 2, offset: 1}), Coverage.lost);
  t.is(coverage(status, {term: 1, offset: 1}), Coverage.covered);
});

test('the last entry position ignores terms without entries', t => {
  const status = statusOf(5, [1, 0], [2, 5]);
  t.deepEqual(lastEntryPosition(status), {term: 1, offset: 5});
  t.is(
    coverage(statusOf(6, [1, 0], [3, 5]), lastEntryPosition(status)),
    Coverage.covered,
  );
  t.is(coverage(statusOf(0, [7, 0]), {term: 0, offset: 0}), Coverage.covered);
});

test('positions round-trip through text, and malformed text is rejected', t => {
  t.deepEqual(parsePosition(formatPosition({term: 7, offset: 12})), {
    term: 7,
    offset: 12,
  });
  for (const text of ['', '7', '7/', '/1', '-1/2', '1/2/3', 'a/b']) {
    t.is(parsePosition(text), undefined, text);
  }
});
