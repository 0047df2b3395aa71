/** A key that passes to another customer, or away and back, during a session. */
import ava from 'ava';
import {
  Fleet,
  openSession,
  operatorConfig,
  startFleet,
  until,
  WireClient,
} from './fleet_fixture.js';
import {PromotionMode} from './standin_promotions.js';

// Fleets that share a thread slow each other down.
const test = ava.serial;

const KEY = 'moved';
const IDLE_LIMIT_MS = 5_000;

/** Keys of each customer. */
type Keys = Readonly<Record<string, readonly string[]>>;

const BY_ANA: Keys = {ana: [KEY, 'ana'], bea: ['bea']};
const BY_NOBODY: Keys = {ana: ['ana'], bea: ['bea']};
const BY_BEA: Keys = {ana: ['ana'], bea: ['bea', KEY]};
const EXCHANGED: Keys = {ana: ['bea'], bea: [KEY, 'ana']};
const WITHOUT_ANA: Keys = {bea: ['bea', KEY]};

const configOf = (version: number, keys: Keys, isPublic: boolean) => {
  const [tenant] = operatorConfig('orders').tenants;
  const tenants = Object.entries(keys).map(([name, api_keys]) => ({
    ...tenant,
    name,
    api_keys,
  }));
  const routes = operatorConfig('orders').routes.map(route => ({
    ...route,
    timeout_ms: 8_000,
    slo_ms: 8_000,
    public: isPublic,
  }));
  const limits = {tx_idle_ms: IDLE_LIMIT_MS};
  return operatorConfig('orders', {version, tenants, routes, limits});
};

interface Keyring {
  readonly fleet: Fleet;
  /** Has every front apply a version with these keys. */
  distribute(keys: Keys): Promise<void>;
}

async function startKeyring(isPublic = false): Promise<Keyring> {
  const fleet = await startFleet(
    ['norte', 'puerto'],
    configOf(1, BY_ANA, isPublic),
  );
  let version = 1;
  return {
    fleet,
    distribute: async keys => {
      version++;
      fleet.store.put('op/config', configOf(version, keys, isPublic));
      await until(() =>
        fleet.fronts.every(({events}) =>
          events('config_applied').some(event => event.version === version),
        ),
      );
    },
  };
}

const runsOf = ({group}: Fleet, id: string) =>
  group.databases.flatMap(({executedStatements}) =>
    executedStatements.filter(run => run.requestId === id),
  );

const customersOf = (fleet: Fleet, id: string): string[] =>
  runsOf(fleet, id).map(({customer}) => customer);

/** Opens a session and, in it, a transaction with one statement. */
async function openTransaction(
  fleet: Fleet,
  front: number,
  route: string,
  text: string,
): Promise<WireClient> {
  const client = await openSession(fleet.fronts[front], route, KEY);
  await client.query(text.startsWith('READ') ? 'BEGIN READ' : 'BEGIN');
  const {state} = await client.query(text);
  if (state !== 'T') throw new Error('transaction was not opened');
  return client;
}

const CHANGES: ReadonlyArray<readonly [string, readonly Keys[]]> = [
  ['in one version', [BY_BEA]],
  ['in two versions', [BY_NOBODY, BY_BEA]],
  ['as two customers exchange their keys', [EXCHANGED]],
  ['as the former customer is removed', [WITHOUT_ANA]],
];

// Guards against statements of an open transaction that run as the former holder
// of the session's key after the key has passed to another customer.
for (const [how, versions] of CHANGES) {
  test(`a transaction ends when its key passes to another customer ${how}`, async t => {
    const {fleet, distribute} = await startKeyring();
    t.teardown(() => fleet.stop());
    const clients = await Promise.all(
      ['primary', 'bounded', 'read_your_writes'].flatMap((route, index) =>
        ['WRITE a 1', 'READ a'].map(text =>
          openTransaction(fleet, index % 2, route, text),
        ),
      ),
    );
    for (const keys of versions) await distribute(keys);
    for (const [index, client] of clients.entries()) {
      const id = `after-${index}`;
      const late = await client.query('READ a', id);
      t.regex(String(late.error), /^ABORTED/);
      t.is(late.state, 'E');
      t.deepEqual(customersOf(fleet, id), []);
      t.is((await client.query('ROLLBACK')).state, 'I');
      await client.query('BEGIN');
      t.is((await client.query('WRITE b 2', `next-${index}`)).error, undefined);
      t.deepEqual(customersOf(fleet, `next-${index}`), ['bea']);
      t.is((await client.query('COMMIT')).error, undefined);
      client.close();
    }
    t.false(fleet.group.primary!.log.some(({item}) => item === 'a'));
  });
}

// Guards against a commit for the former holder of a key: it is refused before
// any database is sent it, so that nothing is kept.
test('a COMMIT after the key has passed to another customer keeps nothing', async t => {
  const {fleet, distribute} = await startKeyring();
  t.teardown(() => fleet.stop());
  const clients = [
    await openTransaction(fleet, 0, 'primary', 'WRITE a 1'),
    await openTransaction(fleet, 1, 'primary', 'WRITE b 1'),
  ];
  await distribute(BY_BEA);
  for (const client of clients) {
    const answer = await client.query('COMMIT', 'commit');
    t.regex(String(answer.error), /^ABORTED/);
    t.is(answer.state, 'I');
    client.close();
  }
  t.deepEqual(customersOf(fleet, 'commit'), []);
  t.deepEqual(fleet.group.primary!.log, []);
});

