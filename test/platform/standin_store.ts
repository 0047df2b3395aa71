/** A stand-in of the platform's store and of its promotion endpoint. */
import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Copies} from '../../src/standin/copies.js';
import {StandinGroup} from './standin_database.js';
import {StandinPromotions} from './standin_promotions.js';

interface Item {
  readonly key: string;
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease_id: number;
}

type ItemEvent = Item | {key: string; revision: number; tombstone: true};

/** Everything that a restore from a copy brings back. */
interface StoreState {
  readonly revision: number;
  readonly items: ReadonlyMap<string, Item>;
  readonly events: readonly ItemEvent[];
  /** Durations of the leases by id. */
  readonly leaseTtlsMs: ReadonlyMap<number, number>;
}

interface Transaction {
  readonly expected_rev: ReadonlyArray<{key: string; revision: number}>;
  readonly writes: ReadonlyArray<{
    key: string;
    value: string;
    lease_id: number;
  }>;
  readonly remove: readonly string[];
}

/**
 * How the server treats all requests, promotion orders included; set by tests.
 */
export const StoreFaultMode = {
  none: 'none',
  /** Responds with status 503. */
  busy: 'busy',
  /** Never responds. */
  silent: 'silent',
  /** Executes requests but closes the connection without a response. */
  dropsResponses: 'dropsResponses',
} as const;
export type StoreFaultMode =
  (typeof StoreFaultMode)[keyof typeof StoreFaultMode];

/** An in-memory store with watches and leases, served over HTTP. */
export class StandinStore {
  faultMode: StoreFaultMode = StoreFaultMode.none;
  requestCount = 0;
  watchCount = 0;
  port = 0;
  /** The platform's promotions, served at the same address. */
  readonly promotions: StandinPromotions;
  /**
   * Changes the text of items as clients read them; `host` is the address of the
   * store that the client uses.
   */
  rewriteOnRead: (key: string, text: string, host: string) => string = (
    _,
    text,
  ) => text;
  /** Addresses at which it does not respond. */
  readonly silentHosts = new Set<string>();
  private revision = 1;
  private compactedRevision = 0;
  private readonly items = new Map<string, Item>();
  private events: ItemEvent[] = [];
  /** How often the store was restored, counted from 1. */
  private era = 1;
  private readonly copies = Copies.create<StoreState, string>();
  private readonly leases = new Map<
    number,
    {ttlMs: number; timer: NodeJS.Timeout}
  >();
  private readonly watchers = new Set<() => void>();
  private servers: Server[] = [];
  private leaseCount = 0;

  private constructor(private readonly groups: readonly StandinGroup[]) {
    this.promotions = new StandinPromotions(groups);
  }

  static async start(
    groups: readonly StandinGroup[],
    hosts: readonly string[] = ['127.0.0.1'],
  ): Promise<StandinStore> {
    const store = new StandinStore(groups);
    for (const host of hosts) {
      const server = createServer((request, response) =>
        store.handleRequest(request, response),
      );
      await new Promise<void>(resolve =>
        server.listen(store.port, host, resolve),
      );
      store.port = (server.address() as {port: number}).port;
      store.servers.push(server);
    }
    for (const group of groups)
      group.onRoleChange = () => store.registerDatabases();
    store.registerDatabases();
    return store;
  }

  /**
   * Writes an item in place of the operator or a database, without a request.
   */
  put(key: string, value: unknown, leaseId = 0): void {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    const encoded = Buffer.from(text).toString('base64');
    this.write(key, encoded, leaseId);
    this.copies.recordRepeated(key, encoded);
    this.notifyWatchers();
  }

  /** Removes an item in place of the operator or a database. */
  remove(key: string): void {
    this.delete(key);
    this.copies.recordRepeated(key, undefined);
  }

