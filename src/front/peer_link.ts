/**
 * Client side of the connection to another front. Connects on first use. While
 * calls are unanswered and nothing arrives, pings tell a slow call from a lost
 * peer.
 */
import {connect, Socket} from 'node:net';
import {JSONRPCClient} from 'json-rpc-2.0';
import {JsonLog} from './json_log.js';
import {MAX_CONTENT_BYTES, maxEncodedBytes} from './message_size.js';
import {
  createProof,
  decodeNonce,
  decodeWelcome,
  Hello,
  openChannel,
  PeerChannel,
} from './peer_protocol.js';
import {ProcessIdentity} from '../core/process_ids.js';

/** Name and address of another front. */
export interface PeerTarget {
  readonly vm: string;
  readonly host: string;
  readonly port: number;
}

export interface PeerLinkOptions {
  /** This process. */
  readonly self: ProcessIdentity;
  readonly target: PeerTarget;
  readonly secret: () => string;
  readonly log: JsonLog;
}

/** Thrown when a call cannot be sent or no answer to it arrives in time. */
export class PeerUnavailableError extends Error {
  constructor(
    message: string,
    /** Whether the peer may have received the call. */
    readonly wasSent: boolean,
  ) {
    super(message);
  }
}

/** Thrown for a call that is too long for a connection between fronts. */
export class MessageTooLongError extends PeerUnavailableError {
  constructor(bytes: number) {
    super(`${bytes} bytes are more than ${MAX_CONTENT_BYTES}`, false);
  }
}

const CONNECT_TIMEOUT_MS = 400;
const RECONNECT_PAUSE_MS = 300;
const CHECK_INTERVAL_MS = 100;
/** Time without a message after which a ping follows an unanswered call. */
const PING_AFTER_MS = 250;
/** Time without a message after a ping until the connection is closed. */
const PING_TIMEOUT_MS = 350;

type State = 'closed' | 'connecting' | 'open';

/** A connection to another front, opened again on use after it was lost. */
export class PeerLink {
  /** When the peer last sent a message, on the monotonic clock. */
  lastSeenAtMs = 0;
  private state: State = 'closed';
  private socket: Socket | undefined;
  private client: JSONRPCClient | undefined;
  private connectWaiters: Array<(error: Error | undefined) => void> = [];
  private failedAtMs = -Infinity;
  private unanswered = 0;
  private pingedAtMs = 0;
  private silenceTimer: NodeJS.Timeout | undefined;
  private isClosed = false;
  /** Id of the connected process; undefined if it tells none. */
  private peerProcess: string | undefined;

  private constructor(private readonly options: PeerLinkOptions) {}

  static create(options: PeerLinkOptions): PeerLink {
    return new PeerLink(options);
  }

  /** Name of the peer. */
  get vm(): string {
    return this.options.target.vm;
  }

  /** Whether calls fail at once: closed, or pausing after a lost connection. */
  get isDown(): boolean {
    return (
      this.isClosed ||
      (this.state === 'closed' &&
        performance.now() - this.failedAtMs < RECONNECT_PAUSE_MS)
    );
  }

  /** Whether the link's peer has this address. */
  hasAddress(target: PeerTarget): boolean {
    const current = this.options.target;
    return current.host === target.host && current.port === target.port;
  }

  /**
   * Calls a method; rejects as soon as the connection is lost. The caller checks
   * the reply. `maySend` is asked once the link is connected.
   */
  async call(
    method: string,
    params: unknown,
    maySend: () => boolean = () => true,
  ): Promise<unknown> {
    const bytes = maxEncodedBytes(params);
    if (bytes > MAX_CONTENT_BYTES) throw new MessageTooLongError(bytes);
    await this.ensureConnected();
    const {client} = this;
    if (!client) throw new PeerUnavailableError('not connected', false);
    if (!maySend()) throw new PeerUnavailableError('canceled', false);
    this.unanswered++;
    this.startSilenceCheck();
    try {
      return await client.request(method, params);
    } finally {
      this.unanswered--;
    }
  }

  /**
   * Calls a method that answers only when it has news. A missing answer is no
   * sign of failure here, so the caller must set a time limit.
   */
  async longPoll(method: string, params: unknown): Promise<unknown> {
    await this.ensureConnected();
    if (!this.client) throw new PeerUnavailableError('not connected', false);
    return await this.client.request(method, params);
  }

