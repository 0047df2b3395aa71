/** Which databases count in a change of primary although they are not listed. */
import test from 'ava';
import {KnownDatabase, putEntry} from '../../src/core/directory.js';
import {FormerMembers, isAccountedFor} from '../../src/core/former_members.js';
import {databaseEntry} from '../fixtures/database_entry.js';

const entry = (
  id: string,
  changes: Partial<KnownDatabase> = {},
): KnownDatabase => {
  const known = putEntry(
    new Map(),
    databaseEntry(id, changes),
    {zone: 'z', region: 'r'},
    1,
  ).get(id);
  return known!;
};

const idsOf = (members: FormerMembers, nowMs: number): string[] =>
  members.of('s', nowMs).map(({entry: {id}}) => id);

// Guards against too few logs: a replica whose entry has lapsed may run, and may
// be the only one that has received a commit.
test('a database whose entry lapsed is asked until it is listed again', t => {
  const members = FormerMembers.create();
  members.recordUnlisted(entry('a'), 0);
  t.like(members.of('s', 7_999)[0], {mayAnswer: true, countsUntilMs: 8_000});
  t.deepEqual(idsOf(members, 30_000), ['a']);
  t.deepEqual(members.of('other', 30_000), []);
  members.recordListed(entry('a'), undefined, 40_000);
  t.deepEqual(idsOf(members, 40_000), []);
  members.recordUnlisted(entry('b'), 40_000);
  t.deepEqual(idsOf(members, 100_001), []);
});

test('the former start of a database that restarted counts, and is not asked', t => {
  const members = FormerMembers.create();
  members.recordListed(entry('a', {startedAtUnixMs: 2}), entry('a'), 0);
  const [former] = members.of('s', 100);
  t.like(former, {mayAnswer: false, countsUntilMs: 8_000});
  t.is(former.entry.startedAtUnixMs, 1);
  t.deepEqual(idsOf(members, 8_000), []);
  // Its entry had lapsed before it restarted.
  members.recordUnlisted(entry('b'), 9_000);
  members.recordListed(entry('b', {startedAtUnixMs: 2}), undefined, 16_000);
  t.like(members.of('s', 16_000)[0], {
    mayAnswer: false,
    countsUntilMs: 24_000,
  });
});

// Guards against a database that counts no more although it may have been the
// only one with the newest commits: others are not known to have them.
test('a database that has left counts until a log has all that it may have held', t => {
  const members = FormerMembers.create();
  members.recordUnlisted(entry('a', {leaving: true}), 0);
  const [left] = members.of('s', 7_999);
  t.is(left.countsUntilMs, 8_000);
  const samples = [
    {atMs: 1_000, position: {term: 1, offset: 5}},
    {atMs: 2_000, position: {term: 1, offset: 9}},
  ];
  const hasAll = (offset: number): boolean =>
    isAccountedFor(left, [{term: 1, offset}], samples);
  t.false(hasAll(8));
  t.true(hasAll(9));
  t.false(isAccountedFor(left, [{term: 1, offset: 9}], []));
});

test('a database whose entry lapsed may still receive, so no log has all of its', t => {
  const members = FormerMembers.create();
  members.recordUnlisted(entry('a'), 0);
  const [lapsed] = members.of('s', 1);
  const samples = [{atMs: 3_000, position: {term: 1, offset: 5}}];
  t.false(isAccountedFor(lapsed, [{term: 1, offset: 9}], samples));
});
