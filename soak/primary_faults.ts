/** Applies the faults of `primary_fault_kinds.ts` to the databases of a service. */
import {StandinDatabase} from '../test/platform/standin_database.js';
import {PromotionMode} from '../test/platform/standin_promotions.js';
import {ZONES} from '../test/platform/fleet_fixture.js';
import type {Effect} from './faults.js';
import {FrontProcess} from './front_process.js';
import {CutKind, Members} from './members.js';
import {PrimaryFaultKind} from './primary_fault_kinds.js';
import {Random} from './random.js';
import {World} from './world.js';

/** Time from the platform's acceptance of an order to its effect. */
export const PROMOTION_MS = 1_000;
const LATE_ORDER_MS = [2_000, 12_000] as const;
const ORDER_LIMIT_MS = 6_000;
const ORDER_POLL_MS = 20;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** What a fault acts on, and the random choices of its effects. */
interface Scene {
  readonly world: World;
  readonly members: Members;
  readonly random: Random;
  readonly durationMs: number;
}

type SceneEffect = (scene: Scene) => Promise<void>;

const pickReplica = ({members, random}: Scene): StandinDatabase | undefined =>
  members.replicas.length > 0 ? random.pick(members.replicas) : undefined;

const join = ({members, random}: Scene): Promise<unknown> =>
  members.join(
    random.pick(ZONES),
    random.between(0, 2_000),
    random.between(0, 1_500),
  );

async function delayOrders({world, random, durationMs}: Scene): Promise<void> {
  const {promotions} = world.store;
  promotions.lateMs = random.between(...LATE_ORDER_MS);
  promotions.answersLate = random.chance(50);
  promotions.mode = PromotionMode.late;
  await pause(durationMs);
  promotions.mode = PromotionMode.executed;
}

async function kill(front: FrontProcess): Promise<void> {
  await front.end('SIGKILL');
  front.start();
}

async function killHolder({world}: Scene): Promise<void> {
  const holder = world.leaseHolder;
  if (holder) await kill(holder);
}

async function freezeHolder({world, random}: Scene): Promise<void> {
  const holder = world.leaseHolder;
  holder?.signal('SIGSTOP');
  await pause(random.between(500, 4_000));
  holder?.signal('SIGCONT');
}

/** Whether an order to promote a database may still be carried out. */
function isOrdered({store}: World, {id}: StandinDatabase): boolean {
  const sinceMs = performance.now() - LATE_ORDER_MS[1] - PROMOTION_MS;
  return store.promotions.received.some(
    order => order.id === id && order.receivedAtMs > sinceMs,
  );
}

/** Resolves once a promotion is ordered for the service, or after a while. */
async function untilOrdered({world, members}: Scene): Promise<void> {
  const {received} = world.store.promotions;
  const {service} = members.group;
  const known = received.length;
  const endMs = performance.now() + ORDER_LIMIT_MS;
  const isOrdered = (): boolean =>
    received.slice(known).some(order => order.service === service);
  while (!isOrdered() && performance.now() < endMs) await pause(ORDER_POLL_MS);
}

async function cutFronts(
  {world, members, random}: Scene,
  database: StandinDatabase,
  durationMs: number,
  isAll: boolean,
): Promise<void> {
  const kind = random.pick(Object.values(CutKind));
  const fronts = world.fronts.filter(() => isAll || random.chance(50));
  await members.cutFronts(database, fronts, kind, durationMs);
}

/** What becomes of a primary that is to be lost. */
const PRIMARY_FATES: ReadonlyArray<
  (scene: Scene, primary: StandinDatabase) => Promise<void>
> = [
  ({members, random}, primary) =>
    members.darken(primary, random.between(3_000, 12_000)),
  ({members, random}, primary) =>
    members.replace(primary, random.between(2_000, 8_000), false),
  ({members, random}, primary) =>
    members.crash(primary, random.between(2_000, 10_000)),
  (scene, primary) =>
    cutFronts(scene, primary, scene.random.between(3_000, 10_000), true),
];

/** What becomes of the replica that alone has the newest commits. */
const HOLDER_FATES: ReadonlyArray<
  (scene: Scene, newest: StandinDatabase) => Promise<void>
> = [
  ...new Array(3).fill(
    ({members, random}: Scene, newest: StandinDatabase): Promise<void> =>
      members.leave(
        newest,
        random.between(2_000, 7_000),
        random.between(300, 4_000),
      ),
  ),
  ({members, random}, newest) =>
    members.lapse(newest, random.between(3_000, 9_000)),
  ({members, random}, newest) =>
    members.crash(newest, random.between(1_000, 6_000)),
  (scene, newest) =>
    cutFronts(scene, newest, scene.random.between(3_000, 9_000), true),
  async () => undefined,
];

