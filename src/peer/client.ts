/** Client of the peer port of another VM: JSON-RPC calls and lanes. */
import {
  ClientHttp2Session,
  ClientHttp2Stream,
  connect as connectHttp2,
} from 'node:http2';
import {connect as connectTls} from 'node:tls';
import {JSONRPCClient} from 'json-rpc-2.0';
import {failure} from '../core/errors.js';
import {
  Executor,
  Lane,
  LaneBatch,
  LaneRequest,
  LaneSink,
} from '../core/lane.js';
import {RemoteLane} from './remote_lane.js';
import {clientTls} from './secret.js';
import {
  PeerPath,
  readText,
  SESSION_WINDOW_BYTES,
  STREAM_WINDOW_BYTES,
} from './server.js';

export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

export interface PeerClientOptions {
  /** Name of the other VM. */
  readonly vm: string;
  readonly address: PeerAddress;
  /** Secrets of the fleet; the client authenticates with the first. */
  readonly secrets: readonly string[];
  readonly maxFrameBytes: number;
}

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_IDLE_STREAMS = 256;

/**
 * An HTTP/2 connection to another VM. It is opened on first use, and opened
 * again by the next use after a failure.
 */
export class PeerClient implements Executor {
  private session: ClientHttp2Session | undefined;
  /** Open streams that no lane uses now; the next lane takes one of them. */
  private readonly idle: ClientHttp2Stream[] = [];
  private readonly rpc: JSONRPCClient;
  private isClosed = false;

  private constructor(private readonly options: PeerClientOptions) {
    this.rpc = new JSONRPCClient(async request => {
      const response = await this.post(JSON.stringify(request));
      this.rpc.receive(JSON.parse(response));
    });
  }

  static create(options: PeerClientOptions): PeerClient {
    return new PeerClient(options);
  }

  /** Calls a JSON-RPC method; rejects on failure or timeout. */
  async call<T>(method: string, params: object, timeoutMs: number): Promise<T> {
    return (await this.rpc.timeout(timeoutMs).request(method, params)) as T;
  }

  open(request: LaneRequest, batch: LaneBatch, sink: LaneSink): Lane {
    const session = this.connect();
    const stream = this.idle.pop() ?? this.openStream(session);
    return RemoteLane.create({
      stream,
      request,
      batch,
      sink,
      maxFrameBytes: this.options.maxFrameBytes,
      isConnected: () => session.connecting === false && !session.destroyed,
      releaseStream: () => this.releaseStream(stream),
    });
  }

  /** Whether this client connects to an address. */
  isFor({host, port}: PeerAddress): boolean {
    const {address} = this.options;
    return address.host === host && address.port === port;
  }

  close(): void {
    this.isClosed = true;
    this.session?.destroy();
  }

  private connect(): ClientHttp2Session {
    if (this.session && !this.session.destroyed && !this.session.closed) {
      return this.session;
    }
    this.idle.length = 0;
    const {address, secrets} = this.options;
    const session = connectHttp2(`https://${address.host}:${address.port}`, {
      settings: {initialWindowSize: STREAM_WINDOW_BYTES, enablePush: false},
      createConnection: () =>
        connectTls({...address, ...clientTls(secrets)}).setNoDelay(true),
    });
    const timer = setTimeout(() => session.destroy(), CONNECT_TIMEOUT_MS);
    session.on('error', () => undefined);
    session.once('close', () => clearTimeout(timer));
    session.once('connect', () => {
      clearTimeout(timer);
      // The session may have been destroyed since the event was scheduled.
      if (session.destroyed) return;
      session.setLocalWindowSize(SESSION_WINDOW_BYTES);
    });
    this.session = session;
    return session;
  }

  private openStream(session: ClientHttp2Session): ClientHttp2Stream {
    const stream = session.request(
      {':method': 'POST', ':path': PeerPath.lane},
      {endStream: false},
    );
    stream.on('error', () => undefined);
    return stream;
  }

  private releaseStream(stream: ClientHttp2Stream): void {
    const isUsable = !stream.destroyed && !stream.closed && !this.isClosed;
    if (isUsable && this.idle.length < MAX_IDLE_STREAMS) this.idle.push(stream);
    else stream.end();
  }

  private async post(body: string): Promise<string> {
    if (this.isClosed) throw new Error('peer connection is closed');
    const session = this.connect();
    const stream = session.request({
      ':method': 'POST',
      ':path': PeerPath.rpc,
    });
    stream.on('error', () => undefined);
    stream.end(body);
    const text = await readText(stream);
    if (!text) {
      throw new Error(
        failure('backend_unreachable', 'no readable response from peer')
          .message,
      );
    }
    return text;
  }
}
