/** Serves a stand-in database over the PostgreSQL wire protocol. */
import {createServer, Server, Socket} from 'node:net';
import {PostgresConnection} from 'pg-gateway';
import {bodyOf, errorResponseFrame, readCString} from '../pg/wire.js';
import {BackendSession, delay} from './backend_session.js';
import {StandinDatabase} from './database.js';
import {FindDatabase} from './database_session.js';

const CANCEL_CODE = 80_877_102;

/** What a database server needs besides its data. */
export interface DatabaseServerOptions {
  readonly database: StandinDatabase;
  readonly find: FindDatabase;
  /** The credential it accepts; undefined accepts any. */
  readonly password?: string;
  /** Sees every byte that arrives, for tests that search them. */
  readonly onBytesReceived?: (chunk: Buffer) => void;
}

/** A listening stand-in database. */
export class DatabaseServer {
  private readonly open = new Set<BackendSession>();
  private readonly waiting: (() => void)[] = [];
  private readonly sockets = new Set<Socket>();
  private running = 0;
  private nextProcessId = 1;
  /** Most connections that were ever open at once. */
  peakConnections = 0;
  refusedConnections = 0;
  /** Statements run, control functions and transaction control aside. */
  executedStatements = 0;

  private constructor(
    readonly options: DatabaseServerOptions,
    private readonly server: Server,
  ) {
    server.on('connection', socket => this.accept(socket));
  }

  static async create(
    options: DatabaseServerOptions & {port?: number},
  ): Promise<DatabaseServer> {
    const server = createServer({noDelay: true});
    const made = new DatabaseServer(options, server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port ?? 0, '127.0.0.1', resolve);
    });
    return made;
  }

  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  get connectionCount(): number {
    return this.open.size;
  }

  get database(): StandinDatabase {
    return this.options.database;
  }

  /** Drops every connection and refuses new ones until `restart`. */
  kill(): void {
    this.database.faults.isDown = true;
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  restart(): void {
    this.database.faults.isDown = false;
  }

  /** Stops answering on the connections open now; new ones work. */
  stopRespondingOnOpenConnections(): void {
    for (const session of this.open) session.silence();
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Waits for one of the database's execution slots. */
  async acquireSlot(): Promise<void> {
    if (this.running < this.database.options.slots) {
      this.running++;
      return;
    }
    await new Promise<void>(resolve => this.waiting.push(resolve));
  }

  releaseSlot(): void {
    const next = this.waiting.shift();
    if (next) next();
    else this.running--;
  }

  /** Cancels the statement of the connection that a cancel request names. */
  cancel(processId: number): void {
    for (const session of this.open) {
      if (session.processId === processId) session.cancel();
    }
  }

  private accept(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    if (this.database.faults.isDown) {
      socket.resetAndDestroy();
      return;
    }
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    if (this.options.onBytesReceived)
      socket.on('data', this.options.onBytesReceived);
    if (this.database.faults.isUnresponsive) return;
    this.startup(socket);
  }

  private startup(socket: Socket): void {
    const gateway: PostgresConnection = new PostgresConnection(socket, {
      onMessage: (data, state) => {
        if (state.hasStarted) return this.checkPassword(gateway, data);
        const view = Buffer.from(data);
        if (view.length === 16 && view.readUInt32BE(4) === CANCEL_CODE) {
          this.cancel(view.readUInt32BE(8));
          socket.destroy();
          return true;
        }
        return false;
      },
      onStartup: () => {
        gateway.sendAuthenticationCleartextPassword();
        return true;
      },
    });
  }

  private async checkPassword(
    gateway: PostgresConnection,
    data: Uint8Array,
  ): Promise<boolean> {
    const socket = gateway.detach();
    const [password] = readCString(bodyOf(Buffer.from(data)), 0);
    const expected = this.options.password;
    if (expected !== undefined && password !== expected) {
      socket.end(errorResponseFrame('FATAL', '28P01', 'password rejected'));
      return true;
    }
    if (this.open.size >= this.database.options.connections) {
      this.refusedConnections++;
      socket.end(errorResponseFrame('FATAL', '53300', 'too many connections'));
      return true;
    }
    const user = gateway.clientInfo?.parameters.user ?? '';
    const session = BackendSession.create(this, socket, {
      processId: this.nextProcessId++,
      user: gateway.clientInfo?.parameters.application_name ?? user,
    });
    this.open.add(session);
    this.peakConnections = Math.max(this.peakConnections, this.open.size);
    socket.once('close', () => this.open.delete(session));
    await delay(this.database.options.connectMs);
    session.greet();
    return true;
  }
}
