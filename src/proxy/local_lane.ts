/**
 * A lane at the VM that owns the pool. It waits for a route and a connection,
 * relays frames, and withholds the answer to a commit until the commit is
 * confirmed.
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
import {bodyOf, Code, readCString, statusOf} from '../pg/wire.js';
import {DatabasePool, Job} from './database_pool.js';

/** Longest pause between the statements of a transaction. */
const IDLE_TRANSACTION_MS = 60_000;
/** SQLSTATE field of a database that is not, or no longer, the primary. */
const READ_ONLY_ERROR = 'C25006\0';
const MAX_MOVES = 10;
const MOVE_DELAY_MS = 50;
const MAX_WITHHELD_BYTES = 8 * 1024 * 1024;

/** What a lane asks of its group. */
export interface LaneHost {
  /** Submits to a pool, or parks the lane until a route exists. */
  place(lane: LocalLane): void;
  /** Calls back once a commit is confirmed (true) or superseded (false). */
  confirm(position: Position, done: (confirmed: boolean) => void): () => void;
  /** Whether a failed request may be tried again now. */
  allowRetry(): boolean;
  ended(lane: LocalLane): void;
}

interface Running {
  readonly pool: DatabasePool;
  readonly connection: BackendConnection;
  startedAtMs: number;
  executing: boolean;
}

/** One caller's hold on a connection of this VM. */
export class LocalLane implements Lane, Job {
  readonly arrivedAtMs = Date.now();
  readonly deadlineAtMs: number;
  /** Floor learned for a session that came without one. */
  learnedFloor: Position | undefined;
  private running: Running | undefined;
  private waitingPool: DatabasePool | undefined;
  private batch: LaneBatch;
  private readiesDue = 0;
  private relayed = false;
  private withheld: {code: number; frame: Buffer}[] | undefined;
  private withheldBytes = 0;
  /** A completion has been withheld: rows after it are withheld too. */
  private completed = false;
  private refusedAsReadOnly = false;
  private moves = 0;
  private committed: Position | undefined;
  private stopConfirm: (() => void) | undefined;
  private timer: NodeJS.Timeout | undefined;
  private over = false;

