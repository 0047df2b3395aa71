/**
 * Structured logs: JSON lines on standard output, written in batches without
 * blocking. Lines beyond the limit are dropped and counted.
 */
import {createWriteStream, fstatSync} from 'node:fs';
import {Socket} from 'node:net';
import {Writable} from 'node:stream';
import {WorkOrigin} from '../core/process_ids.js';

/** Writes one event with its fields. */
export type JsonLog = (event: string, fields?: object) => void;

/** Returns the fields that tell where work came from. */
export const originFields = ({
  vm,
  process,
  connection,
}: WorkOrigin): object => ({
  origin: vm,
  originProcess: process,
  originConnection: connection || undefined,
});

const FLUSH_INTERVAL_MS = 100;
const MAX_QUEUED_BYTES = 1_000_000;

/** A log that can be closed. */
export interface LogWriter {
  readonly log: JsonLog;
  /** Writes the buffered lines; resolves once they are out. */
  close(): Promise<void>;
}

/** Opens standard output as a stream that does not block. */
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
  let buffered: string[] = [];
  let dropped = 0;
  let hasFailed = false;
  output.on('error', () => (hasFailed = true));
  const formatLine = (event: string, fields: object): string =>
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
      buffered.push(formatLine('log_dropped', {lines: dropped}));
      dropped = 0;
    }
    const text = buffered.join('');
    buffered = [];
    if (text === '' || hasFailed) return done?.();
    output.write(text, () => done?.());
  };
  let timer: NodeJS.Timeout | undefined;
  return {
    log: (event, fields = {}) => {
      const queued = output.writableLength;
      if (hasFailed || queued > MAX_QUEUED_BYTES || buffered.length > 5_000) {
        dropped++;
      } else buffered.push(formatLine(event, fields));
      timer ??= setTimeout(() => flush(), FLUSH_INTERVAL_MS);
    },
    close: () => {
      clearTimeout(timer);
      return new Promise(resolve => flush(resolve));
    },
  };
}
