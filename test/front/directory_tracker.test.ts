/** The directory of databases when the store returns from an older copy. */
import test from 'ava';
import {DatabaseEntry, leaderOf} from '../../src/core/directory.js';
import {qualifyRevision} from '../../src/core/store_revision.js';
import {DirectoryTracker} from '../../src/front/directory_tracker.js';
import {StoreEvent} from '../../src/store/key_values.js';
import {databaseEntry} from '../fixtures/database_entry.js';

const PREFIX = 'db/';
const MISSING_GRACE_MS = 2_000;
const REWRITE_GRACE_MS = 4_000;

const createTracker = () => {
  const clock = {nowMs: 0};
  const tracker = DirectoryTracker.create({
    prefix: PREFIX,
    decode: (_id, bytes) => JSON.parse(bytes.toString()) as DatabaseEntry,
    regionOfZone: new Map(),
    missingEntryGraceMs: MISSING_GRACE_MS,
    rewriteGraceMs: REWRITE_GRACE_MS,
    log: () => undefined,
    nowMs: () => clock.nowMs,
  });
  return {clock, tracker};
};

function put(
  id: string,
  revision: number,
  changes: Partial<DatabaseEntry>,
): StoreEvent {
  const entry = databaseEntry(id, changes);
  const value = Buffer.from(JSON.stringify(entry));
  return {kind: 'put', key: PREFIX + id, revision, value};
}

const removed = (id: string, revision: number): StoreEvent => ({
  kind: 'removed',
  key: PREFIX + id,
  revision,
});

const lists = (tracker: DirectoryTracker, events: StoreEvent[]): void => {
  tracker.beginList(false);
  tracker.apply(events);
  tracker.removeUnlisted(new Set(events.map(({key}) => key)));
};

// Guards against new work for a database that is leaving, and against a former
// primary, because the copy is from before they changed.
test('an entry from a copy does not replace a newer one of the same database', t => {
  const {tracker, clock} = createTracker();
  tracker.apply([
    put('a', 5, {isLeader: true, sequence: 3}),
    put('b', 6, {sequence: 3}),
    put('a', 7, {isLeader: false, sequence: 4}),
    put('b', 8, {isLeader: true, sequence: 4}),
    put('c', 9, {leaving: true, sequence: 4}),
  ]);
  tracker.recordRestore();
  lists(tracker, [
    put('a', qualifyRevision(2, 5), {isLeader: true, sequence: 3}),
    put('b', qualifyRevision(2, 6), {sequence: 3}),
    put('c', qualifyRevision(2, 3), {sequence: 2}),
  ]);
  t.is(leaderOf(tracker.directory, 's')?.id, 'b');
  t.true(tracker.directory.get('c')?.leaving);
  tracker.apply([
    put('a', qualifyRevision(2, 7), {isLeader: true, sequence: 6}),
  ]);
  t.is(leaderOf(tracker.directory, 's')?.id, 'a');
  clock.nowMs = REWRITE_GRACE_MS;
  t.true(tracker.isListDue);
});

// Guards against passing over an entry for good, though its database lives and
// has nothing newer to say.
test('an entry that was passed over is taken once databases had time to write', t => {
  const {tracker, clock} = createTracker();
  tracker.apply([put('a', 5, {startedAtUnixMs: 20, sequence: 9})]);
  const restarted = put('a', qualifyRevision(2, 3), {startedAtUnixMs: 10});
  tracker.recordRestore();
  lists(tracker, [restarted]);
  t.is(tracker.directory.get('a')?.startedAtUnixMs, 20);
  t.false(tracker.isListDue);
  clock.nowMs = REWRITE_GRACE_MS;
  t.true(tracker.isListDue);
  lists(tracker, [restarted]);
  t.is(tracker.directory.get('a')?.startedAtUnixMs, 10);
  t.false(tracker.isListDue);
});

// Guards against using a database again that had left.
test('a database that has left does not return with the copy', t => {
  const {tracker, clock} = createTracker();
  tracker.apply([
    put('a', 4, {isLeader: true, sequence: 2}),
    put('b', 5, {isLeader: true, sequence: 2}),
    removed('a', 6),
  ]);
  clock.nowMs = MISSING_GRACE_MS;
  tracker.expireMissing();
  t.false(tracker.directory.has('a'));
  tracker.recordRestore();
  lists(tracker, [
    put('a', qualifyRevision(2, 4), {isLeader: true, sequence: 2}),
    put('b', qualifyRevision(2, 5), {isLeader: true, sequence: 2}),
  ]);
  t.false(tracker.directory.has('a'));
  t.is(leaderOf(tracker.directory, 's')?.id, 'b');
});

// Guards against giving up a running database whose entry was lost.
test('a database without an entry after a restore is presumed alive', t => {
  const {tracker, clock} = createTracker();
  tracker.apply([put('a', 4, {isLeader: true})]);
  clock.nowMs = 10_000;
  tracker.recordRestore();
  lists(tracker, []);
  t.is(leaderOf(tracker.directory, 's')?.id, 'a');
  clock.nowMs += MISSING_GRACE_MS;
  tracker.expireMissing();
  t.is(leaderOf(tracker.directory, 's'), undefined);
});