/** Things that happen while a primary is being replaced. */
const DISTURBANCES: readonly SceneEffect[] = [
  async scene => void (await join(scene)),
  killHolder,
  freezeHolder,
  async scene => {
    const replica = pickReplica(scene);
    const {members, random} = scene;
    if (replica) await members.crash(replica, random.between(300, 3_000));
  },
  async scene => {
    const replica = pickReplica(scene);
    const {members, random} = scene;
    if (replica) await members.lapse(replica, random.between(2_000, 9_000));
  },
  async scene => {
    const replica = pickReplica(scene);
    const {members, random} = scene;
    if (replica)
      await members.leave(replica, random.between(2_000, 5_000), 500);
  },
];

async function disturb(scene: Scene): Promise<void> {
  const {random} = scene;
  const count = random.between(0, 2);
  const effects = Array.from({length: count}, () => random.pick(DISTURBANCES));
  const waitMs = random.between(0, 1_200);
  await untilOrdered(scene);
  await pause(waitMs);
  await Promise.all(effects.map(effect => effect(scene)));
}

/** Makes one replica the only one that receives; returns what ends that. */
async function isolate(
  {members, random}: Scene,
  primary: StandinDatabase,
): Promise<{newest: StandinDatabase; heal: () => void} | undefined> {
  if (members.mayGrow && random.chance(50)) {
    await members.join(random.pick(ZONES), 0, random.between(0, 1_000));
    await pause(random.between(500, 1_500));
  }
  const isUnlisted = random.chance(25);
  const newest = isUnlisted
    ? await members.join(random.pick(ZONES), 0, random.between(5_000, 9_000))
    : random.pick(members.replicas);
  await pause(isUnlisted ? 1_000 : 0);
  const others = members.group.databases.filter(other => other !== newest);
  return {newest, heal: members.cutReplication(primary, others)};
}

async function runSoleHolder(scene: Scene): Promise<void> {
  const {members, random, world} = scene;
  const {primary} = members;
  if (!primary?.isRunning || members.replicas.length < 2) return;
  const isolated = await isolate(scene, primary);
  if (!isolated) return;
  const {newest, heal} = isolated;
  await pause(random.between(300, 2_500));
  const gapMs = random.between(-1_000, 2_500);
  const healMs = random.between(3_000, 12_000);
  const isLate = random.chance(20);
  const holderFate = random.pick(HOLDER_FATES);
  const primaryFate = random.pick(PRIMARY_FATES);
  const run = async (
    fate: (scene: Scene, database: StandinDatabase) => Promise<void>,
    database: StandinDatabase,
    delayMs: number,
  ): Promise<void> => {
    await pause(delayMs);
    await fate(scene, database);
  };
  await Promise.all([
    run(holderFate, newest, Math.max(0, -gapMs)),
    run(primaryFate, primary, Math.max(0, gapMs)),
    isLate ? delayOrders({...scene, durationMs: 5_000}) : undefined,
    disturb(scene),
    pause(healMs).then(heal),
  ]);
  world.store.registerDatabases();
}

async function runDisturbedChange(scene: Scene): Promise<void> {
  const {members, random} = scene;
  const {primary} = members;
  if (!primary?.isRunning) return;
  const isPlanned = random.chance(30);
  const lateMs = random.chance(40) ? random.between(1_000, 6_000) : undefined;
  await Promise.all([
    isPlanned
      ? members.leave(primary, random.between(4_000, 7_000), 500)
      : random.pick(PRIMARY_FATES)(scene, primary),
    lateMs ? delayOrders({...scene, durationMs: lateMs}) : undefined,
    disturb(scene),
  ]);
}

async function runIsolatedFront(scene: Scene): Promise<void> {
  const {members, random, world, durationMs} = scene;
  const {primary} = members;
  const fronts = world.fronts.filter(front => front !== world.leaseHolder);
  if (!primary?.isRunning) return;
  // Fronts near the primary have connections of their own to it.
  const near = fronts.filter(({zone}) => zone === primary.zone);
  const isolated = random.pick(near.length > 0 ? near : fronts);
  const others = world.fronts.filter(front => front !== isolated);
  const isPlanned = random.chance(40);
  const startMs = random.between(0, 800);
  const outageMs = random.between(1_200, 3_500);
  const restart = async (replica: StandinDatabase): Promise<void> => {
    await pause(startMs + random.between(300, 2_300));
    await members.crash(replica, random.between(20, 200));
  };
  await Promise.all([
    world.isolate(isolated, durationMs),
    pause(startMs).then(() =>
      isPlanned
        ? members.leave(primary, random.between(4_000, 7_000), 500)
        : members.cutFronts(primary, others, CutKind.silent, outageMs),
    ),
    ...members.replicas.map(restart),
    pause(startMs + random.between(300, 1_500)).then(() =>
      members.mayGrow ? members.join(random.pick(ZONES), 0, 500) : undefined,
    ),
  ]);
  await members.shrink();
}

