/**
 * A load generator for PostgreSQL. It uses raw sockets, because a client
 * library would be the bottleneck.
 */
import {connect, Socket} from 'node:net';
import {build, Histogram} from 'hdr-histogram-js';
import {serialize} from 'pg-protocol';
import {FrameCode, FrameReader} from '../src/pg/wire.js';

/** Address and credentials of a server. */
export interface LoadTarget {
  readonly port: number;
  readonly database: string;
  readonly user: string;
  readonly password: string;
}

export interface LoadOptions {
  readonly target: LoadTarget;
  readonly connections: number;
  readonly seconds: number;
  readonly statement: string;
  /** Returns the parameters of the n-th statement. */
  readonly parameters: (n: number) => string[];
  /**
   * Statements per second over all connections. If undefined, each connection
   * sends its next statement when the last one is answered.
   */
  readonly ratePerS?: number;
}

/** Counts and latencies of the statements after the warm-up. */
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
const CONNECT_BATCH_SIZE = 50;
const WARM_UP_MS = 500;

/** A connection that runs one statement at a time. */
export class LoadConnection {
  private readonly reader = FrameReader.create({
    maxFrameBytes: MAX_FRAME_BYTES,
  });
  private onReady: () => void = () => undefined;
  errors = 0;

  private constructor(readonly socket: Socket) {
    socket.on('data', chunk =>
      this.reader.push(chunk, (code, frame) => this.handleFrame(code, frame)),
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
      socket.once('close', () =>
        reject(new Error('connection closed during login')),
      );
    });
    return connection;
  }

  private target: LoadTarget | undefined;

  /** Sends frames and calls `onReady` at the next ReadyForQuery. */
  send(frames: Buffer, onReady: () => void): void {
    this.onReady = onReady;
    this.socket.write(frames);
  }

  private handleFrame(code: number, frame: Buffer): void {
    if (code === FrameCode.authentication && frame.readUInt32BE(5) === 3) {
      this.socket.write(serialize.password(this.target?.password ?? ''));
    }
    if (code === FrameCode.error) this.errors++;
    if (code === FrameCode.ready) this.onReady();
  }
}

/** Opens connections in batches of `CONNECT_BATCH_SIZE`. */
export async function openConnections(
  target: LoadTarget,
  count: number,
): Promise<LoadConnection[]> {
  const opened: LoadConnection[] = [];
  while (opened.length < count) {
    const batchSize = Math.min(CONNECT_BATCH_SIZE, count - opened.length);
    opened.push(
      ...(await Promise.all(
        Array.from({length: batchSize}, () => LoadConnection.create(target)),
      )),
    );
  }
  return opened;
}

/**
 * Runs a load and measures it after a warm-up. Calls `onMeasurementBoundary` at
 * the start and at the end of the measurement.
 */
export async function runLoad(
  options: LoadOptions,
  onMeasurementBoundary: () => Promise<void>,
): Promise<LoadResult> {
  const connections = await openConnections(
    options.target,
    options.connections,
  );
  const histogram = build({
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
  const state = {measuring: false, stopping: false, count: 0};
  const loops = connections.map((connection, index) =>
    sendStatements(connection, index, options, histogram, state),
  );
  await delay(WARM_UP_MS);
  await onMeasurementBoundary();
  const startedAtMs = performance.now();
  state.measuring = true;
  await delay(options.seconds * 1_000);
  state.measuring = false;
  const elapsedS = (performance.now() - startedAtMs) / 1_000;
  await onMeasurementBoundary();
  state.stopping = true;
  await Promise.all(loops);
  const errors = connections.reduce((sum, entry) => sum + entry.errors, 0);
  for (const {socket} of connections) socket.destroy();
  return {
    statements: state.count,
    errors,
    statementsPerS: Math.round(state.count / elapsedS),
    p50Ms: histogram.getValueAtPercentile(50) / US_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / US_PER_MS,
  };
}

interface RunState {
  measuring: boolean;
  stopping: boolean;
  count: number;
}

async function sendStatements(
  connection: LoadConnection,
  index: number,
  options: LoadOptions,
  histogram: Histogram,
  state: RunState,
): Promise<void> {
  const intervalMs = options.ratePerS
    ? (options.connections / options.ratePerS) * 1_000
    : 0;
  if (intervalMs > 0) await delay((index / options.connections) * intervalMs);
  for (let n = 0; !state.stopping; n++) {
    const startedAtMs = performance.now();
    await new Promise<void>(resolve => {
      connection.socket.once('close', resolve);
      connection.send(encodeStatement(options, index * 1_000 + n), () => {
        connection.socket.off('close', resolve);
        resolve();
      });
    });
    if (connection.socket.destroyed) return;
    const tookMs = performance.now() - startedAtMs;
    if (state.measuring) {
      state.count++;
      histogram.recordValue(Math.max(1, Math.round(tookMs * US_PER_MS)));
    }
    if (intervalMs > tookMs) await delay(intervalMs - tookMs);
  }
}

const encodeStatement = (options: LoadOptions, n: number): Buffer =>
  Buffer.concat([
    serialize.parse({text: options.statement}),
    serialize.bind({values: options.parameters(n)}),
    serialize.describe({type: 'P'}),
    serialize.execute({}),
    serialize.sync(),
  ]);

const delay = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));
