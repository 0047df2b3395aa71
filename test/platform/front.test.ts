/**
 * End-to-end tests of one or two fronts and three databases on stand-ins of the
 * platform.
 */
import {connect, Socket} from 'node:net';
import ava from 'ava';
import {
  openSession,
  operatorConfig,
  startFleet,
  until,
  WireClient,
} from './fleet_fixture.js';

// Fleets that share a thread slow each other down beyond the routes' timeouts.
const test = ava.serial;

/**
 * Opens a connection that sends nothing but counts towards the connection limit
 * of a database.
 */
const connectIdle = (port: number): Promise<Socket> =>
  new Promise(resolve => {
    const socket = connect({host: '127.0.0.1', port}, () => resolve(socket));
  });

test('serves reads and writes through both fronts as the right customer', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const [first, second] = fleet.fronts;
  const ana = await openSession(first, 'primary', 'ana-key');
  const bea = await openSession(second, 'primary', 'bea-key');
  const written = await ana.query('WRITE k1 hello');
  t.regex(written.done ?? '', /^sig\./);
  t.is(written.state, 'I');
  t.deepEqual((await bea.query('READ k1')).rows, ['hello']);
  const runs = fleet.group.databases.flatMap(
    database => database.executedStatements,
  );
  t.deepEqual([...new Set(runs.map(run => run.customer))].sort(), [
    'ana',
    'bea',
  ]);
});

test('refuses unknown databases and keys', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const {port} = fleet.fronts[0].settings.callerAddress;
  const noDatabase = await WireClient.start(port, 'nowhere', 'ana-key');
  t.regex(noDatabase.answer.error ?? '', /^NODB/);
  const noKey = await WireClient.start(port, 'primary', 'wrong');
  t.regex(noKey.answer.error ?? '', /^NOAUTH/);
});

test('a session reads its own writes while replicas lag', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const session = await openSession(
    fleet.fronts[1],
    'read_your_writes',
    'ana-key',
  );
  for (let round = 0; round < 10; round++) {
    t.truthy((await session.query(`WRITE k v${round}`)).done);
    t.deepEqual((await session.query('READ k')).rows, [`v${round}`]);
  }
});

test('bounded reads go to replicas once the primary was sampled', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const writer = await openSession(fleet.fronts[0], 'primary', 'ana-key');
  await writer.query('WRITE k v');
  const reader = await openSession(fleet.fronts[1], 'bounded', 'ana-key');
  for (let round = 0; round < 40; round++) await reader.query('READ k');
  const {primary: leader, databases} = fleet.group;
  const replicaReads = databases
    .filter(database => database !== leader)
    .flatMap(database => database.executedStatements).length;
  t.true(replicaReads >= 30, `${replicaReads} of 40 on replicas`);
});

test('a transaction keeps its session values and prepared statements apart from other sessions', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const [first, second] = fleet.fronts;
  const ana = await openSession(first, 'primary', 'ana-key');
  const other = await openSession(second, 'primary', 'ana-key');
  await ana.query('SET color red');
  await other.query('SET color blue');
  await ana.query('PREPARE s1 WRITE shape-a');
  await other.query('PREPARE s1 READ shape-b');
  t.is((await ana.query('BEGIN')).state, 'T');
  t.is((await ana.query('EXECUTE s1 k1 one', 'w1')).state, 'T');
  t.truthy((await other.query('EXECUTE s1 k1', 'r1')).done);
  t.is((await ana.query('COMMIT')).state, 'I');
  t.deepEqual((await other.query('EXECUTE s1 k1', 'r2')).rows, ['one']);
  const runs = fleet.group.databases.flatMap(
    database => database.executedStatements,
  );
  const valueOf = (id: string): string | undefined =>
    runs.find(run => run.requestId === id)?.values.get('color');
  t.is(valueOf('w1'), 'red');
  t.is(valueOf('r2'), 'blue');
});

test('rolls back a transaction on ROLLBACK and when its caller disconnects', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const [front] = fleet.fronts;
  const ana = await openSession(front, 'primary', 'ana-key');
  await ana.query('BEGIN');
  await ana.query('WRITE k1 gone');
  t.is((await ana.query('ROLLBACK')).state, 'I');
  const departing = await openSession(front, 'primary', 'ana-key');
  await departing.query('BEGIN');
  await departing.query('WRITE k2 gone');
  departing.close();
  t.deepEqual((await ana.query('READ k1')).rows, ['-']);
  t.deepEqual((await ana.query('READ k2')).rows, ['-']);
  t.is(fleet.group.acknowledged.length, 0);
});

// A transaction whose caller said BYE kept its connection, and its locks, until
// the idle limit.
test('rolls back a transaction whose caller ends its session by BYE', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const [front] = fleet.fronts;
  const ana = await openSession(front, 'primary', 'ana-key');
  await ana.query('BEGIN');
  t.truthy((await ana.query('WRITE k1 gone')).done);
  ana.send('BYE');
  await until(() => front.events('lane_ended').length === 1, 300);
});

