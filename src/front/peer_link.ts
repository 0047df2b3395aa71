/**
 * Calls to one other front. The connection is opened when first needed; when
 * calls stay unanswered and nothing is heard, a ping tells silence from work.
 */
import {connect, Socket} from 'node:net';
import {JSONRPCClient} from 'json-rpc-2.0';
import {JsonLog} from './json_log.js';
import {Hello, openChannel, PeerChannel, createProof} from './peer_protocol.js';

/** Whom a link reaches. */
export interface PeerTarget {
  readonly vm: string;
  readonly host: string;
  readonly port: number;
}

/** What a link needs. */
export interface PeerLinkOptions {
  readonly self: string;
  readonly target: PeerTarget;
  readonly secret: () => string;
  readonly log: JsonLog;
}

/** Why a call has no answer. */
export class PeerUnavailableError extends Error {
  constructor(
    message: string,
    /** Whether the peer may have got the call. */
    readonly wasSent: boolean,
  ) {
    super(message);
  }
}

const CONNECT_TIMEOUT_MS = 400;
const RECONNECT_PAUSE_MS = 300;
const CHECK_INTERVAL_MS = 100;
/** Unanswered calls are followed by a ping after this silence. */
const PING_AFTER_MS = 250;
/** Silence after a ping that ends the connection. */
const PING_TIMEOUT_MS = 350;

type State = 'closed' | 'connecting' | 'open';

/** A connection to another front. */
export class PeerLink {
  /** When the peer was last heard, on the steady clock. */
  lastSeenAtMs = 0;
  private state: State = 'closed';
  private socket: Socket | undefined;
  private client: JSONRPCClient | undefined;
  private waiting: Array<(error: Error | undefined) => void> = [];
  private failedAtMs = -Infinity;
  private unanswered = 0;
  private pingedAtMs = 0;
  private timer: NodeJS.Timeout | undefined;
  private shut = false;

  private constructor(private readonly options: PeerLinkOptions) {}

  static create(options: PeerLinkOptions): PeerLink {
    return new PeerLink(options);
  }

  /** Whether a call now would wait for nothing. */
  get isDown(): boolean {
    return (
      this.shut ||
      (this.state === 'closed' &&
        performance.now() - this.failedAtMs < RECONNECT_PAUSE_MS)
    );
  }

  /** Whether the link leads to this address. */
  hasAddress(target: PeerTarget): boolean {
    const own = this.options.target;
    return own.host === target.host && own.port === target.port;
  }

  /** Calls a method; fails with `PeerLost` when no answer can come any more. */
  async call<T>(method: string, params: unknown): Promise<T> {
    await this.ready();
    const {client} = this;
    if (!client) throw new PeerUnavailableError('not connected', false);
    this.unanswered++;
    this.watch();
    try {
      return (await client.request(method, params)) as T;
    } finally {
      this.unanswered--;
    }
  }

  /**
   * Calls a method that answers when there is something to tell: silence is no
   * sign of failure, so that the caller sets a time limit.
   */
  async longPoll<T>(method: string, params: unknown): Promise<T> {
    await this.ready();
    if (!this.client) throw new PeerUnavailableError('not connected', false);
    return (await this.client.request(method, params)) as T;
  }

  /** Tells the peer something, if it is connected. */
  notify(method: string, params: unknown): void {
    this.client?.notify(method, params);
  }

  close(): void {
    this.shut = true;
    this.fail('closed');
  }

  private ready(): Promise<void> {
    if (this.state === 'open') return Promise.resolve();
    if (this.isDown) {
      return Promise.reject(new PeerUnavailableError('peer is down', false));
    }
    return new Promise((resolve, reject) => {
      this.waiting.push(error => (error ? reject(error) : resolve()));
      if (this.state === 'closed') this.dial();
    });
  }

  private dial(): void {
    const {self, target, secret, log} = this.options;
    this.state = 'connecting';
    const socket = connect({host: target.host, port: target.port});
    this.socket = socket;
    socket.setNoDelay(true);
    const limit = setTimeout(
      () => this.failSocket(socket, 'no connection in time'),
      CONNECT_TIMEOUT_MS,
    );
    let nonce: string | undefined;
    const channel = openChannel(socket, message => {
      this.lastSeenAtMs = performance.now();
      if (nonce === undefined) {
        nonce = String((message as {nonce?: unknown}).nonce);
        const hello: Hello = {
          from: self,
          to: target.vm,
          proof: createProof(secret(), nonce, self, target.vm),
        };
        channel.send(hello);
      } else if (this.state === 'connecting') {
        clearTimeout(limit);
        this.open(channel);
        log('peer_connected', {peer: target.vm});
      } else this.client?.receive(message as never);
    });
    socket.on('error', error => this.failSocket(socket, error.message));
    socket.on('close', () => {
      clearTimeout(limit);
      this.failSocket(socket, 'connection closed');
    });
  }

  private open(channel: PeerChannel): void {
    this.state = 'open';
    this.client = new JSONRPCClient(request => channel.send(request));
    for (const done of this.waiting.splice(0)) done(undefined);
  }

  private failSocket(socket: Socket, text: string): void {
    if (socket === this.socket) this.fail(text);
  }

  private fail(text: string): void {
    const {socket, client} = this;
    if (!socket) return;
    const sent = this.state === 'open';
    this.socket = undefined;
    this.client = undefined;
    this.state = 'closed';
    this.failedAtMs = performance.now();
    clearInterval(this.timer);
    this.timer = undefined;
    socket.destroy();
    if (!this.shut) {
      this.options.log('peer_lost', {
        peer: this.options.target.vm,
        text,
        unanswered: this.unanswered,
      });
    }
    for (const done of this.waiting.splice(0))
      done(new PeerUnavailableError(text, sent));
    client?.rejectAllPendingRequests(text);
  }

  /** While calls are unanswered, silence is checked. */
  private watch(): void {
    if (this.timer) return;
    this.lastSeenAtMs = performance.now();
    this.pingedAtMs = 0;
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  private check(): void {
    const nowMs = performance.now();
    if (this.unanswered === 0) {
      clearInterval(this.timer);
      this.timer = undefined;
      return;
    }
    if (this.pingedAtMs > this.lastSeenAtMs) {
      if (nowMs - this.pingedAtMs > PING_TIMEOUT_MS) this.fail('silent');
    } else if (nowMs - this.lastSeenAtMs > PING_AFTER_MS) {
      this.pingedAtMs = nowMs;
      this.client?.request('ping', []).then(
        () => undefined,
        () => undefined,
      );
    }
  }
}
