import {readFileSync} from 'node:fs';
import {connect} from 'node:net';
import test from 'ava';
import fc from 'fast-check';
import pg from 'pg';
import postgres from 'postgres';
import {
  customerKeyOf,
  LocalFleet,
  LOCAL_FLEET_BACKEND_PASSWORD,
  waitUntil,
} from '../src/standin/local_fleet.js';
import {waitForNewPrimary} from './fixtures/failover.js';

const SERVICE = 'order-books-1';
const CUSTOMER = 'villacres';
/** A replication lag longer than any test. */
const LONG_LAG_MS = 3_600_000;

async function withFleet(
  options: Partial<Parameters<typeof LocalFleet.create>[0]>,
  run: (fleet: LocalFleet) => Promise<void>,
): Promise<void> {
  const fleet = await LocalFleet.create({
    proxies: 2,
    services: [{service: SERVICE}],
    ...options,
  });
  try {
    await run(fleet);
  } finally {
    await fleet.close();
  }
}

async function connectClient(fleet: LocalFleet, proxy = 0): Promise<pg.Client> {
  const client = fleet.createClient(proxy, CUSTOMER, SERVICE);
  await client.connect();
  return client;
}

const rejection = async (work: Promise<unknown>): Promise<pg.DatabaseError> =>
  work.then(
    () => {
      throw new Error('was expected to fail');
    },
    error => error as pg.DatabaseError,
  );

test.serial(
  'a client with default settings can pipeline extended queries',
  async t => {
    await withFleet({}, async fleet => {
      for (const proxy of fleet.proxies) {
        const sql = postgres({
          host: '127.0.0.1',
          port: proxy.callerPort,
          database: SERVICE,
          username: CUSTOMER,
          password: customerKeyOf(CUSTOMER),
          max: 1,
        });
        const ids = Array.from(
          {length: 40},
          (_, i) => `${proxy.callerPort}-${i}`,
        );
        await Promise.all(
          ids.map(
            id => sql`INSERT INTO bookings (id, v) VALUES (${id}, ${id})`,
          ),
        );
        const rows = await Promise.all(
          ids.map(id => sql`SELECT v FROM bookings WHERE id = ${id}`),
        );
        t.deepEqual(
          rows.map(([row]) => row.v as string),
          ids,
        );
        await sql.begin(async tx => {
          await tx`UPDATE bookings SET v = 'x' WHERE id = ${ids[0]}`;
          const [row] = await tx`SELECT v FROM bookings WHERE id = ${ids[0]}`;
          t.is(row.v, 'x');
        });
        await sql.end();
      }
    });
  },
);

test.serial('named statements work on any connection', async t => {
  await withFleet({}, async fleet => {
    const clients = await Promise.all([
      connectClient(fleet),
      connectClient(fleet, 1),
    ]);
    const read = (client: pg.Client, n: number) =>
      client.query({
        name: `s${n % 3}`,
        text: `SELECT $1 AS a${n % 3}`,
        values: [`v${n}`],
      });
    for (let n = 0; n < 30; n++) {
      const answers = await Promise.all(clients.map(client => read(client, n)));
      for (const answer of answers) t.is(answer.rows[0][`a${n % 3}`], `v${n}`);
    }
    await Promise.all(clients.map(client => client.end()));
  });
});

test.serial(
  'large results are streamed, statements canceled and errors passed on',
  async t => {
    await withFleet({}, async fleet => {
      for (const proxy of [0, 1]) {
        const client = await connectClient(fleet, proxy);
        const large = await client.query(
          "SELECT generate_series, repeat('x', 200) AS pad FROM generate_series(1, 60000)",
        );
        t.is(large.rows.length, 60_000);
        t.is(large.rows[59_999].generate_series, '60000');
        const slow = rejection(client.query('SELECT pg_sleep(30)'));
        await new Promise(resolve => setTimeout(resolve, 200));
        await cancel(fleet, 1 - proxy, client);
        t.is((await slow).code, '57014');
        t.is((await rejection(client.query('SELEC 1'))).code, '42601');
        t.is(
          (await rejection(client.query('COPY t FROM STDIN'))).code,
          '0A000',
        );
        t.is(
          (await rejection(client.query('SET statement_timeout = 1'))).code,
          '0A000',
        );
        const invalid = await rejection(
          client.query("SET mustardpass.repeatable = 'maybe'"),
        );
        t.regex(invalid.message, /mustardpass.repeatable = 'maybe'.*on or off/);
        t.is((await client.query('SELECT 7 AS n')).rows[0].n, '7');
        await client.end();
      }
    });
  },
);

/**
 * Sends the cancel request of a client to the proxy at an index, which need not
 * be the one that serves the client: a load balancer may choose any.
 */
