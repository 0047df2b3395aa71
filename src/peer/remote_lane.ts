/** A lane whose backend connection is held by another VM. */
import {ClientHttp2Stream} from 'node:http2';
import {failure, Failure} from '../core/errors.js';
import {
  Lane,
  LaneBatch,
  LaneRequest,
  LaneSink,
  connectionLossFailure,
} from '../core/lane.js';
import {FrameCode, FrameReader} from '../pg/wire.js';
import {
  abortMessage,
  cancelMessage,
  openMessage,
  parseLaneMessage,
  sendMessage,
} from './lane_messages.js';

export interface RemoteLaneOptions {
  readonly stream: ClientHttp2Stream;
  readonly request: LaneRequest;
  readonly batch: LaneBatch;
  readonly sink: LaneSink;
  readonly maxFrameBytes: number;
  /** Whether the connection to the peer is established. */
  readonly isConnected: () => boolean;
  /** Makes the stream available to another lane. */
  readonly releaseStream: () => void;
}

/**
 * Time past the deadline of the request before the stream is destroyed. The
 * owner of the pool enforces the deadline itself.
 */
const PEER_GRACE_MS = 500;

/**
 * A lane that another VM, the owner of the connection pool, serves over a
 * stream.
 */
export class RemoteLane implements Lane {
  private readonly reader: FrameReader;
  private batch: LaneBatch;
  private hasEnded = false;
  /**
   * Whether the connection to the peer was established at some time during the
   * lane; otherwise the peer has received nothing.
   */
  private mayHaveReachedPeer: boolean;
  private deadlineTimer: NodeJS.Timeout | undefined;
  private readonly onData = (chunk: Buffer): void => this.receive(chunk);
  private readonly onClose = (): void => this.handleClose();

  private constructor(private readonly options: RemoteLaneOptions) {
    const {stream, request, batch, maxFrameBytes} = options;
    this.batch = batch;
    this.reader = FrameReader.create({maxFrameBytes: maxFrameBytes + 65_536});
    stream.on('data', this.onData);
    stream.on('close', this.onClose);
    this.mayHaveReachedPeer = options.isConnected();
    if (!this.mayHaveReachedPeer) {
      stream.session?.once('connect', () => (this.mayHaveReachedPeer = true));
    }
    stream.write(openMessage(request, batch));
    this.startDeadline(batch.budgetMs);
  }

  static create(options: RemoteLaneOptions): RemoteLane {
    return new RemoteLane(options);
  }

  send(batch: LaneBatch): void {
    if (this.hasEnded) return;
    this.batch = batch;
    this.startDeadline(batch.budgetMs);
    this.options.stream.write(sendMessage(batch));
  }

  cancel(): void {
    if (!this.hasEnded) this.options.stream.write(cancelMessage());
  }

  abort(): void {
    if (this.hasEnded) return;
    this.detach();
    // A later lane on this stream would receive the response to the abort, so
    // the stream is closed instead of released.
    this.options.stream.write(abortMessage());
    this.options.stream.close();
  }

  pause(): void {
    this.options.stream.pause();
  }

  resume(): void {
    this.options.stream.resume();
  }

  private startDeadline(budgetMs: number): void {
    clearTimeout(this.deadlineTimer);
    this.deadlineTimer = setTimeout(
      () => this.options.stream.destroy(),
      budgetMs + PEER_GRACE_MS,
    );
  }

  private receive(chunk: Buffer): void {
    if (this.hasEnded) return;
    const isValid = this.reader.push(chunk, (code, frame) =>
      this.handleFrame(code, frame),
    );
    if (!isValid) this.options.stream.destroy();
    else this.options.sink.onChunkEnd();
  }

  private handleFrame(code: number, frame: Buffer): void {
    if (this.hasEnded) return;
    const {sink, stream} = this.options;
    if (code === FrameCode.ready) clearTimeout(this.deadlineTimer);
    if (code !== FrameCode.rpc) return sink.onFrame(code, frame);
    const message = parseLaneMessage(frame);
    switch (message?.method) {
      case 'position':
        return sink.onPosition(message.params);
      case 'done':
        this.detach();
        stream.resume();
        this.options.releaseStream();
        return sink.onDone();
      case 'failure':
        this.detach();
        stream.resume();
        this.options.releaseStream();
        return sink.onFailure(message.params);
      default:
        stream.destroy();
    }
  }

  private handleClose(): void {
    if (this.hasEnded) return;
    this.detach();
    this.options.sink.onFailure(this.lossFailure());
  }

  private lossFailure(): Failure {
    if (!this.mayHaveReachedPeer) {
      return failure('backend_unreachable', 'pool owner is unreachable');
    }
    return connectionLossFailure(this.options.request.access, this.batch);
  }

  private detach(): void {
    this.hasEnded = true;
    clearTimeout(this.deadlineTimer);
    const {stream} = this.options;
    stream.off('data', this.onData);
    stream.off('close', this.onClose);
  }
}
