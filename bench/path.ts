/**
 * Benchmark of latency and processor time by path: directly to the stand-in
 * database, through the VM that owns the pool, and through another VM. Each
 * proxy and the stand-ins run on separate threads, because the kernel counts
 * processor time by thread.
 */
import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import {Config, DatabaseConfig, digestKey} from '../src/core/config.js';
import {ownerOf} from '../src/core/placement.js';
import {StoreKey} from '../src/store/store.js';
import {LoadTarget, openConnections, runLoad} from './load.js';
import {WorkerUsage, WorkerRequest, WorkerRole} from './worker.js';

type PrintLine = (line: string) => void;

/** Result for one path. The keys are printed as JSON. */
export interface PathRow {
  /** `local`: through the VM that owns the pool; `hop`: through another VM. */
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
const VM_PLACE = {region: 'sierra', zone: 'sierra-a'};
const VMS = ['vm-1', 'vm-2'];
const CONNECTION_COUNTS = [1, 64, 2_400] as const;
/** Rate at the largest number of connections: one VM's share of the target. */
const TARGET_STATEMENTS_PER_S = 2_350;
const POOL = {slots: 4, connections: 16};

/** Worker threads of two proxies and of the stand-ins. */
export class BenchFleet {
  private constructor(
    readonly standinWorker: Worker,
    readonly proxyWorkers: readonly Worker[],
    readonly directPort: number,
    readonly proxyPorts: readonly number[],
  ) {}

  static async create(): Promise<BenchFleet> {
    const standinWorker = startWorker({
      role: 'standin',
      group: {
        service: SERVICE,
        databases: 3,
        places: [VM_PLACE],
        ...POOL,
        slots: 64,
        connections: 10_000,
        connectMs: 0,
        serviceTimeMs: 0,
        lagMs: 5,
      },
    });
    const [started] = (await once(standinWorker, 'message')) as [
      StandinStarted,
    ];
    await putKey(standinWorker, StoreKey.config, configOf(started.databases));
    const proxyWorkers = VMS.map(vm => startWorker(proxyRole(vm, started)));
    const ports = await Promise.all(proxyWorkers.map(firstMessage));
    await putKey(standinWorker, StoreKey.vms, vmList(ports));
    await untilReady(proxyWorkers);
    return new BenchFleet(
      standinWorker,
      proxyWorkers,
      started.databases[0].port,
      ports.map(entry => entry.callerPort),
    );
  }

  async close(): Promise<void> {
    for (const worker of [...this.proxyWorkers, this.standinWorker]) {
      const request: WorkerRequest = {type: 'close'};
      worker.postMessage(request);
      await once(worker, 'exit');
    }
  }
}

/** First message of the worker of the stand-ins. */
interface StandinStarted {
  readonly platformUrl: string;
  readonly databases: DatabaseConfig[];
}

/** First message of the worker of a proxy. */
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
    ...VM_PLACE,
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
      ...VM_PLACE,
    })),
  );

async function putKey(
  worker: Worker,
  key: string,
  value: string,
): Promise<void> {
  await sendRequest(worker, {type: 'put', key, value});
}

async function sendRequest(
  worker: Worker,
  request: WorkerRequest,
): Promise<WorkerUsage> {
  worker.postMessage(request);
  return ((await once(worker, 'message')) as [WorkerUsage])[0];
}

interface ReadyDump {
  readonly ready: boolean;
  readonly rates: {readonly share: number};
  readonly fleet: {readonly others: readonly unknown[]};
}

async function untilReady(proxies: readonly Worker[]): Promise<void> {
  for (;;) {
    const usages = await Promise.all(
      proxies.map(p => sendRequest(p, {type: 'cost'})),
    );
    const ready = usages.every(({dump}) => {
      const state = dump as ReadyDump;
      return (
        state.ready && state.rates.share > 0 && state.fleet.others.length > 0
      );
    });
    if (ready) return;
    await new Promise(resolve => setTimeout(resolve, 100));
  }
}

export async function benchPath(
  printLine: PrintLine,
  seconds: number,
): Promise<object> {
  const fleet = await BenchFleet.create();
  try {
    const rows: PathRow[] = [];
    for (const connections of CONNECTION_COUNTS) {
      for (const via of ['direct', 'local', 'hop'] as const) {
        const row = await measurePath(fleet, via, connections, seconds);
        printLine(JSON.stringify(row));
        rows.push(row);
      }
    }
    const idleBytes = await idleConnectionBytes(fleet);
    return {bench: 'path', rows, idle_connection_bytes: idleBytes};
  } finally {
    await fleet.close();
  }
}

function ownerIndex(): number {
  const candidates = VMS.map(vm => ({vm, place: VM_PLACE}));
  return VMS.indexOf(ownerOf(SERVICE, VM_PLACE, candidates)?.vm ?? '');
}

function targetOf(fleet: BenchFleet, via: PathRow['via']): LoadTarget {
  const owner = ownerIndex();
  const port =
    via === 'direct'
      ? fleet.directPort
      : fleet.proxyPorts[via === 'local' ? owner : 1 - owner];
  return {
    port,
    database: SERVICE,
    user: CUSTOMER,
    password: via === 'direct' ? BACKEND_PASSWORD : KEY,
  };
}

async function measurePath(
  fleet: BenchFleet,
  via: PathRow['via'],
  connections: number,
  seconds: number,
): Promise<PathRow> {
  const processorSamplesUs: number[] = [];
  const result = await runLoad(
    {
      target: targetOf(fleet, via),
      connections,
      seconds,
      statement: 'SELECT state FROM bookings WHERE id = $1',
      parameters: n => [`b${n % 1_000}`],
      ratePerS: connections >= 1_000 ? TARGET_STATEMENTS_PER_S : undefined,
    },
    async () => void processorSamplesUs.push(await totalProcessorUs(fleet)),
  );
  const usedUs =
    via === 'direct' ? 0 : processorSamplesUs[1] - processorSamplesUs[0];
  return {
    via,
    connections,
    statements_per_s: result.statementsPerS,
    p50_ms: result.p50Ms,
    p99_ms: result.p99Ms,
    processor_us_per_statement: Math.round(
      usedUs / Math.max(1, result.statements),
    ),
    errors: result.errors,
  };
}

/** Returns the processor time of all proxies since their start. */
export async function totalProcessorUs(fleet: BenchFleet): Promise<number> {
  const usages = await Promise.all(
    fleet.proxyWorkers.map(proxy => sendRequest(proxy, {type: 'processor'})),
  );
  return usages.reduce((sum, usage) => sum + usage.processorUs, 0);
}

/** Returns the heap and external memory per idle caller of a proxy. */
async function idleConnectionBytes(fleet: BenchFleet): Promise<number> {
  const count = 2_400;
  const owner = fleet.proxyWorkers[ownerIndex()];
  const before = await sendRequest(owner, {type: 'cost'});
  const connections = await openConnections(targetOf(fleet, 'local'), count);
  await new Promise(resolve => setTimeout(resolve, 500));
  const after = await sendRequest(owner, {type: 'cost'});
  for (const {socket} of connections) socket.destroy();
  return Math.round((after.heapBytes - before.heapBytes) / count);
}