  private constructor(
    readonly request: LaneRequest,
    firstBatch: LaneBatch,
    private readonly sink: LaneSink,
    private readonly host: LaneHost,
  ) {
    this.batch = firstBatch;
    this.deadlineAtMs = this.arrivedAtMs + request.budgetMs;
    this.arm(request.budgetMs);
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

  get isOver(): boolean {
    return this.over;
  }

  /** Whether it holds a connection on which it may write. */
  get isWriting(): boolean {
    return this.request.access === 'write' && this.running !== undefined;
  }

  /** The floor that a read must see. */
  get floor(): Position | undefined {
    return this.request.floor ?? this.learnedFloor;
  }

  /** Notes the pool whose queue holds this lane. */
  waitIn(pool: DatabasePool): void {
    this.waitingPool = pool;
    pool.submit(this);
  }

  start(connection: BackendConnection): void {
    const pool = this.waitingPool;
    if (!pool) return;
    this.waitingPool = undefined;
    if (this.over) {
      pool.abandonStatement();
      pool.release(connection);
      return;
    }
    this.running = {pool, connection, startedAtMs: Date.now(), executing: true};
    connection.attach({
      onFrame: (code, frame) => this.receive(code, frame),
      onChunkEnd: () => this.sink.onChunkEnd(),
      onClose: () => this.lose(),
    });
    this.transmit(this.batch);
  }

  /** Gives up a write on a database that is no longer the primary. */
  leavePrimary(primary: DatabasePool | undefined): void {
    if (this.request.access === 'read') return;
    if (this.running && this.running.pool !== primary) this.lose();
    if (this.waitingPool !== primary) this.leaveQueue(this.waitingPool);
  }

  /** Looks for another route when it waits in the given pool's queue. */
  leaveQueue(pool: DatabasePool | undefined): void {
    if (!pool || this.waitingPool !== pool) return;
    this.waitingPool = undefined;
    if (pool.withdraw(this)) this.host.place(this);
  }

  refuse(reason: Failure): void {
    this.fail(reason);
  }

  send(batch: LaneBatch): void {
    const running = this.running;
    if (!running || this.over) return;
    this.batch = batch;
    this.arm(batch.budgetMs);
    if (!running.executing) {
      running.executing = true;
      running.startedAtMs = Date.now();
      running.pool.beginStatement();
    }
    this.transmit(batch);
  }

  cancel(): void {
    if (this.running) this.running.connection.cancel();
    else this.fail(failure('canceled', 'canceled while waiting'));
  }

  abort(): void {
    if (this.over) return;
    this.finish();
    this.dropConnection();
  }

  pause(): void {
    this.running?.connection.pause();
  }

  resume(): void {
    this.running?.connection.resume();
  }

  private transmit(batch: LaneBatch): void {
    if (batch.expectsReady) this.readiesDue++;
    // A flushed batch commits nothing before its Sync, and its caller waits.
    if (batch.mayCommit && batch.expectsReady) this.withheld ??= [];
    this.running?.connection.send(batch.frames);
  }

  private arm(budgetMs: number): void {
    clearTimeout(this.timer);
    this.timer = setTimeout(() => this.expire(), budgetMs);
  }

  private receive(code: number, frame: Buffer): void {
    if (code === Code.parameterStatus && this.notePosition(frame)) return;
    if (code === Code.ready) return this.receiveReady(frame);
    if (!this.withheld) return this.relay(code, frame);
    this.receiveWithheld(code, frame);
  }

  /** Rows pass; everything else of a batch that may commit is withheld. */
  private receiveWithheld(code: number, frame: Buffer): void {
    if (code === Code.dataRow && !this.completed) {
      this.relayWithheld();
      this.withheld = [];
      return this.relay(code, frame);
    }
    if (code === Code.commandComplete) this.completed = true;
    if (code === Code.error && frame.includes(READ_ONLY_ERROR)) {
      this.refusedAsReadOnly = true;
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
    this.fail(failure('outcome_unknown', 'answer too large to withhold'));
    this.dropConnection();
  }

  private relay(code: number, frame: Buffer): void {
    this.relayed = true;
    this.sink.onFrame(code, frame);
  }

  private notePosition(frame: Buffer): boolean {
    const body = bodyOf(frame);
    const [name, at] = readCString(body, 0);
    if (name !== POSITION_PARAMETER) return false;
    this.committed = parsePosition(readCString(body, at)[0]);
    return true;
  }

  private receiveReady(frame: Buffer): void {
    this.readiesDue--;
    const idle = statusOf(frame) === 'I' && this.readiesDue === 0;
    if (this.readiesDue === 0) this.endStatement();
    const committed = this.committed;
    this.committed = undefined;
    if (idle) this.releaseConnection();
    if (idle && this.mayMove(committed)) return this.move();
    if (!committed) return this.deliver(frame, undefined, idle);
    this.stopConfirm = this.host.confirm(committed, confirmed => {
      this.stopConfirm = undefined;
      if (confirmed) this.deliver(frame, committed, idle);
      else this.fail(superseded());
    });
  }

  private deliver(
    ready: Buffer,
    position: Position | undefined,
    idle: boolean,
  ): void {
    if (this.over) return;
    this.relayWithheld();
    this.completed = false;
    const floor = position ?? this.learnedFloor;
    if (floor) this.sink.onPosition(floor);
    this.relay(Code.ready, ready);
    if (idle) {
      this.finish();
      this.sink.onDone();
    } else if (this.readiesDue === 0) {
      this.arm(IDLE_TRANSACTION_MS);
    }
    this.sink.onChunkEnd();
  }

  private endStatement(): void {
    const running = this.running;
    if (!running?.executing) return;
    running.executing = false;
    running.pool.endStatement(Date.now() - running.startedAtMs);
  }

  private releaseConnection(): void {
    const running = this.running;
    this.running = undefined;
    if (!running) return;
    running.connection.resume();
    running.pool.release(running.connection);
  }

  private dropConnection(): void {
    const running = this.running;
    this.running = undefined;
    if (!running) return;
    if (running.executing) running.pool.abandonStatement();
    running.pool.discard(running.connection);
  }

  /** The connection ended by itself, or its database was replaced. */
  private lose(): void {
    if (!this.running?.executing)
      this.batch = {...this.batch, mayCommit: false};
    const outcome = this.lossFailure();
    this.dropConnection();
    if (this.canRetry(outcome)) return this.retry();
    this.fail(outcome);
  }

  private lossFailure(): Failure {
    return connectionLossFailure(this.request.access, this.batch);
  }

  private canRetry(outcome: Failure): boolean {
    if (this.over || this.relayed) return false;
    const harmless =
      outcome.kind === 'backend_unreachable' || this.request.repeatable;
    return harmless && Date.now() < this.deadlineAtMs && this.host.allowRetry();
  }

  private retry(): void {
    this.forgetAnswer();
    this.host.place(this);
  }

  private forgetAnswer(): void {
    this.readiesDue = 0;
    this.withheld = undefined;
    this.withheldBytes = 0;
    this.completed = false;
    this.refusedAsReadOnly = false;
    this.committed = undefined;
  }

  /** A write refused by a database just fenced has not run. */
  private mayMove(committed: Position | undefined): boolean {
    return (
      this.refusedAsReadOnly &&
      !this.relayed &&
      !committed &&
      this.moves < MAX_MOVES
    );
  }

  /** Tries again, once the new primary may be known. */
  private move(): void {
    this.moves++;
    this.forgetAnswer();
    setTimeout(() => {
      if (!this.over) this.host.place(this);
    }, MOVE_DELAY_MS);
  }

  private expire(): void {
    if (this.over) return;
    const outcome =
      this.running || this.stopConfirm
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
    if (this.over) return;
    this.finish();
    this.sink.onFailure(reason);
  }

  private finish(): void {
    this.over = true;
    clearTimeout(this.timer);
    this.stopConfirm?.();
    this.waitingPool?.withdraw(this);
    this.host.ended(this);
  }
}

const superseded = (): Failure =>
  failure(
    'outcome_unknown',
    'the primary was replaced before the commit was confirmed',
  );
