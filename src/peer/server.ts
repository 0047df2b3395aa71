/**
 * The server for other VMs: HTTP/2 over mutually authenticated TLS. `/rpc`
 * accepts one JSON-RPC 2.0 message; `/lane` is a long-lived stream of lanes.
 */
import {
  createSecureServer,
  Http2SecureServer,
  IncomingHttpHeaders,
  ServerHttp2Session,
  ServerHttp2Stream,
} from 'node:http2';
import {JSONRPCServer} from 'json-rpc-2.0';
import {decodeUtf8, readAll} from '../core/documents.js';
import {Executor} from '../core/lane.js';
import {LaneServer} from './lane_server.js';
import {serverTls} from './secret.js';

/** HTTP paths of the peer port. */
export const PeerPath = {rpc: '/rpc', lane: '/lane'} as const;

export const STREAM_WINDOW_BYTES = 1024 * 1024;
export const SESSION_WINDOW_BYTES = 16 * 1024 * 1024;
const MAX_STREAMS = 20_000;
const MAX_RPC_BYTES = 4 * 1024 * 1024;

export interface PeerServerOptions {
  readonly host: string;
  /** 0 selects a free port. */
  readonly port: number;
  /** Secrets of the fleet; clients may use any of them. */
  readonly secrets: readonly string[];
  readonly rpc: JSONRPCServer;
  /** Opens the lanes that peers request. */
  readonly executor: Executor;
  readonly maxFrameBytes: number;
}

/** Serves the peer port of this VM. */
export class PeerServer {
  private readonly sessions = new Set<ServerHttp2Session>();

  private constructor(
    private readonly server: Http2SecureServer,
    private readonly options: PeerServerOptions,
  ) {
    server.on('secureConnection', socket => socket.setNoDelay(true));
    server.on('session', session => this.addSession(session));
    server.on('stream', (stream, headers) => this.serve(stream, headers));
    server.on('error', () => undefined);
  }

  static async create(options: PeerServerOptions): Promise<PeerServer> {
    const server = createSecureServer({
      ...serverTls(options.secrets),
      settings: {
        initialWindowSize: STREAM_WINDOW_BYTES,
        maxConcurrentStreams: MAX_STREAMS,
      },
    });
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    return new PeerServer(server, options);
  }

  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  async close(): Promise<void> {
    for (const session of this.sessions) session.destroy();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private addSession(session: ServerHttp2Session): void {
    this.sessions.add(session);
    session.setLocalWindowSize(SESSION_WINDOW_BYTES);
    session.on('error', () => undefined);
    session.on('close', () => this.sessions.delete(session));
  }

  private serve(stream: ServerHttp2Stream, headers: IncomingHttpHeaders): void {
    stream.on('error', () => undefined);
    switch (headers[':path']) {
      case PeerPath.rpc:
        return void this.serveRpc(stream);
      case PeerPath.lane:
        stream.respond({':status': 200});
        LaneServer.create(stream, this.options);
        return;
      default:
        stream.respond({':status': 404}, {endStream: true});
    }
  }

  private async serveRpc(stream: ServerHttp2Stream): Promise<void> {
    const text = await readText(stream);
    if (text === undefined) return stream.close();
    const response = await this.options.rpc.receiveJSON(text);
    if (stream.destroyed) return;
    stream.respond({':status': 200});
    stream.end(response ? JSON.stringify(response) : '');
  }
}

/** Reads a stream to its end; undefined if it fails or exceeds the limit. */
export async function readText(
  stream: AsyncIterable<Buffer>,
): Promise<string | undefined> {
  try {
    const bytes = await readAll(stream, MAX_RPC_BYTES);
    return bytes && decodeUtf8(bytes);
  } catch {
    // The caller closes the stream, or reports that the peer did not answer.
    return undefined;
  }
}
