/**
 * Accepts connections of callers and handles startup, TLS and key checks before
 * it starts a session. Limits the bytes and the duration of a login and the
 * number of connections.
 */
import {createServer, Server, Socket} from 'node:net';
import {TLSSocket} from 'node:tls';
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
import {parseOptions, StartupMessage, StartupReader} from '../pg/startup.js';
import {
  authenticationOkFrame,
  authenticationPasswordFrame,
  backendKeyDataFrame,
  failureFrame,
  parameterStatusFrame,
  readyForQueryFrame,
} from '../pg/wire.js';
import {Session, SessionHost} from './session.js';
import {SessionVariables} from './session_variables.js';

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

/** Answers to requests for encryption. */
const SUPPORTED = 'S';
const NOT_SUPPORTED = 'N';
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
  private readonly reader = StartupReader.create({
    maxMessageBytes: MAX_LOGIN_BYTES,
  });
  private readonly timer: NodeJS.Timeout;
  private bytes = 0;
  /** The connection, or TLS over it. */
  private stream: Socket;
  private parameters: ReadonlyMap<string, string> = new Map();
  private isHandling = false;
  private hasEnded = false;
  private readonly countChunk = (chunk: Buffer): void => this.countBytes(chunk);
  private readonly onData = (chunk: Buffer): void => {
    if (this.hasEnded) return;
    this.reader.push(chunk);
    // A fault in a login ends its own connection only.
    this.advance().catch((error: Error) => this.socket.destroy(error));
  };

  private constructor(
    private readonly socket: Socket,
    private readonly options: ListenerOptions,
    private readonly hooks: LoginHooks,
  ) {
    this.stream = socket;
    this.timer = setTimeout(() => this.expire(), options.loginTimeoutMs);
    socket.on('data', this.countChunk);
    socket.on('data', this.onData);
    socket.once('close', () => {
      this.hasEnded = true;
      clearTimeout(this.timer);
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

  /** Handles complete messages, one at a time, until the login has ended. */
  private async advance(): Promise<void> {
    if (this.isHandling) return;
    this.isHandling = true;
    while (!this.hasEnded) {
      const message = this.reader.next();
      if (!message) break;
      this.stream.pause();
      await this.handle(message);
      this.stream.resume();
    }
    this.isHandling = false;
  }

  private async handle(message: StartupMessage): Promise<void> {
    switch (message.kind) {
      case 'tls':
        return this.startTls();
      case 'gss':
        return void this.stream.write(NOT_SUPPORTED);
      case 'cancel':
        this.hooks.onCancel(message.processId, message.secret);
        this.hasEnded = true;
        return void this.socket.destroy();
      case 'startup':
        return this.start(message.parameters);
      case 'password':
        return this.checkKey(message.password);
      case 'invalid':
        return this.reject(failure('protocol_violation', message.text));
    }
  }

  private startTls(): void {
    const {tls} = this.options;
    if (!tls || this.stream !== this.socket)
      return void this.stream.write(NOT_SUPPORTED);
    // Bytes behind the request came without TLS, perhaps from somebody else.
    if (this.reader.bufferedBytes > 0) {
      const text = 'unencrypted bytes behind the request for TLS';
      return this.reject(failure('protocol_violation', text));
    }
    this.socket.write(SUPPORTED);
    this.socket.off('data', this.onData);
    this.stream = new TLSSocket(this.socket, {isServer: true, ...tls});
    this.stream.on('error', () => this.socket.destroy());
    this.stream.on('data', this.onData);
    this.socket.resume();
  }

  private async start(parameters: ReadonlyMap<string, string>): Promise<void> {
    this.parameters = parameters;
    const host = this.options.sessionHost;
    if (!parameters.get('user')) {
      return this.reject(failure('protocol_violation', 'user is required'));
    }
    const encoding = parameters.get('client_encoding') ?? '';
    if (!isUtf8Name(encoding)) {
      const text = `client_encoding ${encoding}; use UTF8`;
      return this.reject(failure('not_supported', text));
    }
    await this.awaitConfig();
    if (this.hasEnded) return;
    if (host.isDraining()) {
      this.reject(failure('shutting_down', 'the proxy is shutting down'));
    } else if (findService(host.config(), this.service)?.open) {
      this.startSession({customer: ANONYMOUS_CUSTOMER, key: undefined});
    } else {
      this.stream.write(authenticationPasswordFrame());
    }
  }

  /** Waits until a VM that has just started has its first configuration. */
  private async awaitConfig(): Promise<void> {
    const host = this.options.sessionHost;
    while (host.config().version === 0 && !this.hasEnded) {
      await new Promise(resolve => setTimeout(resolve, CONFIG_POLL_MS));
    }
  }

  private async checkKey(key: string): Promise<void> {
    const user = this.parameters.get('user') ?? '';
    const address = this.socket.remoteAddress ?? '';
    await this.hooks.limiter.delay(address);
    if (this.hasEnded) return;
    const config = this.options.sessionHost.config();
    const identity = authenticate(config, user, key);
    if (!identity) {
      this.hooks.limiter.recordFailure(address, Date.now());
      return this.reject(
        failure('key_rejected', `key of customer "${user}" is not accepted`),
      );
    }
    const problem = accessProblem(config, identity, this.service);
    if (problem) return this.reject(problem);
    this.startSession(identity);
  }

  private reject(reason: Failure): void {
    this.hasEnded = true;
    this.stream.end(failureFrame(reason));
  }

  private get service(): string {
    return this.parameters.get('database') ?? this.parameters.get('user') ?? '';
  }

  private startSession(identity: Identity): void {
    const {sessionHost} = this.options;
    const {service, stream} = this;
    const settings = startupSettings(this.parameters);
    const variables = SessionVariables.create(
      service,
      sessionHost.tokenSecrets,
    );
    for (const [name, value] of settings) {
      const problem = variables.apply(name, value);
      if (problem) return this.reject(problem);
    }
    this.hasEnded = true;
    clearTimeout(this.timer);
    this.socket.off('data', this.countChunk);
    stream.off('data', this.onData);
    const id = this.hooks.allocateProcessId();
    const secret = Math.floor(Math.random() * 2 ** 31);
    const session = Session.create({
      socket: stream,
      identity,
      service,
      variables,
      host: sessionHost,
    });
    this.hooks.onSession(session, id, secret);
    stream.write(
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
    // What the caller sent behind its login belongs to the session.
    const rest = this.reader.takeRest();
    if (rest.length > 0) session.receive(rest);
  }
}

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
function startupSettings(
  parameters: ReadonlyMap<string, string>,
): Array<[string, string]> {
  const inOptions = parseOptions(parameters.get('options') ?? '');
  return [...parameters, ...inOptions].filter(([name]) =>
    name.startsWith(SETTING_PREFIX),
  );
}
