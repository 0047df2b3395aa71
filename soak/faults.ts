/** Applies scheduled faults to the fronts, databases and store of a run. */
import {frontEntryKey} from '../src/front/front_list.js';
import {FaultKind, ScheduledFault} from './fault_schedule.js';
import {FrontProcess} from './front_process.js';
import {PRIMARY_EFFECTS} from './primary_faults.js';
import {FLEET_PREFIX, World} from './world.js';
import {StandinDatabase} from '../test/platform/standin_database.js';
import {PromotionMode} from '../test/platform/standin_promotions.js';
import {StoreFaultMode} from '../test/platform/standin_store.js';

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

export type Effect = (world: World, fault: ScheduledFault) => Promise<void>;

const frontOf = (world: World, {target}: ScheduledFault): FrontProcess =>
  world.fronts[target];

async function killAndStart(front: FrontProcess): Promise<void> {
  await front.end('SIGKILL');
  front.start();
}

async function freeze(
  front: FrontProcess,
  {durationMs}: ScheduledFault,
): Promise<void> {
  front.signal('SIGSTOP');
  await pause(durationMs);
  front.signal('SIGCONT');
}

async function silence(
  databases: readonly StandinDatabase[],
  {durationMs}: ScheduledFault,
): Promise<void> {
  for (const database of databases) database.isUnresponsive = true;
  await pause(durationMs);
  for (const database of databases) {
    database.isUnresponsive = false;
    // What it has not read is lost, so its connections are of no use.
    for (const socket of database.sockets) socket.destroy();
  }
}

/** The group of the fault's database, by role of its databases. */
function groupOf(
  world: World,
  {target}: ScheduledFault,
  isPrimary: boolean,
): readonly StandinDatabase[] {
  const {group} = world.databases[target];
  return group.databases.filter(d => (d === group.primary) === isPrimary);
}

/** Has databases fail every statement, though they report themselves healthy. */
async function fail(
  databases: readonly StandinDatabase[],
  {durationMs}: ScheduledFault,
): Promise<void> {
  for (const database of databases) database.failedShare = 1;
  await pause(durationMs);
  for (const database of databases) database.failedShare = 0;
}

async function lag(
  replicas: readonly StandinDatabase[],
  {durationMs}: ScheduledFault,
): Promise<void> {
  for (const replica of replicas) replica.replayedCount = replica.log.length;
  await pause(durationMs);
  for (const replica of replicas) replica.replayedCount = undefined;
}

async function withPromotions(
  {store}: World,
  {durationMs}: ScheduledFault,
  mode: PromotionMode,
): Promise<void> {
  store.promotions.mode = mode;
  await pause(durationMs);
  store.promotions.mode = PromotionMode.executed;
}

async function withStoreFault(
  {store, evacuations}: World,
  {durationMs}: ScheduledFault,
  mode: StoreFaultMode,
): Promise<void> {
  store.faultMode = mode;
  await pause(durationMs);
  store.faultMode = StoreFaultMode.none;
  evacuations.recordContact();
}

const EFFECTS: Readonly<Record<FaultKind, Effect>> = {
  kill: (world, fault) => killAndStart(frontOf(world, fault)),
  kill_twice: async (world, fault) => {
    await killAndStart(frontOf(world, fault));
    await pause(fault.durationMs);
    await killAndStart(frontOf(world, fault));
  },
  terminate: async (world, fault) => {
    const front = frontOf(world, fault);
    await front.end('SIGTERM');
    front.start();
  },
  freeze: (world, fault) => freeze(frontOf(world, fault), fault),
  cut_peers: async (world, fault) => frontOf(world, fault).cutPeers(),
  silence_peers: async (world, fault) => frontOf(world, fault).silencePeers(),
  cut_database: async (world, {target}) => {
    for (const socket of world.databases[target].sockets) socket.destroy();
  },
  silence_database: (world, fault) =>
    silence([world.databases[fault.target]], fault),
  restart_database: async (world, {target, durationMs}) => {
    const database = world.databases[target];
    if (!database.isRunning) return;
    await database.crash();
    await pause(durationMs);
    await database.start();
    world.store.registerDatabases();
  },
  remove_entry: async (world, {target, durationMs}) => {
    world.store.remove(`servers/${world.databases[target].id}`);
    await pause(durationMs);
    world.store.registerDatabases();
  },
  remove_front_entry: async (world, fault) => {
    const {name} = frontOf(world, fault);
    world.store.remove(frontEntryKey(FLEET_PREFIX, name));
  },
  add_front: async (world, {target, durationMs}) => {
    const spare = world.spares[target];
    if (spare.isRunning) return;
    spare.start();
    await pause(durationMs);
    await spare.end('SIGTERM');
  },
  kill_holder: async world => {
    const holder = world.leaseHolder;
    if (holder) await killAndStart(holder);
  },
  freeze_holder: async (world, fault) => {
    const holder = world.leaseHolder;
    if (holder) await freeze(holder, fault);
  },
  silence_primary: (world, fault) =>
    silence(groupOf(world, fault, true), fault),
  silence_replicas: (world, fault) =>
    silence(groupOf(world, fault, false), fault),
  fail_database: (world, fault) => fail([world.databases[fault.target]], fault),
  fail_primary: (world, fault) => fail(groupOf(world, fault, true), fault),
  lag_replicas: (world, fault) => lag(groupOf(world, fault, false), fault),
  lose_promotions: (world, fault) =>
    withPromotions(world, fault, PromotionMode.lost),
  delay_promotions: (world, fault) =>
    withPromotions(world, fault, PromotionMode.late),
  busy_store: (world, fault) =>
    withStoreFault(world, fault, StoreFaultMode.busy),
  silent_store: (world, fault) =>
    withStoreFault(world, fault, StoreFaultMode.silent),
  evacuate: async ({databases, evacuations}, {target, durationMs}) => {
    const {zone} = databases[target];
    evacuations.begin(zone);
    await pause(durationMs);
    evacuations.end(zone);
  },
};

const ALL_EFFECTS = {...EFFECTS, ...PRIMARY_EFFECTS};

/**
 * Applies each fault at its time, overlapping ones together; resolves once all
 * of them are over. `log` is called as a fault begins and ends.
 */
export async function applyFaults(
  world: World,
  schedule: readonly ScheduledFault[],
  log: (event: string, fault: ScheduledFault) => void,
): Promise<void> {
  await Promise.all(
    schedule.map(async fault => {
      await pause(fault.atMs);
      log('fault', fault);
      await ALL_EFFECTS[fault.kind](world, fault);
      log('fault_over', fault);
    }),
  );
}
