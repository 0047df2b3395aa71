/** Fronts of one region follow the store through one of them. */
import test from 'ava';
import {
  openSession,
  operatorConfig,
  RunningFront,
  startFleet,
  until,
  WireClient,
} from './fleet_fixture.js';
import {StoreFaultMode} from './standin_store.js';

const QUIET_MS = 4_000;

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/**
 * Returns the VM of the front that relays the store's changes to `front`, or
 * `store` if it watches the store itself.
 */
const sourceOf = (front: RunningFront): unknown =>
  front.events('changes_from').at(-1)?.source ?? 'store';

const relayAmong = (fronts: readonly RunningFront[]) =>
  fronts.find(front => sourceOf(front) === 'store');

const isSettled = (fronts: readonly RunningFront[]): boolean =>
  fronts.filter(front => sourceOf(front) === 'store').length === 1;

test('one of three fronts watches the store, and all apply a change', async t => {
  const fleet = await startFleet(['norte', 'norte', 'norte']);
  t.teardown(() => fleet.stop());
  await until(() => isSettled(fleet.fronts));
  const before = fleet.store.watchCount;
  await sleep(QUIET_MS);
  const watches = fleet.store.watchCount - before;
  t.true(watches <= 5, `${watches} watches in ${QUIET_MS} ms`);
  t.true(fleet.fronts.every(({front}) => front.isReady));
  const config = operatorConfig('orders', {version: 7});
  fleet.store.put('op/config', config);
  const applied = (front: RunningFront): boolean =>
    front.events('config_applied').at(-1)?.version === 7;
  await until(() => fleet.fronts.every(applied), 1_000);
});

test('when the relay stops, the others stay ready and follow a new one', async t => {
  const fleet = await startFleet(['norte', 'norte', 'norte']);
  t.teardown(() => fleet.stop());
  await until(() => isSettled(fleet.fronts));
  const relay = relayAmong(fleet.fronts)!;
  const others = fleet.fronts.filter(front => front !== relay);
  await relay.front.stop();
  const untilMs = performance.now() + QUIET_MS;
  while (performance.now() < untilMs) {
    t.true(others.every(({front}) => front.isReady));
    await sleep(100);
  }
  t.true(isSettled(others));
});

test('when the store stops responding, fronts that follow a relay also stop being ready', async t => {
  const fleet = await startFleet(['norte', 'norte']);
  t.teardown(() => fleet.stop());
  await until(() => isSettled(fleet.fronts));
  fleet.store.faultMode = StoreFaultMode.silent;
  const silentMs = performance.now();
  await until(() => fleet.fronts.every(({front}) => !front.isReady), 6_000);
  t.true(performance.now() - silentMs <= 5_000);
  fleet.store.faultMode = StoreFaultMode.none;
  await until(() => fleet.fronts.every(({front}) => front.isReady));
  const session = await openSession(fleet.fronts[1], 'primary', 'ana-key');
  t.truthy((await session.query('WRITE k v')).done);
});

test('a configuration too large to relay is read from the store', async t => {
  const fleet = await startFleet(['norte', 'norte']);
  t.teardown(() => fleet.stop());
  await until(() => isSettled(fleet.fronts));
  const small = operatorConfig('orders', {version: 2});
  const [first] = small.routes;
  const many = Array.from({length: 300}, (_, n) => ({
    ...first,
    name: `r${n}`,
    host: `h${n}`,
  }));
  fleet.store.put('op/config', {...small, routes: [...small.routes, ...many]});
  const applied = (front: RunningFront): boolean =>
    front.events('config_applied').at(-1)?.version === 2;
  await until(() => fleet.fronts.every(applied), 1_500);
  for (const {settings} of fleet.fronts) {
    const {port} = settings.callerAddress;
    const {answer} = await WireClient.start(port, 'h299', 'ana-key');
    t.is(answer.state, 'I');
  }
});
