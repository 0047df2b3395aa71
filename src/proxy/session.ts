/**
 * One caller's connection after login. Splits the caller's messages into
 * batches, answers settings itself, runs all other batches on lanes, and sends
 * the answers in order.
 */
import {Socket} from 'node:net';
import {Batch, BatchBuilder, Boundary} from '../core/batch.js';
import {Config, findCustomer, Identity, mayUse} from '../core/config.js';
import {answerOf, ErrorKind, failure, Failure} from '../core/errors.js';
import {Executor, Lane, LaneBatch, LaneSink} from '../core/lane.js';
import {Position} from '../core/position.js';
import {BatchPlan, planBatch, SettingName} from '../core/request.js';
import {Classify, Statement} from '../core/sql.js';
import {parseFrontendFrame} from '../pg/frontend.js';
import {
  FrameCode,
  failureFrame,
  FrameReader,
  parameterStatusFrame,
  readyForQueryFrame,
  transactionStatusOf,
  TransactionStatus,
} from '../pg/wire.js';
import {CallerOutput} from './caller_output.js';
import {answerLocally} from './local_answer.js';
import {SessionVariables} from './session_variables.js';

/** The functions and settings of the VM that its sessions use. */
export interface SessionHost {
  readonly classify: Classify;
  /** Secrets that authenticate session tokens; the first signs new ones. */
  readonly tokenSecrets: readonly string[];
  readonly requestTimeoutMs: number;
  readonly maxFrameBytes: number;
  config(): Config;
  executorFor(service: string): Executor;
  /** Takes a token from the customer's rate limiter; false if none is left. */
  admit(customer: string): boolean | Promise<boolean>;
  isDraining(): boolean;
  nextRequestId(): string;
  /** Counts an answered batch; `kind` is undefined for a success. */
  recordAnswer(kind: ErrorKind | undefined, latencyMs: number): void;
}

export interface SessionOptions {
  readonly socket: Socket;
  readonly identity: Identity;
  readonly service: string;
  /** Settings, those in the startup message already applied. */
  readonly variables: SessionVariables;
  readonly host: SessionHost;
}

/** Batches that may wait; the socket is paused at this number. */
const MAX_QUEUED_BATCHES = 64;
/** Limit of prepared statements in one session. */
const MAX_STATEMENTS = 1_000;
const LOST_TRANSACTION: Failure = {
  kind: 'transaction_lost',
  message: 'current transaction is aborted; commands are ignored until its end',
};

const LOST_BEFORE_COMMIT: Failure = {
  kind: 'transaction_lost',
  message: 'the transaction was lost before its commit',
};

/** The session of a connected caller. */
export class Session implements LaneSink {
  private readonly reader: FrameReader;
  private readonly builder: BatchBuilder;
  /** Complete batches that wait for the current batch to finish. */
  private readonly queue: Batch[] = [];
  private readonly variables: SessionVariables;
  private readonly output: CallerOutput;
  /**
   * The lane (exclusive use of a database connection) of an open transaction or
   * a running batch.
   */
  private lane: Lane | undefined;
  private laneAccess: 'read' | 'write' = 'read';
  /** The batch in progress. */
  private currentBatch: Batch | undefined;
  private startedAtMs = 0;
  private status: TransactionStatus = 'I';
  /**
   * Whether the open transaction was lost with its lane and the caller has yet
   * to end it.
   */
  private isTransactionLost = false;
  /** Whether no error has told the caller that its transaction is lost. */
  private isLossUntold = false;
  /** Whether an error was sent, so that messages up to Sync are skipped. */
  private isSkipping = false;
  /** Whether a batch ended with Flush and no ReadyForQuery has followed. */
  private isSyncPending = false;
  /** For each expected ParseComplete: whether the caller receives it. */
  private parseVisible: boolean[] = [];
  /** Whether the key was withdrawn while a batch ran, which may finish. */
  private isEndDue = false;
  private isClosed = false;

  private constructor(private readonly options: SessionOptions) {
    this.reader = FrameReader.create(options.host);
    this.builder = BatchBuilder.create({
      maxStatements: MAX_STATEMENTS,
      maxBatchBytes: options.host.maxFrameBytes,
    });
    this.variables = options.variables;
    this.output = CallerOutput.create(options.socket, {
      onCongested: () => this.lane?.pause(),
      onDrained: () => this.resumeReading(),
    });
  }

  /** Starts a session on a socket whose login has been answered. */
  static create(options: SessionOptions): Session {
    const session = new Session(options);
    const {socket} = options;
    socket.on('data', chunk => session.receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => session.close());
    return session;
  }

  get customer(): string {
    return this.options.identity.customer;
  }

  get isIdle(): boolean {
    return !this.currentBatch && !this.lane && this.queue.length === 0;
  }

