/**
 * Accepts connections of callers and handles startup, TLS and key checks before
 * it starts a session. `pg-gateway` parses the startup messages; this module
 * limits the bytes and the duration of a login and the number of connections.
 */
import {createServer, Server, Socket} from 'node:net';
import {PostgresConnection, State} from 'pg-gateway';
import {
  authenticate,
  Config,
  findService,
  Identity,
  mayUse,
} from '../core/config.js';
import {failure, Failure} from '../core/errors.js';
import {LoginLimiter} from '../core/login_limiter.js';
import {isUtf8Name, SETTING_PREFIX} from '../core/sql.js';
import {
  authenticationOkFrame,
  backendKeyDataFrame,
  bodyOf,
  failureFrame,
  parameterStatusFrame,
  readCString,
  readyForQueryFrame,
} from '../pg/wire.js';
import {Session, SessionHost} from './session.js';

/** Certificate and private key for TLS with callers. */
export interface CallerTls {
  readonly cert: Buffer;
  readonly key: Buffer;
}

export interface ListenerOptions {
  readonly host: string;
  readonly port: number;
  readonly tls: CallerTls | undefined;
  readonly maxConnections: number;
  readonly loginTimeoutMs: number;
  readonly sessionHost: SessionHost;
  /** High bits of the process IDs in cancel keys; they identify this VM. */
  readonly cancelPrefix: number;
  /** Forwards a cancel request to the VM that its process ID identifies. */
  readonly onRemoteCancel: (processId: number, secret: number) => void;
}

/** Request code of a CancelRequest message in the PostgreSQL protocol. */
const CANCEL_CODE = 80_877_102;
const CANCEL_BYTES = 16;
const MAX_LOGIN_BYTES = 10_000;
/** Customer of callers without a key. */
const ANONYMOUS_CUSTOMER = 'anonymous';
/** Low bits of a process ID, which number the sessions of one VM. */
const SESSION_NUMBER_BITS = 16;
/** Interval at which a login checks for the first configuration. */
const CONFIG_POLL_MS = 100;

/** Listens for callers and keeps the sessions that it started. */
export class Listener {
  private readonly sessions = new Map<
    number,
    {session: Session; secret: number}
  >();
  private readonly sockets = new Set<Socket>();
  private readonly limiter = LoginLimiter.create();
  private nextSessionNumber = 1;
  private isAccepting = true;

  private constructor(
    private readonly server: Server,
    private readonly options: ListenerOptions,
  ) {
    server.on('connection', socket => this.accept(socket));
  }

  static async create(options: ListenerOptions): Promise<Listener> {
    const server = createServer({noDelay: true, keepAlive: true});
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    return new Listener(server, options);
  }

  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  get sessionCount(): number {
    return this.sessions.size;
  }

  get connectionCount(): number {
    return this.sockets.size;
  }

  /** Ends sessions whose keys are no longer valid. */
  reauthorizeSessions(): void {
    for (const {session} of this.sessions.values()) session.reauthorize();
  }

  /**
   * Ends idle sessions; a shutting-down proxy calls it until no session is
   * left.
   */
  drainSessions(): void {
    for (const {session} of this.sessions.values()) session.drain();
  }

  /** Stops accepting new callers. */
  stopAccepting(): void {
    this.isAccepting = false;
    this.server.close();
  }

  /** Cancels a statement; false if no local session has this cancel key. */
  cancel(processId: number, secret: number): boolean {
    const entry = this.sessions.get(processId);
    if (!entry || entry.secret !== secret) return false;
    entry.session.cancel();
    return true;
  }

  async close(): Promise<void> {
    const closed = new Promise<void>(resolve =>
      this.server.close(() => resolve()),
    );
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  private accept(socket: Socket): void {
    socket.on('error', () => socket.destroy());
    this.sockets.add(socket);
    socket.once('close', () => this.sockets.delete(socket));
    if (!this.isAccepting) return void socket.destroy();
    if (this.sockets.size > this.options.maxConnections) {
      socket.end(
        failureFrame(failure('login_limited', 'too many connections')),
      );
      return;
    }
    Login.create(socket, this.options, {
      limiter: this.limiter,
      onCancel: (processId, secret) => this.routeCancel(processId, secret),
      onSession: (session, id, secret) => this.add(session, id, secret, socket),
      allocateProcessId: () => this.allocateProcessId(),
    });
  }

  private allocateProcessId(): number {
    const sessionNumber = this.nextSessionNumber++ % 2 ** SESSION_NUMBER_BITS;
    return this.options.cancelPrefix * 2 ** SESSION_NUMBER_BITS + sessionNumber;
  }

  private routeCancel(processId: number, secret: number): void {
    if (processId >>> SESSION_NUMBER_BITS === this.options.cancelPrefix) {
      this.cancel(processId, secret);
    } else {
      this.options.onRemoteCancel(processId, secret);
    }
  }

  private add(
    session: Session,
    id: number,
    secret: number,
    socket: Socket,
  ): void {
    this.sessions.set(id, {session, secret});
    socket.once('close', () => this.sessions.delete(id));
  }
}

/** Callbacks from a login to its listener. */
interface LoginHooks {
  readonly limiter: LoginLimiter;
  readonly onCancel: (processId: number, secret: number) => void;
  readonly onSession: (session: Session, id: number, secret: number) => void;
  readonly allocateProcessId: () => number;
}

/** A caller's connection until its login is answered and its session starts. */
class Login {
  private readonly gateway: PostgresConnection;
  private readonly timer: NodeJS.Timeout;
  private bytes = 0;
  private session: Session | undefined;
  private readonly countChunk = (chunk: Buffer): void => this.countBytes(chunk);

