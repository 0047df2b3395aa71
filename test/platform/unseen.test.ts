/**
 * Changes of primary in which the holder of the coordinator lease does not see a
 * database that had the newest commits, or a front that acknowledges more.
 */
import test, {ExecutionContext} from 'ava';
import {BusyCallers} from './busy_callers.js';
import {
  freePort,
  operatorConfig,
  RunningFront,
  startFront,
  until,
  ZONES,
} from './fleet_fixture.js';
import {StandinDatabase, StandinGroup} from './standin_database.js';
import {StandinLink} from './standin_link.js';
import {StandinStore} from './standin_store.js';

const PROMOTION_MS = 1_000;
/** Link delay of a replica that receives nothing during a test. */
const DEAF_MS = 120_000;
/** Less than the log of a database whose entry has lapsed counts as missing. */
const PRIMARY_DOWN_MS = 4_000;
const LIMIT_MS = 15_000;
/** Longer than a change may wait for a log that does not come. */
const CHANGE_LIMIT_MS = 35_000;
const MIN_WRITES = 30;
/** Less than a database counts that a front may have missed before its list. */
const CHOICE_MS = 9_000;
/** Longer than a front without the store acknowledges commits. */
const COMMIT_VIEW_MS = 3_500;
/** Key of the mark that the store has not been restored lately. */
const ERA_KEY = 'mustardpass/era';
const FRONTS_PREFIX = 'mustardpass/fronts/';
const MEMBERS_KEY = 'mustardpass/members/orders';
/** Time within which requests are served again once all fronts are back. */
const RECOVERY_MS = 12_000;
/** Longer than the holder takes to record a change of the databases. */
const RECORDED_WITHIN_MS = 1_500;
/** After three missing heartbeats. */
const LAPSE_MS = 3_000;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

interface Platform {
  readonly group: StandinGroup;
  readonly store: StandinStore;
}

interface Fleet extends Platform {
  readonly fronts: readonly RunningFront[];
  readonly links: readonly StandinLink[];
  readonly callers: BusyCallers;
}

async function startPlatform(t: ExecutionContext): Promise<Platform> {
  const group = await StandinGroup.start('orders', ZONES);
  group.promotionMs = PROMOTION_MS;
  const store = await StandinStore.start([group]);
  store.put('op/config', operatorConfig('orders'));
  t.teardown(async () => {
    await group.stop();
    await store.stop();
  });
  return {group, store};
}

/** Starts fronts, each with a link to the store, and callers at work on them. */
async function startFronts(
  t: ExecutionContext,
  {group, store}: Platform,
  names: readonly string[],
  isFirstStart = true,
): Promise<Fleet> {
  const fronts: RunningFront[] = [];
  const links: StandinLink[] = [];
  t.teardown(async () => {
    await Promise.all(fronts.map(({front}) => front.stop()));
    for (const link of links) link.cut();
  });
  for (const [index, name] of names.entries()) {
    const link = await StandinLink.start(store.port);
    links.push(link);
    const storeAddress = {host: '127.0.0.1', port: link.port};
    const overrides = {shutdownGraceMs: 600, isFirstStart, storeAddress};
    fronts.push(await startFront(name, ZONES[index], store, overrides));
  }
  await until(() => fronts.every(({front}) => front.isReady));
  const callers = BusyCallers.start(group, fronts);
  t.teardown(() => callers.stop());
  return {group, store, fronts, links, callers};
}

/** Makes replicas deaf, and waits until commits were acknowledged since. */
async function commitWithout(
  deaf: readonly StandinDatabase[],
  {callers}: Fleet,
): Promise<void> {
  for (const replica of deaf) replica.linkDelayMs = DEAF_MS;
  const enough = callers.succeeded.size + MIN_WRITES;
  await until(() => callers.succeeded.size >= enough);
}

/** Has each front refuse the connections of the others. */
async function cutFronts(store: StandinStore): Promise<void> {
  const refusingPort = await freePort();
  store.rewriteOnRead = (key, text) =>
    key.startsWith(FRONTS_PREFIX)
      ? JSON.stringify({...JSON.parse(text), port: refusingPort})
      : text;
}

async function join({group, store}: Platform): Promise<StandinDatabase> {
  const joined = await group.join('norte');
  store.registerDatabases();
  return joined;
}

/** Crashes a database, and removes its entry as after three missing beats. */
async function lapse(
  {store}: Platform,
  database: StandinDatabase,
): Promise<void> {
  database.reachesStore = false;
  await database.crash();
  store.remove(`servers/${database.id}`);
}

/** Crashes a database, and starts it again with its log. */
async function crash(database: StandinDatabase): Promise<void> {
  await database.crash();
  await pause(PRIMARY_DOWN_MS);
  await database.start();
}

