/**
 * Serves the lanes that another VM opens on one HTTP/2 stream. A stream carries
 * one lane at a time and is used again for the next.
 */
import {Duplex} from 'node:stream';
import {Executor, Lane, LaneBatch, LaneSink} from '../core/lane.js';
import {Failure} from '../core/errors.js';
import {Position} from '../core/position.js';
import {bodyOf, FrameCode, FrameReader} from '../pg/wire.js';
import {
  doneMessage,
  failureMessage,
  LaneMessage,
  positionMessage,
  parseLaneMessage,
} from './lane_messages.js';

export interface LaneServerOptions {
  /** Opens the requested lanes on this VM. */
  readonly executor: Executor;
  readonly maxFrameBytes: number;
}

/** Added to the frame limit, since a batch frame can hold several frames. */
const BATCH_OVERHEAD_BYTES = 1024 * 1024;

/**
 * Serves the lanes that a peer opens on one stream by relaying them to an
 * `Executor`.
 */
export class LaneServer implements LaneSink {
  private readonly reader: FrameReader;
  private lane: Lane | undefined;
  /** An `open` or `send` whose batch frame has not arrived yet. */
  private pendingMessage: LaneMessage | undefined;
  private outputFrames: Buffer[] = [];

  private constructor(
    private readonly stream: Duplex,
    private readonly options: LaneServerOptions,
  ) {
    this.reader = FrameReader.create({
      maxFrameBytes: options.maxFrameBytes + BATCH_OVERHEAD_BYTES,
    });
    stream.on('data', (chunk: Buffer) => this.receive(chunk));
    stream.on('drain', () => this.lane?.resume());
    stream.on('close', () => this.handleClose());
    stream.on('end', () => stream.end());
  }

  static create(stream: Duplex, options: LaneServerOptions): LaneServer {
    return new LaneServer(stream, options);
  }

  onFrame(_code: number, frame: Buffer): void {
    this.outputFrames.push(frame);
  }

  onPosition(position: Position): void {
    this.outputFrames.push(positionMessage(position));
  }

  onChunkEnd(): void {
    if (this.outputFrames.length === 0 || this.stream.destroyed) return;
    const bytes = Buffer.concat(this.outputFrames);
    this.outputFrames = [];
    if (!this.stream.write(bytes)) this.lane?.pause();
  }

  onFailure(failure: Failure): void {
    this.lane = undefined;
    this.outputFrames.push(failureMessage(failure));
    this.onChunkEnd();
  }

  onDone(): void {
    this.lane = undefined;
    this.outputFrames.push(doneMessage());
  }

  private receive(chunk: Buffer): void {
    const isValid = this.reader.push(chunk, (code, frame) =>
      this.handleFrame(code, frame),
    );
    if (!isValid) this.stream.destroy();
  }

  private handleFrame(code: number, frame: Buffer): void {
    if (code === FrameCode.batch) return this.handleBatch(bodyOf(frame));
    const message =
      code === FrameCode.rpc ? parseLaneMessage(frame) : undefined;
    switch (message?.method) {
      case 'open':
      case 'send':
        this.pendingMessage = message;
        return;
      case 'cancel':
        return this.lane?.cancel();
      case 'abort':
        return this.abort();
      default:
        this.stream.destroy();
    }
  }

  private handleBatch(bytes: Buffer): void {
    const message = this.pendingMessage;
    this.pendingMessage = undefined;
    if (message?.method === 'send') {
      this.lane?.send(toLaneBatch(message.params.batch, bytes));
    } else if (message?.method === 'open' && !this.lane) {
      const {request, batch} = message.params;
      let hasEnded = false;
      const sink: LaneSink = {
        onFrame: (code, frame) => this.onFrame(code, frame),
        onPosition: position => this.onPosition(position),
        onChunkEnd: () => this.onChunkEnd(),
        onFailure: failure => {
          hasEnded = true;
          this.onFailure(failure);
        },
        onDone: () => {
          hasEnded = true;
          this.onDone();
        },
      };
      const {executor} = this.options;
      const lane = executor.open(request, toLaneBatch(batch, bytes), sink);
      if (!hasEnded) this.lane = lane;
    } else {
      this.stream.destroy();
    }
  }

  private abort(): void {
    this.lane?.abort();
    this.lane = undefined;
    this.outputFrames.push(doneMessage());
    this.onChunkEnd();
  }

  private handleClose(): void {
    this.lane?.abort();
    this.lane = undefined;
  }
}

const toLaneBatch = (
  metadata: Omit<LaneBatch, 'frames'>,
  bytes: Buffer,
): LaneBatch => ({...metadata, frames: [bytes]});
