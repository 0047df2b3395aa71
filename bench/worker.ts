/**
 * A worker thread that runs a proxy or the stand-ins and reports its processor
 * and memory use.
 */
import {readFileSync} from 'node:fs';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {parentPort, workerData} from 'node:worker_threads';
import {loadModule} from 'libpg-query';
import {StoreKey} from '../src/store/store.js';
import {Proxy} from '../src/proxy/proxy.js';
import {resolveSettings} from '../src/proxy/settings.js';
import {GroupOptions, StandinGroup} from '../src/standin/group.js';
import {StandinPlatform} from '../src/standin/platform.js';

/** What a worker runs, with its options. */
export type WorkerRole =
  | {readonly role: 'standin'; readonly group: GroupOptions}
  | {readonly role: 'proxy'; readonly flags: Record<string, unknown>};

/** A request to a worker. All but `close` are answered with `WorkerUsage`. */
export type WorkerRequest =
  /** Reports the processor time only. */
  | {readonly type: 'processor'}
  | {readonly type: 'close'}
  /** Collects garbage, then also reports the memory use and proxy state. */
  | {readonly type: 'cost'}
  /** Sets a key in the store of the stand-in platform. */
  | {readonly type: 'put'; readonly key: string; readonly value: string};

/** Resource use and state of a worker. */
export interface WorkerUsage {
  readonly processorUs: number;
  /** Heap and external memory after garbage collection; 0 unless requested. */
  readonly heapBytes: number;
  /** State of the proxy; empty unless requested. */
  readonly dump: object;
}

setFlagsFromString('--expose_gc');
const collectGarbage = runInNewContext('gc') as () => void;
const parent = parentPort;
const workerRole = workerData as WorkerRole;

/** Returns the processor time of this thread, as counted by the kernel. */
function processorUs(): number {
  const [runNs] = readFileSync('/proc/thread-self/schedstat', 'utf8').split(
    ' ',
  );
  return Number(runNs) / 1_000;
}

function measureUsage(request: WorkerRequest, dump: () => object): WorkerUsage {
  const usedUs = processorUs();
  if (request.type !== 'cost') {
    return {processorUs: usedUs, heapBytes: 0, dump: {}};
  }
  collectGarbage();
  const {heapUsed, external} = process.memoryUsage();
  return {
    processorUs: usedUs,
    heapBytes: heapUsed + external,
    dump: dump(),
  };
}

async function runStandins(group: GroupOptions): Promise<void> {
  await loadModule();
  const platform = await StandinPlatform.create();
  const standin = await StandinGroup.create(group);
  const closeStandins = async (): Promise<void> => {
    await standin.close();
    await platform.close();
    parent?.close();
  };
  parent?.on('message', (request: WorkerRequest) => {
    if (request.type === 'close') return void closeStandins();
    if (request.type === 'put') platform.put(request.key, request.value);
    parent?.postMessage(measureUsage(request, () => ({})));
  });
  parent?.postMessage({
    platformUrl: platform.url,
    databases: standin.databaseConfigs(),
  });
}

async function runProxy(flags: Record<string, unknown>): Promise<void> {
  const resolved = resolveSettings(flags, {});
  if (resolved.isErr()) throw new Error(resolved.error);
  const proxy = await Proxy.create(resolved.value);
  parent?.on('message', (request: WorkerRequest) => {
    if (request.type === 'close') {
      void proxy.close().then(() => parent?.close());
    } else {
      parent?.postMessage(measureUsage(request, () => proxy.dump()));
    }
  });
  parent?.postMessage({
    callerPort: proxy.callerPort,
    peerPort: proxy.peerPort,
  });
}

export const CONFIG_KEY = StoreKey.config;

if (workerRole.role === 'standin') await runStandins(workerRole.group);
else await runProxy(workerRole.flags);
