/** One caller's connection after login: batches in, answers out, in order. */
import {Socket} from 'node:net';
import {Batch, BatchBuilder, Boundary} from '../core/batch.js';
import {Config, findCustomer, Identity, mayUse} from '../core/config.js';
import {answerOf, ErrorKind, failure, Failure} from '../core/errors.js';
import {Executor, Lane, LaneBatch, LaneSink} from '../core/lane.js';
import {Position} from '../core/position.js';
import {BatchPlan, planBatch, SettingName} from '../core/request.js';
import {Classify, Statement} from '../core/sql.js';
import {readFrontend} from '../pg/frontend.js';
import {
  Code,
  errorFrame,
  FrameReader,
  parameterFrame,
  readyFrame,
  statusOf,
  TransactionStatus,
} from '../pg/wire.js';
import {CallerOutput} from './caller_output.js';
import {localAnswer} from './local_answer.js';
import {SessionVariables} from './session_variables.js';

/** What a session needs from its VM. */
export interface SessionHost {
  readonly classify: Classify;
  /** Secrets of session tokens; the first seals new ones. */
  readonly tokenSecrets: readonly string[];
  readonly requestTimeoutMs: number;
  readonly maxFrameBytes: number;
  config(): Config;
  executorFor(service: string): Executor;
  /** Takes one token of the customer's rate. */
  admit(customer: string): boolean | Promise<boolean>;
  isDraining(): boolean;
  nextRequestId(): string;
  recordAnswer(kind: ErrorKind | undefined, latencyMs: number): void;
}

/** Who the session belongs to. */
export interface SessionOptions {
  readonly socket: Socket;
  readonly identity: Identity;
  readonly service: string;
  /** Settings given as startup options. */
  readonly startupSettings: readonly [string, string][];
  readonly host: SessionHost;
}

const MAX_QUEUED_BATCHES = 64;
const MAX_STATEMENTS = 1_000;
const FAILED_TRANSACTION: Failure = {
  kind: 'transaction_lost',
  message: 'current transaction is aborted; commands are ignored until its end',
};

/** The session of one connected caller. */
export class Session implements LaneSink {
  private readonly reader: FrameReader;
  private readonly builder: BatchBuilder;
  private readonly queue: Batch[] = [];
  private readonly variables: SessionVariables;
  private readonly output: CallerOutput;
  private lane: Lane | undefined;
  private laneAccess: 'read' | 'write' = 'read';
  /** The batch whose ReadyForQuery is awaited. */
  private current: Batch | undefined;
  private startedAtMs = 0;
  private status: TransactionStatus = 'I';
  /** The transaction ended by a failure that its owner has yet to notice. */
  private transactionFailed = false;
  /** An error was sent; frames are skipped up to the next Sync. */
  private skipping = false;
  /** A flushed batch has been sent and no ReadyForQuery since. */
  private midFlush = false;
  private parseVisible: boolean[] = [];
  private closed = false;

  private constructor(private readonly options: SessionOptions) {
    this.reader = FrameReader.create(options.host);
    this.builder = BatchBuilder.create({
      maxStatements: MAX_STATEMENTS,
      maxBatchBytes: options.host.maxFrameBytes,
    });
    this.variables = SessionVariables.create(
      options.service,
      options.host.tokenSecrets,
    );
    this.output = CallerOutput.create(options.socket, {
      onCongested: () => this.lane?.pause(),
      onRelieved: () => this.relieve(),
    });
  }

  /** Starts a session on a socket whose login has been answered. */
  static create(options: SessionOptions): Session {
    const session = new Session(options);
    for (const [name, value] of options.startupSettings) {
      session.variables.apply(name, value);
    }
    const {socket} = options;
    socket.on('data', chunk => session.receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => session.leave());
    return session;
  }

  get customer(): string {
    return this.options.identity.customer;
  }

  get isIdle(): boolean {
    return !this.current && !this.lane && this.queue.length === 0;
  }

  get isInTransaction(): boolean {
    return this.status !== 'I';
  }

  /** Feeds bytes that arrived from the caller. */
  receive(chunk: Buffer): void {
    if (this.closed) return;
    const fine = this.reader.push(chunk, (code, frame) =>
      this.accept(code, frame),
    );
    if (!fine) {
      this.terminate(
        failure('request_too_large', 'frame malformed or too large'),
      );
    }
  }

  /** Ends the session when its key no longer holds, at a clean boundary. */
  reauthorize(): void {
    if (this.closed || this.isAllowed()) return;
    if (!this.current) this.terminate(withdrawn());
  }

  /** Ends the session if nothing is under way. */
  drain(): void {
    if (this.isIdle && !this.isInTransaction) {
      this.terminate(failure('shutting_down', 'the proxy is shutting down'));
    }
  }

