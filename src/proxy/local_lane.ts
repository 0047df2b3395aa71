/**
 * A lane on the VM that owns the connection pool. It waits for a route and a
 * connection, relays frames between caller and database, and withholds the
 * answer to a commit until the commit is confirmed.
 */
import {failure, Failure} from '../core/errors.js';
import {
  Lane,
  LaneBatch,
  LaneRequest,
  LaneSink,
  connectionLossFailure,
} from '../core/lane.js';
import {parsePosition, Position, POSITION_PARAMETER} from '../core/position.js';
import {BackendConnection} from '../pg/backend.js';
import {
  FrameCode,
  parseParameterStatus,
  transactionStatusOf,
} from '../pg/wire.js';
import {DatabasePool, PoolRequest} from './database_pool.js';

/** Longest time that an open transaction may wait for its next statement. */
const IDLE_TRANSACTION_MS = 60_000;
/** SQLSTATE field of the error of a write on a read-only database. */
const READ_ONLY_ERROR = 'C25006\0';
const MAX_READ_ONLY_RETRIES = 10;
const READ_ONLY_RETRY_DELAY_MS = 50;
const MAX_WITHHELD_BYTES = 8 * 1024 * 1024;

/** The functions of its database group that a lane calls. */
export interface LaneHost {
  /** Submits the lane to a pool, or parks it until a route exists. */
  route(lane: LocalLane): void;
  /**
   * Calls back with true once the commit at `position` is confirmed, or with
   * false once its term has been superseded. Returns a function that stops the
   * wait.
   */
  awaitConfirmation(
    position: Position,
    onDecided: (confirmed: boolean) => void,
  ): () => void;
  /** Takes one retry from the retry budget; false when there is none. */
  allowRetry(): boolean;
  onLaneEnded(lane: LocalLane): void;
}

interface HeldConnection {
  readonly pool: DatabasePool;
  readonly connection: BackendConnection;
  startedAtMs: number;
  /** Whether a statement runs; false between statements of a transaction. */
  isExecuting: boolean;
}

/**
 * A caller's exclusive use of a pooled connection of this VM, including the
 * wait for it.
 */
export class LocalLane implements Lane, PoolRequest {
  readonly arrivedAtMs = Date.now();
  readonly deadlineAtMs: number;
  /**
   * Floor (minimum log position that the read must see) for a session that has
   * none: a confirmed position of the primary, sampled after the lane arrived.
   */
  learnedFloor: Position | undefined;
  private held: HeldConnection | undefined;
  /** The pool whose queue holds this lane. */
  private waitingPool: DatabasePool | undefined;
  private batch: LaneBatch;
  /** Number of ReadyForQuery messages that the database has yet to send. */
  private expectedReadies = 0;
  /** Whether a frame has reached the caller, which rules out a retry. */
  private hasRelayed = false;
  /** Frames withheld until a commit is confirmed; undefined: relay at once. */
  private withheld: {code: number; frame: Buffer}[] | undefined;
  private withheldBytes = 0;
  /** Whether a CommandComplete is withheld, so that later rows wait too. */
  private isCompletionWithheld = false;
  private hasReadOnlyError = false;
  private readOnlyRetries = 0;
  /** Log position of a commit, sent by the database before ReadyForQuery. */
  private commitPosition: Position | undefined;
  private stopConfirmation: (() => void) | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isFinished = false;

  private constructor(
    readonly request: LaneRequest,
    firstBatch: LaneBatch,
    private readonly sink: LaneSink,
    private readonly host: LaneHost,
  ) {
    this.batch = firstBatch;
    this.deadlineAtMs = this.arrivedAtMs + request.budgetMs;
    this.setDeadline(request.budgetMs);
  }

  static create(
    request: LaneRequest,
    firstBatch: LaneBatch,
    sink: LaneSink,
    host: LaneHost,
  ): LocalLane {
    return new LocalLane(request, firstBatch, sink, host);
  }

  get customer(): string {
    return this.request.customer;
  }

  get weight(): number {
    return this.request.weight;
  }

  get hasEnded(): boolean {
    return this.isFinished;
  }

  /** Whether the lane holds a connection on which it may write. */
  get isWriting(): boolean {
    return this.request.access === 'write' && this.held !== undefined;
  }

  /** The minimum log position that a read must see. */
  get floor(): Position | undefined {
    return this.request.floor ?? this.learnedFloor;
  }

  /** Waits in the queue of a pool for a connection. */
  enqueue(pool: DatabasePool): void {
    this.waitingPool = pool;
    pool.submit(this);
  }

