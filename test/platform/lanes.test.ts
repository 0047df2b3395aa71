/** Tests that a statement only runs in the transaction of its own caller. */
import test from 'ava';
import {StandinDatabase} from './standin_database.js';
import {
  awaitReconnect,
  runIn,
  sleep,
  startLaneFleet,
  TestTransaction,
  workIn,
} from './lane_fixture.js';

const hasRun = (database: StandinDatabase, requestId: string): boolean =>
  database.executedStatements.some(run => run.requestId === requestId);

const openTransaction = (customer: string): TestTransaction => ({
  customer,
  transaction: `transaction-of-${customer}`,
});

// A holder started again must not give out the lanes of its former process: a
// statement of a transaction that ended with it ran in that of another caller.
test('no statement runs in the transaction of another caller after the holder was started again', async t => {
  const fleet = await startLaneFleet(['front-1', 'front-2']);
  t.teardown(() => fleet.stop());
  const {database} = fleet;
  const [first, second] = [
    await fleet.start('front-1'),
    await fleet.start('front-2'),
  ];
  const former = await fleet.start(fleet.holder);
  const ana = openTransaction('ana');
  t.true((await runIn(first, database, ana, 'a1', 'WRITE k 1')).ok);
  former.kill();
  await fleet.start(fleet.holder);
  await awaitReconnect();
  const bea = openTransaction('bea');
  t.true((await runIn(second, database, bea, 'b1', 'WRITE k 2')).ok);
  const late = await runIn(first, database, ana, 'a2', 'WRITE k 3');
  t.like(late, {ok: false, fault: 'aborted'});
  t.false(hasRun(database, 'a2'));
  t.true((await runIn(second, database, bea, 'b2', 'COMMIT')).ok);
  t.deepEqual(
    database.log.map(change => change.requestId),
    ['b1'],
  );
});

// An entry that lapses and returns replaces the worker of the database: a
// statement of a transaction that ended with it ran in that of another caller.
test('no statement runs in the transaction of another caller after the entry of the database has returned', async t => {
  const fleet = await startLaneFleet(['front-1']);
  t.teardown(() => fleet.stop());
  const {database} = fleet;
  const first = await fleet.start('front-1');
  await fleet.start(fleet.holder);
  const ana = openTransaction('ana');
  t.true((await runIn(first, database, ana, 'a1', 'WRITE k 1')).ok);
  fleet.removeEntry();
  fleet.addEntry();
  const bea = openTransaction('bea');
  t.true((await runIn(first, database, bea, 'b1', 'WRITE k 2')).ok);
  const late = await runIn(first, database, ana, 'a2', 'COMMIT');
  t.like(late, {ok: false});
  t.false(hasRun(database, 'a2'));
  t.true((await runIn(first, database, bea, 'b2', 'COMMIT')).ok);
});

// A statement that names a lane of another transaction is refused, whatever
// made its front believe in that lane.
test('a statement is refused in a lane that was opened for another transaction', async t => {
  const fleet = await startLaneFleet(['front-1']);
  t.teardown(() => fleet.stop());
  const {database} = fleet;
  const first = await fleet.start('front-1');
  await fleet.start(fleet.holder);
  const bea = openTransaction('bea');
  t.true((await runIn(first, database, bea, 'b1', 'WRITE k 2')).ok);
  const ana = {...openTransaction('ana'), lane: bea.lane};
  const wrong = await runIn(first, database, ana, 'a2', 'WRITE k 3');
  t.like(wrong, {ok: false, fault: 'aborted'});
  t.false(hasRun(database, 'a2'));
  t.true((await runIn(first, database, bea, 'b2', 'COMMIT')).ok);
});

// The holder may notice late that the connection of a front's former process is
// gone; this ended the transactions of the present process.
test('a lost connection of the former process of a front ends no transaction of the present one', async t => {
  const fleet = await startLaneFleet(['front-1']);
  t.teardown(() => fleet.stop());
  const {database} = fleet;
  const holder = await fleet.start(fleet.holder);
  const former = await fleet.start('front-1');
  const ana = openTransaction('ana');
  t.true((await runIn(former, database, ana, 'a1', 'WRITE k 1')).ok);
  const present = await fleet.start('front-1');
  const bea = openTransaction('bea');
  t.true((await runIn(present, database, bea, 'b1', 'WRITE j 2')).ok);
  holder.peerSockets[0].destroy();
  await awaitReconnect();
  t.like(await runIn(former, database, ana, 'a2', 'COMMIT'), {ok: false});
  t.true((await runIn(present, database, bea, 'b2', 'COMMIT')).ok);
});

