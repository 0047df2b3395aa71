/**
 * Changes of primary while one replica alone has the newest commits, as the
 * primary could not send them to the others: each write for which a caller got
 * a success must be in the log of the promoted database.
 */
import test, {ExecutionContext} from 'ava';
import {
  assertNothingLost,
  BusyFleet,
  MIN_WRITES,
  pause,
  startBusyFleet,
  untilChanged,
} from './busy_fleet.js';
import {until} from './fleet_fixture.js';
import {StandinDatabase} from './standin_database.js';
import {StandinReplication} from './standin_replication.js';

const REPLICATION_MS = 10;
/** Time that a database needs for the log that it lacks. */
const CATCH_UP_MS = 300;
/** Time between the announcement of a database that it leaves and its end. */
const DRAIN_MS = 6_000;
/** Time from the end of a database to its replacement. */
const REPLACED_MS = 4_000;
/** Longer than fronts keep a database whose entry is missing. */
const LAPSE_MS = 3_600;
/** Longer than a change may wait for a log that does not come. */
const CHANGE_LIMIT_MS = 25_000;

/** A fleet of which one replica, `newest`, alone receives commits. */
interface SplitFleet extends BusyFleet {
  readonly primary: StandinDatabase;
  readonly newest: StandinDatabase;
}

/**
 * Cuts the primary off from all replicas but `newest`, and waits until commits
 * that only these two have are acknowledged.
 */
async function split(
  fleet: BusyFleet,
  replication: StandinReplication,
  newest: StandinDatabase,
): Promise<SplitFleet> {
  const {group, callers} = fleet;
  const [primary] = group.databases;
  for (const replica of group.databases) {
    if (replica !== primary && replica !== newest)
      replication.cut(primary, replica);
  }
  const written = callers.succeeded.size;
  await until(() => callers.succeeded.size >= written + MIN_WRITES);
  return {...fleet, primary, newest};
}

async function startReplicatingFleet(
  t: ExecutionContext,
): Promise<{fleet: BusyFleet; replication: StandinReplication}> {
  let replication: StandinReplication | undefined;
  const fleet = await startBusyFleet(t, async group => {
    replication = StandinReplication.start(group, () => REPLICATION_MS);
  });
  return {fleet, replication: replication as StandinReplication};
}

/** As `startReplicatingFleet`, with one more replica; the second is `newest`. */
async function startSplitFleet(t: ExecutionContext): Promise<SplitFleet> {
  const {fleet, replication} = await startReplicatingFleet(t);
  const {group, store} = fleet;
  await group.join('norte');
  store.registerDatabases();
  await pause(CATCH_UP_MS);
  return split(fleet, replication, group.databases[1]);
}

/** Ends a database for good, with its entry. */
async function end(
  {group, store}: BusyFleet,
  database: StandinDatabase,
): Promise<void> {
  database.reachesStore = false;
  await group.remove(database);
  store.remove(`servers/${database.id}`);
}

function drain({store}: BusyFleet, database: StandinDatabase): void {
  database.isDraining = true;
  store.registerDatabases();
}

/** Another database leads, though a further promotion may be under way. */
const untilPrimaryChanged = ({group, primary}: SplitFleet): Promise<void> =>
  until(
    () => group.primary !== undefined && group.primary !== primary,
    CHANGE_LIMIT_MS,
  );

// Guards against a choice that counts logs and does not compare their ends.
test('the only replica with the newest commits stays while the primary is gone: no acknowledged commit is lost', async t => {
  const fleet = await startSplitFleet(t);
  await end(fleet, fleet.primary);
  await untilChanged(fleet, CHANGE_LIMIT_MS);
  t.is(fleet.group.primary, fleet.newest);
  assertNothingLost(t, fleet);
});

// Guards against a promotion without acknowledged commits after the only replica
// that had them was not chosen, as it was leaving, and has left.
test('the only replica with the newest commits leaves while the primary is gone: no acknowledged commit is lost', async t => {
  const fleet = await startSplitFleet(t);
  const {primary, newest} = fleet;
  drain(fleet, newest);
  const left = pause(DRAIN_MS).then(() => end(fleet, newest));
  await end(fleet, primary);
  await untilChanged(fleet, CHANGE_LIMIT_MS);
  await left;
  await untilPrimaryChanged(fleet);
  assertNothingLost(t, fleet);
});

// Guards against the same where the former primary is listed, but silent.
test('the only replica with the newest commits leaves while the primary does not answer: no acknowledged commit is lost', async t => {
  const fleet = await startSplitFleet(t);
  const {primary, newest} = fleet;
  drain(fleet, newest);
  const left = pause(DRAIN_MS).then(() => end(fleet, newest));
  primary.isUnresponsive = true;
  await untilChanged(fleet, CHANGE_LIMIT_MS);
  await left;
  await untilPrimaryChanged(fleet);
  assertNothingLost(t, fleet);
});

// Guards against a promotion before the log of a database that has left is back
// at the database that replaces it, as other logs make up the number.
test('the only replica with the newest commits has ended and its log returns with a replacement: no acknowledged commit is lost', async t => {
  const fleet = await startSplitFleet(t);
  const {group, store, primary, newest} = fleet;
  drain(fleet, newest);
  await pause(1_000);
  await Promise.all([end(fleet, newest), end(fleet, primary)]);
  await pause(REPLACED_MS);
  await group.join(newest.zone, newest);
  store.registerDatabases();
  await untilChanged(fleet, CHANGE_LIMIT_MS);
  await untilPrimaryChanged(fleet);
  assertNothingLost(t, fleet);
});

// Guards against a promotion without the commits that only a database has which
// receives but could not register itself yet.
test('the only replica with the newest commits joined unlisted and is listed seconds later: no acknowledged commit is lost', async t => {
  const {fleet, replication} = await startReplicatingFleet(t);
  const {group, store} = fleet;
  const joined = await group.join('norte');
  joined.reachesStore = false;
  await pause(CATCH_UP_MS);
  const splitFleet = await split(fleet, replication, joined);
  await end(fleet, splitFleet.primary);
  await pause(REPLACED_MS);
  joined.reachesStore = true;
  store.registerDatabases();
  await untilChanged(fleet, CHANGE_LIMIT_MS);
  await untilPrimaryChanged(splitFleet);
  assertNothingLost(t, fleet);
});

// Guards against a service without a primary until the only replica with the
// newest commits is listed again, though it can be reached.
test('the only replica with the newest commits is reachable but not listed: no acknowledged commit is lost', async t => {
  const fleet = await startSplitFleet(t);
  const {store, callers, primary, newest} = fleet;
  newest.reachesStore = false;
  store.remove(`servers/${newest.id}`);
  await pause(LAPSE_MS);
  const written = callers.succeeded.size;
  await until(() => callers.succeeded.size >= written + MIN_WRITES);
  await end(fleet, primary);
  await untilChanged(fleet, CHANGE_LIMIT_MS);
  t.not(fleet.group.primary, newest);
  await untilPrimaryChanged(fleet);
  assertNothingLost(t, fleet);
});
