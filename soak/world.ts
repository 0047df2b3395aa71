/** The platform of a run: store, services, and fronts as processes. */
import {
  operatorConfig,
  until,
  WireClient,
  ZONES,
} from '../test/platform/fleet_fixture.js';
import {
  StandinDatabase,
  StandinGroup,
} from '../test/platform/standin_database.js';
import {DatabaseEvent, RanStatement} from '../test/platform/standin_session.js';
import {StandinStore} from '../test/platform/standin_store.js';
import {frontEntryKey} from '../src/front/front_list.js';
import {ZoneEvacuations} from './evacuation_judge.js';
import {FrontProcess, PEER_PROXY_PORT} from './front_process.js';
import {Network} from './network.js';
import type {Members} from './members.js';

export const CUSTOMERS = ['ana', 'bea', 'carla', 'dario'] as const;
/** Home regions of customers; in the soak, each zone is a region of its own. */
const HOMES: Readonly<Record<string, readonly string[]>> = {dario: [ZONES[0]]};
export const SERVICES = ['orders', 'claims', 'rota'] as const;
export const FLEET_PREFIX = 'mustardpass/';
/** Fronts that only join for a while. */
const SPARE_COUNT = 2;
const DATABASE_SLOTS = 3;
const MAX_CONNECTIONS = 36;
const START_LIMIT_MS = 30_000;
const READY_POLL_MS = 100;

/** Where databases say that they are, to any front. */
const DATABASE_HOST = '127.0.0.1';

export interface WorldOptions {
  readonly frontCount: number;
  readonly program: string;
  readonly folder: string;
  /** Prepares a service before any front starts. */
  readonly prepare?: (group: StandinGroup) => void;
  readonly onEvent: (event: DatabaseEvent) => void;
  readonly onFailure: (kind: string, details: object) => void;
}

/** Configuration with routes of each kind for each service. */
function configuration(): object {
  const routes = SERVICES.flatMap(service =>
    operatorConfig(service).routes.map(route => ({
      ...route,
      name: `${service}-${String(route.name)}`,
      host: `${service}-${String(route.host)}`,
      timeout_ms: 2_000,
    })),
  );
  const services = SERVICES.map(name => ({
    name,
    max_conns: MAX_CONNECTIONS,
    sync_replicas: 1,
  }));
  const tenants = CUSTOMERS.map(name => ({
    name,
    api_keys: [`${name}-key`],
    priority: 1,
    rate_per_s: 20_000,
    burst: 20_000,
    home_regions: HOMES[name],
  }));
  const limits = {tx_idle_ms: 3_000};
  return {version: 1, routes, services, tenants, limits};
}

/** Third parts of the addresses of fronts, the platform and relays. */
const FRONT_SUBNET = 1;
const PLATFORM_SUBNET = 2;
const FIRST_RELAY_SUBNET = 100;

/** Address at which the front number `reader` finds another one, from 0. */
const relayHost = (frontHost: string, reader: number): string =>
  frontHost.replace(`.${FRONT_SUBNET}.`, `.${FIRST_RELAY_SUBNET + reader}.`);

/**
 * Returns an entry as a front reads it that finds the platform at `host`: other
 * fronts at the relay to them, databases at `host`.
 */
function asReadAt(key: string, text: string, host: string): string {
  if (key.startsWith('servers/'))
    return text.replace(`"addr":"${DATABASE_HOST}:`, `"addr":"${host}:`);
  if (!key.startsWith(frontEntryKey(FLEET_PREFIX, ''))) return text;
  const entry = JSON.parse(text) as {host: string};
  const reader = Number(host.split('.').pop()) - 1;
  const relay = {host: relayHost(entry.host, reader), port: PEER_PROXY_PORT};
  return JSON.stringify({...entry, ...relay});
}

/** A started platform with its fronts. */
export class World {
  readonly evacuations: ZoneEvacuations;
  /** Changes of the databases, by service; empty if they stay the same. */
  members: readonly Members[] = [];

  private constructor(
    readonly store: StandinStore,
    readonly groups: readonly StandinGroup[],
    readonly fronts: readonly FrontProcess[],
    readonly spares: readonly FrontProcess[],
    private readonly network: Network,
  ) {
    this.evacuations = ZoneEvacuations.create(store);
  }