  start(connection: BackendConnection): void {
    const pool = this.waitingPool;
    if (!pool) return;
    this.waitingPool = undefined;
    if (this.isFinished) {
      pool.abandonStatement();
      pool.release(connection);
      return;
    }
    this.held = {pool, connection, startedAtMs: Date.now(), isExecuting: true};
    connection.setHandlers({
      onFrame: (code, frame) => this.receive(code, frame),
      onChunkEnd: () => this.sink.onChunkEnd(),
      onClose: () => this.onConnectionLost(),
    });
    this.transmit(this.batch);
  }

  /**
   * Ends a write that runs on a database other than the new primary, and
   * routes a write again that waits for one.
   */
  onPrimaryChanged(primary: DatabasePool | undefined): void {
    if (this.request.access === 'read') return;
    if (this.held && this.held.pool !== primary) this.onConnectionLost();
    if (this.waitingPool !== primary) this.leavePool(this.waitingPool);
  }

  /** Chooses another route if the lane waits in the queue of `pool`. */
  leavePool(pool: DatabasePool | undefined): void {
    if (!pool || this.waitingPool !== pool) return;
    this.waitingPool = undefined;
    if (pool.withdraw(this)) this.host.route(this);
  }

  reject(reason: Failure): void {
    this.fail(reason);
  }

  send(batch: LaneBatch): void {
    const held = this.held;
    if (!held || this.isFinished) return;
    this.batch = batch;
    this.setDeadline(batch.budgetMs);
    if (!held.isExecuting) {
      held.isExecuting = true;
      held.startedAtMs = Date.now();
      held.pool.beginStatement();
    }
    this.transmit(batch);
  }

  cancel(): void {
    if (this.held) this.held.connection.cancel();
    // A commit that waits for its confirmation has run and can't be canceled.
    else if (!this.stopConfirmation) {
      this.fail(failure('canceled', 'canceled while waiting'));
    }
  }

  abort(): void {
    if (this.isFinished) return;
    this.finish();
    this.dropConnection();
  }

  pause(): void {
    this.held?.connection.pause();
  }

  resume(): void {
    this.held?.connection.resume();
  }

  private transmit(batch: LaneBatch): void {
    if (batch.expectsReady) this.expectedReadies++;
    // A batch that ends with Flush commits nothing before its Sync, and the
    // caller needs its answer before it sends the Sync.
    if (batch.mayCommit && batch.expectsReady) this.withheld ??= [];
    this.held?.connection.send(batch.frames);
  }

