/**
 * One connection to a database: opens it for one customer, runs steps in
 * order, and tells of each step's answer.
 */
import {connect, Socket} from 'node:net';
import {Fault, TransactionState} from '../core/work.js';
import {Position} from '../core/position.js';
import {DatabaseCodec, DatabaseMessage, WIRE_ENCODING} from './wire_types.js';

/** The answer to one step. */
export type StepAnswer =
  | {
      readonly ok: true;
      readonly rows: readonly string[];
      readonly signature: string;
      readonly state: TransactionState;
      readonly position: Position | undefined;
    }
  | {
      readonly ok: false;
      readonly fault: Fault;
      readonly text: string;
      readonly state: TransactionState;
      readonly position: Position | undefined;
    };

/** Whom a connection reaches. */
export interface LinkTarget {
  readonly host: string;
  readonly port: number;
  readonly service: string;
  readonly customer: string;
  readonly instance: string;
}

/** Time limit of opening a connection, its handshake included. */
const OPEN_TIMEOUT_MS = 700;

interface Step {
  readonly done: (answer: StepAnswer) => void;
}

const broken = (fault: Fault, text: string): StepAnswer => ({
  ok: false,
  fault,
  text,
  state: TransactionState.idle,
  position: undefined,
});

/** A connection to a database. */
export class DatabaseLink {
  /** Values that the connection holds, in order; a key to compare by. */
  valuesKey = '';
  /** Prepared names that the connection holds, with their shapes. */
  readonly prepared = new Map<string, string>();
  closed = false;
  private readonly steps: Step[] = [];
  private readonly decoder;
  private rows: string[] = [];
  private result:
    {signature: string} | {fault: Fault; text: string} | undefined;
  private opened:
    ((fault: Fault | undefined, text: string) => void) | undefined;
  private openTimer: NodeJS.Timeout | undefined;

  private constructor(
    readonly target: LinkTarget,
    private readonly codec: DatabaseCodec,
    private readonly socket: Socket,
    private readonly onClose: (link: DatabaseLink) => void,
  ) {
    this.decoder = codec.createDecoder();
    socket.setNoDelay(true);
    socket.on('connect', () =>
      this.write(codec.start(target.service, target.customer, target.instance)),
    );
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', error => this.end(error.message));
    socket.on('close', () => this.end('connection closed'));
  }

  /** Opens a connection; `onClose` is called once, whoever closes it. */
  static open(
    target: LinkTarget,
    codec: DatabaseCodec,
    opened: (fault: Fault | undefined, text: string) => void,
    onClose: (link: DatabaseLink) => void,
    timeoutMs = OPEN_TIMEOUT_MS,
  ): DatabaseLink {
    const socket = connect({host: target.host, port: target.port});
    const link = new DatabaseLink(target, codec, socket, onClose);
    link.opened = opened;
    link.openTimer = setTimeout(() => link.end('no handshake'), timeoutMs);
    return link;
  }

  /** Number of steps without an answer. */
  get pending(): number {
    return this.steps.length;
  }

  /** Writes steps in one piece; each is answered in order. */
  run(
    texts: readonly string[],
    done: (index: number, answer: StepAnswer) => void,
  ): void {
    if (this.closed) {
      const answer = broken(Fault.unreachable, 'connection closed');
      return texts.forEach((_, index) => done(index, answer));
    }
    texts.forEach((_, index) =>
      this.steps.push({done: answer => done(index, answer)}),
    );
    this.write(texts.join(''));
  }

  /** Closes at once; unanswered steps are told as lost. */
  close(text = 'closed'): void {
    this.end(text);
  }

  private write(text: string): void {
    if (!this.closed) this.socket.write(text, WIRE_ENCODING);
  }

  private receive(chunk: Buffer): void {
    for (const message of this.decoder.push(chunk)) {
      if (this.closed) return;
      this.take(message);
    }
  }

  private take(message: DatabaseMessage): void {
    if (this.opened) return this.takeOpening(message);
    if (this.steps.length === 0 || message.kind === 'malformed') {
      return this.end(`unexpected ${message.kind}`);
    }
    switch (message.kind) {
      case 'row':
        this.rows.push(message.data);
        return;
      case 'done':
        this.result = {signature: message.signature};
        return;
      case 'error':
        this.result = {fault: message.fault, text: message.text};
        return;
      case 'ready':
        this.finishStep(message.state, message.position);
    }
  }

  private finishStep(
    state: TransactionState,
    position: Position | undefined,
  ): void {
    const {result, rows} = this;
    if (!result) return this.end('answer without a result');
    this.result = undefined;
    this.rows = [];
    const step = this.steps.shift();
    step?.done(
      'fault' in result
        ? {ok: false, ...result, state, position}
        : {ok: true, rows, signature: result.signature, state, position},
    );
  }

  private takeOpening(message: DatabaseMessage): void {
    const {opened} = this;
    if (message.kind === 'ready') {
      this.opened = undefined;
      clearTimeout(this.openTimer);
      opened?.(undefined, '');
    } else if (message.kind === 'error') {
      this.opened = undefined;
      opened?.(message.fault, message.text);
      this.end(message.text);
    } else {
      this.end('unexpected handshake');
    }
  }

  private end(text: string): void {
    if (this.closed) return;
    this.closed = true;
    clearTimeout(this.openTimer);
    this.socket.destroy();
    const {opened} = this;
    this.opened = undefined;
    opened?.(Fault.unreachable, text);
    for (const step of this.steps.splice(0)) {
      step.done(broken(Fault.lost, text));
    }
    this.onClose(this);
  }
}
