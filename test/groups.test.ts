import test from 'ava';
import {LocalFleet} from '../src/standin/local_fleet.js';

const SERVICE = 'order-books-1';
const CUSTOMER = 'villacres';

/** Changes the service so that its pools are made anew. */
async function changeService(
  fleet: LocalFleet,
  connections: number,
): Promise<void> {
  const group = fleet.group(SERVICE);
  const service = {
    name: SERVICE,
    databases: group.databaseConfigs(),
    slots: group.options.slots,
    connections,
  };
  await fleet.applyActions(0, [{do: 'put_service', service}]);
}

// Guards against commits that wait for a confirmation until their deadline,
// after the pools of their service were made anew.
test.serial(
  'a transaction that outlives its pools commits as usual',
  async t => {
    const fleet = await LocalFleet.create({proxies: 1});
    try {
      const client = fleet.createClient(0, CUSTOMER, SERVICE);
      await client.connect();
      await client.query('BEGIN');
      await client.query("INSERT INTO t (id) VALUES ('a')");
      await changeService(fleet, 15);
      const startedAtMs = Date.now();
      await client.query('COMMIT');
      t.true(Date.now() - startedAtMs < 1_000);
      t.deepEqual(fleet.group(SERVICE).committedIds('t'), ['a']);
      await client.end();
    } finally {
      await fleet.close();
    }
  },
);
