/**
 * Benchmark of how control costs grow: with the number of VMs for membership,
 * placement, delivery of versions and platform calls, and with the number of
 * services and customers for the configuration.
 */
import {Config, configSchema, digestKey} from '../src/core/config.js';
import {
  createMembership,
  recordHeartbeat,
  HEARTBEAT_INTERVAL_MS,
  Membership,
  MemberUpdate,
  mergeUpdates,
  nextHeartbeatTargets,
  updatesToGossip,
  VmAddress,
} from '../src/core/membership.js';
import {ownerOf} from '../src/core/placement.js';
import {LocalFleet} from '../src/standin/local_fleet.js';
import {BenchFleet, totalProcessorUs} from './path.js';
import {percentile, seededRandom, VirtualTime} from './simulation.js';

const NODES = [3, 10, 30, 100, 300, 1_000, 2_000] as const;
const WATCHER_COUNT = 3;
const PEER_DELAY_MS = 20;
const SEED = 20_261_204;

const addressOf = (index: number): VmAddress => ({
  vm: `vm-${index}`,
  host: `10.0.${index >> 8}.${index & 255}`,
  peerPort: 6_433,
  place: {region: `region-${index % 7}`, zone: `zone-${index % 21}`},
});

const updateOf = (index: number): MemberUpdate => ({
  address: addressOf(index),
  incarnation: 1_764_800_000_000,
  status: 'alive',
});

const membershipOf = (self: number, nodes: number): Membership =>
  mergeUpdates(
    createMembership(addressOf(self), 1),
    Array.from({length: nodes}, (_, i) => updateOf(i)),
    -1_000_000,
  );

/** Returns the average time of a call in microseconds. */
function averageCallUs(run: () => void): number {
  const calls = 300;
  run();
  const startedAtMs = performance.now();
  for (let i = 0; i < calls; i++) run();
  return ((performance.now() - startedAtMs) * 1_000) / calls;
}

function measureNodes(nodes: number): object {
  let membership = membershipOf(0, nodes);
  const message = {
    updates: updatesToGossip(membership, 0),
    configVersion: 20_000,
    rosterVersion: 7_000,
    rosterMember: 'vm-1234/0a1b2c3d',
  };
  const candidates = Array.from({length: nodes}, (_, i) => ({
    vm: addressOf(i).vm,
    place: addressOf(i).place,
  }));
  const home = addressOf(5).place;
  const heartbeatUs = averageCallUs(() => {
    membership = recordHeartbeat(membership, updateOf(1), 1);
    updatesToGossip(membership, 1);
    membership = nextHeartbeatTargets(membership).view;
  });
  return {
    nodes,
    heartbeat_us: Math.round(heartbeatUs),
    heartbeat_bytes: Buffer.byteLength(JSON.stringify(message)),
    placement_us: Math.round(
      averageCallUs(() => void ownerOf('s', home, candidates)),
    ),
    delivery_ms: measureDelivery(nodes),
    member_bytes: Math.round(
      Buffer.byteLength(JSON.stringify([...membership.others.values()])) /
        nodes,
    ),
  };
}

/**
 * Returns the time in ms until a version reaches every VM from the watchers.
 */
function measureDelivery(nodes: number): number {
  const time = VirtualTime.create();
  const random = seededRandom(SEED);
  // Whether each VM has the version.
  const knows = Array.from({length: nodes}, (_, i) => i < WATCHER_COUNT);
  const receivedAtMs = knows.map(held => (held ? 0 : Infinity));
  const nextTargets = knows.map(() => Math.floor(random() * nodes));
  const receive = (vm: number): void => {
    if (knows[vm]) return;
    knows[vm] = true;
    receivedAtMs[vm] = time.nowMs;
  };
  const sendHeartbeats = (vm: number): void => {
    for (let i = 0; i < Math.min(3, nodes - 1); i++) {
      const other = (vm + 1 + ((nextTargets[vm] + i) % (nodes - 1))) % nodes;
      // A heartbeat and its reply carry the version. The side with the lower
      // version fetches the new one.
      time.after(PEER_DELAY_MS, () => {
        if (knows[vm]) time.after(2 * PEER_DELAY_MS, () => receive(other));
        else if (knows[other]) time.after(3 * PEER_DELAY_MS, () => receive(vm));
      });
    }
    nextTargets[vm] += 3;
  };
  knows.forEach((_, vm) =>
    time.after(random() * HEARTBEAT_INTERVAL_MS, () => {
      sendHeartbeats(vm);
      time.every(HEARTBEAT_INTERVAL_MS, () => sendHeartbeats(vm));
    }),
  );
  time.runUntil(60_000);
  return Math.round(percentile(receivedAtMs, 1));
}

