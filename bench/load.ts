/** A load generator over raw sockets, cheap enough not to be the bottleneck. */
import {connect, Socket} from 'node:net';
import {build, Histogram} from 'hdr-histogram-js';
import {serialize} from 'pg-protocol';
import {FrameCode, FrameReader} from '../src/pg/wire.js';

/** Whom to connect to, and as whom. */
export interface LoadTarget {
  readonly port: number;
  readonly database: string;
  readonly user: string;
  readonly password: string;
}

/** One load. */
export interface LoadOptions {
  readonly target: LoadTarget;
  readonly connections: number;
  readonly seconds: number;
  readonly statement: string;
  readonly parameters: (n: number) => string[];
  /** Statements a second over all connections; undefined: as fast as answered. */
  readonly pacePerS?: number;
}

/** What a load measured. */
export interface LoadResult {
  readonly statements: number;
  readonly errors: number;
  readonly statementsPerS: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

const US_PER_MS = 1_000;
const MAX_LATENCY_US = 60_000_000;
const MAX_FRAME_BYTES = 16 * 1024 * 1024;
const CONNECT_BATCH = 50;
const WARM_UP_MS = 500;

/** A connection that sends one statement after another. */
export class LoadConnection {
  private readonly reader = FrameReader.create({
    maxFrameBytes: MAX_FRAME_BYTES,
  });
  private onReady: () => void = () => undefined;
  errors = 0;

  private constructor(readonly socket: Socket) {
    socket.on('data', chunk =>
      this.reader.push(chunk, (code, frame) => this.accept(code, frame)),
    );
    socket.on('error', () => socket.destroy());
  }

  static async create(target: LoadTarget): Promise<LoadConnection> {
    const socket = connect({
      host: '127.0.0.1',
      port: target.port,
      noDelay: true,
    });
    const connection = new LoadConnection(socket);
    connection.target = target;
    socket.write(
      serialize.startup({user: target.user, database: target.database}),
    );
    await new Promise<void>((resolve, reject) => {
      connection.onReady = resolve;
      socket.once('close', () => reject(new Error('closed during login')));
    });
    return connection;
  }

  private target: LoadTarget | undefined;

  /** Sends frames and calls back at ReadyForQuery. */
  send(frames: Buffer, done: () => void): void {
    this.onReady = done;
    this.socket.write(frames);
  }

  private accept(code: number, frame: Buffer): void {
    if (code === FrameCode.authentication && frame.readUInt32BE(5) === 3) {
      this.socket.write(serialize.password(this.target?.password ?? ''));
    }
    if (code === FrameCode.error) this.errors++;
    if (code === FrameCode.ready) this.onReady();
  }
}

/** Opens connections a few at a time. */
export async function openConnections(
  target: LoadTarget,
  count: number,
): Promise<LoadConnection[]> {
  const opened: LoadConnection[] = [];
  while (opened.length < count) {
    const batch = Math.min(CONNECT_BATCH, count - opened.length);
    opened.push(
      ...(await Promise.all(
        Array.from({length: batch}, () => LoadConnection.create(target)),
      )),
    );
  }
  return opened;
}

/** Runs one load and measures it. */
export async function runLoad(
  options: LoadOptions,
  onMeasuring: () => Promise<void>,
): Promise<LoadResult> {
  const connections = await openConnections(
    options.target,
    options.connections,
  );
  const histogram = build({
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  const run = {measuring: false, stopping: false, count: 0};
  const loops = connections.map((connection, index) =>
    drive(connection, index, options, histogram, run),
  );
  await pause(WARM_UP_MS);
  await onMeasuring();
  const startedAtMs = performance.now();
  run.measuring = true;
  await pause(options.seconds * 1_000);
  run.measuring = false;
  const elapsedS = (performance.now() - startedAtMs) / 1_000;
  await onMeasuring();
  run.stopping = true;
  await Promise.all(loops);
  const errors = connections.reduce((sum, entry) => sum + entry.errors, 0);
  for (const {socket} of connections) socket.destroy();
  return {
    statements: run.count,
    errors,
    statementsPerS: Math.round(run.count / elapsedS),
    p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
  };
}

interface RunState {
  measuring: boolean;
  stopping: boolean;
  count: number;
}

async function drive(
  connection: LoadConnection,
  index: number,
  options: LoadOptions,
  histogram: Histogram,
  run: RunState,
): Promise<void> {
  const spacingMs = options.pacePerS
    ? (options.connections / options.pacePerS) * 1_000
    : 0;
  if (spacingMs > 0) await pause((index / options.connections) * spacingMs);
  for (let n = 0; !run.stopping; n++) {
    const startedAtMs = performance.now();
    await new Promise<void>(resolve => {
      connection.socket.once('close', resolve);
      connection.send(framesOf(options, index * 1_000 + n), () => {
        connection.socket.off('close', resolve);
        resolve();
      });
    });
    if (connection.socket.destroyed) return;
    const tookMs = performance.now() - startedAtMs;
    if (run.measuring) {
      run.count++;
      histogram.recordValue(Math.max(1, Math.round(tookMs * US_PER_MS)));
    }
    if (spacingMs > tookMs) await pause(spacingMs - tookMs);
  }
}

const framesOf = (options: LoadOptions, n: number): Buffer =>
  Buffer.concat([
    serialize.parse({text: options.statement}),
    serialize.bind({values: options.parameters(n)}),
    serialize.describe({type: 'P'}),
    serialize.execute({}),
    serialize.sync(),
  ]);

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));
