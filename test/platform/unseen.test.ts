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
import {StandinGroup} from './standin_database.js';
import {StandinLink} from './standin_link.js';
import {StandinStore} from './standin_store.js';

const PROMOTION_MS = 1_000;
const LIMIT_MS = 15_000;
const MIN_WRITES = 30;
const FRONTS_PREFIX = 'mustardpass/fronts/';

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
    const overrides = {shutdownGraceMs: 600, storeAddress};
    fronts.push(await startFront(name, ZONES[index], store, overrides));
  }
  await until(() => fronts.every(({front}) => front.isReady));
  const callers = BusyCallers.start(group, fronts);
  t.teardown(() => callers.stop());
  return {group, store, fronts, links, callers};
}

async function join({group, store}: Platform): Promise<void> {
  await group.join('norte');
  store.registerDatabases();
}

/** Waits until writes succeed, and checks the log that serves then. */
async function assertNothingLost(
  t: ExecutionContext,
  callers: BusyCallers,
): Promise<void> {
  const sinceMs = performance.now();
  await until(() => callers.lastSuccessSentMs > sinceMs, LIMIT_MS);
  const {lost, succeeded} = callers;
  t.is(lost.length, 0, `${lost.length} of ${succeeded.size} lost`);
}

// Guards against a front that is taken for ended as connections to it are
// refused: it is cut off from the other front and from the store, and serves on.
test.serial(
  'a front that refuses connections and serves on costs no acknowledged commit',
  async t => {
    const platform = await startPlatform(t);
    const {group, store} = platform;
    const refusingPort = await freePort();
    // Neither front reaches the other one.
    store.rewriteOnRead = (key, text) =>
      key.startsWith(FRONTS_PREFIX)
        ? JSON.stringify({...JSON.parse(text), port: refusingPort})
        : text;
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
    await assertNothingLost(t, callers);
  },
);
