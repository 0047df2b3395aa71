/**
 * A stand-in for the platform's key-value store: the subset of etcd v3's
 * HTTP/JSON gateway that the proxies use, with outages, delays, lost responses
 * and restores from a copy that tests switch on.
 */
import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {Copies} from './copies.js';

interface Entry {
  value: string;
  modRevision: number;
}

/** Everything that a restore from a copy brings back. */
interface PlatformState {
  readonly revision: number;
  readonly entries: ReadonlyMap<string, Entry>;
}

/** Faults that tests switch on and off while the platform runs. */
export interface PlatformFaults {
  /** Destroys the connection of every request. */
  isDown: boolean;
  /** Delay of each response. */
  delayMs: number;
  /** Number of coming transactions that are executed but get no response. */
  responsesToDrop: number;
}

type Json = Record<string, any>; // eslint-disable-line @typescript-eslint/no-explicit-any

/** Serves an in-memory key-value store over HTTP. */
export class StandinPlatform {
  readonly faults: PlatformFaults = {
    isDown: false,
    delayMs: 0,
    responsesToDrop: 0,
  };
  /** Number of requests by URL path, without those that arrive in an outage. */
  readonly callsByPath: Record<string, number> = {};
  private readonly entries = new Map<string, Entry>();
  /** The watched key of each open watch response. */
  private readonly watchedKeys = new Map<ServerResponse, string>();
  private revision = 1;
  private readonly copies = Copies.create<PlatformState, string>();

  private constructor(private readonly server: Server) {
    server.on('request', (req, res) => void this.handleRequest(req, res));
  }

  static async create(options: {port?: number} = {}): Promise<StandinPlatform> {
    const server = createServer();
    const platform = new StandinPlatform(server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port ?? 0, '127.0.0.1', resolve);
    });
    return platform;
  }

  get url(): string {
    const address = this.server.address();
    const port = typeof address === 'object' && address ? address.port : 0;
    return `http://127.0.0.1:${port}`;
  }

  get totalCalls(): number {
    return Object.values(this.callsByPath).reduce((sum, n) => sum + n, 0);
  }

  get watcherCount(): number {
    return this.watchedKeys.size;
  }

  /** Writes a key without a request, as the platform does for its VM list. */
  put(key: string, value: string): void {
    this.copies.recordRepeated(key, value);
    this.write(key, value);
  }

  get(key: string): string | undefined {
    return this.entries.get(key)?.value;
  }

  /** Starts or ends an outage; the start also closes all watches. */
  setDown(down: boolean): void {
    this.faults.isDown = down;
    if (!down) return;
    for (const watcher of this.watchedKeys.keys()) watcher.destroy();
  }

  /**
   * Replaces the state by that of `ageMs` ago, as a restore from a snapshot
   * does: revisions are given out again, and all watches are closed. Keys that
   * were written without a request are written again.
   */
  restore(ageMs: number): void {
    const {state, repeated} = this.copies.restore(ageMs);
    for (const watcher of this.watchedKeys.keys()) watcher.destroy();
    this.revision = state.revision;
    this.entries.clear();
    for (const [key, entry] of state.entries) this.entries.set(key, entry);
    for (const [key, value] of repeated) {
      if (value !== undefined && this.get(key) !== value)
        this.write(key, value);
    }
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private write(key: string, value: string): void {
    this.revision++;
    this.entries.set(key, {value, modRevision: this.revision});
    const entries = new Map(this.entries);
    this.copies.record({revision: this.revision, entries});
    this.notify(key);
  }

  private async handleRequest(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await readBody(req);
    const path = req.url ?? '';
    if (this.faults.isDown) return void res.destroy();
    this.callsByPath[path] = (this.callsByPath[path] ?? 0) + 1;
    await new Promise(resolve => setTimeout(resolve, this.faults.delayMs));
    if (this.faults.isDown) return void res.destroy();
    this.routeRequest(path, body, res);
  }

  private routeRequest(path: string, body: Json, res: ServerResponse): void {
    switch (path) {
      case '/v3/kv/range':
        return this.respond(res, this.range(body));
      case '/v3/kv/txn':
        return this.respondToTransaction(res, this.transact(body));
      case '/v3/watch':
        return this.addWatcher(body, res);
      default:
        res.statusCode = 404;
        res.end();
    }
  }

  private respond(res: ServerResponse, answer: Json): void {
    res.end(JSON.stringify({header: this.header(), ...answer}));
  }

  private respondToTransaction(res: ServerResponse, answer: Json): void {
    if (this.faults.responsesToDrop > 0) {
      this.faults.responsesToDrop--;
      res.destroy();
      return;
    }
    this.respond(res, answer);
  }

  private header(): Json {
    return {revision: String(this.revision)};
  }

  private range(body: Json): Json {
    const key = decode(body.key);
    const entry = this.entries.get(key);
    return entry ? {kvs: [this.encodeEntry(key, entry)], count: '1'} : {};
  }

  private transact(body: Json): Json {
    const compares: Json[] = body.compare ?? [];
    const succeeded = compares.every(
      compare =>
        (this.entries.get(decode(compare.key))?.modRevision ?? 0) ===
        Number(compare.mod_revision ?? 0),
    );
    if (succeeded) {
      for (const {request_put: put} of body.success ?? []) {
        this.write(decode(put.key), decode(put.value));
      }
    }
    return {succeeded};
  }

  private addWatcher(body: Json, res: ServerResponse): void {
    this.watchedKeys.set(res, decode(body.create_request.key));
    res.once('close', () => this.watchedKeys.delete(res));
    res.write(JSON.stringify({result: {created: true}}) + '\n');
  }

  private notify(key: string): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    const event = {type: 'PUT', kv: this.encodeEntry(key, entry)};
    for (const [res, watched] of this.watchedKeys) {
      if (watched !== key) continue;
      res.write(JSON.stringify({result: {events: [event]}}) + '\n');
    }
  }

  private encodeEntry(key: string, entry: Entry): Json {
    return {
      key: encode(key),
      value: encode(entry.value),
      mod_revision: String(entry.modRevision),
    };
  }
}

const encode = (text: string): string => Buffer.from(text).toString('base64');
const decode = (text: string): string =>
  Buffer.from(text, 'base64').toString('utf8');

async function readBody(req: IncomingMessage): Promise<Json> {
  let text = '';
  for await (const chunk of req) text += String(chunk);
  return JSON.parse(text || '{}') as Json;
}