/** Rows of one answer that is longer than a message between fronts may be. */
const LONG_ROWS = Array.from({length: 5}, () => 'x'.repeat(1_000_000));

// An answer that was too long for the link between two fronts closed it, which
// ended the transactions of all other callers behind the same front.
test('an answer too long for a link ends no transaction of another caller', async t => {
  const fleet = await startLaneFleet(['front-1']);
  t.teardown(() => fleet.stop());
  const {database} = fleet;
  const first = await fleet.start('front-1');
  await fleet.start(fleet.holder);
  const data = LONG_ROWS.join('\r\nROW ');
  database.log.push({term: 1, offset: 1, item: 'long', data, requestId: ''});
  const bea = openTransaction('bea');
  t.true((await runIn(first, database, bea, 'b1', 'WRITE k 2')).ok);
  const ana = openTransaction('ana');
  t.true((await runIn(first, database, ana, 'a1', 'WRITE k 1')).ok);
  const long = await runIn(first, database, ana, 'a2', 'READ long');
  t.like(long, {ok: false, fault: 'aborted', state: 'failed'});
  t.regex(long.ok ? '' : long.text, /too long to pass between fronts/);
  t.like(await runIn(first, database, ana, 'a3', 'COMMIT'), {ok: false});
  t.true((await runIn(first, database, bea, 'b2', 'COMMIT')).ok);
  t.deepEqual(
    database.log.slice(1).map(change => change.requestId),
    ['b1'],
  );
});

// A statement with values that are too long together closed the link, too.
test('a statement too long for a link is refused and ends no transaction of another caller', async t => {
  const fleet = await startLaneFleet(['front-1']);
  t.teardown(() => fleet.stop());
  const {database} = fleet;
  const first = await fleet.start('front-1');
  await fleet.start(fleet.holder);
  const bea = openTransaction('bea');
  t.true((await runIn(first, database, bea, 'b1', 'WRITE k 2')).ok);
  const ana = openTransaction('ana');
  t.true((await runIn(first, database, ana, 'a1', 'WRITE k 1')).ok);
  const text = `WRITE k ${'\xff'.repeat(2_200_000)}`;
  const long = await runIn(first, database, ana, 'a2', text);
  t.like(long, {ok: false, fault: 'malformed', lane: ana.lane});
  t.true((await runIn(first, database, bea, 'b2', 'COMMIT')).ok);
  t.false(hasRun(database, 'a2'));
});

// Guards against a front that passes a transaction on for another customer than
// the one it was begun for: an earlier version does when a key changes hands.
test('a statement for another customer ends the transaction that it names', async t => {
  const fleet = await startLaneFleet(['front-1']);
  t.teardown(() => fleet.stop());
  const {database} = fleet;
  const first = await fleet.start('front-1');
  await fleet.start(fleet.holder);
  const ana = openTransaction('ana');
  t.true((await runIn(first, database, ana, 'a1', 'WRITE k 1')).ok);
  const moved = {...ana, customer: 'bea'};
  const late = await runIn(first, database, moved, 'a2', 'WRITE k 2');
  t.like(late, {ok: false, fault: 'aborted'});
  t.false(hasRun(database, 'a2'));
  t.like(await runIn(first, database, ana, 'a3', 'COMMIT'), {ok: false});
  t.deepEqual(database.log, []);
});

// Guards against work that waits for a connection and is sent after its front
// has canceled it, since the caller's key has passed to another customer.
test('work that waits for a connection is not sent once it is canceled', async t => {
  const fleet = await startLaneFleet(['front-1']);
  t.teardown(() => fleet.stop());
  const {database} = fleet;
  const remote = await fleet.start('front-1');
  const holder = await fleet.start(fleet.holder);
  database.isUnresponsive = true;
  const works = [holder, remote].map(front => {
    const transaction = openTransaction(front === holder ? 'ana' : 'bea');
    const work = workIn(database, transaction, transaction.customer, 'WRITE a');
    return {front, work, reply: front.dispatcher.run(work)};
  });
  await sleep(100);
  for (const {front, work} of works) front.dispatcher.cancel(work);
  for (const {reply} of works)
    t.like((await reply).reply, {ok: false, fault: 'busy'});
  database.isUnresponsive = false;
  await sleep(100);
  t.false(hasRun(database, 'ana') || hasRun(database, 'bea'));
});