  /**
   * Replaces the state by that of `ageMs` ago, as after an outage. Items that
   * the operator or a database wrote since are written again. Connections are
   * cut.
   */
  restore(ageMs: number): void {
    const {state, repeated} = this.copies.restore(ageMs);
    for (const {timer} of this.leases.values()) clearTimeout(timer);
    this.leases.clear();
    this.era++;
    this.revision = state.revision;
    this.items.clear();
    for (const [key, item] of state.items) this.items.set(key, item);
    this.events = [...state.events];
    for (const [id, ttlMs] of state.leaseTtlsMs) this.addLease(id, ttlMs);
    for (const [key, value] of repeated) {
      if (value === undefined) this.delete(key);
      else if (this.items.get(key)?.value !== value) this.write(key, value, 0);
    }
    this.watchers.clear();
    for (const server of this.servers) server.closeAllConnections();
  }

  get(key: string): Item | undefined {
    return this.items.get(key);
  }

  /** Writes the registration entries that differ from the stored ones. */
  registerDatabases(): void {
    for (const group of this.groups) {
      for (const database of group.databases) {
        if (!database.reachesStore) continue;
        const key = `servers/${database.id}`;
        const value = JSON.stringify(database.registrationEntry());
        const known = this.items.get(key);
        const isUnchanged =
          known && Buffer.from(known.value, 'base64').toString() === value;
        if (!isUnchanged) this.put(key, value);
      }
    }
  }

  /** Discards the history: watches from older revisions get status 410. */
  compact(): void {
    this.compactedRevision = this.revision;
    this.events = [];
    this.notifyWatchers();
  }

  async stop(): Promise<void> {
    for (const {timer} of this.leases.values()) clearTimeout(timer);
    for (const server of this.servers) {
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    }
  }

  private write(key: string, value: string, leaseId: number): void {
    this.revision++;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = {
      key,
      value,
      revision: this.revision,
      created,
      lease_id: leaseId,
    };
    this.items.set(key, item);
    this.events.push(item);
    this.recordCopy();
  }

  private delete(key: string): void {
    if (!this.items.delete(key)) return;
    this.revision++;
    this.events.push({key, revision: this.revision, tombstone: true});
    this.recordCopy();
    this.notifyWatchers();
  }

  private recordCopy(): void {
    const leaseTtlsMs = new Map(
      [...this.leases].map(([id, {ttlMs}]) => [id, ttlMs] as const),
    );
    this.copies.record({
      revision: this.revision,
      items: new Map(this.items),
      events: [...this.events],
      leaseTtlsMs,
    });
  }

  private notifyWatchers(): void {
    for (const watcher of [...this.watchers]) watcher();
  }

