/**
 * Structured logs: JSON lines on standard output, written in batches that never
 * block. Lines beyond the bound are counted and dropped.
 */
import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';

/** Writes one event with its fields. */
export type JsonLog = (event: string, fields?: object) => void;

const FLUSH_INTERVAL_MS = 100;
const MAX_WAITING_BYTES = 1_000_000;

/** A log and its end. */
export interface LogWriter {
  readonly log: JsonLog;
  /** Writes what waits; resolves once it is out. */
  close(): Promise<void>;
}

/** Standard output as a stream that does not block. */
function openOutput(): Writable {
  const stat = fstatSync(1);
  return stat.isFIFO() || stat.isSocket()
    ? new Socket({fd: 1, readable: false, writable: true})
    : createWriteStream('', {fd: 1, autoClose: false});
}

/** Creates the log of a process. */
export function createJsonLog(
  vm: string,
  output: Writable = openOutput(),
): LogWriter {
  let waiting: string[] = [];
  let dropped = 0;
  let broken = false;
  output.on('error', () => (broken = true));
  const line = (event: string, fields: object): string =>
    JSON.stringify({
      time: new Date().toISOString(),
      steadyMs: Math.round(performance.now()),
      vm,
      event,
      ...fields,
    }) + '\n';
  const flush = (done?: () => void): void => {
    timer = undefined;
    if (dropped > 0) {
      waiting.push(line('log_dropped', {lines: dropped}));
      dropped = 0;
    }
    const text = waiting.join('');
    waiting = [];
    if (text === '' || broken) return done?.();
    output.write(text, () => done?.());
  };
  let timer: NodeJS.Timeout | undefined;
  return {
    log: (event, fields = {}) => {
      const queued = output.writableLength;
      if (broken || queued > MAX_WAITING_BYTES || waiting.length > 5_000) {
        dropped++;
      } else waiting.push(line(event, fields));
      timer ??= setTimeout(() => flush(), FLUSH_INTERVAL_MS);
    },
    close: () => {
      clearTimeout(timer);
      return new Promise(resolve => flush(resolve));
    },
  };
}
