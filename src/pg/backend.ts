/**
 * A connection to a backend database. The `pg` client performs TLS and
 * authentication; afterwards this module exchanges raw frames on its socket.
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
  isInternalCode,
  transactionStatusOf,
  TransactionStatus,
  writeFrames,
} from './wire.js';

/** Address, credentials and limits of a backend connection. */
export interface BackendTarget {
  readonly host: string;
  readonly port: number;
  readonly database: string;
  readonly user: string;
  readonly password: string;
  /** Certificate authority of the database in PEM; no TLS if undefined. */
  readonly tlsCa?: string;
  readonly connectTimeoutMs: number;
  readonly maxFrameBytes: number;
}

/** Fields of a connected `pg` client that its type does not declare. */
interface StartedClient {
  readonly connection: {readonly stream: Socket};
  readonly processID: number;
  readonly secretKey: number;
}

const SYNC_FRAME = emptyFrame(FrameCode.sync);

export interface BackendHandlers {
  onFrame: FrameHandler;
  /** All frames of a received chunk have been delivered. */
  onChunkEnd: () => void;
  onClose: () => void;
}

const IDLE_HANDLERS: BackendHandlers = {
  onFrame: () => undefined,
  onChunkEnd: () => undefined,
  onClose: () => undefined,
};

/** A connection to a database that has completed its startup. */
export class BackendConnection {
  handlers: BackendHandlers = IDLE_HANDLERS;
  /** Transaction status in the last ReadyForQuery. */
  transactionStatus: TransactionStatus = 'I';
  readonly openedAtMs = Date.now();
  /** When the last bytes arrived. */
  lastSeenAtMs = Date.now();
  /** When the outstanding probe was sent; undefined if there is none. */
  probedAtMs: number | undefined;
  isClosed = false;
  /** Cancel requests that the database may not have executed yet. */
  private pendingCancels = 0;
  private hasUnansweredCancel = false;
  private readonly awaitingCancels: (() => void)[] = [];
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
    socket.on('close', () => this.handleClose());
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
      return ok(fromStartedClient(client as unknown as StartedClient, target));
    } catch (error) {
      client.end().catch(() => undefined);
      return err(failure('backend_unreachable', (error as Error).message));
    }
  }

  /** @internal Called by `fromStartedClient` after the startup. */
  static fromSocket(
    socket: Socket,
    target: BackendTarget,
    cancelKey: {processId: number; secret: number},
  ): BackendConnection {
    return new BackendConnection(socket, target, cancelKey);
  }

  /** Sets the receiver of events; undefined discards them. */
  setHandlers(handlers: BackendHandlers | undefined): void {
    this.handlers = handlers ?? IDLE_HANDLERS;
  }

  send(frames: readonly Buffer[]): void {
    writeFrames(this.socket, frames);
  }

  /** Sends a Sync, which an idle connection answers immediately. */
  probe(nowMs: number): void {
    this.probedAtMs = nowMs;
    this.send([SYNC_FRAME]);
  }

  pause(): void {
    this.socket.pause();
  }

  resume(): void {
    this.socket.resume();
  }

  /**
   * Asks the database to cancel the statement that this connection runs. The
   * database closes the connection of the request once it has executed it;
   * until then it may cancel any later statement instead.
   */
  cancel(): void {
    const {host, port} = this.target;
    const socket = connectTcp({host, port});
    let isExecuted = false;
    this.pendingCancels++;
    socket.on('error', () => socket.destroy());
    socket.setTimeout(this.target.connectTimeoutMs, () => socket.destroy());
    socket.once('end', () => (isExecuted = true));
    socket.once('close', () => this.endCancel(isExecuted));
    const {processId, secret} = this.cancelKey;
    socket.write(serialize.cancel(processId, secret));
    socket.resume();
  }

  /**
   * Calls back once no cancel request can reach a later statement on this
   * connection, which is closed if the database did not answer one.
   */
  onCancelsEnded(callback: () => void): void {
    if (this.pendingCancels > 0) {
      this.awaitingCancels.push(callback);
      return;
    }
    if (this.hasUnansweredCancel) this.destroy();
    callback();
  }

  destroy(): void {
    this.socket.destroy();
    this.handleClose();
  }

  private receive(chunk: Buffer): void {
    this.lastSeenAtMs = Date.now();
    const isValid = this.reader.push(chunk, (code, frame) => {
      if (this.isClosed) return;
      if (isInternalCode(code)) return this.destroy();
      if (code === FrameCode.ready) this.handleReady(frame);
      this.handlers.onFrame(code, frame);
    });
    if (!isValid) return this.destroy();
    this.handlers.onChunkEnd();
  }

  private handleReady(frame: Buffer): void {
    this.transactionStatus = transactionStatusOf(frame);
    this.probedAtMs = undefined;
  }

  private endCancel(isExecuted: boolean): void {
    this.pendingCancels--;
    this.hasUnansweredCancel ||= !isExecuted;
    if (this.pendingCancels > 0) return;
    for (const callback of this.awaitingCancels.splice(0)) {
      this.onCancelsEnded(callback);
    }
  }

  private handleClose(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.handlers.onClose();
  }
}

function fromStartedClient(
  client: StartedClient,
  target: BackendTarget,
): BackendConnection {
  const {stream} = client.connection;
  for (const event of ['data', 'end', 'close', 'error']) {
    stream.removeAllListeners(event);
  }
  const cancelKey = {processId: client.processID, secret: client.secretKey};
  return BackendConnection.fromSocket(stream, target, cancelKey);
}
