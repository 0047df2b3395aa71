/** Odd replies of a database to control queries. */
import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {firstColumn} from '../src/proxy/control_link.js';
import {LocalFleet} from '../src/standin/local_fleet.js';

const SERVICE = 'order-books-1';
const CUSTOMER = 'villacres';
const SEED = 35;
const TIME_EACH_MS = 120;

const VALID = {
  database: 'order-books-1-db2',
  role: 'replica',
  term: 1,
  offset: 0,
  lineage: [{term: 1, startOffset: 0}],
  following: 'order-books-1-db1',
};

const ODD_STATUSES: readonly unknown[] = [
  null,
  7,
  'text',
  [],
  {},
  {...VALID, term: 1e308},
  {...VALID, term: '1'},
  {...VALID, offset: -1},
  {...VALID, lineage: null},
  {...VALID, lineage: [null]},
  {...VALID, lineage: [{term: 'x', startOffset: 0}]},
  {...VALID, role: 'constructor'},
  {...VALID, database: {}},
];

// Guards against VMs that end, or use no database of the group any more, because
// one of them reports a status of another form.
test.serial('odd statuses of a replica end no process', async t => {
  const fleet = await LocalFleet.create({proxies: 2});
  t.teardown(() => fleet.close());
  const {servers, primary} = fleet.group(SERVICE);
  const replica = servers.find(server => server !== primary)?.database;
  if (!replica) return t.fail('no replica');
  const status = replica.status.bind(replica);
  const clients = fleet.proxies.map((_, proxy) =>
    fleet.createClient(proxy, CUSTOMER, SERVICE),
  );
  for (const client of clients) await client.connect();
  let rows = 0;
  for (const odd of ODD_STATUSES) {
    replica.status = () => odd as ReturnType<typeof status>;
    await new Promise(resolve => setTimeout(resolve, TIME_EACH_MS));
    for (const client of clients)
      await client.query(`INSERT INTO t (id) VALUES ('${rows++}')`);
  }
  replica.status = status;
  for (const client of clients) {
    const {rows: read} = await client.query('SELECT id FROM t');
    t.is(read.length, rows);
    await client.end();
  }
});

testProp(
  'a row of random bytes has a first column or none',
  [fc.uint8Array({maxLength: 40})],
  (t, bytes) => {
    const column = firstColumn(Buffer.from(bytes));
    t.true(column === undefined || typeof column === 'string');
  },
  {seed: SEED, numRuns: 2_000},
);