async function cancel(
  fleet: LocalFleet,
  proxy: number,
  client: pg.Client,
): Promise<void> {
  const {processID, secretKey} = client as unknown as {
    processID: number;
    secretKey: number;
  };
  const request = Buffer.alloc(16);
  request.writeUInt32BE(16, 0);
  request.writeUInt32BE(80_877_102, 4);
  request.writeUInt32BE(processID, 8);
  request.writeInt32BE(secretKey, 12);
  const socket = connect(fleet.proxies[proxy].callerPort, '127.0.0.1');
  socket.end(request);
  await new Promise(resolve => socket.once('close', resolve));
}

test.serial(
  'an open service needs no key, and startup options are applied',
  async t => {
    await withFleet(
      {services: [{service: SERVICE, open: true}]},
      async fleet => {
        const client = fleet.createClient(0, 'whoever', SERVICE, {
          password: undefined,
          options: '-c mustardpass.max_staleness_ms=77',
        });
        await client.connect();
        const shown = await client.query('SHOW mustardpass.max_staleness_ms');
        t.is(shown.rows[0]['mustardpass.max_staleness_ms'], '77');
        const {rows} = await client.query(
          "INSERT INTO t (id) VALUES ('a') RETURNING id",
        );
        t.deepEqual(rows, [{id: 'a'}]);
        await client.end();
      },
    );
  },
);

test.serial('proxy settings work inside a transaction', async t => {
  await withFleet({}, async fleet => {
    const client = await connectClient(fleet);
    await client.query('BEGIN');
    await client.query("INSERT INTO t (id) VALUES ('a')");
    await client.query('SET mustardpass.max_staleness_ms = 9');
    const shown = await client.query('SHOW mustardpass.max_staleness_ms');
    t.is(shown.rows[0]['mustardpass.max_staleness_ms'], '9');
    await client.query('COMMIT');
    t.deepEqual(fleet.group(SERVICE).committedIds('t'), ['a']);
    await client.end();
  });
});

test.serial('a failed transaction accepts only its end', async t => {
  await withFleet({}, async fleet => {
    const client = await connectClient(fleet);
    await client.query('BEGIN');
    await client.query("INSERT INTO t (id) VALUES ('a')");
    t.is((await rejection(client.query('LISTEN c'))).code, '0A000');
    const next = await rejection(
      client.query("INSERT INTO t (id) VALUES ('b')"),
    );
    t.regex(next.message, /aborted/);
    t.is((await client.query('COMMIT')).command, 'ROLLBACK');
    t.is((await client.query('SELECT count(*) FROM t')).rows[0].count, '0');
    await client.end();
  });
});

test.serial(
  'reads with a maximum staleness use replicas behind the session',
  async t => {
    await withFleet(
      {services: [{service: SERVICE, lagMs: 0, writeAck: 'primary'}]},
      async fleet => {
        const databases = fleet.group(SERVICE).servers.map(s => s.database);
        const client = await connectClient(fleet);
        await client.query("INSERT INTO t (id) VALUES ('a')");
        await waitUntil(() => databases.every(d => d.status().offset === 1));
        for (const database of databases) database.lagMs = LONG_LAG_MS;
        await client.query("INSERT INTO t (id) VALUES ('b')");
        const own = await client.query("SELECT id FROM t WHERE id = 'b'");
        t.is(own.rows.length, 1, 'read-your-writes');
        await client.query('SET mustardpass.max_staleness_ms = 600000');
        const stale = await client.query("SELECT id FROM t WHERE id = 'b'");
        t.is(
          stale.rows.length,
          0,
          'served by a replica within the maximum staleness',
        );
        const aged = await client.query("SELECT id FROM t WHERE id = 'a'");
        t.is(
          aged.rows.length,
          1,
          'a row older than the maximum staleness is visible',
        );
        await client.query('SET mustardpass.max_staleness_ms = 200');
        await new Promise(resolve => setTimeout(resolve, 600));
        const fresh = await client.query("SELECT id FROM t WHERE id = 'b'");
        t.is(
          fresh.rows.length,
          1,
          'replicas beyond the maximum staleness are not used',
        );
        await client.end();
      },
    );
  },
);

test.serial('a write lost in a failover is reported', async t => {
  await withFleet(
    {services: [{service: SERVICE, lagMs: LONG_LAG_MS, writeAck: 'primary'}]},
    async fleet => {
      const client = await connectClient(fleet);
      await client.query("INSERT INTO t (id) VALUES ('lost')");
      const group = fleet.group(SERVICE);
      group.primary.kill();
      await waitForNewPrimary(group);
      const read = () => client.query("SELECT id FROM t WHERE id = 'lost'");
      const lost = await rejection(read());
      t.is(lost.code, 'MP001');
      t.regex(lost.detail ?? '', /outcome=not_run/);
      const write = client.query("INSERT INTO t (id) VALUES ('next')");
      t.is((await rejection(write)).code, 'MP001');
      await client.query("SET mustardpass.session = ''");
      t.is((await read()).rows.length, 0);
      await client.end();
    },
  );
});

