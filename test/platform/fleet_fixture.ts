/** Fixtures: fronts on stand-ins of the platform, and a client for them. */
import {connect, createServer, Socket} from 'node:net';
import {PassThrough} from 'node:stream';
import {threadId} from 'node:worker_threads';
import {createPorts} from '../../platform/ports.js';
import {Front} from '../../src/front/front.js';
import {FrontSettings} from '../../src/front/front_settings.js';
import {createJsonLog, LogWriter} from '../../src/front/json_log.js';
import {StandinGroup} from './standin_database.js';
import {StandinStore} from './standin_store.js';

export const ZONES = ['norte', 'puerto', 'parque'] as const;
const HOST = '127.0.0.1';
const HALF_OPEN_SOCKET_MS = 200;

/** Configuration in the operator's wire format. */
export interface OperatorConfig {
  version: number;
  routes: Array<Record<string, unknown>>;
  services: Array<Record<string, unknown>>;
  limits: Record<string, unknown>;
  tenants: Array<Record<string, unknown>>;
}

/** Returns a configuration of two customers and one route of each kind. */
export function operatorConfig(
  service: string,
  overrides: Partial<OperatorConfig> = {},
): OperatorConfig {
  const route = (kind: string, priority: number): Record<string, unknown> => ({
    name: `r-${kind}`,
    host: kind,
    prefix: '/',
    kind,
    timeout_ms: 800,
    slo_ms: 600,
    priority,
    service,
    max_attempts: 2,
    max_staleness_ms: 1_500,
    public: false,
  });
  const tenant = (name: string): Record<string, unknown> => ({
    name,
    api_keys: [`${name}-key`],
    priority: 1,
    rate_per_s: 500,
    burst: 500,
  });
  return {
    version: 1,
    routes: [
      route('primary', 1),
      route('bounded', 2),
      route('read_your_writes', 2),
    ],
    services: [{name: service, max_conns: 16, sync_replicas: 1}],
    limits: {tx_idle_ms: 400},
    tenants: [tenant('ana'), tenant('bea')],
    ...overrides,
  };
}

/**
 * First port of all port ranges, which lie below the usual ports of outgoing
 * connections.
 */
const FIRST_PORT = 12_000;
const PORTS_PER_THREAD = 400;
const PORT_RANGES = 40;
let nextPort = 0;

/**
 * Returns a port that nothing listens on. Test files run in parallel threads
 * and each thread has its own port range, as another file could take a port
 * between its check here and its use.
 */
export async function freePort(): Promise<number> {
  for (;;) {
    const range = FIRST_PORT + (threadId % PORT_RANGES) * PORTS_PER_THREAD;
    const port = range + (nextPort++ % PORTS_PER_THREAD);
    if (await isFree(port)) return port;
  }
}

const isFree = (port: number): Promise<boolean> =>
  new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });

/** A started front; `events` reads the log that `writer` writes. */
export interface RunningFront {
  readonly front: Front;
  readonly settings: FrontSettings;
  readonly writer: LogWriter;
  /** Returns the events of one kind that were logged so far. */
  events(kind: string): Array<Record<string, unknown>>;
}

/** Starts a front on free ports; `overrides` replace its settings. */
export async function startFront(
  name: string,
  zone: string,
  store: StandinStore,
  overrides: Partial<FrontSettings> = {},
): Promise<RunningFront> {
  const settings: FrontSettings = {
    vm: name,
    host: HOST,
    place: {zone, region: zone},
    regionOfZone: new Map(ZONES.map(z => [z, z])),
    callerAddress: {host: HOST, port: await freePort()},
    readyAddress: {host: HOST, port: await freePort()},
    peerPort: await freePort(),
    storeAddress: {host: HOST, port: store.port},
    minLeaseMs: 500,
    promotionAddress: {host: HOST, port: store.port},
    heartbeatIntervalMs: 1_000,
    keyRevocationMs: 5_000,
    shutdownGraceMs: 3_000,
    isFenced: true,
    isFirstStart: true,
    ...overrides,
  };
  const output = new PassThrough();
  const lines: Array<Record<string, unknown>> = [];
  output.on('data', (chunk: Buffer) => {
    for (const line of chunk.toString().split('\n')) {
      if (line !== '') lines.push(JSON.parse(line) as Record<string, unknown>);
    }
  });
  const writer = createJsonLog(name, output);
  const ports = createPorts(() => settings, undefined, writer.log);
  const front = await Front.start(settings, ports);
  return {
    front,
    settings,
    writer,
    events: kind => lines.filter(line => line.event === kind),
  };
}

/** A started fleet for one service; `stop` also stops databases and store. */
export interface Fleet {
  readonly group: StandinGroup;
  readonly store: StandinStore;
  readonly fronts: readonly RunningFront[];
  stop(): Promise<void>;
}

