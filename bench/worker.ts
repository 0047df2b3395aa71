/** A thread that runs one proxy or the stand-ins, and tells its own cost. */
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

/** What a worker runs. */
export type WorkerRole =
  | {readonly role: 'standin'; readonly group: GroupOptions}
  | {readonly role: 'proxy'; readonly flags: Record<string, unknown>};

/** What a worker is asked. */
export type WorkerQuestion =
  /** Processor time alone. */
  | {readonly ask: 'processor'}
  | {readonly ask: 'close'}
  /** After collecting garbage: heap and state as well. */
  | {readonly ask: 'cost'}
  | {readonly ask: 'put'; readonly key: string; readonly value: string};

/** What a worker tells of itself. */
export interface WorkerCost {
  readonly processorUs: number;
  readonly heapBytes: number;
  readonly dump: object;
}

setFlagsFromString('--expose_gc');
const collect = runInNewContext('gc') as () => void;
const port = parentPort;
const data = workerData as WorkerRole;

/** Processor time of this thread. */
function processorUs(): number {
  const [runNs] = readFileSync('/proc/thread-self/schedstat', 'utf8').split(
    ' ',
  );
  return Number(runNs) / 1_000;
}

function costOf(question: WorkerQuestion, dump: () => object): WorkerCost {
  const spentUs = processorUs();
  if (question.ask !== 'cost') {
    return {processorUs: spentUs, heapBytes: 0, dump: {}};
  }
  collect();
  const {heapUsed, external} = process.memoryUsage();
  return {
    processorUs: spentUs,
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
    port?.close();
  };
  port?.on('message', (question: WorkerQuestion) => {
    if (question.ask === 'close') return void closeStandins();
    if (question.ask === 'put') platform.put(question.key, question.value);
    port?.postMessage(costOf(question, () => ({})));
  });
  port?.postMessage({
    platformUrl: platform.url,
    databases: standin.databaseConfigs(),
  });
}

async function runProxy(flags: Record<string, unknown>): Promise<void> {
  const resolved = resolveSettings(flags, {});
  if (resolved.isErr()) throw new Error(resolved.error);
  const proxy = await Proxy.create(resolved.value);
  port?.on('message', (question: WorkerQuestion) => {
    if (question.ask === 'close') {
      void proxy.close().then(() => port?.close());
    } else {
      port?.postMessage(costOf(question, () => proxy.dump()));
    }
  });
  port?.postMessage({
    callerPort: proxy.callerPort,
    peerPort: proxy.peerPort,
  });
}

export const CONFIG_KEY = StoreKey.config;

if (data.role === 'standin') await runStandins(data.group);
else await runProxy(data.flags);
