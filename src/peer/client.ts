/** The connection to one other VM: JSON-RPC calls and lanes. */
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

/** Where a VM listens for its peers. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** What a peer connection needs. */
export interface PeerClientOptions {
  readonly vm: string;
  readonly address: PeerAddress;
  readonly secrets: readonly string[];
  readonly maxFrameBytes: number;
}

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_IDLE_STREAMS = 256;

/** One other VM. Connects on first use and again after a failure. */
export class PeerClient implements Executor {
  private session: ClientHttp2Session | undefined;
  private readonly idle: ClientHttp2Stream[] = [];
  private readonly rpc: JSONRPCClient;
  private closed = false;

  private constructor(private readonly options: PeerClientOptions) {
    this.rpc = new JSONRPCClient(async request => {
      const answer = await this.post(JSON.stringify(request));
      this.rpc.receive(JSON.parse(answer));
    });
  }

  static create(options: PeerClientOptions): PeerClient {
    return new PeerClient(options);
  }

  /** Calls a method; rejects on failure or timeout. */
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
      recycle: () => this.recycle(stream),
    });
  }

  close(): void {
    this.closed = true;
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

  private recycle(stream: ClientHttp2Stream): void {
    const usable = !stream.destroyed && !stream.closed && !this.closed;
    if (usable && this.idle.length < MAX_IDLE_STREAMS) this.idle.push(stream);
    else stream.end();
  }

  private async post(body: string): Promise<string> {
    if (this.closed) throw new Error('peer connection is closed');
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
        failure('backend_unreachable', 'peer gave no answer').message,
      );
    }
    return text;
  }
}
