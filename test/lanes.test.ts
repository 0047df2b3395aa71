import test from 'ava';
import pg from 'pg';
import {LocalFleet} from '../src/standin/local_fleet.js';

const SERVICE = 'order-books-1';
const CUSTOMER = 'villacres';

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