// Guards against a refused COMMIT that leaves its session in a failed transaction.
test('a COMMIT sent along while the key passes on ends the transaction', async t => {
  const {fleet, distribute} = await startKeyring();
  t.teardown(() => fleet.stop());
  const {databases} = fleet.group;
  const client = await openTransaction(fleet, 0, 'primary', 'WRITE a 1');
  for (const database of databases) database.executionMs = 1_000;
  const read = client.query('READ b', 'read');
  client.send('QUERY commit COMMIT');
  await distribute(BY_BEA);
  for (const database of databases) database.executionMs = 1;
  t.is((await read).state, 'T');
  const answer = await client.nextAnswer();
  t.regex(String(answer.error), /^ABORTED/);
  t.is(answer.state, 'I');
  t.deepEqual(customersOf(fleet, 'commit'), []);
  t.is((await client.query('READ b', 'next')).error, undefined);
  t.deepEqual(customersOf(fleet, 'next'), ['bea']);
  client.close();
});

// Guards against a transaction of the former holder that stays open at the
// database for as long as its caller is silent.
test('a transaction ends at the database as soon as its key is withdrawn', async t => {
  const {fleet, distribute} = await startKeyring();
  t.teardown(() => fleet.stop());
  const clients = [
    await openTransaction(fleet, 0, 'primary', 'WRITE a 1'),
    await openTransaction(fleet, 1, 'primary', 'WRITE b 1'),
  ];
  let ended = 0;
  fleet.group.onEvent = ({kind}) => {
    if (kind === 'ended') ended++;
  };
  await distribute(BY_NOBODY);
  await until(() => ended >= 2, IDLE_LIMIT_MS / 2);
  // The key is back when the caller goes on.
  await distribute(BY_ANA);
  for (const client of clients) {
    t.regex(String((await client.query('READ a', 'late')).error), /^ABORTED/);
    const next = await client.query('READ a', 'further');
    t.regex(String(next.error), /^MALFORMED/);
    t.is((await client.query('ROLLBACK')).state, 'I');
    client.close();
  }
  t.deepEqual(customersOf(fleet, 'late'), []);
});

// Guards against a transaction on a public route that goes on for the former
// holder, or for nobody after the key was given to a customer.
test('a transaction on a public route ends when the holder of its key changes', async t => {
  const {fleet, distribute} = await startKeyring(true);
  t.teardown(() => fleet.stop());
  for (const keys of [BY_NOBODY, BY_BEA, BY_ANA]) {
    const client = await openTransaction(fleet, 1, 'primary', 'WRITE a 1');
    await distribute(keys);
    t.regex(String((await client.query('COMMIT', 'commit')).error), /^ABORTED/);
    t.is((await client.query('BEGIN')).error, undefined);
    t.is((await client.query('READ a', 'next')).error, undefined);
    client.close();
  }
  t.deepEqual(customersOf(fleet, 'commit'), []);
  t.deepEqual(customersOf(fleet, 'next'), ['anonymous', 'bea', 'ana']);
  t.deepEqual(fleet.group.primary!.log, []);
});

// Guards against statements that wait while the key passes on and are sent for
// its former holder afterwards.
test('a statement that waits for a primary is refused as not run when its key passes on', async t => {
  const {fleet, distribute} = await startKeyring();
  t.teardown(() => fleet.stop());
  const {group, fronts, store} = fleet;
  const clients = await Promise.all(
    fronts.map(front => openSession(front, 'primary', KEY)),
  );
  store.promotions.mode = PromotionMode.lost;
  await group.primary!.crash();
  const answers = clients.map((client, index) =>
    client.query('WRITE a 1', `waiting-${index}`),
  );
  await distribute(BY_BEA);
  for (const {error, state} of await Promise.all(answers)) {
    t.regex(String(error), /^ABORTED/);
    t.is(state, 'I');
  }
  await group.primary!.start();
  store.promotions.mode = PromotionMode.executed;
  for (const [index, client] of clients.entries()) {
    // Refused until the change of primary is over.
    let answer = await client.query('WRITE a 2', `retried-${index}`);
    while (answer.error?.startsWith('BUSY'))
      answer = await client.query('WRITE a 2', `retried-${index}`);
    t.is(answer.error, undefined);
    t.deepEqual(customersOf(fleet, `waiting-${index}`), []);
    t.deepEqual(customersOf(fleet, `retried-${index}`), ['bea']);
    client.close();
  }
});

// Values, prepared names and own commits belong to the session, which its caller
// was told of: a new holder of its key must not lose or change them.
test('a session keeps its values and prepared statements when its key passes on', async t => {
  const {fleet, distribute} = await startKeyring();
  t.teardown(() => fleet.stop());
  const client = await openSession(fleet.fronts[1], 'read_your_writes', KEY);
  await client.query('SET colour red');
  await client.query('PREPARE p READ q1');
  t.is((await client.query('WRITE a 1')).error, undefined);
  await distribute(BY_BEA);
  t.is((await client.query('EXECUTE p a', 'own')).error, undefined);
  const [run] = runsOf(fleet, 'own');
  t.is(run.customer, 'bea');
  t.is(run.values.get('colour'), 'red');
  client.close();
});
