import test from 'ava';
import {Config, EMPTY_CONFIG} from '../src/core/config.js';
import {applyPlan, makePlan} from '../src/core/plan.js';
import {LocalFleet, waitUntil} from '../src/standin/local_fleet.js';

const SERVICE = 'order-books-1';
const CUSTOMER = 'villacres';

const putService = (names: string) => ({
  do: 'put_service' as const,
  service: {
    name: SERVICE,
    databases: [...names].map(name => ({
      name,
      host: '127.0.0.1',
      port: 1,
      region: 'r',
      zone: 'z',
      leaving: false,
    })),
    slots: 2,
    connections: 16,
    writeAck: 'replica' as const,
    open: false,
  },
});

/** Returns the configuration in which a service has the named databases. */
function configWith(names: string): Config {
  const intent = {actions: [putService(names)]};
  const plan = makePlan(EMPTY_CONFIG, intent, 'ana', 'n')._unsafeUnwrap();
  return applyPlan(EMPTY_CONFIG, plan, 'ana', 0)._unsafeUnwrap();
}

for (const [before, after] of [
  ['abc', 'abcde'],
  ['abc', 'abd'],
  ['abc', 'ade'],
  ['abcde', 'abc'],
]) {
  // Guards against VMs with the old and the new list that elect a primary and
  // confirm commits at databases of which none is the same.
  test(`a plan from databases ${before} to ${after} is rejected`, t => {
    const config = configWith(before);
    for (const actions of [
      [putService(after)],
      [{do: 'remove_service' as const, name: SERVICE}, putService(after)],
    ]) {
      const plan = makePlan(config, {actions}, 'ana', 'n');
      t.regex(String(plan._unsafeUnwrapErr()), /one database at a time/);
    }
  });
}

for (const [before, after] of [
  ['a', 'ab'],
  ['ab', 'a'],
  ['abc', 'abcd'],
  ['abcd', 'abc'],
  ['abc', 'cba'],
]) {
  test(`a plan from databases ${before} to ${after} is accepted`, t => {
    const intent = {actions: [putService(after)]};
    t.true(makePlan(configWith(before), intent, 'ana', 'n').isOk());
  });
}

/** Names of the claimants whose terms the databases were asked to grant. */
function recordClaimants(fleet: LocalFleet): Set<string> {
  const claimants = new Set<string>();
  for (const {database} of fleet.group(SERVICE).servers) {
    const raiseTerm = database.raiseTerm.bind(database);
    database.raiseTerm = (term, claimant) => {
      claimants.add(claimant);
      return raiseTerm(term, claimant);
    };
  }
  return claimants;
}

/** Marks the primary as leaving and waits until another one is promoted. */
async function moveFromPrimary(fleet: LocalFleet): Promise<void> {
  const group = fleet.group(SERVICE);
  const {database} = group.primary;
  const {term} = database.status();
  const leaving = {service: SERVICE, database: database.name, leaving: true};
  await fleet.applyActions(0, [{do: 'set_leaving', ...leaving}]);
  await waitUntil(() =>
    group.servers
      .map(server => server.database.status())
      .some(status => status.role === 'primary' && status.term > term),
  );
}

// Guards against two primaries of a term: a database takes a claim under the
// same name for a repeated one.
test.serial('groups that are made anew claim under other names', async t => {
  const fleet = await LocalFleet.create({proxies: 1});
  t.teardown(() => fleet.close());
  const group = fleet.group(SERVICE);
  const claimants = recordClaimants(fleet);
  await moveFromPrimary(fleet);
  const {slots} = group.options;
  const databases = group.databaseConfigs();
  const service = {name: SERVICE, databases, slots, connections: 15};
  await fleet.applyActions(0, [{do: 'put_service', service}]);
  // The former group may repeat its claim until it is replaced.
  const before = new Set(claimants);
  claimants.clear();
  await moveFromPrimary(fleet);
  t.deepEqual([before.size, claimants.size], [1, 1]);
  t.true([...claimants].every(claimant => !before.has(claimant)));
});

/** Limits the service to its first databases. */
async function shrinkTo(fleet: LocalFleet, count: number): Promise<void> {
  const group = fleet.group(SERVICE);
  const {slots, connections} = group.options;
  const databases = group.databaseConfigs().slice(0, count);
  const service = {name: SERVICE, databases, slots, connections};
  await fleet.applyActions(0, [{do: 'put_service', service}]);
}

// Guards against a commit that only databases which have left the group hold.
test.serial(
  'a transaction that outlives two changes of its group loses no commit',
  async t => {
    const fleet = await LocalFleet.create({
      proxies: 1,
      services: [{databases: 5}],
    });
    t.teardown(() => fleet.close());
    const group = fleet.group(SERVICE);
    const client = fleet.createClient(0, CUSTOMER, SERVICE);
    await client.connect();
    await client.query('BEGIN');
    await client.query("INSERT INTO t (id) VALUES ('a')");
    await shrinkTo(fleet, 4);
    await shrinkTo(fleet, 3);
    for (const {database} of group.servers.slice(1, 3)) {
      database.faults.isIsolated = true;
    }
    const isAcknowledged = await client.query('COMMIT').then(
      () => true,
      () => false,
    );
    const holders = group.servers
      .slice(0, 3)
      .filter(({database}) => database.committed().length > 0);
    t.false(isAcknowledged && holders.length < 2);
    await client.end();
  },
);
