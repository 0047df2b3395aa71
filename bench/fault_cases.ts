/** The faults that the accounts are settled under. */
import {StoreKey} from '../src/store/store.js';
import {LocalFleet, waitUntil} from '../src/standin/local_fleet.js';

/** Something that goes wrong, and how it ends. */
export interface Fault {
  readonly name: string;
  /** Promise on the gap in writes; undefined where writes need not pause. */
  readonly maxGapMs: number;
  readonly strike: (scene: LocalFleet) => Promise<void> | void;
  readonly heal: (scene: LocalFleet) => Promise<void> | void;
}

export const SERVICE = 'order-books-1';
/** The brief's target for a change of primary. */
const FAILOVER_TARGET_MS = 7_000;

const group = (scene: LocalFleet) => scene.group(SERVICE);

function healDatabases(scene: LocalFleet): void {
  for (const server of group(scene).servers) {
    server.restart();
    server.database.faults.isUnresponsive = false;
    server.database.faults.isIsolated = false;
    server.database.lagMs = server.database.options.lagMs;
  }
}

const fault = (
  name: string,
  strike: Fault['strike'],
  heal: Fault['heal'] = () => undefined,
): Fault => ({name, maxGapMs: FAILOVER_TARGET_MS, strike, heal});

/** Which proxy owns the pools of the service. */
export function ownerIndex(scene: LocalFleet): number {
  return scene.proxies.findIndex(proxy => {
    const {groups} = proxy.dump() as {
      groups: {service: string; pools: Record<string, {limit: number}>}[];
    };
    const served = groups.find(entry => entry.service === SERVICE);
    return Object.values(served?.pools ?? {}).some(pool => pool.limit > 2);
  });
}

export const FAULTS: readonly Fault[] = [
  fault('primary killed', scene => group(scene).primary.kill(), healDatabases),
  fault(
    'primary cut off from everyone',
    scene => {
      const {primary} = group(scene);
      primary.database.faults.isIsolated = true;
      primary.database.faults.isUnresponsive = true;
    },
    healDatabases,
  ),
  fault(
    'primary cut off from its replicas only',
    scene => void (group(scene).primary.database.faults.isIsolated = true),
    healDatabases,
  ),
  fault(
    'one replica down',
    scene =>
      group(scene)
        .servers.find(server => !server.database.isPrimary)
        ?.kill(),
    healDatabases,
  ),
  fault(
    'replicas far behind',
    scene => {
      for (const server of group(scene).servers) server.database.lagMs = 800;
    },
    healDatabases,
  ),
  fault('open connections silent for good', scene =>
    group(scene).servers.forEach(server =>
      server.stopRespondingOnOpenConnections(),
    ),
  ),
  fault(
    'platform down',
    scene => scene.platform.setDown(true),
    scene => scene.platform.setDown(false),
  ),
  fault(
    'platform slow',
    scene => void (scene.platform.faults.delayMs = 1_500),
    scene => void (scene.platform.faults.delayMs = 0),
  ),
  fault('pool owner killed', async scene => {
    await scene.proxies[ownerIndex(scene)].close();
  }),
  fault('a proxy stops as planned', scene => {
    void scene.proxies[ownerIndex(scene)].drain();
  }),
  fault('list of VMs empty', scene =>
    scene.platform.put(StoreKey.vms, JSON.stringify([])),
  ),
];

/** Waits until writes flow again. */
export const untilFlowing = (count: () => number): Promise<void> => {
  const from = count();
  return waitUntil(() => count() > from + 5);
};
