/** Which databases count in a change of primary although they are not listed. */
import test from 'ava';
import {fc, testProp} from '@fast-check/ava';
import {KnownDatabase, putEntry} from '../../src/core/directory.js';
import {FormerMembers, isAccountedFor} from '../../src/core/former_members.js';
import {
  decodeMemberRecord,
  encodeMemberRecord,
  RecordedMember,
} from '../../src/core/member_records.js';
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
  const members = FormerMembers.create(3_600);
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
  const members = FormerMembers.create(3_600);
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
  const members = FormerMembers.create(3_600);
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
  const members = FormerMembers.create(3_600);
  members.recordUnlisted(entry('a'), 0);
  const [lapsed] = members.of('s', 1);
  const samples = [{atMs: 3_000, position: {term: 1, offset: 5}}];
  t.false(isAccountedFor(lapsed, [{term: 1, offset: 9}], samples));
});

const recordOf = (...members: RecordedMember[]) => ({
  service: 's',
  era: 0,
  members,
});

const recorded = (
  start: string,
  changes: Partial<RecordedMember> = {},
): RecordedMember => ({start, leads: false, leaving: false, ...changes});

// Guards against a wait of 15 s for a database that nobody knows of, where the
// store tells which ones there were.
test('after a list with a record, only a database that has just joined can be unseen', t => {
  const members = FormerMembers.create(3_600);
  members.recordList(1_000);
  t.is(members.unseen('s', 15_999)?.countsUntilMs, 16_000);
  members.adopt(recordOf(recorded('a 1')), new Set(['a 1']), 1_000);
  t.is(members.unseen('s', 4_599)?.countsUntilMs, 4_600);
  t.is(members.unseen('s', 4_600), undefined);
  t.is(members.unseen('other', 4_600)?.countsUntilMs, 16_000);
  // The store failed meanwhile, so that entries may arrive later.
  t.is(members.unseen('s', 4_600, 3_000)?.countsUntilMs, 6_600);
  t.is(members.unseen('s', 4_600, 14_000)?.countsUntilMs, 16_000);
  members.recordList(20_000);
  t.is(members.unseen('s', 30_000)?.countsUntilMs, 35_000);
});

// Guards against a database that alone had the newest commits and was gone before
// the front started.
test('a recorded database that is not listed counts until a log has all of its', t => {
  const members = FormerMembers.create(3_600);
  const coveredBy = {term: 1, offset: 9};
  members.recordList(0);
  members.adopt(
    recordOf(
      recorded('a 1', {leads: true}),
      recorded('b 1', {leaving: true, coveredBy}),
      recorded('c 1'),
      recorded('d 1'),
    ),
    new Set(['d 1']),
    0,
  );
  const [lapsedLeader, left, lapsed, ...others] = members.recordedOf('s', 0);
  t.deepEqual(others, []);
  t.like(lapsedLeader, {start: 'a 1', leads: true, countsUntilMs: 15_000});
  t.false(isAccountedFor(left, [{term: 1, offset: 8}], []));
  t.true(isAccountedFor(left, [{term: 1, offset: 9}], []));
  const samples = [{atMs: 9_000, position: {term: 1, offset: 5}}];
  t.false(isAccountedFor(lapsed, [{term: 1, offset: 9}], samples));
  // It is back, or has restarted empty.
  members.recordListed({id: 'a', startedAtUnixMs: 1}, undefined, 100);
  members.recordListed({id: 'c', startedAtUnixMs: 2}, undefined, 100);
  t.deepEqual(
    members.recordedOf('s', 100).map(({start}) => start),
    ['b 1', 'c 1'],
  );
  t.deepEqual(members.recordedOf('other', 100), []);
  t.deepEqual(members.recordedOf('s', 15_000), []);
});

test('a record has the listed databases, and those that went lately', t => {
  const members = FormerMembers.create(3_600);
  members.adopt(recordOf(recorded('r 1')), new Set(), 0);
  members.recordUnlisted(entry('a', {leaving: true}), 0);
  members.recordUnlisted(entry('b', {isLeader: true}), 0);
  const listed = [entry('c', {isLeader: true})];
  const first = {atMs: 2_000, position: {term: 1, offset: 5}};
  const next = {atMs: 3_000, position: {term: 1, offset: 7}};
  const recordAt = (nowMs: number, samples = [first]) =>
    members
      .toRecord('s', listed, samples, nowMs)
      .map(({start, leads, coveredBy}) => [
        start.split(' ')[0],
        leads,
        coveredBy?.offset,
      ]);
  const kept = [
    ['c', true, undefined],
    ['a', false, 5],
    ['b', false, undefined],
  ];
  t.deepEqual(recordAt(2_000), [...kept, ['r', false, undefined]]);
  // The first position that covers a database is kept.
  t.deepEqual(recordAt(20_000, [next]), kept);
  t.deepEqual(recordAt(60_000), [['c', true, undefined]]);
});

const position = fc.record({term: fc.nat(), offset: fc.nat()});
const member = fc.record({
  start: fc.string(),
  leads: fc.boolean(),
  leaving: fc.boolean(),
  coveredBy: fc.option(position, {nil: undefined}),
});

testProp(
  'a record of databases is read back as it was written',
  [
    fc.string(),
    fc.nat(1_000),
    fc.uniqueArray(member, {selector: m => m.start}),
  ],
  (t, service, era, members) => {
    const text = encodeMemberRecord({service, era, members});
    const read = decodeMemberRecord(text);
    t.is(read && encodeMemberRecord(read), text);
    t.is(read?.members.length, members.length);
    t.is(
      encodeMemberRecord({service, era, members: [...members].reverse()}),
      text,
    );
  },
  {seed: 61, numRuns: 300},
);

// A record that cannot be read must not pass for one that names no database.
testProp(
  'a record with an odd field is no record',
  [
    fc.constantFrom('service', 'era', 'members', 'start', 'leads', 'coveredBy'),
    fc.oneof(fc.constant(null), fc.double(), fc.object(), fc.constant(['x'])),
  ],
  (t, field, value) => {
    const plain = JSON.parse(
      encodeMemberRecord(recordOf(recorded('a 1'))),
    ) as Record<string, unknown>;
    const isOfMember = ['start', 'leads', 'coveredBy'].includes(field);
    const [first] = plain.members as object[];
    const odd = isOfMember
      ? {...plain, members: [{...first, [field]: value}]}
      : {...plain, [field]: value};
    const isEra =
      field === 'era' && Number.isInteger(value) && Number(value) >= 0;
    if (!isEra) t.is(decodeMemberRecord(JSON.stringify(odd)), undefined);
    else t.pass();
  },
  {seed: 61, numRuns: 300},
);