  /** Sends a notification if the peer is connected; drops it otherwise. */
  notify(method: string, params: unknown): void {
    if (maxEncodedBytes(params) > MAX_CONTENT_BYTES) {
      const peer = this.vm;
      return this.options.log('notification_too_long', {peer, method});
    }
    this.client?.notify(method, params);
  }

  close(): void {
    this.isClosed = true;
    this.disconnect('closed');
  }

  private ensureConnected(): Promise<void> {
    if (this.state === 'open') return Promise.resolve();
    if (this.isDown) {
      return Promise.reject(new PeerUnavailableError('peer is down', false));
    }
    return new Promise((resolve, reject) => {
      this.connectWaiters.push(error => (error ? reject(error) : resolve()));
      if (this.state === 'closed') this.connect();
    });
  }

  private connect(): void {
    const {self, target, secret, log} = this.options;
    this.state = 'connecting';
    const socket = connect({host: target.host, port: target.port});
    this.socket = socket;
    socket.setNoDelay(true);
    const connectTimer = setTimeout(
      () => this.disconnectSocket(socket, 'connect timed out'),
      CONNECT_TIMEOUT_MS,
    );
    let nonce: string | undefined;
    const channel = openChannel(socket, message => {
      // Calls of the next connection are numbered from 1 again.
      if (socket !== this.socket) return;
      this.lastSeenAtMs = performance.now();
      if (nonce === undefined) {
        nonce = decodeNonce(message);
        if (nonce === undefined)
          return this.disconnect('no hello of another front');
        const hello: Hello = {
          from: self.vm,
          to: target.vm,
          proof: createProof(secret(), nonce, self.vm, target.vm),
          process: self.process,
        };
        channel.send(hello);
      } else if (this.state === 'connecting') {
        const welcome = decodeWelcome(message);
        if (!welcome) return this.disconnect('no welcome of another front');
        clearTimeout(connectTimer);
        this.onConnected(channel);
        this.peerProcess = welcome.process;
        log('peer_connected', {peer: target.vm, process: this.peerProcess});
      } else this.client?.receive(message as never);
    });
    socket.on('error', error => this.disconnectSocket(socket, error.message));
    socket.on('close', () => {
      clearTimeout(connectTimer);
      this.disconnectSocket(socket, 'connection closed');
    });
  }

  private onConnected(channel: PeerChannel): void {
    this.state = 'open';
    this.client = new JSONRPCClient(request => channel.send(request));
    for (const done of this.connectWaiters.splice(0)) done(undefined);
  }

  private disconnectSocket(socket: Socket, text: string): void {
    if (socket === this.socket) this.disconnect(text);
  }

  private disconnect(text: string): void {
    const {socket, client} = this;
    if (!socket) return;
    const wasSent = this.state === 'open';
    this.socket = undefined;
    this.client = undefined;
    this.state = 'closed';
    this.failedAtMs = performance.now();
    clearInterval(this.silenceTimer);
    this.silenceTimer = undefined;
    socket.destroy();
    if (!this.isClosed) {
      this.options.log('peer_lost', {
        peer: this.options.target.vm,
        process: wasSent ? this.peerProcess : undefined,
        text,
        unanswered: this.unanswered,
      });
    }
    for (const done of this.connectWaiters.splice(0))
      done(new PeerUnavailableError(text, wasSent));
    client?.rejectAllPendingRequests(text);
  }

  /**
   * Checks repeatedly, until no call is unanswered, whether the peer has gone
   * silent.
   */
  private startSilenceCheck(): void {
    if (this.silenceTimer) return;
    this.lastSeenAtMs = performance.now();
    this.pingedAtMs = 0;
    this.silenceTimer = setInterval(
      () => this.checkSilence(),
      CHECK_INTERVAL_MS,
    );
  }

  private checkSilence(): void {
    const nowMs = performance.now();
    if (this.unanswered === 0) {
      clearInterval(this.silenceTimer);
      this.silenceTimer = undefined;
      return;
    }
    if (this.pingedAtMs > this.lastSeenAtMs) {
      if (nowMs - this.pingedAtMs > PING_TIMEOUT_MS)
        this.disconnect('no answer to ping');
    } else if (nowMs - this.lastSeenAtMs > PING_AFTER_MS) {
      this.pingedAtMs = nowMs;
      this.client?.request('ping', []).then(
        () => undefined,
        () => undefined,
      );
    }
  }
}
