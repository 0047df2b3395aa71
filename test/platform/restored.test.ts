/** Fronts whose store comes back from an older copy of itself. */
import test from 'ava';
import {
  Fleet,
  operatorConfig,
  RunningFront,
  startFleet,
  startFront,
  until,
} from './fleet_fixture.js';
import {StandinStore, StoreFaultMode} from './standin_store.js';

/** Bound within which a confirmed configuration is in force. */
const CONFIG_BOUND_MS = 3_000;
const COPY_AGE_MS = 1_000;
const OUTAGE_MS = 500;

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

const versionOf = ({events}: RunningFront): unknown =>
  events('config_applied').at(-1)?.version;

const isInEra =
  (era: number) =>
  ({events}: RunningFront): boolean =>
    events('store_era').at(-1)?.era === era;

/** Raises the store's revision without any meaning for fronts. */
function writeUnrelated(store: StandinStore, count: number): void {
  for (let n = 0; n < count; n++) store.put('unrelated', `${n} ${Date.now()}`);
}

/** An outage, after which the store is as it was `ageMs` before. */
async function restoreAfterOutage(
  store: StandinStore,
  ageMs = COPY_AGE_MS,
): Promise<void> {
  store.faultMode = StoreFaultMode.busy;
  await sleep(OUTAGE_MS);
  store.restore(ageMs + OUTAGE_MS);
  store.faultMode = StoreFaultMode.none;
}

const knownFronts = ({front}: RunningFront): readonly string[] =>
  (front.dump() as {fronts: string[]}).fronts;

/**
 * Raises the store's revision, then changes the configuration; resolves when it
 * is in force.
 */
async function changeToVersion2({store, fronts}: Fleet): Promise<void> {
  writeUnrelated(store, 10);
  store.put('op/config', operatorConfig('orders', {version: 2}));
  await until(() => fronts.every(front => versionOf(front) === 2));
}

async function startSettledFleet(zones: readonly string[]): Promise<Fleet> {
  const fleet = await startFleet(zones);
  await sleep(COPY_AGE_MS + OUTAGE_MS);
  return fleet;
}

// Guards against continuing at a revision of the lost history, which passes
// over the changes that are given the same revisions again.
test('a configuration written soon after a restore is in force at all fronts', async t => {
  const fleet = await startSettledFleet(['norte', 'norte', 'puerto']);
  t.teardown(() => fleet.stop());
  const {store, fronts} = fleet;
  await changeToVersion2(fleet);
  await restoreAfterOutage(store);
  await until(() => fronts.every(isInEra(2)));
  store.put('op/config', operatorConfig('orders', {version: 9}));
  writeUnrelated(store, 20);
  await until(
    () => fronts.every(front => versionOf(front) === 9),
    CONFIG_BOUND_MS,
  );
  t.pass();
});

// Guards against a watch that succeeds although the store was restored, since
// its counter has passed the known revision before the first call.
test('a restored store that has caught up by number is listed again', async t => {
  const fleet = await startSettledFleet(['norte', 'norte', 'puerto']);
  t.teardown(() => fleet.stop());
  const {store, fronts} = fleet;
  await changeToVersion2(fleet);
  store.faultMode = StoreFaultMode.busy;
  await sleep(OUTAGE_MS);
  store.restore(COPY_AGE_MS + OUTAGE_MS);
  store.put('op/config', operatorConfig('orders', {version: 9}));
  writeUnrelated(store, 20);
  store.faultMode = StoreFaultMode.none;
  await until(
    () => fronts.every(front => versionOf(front) === 9),
    CONFIG_BOUND_MS,
  );
  t.pass();
});

// Guards against two fronts that accrue the same share of a rate, and against
// fronts that leave rotation, because their entries are lost.
test('fronts whose entries the copy lacks stay known and ready', async t => {
  const fleet = await startSettledFleet(['norte', 'puerto']);
  const {store} = fleet;
  const copyMs = performance.now();
  const joined = await startFront('front-3', 'parque', store);
  t.teardown(async () => {
    await joined.front.stop();
    await fleet.stop();
  });
  const fronts = [...fleet.fronts, joined];
  await until(() => fronts.every(front => knownFronts(front).length === 3));
  await restoreAfterOutage(store, performance.now() - copyMs);
  t.is(store.get('mustardpass/fronts/front-3'), undefined);
  const untilMs = performance.now() + CONFIG_BOUND_MS;
  while (performance.now() < untilMs) {
    t.deepEqual(
      fronts.map(knownFronts).filter(known => known.length < 3),
      [],
    );
    t.deepEqual(
      fronts.filter(({front}) => !front.isReady).map(({front}) => front.dump()),
      [],
    );
    await sleep(50);
  }
  t.truthy(store.get('mustardpass/fronts/front-3'));
});

// Guards against a second secret, with which fronts refuse each other.
test('a secret that the copy lacks is written again', async t => {
  const fleet = await startSettledFleet(['norte', 'puerto']);
  t.teardown(() => fleet.stop());
  const {store} = fleet;
  const secret = (): string | undefined =>
    store.get('mustardpass/secret')?.value;
  const before = secret();
  await restoreAfterOutage(store, performance.now());
  t.is(secret(), undefined);
  await until(() => secret() !== undefined, CONFIG_BOUND_MS);
  t.is(secret(), before);
});
