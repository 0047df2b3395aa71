/** How long a database that leaves gets new work. */
import test from 'ava';
import {KnownDatabase} from '../../src/core/directory.js';
import {isDrained} from '../../src/core/exclusion.js';

// Guards against statements that reach a leaving primary after its limit.
test('a leaving database gets no new work well before the limit of the platform', t => {
  const entry = {leavingSinceMs: 1_000} as KnownDatabase;
  t.false(isDrained(entry, 5_499, 7_000));
  t.true(isDrained(entry, 5_500, 7_000));
  t.true(isDrained(entry, 1_000, 2_000));
  t.false(isDrained({} as KnownDatabase, 60_000, 7_000));
});
