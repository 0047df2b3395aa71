/**
 * One connection to a backend database. The `pg` client performs the startup
 * (TLS and password methods); afterwards raw frames are passed through.
 */
import {connect as connectTcp, Socket} from 'node:net';
import {err, ok, Result} from 'neverthrow';
import pg from 'pg';
import {serialize} from 'pg-protocol';
import {failure, Failure} from '../core/errors.js';
import {
  FrameCode,
  emptyFrame,
  FrameHandler,
  FrameReader,
  transactionStatusOf,
  TransactionStatus,
  writeFrames,
} from './wire.js';

/** Where and as whom to connect. */
export interface BackendTarget {
  readonly host: string;
  readonly port: number;
  readonly database: string;
  readonly user: string;
  readonly password: string;
  /** Certificate authority of the database in PEM; undefined: no TLS. */
  readonly tlsCa?: string;
  readonly connectTimeoutMs: number;
  readonly maxFrameBytes: number;
}

/** The fields of the `pg` client that a raw connection takes over. */
interface StartedClient {
  readonly connection: {readonly stream: Socket};
  readonly processID: number;
  readonly secretKey: number;
}

const SYNC = emptyFrame(FrameCode.sync);

/** Events of a connection. */
export interface BackendHandlers {
  onFrame: FrameHandler;
  /** After the frames of one chunk. */
  onChunkEnd: () => void;
  onClose: () => void;
}

const IDLE_HANDLERS: BackendHandlers = {
  onFrame: () => undefined,
  onChunkEnd: () => undefined,
  onClose: () => undefined,
};

/** A started connection. */
export class BackendConnection {
  handlers: BackendHandlers = IDLE_HANDLERS;
  transactionStatus: TransactionStatus = 'I';
  readonly openedAtMs = Date.now();
  lastSeenAtMs = Date.now();
  probedAtMs: number | undefined;
  isClosed = false;
  private readonly reader: FrameReader;

  private constructor(
    private readonly socket: Socket,
    private readonly target: BackendTarget,
    private readonly cancelKey: {processId: number; secret: number},
  ) {
    this.reader = FrameReader.create(target);
    socket.setNoDelay(true);
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', () => this.destroy());
    socket.on('close', () => this.ended());
    socket.on('end', () => this.destroy());
  }

  static async connect(
    target: BackendTarget,
  ): Promise<Result<BackendConnection, Failure>> {
    const client = new pg.Client({
      ...target,
      ssl: target.tlsCa === undefined ? false : {ca: target.tlsCa},
      application_name: 'mustardpass',
      connectionTimeoutMillis: target.connectTimeoutMs,
    });
    client.on('error', () => undefined);
    try {
      await client.connect();
      return ok(takeOver(client as unknown as StartedClient, target));
    } catch (error) {
      client.end().catch(() => undefined);
      return err(failure('backend_unreachable', (error as Error).message));
    }
  }

  /** @internal Built by `takeOver` once the startup is done. */
  static wrap(
    socket: Socket,
    target: BackendTarget,
    cancelKey: {processId: number; secret: number},
  ): BackendConnection {
    return new BackendConnection(socket, target, cancelKey);
  }

  /** Hands events to a new user; undefined makes the connection idle. */
  setHandlers(handlers: BackendHandlers | undefined): void {
    this.handlers = handlers ?? IDLE_HANDLERS;
  }

  send(frames: readonly Buffer[]): void {
    writeFrames(this.socket, frames);
  }

  /** Sends a Sync, which an idle connection answers at once. */
  probe(nowMs: number): void {
    this.probedAtMs = nowMs;
    this.send([SYNC]);
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /** Asks the database to cancel what runs on this connection. */
  cancel(): void {
    const {host, port} = this.target;
    const socket = connectTcp({host, port});
    socket.on('error', () => socket.destroy());
    socket.setTimeout(this.target.connectTimeoutMs, () => socket.destroy());
    const {processId, secret} = this.cancelKey;
    socket.end(serialize.cancel(processId, secret));
  }

  destroy(): void {
    this.socket.destroy();
    this.ended();
  }

  private receive(chunk: Buffer): void {
    this.lastSeenAtMs = Date.now();
    const fine = this.reader.push(chunk, (code, frame) => {
      if (code === FrameCode.ready) this.noteReady(frame);
      this.handlers.onFrame(code, frame);
    });
    if (!fine) return this.destroy();
    this.handlers.onChunkEnd();
  }

  private noteReady(frame: Buffer): void {
    this.transactionStatus = transactionStatusOf(frame);
    this.probedAtMs = undefined;
  }

  private ended(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.handlers.onClose();
  }
}

function takeOver(
  client: StartedClient,
  target: BackendTarget,
): BackendConnection {
  const {stream} = client.connection;
  for (const event of ['data', 'end', 'close', 'error']) {
    stream.removeAllListeners(event);
  }
  const cancelKey = {processId: client.processID, secret: client.secretKey};
  return BackendConnection.wrap(stream, target, cancelKey);
}
