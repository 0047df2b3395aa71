/** Tests of the lanes that are open on one database's connections. */
import test from 'ava';
import {fc, testProp} from '@fast-check/ava';
import {
  formatLaneName,
  Lanes,
  OpenLane,
  parseLaneName,
} from '../../src/core/lanes.js';
import {createIdSource, WorkOrigin} from '../../src/core/process_ids.js';

const originOf = (connection: string): WorkOrigin => ({
  vm: 'front-1',
  process: 'p1',
  connection,
});

const lane = (
  id: string,
  transaction: string | undefined,
  connection: string,
): OpenLane => ({id, transaction, origin: originOf(connection)});

test('a statement finds only the lane of its own transaction', t => {
  const lanes = Lanes.create();
  const open = lane('h.1', 't.1', 'c.1');
  lanes.add(open);
  t.is(lanes.find('h.1', 't.1', originOf('c.1')).lane, open);
  t.is(lanes.find('h.1', 't.2', originOf('c.1')).refusal, 'other_transaction');
  t.is(
    lanes.find('h.1', undefined, originOf('c.1')).refusal,
    'other_transaction',
  );
  t.is(lanes.find('h.2', 't.1', originOf('c.1')).refusal, 'not_open');
  t.is(lanes.find(undefined, undefined, originOf('c.1')).refusal, 'not_open');
});

// A holder may notice late that a connection is gone that its peer has replaced;
// this rolled back transactions that had gone on over the next connection.
test('a lane whose front has reconnected no longer belongs to the lost connection', t => {
  const lanes = Lanes.create();
  const moved = lane('h.1', 't.1', 'c.1');
  const left = lane('h.2', 't.2', 'c.1');
  lanes.add(moved);
  lanes.add(left);
  lanes.find('h.1', 't.1', originOf('c.2'));
  t.deepEqual(lanes.of('c.1'), [left]);
  t.deepEqual(lanes.of('c.2'), [moved]);
});

// A refused statement must not move the lane of another transaction.
test('a statement of another transaction leaves the origin of a lane as it is', t => {
  const lanes = Lanes.create();
  const open = lane('h.1', 't.1', 'c.1');
  lanes.add(open);
  lanes.find('h.1', 't.2', originOf('c.2'));
  t.deepEqual(lanes.of('c.1'), [open]);
});

test('processes never give out the same id', t => {
  const [former, present] = [createIdSource('p1'), createIdSource('p2')];
  const ids = [former(), former(), present(), present()];
  t.is(new Set(ids).size, ids.length);
});

// Guards against a statement or a rollback that is sent to another front than
// the holder, since the name of a VM contains the separator.
testProp(
  'the name of a lane is read back as its holder and id',
  [fc.string({unit: fc.constantFrom('|', 'a', '.')}), fc.nat()],
  (t, holder, count) => {
    const lane = `p.${count}`;
    t.deepEqual(parseLaneName(formatLaneName(holder, lane)), {holder, lane});
    t.deepEqual(parseLaneName(lane), {holder: '', lane});
  },
  {seed: 47, numRuns: 300},
);
