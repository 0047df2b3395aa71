/**
 * How control grows: with nodes in the core (membership, placement, delivery),
 * with services and customers (configuration), with VMs at the platform.
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
import {Bench, processorUs} from './path.js';
import {percentile, randomOf, VirtualTime} from './simulation.js';

const NODES = [3, 10, 30, 100, 300, 1_000, 2_000] as const;
const WATCHERS = 3;
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

const viewOf = (self: number, nodes: number): Membership =>
  mergeUpdates(
    createMembership(addressOf(self), 1),
    Array.from({length: nodes}, (_, i) => updateOf(i)),
    -1_000_000,
  );

/** Microseconds that one call takes, over enough calls to tell. */
function cost(run: () => void): number {
  const calls = 300;
  run();
  const startedAtMs = performance.now();
  for (let i = 0; i < calls; i++) run();
  return ((performance.now() - startedAtMs) * 1_000) / calls;
}

function measureNodes(nodes: number): object {
  let view = viewOf(0, nodes);
  const message = {
    updates: updatesToGossip(view, 0),
    configVersion: 20_000,
    rosterVersion: 7_000,
    rosterMember: 'vm-1234/0a1b2c3d',
  };
  const candidates = Array.from({length: nodes}, (_, i) => ({
    vm: addressOf(i).vm,
    place: addressOf(i).place,
  }));
  const home = addressOf(5).place;
  const heartbeatUs = cost(() => {
    view = recordHeartbeat(view, updateOf(1), 1);
    updatesToGossip(view, 1);
    view = nextHeartbeatTargets(view).view;
  });
  return {
    nodes,
    heartbeat_us: Math.round(heartbeatUs),
    heartbeat_bytes: Buffer.byteLength(JSON.stringify(message)),
    placement_us: Math.round(cost(() => void ownerOf('s', home, candidates))),
    delivery_ms: measureDelivery(nodes),
    member_bytes: Math.round(
      Buffer.byteLength(JSON.stringify([...view.others.values()])) / nodes,
    ),
  };
}

/** Time until every VM has a version that the watchers have just received. */
function measureDelivery(nodes: number): number {
  const time = VirtualTime.create();
  const random = randomOf(SEED);
  const has = Array.from({length: nodes}, (_, i) => i < WATCHERS);
  const atMs = has.map(held => (held ? 0 : Infinity));
  const turns = has.map(() => Math.floor(random() * nodes));
  const learn = (vm: number): void => {
    if (has[vm]) return;
    has[vm] = true;
    atMs[vm] = time.nowMs;
  };
  const beat = (vm: number): void => {
    for (let i = 0; i < Math.min(3, nodes - 1); i++) {
      const other = (vm + 1 + ((turns[vm] + i) % (nodes - 1))) % nodes;
      // A heartbeat and its answer carry the version; the lower side pulls.
      time.after(PEER_DELAY_MS, () => {
        if (has[vm]) time.after(2 * PEER_DELAY_MS, () => learn(other));
        else if (has[other]) time.after(3 * PEER_DELAY_MS, () => learn(vm));
      });
    }
    turns[vm] += 3;
  };
  has.forEach((_, vm) =>
    time.after(random() * HEARTBEAT_INTERVAL_MS, () => {
      beat(vm);
      time.every(HEARTBEAT_INTERVAL_MS, () => beat(vm));
    }),
  );
  time.runUntil(60_000);
  return Math.round(percentile(atMs, 1));
}

/** Size of the configuration and time to check it, by services and customers. */
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

/** Calls a second that a quiet fleet makes to the platform. */
async function measurePlatform(vms: number, seconds: number): Promise<object> {
  const scene = await LocalFleet.create({proxies: vms});
  try {
    const before = scene.platform.totalCalls;
    const waiting = scene.platform.watcherCount;
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
    const calls = (scene.platform.totalCalls - before) / seconds;
    const changedFrom = scene.platform.totalCalls;
    await scene.applyActions(0, [
      {do: 'set_rate', customer: 'villacres', ratePerS: 50, burst: 50},
    ]);
    return {
      vms,
      calls_per_s: Number(calls.toFixed(2)),
      waiting_watches: waiting,
      calls_per_change: scene.platform.totalCalls - changedFrom,
    };
  } finally {
    await scene.close();
  }
}

/** Processor time of two idle proxies, one of which owns one service. */
async function measureIdleProxies(seconds: number): Promise<number> {
  const bench = await Bench.create();
  try {
    await new Promise(resolve => setTimeout(resolve, 2_000));
    const before = await processorUs(bench);
    await new Promise(resolve => setTimeout(resolve, seconds * 1_000));
    const spentUs = (await processorUs(bench)) - before;
    return Number((spentUs / (seconds * 10_000)).toFixed(2));
  } finally {
    await bench.close();
  }
}

/** Runs the benchmark. */
export async function benchSlopes(
  say: (line: string) => void,
  seconds: number,
): Promise<object> {
  const nodes = NODES.map(measureNodes);
  nodes.forEach(row => say(JSON.stringify(row)));
  const configs = [measureConfig(10, 10), measureConfig(1_000, 1_000)];
  configs.forEach(row => say(JSON.stringify(row)));
  const platform: object[] = [];
  for (const vms of [3, 6, 9]) {
    platform.push(await measurePlatform(vms, seconds));
    say(JSON.stringify(platform.at(-1)));
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