/** Lets the replicas receive again, and checks the log that serves then. */
async function assertNothingLost(
  t: ExecutionContext,
  {group, store}: Platform,
  callers: BusyCallers,
): Promise<void> {
  for (const database of group.databases) database.linkDelayMs = 0;
  store.registerDatabases();
  const sinceMs = performance.now();
  await until(() => callers.lastSuccessSentMs > sinceMs, LIMIT_MS);
  const {lost, succeeded} = callers;
  t.is(lost.length, 0, `${lost.length} of ${succeeded.size} lost`);
}

// Guards against a count of logs that leaves out a replica which the holder has
// seen lapse, and which alone had the newest commits.
test.serial(
  'a replica that lapsed just before the primary crashed costs no acknowledged commit',
  async t => {
    const platform = await startPlatform(t);
    const fleet = await startFronts(t, platform, ['front-1', 'front-2']);
    const [primary, newest, other] = platform.group.databases;
    await until(() => fleet.callers.succeeded.size >= MIN_WRITES);
    const joined = await join(platform);
    await commitWithout([other, joined], fleet);
    await lapse(platform, newest);
    await crash(primary);
    await assertNothingLost(t, platform, fleet.callers);
  },
);

// Guards against the same where the holder has started after the entry had
// lapsed, so that it has never seen it.
test.serial(
  'a replica that lapsed before the fronts started costs no acknowledged commit',
  async t => {
    const platform = await startPlatform(t);
    const fleet = await startFronts(t, platform, ['front-1', 'front-2']);
    const [primary, newest, other] = platform.group.databases;
    // From then on a front that starts may take the lease at once.
    await until(() => platform.store.get(ERA_KEY) !== undefined);
    const joined = await join(platform);
    await commitWithout([other, joined], fleet);
    await lapse(platform, newest);
    const names = ['front-3', 'front-4'];
    const {callers} = await startFronts(t, platform, names, false);
    await Promise.all(fleet.fronts.map(({front}) => front.stop()));
    await crash(primary);
    await fleet.callers.stop();
    for (const data of fleet.callers.succeeded) callers.succeeded.add(data);
    await assertNothingLost(t, platform, callers);
  },
);

// Guards against an empty log that is counted: the entry in the store is still
// the one of the start before.
test.serial(
  'a replica that has restarted empty behind its old entry costs no acknowledged commit',
  async t => {
    const platform = await startPlatform(t);
    const fleet = await startFronts(t, platform, ['front-1', 'front-2']);
    const [primary, newest, other] = platform.group.databases;
    await until(() => fleet.callers.succeeded.size >= MIN_WRITES);
    await commitWithout([other], fleet);
    newest.reachesStore = false;
    newest.linkDelayMs = DEAF_MS;
    await newest.crash();
    newest.log.splice(0);
    await newest.start();
    await crash(primary);
    await assertNothingLost(t, platform, fleet.callers);
  },
);

// Guards against a front that is taken for ended as connections to it are
// refused: it is cut off from the other front and from the store, and serves on.
test.serial(
  'a front that refuses connections and serves on costs no acknowledged commit',
  async t => {
    const platform = await startPlatform(t);
    const {group, store} = platform;
    await cutFronts(store);
    const fleet = await startFronts(t, platform, ['front-1', 'front-2']);
    const {fronts, links, callers} = fleet;
    await until(() => callers.succeeded.size >= MIN_WRITES);
    const isHolder = ({front}: RunningFront): boolean =>
      (front.dump() as {duty: {held: boolean}}).duty.held;
    await until(() => fronts.some(isHolder));
    links[fronts.findIndex(running => !isHolder(running))].cut();
    group.databases[0].isDraining = true;
    store.registerDatabases();
    await until(() => store.promotions.received.length > 0, LIMIT_MS);
    await join(platform);
    await until(() => group.promotedAtMs < Infinity, LIMIT_MS);
    await assertNothingLost(t, platform, callers);
  },
);

// Guards against a wait for the newest commits that begins anew with each attempt,
// as each one first waits for a front that does not answer.
test.serial(
  'a change ends though the newest log is gone and a front does not answer',
  async t => {
    const platform = await startPlatform(t);
    const {group, store} = platform;
    await cutFronts(store);
    const fleet = await startFronts(t, platform, ['front-1', 'front-2']);
    const [primary, newest, other] = group.databases;
    await until(() => fleet.callers.succeeded.size >= MIN_WRITES);
    await commitWithout([other, await join(platform)], fleet);
    await lapse(platform, newest);
    primary.isUnresponsive = true;
    await until(() => group.promotedAtMs < Infinity, CHANGE_LIMIT_MS);
    t.not(group.primary, primary);
  },
);