test('ends a transaction that is idle too long and fails its next statement', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const ana = await openSession(fleet.fronts[0], 'primary', 'ana-key');
  await ana.query('BEGIN');
  await ana.query('WRITE k1 gone');
  await new Promise(resolve => setTimeout(resolve, 700));
  const late = await ana.query('WRITE k1 late');
  t.truthy(late.error);
  t.is(late.state, 'E');
  t.is((await ana.query('ROLLBACK')).state, 'I');
  t.is(fleet.group.acknowledged.length, 0);
});

test('refuses statements of a connected session after its key is withdrawn', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const [front] = fleet.fronts;
  const ana = await openSession(front, 'primary', 'ana-key');
  t.truthy((await ana.query('WRITE k v')).done);
  const next = operatorConfig('orders', {version: 4});
  next.tenants[0].api_keys = [];
  fleet.store.put('op/config', next);
  await until(() => front.events('config_applied').length === 2);
  t.regex((await ana.query('READ k')).error ?? '', /^NOAUTH/);
});

test('runs nothing and is not ready while its configuration is stale', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const [{front}] = fleet.fronts;
  const ana = await openSession(fleet.fronts[0], 'primary', 'ana-key');
  t.truthy((await ana.query('WRITE k v')).done);
  fleet.store.faultMode = 'silent';
  await until(() => !front.isReady);
  t.regex((await ana.query('READ k')).error ?? '', /^BUSY retry_after_ms=/);
  fleet.store.faultMode = 'none';
  await until(() => front.isReady);
  t.deepEqual((await ana.query('READ k')).rows, ['v']);
});

test('a crashed primary is replaced and no acknowledged commit is lost', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const {group} = fleet;
  const ana = await openSession(fleet.fronts[1], 'primary', 'ana-key');
  for (let n = 0; n < 5; n++) await ana.query(`WRITE k${n} v${n}`);
  const old = group.primary;
  await old?.crash();
  let served = false;
  const endMs = performance.now() + 8_000;
  while (!served && performance.now() < endMs) {
    served = (await ana.query('WRITE after v')).done !== undefined;
  }
  t.true(served);
  t.not(group.primary, old);
  const log = group.primary?.log ?? [];
  for (const commit of group.acknowledged) {
    t.true(log.some(c => c.requestId === commit.requestId));
  }
});

test('a planned promotion under writes loses no acknowledged commit and resumes replicas', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const {group, store} = fleet;
  group.promotionMs = 600;
  const ana = await openSession(fleet.fronts[0], 'primary', 'ana-key');
  await ana.query('WRITE k v0');
  const [old] = group.databases;
  old.isDraining = true;
  store.registerDatabases();
  let stop = false;
  const writing = (async () => {
    for (let n = 1; !stop; n++) await ana.query(`WRITE k v${n}`);
  })();
  await until(() => group.primary !== undefined && group.primary !== old);
  stop = true;
  await writing;
  const log = group.primary?.log ?? [];
  const lost = group.acknowledged.filter(
    commit => !log.some(c => c.requestId === commit.requestId),
  );
  t.deepEqual(lost, []);
  await until(() => group.databases.every(database => !database.isPaused));
});

test('a planned stop finishes the running statement and closes idle sessions', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const [first] = fleet.fronts;
  const busy = await openSession(first, 'primary', 'ana-key');
  const idle = await openSession(first, 'primary', 'ana-key');
  for (const database of fleet.group.databases) database.executionMs = 150;
  const answer = busy.query('WRITE k v');
  await until(() => fleet.group.primary?.usedSlots === 1);
  const stopped = first.front.stop();
  const answered = await answer;
  t.truthy(answered.done, answered.error);
  await stopped;
  t.true(idle.isEnded);
});

test('a statement that is in transit while its idle session closes is not run', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const [first] = fleet.fronts;
  const idle = await openSession(first, 'primary', 'ana-key');
  const stopped = first.front.stop();
  idle.send('QUERY crossing WRITE k v');
  await stopped;
  const runs = fleet.group.databases.flatMap(
    database => database.executedStatements,
  );
  t.false(runs.some(run => run.requestId === 'crossing'));
});

test('the next holder works with few connections while those of a lost VM linger', async t => {
  const fleet = await startFleet();
  t.teardown(() => fleet.stop());
  const {group} = fleet;
  const lingering = 14;
  const held = await Promise.all(
    group.databases.flatMap(database =>
      Array.from({length: lingering}, () => connectIdle(database.port)),
    ),
  );
  const sessions = await Promise.all(
    ['ana-key', 'bea-key', 'ana-key', 'bea-key'].map(key =>
      openSession(fleet.fronts[0], 'primary', key),
    ),
  );
  const answers = await Promise.all(
    sessions.flatMap(session => [session.query('WRITE k v')]),
  );
  t.deepEqual(
    answers.map(answer => answer.error),
    answers.map(() => undefined),
  );
  held.forEach(socket => socket.destroy());
});