test.serial('one customer cannot hold every connection', async t => {
  const customers = [{name: CUSTOMER}, {name: 'small'}];
  await withFleet({customers}, async fleet => {
    const busyClients = await Promise.all(
      Array.from({length: 30}, () => connectClient(fleet)),
    );
    const begun = busyClients.map(client =>
      client.query('BEGIN').catch(() => 0),
    );
    const small = fleet.createClient(1, 'small', SERVICE);
    await small.connect();
    for (let n = 0; n < 5; n++) {
      const {rowCount} = await small.query('INSERT INTO t (id) VALUES ($1)', [
        `s${n}`,
      ]);
      t.is(rowCount, 1);
    }
    await small.end();
    await Promise.all(busyClients.map(client => client.end()));
    await Promise.all(begun);
  });
});

test.serial(
  'a caller key reaches neither backend servers nor dumps',
  async t => {
    const seen: Buffer[] = [];
    await withFleet(
      {
        services: [
          {service: SERVICE, onBytesReceived: chunk => void seen.push(chunk)},
        ],
      },
      async fleet => {
        for (const proxy of [0, 1]) {
          const client = await connectClient(fleet, proxy);
          await client.query('INSERT INTO t (id) VALUES ($1)', [`k${proxy}`]);
          await client.end();
        }
        const bytes = Buffer.concat(seen);
        t.true(bytes.includes(LOCAL_FLEET_BACKEND_PASSWORD));
        t.false(bytes.includes(customerKeyOf(CUSTOMER)));
        const dumps = JSON.stringify(fleet.proxies.map(proxy => proxy.dump()));
        t.false(dumps.includes(customerKeyOf(CUSTOMER)));
        t.false(dumps.includes(LOCAL_FLEET_BACKEND_PASSWORD));
        t.false(dumps.includes('fleet-secret'));
      },
    );
  },
);

test.serial(
  'a withdrawn key ends sessions that are idle, in a transaction or busy',
  async t => {
    await withFleet({}, async fleet => {
      const idle = await connectClient(fleet, 0);
      const open = await connectClient(fleet, 1);
      await open.query('BEGIN');
      await open.query("INSERT INTO t (id) VALUES ('gone')");
      const busy = await connectClient(fleet, 1);
      const running = (async () => {
        for (;;) await busy.query('SELECT 1');
      })();
      await fleet.applyActions(0, [
        {do: 'withdraw_key', customer: CUSTOMER, id: 'first'},
      ]);
      for (const work of [
        waitUntil(async () => !(await alive(idle))),
        waitUntil(async () => !(await alive(open))),
      ]) {
        await work;
      }
      await rejection(running);
      t.is(fleet.group(SERVICE).committedIds('t').length, 0);
      const again = await rejection(connectClient(fleet));
      t.is(again.code, '28P01');
    });
  },
);

const alive = (client: pg.Client): Promise<boolean> =>
  client.query('SELECT 1').then(
    () => true,
    () => false,
  );

test.serial('callers are served over TLS', async t => {
  const fixtures = new URL('../../test/fixtures/', import.meta.url).pathname;
  const flags = {
    tlsCertFile: `${fixtures}cert.pem`,
    tlsKeyFile: `${fixtures}key.pem`,
  };
  await withFleet({flags}, async fleet => {
    const ca = readFileSync(flags.tlsCertFile, 'utf8');
    const client = fleet.createClient(0, CUSTOMER, SERVICE, {
      ssl: {ca, servername: 'localhost'},
    });
    await client.connect();
    t.is((await client.query('SELECT 1 AS n')).rows[0].n, '1');
    await client.end();
  });
});

test.serial(
  'random bytes on any port neither crash a proxy nor hold a connection',
  async t => {
    await withFleet({flags: {loginTimeoutMs: 300}}, async fleet => {
      const [proxy] = fleet.proxies;
      const garbage = fc.uint8Array({minLength: 1, maxLength: 20_000});
      const ports = [proxy.callerPort, proxy.peerPort, proxy.operatorPort];
      await fc.assert(
        fc.asyncProperty(
          garbage,
          fc.constantFrom(...ports),
          async (bytes, port) => {
            const socket = connect(port, '127.0.0.1');
            socket.on('error', () => undefined);
            socket.on('data', () => undefined);
            socket.end(bytes);
            await new Promise(resolve => socket.once('close', resolve));
          },
        ),
        {seed: 6, numRuns: 40},
      );
      const halfOpen = connect(proxy.callerPort, '127.0.0.1');
      halfOpen.on('error', () => undefined);
      await new Promise(resolve => halfOpen.once('close', resolve));
      const client = await connectClient(fleet);
      t.is((await client.query('SELECT 1 AS n')).rows[0].n, '1');
      await client.end();
    });
  },
);

test.serial('an oversized message ends only its own session', async t => {
  await withFleet({flags: {maxFrameBytes: 10_000}}, async fleet => {
    const client = await connectClient(fleet);
    const text = `SELECT '${'x'.repeat(20_000)}'`;
    t.is((await rejection(client.query(text))).code, '54000');
    const other = await connectClient(fleet);
    t.is((await other.query('SELECT 1 AS n')).rows[0].n, '1');
    await other.end();
  });
});
