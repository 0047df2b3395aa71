/** The faults that the fault benchmark injects into a running fleet. */
import {StoreKey} from '../src/store/store.js';
import {LocalFleet, waitUntil} from '../src/standin/local_fleet.js';

/** A fault: how it is injected and how normal operation is restored. */
export interface Fault {
  readonly name: string;
  /** Longest time without an acknowledged write that the fault may cause. */
  readonly maxGapMs: number;
  readonly inject: (fleet: LocalFleet) => Promise<void> | void;
  readonly restore: (fleet: LocalFleet) => Promise<void> | void;
}

export const SERVICE = 'order-books-1';
/** Maximum time without an acknowledged write when the primary changes. */
const MAX_FAILOVER_GAP_MS = 7_000;

const groupOf = (fleet: LocalFleet) => fleet.group(SERVICE);

function restoreDatabases(fleet: LocalFleet): void {
  for (const server of groupOf(fleet).servers) {
    server.restart();
    server.database.faults.isUnresponsive = false;
    server.database.faults.isIsolated = false;
    server.database.lagMs = server.database.options.lagMs;
  }
}

const createFault = (
  name: string,
  inject: Fault['inject'],
  restore: Fault['restore'] = () => undefined,
): Fault => ({
  name,
  maxGapMs: MAX_FAILOVER_GAP_MS,
  inject,
  restore,
});

/**
 * Returns the index of the proxy that owns the pools of the service. The
 * connection limit of every other proxy is 2.
 */
export function ownerProxyIndex(fleet: LocalFleet): number {
  return fleet.proxies.findIndex(proxy => {
    const {groups} = proxy.dump() as {
      groups: {service: string; pools: Record<string, {limit: number}>}[];
    };
    const groupDump = groups.find(entry => entry.service === SERVICE);
    return Object.values(groupDump?.pools ?? {}).some(pool => pool.limit > 2);
  });
}

export const FAULTS: readonly Fault[] = [
  createFault(
    'primary killed',
    fleet => groupOf(fleet).primary.kill(),
    restoreDatabases,
  ),
  createFault(
    'primary cut off from everyone',
    fleet => {
      const {primary} = groupOf(fleet);
      primary.database.faults.isIsolated = true;
      primary.database.faults.isUnresponsive = true;
    },
    restoreDatabases,
  ),
  createFault(
    'primary cut off from its replicas only',
    fleet => void (groupOf(fleet).primary.database.faults.isIsolated = true),
    restoreDatabases,
  ),
  createFault(
    'one replica down',
    fleet =>
      groupOf(fleet)
        .servers.find(server => !server.database.isPrimary)
        ?.kill(),
    restoreDatabases,
  ),
  createFault(
    'replicas far behind',
    fleet => {
      for (const server of groupOf(fleet).servers) server.database.lagMs = 800;
    },
    restoreDatabases,
  ),
  createFault('open connections silent for good', fleet =>
    groupOf(fleet).servers.forEach(server =>
      server.stopRespondingOnOpenConnections(),
    ),
  ),
  createFault(
    'platform down',
    fleet => fleet.platform.setDown(true),
    fleet => fleet.platform.setDown(false),
  ),
  createFault(
    'platform slow',
    fleet => void (fleet.platform.faults.delayMs = 1_500),
    fleet => void (fleet.platform.faults.delayMs = 0),
  ),
  createFault('pool owner killed', async fleet => {
    await fleet.proxies[ownerProxyIndex(fleet)].close();
  }),
  createFault('a proxy stops as planned', fleet => {
    void fleet.proxies[ownerProxyIndex(fleet)].drain();
  }),
  createFault('list of VMs empty', fleet =>
    fleet.platform.put(StoreKey.vms, JSON.stringify([])),
  ),
];

/** Waits until more than five further writes have been acknowledged. */
export const untilWritesResume = (
  acknowledgedCount: () => number,
): Promise<void> => {
  const initialCount = acknowledgedCount();
  return waitUntil(() => acknowledgedCount() > initialCount + 5);
};