  get isInTransaction(): boolean {
    return this.status !== 'I';
  }

  /** Handles bytes received from the caller. */
  receive(chunk: Buffer): void {
    if (this.isClosed) return;
    const isValid = this.reader.push(chunk, (code, frame) =>
      this.handleMessage(code, frame),
    );
    if (!isValid) {
      this.terminate(
        failure('request_too_large', 'frame malformed or too large'),
      );
    }
  }

  /**
   * Ends the session, and with it an open transaction, if its key is no longer
   * valid. A batch in progress may finish before that.
   */
  reauthorize(): void {
    if (this.isClosed) return;
    this.isEndDue = !this.isAllowed();
    if (this.isEndDue && !this.currentBatch) this.terminate(keyWithdrawn());
  }

  /** Ends the session if no batch runs and no transaction is open. */
  drain(): void {
    if (this.isIdle && !this.isInTransaction) {
      this.terminate(failure('shutting_down', 'the proxy is shutting down'));
    }
  }

  /** Cancels the running statement, as for a cancel request. */
  cancel(): void {
    if (this.currentBatch) this.lane?.cancel();
  }

  /** Sends an error and ends the session. */
  terminate(reason: Failure): void {
    if (this.isClosed) return;
    this.output.push(failureFrame(reason));
    this.output.flush();
    this.options.socket.end();
    this.close();
  }

  onFrame(code: number, frame: Buffer): void {
    switch (code) {
      case FrameCode.parseComplete:
        if (this.parseVisible.shift() !== false) this.output.push(frame);
        return;
      case FrameCode.ready:
        this.status = transactionStatusOf(frame);
        this.parseVisible = [];
        this.isSyncPending = false;
        this.output.push(frame);
        // With an idle status the lane ends too, and onDone ends the batch.
        if (this.status !== 'I') this.finishBatch(undefined);
        return;
      case FrameCode.notification:
        return;
      default:
        this.output.push(frame);
    }
  }

  onPosition(position: Position): void {
    const token = this.variables.setFloor(position);
    this.output.push(parameterStatusFrame(SettingName.session, token));
  }

  onChunkEnd(): void {
    this.output.flush();
    this.serveQueued();
  }

  onFailure(reason: Failure): void {
    this.lane = undefined;
    if (this.currentBatch || this.isSyncPending) this.answerFailure(reason);
    else this.isTransactionLost = this.isLossUntold = true;
    this.onChunkEnd();
  }

  onDone(): void {
    this.lane = undefined;
    this.finishBatch(undefined);
  }

