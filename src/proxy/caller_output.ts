/** Frames on their way to a caller, and the back pressure they meet. */
import {Socket} from 'node:net';
import {writeFrames} from '../pg/wire.js';

/** Told when the caller stops and starts reading. */
export interface CallerOutputHandlers {
  readonly onCongested: () => void;
  readonly onRelieved: () => void;
}

/** Collects frames and writes them together. */
export class CallerOutput {
  /** The caller does not read what has been written. */
  congested = false;
  private frames: Buffer[] = [];

  private constructor(
    private readonly socket: Socket,
    private readonly handlers: CallerOutputHandlers,
  ) {
    socket.on('drain', () => this.relieve());
  }

  static create(socket: Socket, handlers: CallerOutputHandlers): CallerOutput {
    return new CallerOutput(socket, handlers);
  }

  push(...frames: readonly Buffer[]): void {
    this.frames.push(...frames);
  }

  /** Writes what has been collected. */
  flush(): void {
    const {frames} = this;
    if (frames.length === 0) return;
    this.frames = [];
    const roomy = writeFrames(this.socket, frames);
    if (!roomy && !this.congested) this.hold();
  }

  /** Stops reading on both sides while the caller does not read. */
  private hold(): void {
    this.congested = true;
    this.socket.pause();
    this.handlers.onCongested();
  }

  private relieve(): void {
    this.congested = false;
    this.handlers.onRelieved();
  }
}
