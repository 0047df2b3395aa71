/** Buffers frames to a caller and applies backpressure when it reads slowly. */
import {Socket} from 'node:net';
import {writeFrames} from '../pg/wire.js';

/** Called when the socket's send buffer fills up and when it has drained. */
export interface CallerOutputHandlers {
  readonly onCongested: () => void;
  readonly onDrained: () => void;
}

/** Collects frames and writes them in one call. */
export class CallerOutput {
  /** Whether the send buffer is full because the caller reads slowly. */
  isCongested = false;
  private frames: Buffer[] = [];

  private constructor(
    private readonly socket: Socket,
    private readonly handlers: CallerOutputHandlers,
  ) {
    socket.on('drain', () => this.handleDrain());
  }

  static create(socket: Socket, handlers: CallerOutputHandlers): CallerOutput {
    return new CallerOutput(socket, handlers);
  }

  push(...frames: readonly Buffer[]): void {
    this.frames.push(...frames);
  }

  /** Writes the collected frames. */
  flush(): void {
    const {frames} = this;
    if (frames.length === 0) return;
    this.frames = [];
    const hasCapacity = writeFrames(this.socket, frames);
    if (!hasCapacity && !this.isCongested) this.pauseReading();
  }

  /** Pauses the caller's socket and its lane until the send buffer drains. */
  private pauseReading(): void {
    this.isCongested = true;
    this.socket.pause();
    this.handlers.onCongested();
  }

  private handleDrain(): void {
    this.isCongested = false;
    this.handlers.onDrained();
  }
}