  /** Cancels what runs, as a cancel request asks. */
  cancel(): void {
    if (this.current) this.lane?.cancel();
  }

  /** Ends the session at once. */
  terminate(reason: Failure): void {
    if (this.closed) return;
    this.output.push(errorFrame(reason));
    this.output.flush();
    this.options.socket.end();
    this.leave();
  }

  onFrame(code: number, frame: Buffer): void {
    switch (code) {
      case Code.parseComplete:
        if (this.parseVisible.shift() !== false) this.output.push(frame);
        return;
      case Code.ready:
        this.status = statusOf(frame);
        this.parseVisible = [];
        this.midFlush = false;
        this.output.push(frame);
        // An idle status also frees the lane: the batch ends with onDone.
        if (this.status !== 'I') this.finishBatch(undefined);
        return;
      case Code.notification:
        return;
      default:
        this.output.push(frame);
    }
  }

  onPosition(position: Position): void {
    const token = this.variables.raiseFloor(position);
    this.output.push(parameterFrame(SettingName.session, token));
  }

  onChunkEnd(): void {
    this.output.flush();
    this.pump();
  }

  onFailure(reason: Failure): void {
    this.lane = undefined;
    if (this.current || this.midFlush) this.answerFailure(reason);
    else this.transactionFailed = true;
    this.onChunkEnd();
  }

  onDone(): void {
    this.lane = undefined;
    this.finishBatch(undefined);
  }

  private accept(code: number, frame: Buffer): void {
    if (this.closed) return;
    if (code === Code.terminate) return void this.options.socket.end();
    const message = readFrontend(code, frame);
    if (!message) {
      return this.terminate(
        failure('protocol_violation', `unexpected message type ${code}`),
      );
    }
    const result = this.builder.add(message);
    switch (result.kind) {
      case 'batch':
        return this.enqueue(result.batch);
      case 'unknownStatement':
        return this.terminate(
          failure(
            'protocol_violation',
            `no prepared statement "${result.name}"`,
          ),
        );
      case 'overLimit':
        return this.terminate(
          failure('request_too_large', 'too many statements or bytes at once'),
        );
    }
  }

  private enqueue(batch: Batch): void {
    this.queue.push(batch);
    if (this.queue.length >= MAX_QUEUED_BATCHES) this.options.socket.pause();
    this.pump();
  }

  private pump(): void {
    while (!this.current && !this.closed) {
      const batch = this.queue.shift();
      if (!batch) break;
      if (
        this.queue.length < MAX_QUEUED_BATCHES / 2 &&
        !this.output.congested
      ) {
        this.options.socket.resume();
      }
      this.current = batch;
      this.startedAtMs = Date.now();
      this.serve(batch);
    }
    if (this.options.host.isDraining()) this.drain();
  }

  private serve(batch: Batch): void {
    if (!this.isAllowed()) return this.terminate(withdrawn());
    if (this.skipping) return this.skip(batch);
    const {classify} = this.options.host;
    const statements = batch.texts.flatMap(text => classify(text));
    const plan = planBatch(statements);
    if (this.transactionFailed) return this.serveFailed(batch, plan);
    switch (plan.kind) {
      case 'refused':
        return this.refuse(failure('not_supported', plan.reason));
      case 'local':
        return this.belongsToLane(statements)
          ? this.sendOn(batch, this.laneAccess === 'write')
          : this.serveLocally(batch, statements);
      case 'run':
        return this.admitAndRun(batch, plan);
    }
  }

  /** A bare Sync or Flush, or the rest of a flushed sequence, goes on. */
  private belongsToLane(statements: readonly Statement[]): boolean {
    return (
      this.lane !== undefined && (statements.length === 0 || this.midFlush)
    );
  }

  private skip(batch: Batch): void {
    if (batch.boundary === Boundary.flush) {
      this.current = undefined;
      return;
    }
    this.skipping = false;
    this.ready();
    this.finishBatch(undefined);
    this.output.flush();
  }

  /** After a failure, a transaction answers nothing but its end. */
  private serveFailed(batch: Batch, plan: BatchPlan): void {
    if (plan.kind !== 'run' || !plan.endsTransaction) {
      return this.refuse(FAILED_TRANSACTION);
    }
    this.transactionFailed = false;
    this.status = 'I';
    this.output.push(...localAnswer(batch, 'ROLLBACK'));
    this.concludeLocally(batch);
  }

  private serveLocally(batch: Batch, statements: readonly Statement[]): void {
    for (const statement of statements) {
      const refusal = this.applyStatement(statement);
      if (refusal) return this.refuse(refusal);
    }
    const shown = statements.find(entry => entry.kind === 'show');
    const row =
      shown?.kind === 'show'
        ? {column: shown.name, value: this.variables.show(shown.name)}
        : undefined;
    this.output.push(...localAnswer(batch, row ? 'SHOW' : 'SET', row));
    this.concludeLocally(batch);
  }

