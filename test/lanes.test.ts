import {connect} from 'node:net';
import test from 'ava';
import pg from 'pg';
import {serialize} from 'pg-protocol';
import {LocalFleet} from '../src/standin/local_fleet.js';

const SERVICE = 'order-books-1';
const CUSTOMER = 'villacres';
/** Limit of a database of which the pool uses one connection. */
const ONE_IN_POOL = 3;

const delay = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

async function connectClient(fleet: LocalFleet): Promise<pg.Client> {
  const client = fleet.createClient(0, CUSTOMER, SERVICE);
  await client.connect();
  return client;
}

/** Returns the SQLSTATE of a failed query; undefined if it succeeded. */
const sqlStateOf = (work: Promise<unknown>): Promise<string | undefined> =>
  work.then(
    () => undefined,
    (error: pg.DatabaseError) => error.code,
  );

/** Sends a cancel request for the statement that a client waits for. */
function cancel(fleet: LocalFleet, client: pg.Client): void {
  const {processID, secretKey} = client as unknown as {
    processID: number;
    secretKey: number;
  };
  const port = fleet.proxies[0].callerPort;
  const socket = connect({host: '127.0.0.1', port});
  socket.on('error', () => undefined);
  socket.end(serialize.cancel(processID, secretKey));
}

// Guards against a statement that was answered as lost, and ran outside its
// transaction as soon as the customer's rate allowed it.
test.serial(
  'a statement whose transaction is lost while it waits for a token never runs',
  async t => {
    const fleet = await LocalFleet.create({
      proxies: 1,
      customers: [{name: CUSTOMER, ratePerS: 5, burst: 2}],
    });
    try {
      const client = await connectClient(fleet);
      await delay(500);
      await client.query('BEGIN');
      await client.query("INSERT INTO t (id) VALUES ('first')");
      const waiting = sqlStateOf(
        client.query("INSERT INTO t (id) VALUES ('second')"),
      );
      await delay(20);
      const {primary} = fleet.group(SERVICE);
      primary.kill();
      primary.restart();
      t.is(await waiting, '40000');
      await delay(600);
      t.deepEqual(fleet.group(SERVICE).committedIds('t'), []);
      await client.query('ROLLBACK');
      await client.end();
    } finally {
      await fleet.close();
    }
  },
);

// Guards against a commit that is answered without an error after its transaction
// was lost.
test.serial('the commit of a transaction that was lost fails', async t => {
  const fleet = await LocalFleet.create({proxies: 1});
  try {
    const client = await connectClient(fleet);
    const {primary} = fleet.group(SERVICE);
    for (const end of ['COMMIT', 'ROLLBACK']) {
      await client.query('BEGIN');
      await client.query(`INSERT INTO t (id) VALUES ('${end}')`);
      primary.kill();
      primary.restart();
      await delay(50);
      const sqlState = await sqlStateOf(client.query(end));
      t.is(sqlState, end === 'COMMIT' ? '40000' : undefined);
    }
    await client.query("INSERT INTO t (id) VALUES ('after')");
    t.deepEqual(fleet.group(SERVICE).committedIds('t'), ['after']);
    await client.end();
  } finally {
    await fleet.close();
  }
});

// Guards against a cancel request that ends the statement of the next caller on
// the connection.
for (const cancelDelayMs of [150, 1_200]) {
  test.serial(
    `a cancel request that is ${cancelDelayMs} ms late reaches no other caller`,
    async t => {
      const services = [{service: SERVICE, connections: ONE_IN_POOL}];
      const fleet = await LocalFleet.create({proxies: 1, services});
      try {
        const first = await connectClient(fleet);
        const second = await connectClient(fleet);
        await first.query('SELECT 1');
        const {primary} = fleet.group(SERVICE);
        primary.database.faults.cancelDelayMs = cancelDelayMs;
        const canceled = first.query('SELECT pg_sleep(0.1)');
        await delay(60);
        cancel(fleet, first);
        await canceled;
        t.is(
          await sqlStateOf(second.query('SELECT pg_sleep(1.4)')),
          undefined,
          'the statement of another caller was canceled',
        );
        await Promise.all([first.end(), second.end()]);
      } finally {
        await fleet.close();
      }
    },
  );
}

// Guards against a commit that has run and is answered as not run.
test.serial('a cancel request does not deny a commit that has run', async t => {
  const fleet = await LocalFleet.create({proxies: 1});
  try {
    const client = await connectClient(fleet);
    await client.query('SELECT 1');
    const {servers} = fleet.group(SERVICE);
    const replicas = servers.filter(server => !server.database.isPrimary);
    for (const {database} of replicas) database.faults.isIsolated = true;
    const write = sqlStateOf(client.query("INSERT INTO t (id) VALUES ('a')"));
    await delay(100);
    cancel(fleet, client);
    await delay(100);
    for (const {database} of replicas) database.faults.isIsolated = false;
    t.is(await write, undefined);
    t.deepEqual(fleet.group(SERVICE).committedIds('t'), ['a']);
    await client.end();
  } finally {
    await fleet.close();
  }
});
