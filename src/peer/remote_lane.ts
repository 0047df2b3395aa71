/** A lane at another VM. */
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
  readMessage,
  sendMessage,
} from './lane_messages.js';

/** What a remote lane needs. */
export interface RemoteLaneOptions {
  readonly stream: ClientHttp2Stream;
  readonly request: LaneRequest;
  readonly batch: LaneBatch;
  readonly sink: LaneSink;
  readonly maxFrameBytes: number;
  /** Whether the connection to the peer was ever established. */
  readonly isConnected: () => boolean;
  /** Gives the stream back for the next lane. */
  readonly recycle: () => void;
}

/** Grace beyond the request's own deadline, which the owner enforces. */
const PEER_GRACE_MS = 500;

/** One lane on a stream to the pool's owner. */
export class RemoteLane implements Lane {
  private readonly reader: FrameReader;
  private batch: LaneBatch;
  private over = false;
  /** Frames were written to an established connection. */
  private sent: boolean;
  private timer: NodeJS.Timeout | undefined;
  private readonly onData = (chunk: Buffer): void => this.receive(chunk);
  private readonly onClose = (): void => this.lose();

  private constructor(private readonly options: RemoteLaneOptions) {
    const {stream, request, batch, maxFrameBytes} = options;
    this.batch = batch;
    this.reader = FrameReader.create({maxFrameBytes: maxFrameBytes + 65_536});
    stream.on('data', this.onData);
    stream.on('close', this.onClose);
    this.sent = options.isConnected();
    if (!this.sent) {
      stream.session?.once('connect', () => (this.sent = true));
    }
    stream.write(openMessage(request, batch));
    this.arm(batch.budgetMs);
  }

  static create(options: RemoteLaneOptions): RemoteLane {
    return new RemoteLane(options);
  }

  send(batch: LaneBatch): void {
    if (this.over) return;
    this.batch = batch;
    this.arm(batch.budgetMs);
    this.options.stream.write(sendMessage(batch));
  }

  cancel(): void {
    if (!this.over) this.options.stream.write(cancelMessage());
  }

  abort(): void {
    if (this.over) return;
    this.release();
    // The answer to an abort would reach the stream's next user: end it.
    this.options.stream.write(abortMessage());
    this.options.stream.close();
  }

  pause(): void {
    this.options.stream.pause();
  }

  resume(): void {
    this.options.stream.resume();
  }

  private arm(budgetMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(
      () => this.options.stream.destroy(),
      budgetMs + PEER_GRACE_MS,
    );
  }

  private receive(chunk: Buffer): void {
    if (this.over) return;
    const fine = this.reader.push(chunk, (code, frame) =>
      this.accept(code, frame),
    );
    if (!fine) this.options.stream.destroy();
    else this.options.sink.onChunkEnd();
  }

  private accept(code: number, frame: Buffer): void {
    if (this.over) return;
    const {sink, stream} = this.options;
    if (code === FrameCode.ready) clearTimeout(this.timer);
    if (code !== FrameCode.rpc) return sink.onFrame(code, frame);
    const message = readMessage(frame);
    switch (message?.method) {
      case 'position':
        return sink.onPosition(message.params);
      case 'done':
        this.release();
        stream.resume();
        this.options.recycle();
        return sink.onDone();
      case 'failure':
        this.release();
        stream.resume();
        this.options.recycle();
        return sink.onFailure(message.params);
      default:
        stream.destroy();
    }
  }

  private lose(): void {
    if (this.over) return;
    this.release();
    this.options.sink.onFailure(this.lossOutcome());
  }

  private lossOutcome(): Failure {
    if (!this.sent) {
      return failure('backend_unreachable', 'the pool owner was not reached');
    }
    return connectionLossFailure(this.options.request.access, this.batch);
  }

  private release(): void {
    this.over = true;
    clearTimeout(this.timer);
    const {stream} = this.options;
    stream.off('data', this.onData);
    stream.off('close', this.onClose);
  }
}
