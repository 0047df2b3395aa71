/**
 * A small fleet in one process: a stand-in platform, stand-in groups and real
 * proxies, joined over loopback sockets. For the demo, tests and benchmarks.
 */
import pg from 'pg';
import {
  Config,
  CustomerConfig,
  digestKey,
  ServiceConfig,
} from '../core/config.js';
import {StoreKey} from '../store/store.js';
import {Lifecycle} from '../proxy/lifecycle.js';
import {Proxy, ProxyHooks} from '../proxy/proxy.js';
import {resolveSettings} from '../proxy/settings.js';
import {GroupOptions, StandinGroup} from './group.js';
import {StandinPlatform} from './platform.js';

/** A customer of a scene; its key is `key-<name>`. */
export type LocalFleetCustomer = Partial<CustomerConfig> & {
  readonly name: string;
};

/** A service of a scene. */
export type LocalFleetService = Partial<GroupOptions & ServiceConfig> & {
  /** Whether a database is leaving from the start, by index. */
  readonly isLeaving?: (index: number) => boolean;
};

/** What to build. */
export interface LocalFleetOptions {
  readonly proxies: number;
  readonly services?: readonly LocalFleetService[];
  readonly customers?: readonly LocalFleetCustomer[];
  /** Flags for every proxy. */
  readonly flags?: Readonly<Record<string, unknown>>;
  readonly hooks?: ProxyHooks;
}

/** Credentials that scenes use. */
export const LOCAL_FLEET_BACKEND_PASSWORD = 'backend-password';
export const LOCAL_FLEET_OPERATOR_KEY = 'operator-key';
const SCENE_PLACES = [
  {region: 'sierra', zone: 'sierra-a'},
  {region: 'sierra', zone: 'sierra-b'},
  {region: 'costa', zone: 'costa-a'},
] as const;
const READY_POLL_MS = 20;
const READY_TIMEOUT_MS = 20_000;

/** The key of a scene's customer. */
export const customerKeyOf = (customer: string): string => `key-${customer}`;

/** A running scene. */
export class LocalFleet {
  private readonly lifecycle = Lifecycle.create();
  readonly groups = new Map<string, StandinGroup>();
  readonly proxies: Proxy[] = [];

  private constructor(
    readonly options: LocalFleetOptions,
    readonly platform: StandinPlatform,
  ) {
    this.lifecycle.own(platform, p => p.close());
  }

  static async create(options: LocalFleetOptions): Promise<LocalFleet> {
    const scene = new LocalFleet(options, await StandinPlatform.create());
    await scene.startGroups();
    scene.publishConfig();
    for (let i = 0; i < options.proxies; i++) await scene.startProxy(i);
    scene.publishVms();
    await scene.waitUntilReady();
    return scene;
  }

  group(service: string): StandinGroup {
    const group = this.groups.get(service);
    if (!group) throw new Error(`no group ${service}`);
    return group;
  }

  /** An unconnected client of one proxy. */
  createClient(
    proxy: number,
    customer: string,
    service: string,
    extra: pg.ClientConfig = {},
  ): pg.Client {
    const client = new pg.Client({
      host: '127.0.0.1',
      port: this.proxies[proxy].callerPort,
      user: customer,
      password: customerKeyOf(customer),
      database: service,
      ...extra,
    });
    client.on('error', () => undefined);
    return client;
  }

  /** Starts one more proxy. */
  async startProxy(
    index: number,
    flags: Readonly<Record<string, unknown>> = {},
  ): Promise<Proxy> {
    const place = SCENE_PLACES[index % SCENE_PLACES.length];
    const resolved = resolveSettings(
      {
        vm: `vm-${index + 1}`,
        ...place,
        callerPort: 0,
        peerPort: 0,
        operatorPort: 0,
        platformUrl: this.platform.url,
        fleetSecrets: 'fleet-secret',
        operatorKeys: `ana:${LOCAL_FLEET_OPERATOR_KEY},beto:${LOCAL_FLEET_OPERATOR_KEY}-2`,
        backendPassword: LOCAL_FLEET_BACKEND_PASSWORD,
        log: '',
        ...this.options.flags,
        ...flags,
      },
      {},
    );
    if (resolved.isErr()) throw new Error(resolved.error);
    const proxy = await Proxy.create(resolved.value, this.options.hooks);
    this.lifecycle.own(proxy, p => p.close());
    this.proxies.push(proxy);
    return proxy;
  }