  private concludeLocally(batch: Batch): void {
    if (batch.boundary !== Boundary.flush) this.ready();
    this.finishBatch(undefined);
    this.output.flush();
  }

  private applyStatement(statement: Statement): Failure | undefined {
    if (statement.kind === 'discard') {
      this.builder.discardStatements();
      this.variables.reset();
    }
    if (statement.kind !== 'set') return undefined;
    return this.variables.apply(statement.name, statement.value);
  }

  private admitAndRun(
    batch: Batch,
    plan: Extract<BatchPlan, {kind: 'run'}>,
  ): void {
    if (this.lane && plan.endsTransaction) return this.run(batch, plan);
    const admitted = this.options.host.admit(this.customer);
    if (admitted === true) return this.run(batch, plan);
    void Promise.resolve(admitted).then(granted => {
      if (this.closed) return;
      if (granted) this.run(batch, plan);
      else this.refuse(overRate(this.customer));
      this.onChunkEnd();
    });
  }

  private run(batch: Batch, plan: Extract<BatchPlan, {kind: 'run'}>): void {
    if (this.lane) {
      const commits =
        this.laneAccess === 'write' &&
        (this.status === 'I' || plan.endsTransaction);
      return this.sendOn(batch, commits);
    }
    this.laneAccess = plan.access;
    this.parseVisible.push(...batch.parseVisible);
    const laneBatch = this.laneBatch(batch, plan.mayCommit);
    const {host, service} = this.options;
    const request = this.laneRequest(plan.access);
    const lane = host.executorFor(service).open(request, laneBatch, this);
    // The lane may have failed at once.
    if (this.current === batch) this.lane = lane;
    this.passFlush(batch);
  }

  private sendOn(batch: Batch, mayCommit: boolean): void {
    this.parseVisible.push(...batch.parseVisible);
    this.lane?.send(this.laneBatch(batch, mayCommit));
    this.passFlush(batch);
  }

  /** A flushed batch has no ReadyForQuery to wait for. */
  private passFlush(batch: Batch): void {
    if (batch.boundary === Boundary.flush && this.current === batch) {
      this.current = undefined;
      this.midFlush = true;
    }
  }

  private laneBatch(batch: Batch, mayCommit: boolean): LaneBatch {
    return {
      frames: batch.frames,
      expectsReady: batch.boundary !== Boundary.flush,
      mayCommit,
      budgetMs: this.options.host.requestTimeoutMs,
    };
  }

  private laneRequest(access: 'read' | 'write') {
    const {host, service} = this.options;
    const {settings, floor} = this.variables;
    const customer = findCustomer(host.config(), this.customer);
    return {
      requestId: settings.requestId ?? host.nextRequestId(),
      service,
      customer: this.customer,
      weight: customer?.weight ?? 1,
      access,
      floor,
      maxStalenessMs: settings.maxStalenessMs,
      budgetMs: host.requestTimeoutMs,
      repeatable: settings.repeatable,
    };
  }

  private refuse(reason: Failure): void {
    this.lane?.abort();
    this.lane = undefined;
    this.answerFailure(reason);
    this.output.flush();
  }

  private answerFailure(reason: Failure): void {
    if (answerOf(reason.kind).severity === 'FATAL') {
      return this.terminate(reason);
    }
    if (this.status !== 'I') this.transactionFailed = true;
    this.parseVisible = [];
    this.midFlush = false;
    this.output.push(errorFrame(reason));
    const batch = this.current;
    if (batch && batch.boundary !== Boundary.flush) this.ready();
    else this.skipping = true;
    this.finishBatch(reason.kind);
  }

  private ready(): void {
    if (this.transactionFailed) this.status = 'E';
    this.output.push(readyFrame(this.status));
  }

  private finishBatch(kind: ErrorKind | undefined): void {
    if (!this.current) return;
    this.current = undefined;
    this.options.host.recordAnswer(kind, Date.now() - this.startedAtMs);
  }

  private isAllowed(): boolean {
    const {host, identity, service} = this.options;
    return mayUse(host.config(), identity, service);
  }

  private relieve(): void {
    this.lane?.resume();
    if (this.queue.length < MAX_QUEUED_BATCHES) this.options.socket.resume();
  }

  private leave(): void {
    this.closed = true;
    this.lane?.abort();
    this.lane = undefined;
  }
}

const withdrawn = (): Failure =>
  failure('key_withdrawn', 'the key has been withdrawn');

const overRate = (customer: string): Failure =>
  failure('rate_exceeded', `customer ${customer} is over its rate`);