/** Measures the size of a configuration and the time to validate it. */
function measureConfig(services: number, customers: number): object {
  const config: Config = {
    version: 1,
    services: Array.from({length: services}, (_, i) => ({
      name: `service-${i}`,
      databases: [0, 1, 2].map(n => ({
        name: `service-${i}-db${n}`,
        host: '10.1.2.3',
        port: 5_432,
        region: 'region-1',
        zone: 'zone-1',
        leaving: false,
      })),
      slots: 2,
      connections: 16,
      writeAck: 'replica' as const,
      open: false,
    })),
    customers: Array.from({length: customers}, (_, i) => ({
      name: `customer-${i}`,
      keys: [{id: 'k1', digest: digestKey(String(i))}],
      services: [`service-${i}`],
      ratePerS: 100,
      burst: 100,
      weight: 1,
    })),
    history: [],
  };
  const text = JSON.stringify(config);
  const startedAtMs = performance.now();
  configSchema.parse(JSON.parse(text));
  return {
    services,
    customers,
    bytes: text.length,
    check_ms: Number((performance.now() - startedAtMs).toFixed(2)),
  };
}

/** Measures calls to the platform by an idle fleet and during one change. */
async function measurePlatform(vms: number, seconds: number): Promise<object> {
  const fleet = await LocalFleet.create({proxies: vms});
  try {
    const callsBefore = fleet.platform.totalCalls;
    const waitingWatches = fleet.platform.watcherCount;
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
    const calls = (fleet.platform.totalCalls - callsBefore) / seconds;
    const callsBeforeChange = fleet.platform.totalCalls;
    await fleet.applyActions(0, [
      {do: 'set_rate', customer: 'villacres', ratePerS: 50, burst: 50},
    ]);
    return {
      vms,
      calls_per_s: Number(calls.toFixed(2)),
      waiting_watches: waitingWatches,
      calls_per_change: fleet.platform.totalCalls - callsBeforeChange,
    };
  } finally {
    await fleet.close();
  }
}

/**
 * Returns the processor use in percent of two idle proxies, one of which owns a
 * service.
 */
async function measureIdleProxies(seconds: number): Promise<number> {
  const fleet = await BenchFleet.create();
  try {
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const before = await totalProcessorUs(fleet);
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
    const usedUs = (await totalProcessorUs(fleet)) - before;
    return Number((usedUs / (seconds * 10_000)).toFixed(2));
  } finally {
    await fleet.close();
  }
}

export async function benchSlopes(
  printLine: (line: string) => void,
  seconds: number,
): Promise<object> {
  const nodes = NODES.map(measureNodes);
  nodes.forEach(row => printLine(JSON.stringify(row)));
  const configs = [measureConfig(10, 10), measureConfig(1_000, 1_000)];
  configs.forEach(row => printLine(JSON.stringify(row)));
  const platform: object[] = [];
  for (const vms of [3, 6, 9]) {
    platform.push(await measurePlatform(vms, seconds));
    printLine(JSON.stringify(platform.at(-1)));
  }
  return {
    bench: 'slopes',
    seed: SEED,
    nodes,
    configs,
    platform,
    idle_processor_percent_two_proxies: await measureIdleProxies(seconds),
  };
}