/** Starts one service of three databases and one front in each given zone. */
export async function startFleet(
  zones: readonly string[] = ['norte', 'puerto'],
  overrides: Partial<OperatorConfig> = {},
  coldStartMs = 0,
): Promise<Fleet> {
  const group = await StandinGroup.start('orders', ZONES, coldStartMs);
  const store = await StandinStore.start([group]);
  store.put('op/config', operatorConfig('orders', overrides));
  const fronts: RunningFront[] = [];
  for (const [index, zone] of zones.entries()) {
    fronts.push(await startFront(`front-${index + 1}`, zone, store));
  }
  await until(() => fronts.every(({front}) => front.isReady));
  return {
    group,
    store,
    fronts,
    stop: async () => {
      await Promise.all(fronts.map(({front}) => front.stop()));
      await group.stop();
      await store.stop();
    },
  };
}

/** Waits for a condition; rejects after `limitMs`. */
export async function until(
  condition: () => boolean,
  limitMs = 10_000,
): Promise<void> {
  const endMs = performance.now() + limitMs;
  while (!condition()) {
    if (performance.now() > endMs) throw new Error('condition not met');
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

/** Answer up to `READY`, or up to the end of the connection. */
export interface ClientAnswer {
  readonly rows: readonly string[];
  /** Signature in `DONE`; undefined unless the statement succeeded. */
  readonly done: string | undefined;
  readonly error: string | undefined;
  /** Session state `I`, `T` or `E`; empty when the connection ended. */
  readonly state: string;
}

/** A caller that speaks the platform's wire protocol. */
export class WireClient {
  private partialLine = '';
  private lines: string[] = [];
  private waiting: (() => void) | undefined;
  private hasEnded = false;
  private queryCount = 0;

  private constructor(readonly socket: Socket) {
    socket.on('data', chunk => {
      const lines = (this.partialLine + chunk.toString('latin1')).split('\r\n');
      this.partialLine = lines.pop() ?? '';
      this.lines.push(...lines);
      this.waiting?.();
    });
    const end = (): void => {
      this.hasEnded = true;
      this.waiting?.();
    };
    socket.on('end', () => {
      end();
      // Stays half open for a while, so that statements still reach the front.
      setTimeout(() => socket.destroy(), HALF_OPEN_SOCKET_MS);
    });
    socket.on('close', end);
    socket.on('error', end);
  }

  /** Connects and starts a session; `answer` tells whether it was accepted. */
  static async start(
    port: number,
    database: string,
    key: string,
    host = HOST,
  ): Promise<{client: WireClient; answer: ClientAnswer}> {
    const socket = connect({host, port, allowHalfOpen: true});
    const client = new WireClient(socket);
    client.send(`START ${database} ${key}`);
    return {client, answer: await client.readAnswer()};
  }

  send(line: string): void {
    this.socket.write(`${line}\r\n`, 'latin1');
  }

  /** Sends a statement; waits for `READY` or the end of the connection. */
  async query(
    text: string,
    id = `q${++this.queryCount}`,
  ): Promise<ClientAnswer> {
    if (this.hasEnded) throw new Error('connection has ended');
    this.send(`QUERY ${id} ${text}`);
    return this.readAnswer();
  }

  /** Waits for the answer to a message that was sent by `send`. */
  nextAnswer(): Promise<ClientAnswer> {
    return this.readAnswer();
  }

  get isEnded(): boolean {
    return this.hasEnded;
  }

  close(): void {
    this.socket.destroy();
  }

  private async readAnswer(): Promise<ClientAnswer> {
    const rows: string[] = [];
    let done: string | undefined;
    let error: string | undefined;
    for (;;) {
      const line = await this.readLine();
      if (line === undefined) return {rows, done, error, state: ''};
      const [word, ...rest] = line.split(' ');
      if (word === 'ROW') rows.push(rest.join(' '));
      if (word === 'DONE') done = rest[0];
      if (word === 'ERROR') error = rest.join(' ');
      if (word === 'READY') return {rows, done, error, state: rest[0]};
    }
  }

  private async readLine(): Promise<string | undefined> {
    while (this.lines.length === 0 && !this.hasEnded) {
      await new Promise<void>(resolve => (this.waiting = resolve));
    }
    return this.lines.shift();
  }
}

/** Connects to a front; rejects unless the session is accepted. */
export async function openSession(
  {settings}: RunningFront,
  database: string,
  key: string,
): Promise<WireClient> {
  const {port} = settings.callerAddress;
  const {client, answer} = await WireClient.start(port, database, key);
  if (answer.state !== 'I') throw new Error(`refused: ${answer.error}`);
  return client;
}
