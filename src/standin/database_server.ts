/**
 * Serves a stand-in database over the PostgreSQL wire protocol: accepts
 * connections, checks passwords and limits connections and running statements.
 */
import {createServer, Server, Socket} from 'node:net';
import {PostgresConnection} from 'pg-gateway';
import {bodyOf, errorResponseFrame} from '../pg/wire.js';
import {readText} from './frame_text.js';
import {BackendSession, delay} from './backend_session.js';
import {StandinDatabase} from './database.js';
import {FindDatabase} from './database_session.js';
import {Violation} from './transaction_judge.js';

const CANCEL_REQUEST_CODE = 80_877_102;

export interface DatabaseServerOptions {
  readonly database: StandinDatabase;
  readonly findDatabase: FindDatabase;
  /** The accepted password; any is accepted if undefined. */
  readonly password?: string;
  /** Called with all bytes that clients send, for tests that search them. */
  readonly onBytesReceived?: (chunk: Buffer) => void;
  /** Called with each statement that ran in a wrong transaction. */
  readonly onViolation?: (violation: Violation) => void;
}

/** Serves one stand-in database over TCP on a port of 127.0.0.1. */
export class DatabaseServer {
  private readonly sessions = new Set<BackendSession>();
  private readonly slotWaiters: (() => void)[] = [];
  private readonly sockets = new Set<Socket>();
  private usedSlots = 0;
  private nextProcessId = 1;
  /** Highest number of connections that were open at the same time. */
  peakConnections = 0;
  /** Number of connections refused because of the connection limit. */
  refusedConnections = 0;
  /** Number of statements, without group functions and transaction control. */
  executedStatements = 0;
  /** Number of statements that name their caller, all of which are judged. */
  taggedStatements = 0;
  /** Statements that ran in a wrong transaction. */
  readonly violations: Violation[] = [];

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
    const databaseServer = new DatabaseServer(options, server);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port ?? 0, '127.0.0.1', resolve);
    });
    return databaseServer;
  }

  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  get connectionCount(): number {
    return this.sessions.size;
  }

  get database(): StandinDatabase {
    return this.options.database;
  }

  /** Resets all open connections, and each new one until `restart`. */
  kill(): void {
    this.database.faults.isDown = true;
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  restart(): void {
    this.database.faults.isDown = false;
  }

  /** Stops responding on open connections; new connections are served. */
  stopRespondingOnOpenConnections(): void {
    for (const session of this.sessions) session.stopResponding();
  }

  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await new Promise(resolve => this.server.close(resolve));
  }

  recordViolation(violation: Violation): void {
    this.violations.push(violation);
    this.options.onViolation?.(violation);
  }

  /** Resolves once the statement has an execution slot, in arrival order. */
  async acquireSlot(): Promise<void> {
    if (this.usedSlots < this.database.options.slots) {
      this.usedSlots++;
      return;
    }
    await new Promise<void>(resolve => this.slotWaiters.push(resolve));
  }

  releaseSlot(): void {
    const next = this.slotWaiters.shift();
    if (next) next();
    else this.usedSlots--;
  }

  /** Cancels the running `pg_sleep` of the connection with a process id. */
  cancel(processId: number): void {
    for (const session of this.sessions) {
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
    this.startLogin(socket);
  }

  private startLogin(socket: Socket): void {
    const gateway: PostgresConnection = new PostgresConnection(socket, {
      onMessage: async (data, state) => {
        if (state.hasStarted) return this.checkPassword(gateway, data);
        const message = Buffer.from(data);
        if (
          message.length === 16 &&
          message.readUInt32BE(4) === CANCEL_REQUEST_CODE
        ) {
          await delay(this.database.faults.cancelDelayMs);
          this.cancel(message.readUInt32BE(8));
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
    const [password] = readText(bodyOf(Buffer.from(data)), 0);
    const expected = this.options.password;
    if (expected !== undefined && password !== expected) {
      socket.end(errorResponseFrame('FATAL', '28P01', 'password rejected'));
      return true;
    }
    if (this.sessions.size >= this.database.options.connections) {
      this.refusedConnections++;
      socket.end(errorResponseFrame('FATAL', '53300', 'too many connections'));
      return true;
    }
    const user = gateway.clientInfo?.parameters.user ?? '';
    const session = BackendSession.create(this, socket, {
      processId: this.nextProcessId++,
      user: gateway.clientInfo?.parameters.application_name ?? user,
    });
    this.sessions.add(session);
    this.peakConnections = Math.max(this.peakConnections, this.sessions.size);
    socket.once('close', () => this.sessions.delete(session));
    await delay(this.database.options.connectMs);
    session.completeLogin();
    return true;
  }
}
