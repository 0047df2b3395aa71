/** Applies scheduled faults to the fronts, databases and store of a run. */
import {frontEntryKey} from '../src/front/front_list.js';
import {FaultKind, ScheduledFault} from './fault_schedule.js';
import {FrontProcess} from './front_process.js';
import {FLEET_PREFIX, World} from './world.js';

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

type Effect = (world: World, fault: ScheduledFault) => Promise<void>;

const frontOf = (world: World, {target}: ScheduledFault): FrontProcess =>
  world.fronts[target];

async function killAndStart(front: FrontProcess): Promise<void> {
  await front.end('SIGKILL');
  front.start();
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
  freeze: async (world, fault) => {
    const front = frontOf(world, fault);
    front.signal('SIGSTOP');
    await pause(fault.durationMs);
    front.signal('SIGCONT');
  },
  cut_peers: async (world, fault) => frontOf(world, fault).cutPeers(),
  silence_peers: async (world, fault) => frontOf(world, fault).silencePeers(),
  cut_database: async (world, {target}) => {
    for (const socket of world.databases[target].sockets) socket.destroy();
  },
  silence_database: async (world, {target, durationMs}) => {
    const database = world.databases[target];
    database.isUnresponsive = true;
    await pause(durationMs);
    database.isUnresponsive = false;
    // What it has not read is lost, so its connections are of no use.
    for (const socket of database.sockets) socket.destroy();
  },
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
};

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
      await EFFECTS[fault.kind](world, fault);
      log('fault_over', fault);
    }),
  );
}
