/** Fixtures: fronts over stand-ins of the platform, and a client of theirs. */
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
const HALF_OPEN_MS = 200;

/** A configuration as the operator writes it. */
export interface OperatorConfig {
  version: number;
  routes: Array<Record<string, unknown>>;
  services: Array<Record<string, unknown>>;
  limits: Record<string, unknown>;
  tenants: Array<Record<string, unknown>>;
}

/** Two customers and a route of each kind to one service. */
export function operatorConfig(
  service: string,
  changes: Partial<OperatorConfig> = {},
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
    ...changes,
  };
}

/** Ports below those that the system gives to outgoing connections. */
const FIRST_PORT = 12_000;
const PORTS_A_THREAD = 400;
const THREADS = 40;
let nextPort = 0;

/**
 * A port that nothing listens on. Test files run side by side: each has a range
 * of its own, as a port that was only probed could be taken by another.
 */
export async function freePort(): Promise<number> {
  for (;;) {
    const range = FIRST_PORT + (threadId % THREADS) * PORTS_A_THREAD;
    const port = range + (nextPort++ % PORTS_A_THREAD);
    if (await isFree(port)) return port;
  }
}

const isFree = (port: number): Promise<boolean> =>
  new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, HOST, () => server.close(() => resolve(true)));
  });

/** A front with its log. */
export interface RunningFront {
  readonly front: Front;
  readonly settings: FrontSettings;
  readonly writer: LogWriter;
  /** Events logged so far, of one kind. */
  events(kind: string): Array<Record<string, unknown>>;
}

/** Starts one front of a zone. */
export async function startFront(
  name: string,
  zone: string,
  store: StandinStore,
  changes: Partial<FrontSettings> = {},
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
    ...changes,
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

/** A service, a store and fronts. */
export interface Fleet {
  readonly group: StandinGroup;
  readonly store: StandinStore;
  readonly fronts: readonly RunningFront[];
  stop(): Promise<void>;
}

/** Starts one service of three databases and one front in each given zone. */
export async function startFleet(
  zones: readonly string[] = ['norte', 'puerto'],
  changes: Partial<OperatorConfig> = {},
): Promise<Fleet> {
  const group = await StandinGroup.start('orders', ZONES);
  const store = await StandinStore.start([group]);
  store.put('op/config', operatorConfig('orders', changes));
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

/** Waits for a condition; fails after a bound. */
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

/** What a client got for one statement. */
export interface ClientAnswer {
  readonly rows: readonly string[];
  /** Signature of a success. */
  readonly done: string | undefined;
  readonly error: string | undefined;
  /** `I`, `T` or `E`; empty when the connection ended. */
  readonly state: string;
}

/** A caller that speaks the platform's wire. */
export class WireClient {
  private rest = '';
  private lines: string[] = [];
  private waiting: (() => void) | undefined;
  private ended = false;
  private queries = 0;

  private constructor(readonly socket: Socket) {
    socket.on('data', chunk => {
      const lines = (this.rest + chunk.toString('latin1')).split('\r\n');
      this.rest = lines.pop() ?? '';
      this.lines.push(...lines);
      this.waiting?.();
    });
    const end = (): void => {
      this.ended = true;
      this.waiting?.();
    };
    socket.on('end', () => {
      end();
      // Until then the other side still gets what was sent meanwhile.
      setTimeout(() => socket.destroy(), HALF_OPEN_MS);
    });
    socket.on('close', end);
    socket.on('error', end);
  }

  /** Connects and starts a session. */
  static async start(
    port: number,
    database: string,
    key: string,
  ): Promise<{client: WireClient; answer: ClientAnswer}> {
    const socket = connect({host: HOST, port, allowHalfOpen: true});
    const client = new WireClient(socket);
    client.send(`START ${database} ${key}`);
    return {client, answer: await client.answer()};
  }

  send(line: string): void {
    this.socket.write(`${line}\r\n`, 'latin1');
  }

  /** Sends a statement and waits for its whole answer. */
  async query(text: string, id = `q${++this.queries}`): Promise<ClientAnswer> {
    if (this.ended) throw new Error('connection has ended');
    this.send(`QUERY ${id} ${text}`);
    return this.answer();
  }

  get isEnded(): boolean {
    return this.ended;
  }

  close(): void {
    this.socket.destroy();
  }

  private async answer(): Promise<ClientAnswer> {
    const rows: string[] = [];
    let done: string | undefined;
    let error: string | undefined;
    for (;;) {
      const line = await this.line();
      if (line === undefined) return {rows, done, error, state: ''};
      const [word, ...rest] = line.split(' ');
      if (word === 'ROW') rows.push(rest.join(' '));
      if (word === 'DONE') done = rest[0];
      if (word === 'ERROR') error = rest.join(' ');
      if (word === 'READY') return {rows, done, error, state: rest[0]};
    }
  }

  private async line(): Promise<string | undefined> {
    while (this.lines.length === 0 && !this.ended) {
      await new Promise<void>(resolve => (this.waiting = resolve));
    }
    return this.lines.shift();
  }
}

/** Connects to a front; fails unless the session is accepted. */
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
