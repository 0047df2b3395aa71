/** Serves the lanes that another VM opens on one stream, one at a time. */
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
  readMessage,
} from './lane_messages.js';

/** What a lane server needs. */
export interface LaneServerOptions {
  readonly executor: Executor;
  readonly maxFrameBytes: number;
}

/** Room for the metadata and several frames of one batch. */
const BATCH_ALLOWANCE_BYTES = 1024 * 1024;

/** One stream of lanes. */
export class LaneServer implements LaneSink {
  private readonly reader: FrameReader;
  private lane: Lane | undefined;
  /** A message whose batch frame is still to come. */
  private pending: LaneMessage | undefined;
  private output: Buffer[] = [];

  private constructor(
    private readonly stream: Duplex,
    private readonly options: LaneServerOptions,
  ) {
    this.reader = FrameReader.create({
      maxFrameBytes: options.maxFrameBytes + BATCH_ALLOWANCE_BYTES,
    });
    stream.on('data', (chunk: Buffer) => this.receive(chunk));
    stream.on('drain', () => this.lane?.resume());
    stream.on('close', () => this.leave());
    stream.on('end', () => stream.end());
  }

  static create(stream: Duplex, options: LaneServerOptions): LaneServer {
    return new LaneServer(stream, options);
  }

  onFrame(_code: number, frame: Buffer): void {
    this.output.push(frame);
  }

  onPosition(position: Position): void {
    this.output.push(positionMessage(position));
  }

  onChunkEnd(): void {
    if (this.output.length === 0 || this.stream.destroyed) return;
    const bytes = Buffer.concat(this.output);
    this.output = [];
    if (!this.stream.write(bytes)) this.lane?.pause();
  }

  onFailure(reason: Failure): void {
    this.lane = undefined;
    this.output.push(failureMessage(reason));
    this.onChunkEnd();
  }

  onDone(): void {
    this.lane = undefined;
    this.output.push(doneMessage());
  }

  private receive(chunk: Buffer): void {
    const fine = this.reader.push(chunk, (code, frame) =>
      this.accept(code, frame),
    );
    if (!fine) this.stream.destroy();
  }

  private accept(code: number, frame: Buffer): void {
    if (code === FrameCode.batch) return this.acceptBatch(bodyOf(frame));
    const message = code === FrameCode.rpc ? readMessage(frame) : undefined;
    switch (message?.method) {
      case 'open':
      case 'send':
        this.pending = message;
        return;
      case 'cancel':
        return this.lane?.cancel();
      case 'abort':
        return this.abort();
      default:
        this.stream.destroy();
    }
  }

  private acceptBatch(bytes: Buffer): void {
    const message = this.pending;
    this.pending = undefined;
    if (message?.method === 'send') {
      this.lane?.send(batchOf(message.params.batch, bytes));
    } else if (message?.method === 'open' && !this.lane) {
      const {request, batch} = message.params;
      let over = false;
      const sink: LaneSink = {
        onFrame: (code, frame) => this.onFrame(code, frame),
        onPosition: position => this.onPosition(position),
        onChunkEnd: () => this.onChunkEnd(),
        onFailure: reason => {
          over = true;
          this.onFailure(reason);
        },
        onDone: () => {
          over = true;
          this.onDone();
        },
      };
      const {executor} = this.options;
      const lane = executor.open(request, batchOf(batch, bytes), sink);
      if (!over) this.lane = lane;
    } else {
      this.stream.destroy();
    }
  }

  private abort(): void {
    this.lane?.abort();
    this.lane = undefined;
    this.output.push(doneMessage());
    this.onChunkEnd();
  }

  private leave(): void {
    this.lane?.abort();
    this.lane = undefined;
  }
}

const batchOf = (
  meta: Omit<LaneBatch, 'frames'>,
  bytes: Buffer,
): LaneBatch => ({...meta, frames: [bytes]});
