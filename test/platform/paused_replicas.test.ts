/**
 * Replicas that are still paused though no change of primary is under way, so
 * that no commit of their service is acknowledged.
 */
import test, {ExecutionContext} from 'ava';
import {
  Fleet,
  openSession,
  operatorConfig,
  RunningFront,
  startFleet,
  startFront,
  until,
  WireClient,
  ZONES,
} from './fleet_fixture.js';
import {FrontSettings} from '../../src/front/front_settings.js';
import {StandinDatabase, StandinGroup} from './standin_database.js';
import {StandinStore} from './standin_store.js';

const PAUSE_TERM = 5;
/** More than the confirmation of a primary and some repetitions take. */
const RESUME_LIMIT_MS = 10_000;

const replicasOf = ({databases}: StandinGroup): StandinDatabase[] =>
  databases.filter(({isPrimary}) => !isPrimary);

function pauseReplicas(group: StandinGroup): void {
  for (const replica of replicasOf(group)) replica.pause(PAUSE_TERM);
}

/** Starts one front for a service whose replicas are paused already. */
async function startBehindPause(
  t: ExecutionContext,
  prepare: (group: StandinGroup, store: StandinStore) => void = () => undefined,
  settings: Partial<FrontSettings> = {},
): Promise<{group: StandinGroup; store: StandinStore; front: RunningFront}> {
  const group = await StandinGroup.start('orders', ZONES);
  pauseReplicas(group);
  const store = await StandinStore.start([group]);
  store.put('op/config', operatorConfig('orders'));
  prepare(group, store);
  const front = await startFront('front-1', ZONES[0], store, settings);
  t.teardown(async () => {
    await front.front.stop();
    await group.stop();
    await store.stop();
  });
  await until(() => front.front.isReady);
  return {group, store, front};
}

const haveResumed = (group: StandinGroup): boolean =>
  replicasOf(group).every(({isPaused}) => !isPaused);

/** Writes until a write is acknowledged, as clients that try again do. */
async function writeUntilAcknowledged(front: RunningFront): Promise<number> {
  const startedMs = performance.now();
  while (performance.now() - startedMs < RESUME_LIMIT_MS) {
    const session = await openSession(front, 'primary', 'ana-key');
    const {done} = await writeOnce(session);
    session.close();
    if (done !== undefined) return performance.now() - startedMs;
  }
  return Infinity;
}

const writeOnce = (session: WireClient) => session.query('WRITE k v');

/** Waits until the first holder of the lease has checked the replicas. */
async function untilChecked(fleet: Fleet): Promise<void> {
  const isLeaseTaken = ({events}: RunningFront): boolean =>
    events('duty_taken').length > 0;
  await until(() => fleet.fronts.some(isLeaseTaken));
  await new Promise(resolve => setTimeout(resolve, 1_000));
}

// Guards against writes that hang for good: a holder of the lease that ends or
// loses the lease within a change of primary leaves the replicas paused.
test('a new holder of the lease resumes the replicas that its predecessor paused', async t => {
  const {group, front} = await startBehindPause(t);
  await until(() => haveResumed(group), RESUME_LIMIT_MS);
  t.true((await writeUntilAcknowledged(front)) < RESUME_LIMIT_MS);
});

// Guards against the same where the platform does not fence a former primary.
test('a new holder resumes paused replicas on a platform without fencing', async t => {
  const {group, front} = await startBehindPause(t, () => undefined, {
    isFenced: false,
  });
  await until(() => haveResumed(group), RESUME_LIMIT_MS);
  const session = await openSession(front, 'primary', 'ana-key');
  t.truthy((await writeOnce(session)).done);
});