async function runCutPair(scene: Scene): Promise<void> {
  const {members, random, world, durationMs} = scene;
  const {primary} = members;
  const newest = pickReplica(scene);
  if (!primary?.isRunning || !newest) return;
  const others = members.group.databases.filter(other => other !== newest);
  const heal = members.cutReplication(primary, others);
  await pause(random.between(300, 2_000));
  const kind = random.pick(Object.values(CutKind));
  const killed = random.chance(50) ? world.fronts : [];
  await Promise.all([
    // Fronts that start again don't know what was acknowledged.
    ...killed.map(kill),
    ...[primary, newest].map(database =>
      members.cutFronts(database, world.fronts, kind, durationMs),
    ),
    disturb(scene),
  ]);
  heal();
}

/** Runs one such effect at a time for a service; skips it while one runs. */
const alone =
  (effect: SceneEffect): SceneEffect =>
  async scene => {
    const {members} = scene;
    if (members.isBusy) return;
    members.isBusy = true;
    try {
      await effect(scene);
    } finally {
      members.isBusy = false;
    }
  };

const withReplica =
  (
    effect: (scene: Scene, replica: StandinDatabase) => Promise<void>,
  ): SceneEffect =>
  async scene => {
    const replica = pickReplica(scene);
    if (replica) await effect(scene, replica);
  };

const withPrimary =
  (
    effect: (scene: Scene, primary: StandinDatabase) => Promise<void>,
  ): SceneEffect =>
  async scene => {
    const {primary} = scene.members;
    if (primary?.isRunning) await effect(scene, primary);
  };

const SCENES: Readonly<Record<PrimaryFaultKind, SceneEffect>> = {
  sole_holder: alone(runSoleHolder),
  disturbed_change: alone(runDisturbedChange),
  isolated_front: alone(runIsolatedFront),
  cut_pair: alone(runCutPair),
  leave_replica: withReplica(({members, durationMs}, replica) =>
    members.leave(replica, durationMs, 500),
  ),
  leave_primary: withPrimary(({members, durationMs}, primary) =>
    members.leave(primary, durationMs, 500),
  ),
  join_replica: async scene => {
    if (scene.members.mayGrow) await join(scene);
  },
  lapse_replica: withReplica(({members, durationMs}, replica) =>
    members.lapse(replica, durationMs),
  ),
  deaf_replica: withReplica(({members, durationMs}, replica) =>
    members.deafen(replica, durationMs),
  ),
  crash_replica: withReplica(({members, durationMs}, replica) =>
    members.crash(replica, durationMs),
  ),
  restart_empty: withReplica(async ({world, members, durationMs}, replica) => {
    // What was ordered to lead and has lost its log can't be stopped any more.
    if (!isOrdered(world, replica))
      await members.crash(replica, durationMs, true);
  }),
  cut_replication: withPrimary(async ({members, durationMs}, primary) => {
    const [, ...some] = members.replicas;
    const heal = members.cutReplication(primary, some);
    await pause(durationMs);
    heal();
  }),
  dark_primary: withPrimary(({members, durationMs}, primary) =>
    members.darken(primary, durationMs),
  ),
  crash_primary: withPrimary(({members, durationMs}, primary) =>
    members.crash(primary, durationMs),
  ),
  cut_some_fronts: withPrimary((scene, primary) =>
    cutFronts(scene, primary, scene.durationMs, false),
  ),
  cut_all_fronts: withPrimary((scene, primary) =>
    cutFronts(scene, primary, scene.durationMs, true),
  ),
  late_orders: delayOrders,
  cut_store: async ({world, random, durationMs}) => {
    const {platformHost} = random.pick(world.fronts);
    world.store.silentHosts.add(platformHost);
    await pause(durationMs);
    world.store.silentHosts.delete(platformHost);
  },
};

const effectOf =
  (effect: SceneEffect): Effect =>
  (world, {target, durationMs, choice = 0}) =>
    effect({
      world,
      members: world.members[target],
      random: Random.create(choice),
      durationMs,
    });

/** The effects of these faults, by kind. */
export const PRIMARY_EFFECTS = Object.fromEntries(
  Object.entries(SCENES).map(([kind, effect]) => [kind, effectOf(effect)]),
) as Readonly<Record<PrimaryFaultKind, Effect>>;