  /** Starts everything; resolves once all fronts but the spares are ready. */
  static async start(options: WorldOptions): Promise<World> {
    const {frontCount, program, folder, onFailure} = options;
    const network = await Network.claim();
    const indexes = Array.from({length: frontCount + SPARE_COUNT}, (_, i) => i);
    const platformHosts = indexes.map(
      index => `127.${network.number}.${PLATFORM_SUBNET}.${index + 1}`,
    );
    const groups: StandinGroup[] = [];
    for (const service of SERVICES) {
      const group = await StandinGroup.start(service, ZONES, 0, platformHosts);
      group.slots = DATABASE_SLOTS;
      group.maxConnections = MAX_CONNECTIONS;
      group.onEvent = options.onEvent;
      options.prepare?.(group);
      groups.push(group);
    }
    const store = await StandinStore.start(groups, platformHosts);
    store.put('op/config', configuration());
    store.rewriteOnRead = asReadAt;
    const create = (name: string, index: number): Promise<FrontProcess> => {
      const host = `127.${network.number}.${FRONT_SUBNET}.${index + 1}`;
      return FrontProcess.create({
        name,
        zone: ZONES[index % ZONES.length],
        host,
        peerHosts: indexes.map(reader => relayHost(host, reader)),
        program,
        platformHost: platformHosts[index],
        storePort: store.port,
        folder,
        onFailure,
      });
    };
    const fronts: FrontProcess[] = [];
    for (let index = 0; index < frontCount; index++) {
      fronts.push(await create(`front-${index + 1}`, index));
    }
    const spares: FrontProcess[] = [];
    for (let index = 0; index < SPARE_COUNT; index++) {
      spares.push(await create(`spare-${index + 1}`, frontCount + index));
    }
    const world = new World(store, groups, fronts, spares, network);
    for (const front of fronts) front.start();
    await world.untilReady();
    return world;
  }

  get databases(): StandinDatabase[] {
    return this.groups.flatMap(group => group.databases);
  }

  /** Whether a statement ran in the homes of its customer. */
  isWithinHomes({customer, connection}: RanStatement): boolean {
    const [id] = connection.split('#');
    const database = this.databases.find(known => known.id === id);
    const homes = HOMES[customer];
    return !homes || (database !== undefined && homes.includes(database.zone));
  }

  /** Cuts a front off from the store and all other fronts, silently. */
  async isolate(front: FrontProcess, durationMs: number): Promise<void> {
    const all = [...this.fronts, ...this.spares];
    const reader = all.indexOf(front);
    const others = all.filter(other => other !== front);
    this.store.silentHosts.add(front.platformHost);
    front.silencePeersAt(front.peerHosts);
    for (const other of others) other.silencePeersAt([other.peerHosts[reader]]);
    await new Promise(resolve => setTimeout(resolve, durationMs));
    this.store.silentHosts.delete(front.platformHost);
    front.restorePeersAt(front.peerHosts);
    for (const other of others) other.restorePeersAt([other.peerHosts[reader]]);
  }

  /** The front that holds the coordinator lease, according to the store. */
  get leaseHolder(): FrontProcess | undefined {
    const item = this.store.get(`${FLEET_PREFIX}duty`);
    const name = item && Buffer.from(item.value, 'base64').toString();
    return [...this.fronts, ...this.spares].find(
      front => front.name === name && front.isRunning,
    );
  }

  /**
   * Waits until a write of each service is acknowledged and no replica is
   * paused. Resolves to the services that have not recovered in time.
   */
  async unrecoveredServices(limitMs: number): Promise<string[]> {
    const endMs = performance.now() + limitMs;
    const results = await Promise.all(
      this.groups.map(async group => {
        while (performance.now() < endMs) {
          // A pause concerns replicas only, and ends with the next promotion.
          const isPaused = group.databases.some(
            database => database.isPaused && !database.isPrimary,
          );
          if (!isPaused && (await this.canWrite(group.service))) return [];
          await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
        }
        return [group.service];
      }),
    );
    return results.flat();
  }

  private async canWrite(service: string): Promise<boolean> {
    const [{host, callerPort}] = this.fronts;
    const {client, answer} = await WireClient.start(
      callerPort,
      `${service}-primary`,
      `${CUSTOMERS[0]}-key`,
      host,
    );
    const written =
      answer.state === 'I' ? await client.query('WRITE recovery v') : answer;
    client.close();
    return written.done !== undefined;
  }

  /** Waits until each service has a primary that runs. */
  async untilLed(): Promise<void> {
    await until(
      () => this.groups.every(({primary}) => primary?.isRunning),
      START_LIMIT_MS,
    );
  }

  async stop(): Promise<void> {
    const processes = [...this.fronts, ...this.spares];
    await Promise.all(processes.map(front => front.close()));
    for (const group of this.groups) await group.stop();
    await this.store.stop();
    await this.network.release();
  }

  private async untilReady(): Promise<void> {
    const endMs = performance.now() + START_LIMIT_MS;
    for (const front of this.fronts) {
      while (!(await front.isReady())) {
        if (performance.now() > endMs) {
          await this.stop();
          throw new Error(`${front.name} is not ready`);
        }
        await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
      }
    }
  }
}