  private handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    this.requestCount++;
    const host = String(request.socket.localAddress);
    const isSilent = this.silentHosts.has(host);
    if (isSilent || this.faultMode === StoreFaultMode.silent) return;
    if (this.faultMode === StoreFaultMode.busy) {
      response.statusCode = 503;
      response.setHeader('store-era', this.era);
      return void response.end();
    }
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      const body = text === '' ? {} : (JSON.parse(text) as object);
      const url = new URL(request.url ?? '/', 'http://store');
      this.route(request, url, body, host, (status, answer) => {
        if (this.silentHosts.has(host)) return;
        if (this.faultMode === StoreFaultMode.dropsResponses) {
          return void request.socket.destroy();
        }
        response.statusCode = status;
        response.setHeader('store-era', this.era);
        response.setHeader('content-type', 'application/json');
        response.end(JSON.stringify(answer));
      });
    });
  }

  private route(
    request: IncomingMessage,
    url: URL,
    body: object,
    host: string,
    answer: (status: number, body: object) => void,
  ): void {
    const path = `${request.method} ${url.pathname}`;
    const id = Number(url.pathname.split('/').pop());
    if (path === 'GET /-/kv-range') return this.range(url, host, answer);
    if (path === 'GET /-/kv-watch') return this.watch(url, host, answer);
    if (path === 'POST /-/kv-txn')
      return this.commitTransaction(body as Transaction, answer);
    if (path === 'POST /-/kv-lease') {
      return this.grantLease((body as {ttl_ms: number}).ttl_ms, answer);
    }
    if (path.startsWith('POST /-/kv-keep/')) return this.renewLease(id, answer);
    if (path.startsWith('DELETE /-/kv-lease-end/')) {
      this.endLease(id);
      return answer(200, {});
    }
    if (path === 'POST /promotion')
      return this.promotions.receive(request, body, answer);
    answer(404, {});
  }

  private range(
    url: URL,
    host: string,
    answer: (status: number, body: object) => void,
  ): void {
    const prefix = url.searchParams.get('prefix') ?? '';
    const after = url.searchParams.get('after') ?? '';
    const pageSize = 4;
    const found = [...this.items.values()]
      .filter(item => item.key.startsWith(prefix) && item.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    answer(200, {
      items: found.slice(0, pageSize).map(item => this.asRead(item, host)),
      has_more: found.length > pageSize,
      as_of: this.revision,
    });
  }

  private asRead(item: Item, host: string): Item {
    const text = Buffer.from(item.value, 'base64').toString();
    const rewritten = this.rewriteOnRead(item.key, text, host);
    if (rewritten === text) return item;
    return {...item, value: Buffer.from(rewritten).toString('base64')};
  }

  private watch(
    url: URL,
    host: string,
    answer: (status: number, body: object) => void,
  ): void {
    this.watchCount++;
    const after = Number(url.searchParams.get('after'));
    const waitMs = Number(url.searchParams.get('wait_ms'));
    const prefix = url.searchParams.get('prefix') ?? '';
    const timer = setTimeout(() => respond(true), waitMs);
    const respond = (isTimedOut: boolean): void => {
      const isKept = after >= this.compactedRevision && after <= this.revision;
      if (!isKept) return end(410, {});
      const events = this.events.filter(
        event => event.revision > after && event.key.startsWith(prefix),
      );
      if (events.length > 0 || isTimedOut)
        end(200, {
          events: events.map(event =>
            'value' in event ? this.asRead(event, host) : event,
          ),
          as_of: this.revision,
        });
    };
    const end = (status: number, body: object): void => {
      clearTimeout(timer);
      this.watchers.delete(check);
      answer(status, body);
    };
    const check = (): void => respond(false);
    this.watchers.add(check);
    check();
  }

  private commitTransaction(
    transaction: Transaction,
    answer: (status: number, body: object) => void,
  ): void {
    const hasConflict = transaction.expected_rev.some(
      expected =>
        (this.items.get(expected.key)?.revision ?? 0) !== expected.revision,
    );
    if (hasConflict) return answer(412, {items: []});
    const hasUnknownLease = transaction.writes.some(
      write => write.lease_id !== 0 && !this.leases.has(write.lease_id),
    );
    if (hasUnknownLease) return answer(404, {});
    for (const write of transaction.writes) {
      this.write(write.key, write.value, write.lease_id);
    }
    for (const key of transaction.remove) this.delete(key);
    this.notifyWatchers();
    answer(200, {revision: this.revision});
  }

  private grantLease(
    ttlMs: number,
    answer: (status: number, body: object) => void,
  ): void {
    const id = ++this.leaseCount;
    this.addLease(id, ttlMs);
    this.recordCopy();
    answer(200, {lease_id: id, ttl_ms: ttlMs});
  }

  private addLease(id: number, ttlMs: number): void {
    const timer = setTimeout(() => this.endLease(id), ttlMs);
    this.leases.set(id, {ttlMs, timer});
  }

  private renewLease(
    id: number,
    answer: (status: number, body: object) => void,
  ): void {
    const lease = this.leases.get(id);
    if (!lease) return answer(404, {});
    lease.timer.refresh();
    answer(200, {ttl_ms: lease.ttlMs});
  }

  private endLease(id: number): void {
    const lease = this.leases.get(id);
    if (!lease) return;
    clearTimeout(lease.timer);
    this.leases.delete(id);
    this.recordCopy();
    for (const item of [...this.items.values()]) {
      if (item.lease_id === id) this.delete(item.key);
    }
  }
}
