/**
 * Changes of primary that are disturbed between the order to promote a database
 * and its effect: each write for which a caller got a success must be in the
 * log of the promoted database.
 */
import test, {ExecutionContext} from 'ava';
import {BusyCallers} from './busy_callers.js';
import {
  assertNothingLost,
  BusyFleet,
  CHANGE_LIMIT_MS,
  MIN_WRITES,
  pause,
  PROMOTION_MS,
  startBusyFleet,
  untilChanged,
  untilServed,
} from './busy_fleet.js';
import {openSession, RunningFront, startFront, until} from './fleet_fixture.js';
import {StandinDatabase} from './standin_database.js';
import {ReceivedPromotion} from './standin_promotions.js';

/** More than a platform that is late takes until an order has its effect. */
const LATE_EFFECT_MS = 4_500;
/** As much, and more than new fronts take until they acknowledge commits. */
const FORGOTTEN_ORDER_MS = 10_000;
/** Longer than fronts keep a database whose entry is missing. */
const LAPSE_MS = 3_600;
/** A draining primary gets no statement later than this. */
const DRAIN_LIMIT_MS = 5_000;

const drain = ({group, store}: BusyFleet): void => {
  group.databases[0].isDraining = true;
  store.registerDatabases();
};

/** Waits for the first order to promote a replica, and returns it. */
async function untilOrdered({
  store,
  group,
}: BusyFleet): Promise<ReceivedPromotion> {
  const find = (): ReceivedPromotion | undefined =>
    store.promotions.received.find(({id}) => id !== group.databases[0].id);
  await until(() => find() !== undefined, CHANGE_LIMIT_MS);
  return find() as ReceivedPromotion;
}

async function join({group, store}: BusyFleet): Promise<void> {
  await group.join('norte');
  store.registerDatabases();
}

/** Restarts the replicas other than the one that was ordered to lead. */
async function restartReplicas(
  {group, store}: BusyFleet,
  ordered: ReceivedPromotion,
): Promise<void> {
  const isRestarted = ({isPrimary, id}: StandinDatabase): boolean =>
    !isPrimary && id !== ordered.id;
  for (const replica of group.databases.filter(isRestarted)) {
    await replica.crash();
    await replica.start();
  }
  store.registerDatabases();
}

/** Ends a front whose lease and registration go on until they expire. */
function endWithoutRelease(
  t: ExecutionContext,
  {fronts, links}: BusyFleet,
  name: string,
): void {
  const index = fronts.findIndex(({settings}) => settings.vm === name);
  links[index].cut();
  const ended = fronts[index].front.stop();
  t.teardown(() => ended);
}

/** Starts the fronts again after `endWithoutRelease`, with no memory. */
async function startAgain(
  t: ExecutionContext,
  {fronts, store}: BusyFleet,
): Promise<readonly RunningFront[]> {
  const restarted: RunningFront[] = [];
  t.teardown(() => Promise.all(restarted.map(({front}) => front.stop())));
  for (const {settings} of fronts) {
    const {vm, place} = settings;
    const overrides = {isFirstStart: false};
    restarted.push(await startFront(vm, place.zone, store, overrides));
  }
  await until(() => restarted.every(({front}) => front.isReady));
  return restarted;
}

// Guards against losses by a change of primary as such.
test('a planned change that nothing disturbs loses no acknowledged commit', async t => {
  const fleet = await startBusyFleet(t);
  drain(fleet);
  await untilChanged(fleet);
  assertNothingLost(t, fleet);
});

// Guards against commits that the former primary acknowledges once a replica
// that was not counted holds them.
test('a replica that joins during a planned change costs no acknowledged commit', async t => {
  const fleet = await startBusyFleet(t);
  drain(fleet);
  await untilOrdered(fleet);
  await join(fleet);
  await untilChanged(fleet);
  assertNothingLost(t, fleet);
});

// Guards against commits that the former primary acknowledges once a restart
// has ended the pause of a replica.
test('replicas that restart during a planned change cost no acknowledged commit', async t => {
  const fleet = await startBusyFleet(t);
  drain(fleet);
  await restartReplicas(fleet, await untilOrdered(fleet));
  await untilChanged(fleet);
  assertNothingLost(t, fleet);
});

// Guards against a count of logs that leaves out a database that receives: its
// entry has lapsed, and it alone holds the newest commits.
test('a live replica without an entry costs no acknowledged commit', async t => {
  const fleet = await startBusyFleet(t, async group => {
    await group.join('norte');
    for (const slower of group.databases.slice(1, 3)) slower.linkDelayMs = 60;
  });
  const {group, store} = fleet;
  const unlisted = group.databases[3];
  unlisted.reachesStore = false;
  store.remove(`servers/${unlisted.id}`);
  await pause(LAPSE_MS);
  drain(fleet);
  // A change may also wait until the entry is back.
  const timer = setTimeout(() => {
    unlisted.reachesStore = true;
    store.registerDatabases();
  }, DRAIN_LIMIT_MS);
  t.teardown(() => clearTimeout(timer));
  await untilChanged(fleet);
  assertNothingLost(t, fleet);
});