// Guards against commits that a late order would undo: while an order may still
// be executed, replicas stay paused, and no other database is ordered to lead.
test('replicas stay paused until the platform has answered an order', async t => {
  const {group, store} = await startBehindPause(t, (_, created) => {
    created.promotions.mode = 'lost';
  });
  const {received} = store.promotions;
  await until(() => received.length >= 2, RESUME_LIMIT_MS);
  const ordered = [...new Set(received.map(({id}) => id))];
  t.is(ordered.length, 1);
  t.not(ordered[0], group.databases[0].id);
  t.true(received[1].fencingToken > received[0].fencingToken);
  t.true(replicasOf(group).every(({isPaused}) => isPaused));
  store.promotions.mode = 'executed';
  await until(() => haveResumed(group), RESUME_LIMIT_MS);
});

// Guards against a replica that stays paused because it does not answer at the
// one time when it is told to resume.
test('a replica that was silent when it was to resume is told again', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const {group} = fleet;
  t.true((await writeUntilAcknowledged(fleet.fronts[0])) < RESUME_LIMIT_MS);
  await untilChecked(fleet);
  const [, first, silent] = group.databases;
  pauseReplicas(group);
  silent.isUnresponsive = true;
  t.true((await writeUntilAcknowledged(fleet.fronts[0])) < RESUME_LIMIT_MS);
  t.false(first.isPaused);
  t.true(silent.isPaused);
  silent.isUnresponsive = false;
  await until(() => !silent.isPaused, RESUME_LIMIT_MS);
});

// Guards against the same at a new holder of the lease, which must learn the
// logs of all replicas to finish what its predecessor may have begun.
test('a replica that was silent when a new holder began resumes once it answers', async t => {
  const {group} = await startBehindPause(t, created => {
    created.databases[2].isUnresponsive = true;
  });
  // Longer than the first attempt of the new holder.
  await new Promise(resolve => setTimeout(resolve, 4_000));
  group.databases[2].isUnresponsive = false;
  await until(() => haveResumed(group), RESUME_LIMIT_MS);
  t.pass();
});

// Guards against writes that hang because a former holder, frozen meanwhile,
// pauses replicas of which the present holder knows nothing.
test('replicas that are paused within a tenure are found by the commits that hang', async t => {
  const fleet = await startFleet(['norte', 'puerto']);
  t.teardown(() => fleet.stop());
  const {group} = fleet;
  t.true((await writeUntilAcknowledged(fleet.fronts[0])) < RESUME_LIMIT_MS);
  pauseReplicas(group);
  const tookMs = await writeUntilAcknowledged(fleet.fronts[0]);
  t.true(tookMs < RESUME_LIMIT_MS, `${tookMs} ms`);
  t.true(haveResumed(group));
});

// Guards against a replica that stays paused because its entry was missing when
// the others were resumed.
test('a replica that is listed again is checked for a pause', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const {group, store, fronts} = fleet;
  const [, replica] = group.databases;
  store.remove(`servers/${replica.id}`);
  await until(() => fronts[0].events('database_unlisted').length > 0);
  replica.pause(PAUSE_TERM);
  // Longer than fronts keep a database whose entry is missing.
  await new Promise(resolve => setTimeout(resolve, 3_600));
  t.true(replica.isPaused);
  store.registerDatabases();
  await until(() => !replica.isPaused, RESUME_LIMIT_MS);
  t.pass();
});

// Guards against checks without end: a front that had given up a change of
// primary, and held the lease again, told itself so with each round of reports.
test('a change of primary that the holder itself has given up is checked once', async t => {
  const fleet = await startFleet(['norte']);
  t.teardown(() => fleet.stop());
  const {group, fronts} = fleet;
  await untilChecked(fleet);
  const {takeoverRunner} = fronts[0].front as unknown as {
    takeoverRunner: {abandoned: Set<string>};
  };
  const [, replica] = group.databases;
  const before = replica.connectionsOpened;
  takeoverRunner.abandoned.add('orders');
  await new Promise(resolve => setTimeout(resolve, 1_500));
  t.is(replica.connectionsOpened - before, 1);
  t.is(takeoverRunner.abandoned.size, 0);
});