  private setDeadline(budgetMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.expire(), budgetMs);
  }

  private receive(code: number, frame: Buffer): void {
    if (code === FrameCode.parameterStatus && this.readPosition(frame)) return;
    if (code === FrameCode.ready) return this.receiveReady(frame);
    if (!this.withheld) return this.relay(code, frame);
    this.receiveWithheld(code, frame);
  }

  /**
   * Relays rows that precede the first CommandComplete, and withholds all
   * other frames of a batch that may commit.
   */
  private receiveWithheld(code: number, frame: Buffer): void {
    if (code === FrameCode.dataRow && !this.isCompletionWithheld) {
      this.relayWithheld();
      this.withheld = [];
      return this.relay(code, frame);
    }
    if (code === FrameCode.commandComplete) this.isCompletionWithheld = true;
    if (code === FrameCode.error && frame.includes(READ_ONLY_ERROR)) {
      this.hasReadOnlyError = true;
    }
    this.withhold(code, frame);
  }

  private relayWithheld(): void {
    for (const {code, frame} of this.withheld ?? []) this.relay(code, frame);
    this.withheld = undefined;
    this.withheldBytes = 0;
  }

  private withhold(code: number, frame: Buffer): void {
    this.withheldBytes += frame.length;
    this.withheld?.push({code, frame: Buffer.from(frame)});
    if (this.withheldBytes <= MAX_WITHHELD_BYTES) return;
    this.fail(
      failure(
        'outcome_unknown',
        'answer too large to buffer until the commit is confirmed',
      ),
    );
    this.dropConnection();
  }

  private relay(code: number, frame: Buffer): void {
    this.hasRelayed = true;
    this.sink.onFrame(code, frame);
  }

  /**
   * Reads a report of a commit's position; returns false for other parameters.
   * A report that cannot be read ends the connection, since the commit could
   * not be confirmed.
   */
  private readPosition(frame: Buffer): boolean {
    const parameter = parseParameterStatus(frame);
    if (parameter && parameter.name !== POSITION_PARAMETER) return false;
    this.commitPosition = parameter && parsePosition(parameter.value);
    if (!this.commitPosition) this.held?.connection.destroy();
    return true;
  }

  private receiveReady(frame: Buffer): void {
    this.expectedReadies--;
    const idle =
      transactionStatusOf(frame) === 'I' && this.expectedReadies === 0;
    if (this.expectedReadies === 0) this.endStatement();
    const commitPosition = this.commitPosition;
    this.commitPosition = undefined;
    if (idle) this.releaseConnection();
    if (idle && this.canRetryReadOnly(commitPosition))
      return this.retryReadOnly();
    if (!commitPosition) return this.deliver(frame, undefined, idle);
    this.stopConfirmation = this.host.awaitConfirmation(
      commitPosition,
      confirmed => {
        this.stopConfirmation = undefined;
        if (confirmed) this.deliver(frame, commitPosition, idle);
        else this.fail(supersededFailure());
      },
    );
  }

  private deliver(
    ready: Buffer,
    position: Position | undefined,
    idle: boolean,
  ): void {
    if (this.isFinished) return;
    this.relayWithheld();
    this.isCompletionWithheld = false;
    const floor = position ?? this.learnedFloor;
    if (floor) this.sink.onPosition(floor);
    this.relay(FrameCode.ready, ready);
    if (idle) {
      this.finish();
      this.sink.onDone();
    } else if (this.expectedReadies === 0) {
      this.setDeadline(IDLE_TRANSACTION_MS);
    }
    this.sink.onChunkEnd();
  }

  private endStatement(): void {
    const held = this.held;
    if (!held?.isExecuting) return;
    held.isExecuting = false;
    held.pool.endStatement(Date.now() - held.startedAtMs);
  }

  private releaseConnection(): void {
    const held = this.held;
    this.held = undefined;
    if (!held) return;
    held.connection.resume();
    held.pool.release(held.connection);
  }

  private dropConnection(): void {
    const held = this.held;
    this.held = undefined;
    if (!held) return;
    if (held.isExecuting) held.pool.abandonStatement();
    held.pool.discard(held.connection);
  }

  /** Handles a closed connection or the replacement of the primary. */
  private onConnectionLost(): void {
    if (!this.held?.isExecuting) this.batch = {...this.batch, mayCommit: false};
    const outcome = this.lossFailure();
    this.dropConnection();
    if (this.canRetry(outcome)) return this.retry();
    this.fail(outcome);
  }

  private lossFailure(): Failure {
    return connectionLossFailure(this.request.access, this.batch);
  }

  private canRetry(outcome: Failure): boolean {
    if (this.isFinished || this.hasRelayed) return false;
    const isSafe =
      outcome.kind === 'backend_unreachable' || this.request.repeatable;
    return isSafe && Date.now() < this.deadlineAtMs && this.host.allowRetry();
  }

  private retry(): void {
    this.resetAnswer();
    this.host.route(this);
  }

  private resetAnswer(): void {
    this.expectedReadies = 0;
    this.withheld = undefined;
    this.withheldBytes = 0;
    this.isCompletionWithheld = false;
    this.hasReadOnlyError = false;
    this.commitPosition = undefined;
  }

  /**
   * Whether to send a rejected write again. A primary that a failover has just
   * fenced rejects a write as read-only and doesn't run it, so sending it again
   * can't repeat it.
   */
  private canRetryReadOnly(commitPosition: Position | undefined): boolean {
    return (
      this.hasReadOnlyError &&
      !this.hasRelayed &&
      !commitPosition &&
      this.readOnlyRetries < MAX_READ_ONLY_RETRIES
    );
  }

  /** Chooses a route again after a delay, when the new primary may be known. */
  private retryReadOnly(): void {
    this.readOnlyRetries++;
    this.resetAnswer();
    setTimeout(() => {
      if (!this.isFinished) this.host.route(this);
    }, READ_ONLY_RETRY_DELAY_MS);
  }

  private expire(): void {
    if (this.isFinished) return;
    const outcome =
      this.held || this.stopConfirmation
        ? this.lossFailure()
        : failure('queue_deadline', 'deadline passed before the request ran');
    this.dropConnection();
    this.fail(
      outcome.kind === 'backend_unreachable'
        ? failure('canceled', 'deadline passed during a read')
        : outcome,
    );
  }

  private fail(reason: Failure): void {
    if (this.isFinished) return;
    this.finish();
    this.sink.onFailure(reason);
  }

  private finish(): void {
    this.isFinished = true;
    clearTimeout(this.timer);
    this.stopConfirmation?.();
    this.waitingPool?.withdraw(this);
    this.host.onLaneEnded(this);
  }
}

const supersededFailure = (): Failure =>
  failure(
    'outcome_unknown',
    'the primary was replaced before the commit was confirmed',
  );
