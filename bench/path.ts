/**
 * The cost of the path: direct to the stand-in, through the VM that owns the
 * pool, and through one hop. Each proxy and the stand-ins run on a thread of
 * their own, whose processor time the kernel counts.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {Config, DatabaseConfig, digestKey} from '../src/core/config.js';
import {ownerOf} from '../src/core/placement.js';
import {StoreKey} from '../src/store/store.js';
import {LoadTarget, openConnections, runLoad} from './load.js';
import {WorkerCost, WorkerQuestion, WorkerRole} from './worker.js';

type Say = (line: string) => void;

/** One row of the result. */
export interface PathRow {
  readonly via: 'direct' | 'local' | 'hop';
  readonly connections: number;
  readonly statements_per_s: number;
  readonly p50_ms: number;
  readonly p99_ms: number;
  readonly processor_us_per_statement: number;
  readonly errors: number;
}

const SERVICE = 'order-books-1';
const CUSTOMER = 'supermaxi';
const KEY = 'bench-key';
const BACKEND_PASSWORD = 'backend';
const HOME = {region: 'sierra', zone: 'sierra-a'};
const VMS = ['vm-1', 'vm-2'];
const CONNECTIONS = [1, 64, 2_400] as const;
/** Pace at the largest number of connections: a node's share at the target. */
const TARGET_STATEMENTS_PER_S = 2_350;
const POOL = {slots: 4, connections: 16};

/** The threads of one bench. */
export class Bench {
  private constructor(
    readonly standin: Worker,
    readonly proxies: readonly Worker[],
    readonly directPort: number,
    readonly proxyPorts: readonly number[],
  ) {}

  static async create(): Promise<Bench> {
    const standin = startWorker({
      role: 'standin',
      group: {
        service: SERVICE,
        databases: 3,
        places: [HOME],
        ...POOL,
        slots: 64,
        connections: 10_000,
        connectMs: 0,
        serviceTimeMs: 0,
        lagMs: 5,
      },
    });
    const [started] = (await once(standin, 'message')) as [StandinStarted];
    await put(standin, StoreKey.config, configOf(started.databases));
    const proxies = VMS.map(vm => startWorker(proxyRole(vm, started)));
    const ports = await Promise.all(proxies.map(firstMessage));
    await put(standin, StoreKey.vms, vmList(ports));
    await untilReady(proxies);
    return new Bench(
      standin,
      proxies,
      started.databases[0].port,
      ports.map(entry => entry.callerPort),
    );
  }

  async close(): Promise<void> {
    for (const worker of [...this.proxies, this.standin]) {
      const question: WorkerQuestion = {ask: 'close'};
      worker.postMessage(question);
      await once(worker, 'exit');
    }
  }
}

interface StandinStarted {
  readonly platformUrl: string;
  readonly databases: DatabaseConfig[];
}

interface ProxyStarted {
  readonly callerPort: number;
  readonly peerPort: number;
}

const firstMessage = async (proxy: Worker): Promise<ProxyStarted> =>
  ((await once(proxy, 'message')) as [ProxyStarted])[0];

const startWorker = (role: WorkerRole): Worker =>
  new Worker(new URL('./worker.js', import.meta.url), {workerData: role});

const proxyRole = (vm: string, started: StandinStarted): WorkerRole => ({
  role: 'proxy',
  flags: {
    vm,
    ...HOME,
    callerPort: 0,
    peerPort: 0,
    operatorPort: 0,
    platformUrl: started.platformUrl,
    fleetSecrets: 'bench-secret',
    backendPassword: BACKEND_PASSWORD,
    log: '',
  },
});

function configOf(databases: readonly DatabaseConfig[]): string {
  const config: Config = {
    version: 1,
    services: [
      {
        name: SERVICE,
        databases: [...databases],
        ...POOL,
        writeAck: 'replica',
        open: false,
      },
    ],
    customers: [
      {
        name: CUSTOMER,
        keys: [{id: 'first', digest: digestKey(KEY)}],
        services: [SERVICE],
        ratePerS: 1_000_000,
        burst: 1_000_000,
        weight: 1,
      },
    ],
    history: [],
  };
  return JSON.stringify(config);
}

