/**
 * A stand-in for the platform's key-value service: the subset of etcd v3's
 * HTTP/JSON gateway that the product uses, with outages, slowness and lost
 * answers that tests switch on.
 */
import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';

interface Entry {
  value: string;
  modRevision: number;
}

/** Faults that can be switched on. */
export interface PlatformFaults {
  /** Drops every call. */
  isDown: boolean;
  /** Added to each answer. */
  delayMs: number;
  /** Applies this many changes and drops their answers. */
  responsesToDrop: number;
}

type Json = Record<string, any>; // eslint-disable-line @typescript-eslint/no-explicit-any

/** A running stand-in platform. */
export class StandinPlatform {
  readonly faults: PlatformFaults = {
    isDown: false,
    delayMs: 0,
    responsesToDrop: 0,
  };
  /** Calls served, by path. */
  readonly callsByPath: Record<string, number> = {};
  private readonly entries = new Map<string, Entry>();
  private readonly watchers = new Map<ServerResponse, string>();
  private revision = 1;

  private constructor(private readonly server: Server) {
    server.on('request', (req, res) => void this.serve(req, res));
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

  /** Watches that are waiting. */
  get watcherCount(): number {
    return this.watchers.size;
  }

  /** Writes a key directly, as the platform itself would. */
  put(key: string, value: string): void {
    this.revision++;
    this.entries.set(key, {value, modRevision: this.revision});
    this.notify(key);
  }

  get(key: string): string | undefined {
    return this.entries.get(key)?.value;
  }

  /** Starts or ends an outage; watches break with it. */
  setDown(down: boolean): void {
    this.faults.isDown = down;
    if (!down) return;
    for (const watcher of this.watchers.keys()) watcher.destroy();
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const body = await readBody(req);
    const path = req.url ?? '';
    if (this.faults.isDown) return void res.destroy();
    this.callsByPath[path] = (this.callsByPath[path] ?? 0) + 1;
    await new Promise(resolve => setTimeout(resolve, this.faults.delayMs));
    if (this.faults.isDown) return void res.destroy();
    this.answer(path, body, res);
  }

  private answer(path: string, body: Json, res: ServerResponse): void {
    switch (path) {
      case '/v3/kv/range':
        return this.reply(res, this.range(body));
      case '/v3/kv/txn':
        return this.replyToChange(res, this.transact(body));
      case '/v3/watch':
        return this.addWatcher(body, res);
      default:
        res.statusCode = 404;
        res.end();
    }
  }

  private reply(res: ServerResponse, answer: Json): void {
    res.end(JSON.stringify({header: this.header(), ...answer}));
  }

  private replyToChange(res: ServerResponse, answer: Json): void {
    if (this.faults.responsesToDrop > 0) {
      this.faults.responsesToDrop--;
      res.destroy();
      return;
    }
    this.reply(res, answer);
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
        this.put(decode(put.key), decode(put.value));
      }
    }
    return {succeeded};
  }

  private addWatcher(body: Json, res: ServerResponse): void {
    this.watchers.set(res, decode(body.create_request.key));
    res.once('close', () => this.watchers.delete(res));
    res.write(JSON.stringify({result: {created: true}}) + '\n');
  }

  private notify(key: string): void {
    const entry = this.entries.get(key);
    if (!entry) return;
    const event = {type: 'PUT', kv: this.encodeEntry(key, entry)};
    for (const [res, watched] of this.watchers) {
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