  /** Tells the platform which VMs there are. */
  publishVms(proxies: readonly Proxy[] = this.proxies): void {
    const list = proxies.map(proxy => {
      const index = this.proxies.indexOf(proxy);
      return {
        vm: `vm-${index + 1}`,
        host: '127.0.0.1',
        peerPort: proxy.peerPort,
        ...SCENE_PLACES[index % SCENE_PLACES.length],
      };
    });
    this.platform.put(StoreKey.vms, JSON.stringify(list));
  }

  /** Calls a proxy's operators' port. */
  async callOperatorPort(
    proxy: number,
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
    key = LOCAL_FLEET_OPERATOR_KEY,
  ): Promise<{status: number; body: Record<string, unknown>}> {
    const url = `http://127.0.0.1:${this.proxies[proxy].operatorPort}${path}`;
    const response = await fetch(url, {
      method,
      headers: {authorization: `Bearer ${key}`},
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return {
      status: response.status,
      body: (await response.json()) as Record<string, unknown>,
    };
  }

  /** Plans and confirms an intent; returns the new version. */
  async applyActions(
    proxy: number,
    actions: readonly object[],
  ): Promise<number> {
    const plan = await this.callOperatorPort(proxy, 'POST', '/plan', {actions});
    if (plan.status !== 200) throw new Error(JSON.stringify(plan.body));
    const done = await this.callOperatorPort(proxy, 'POST', '/confirm', {
      planId: plan.body.id,
    });
    if (done.status !== 200) throw new Error(JSON.stringify(done.body));
    return Number(done.body.version);
  }

  /** Waits until every proxy knows all others and every service a primary. */
  async waitUntilReady(): Promise<void> {
    await waitUntil(() => this.proxies.every(proxy => this.isReady(proxy)));
  }

  close(): Promise<void> {
    return this.lifecycle.close();
  }

  private isReady(proxy: Proxy): boolean {
    const dump = proxy.dump() as {
      ready: boolean;
      fleet: {others: {status: string}[]};
      rates: {share: number};
      groups: {service: string; primary?: string}[];
    };
    const alive = dump.fleet.others.filter(o => o.status === 'alive').length;
    return (
      dump.ready &&
      alive >= this.proxies.length - 1 &&
      dump.rates.share > 0 &&
      dump.groups.every(group => group.primary !== undefined)
    );
  }

  private async startGroups(): Promise<void> {
    for (const service of this.options.services ?? [{}]) {
      const name = service.service ?? service.name ?? 'order-books-1';
      const group = await StandinGroup.create({
        service: name,
        databases: 3,
        places: SCENE_PLACES,
        slots: 2,
        connections: 16,
        connectMs: 0,
        serviceTimeMs: 0,
        lagMs: 20,
        password: LOCAL_FLEET_BACKEND_PASSWORD,
        ...service,
      });
      this.groups.set(
        name,
        this.lifecycle.own(group, g => g.close()),
      );
    }
  }

  private publishConfig(): void {
    const services = [...this.groups.values()].map((group, index) =>
      serviceOf(group, this.options.services?.[index] ?? {}),
    );
    const names = services.map(service => service.name);
    const customers = (this.options.customers ?? [{name: 'villacres'}]).map(
      customer => customerOf(customer, names),
    );
    const config: Config = {version: 1, services, customers, history: []};
    this.platform.put(StoreKey.config, JSON.stringify(config));
  }
}

function serviceOf(
  group: StandinGroup,
  extra: LocalFleetService,
): ServiceConfig {
  const databases = group.databaseConfigs().map((database, index) => ({
    ...database,
    leaving: extra.isLeaving?.(index) ?? false,
  }));
  return {
    name: group.options.service,
    databases,
    slots: group.options.slots,
    connections: group.options.connections,
    writeAck: extra.writeAck ?? 'replica',
    open: extra.open ?? false,
  };
}

const customerOf = (
  customer: LocalFleetCustomer,
  services: readonly string[],
): CustomerConfig => ({
  services: [...services],
  ratePerS: 1_000_000,
  burst: 1_000_000,
  weight: 1,
  keys: [{id: 'first', digest: digestKey(customerKeyOf(customer.name))}],
  ...customer,
});

/** Polls until a condition holds. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMs = READY_TIMEOUT_MS,
): Promise<void> {
  const endsAtMs = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > endsAtMs) throw new Error('condition not met in time');
    await new Promise(resolve => setTimeout(resolve, READY_POLL_MS));
  }
}
