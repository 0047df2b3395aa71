/**
 * One connection to a database, opened for one customer. Sends statements as
 * steps and reports the answer to each, in order.
 */
import {connect, Socket} from 'node:net';
import {Fault, TransactionState} from '../core/work.js';
import {Position} from '../core/position.js';
import {DatabaseCodec, DatabaseMessage, WIRE_ENCODING} from './wire_types.js';

/**
 * Answer of the database to one step, a statement that was sent on the
 * connection.
 */
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

/** Database and customer of a connection. */
export interface LinkTarget {
  readonly host: string;
  readonly port: number;
  readonly service: string;
  readonly customer: string;
  /** Id of the database; another database at the address refuses it. */
  readonly instance: string;
  /**
   * Asked just before each write; the connection closes if it returns false.
   * Always allowed if undefined.
   */
  readonly maySend?: () => boolean;
}

/** Time limit of opening a connection, its handshake included. */
const OPEN_TIMEOUT_MS = 700;

interface Step {
  readonly onAnswer: (answer: StepAnswer) => void;
}

const faultAnswer = (fault: Fault, text: string): StepAnswer => ({
  ok: false,
  fault,
  text,
  state: TransactionState.idle,
  position: undefined,
});

export class DatabaseLink {
  /** Session values set on the connection, as given by `valuesKeyOf`. */
  valuesKey = '';
  /** Names prepared on the connection, with the keys of their statements. */
  readonly prepared = new Map<string, string>();
  isClosed = false;
  /** Whether the other side refused or closed the connection. */
  isClosedByPeer = false;
  private readonly steps: Step[] = [];
  private readonly decoder;
  private rows: string[] = [];
  private result:
    {signature: string} | {fault: Fault; text: string} | undefined;
  private onOpened:
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
    socket.on('connect', () => this.sendHandshake());
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', error => this.endByPeer(error.message));
    socket.on('close', () => this.endByPeer('connection closed'));
  }

  /**
   * Opens a connection. Calls `onOpened` once, with a fault if the handshake
   * fails, and `onClose` once, whichever side closes the connection.
   */
  static open(
    target: LinkTarget,
    codec: DatabaseCodec,
    onOpened: (fault: Fault | undefined, text: string) => void,
    onClose: (link: DatabaseLink) => void,
    timeoutMs = OPEN_TIMEOUT_MS,
  ): DatabaseLink {
    const socket = connect({host: target.host, port: target.port});
    const link = new DatabaseLink(target, codec, socket, onClose);
    link.onOpened = onOpened;
    link.openTimer = setTimeout(
      () => link.end('handshake timed out'),
      timeoutMs,
    );
    return link;
  }

  /** Local port of the connection, by which the database's logs name it. */
  get localPort(): number | undefined {
    return this.socket.localPort;
  }

  /** Number of sent statements that the database has yet to answer. */
  get unansweredSteps(): number {
    return this.steps.length;
  }

  /** Sends statements in one write; calls back for each answer, in order. */
  run(
    statements: readonly string[],
    onAnswer: (index: number, answer: StepAnswer) => void,
  ): void {
    this.closeUnlessAllowed();
    if (this.isClosed) {
      const answer = faultAnswer(Fault.unreachable, 'connection closed');
      return statements.forEach((_, index) => onAnswer(index, answer));
    }
    statements.forEach((_, index) =>
      this.steps.push({onAnswer: answer => onAnswer(index, answer)}),
    );
    this.write(statements.join(''));
  }

  /** Closes at once; statements without an answer get the fault `lost`. */
  close(text = 'closed'): void {
    this.end(text);
  }

  private sendHandshake(): void {
    const {service, customer, instance} = this.target;
    const start = this.codec.start(service, customer, instance);
    if (start.isOk()) this.write(start.value);
    else this.refuseToOpen(Fault.malformed, start.error);
  }

  private write(text: string): void {
    this.closeUnlessAllowed();
    if (!this.isClosed) this.socket.write(text, WIRE_ENCODING);
  }

  private closeUnlessAllowed(): void {
    const mayNotSend = !this.isClosed && this.target.maySend?.() === false;
    if (mayNotSend) this.end('nothing may be sent to the database');
  }

  private receive(chunk: Buffer): void {
    for (const message of this.decoder.push(chunk)) {
      if (this.isClosed) return;
      this.handleMessage(message);
    }
  }

  private handleMessage(message: DatabaseMessage): void {
    if (this.onOpened) return this.handleHandshake(message);
    if (this.steps.length === 0 || message.kind === 'malformed') {
      return this.end(`unexpected ${message.kind}`);
    }
    if (this.result && message.kind !== 'ready')
      return this.end(`unexpected ${message.kind} after the result`);
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
    step?.onAnswer(
      'fault' in result
        ? {ok: false, ...result, state, position}
        : {ok: true, rows, signature: result.signature, state, position},
    );
  }

  private handleHandshake(message: DatabaseMessage): void {
    const {onOpened} = this;
    if (message.kind === 'ready') {
      this.onOpened = undefined;
      clearTimeout(this.openTimer);
      onOpened?.(undefined, '');
    } else if (message.kind === 'error') {
      this.refuseToOpen(message.fault, message.text);
    } else {
      this.end('unexpected handshake');
    }
  }

  private refuseToOpen(fault: Fault, text: string): void {
    const {onOpened} = this;
    this.onOpened = undefined;
    onOpened?.(fault, text);
    this.end(text);
  }

  private endByPeer(text: string): void {
    this.isClosedByPeer ||= !this.isClosed;
    this.end(text);
  }

  private end(text: string): void {
    if (this.isClosed) return;
    this.isClosed = true;
    clearTimeout(this.openTimer);
    this.socket.destroy();
    const {onOpened} = this;
    this.onOpened = undefined;
    onOpened?.(Fault.unreachable, text);
    for (const step of this.steps.splice(0)) {
      step.onAnswer(faultAnswer(Fault.lost, text));
    }
    this.onClose(this);
  }
}
