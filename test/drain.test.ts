import {Socket} from 'node:net';
import test from 'ava';
import pg from 'pg';
import {LocalFleet, waitUntil} from '../src/standin/local_fleet.js';

const SERVICE = 'order-books-1';
/** How a slow caller reads an answer of many rows. */
const READ_BYTES = 262_144;
const READ_PAUSE_MS = 25;
const ROWS = 40_000;

interface Counts {
  sent: number;
  answered: number;
  refusedAtBoundary: number;
}

/**
 * Sends requests, every other one in a transaction, and counts them until the
 * proxy ends the session.
 */
async function callUntilEnded(
  client: pg.Client,
  index: number,
  counts: Counts,
): Promise<void> {
  for (let n = 0; ; n++) {
    const inTransaction = n % 2 === 0;
    try {
      const id = `${index}-${n}`;
      if (inTransaction) await client.query('BEGIN');
      counts.sent++;
      await client.query('SELECT pg_sleep(0.02)');
      await client.query('INSERT INTO t (id) VALUES ($1)', [id]);
      if (inTransaction) await client.query('COMMIT');
      counts.answered++;
    } catch (error) {
      const {code} = error as pg.DatabaseError;
      const ended = code === '57P01' || !code;
      if (!ended) throw error;
      counts.refusedAtBoundary++;
      return;
    }
  }
}

test.serial(
  'a drain under load interrupts no request and no transaction',
  async t => {
    const fleet = await LocalFleet.create({proxies: 3});
    try {
      const counts: Counts = {sent: 0, answered: 0, refusedAtBoundary: 0};
      const clients = await Promise.all(
        Array.from({length: 12}, async () => {
          const client = fleet.createClient(0, 'villacres', SERVICE);
          await client.connect();
          return client;
        }),
      );
      const long = fleet.createClient(0, 'villacres', SERVICE);
      await long.connect();
      const longAnswer = long.query("SELECT pg_sleep(2), 'done' AS word");
      const callers = clients.map((client, i) =>
        callUntilEnded(client, i, counts),
      );
      await waitUntil(() => counts.answered > 12);
      await fleet.proxies[0].drain();
      await Promise.all(callers);
      t.is((await longAnswer).rows[0].word, 'done');
      const inserted = fleet.group(SERVICE).committedIds('t');
      t.is(new Set(inserted).size, counts.answered);
      t.true(counts.answered > 12);
      await t.throwsAsync(
        fleet.createClient(0, 'villacres', SERVICE).connect(),
      );
    } finally {
      await fleet.close();
    }
  },
);

test.serial(
  'a leaving database gets no new work, even if it is the primary',
  async t => {
    const fleet = await LocalFleet.create({proxies: 2});
    try {
      const client = fleet.createClient(0, 'villacres', SERVICE);
      await client.connect();
      await client.query("INSERT INTO t (id) VALUES ('before')");
      const leaving = fleet.group(SERVICE).primary;
      await fleet.applyActions(0, [
        {
          do: 'set_leaving',
          service: SERVICE,
          database: leaving.database.name,
          leaving: true,
        },
      ]);
      for (let n = 0; n < 20; n++) {
        await client.query('INSERT INTO t (id) VALUES ($1)', [`n${n}`]);
        await client.query('SELECT id FROM t WHERE id = $1', [`n${n}`]);
        await new Promise(resolve => setTimeout(resolve, 20));
      }
      const next = fleet.group(SERVICE).primary;
      t.not(next.database.name, leaving.database.name);
      t.is(new Set(fleet.group(SERVICE).committedIds('t')).size, 21);
      const executedBefore = leaving.executedStatements;
      await client.query("INSERT INTO t (id) VALUES ('after')");
      await client.query("SELECT id FROM t WHERE id = 'after'");
      t.is(leaving.executedStatements, executedBefore);
      await client.end();
    } finally {
      await fleet.close();
    }
  },
);

test.serial(
  'a pool owner that starts with a leaving primary replaces it',
  async t => {
    const fleet = await LocalFleet.create({
      proxies: 2,
      services: [{service: SERVICE, isLeaving: index => index === 0}],
    });
    try {
      const client = fleet.createClient(0, 'villacres', SERVICE);
      await client.connect();
      await client.query("INSERT INTO t (id) VALUES ('a')");
      t.not(fleet.group(SERVICE).primary.database.name, `${SERVICE}-db1`);
      await client.end();
    } finally {
      await fleet.close();
    }
  },
);

// Guards against answers that a planned stop cuts off, as their callers read
// slowly.
test.serial('a drain delivers the answers that are on their way', async t => {
  const fleet = await LocalFleet.create({proxies: 2});
  t.teardown(() => fleet.close());
  const client = fleet.createClient(0, 'villacres', SERVICE);
  await client.connect();
  const {connection} = client as unknown as {connection: {stream: Socket}};
  const {stream} = connection;
  let sincePauseBytes = 0;
  stream.on('data', (chunk: Buffer) => {
    sincePauseBytes += chunk.length;
    if (sincePauseBytes < READ_BYTES) return;
    sincePauseBytes = 0;
    stream.pause();
    setTimeout(() => stream.resume(), READ_PAUSE_MS);
  });
  client.on('error', () => undefined);
  const answer = client.query(
    `SELECT generate_series, repeat('x', 200) AS pad FROM generate_series(1, ${ROWS})`,
  );
  await new Promise(resolve => stream.once('data', resolve));
  const drained = fleet.proxies[0].drain();
  t.is((await answer).rows.length, ROWS);
  await drained;
});