  private handleMessage(code: number, frame: Buffer): void {
    if (this.isClosed) return;
    if (code === FrameCode.terminate) return void this.options.socket.end();
    const message = parseFrontendFrame(code, frame);
    if (!message) {
      return this.terminate(
        failure(
          'protocol_violation',
          `unexpected or malformed message of type ${code}`,
        ),
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
    this.serveQueued();
  }

  private serveQueued(): void {
    while (!this.currentBatch && !this.isClosed) {
      const batch = this.queue.shift();
      if (!batch) break;
      if (
        this.queue.length < MAX_QUEUED_BATCHES / 2 &&
        !this.output.isCongested
      ) {
        this.options.socket.resume();
      }
      this.currentBatch = batch;
      this.startedAtMs = Date.now();
      this.serve(batch);
    }
    if (this.isEndDue && !this.currentBatch)
      return this.terminate(keyWithdrawn());
    if (this.options.host.isDraining()) this.drain();
  }

  private serve(batch: Batch): void {
    if (!this.isAllowed()) return this.terminate(keyWithdrawn());
    if (this.isSkipping) return this.skipBatch(batch);
    const {classify} = this.options.host;
    const statements = batch.texts.flatMap(text => classify(text));
    const plan = planBatch(statements);
    if (this.isTransactionLost) return this.serveInLostTransaction(batch, plan);
    switch (plan.kind) {
      case 'refused':
        return this.reject(failure('not_supported', plan.reason));
      case 'local':
        return this.continuesLane(statements)
          ? this.sendToLane(batch, this.laneAccess === 'write')
          : this.serveLocally(batch, statements);
      case 'run':
        return this.admitAndRun(batch, plan);
    }
  }

  /**
   * Whether the database must answer a batch without statements to run: a
   * lone Sync or Flush, or the rest of a sequence that was flushed.
   */
  private continuesLane(statements: readonly Statement[]): boolean {
    return (
      this.lane !== undefined && (statements.length === 0 || this.isSyncPending)
    );
  }

  private skipBatch(batch: Batch): void {
    if (batch.boundary === Boundary.flush) {
      this.currentBatch = undefined;
      return;
    }
    this.isSkipping = false;
    this.pushReady();
    this.finishBatch(undefined);
    this.output.flush();
  }

  /** Rejects every batch of a lost transaction except the one that ends it. */
  private serveInLostTransaction(batch: Batch, plan: BatchPlan): void {
    if (plan.kind !== 'run' || !plan.endsTransaction) {
      return this.reject(LOST_TRANSACTION);
    }
    this.isTransactionLost = false;
    this.status = 'I';
    // Clients take any answer to a commit but an error for its success.
    if (plan.commitsTransaction && this.isLossUntold) {
      return this.reject(LOST_BEFORE_COMMIT);
    }
    this.output.push(...answerLocally(batch, 'ROLLBACK'));
    this.finishLocally(batch);
  }

  private serveLocally(batch: Batch, statements: readonly Statement[]): void {
    for (const statement of statements) {
      const problem = this.applyStatement(statement);
      if (problem) return this.reject(problem);
    }
    const showStatement = statements.find(entry => entry.kind === 'show');
    const row =
      showStatement?.kind === 'show'
        ? {
            column: showStatement.name,
            value: this.variables.show(showStatement.name),
          }
        : undefined;
    this.output.push(...answerLocally(batch, row ? 'SHOW' : 'SET', row));
    this.finishLocally(batch);
  }

  private finishLocally(batch: Batch): void {
    if (batch.boundary !== Boundary.flush) this.pushReady();
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
    const admission = this.options.host.admit(this.customer);
    if (admission === true) return this.run(batch, plan);
    void Promise.resolve(admission).then(granted => {
      // The batch has been answered if its lane was lost meanwhile.
      if (this.isClosed || this.currentBatch !== batch) return;
      // The key may have been withdrawn during the wait.
      if (!this.isAllowed()) return this.terminate(keyWithdrawn());
      if (granted) this.run(batch, plan);
      else this.reject(rateExceeded(this.customer));
      this.onChunkEnd();
    });
  }

  private run(batch: Batch, plan: Extract<BatchPlan, {kind: 'run'}>): void {
    if (this.lane) {
      const commits =
        this.laneAccess === 'write' &&
        (this.status === 'I' || plan.endsTransaction);
      return this.sendToLane(batch, commits);
    }
    this.laneAccess = plan.access;
    this.parseVisible.push(...batch.parseVisible);
    const laneBatch = this.laneBatch(batch, plan.mayCommit);
    const {host, service} = this.options;
    const request = this.laneRequest(plan.access);
    const lane = host.executorFor(service).open(request, laneBatch, this);
    // The lane may have failed synchronously, which ends the batch.
    if (this.currentBatch === batch) this.lane = lane;
    this.finishFlushed(batch);
  }

  private sendToLane(batch: Batch, mayCommit: boolean): void {
    this.parseVisible.push(...batch.parseVisible);
    this.lane?.send(this.laneBatch(batch, mayCommit));
    this.finishFlushed(batch);
  }

  /** Ends a batch that closes with Flush: no ReadyForQuery answers it. */
  private finishFlushed(batch: Batch): void {
    if (batch.boundary === Boundary.flush && this.currentBatch === batch) {
      this.currentBatch = undefined;
      this.isSyncPending = true;
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

  private reject(reason: Failure): void {
    this.lane?.abort();
    this.lane = undefined;
    this.answerFailure(reason);
    this.output.flush();
  }

  private answerFailure(reason: Failure): void {
    if (answerOf(reason.kind).severity === 'FATAL') {
      return this.terminate(reason);
    }
    if (this.status !== 'I') this.isTransactionLost = true;
    this.isLossUntold = false;
    this.parseVisible = [];
    this.isSyncPending = false;
    this.output.push(failureFrame(reason));
    const batch = this.currentBatch;
    if (batch && batch.boundary !== Boundary.flush) this.pushReady();
    else this.isSkipping = true;
    this.finishBatch(reason.kind);
  }

  private pushReady(): void {
    if (this.isTransactionLost) this.status = 'E';
    this.output.push(readyForQueryFrame(this.status));
  }

  private finishBatch(kind: ErrorKind | undefined): void {
    if (!this.currentBatch) return;
    this.currentBatch = undefined;
    this.options.host.recordAnswer(kind, Date.now() - this.startedAtMs);
  }

  private isAllowed(): boolean {
    const {host, identity, service} = this.options;
    return mayUse(host.config(), identity, service);
  }

  private resumeReading(): void {
    this.lane?.resume();
    if (this.queue.length < MAX_QUEUED_BATCHES) this.options.socket.resume();
  }

  private close(): void {
    this.isClosed = true;
    this.lane?.abort();
    this.lane = undefined;
  }
}

const keyWithdrawn = (): Failure =>
  failure('key_withdrawn', 'the key has been withdrawn');

const rateExceeded = (customer: string): Failure =>
  failure('rate_exceeded', `customer ${customer} is over its rate`);