const vmList = (ports: readonly ProxyStarted[]): string =>
  JSON.stringify(
    ports.map((entry, index) => ({
      vm: VMS[index],
      host: '127.0.0.1',
      peerPort: entry.peerPort,
      ...HOME,
    })),
  );

async function put(worker: Worker, key: string, value: string): Promise<void> {
  await ask(worker, {ask: 'put', key, value});
}

async function ask(
  worker: Worker,
  question: WorkerQuestion,
): Promise<WorkerCost> {
  worker.postMessage(question);
  return ((await once(worker, 'message')) as [WorkerCost])[0];
}

interface ReadyDump {
  readonly ready: boolean;
  readonly rates: {readonly share: number};
  readonly fleet: {readonly others: readonly unknown[]};
}

async function untilReady(proxies: readonly Worker[]): Promise<void> {
  for (;;) {
    const costs = await Promise.all(proxies.map(p => ask(p, {ask: 'cost'})));
    const ready = costs.every(({dump}) => {
      const state = dump as ReadyDump;
      return (
        state.ready && state.rates.share > 0 && state.fleet.others.length > 0
      );
    });
    if (ready) return;
    await new Promise(resolve => setTimeout(resolve, 100));
  }
}

/** Runs the benchmark. */
export async function benchPath(say: Say, seconds: number): Promise<object> {
  const bench = await Bench.create();
  try {
    const rows: PathRow[] = [];
    for (const connections of CONNECTIONS) {
      for (const via of ['direct', 'local', 'hop'] as const) {
        const row = await measure(bench, via, connections, seconds);
        say(JSON.stringify(row));
        rows.push(row);
      }
    }
    const idle = await measureIdle(bench);
    return {bench: 'path', rows, idle_connection_bytes: idle};
  } finally {
    await bench.close();
  }
}

function ownerIndex(): number {
  const candidates = VMS.map(vm => ({vm, place: HOME}));
  return VMS.indexOf(ownerOf(SERVICE, HOME, candidates)?.vm ?? '');
}

function targetOf(bench: Bench, via: PathRow['via']): LoadTarget {
  const owner = ownerIndex();
  const port =
    via === 'direct'
      ? bench.directPort
      : bench.proxyPorts[via === 'local' ? owner : 1 - owner];
  return {
    port,
    database: SERVICE,
    user: CUSTOMER,
    password: via === 'direct' ? BACKEND_PASSWORD : KEY,
  };
}

async function measure(
  bench: Bench,
  via: PathRow['via'],
  connections: number,
  seconds: number,
): Promise<PathRow> {
  const marks: number[] = [];
  const result = await runLoad(
    {
      target: targetOf(bench, via),
      connections,
      seconds,
      statement: 'SELECT state FROM bookings WHERE id = $1',
      parameters: n => [`b${n % 1_000}`],
      pacePerS: connections >= 1_000 ? TARGET_STATEMENTS_PER_S : undefined,
    },
    async () => void marks.push(await processorUs(bench)),
  );
  const spentUs = via === 'direct' ? 0 : marks[1] - marks[0];
  return {
    via,
    connections,
    statements_per_s: result.statementsPerS,
    p50_ms: result.p50Ms,
    p99_ms: result.p99Ms,
    processor_us_per_statement: Math.round(
      spentUs / Math.max(1, result.statements),
    ),
    errors: result.errors,
  };
}

export async function processorUs(bench: Bench): Promise<number> {
  const costs = await Promise.all(
    bench.proxies.map(proxy => ask(proxy, {ask: 'processor'})),
  );
  return costs.reduce((sum, cost) => sum + cost.processorUs, 0);
}

/** Heap and buffers of a proxy for each connected caller that is idle. */
async function measureIdle(bench: Bench): Promise<number> {
  const count = 2_400;
  const proxy = bench.proxies[ownerIndex()];
  const before = await ask(proxy, {ask: 'cost'});
  const connections = await openConnections(targetOf(bench, 'local'), count);
  await new Promise(resolve => setTimeout(resolve, 500));
  const after = await ask(proxy, {ask: 'cost'});
  for (const {socket} of connections) socket.destroy();
  return Math.round((after.heapBytes - before.heapBytes) / count);
}