  private constructor(
    private readonly socket: Socket,
    private readonly options: ListenerOptions,
    private readonly hooks: LoginHooks,
  ) {
    this.timer = setTimeout(() => this.expire(), options.loginTimeoutMs);
    socket.on('data', this.countChunk);
    socket.once('close', () => clearTimeout(this.timer));
    this.gateway = new PostgresConnection(socket, {
      tls: options.tls,
      onMessage: (data, state) => this.receive(Buffer.from(data), state),
      onStartup: state => this.start(state),
    });
  }

  static create(
    socket: Socket,
    options: ListenerOptions,
    hooks: LoginHooks,
  ): Login {
    return new Login(socket, options, hooks);
  }

  private expire(): void {
    if (this.options.sessionHost.config().version === 0) {
      this.reject(failure('not_ready', 'no configuration has arrived yet'));
    }
    this.socket.destroySoon();
  }

  private countBytes(chunk: Buffer): void {
    this.bytes += chunk.length;
    if (this.bytes > MAX_LOGIN_BYTES) this.socket.destroy();
  }

  private async receive(data: Buffer, state: State): Promise<boolean> {
    if (this.session) {
      this.session.receive(data);
      return true;
    }
    if (state.hasStarted) {
      const key = readCString(bodyOf(data), 0)?.bytes.toString('utf8') ?? '';
      await this.checkKey(key, state);
      return true;
    }
    if (data.length !== CANCEL_BYTES || data.readUInt32BE(4) !== CANCEL_CODE) {
      return false;
    }
    this.hooks.onCancel(data.readUInt32BE(8), data.readInt32BE(12));
    this.socket.destroy();
    return true;
  }

  private async start(state: State): Promise<boolean> {
    const host = this.options.sessionHost;
    const service = serviceOf(state);
    const encoding = state.clientInfo?.parameters.client_encoding ?? '';
    if (!isUtf8Name(encoding)) {
      this.reject(
        failure('not_supported', `client_encoding ${encoding}; use UTF8`),
      );
      return true;
    }
    await this.awaitConfig();
    const config = host.config();
    if (this.socket.destroyed) return true;
    if (host.isDraining()) {
      this.reject(failure('shutting_down', 'the proxy is shutting down'));
    } else if (findService(config, service)?.open) {
      this.startSession({customer: ANONYMOUS_CUSTOMER, key: undefined}, state);
    } else {
      this.gateway.sendAuthenticationCleartextPassword();
    }
    return true;
  }

  /** Waits until a VM that has just started has its first configuration. */
  private async awaitConfig(): Promise<void> {
    const host = this.options.sessionHost;
    while (host.config().version === 0 && !this.socket.destroyed) {
      await new Promise(resolve => setTimeout(resolve, CONFIG_POLL_MS));
    }
  }

  private async checkKey(key: string, state: State): Promise<void> {
    const user = state.clientInfo?.parameters.user ?? '';
    const address = this.socket.remoteAddress ?? '';
    await this.hooks.limiter.delay(address);
    const config = this.options.sessionHost.config();
    const identity = authenticate(config, user, key);
    if (!identity) {
      this.hooks.limiter.recordFailure(address, Date.now());
      return this.reject(
        failure('key_rejected', `key of customer "${user}" is not accepted`),
      );
    }
    const problem = accessProblem(config, identity, serviceOf(state));
    if (problem) return this.reject(problem);
    this.startSession(identity, state);
  }

  private reject(reason: Failure): void {
    this.currentSocket.end(failureFrame(reason));
  }

  private get currentSocket(): Socket {
    return this.gateway.secureSocket ?? this.socket;
  }

  private startSession(identity: Identity, state: State): void {
    clearTimeout(this.timer);
    this.socket.off('data', this.countChunk);
    const socket = this.gateway.detach();
    const id = this.hooks.allocateProcessId();
    const secret = Math.floor(Math.random() * 2 ** 31);
    this.session = Session.create({
      socket,
      identity,
      service: serviceOf(state),
      startupSettings: startupSettings(state),
      host: this.options.sessionHost,
    });
    this.hooks.onSession(this.session, id, secret);
    socket.write(
      Buffer.concat([
        authenticationOkFrame(),
        parameterStatusFrame('server_version', '15.0'),
        parameterStatusFrame('server_encoding', 'UTF8'),
        parameterStatusFrame('client_encoding', 'UTF8'),
        parameterStatusFrame('DateStyle', 'ISO, MDY'),
        parameterStatusFrame('integer_datetimes', 'on'),
        parameterStatusFrame('standard_conforming_strings', 'on'),
        backendKeyDataFrame(id, secret),
        readyForQueryFrame('I'),
      ]),
    );
    socket.resume();
  }
}

const serviceOf = (state: State): string =>
  state.clientInfo?.parameters.database ??
  state.clientInfo?.parameters.user ??
  '';

function accessProblem(
  config: Config,
  identity: Identity,
  service: string,
): Failure | undefined {
  if (!findService(config, service)) {
    return failure('service_unknown', `no service "${service}"`);
  }
  return mayUse(config, identity, service)
    ? undefined
    : failure(
        'service_denied',
        `customer ${identity.customer} may not use ${service}`,
      );
}

/** Returns the proxy settings in the startup parameters and in `options`. */
function startupSettings(state: State): [string, string][] {
  const parameters = state.clientInfo?.parameters ?? {user: ''};
  const direct = Object.entries(parameters);
  const options = parameters.options ?? '';
  const inOptions = [...options.matchAll(/(?:-c\s*|--)([\w.]+)=(\S+)/g)].map(
    match => [match[1], match[2]] as [string, string],
  );
  return [...direct, ...inOptions].filter(([name]) =>
    name.startsWith(SETTING_PREFIX),
  );
}