// Guards against a count of logs that leaves out a replica which has joined and
// lapsed while the holder was cut off from the store, whose history is gone.
test.serial(
  'a replica that came and lapsed before the holder listed the store anew costs no acknowledged commit',
  async t => {
    const platform = await startPlatform(t);
    const {group, store} = platform;
    await cutFronts(store);
    const fleet = await startFronts(t, platform, ['front-1', 'front-2']);
    const {fronts, links, callers} = fleet;
    const [primary, ...others] = group.databases;
    await until(() => callers.succeeded.size >= MIN_WRITES);
    const isHolder = ({front}: RunningFront): boolean =>
      (front.dump() as {duty: {held: boolean}}).duty.held;
    await until(() => fronts.some(isHolder));
    const holder = fronts.findIndex(isHolder);
    const link = links[1 - holder];
    link.cut();
    await pause(COMMIT_VIEW_MS);
    const newest = await join(platform);
    await commitWithout(others, fleet);
    await lapse(platform, newest);
    await primary.crash();
    await fronts[holder].front.stop();
    store.compact();
    await link.restore();
    const untilMs = performance.now() + CHOICE_MS;
    const isOrdered = (): boolean => store.promotions.received.length > 0;
    await until(() => isOrdered() || performance.now() > untilMs, LIMIT_MS);
    await primary.start();
    await assertNothingLost(t, platform, callers);
  },
);

// Guards against a service that takes no writes while its primary leads on,
// though nobody lists it: no record has named it yet.
test.serial(
  'a primary that lapsed from the store and leads on is replaced',
  async t => {
    const platform = await startPlatform(t);
    const {group, store} = platform;
    const {callers} = await startFronts(t, platform, ['front-1', 'front-2']);
    const [primary] = group.databases;
    await until(() => callers.succeeded.size >= MIN_WRITES);
    primary.reachesStore = false;
    store.remove(`servers/${primary.id}`);
    await until(() => group.promotedAtMs < Infinity, LIMIT_MS);
    await assertNothingLost(t, platform, callers);
  },
);

/** Waits until the store names these databases as members of the service. */
function awaitRecord(
  {store}: Platform,
  databases: readonly StandinDatabase[],
): Promise<void> {
  return until(() => {
    const {value} = store.get(MEMBERS_KEY) ?? {value: ''};
    const text = Buffer.from(value, 'base64').toString();
    return databases.every(({id}) => text.includes(id));
  });
}

/** Ends all fronts, and starts others that have seen nothing of before. */
async function replaceFronts(
  t: ExecutionContext,
  fleet: Fleet,
  whileAway: () => Promise<void>,
): Promise<Fleet> {
  await fleet.callers.stop();
  await Promise.all(fleet.fronts.map(({front}) => front.stop()));
  await whileAway();
  const next = await startFronts(t, fleet, ['front-1', 'front-2'], false);
  for (const data of fleet.callers.succeeded) next.callers.succeeded.add(data);
  return next;
}

for (const isListed of [true, false]) {
  // Guards against fronts that wait for a database which nobody can have missed:
  // a primary that was lost with all of them stopped its service for 16 s.
  test.serial(
    `a primary that is lost with all fronts is replaced in time, ${isListed ? 'still listed' : 'listed no more'}`,
    async t => {
      const platform = await startPlatform(t);
      const {group, store} = platform;
      const fleet = await startFronts(t, platform, ['front-1', 'front-2']);
      const [primary] = group.databases;
      await awaitRecord(platform, group.databases);
      await until(() => store.get(ERA_KEY) !== undefined);
      await until(() => fleet.callers.succeeded.size >= MIN_WRITES);
      primary.reachesStore = false;
      await primary.crash();
      const unlist = (): void => store.remove(`servers/${primary.id}`);
      let backAtMs = 0;
      const {callers} = await replaceFronts(t, fleet, async () => {
        if (isListed) setTimeout(unlist, LAPSE_MS);
        else unlist();
        backAtMs = performance.now();
      });
      await until(() => callers.lastSuccessSentMs > backAtMs, RECOVERY_MS);
      t.true(performance.now() - backAtMs < RECOVERY_MS);
      t.deepEqual(callers.lost, []);
    },
  );
}

// Guards against fronts that count only the databases which are listed when they
// start: one that has left alone had the newest commits.
test.serial(
  'a replica that left before all fronts were replaced costs no acknowledged commit',
  async t => {
    const platform = await startPlatform(t);
    const {group, store} = platform;
    const fleet = await startFronts(t, platform, ['front-1', 'front-2']);
    const [primary, ...others] = group.databases;
    await until(() => store.get(ERA_KEY) !== undefined);
    const newest = await join(platform);
    await awaitRecord(platform, [newest]);
    await commitWithout(others, fleet);
    newest.isDraining = true;
    store.registerDatabases();
    await pause(RECORDED_WITHIN_MS);
    const {callers} = await replaceFronts(t, fleet, async () => {
      await group.remove(newest);
      store.remove(`servers/${newest.id}`);
      primary.reachesStore = false;
      await primary.crash();
    });
    const untilMs = performance.now() + CHOICE_MS;
    const isOrdered = (): boolean => store.promotions.received.length > 0;
    await until(() => isOrdered() || performance.now() > untilMs, LIMIT_MS);
    primary.reachesStore = true;
    await primary.start();
    await assertNothingLost(t, platform, callers);
  },
);
