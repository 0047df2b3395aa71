/**
 * A small fleet in one process for the demo, tests and benchmarks: a stand-in
 * platform, stand-in database groups and real proxies, connected over loopback
 * sockets.
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

/** A customer with defaults for omitted fields; its key is `key-<name>`. */
export type LocalFleetCustomer = Partial<CustomerConfig> & {
  readonly name: string;
};

/** A service and its group, with defaults for omitted fields. */
export type LocalFleetService = Partial<
  GroupOptions & Omit<ServiceConfig, 'databases'>
> & {
  /**
   * Returns whether the database at an index is marked as leaving (about to be
   * removed from its group) when the fleet starts.
   */
  readonly isLeaving?: (index: number) => boolean;
};

export interface LocalFleetOptions {
  /** Number of proxies that start with the fleet. */
  readonly proxies: number;
  readonly services?: readonly LocalFleetService[];
  readonly customers?: readonly LocalFleetCustomer[];
  /** Settings of every proxy; they override the fleet's defaults. */
  readonly flags?: Readonly<Record<string, unknown>>;
  readonly hooks?: ProxyHooks;
}

/** Password of the proxies at the databases of every local fleet. */
export const LOCAL_FLEET_BACKEND_PASSWORD = 'backend-password';
export const LOCAL_FLEET_OPERATOR_KEY = 'operator-key';
const PLACES = [
  {region: 'sierra', zone: 'sierra-a'},
  {region: 'sierra', zone: 'sierra-b'},
  {region: 'costa', zone: 'costa-a'},
] as const;
const POLL_INTERVAL_MS = 20;
const DEFAULT_WAIT_TIMEOUT_MS = 20_000;

/** Returns the key that a customer logs in with. */
export const customerKeyOf = (customer: string): string => `key-${customer}`;

/** Runs a stand-in platform, database groups and proxies. */
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
    const fleet = new LocalFleet(options, await StandinPlatform.create());
    await fleet.startGroups();
    fleet.publishConfig();
    for (let i = 0; i < options.proxies; i++) await fleet.startProxy(i);
    fleet.publishVms();
    await fleet.waitUntilReady();
    return fleet;
  }

  group(service: string): StandinGroup {
    const group = this.groups.get(service);
    if (!group) throw new Error(`service "${service}" has no database group`);
    return group;
  }

  /** Returns a client for a proxy; it is not connected yet. */
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

  /** Starts a proxy named `vm-<index + 1>`; `flags` override the fleet's. */
  async startProxy(
    index: number,
    flags: Readonly<Record<string, unknown>> = {},
  ): Promise<Proxy> {
    const place = PLACES[index % PLACES.length];
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

  /**
   * Writes the platform's list of VMs, by which the proxies find each other.
   */
  publishVms(proxies: readonly Proxy[] = this.proxies): void {
    const list = proxies.map(proxy => {
      const index = this.proxies.indexOf(proxy);
      return {
        vm: `vm-${index + 1}`,
        host: '127.0.0.1',
        peerPort: proxy.peerPort,
        ...PLACES[index % PLACES.length],
      };
    });
    this.platform.put(StoreKey.vms, JSON.stringify(list));
  }

  /**
   * Sends an HTTP request to the operator API of the proxy at an index. Returns
   * the status and the JSON body of the response.
   */
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

  /**
   * Plans and confirms a configuration change at the proxy at an index. Returns
   * the version of the new configuration.
   */
  async applyActions(
    proxy: number,
    actions: readonly object[],
  ): Promise<number> {
    const plan = await this.callOperatorPort(proxy, 'POST', '/plan', {actions});
    if (plan.status !== 200) throw new Error(JSON.stringify(plan.body));
    const confirmed = await this.callOperatorPort(proxy, 'POST', '/confirm', {
      planId: plan.body.id,
    });
    if (confirmed.status !== 200)
      throw new Error(JSON.stringify(confirmed.body));
    return Number(confirmed.body.version);
  }

  /** Waits until each proxy sees all others alive and each group's primary. */
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
    const aliveCount = dump.fleet.others.filter(
      o => o.status === 'alive',
    ).length;
    return (
      dump.ready &&
      aliveCount >= this.proxies.length - 1 &&
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
        places: PLACES,
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
      serviceConfigOf(group, this.options.services?.[index] ?? {}),
    );
    const names = services.map(service => service.name);
    const customers = (this.options.customers ?? [{name: 'villacres'}]).map(
      customer => customerConfigOf(customer, names),
    );
    const config: Config = {version: 1, services, customers, history: []};
    this.platform.put(StoreKey.config, JSON.stringify(config));
  }
}

function serviceConfigOf(
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

const customerConfigOf = (
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

/** Polls a condition until it is true; throws an error after the timeout. */
export async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  timeoutMs = DEFAULT_WAIT_TIMEOUT_MS,
): Promise<void> {
  const deadlineMs = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > deadlineMs) throw new Error('condition not met in time');
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