// Guards against commits that a primary acknowledges after it was found lost,
// as it is back before its successor leads.
test('a primary that is back before the promotion and a replica that joins cost no acknowledged commit', async t => {
  const fleet = await startBusyFleet(t);
  const {group} = fleet;
  const [primary] = group.databases;
  // Leaves the fronts time to use the primary again.
  group.promotionMs = 2_500;
  primary.isUnresponsive = true;
  await untilOrdered(fleet);
  primary.isUnresponsive = false;
  await join(fleet);
  await untilChanged(fleet);
  assertNothingLost(t, fleet);
});

// Guards against the same while the order is carried out seconds later and has
// no answer.
test('an order that is carried out late costs no acknowledged commit', async t => {
  const fleet = await startBusyFleet(t);
  const {group, store, callers} = fleet;
  const [primary] = group.databases;
  store.promotions.mode = 'late';
  primary.isUnresponsive = true;
  const ordered = await untilOrdered(fleet);
  primary.isUnresponsive = false;
  await restartReplicas(fleet, ordered);
  await pause(LATE_EFFECT_MS);
  store.promotions.mode = 'executed';
  await untilServed(callers, performance.now());
  assertNothingLost(t, fleet);
});

// Guards against an order of a former holder that is carried out though the next
// holder of the coordinator lease knows nothing of it.
test('a late order of a holder that has ended costs no acknowledged commit', async t => {
  const fleet = await startBusyFleet(t);
  const {group, store, callers} = fleet;
  const [primary] = group.databases;
  store.promotions.mode = 'late';
  // Executed before the lease of the former holder has ended.
  store.promotions.lateMs = 1_500;
  primary.isUnresponsive = true;
  const ordered = await untilOrdered(fleet);
  endWithoutRelease(t, fleet, ordered.holder);
  store.promotions.mode = 'executed';
  primary.isUnresponsive = false;
  await restartReplicas(fleet, ordered);
  await pause(LATE_EFFECT_MS);
  await untilServed(callers, performance.now());
  assertNothingLost(t, fleet);
});

// Guards against commits that are permitted by what the databases answer, while
// an order of which no front knows any more may still be carried out.
test('a late order that all fronts have forgotten costs no acknowledged commit', async t => {
  const fleet = await startBusyFleet(t);
  const {group, store} = fleet;
  const [primary] = group.databases;
  const copyMs = performance.now();
  store.promotions.mode = 'late';
  store.promotions.lateMs = FORGOTTEN_ORDER_MS;
  primary.isUnresponsive = true;
  const ordered = await untilOrdered(fleet);
  const lateMs = performance.now() + FORGOTTEN_ORDER_MS + PROMOTION_MS;
  primary.isUnresponsive = false;
  store.promotions.mode = 'executed';
  for (const {settings} of fleet.fronts)
    endWithoutRelease(t, fleet, settings.vm);
  store.restore(performance.now() - copyMs);
  const chosen = group.databases.find(({id}) => id === ordered.id);
  if (chosen) chosen.linkDelayMs = 2 * FORGOTTEN_ORDER_MS;
  const restarted = await startAgain(t, fleet);
  const callers = BusyCallers.start(group, restarted);
  t.teardown(() => callers.stop());
  await until(() => callers.succeeded.size >= MIN_WRITES, CHANGE_LIMIT_MS);
  t.true(performance.now() < lateMs);
  await until(() => performance.now() > lateMs + 500, CHANGE_LIMIT_MS);
  await untilServed(callers, performance.now());
  assertNothingLost(t, {callers});
});

// Guards against a draining primary that is used without a limit in time while
// a change of primary waits for the log of a replica.
test('a draining primary gets no statement after 5 s while a replica cannot be reached', async t => {
  const fleet = await startBusyFleet(t);
  const [primary, , unreachable] = fleet.group.databases;
  unreachable.isUnresponsive = true;
  drain(fleet);
  const limitMs = performance.now() + DRAIN_LIMIT_MS;
  await pause(DRAIN_LIMIT_MS + 2_000);
  const late = primary.receivedAtMs.filter(atMs => atMs > limitMs);
  t.is(late.length, 0, `${late.length} statements`);
  t.true(primary.receivedAtMs.length > 0);
  assertNothingLost(t, fleet);
});

// Guards against the same where no successor can be chosen at all: what cannot
// run is refused at once.
test('a draining primary without a successor gets no statement after 5 s', async t => {
  const fleet = await startBusyFleet(t);
  const [primary, ...replicas] = fleet.group.databases;
  for (const replica of replicas) replica.isUnresponsive = true;
  drain(fleet);
  const limitMs = performance.now() + DRAIN_LIMIT_MS;
  await pause(DRAIN_LIMIT_MS + 200);
  const session = await openSession(fleet.fronts[0], 'primary', 'ana-key');
  const startedAtMs = performance.now();
  const {error} = await session.query('WRITE refused data');
  const tookMs = performance.now() - startedAtMs;
  t.regex(String(error), /^BUSY/);
  t.true(tookMs < 100, `${tookMs}`);
  await pause(1_000);
  t.is(primary.receivedAtMs.filter(atMs => atMs > limitMs).length, 0);
});
