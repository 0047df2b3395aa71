/**
 * Odd documents among those that VMs keep on the platform, which another writer
 * has left there.
 */
import test from 'ava';
import {StoreKey} from '../src/store/store.js';
import {LocalFleet, waitUntil} from '../src/standin/local_fleet.js';

const SERVICE = 'order-books-1';
const CUSTOMER = 'villacres';
const NESTING_DEPTH = 100_000;

const ODD_DOCUMENTS: readonly string[] = [
  'null',
  '7',
  '"text"',
  '[]',
  '[null]',
  '{}',
  '{',
  '\u0000',
  '['.repeat(NESTING_DEPTH) + ']'.repeat(NESTING_DEPTH),
  '{"version":1e308,"members":[]}',
  '{"version":9007199254740991,"members":[]}',
  '{"version":99,"members":null}',
  '{"version":99,"members":[null]}',
  '{"version":99,"members":[{"vm":{"toString":null},"joinedVersion":1}]}',
  '{"version":99,"members":[{"vm":"vm-9/1","joinedVersion":"x"}]}',
  '{"version":"99","members":{}}',
  '{"__proto__":{"version":99},"constructor":1}',
  '[{"vm":7}]',
  '[{"vm":"vm-9","host":"h","peerPort":99999,"region":"r","zone":"z"}]',
  '[{"vm":"vm-9","host":"","peerPort":1e308,"region":"r","zone":"z"}]',
];

const versionsOf = ({proxies}: LocalFleet): number[] =>
  proxies.map(proxy => (proxy.dump() as {configVersion: number}).configVersion);

// Guards against VMs that end, or follow the platform no more, because of a
// document that another writer has left there.
for (const key of [StoreKey.roster, StoreKey.vms, StoreKey.config]) {
  test.serial(`odd documents under ${key} end no process`, async t => {
    const fleet = await LocalFleet.create({proxies: 2});
    t.teardown(() => fleet.close());
    for (const text of ODD_DOCUMENTS) {
      fleet.platform.put(key, text);
      await new Promise(resolve => setTimeout(resolve, 100));
    }
    fleet.publishVms();
    for (const [proxy] of fleet.proxies.entries()) {
      const client = fleet.createClient(proxy, CUSTOMER, SERVICE);
      await client.connect();
      await client.query(`INSERT INTO t (id) VALUES ('${proxy}')`);
      await client.end();
    }
    const version = await fleet.applyActions(0, [
      {do: 'set_rate', customer: CUSTOMER, ratePerS: 5_000, burst: 5_000},
    ]);
    await waitUntil(() => versionsOf(fleet).every(v => v === version));
    t.pass();
  });
}

// Guards against the loss of a confirmed change: a VM took a configuration that
// it cannot read for none, and wrote its own older one over it.
test.serial(
  'a configuration of a later version of VMs is not replaced',
  async t => {
    const fleet = await LocalFleet.create({proxies: 1});
    t.teardown(() => fleet.close());
    const text = JSON.stringify({version: 99, services: [], later: true});
    fleet.platform.put(StoreKey.config, text);
    await new Promise(resolve => setTimeout(resolve, 500));
    t.is(fleet.platform.get(StoreKey.config), text);
  },
);
