/**
 * Runs statements on one database. Statements wait in a queue that is fair by
 * customer, run on connections that are each bound to one customer, and keep
 * their connection for the length of a transaction.
 */
import {Result} from 'neverthrow';
import {CommitPositions} from '../core/commit_positions.js';
import {KnownDatabase} from '../core/directory.js';
import {AnswerCounts} from '../core/load/answer_window.js';
import {Exclusion} from '../core/exclusion.js';
import {INTERNAL_CUSTOMER} from '../core/front_config.js';
import {allowsRegion, HOMES_RETRY_DELAY_MS} from '../core/homes.js';
import {EXPECTED_TAKEOVER_MS} from '../core/leader_wait.js';
import {Position} from '../core/position.js';
import {PositionSamples} from '../core/position_samples.js';
import {IdSource, WorkOrigin} from '../core/process_ids.js';
import {
  Access,
  ExecutionMode,
  Fault,
  faultReply,
  provesNotRun,
  Reply,
  TransactionState,
  Work,
} from '../core/work.js';
import {Refusal, RefusalReason} from '../core/load/admission.js';
import {isCommitting, kindOf} from '../core/load/work_times.js';
import {AnswerReporter} from './answer_reporter.js';
import {ColdGate, ColdRefusalReason, WarmUpOptions} from './cold_gate.js';
import {Connection, ConnectionPool} from './connection_pool.js';
import {DatabaseHealth} from './database_health.js';
import {LinkTarget, StepAnswer} from './database_link.js';
import {probeDatabase, samplePosition} from './database_probe.js';
import {JsonLog} from './json_log.js';
import {PositionSampler} from './position_sampler.js';
import {setupStatementCount, setupStatements} from './session_setup.js';
import {isWaitingInLane, Job, needsPrimary, writes} from './statement_job.js';
import {refusalFields, StatementQueue} from './statement_queue.js';
import {pause} from './timeout.js';
import {Lane, TransactionLanes} from './transaction_lanes.js';
import {DatabaseCodec} from './wire_types.js';

export interface WorkerOptions {
  readonly entry: KnownDatabase;
  readonly codec: DatabaseCodec;
  readonly log: JsonLog;
  readonly newId: IdSource;
  /** Maximum number of connections that this VM may hold to the database. */
  readonly connectionLimit: () => number;
  /** Whether this VM may currently use the database as primary. */
  readonly canServeAsPrimary: () => boolean;
  /**
   * Whether this VM may send commits to the database and acknowledge them; as
   * `canServeAsPrimary` if absent.
   */
  readonly canCommit?: () => boolean;
  /** Told of the positions of primaries and of acknowledged commits. */
  readonly commitPositions?: CommitPositions;
  /** Whether no leader record can be missing; always if absent. */
  readonly isViewReliable?: () => boolean;
  /**
   * Whether nothing may be sent to the databases of a zone, as it is being
   * evacuated. Never, if undefined.
   */
  readonly isZoneClosed?: (zone: string) => boolean;
  /**
   * Whether this VM is the database's holder: the front that keeps connections
   * to it and runs the other fronts' work on them.
   */
  readonly isHolder: () => boolean;
  /**
   * Whether the database is in this front's zone. A distant database gets more
   * concurrent statements, so that it stays busy during the round trip.
   */
  readonly isNear: boolean;
  /**
   * How long a transaction may go without a statement before it is rolled back.
   */
  readonly laneIdleMs: () => number;
  /** Limits what is sent to the database while it is cold; no limit if absent. */
  readonly warmUp?: WarmUpOptions;
  /** Called for each piece of work that is rejected before it was sent. */
  readonly onRefused?: (reason: string) => void;
}

/** Time without an answer after which the database is probed. */
const PROBE_AFTER_SILENCE_MS = 300;
/**
 * Time that a front that is not the holder waits for its first connection. The
 * work then fails as unreachable, so that another front can run it.
 */
const FIRST_CONNECTION_TIMEOUT_MS = 250;
const CHECK_INTERVAL_MS = 100;
const FINISH_POLL_MS = 5;
/** Counters of a worker, shown in its dump under the same names. */
export interface WorkerCounts {
  /** Connections opened for statements. */
  opened: number;
  /** Pieces of work that were answered, the rejected ones included. */
  ran: number;
  /** Pieces of work that were rejected before they were sent. */
  refused: number;
}

const ROLLED_BACK: Reply = {
  ok: true,
  rows: [],
  signature: '',
  state: TransactionState.idle,
};

/** Runs all statements that this VM sends to one database. */
export class DatabaseWorker {
  readonly counts: WorkerCounts = {opened: 0, ran: 0, refused: 0};
  private entry: KnownDatabase;
  private readonly queue: StatementQueue;
  private readonly jobs = new Map<string, Job>();
  private readonly connections: ConnectionPool;
  private readonly lanes: TransactionLanes;
  private readonly sampler: PositionSampler;
  private readonly health: DatabaseHealth;
  private readonly reporter = AnswerReporter.create();
  private readonly coldGate: ColdGate;
  private isClosed = false;
  /** Until when commits that are under way may still be acknowledged. */
  private finishUntilMs = -Infinity;
  /** Set while there is work or the connection budget is reduced. */
  private checkTimer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: WorkerOptions) {
    const {id, service} = options.entry;
    this.entry = options.entry;
    this.health = DatabaseHealth.create({
      database: id,
      service,
      log: options.log,
      probe: () => this.probe(),
      onUnreachable: () => this.failQueuedJobs(),
    });
    this.queue = StatementQueue.create({
      slots: () => this.entry.slots,
      isPrimary: () => this.entry.isLeader,
      isNear: options.isNear,
      connectionNeed: customer => this.connections.needOf(customer),
      onPlaceFree: () => this.startQueuedJobs(),
    });
    this.coldGate = ColdGate.create({
      warmUp: options.warmUp,
      entry: () => this.entry,
      log: options.log,
    });
    this.connections = ConnectionPool.create({
      codec: options.codec,
      newId: options.newId,
      target: customer => this.target(customer),
      startedAtUnixMs: () => this.entry.startedAtUnixMs,
      startRollback: () => this.coldGate.start(1, true),
      region: () => this.entry.place.region,
      usualLimit: options.connectionLimit,
      isHolder: options.isHolder,
      onIdle: () => this.startQueuedJobs(),
      onClosed: connection => this.onClosed(connection),
    });
    this.lanes = TransactionLanes.create({
      database: id,
      connections: this.connections,
      newId: options.newId,
      idleMs: options.laneIdleMs,
      log: options.log,
    });
    this.sampler = PositionSampler.create({
      canServeAsPrimary: () =>
        !this.isZoneClosed && options.canServeAsPrimary(),
      sampleOnIdle: () => this.sampleOnIdleConnection(),
      sampleOnNew: () => this.sampleOnNewConnection(),
      onAnswered: () => this.recordAnswer(),
      onSample: ({atMs, position}) =>
        options.commitPositions?.recordReached(service, atMs, position),
    });
  }

  static create(options: WorkerOptions): DatabaseWorker {
    return new DatabaseWorker(options);
  }

  /** Newest directory entry of the database. */
  get database(): KnownDatabase {
    return this.entry;
  }

  /** Whether nothing may be sent, as the database's zone is being evacuated. */
  get isZoneClosed(): boolean {
    return this.options.isZoneClosed?.(this.entry.zone) === true;
  }

  /**
   * Ends the work that may not go on once the zone is closed: rejects what was
   * not sent and aborts open transactions. Statements that run are answered.
   */
  endWorkIfZoneClosed(): void {
    if (!this.isZoneClosed) return;
    for (const job of this.queue.drain()) this.rejectAsEvacuated(job);
    for (const {isOpening, use, lane, link} of this.connections.all) {
      const isLaneIdle = lane !== undefined && link.unansweredSteps === 0;
      if (isOpening || use === 'idle' || isLaneIdle)
        link.close('zone is being evacuated');
    }
  }

  /** Closes connections whose statement or transaction needs the primary. */
  abortPrimaryWork(): void {
    for (const connection of this.connections.all) {
      const {lane, job} = connection;
      const isPrimaryOnly =
        lane?.isPrimaryOnly === true ||
        (job !== undefined && needsPrimary(job.work));
      if (isPrimaryOnly && !connection.isOpening) {
        connection.link.close('another database becomes primary');
      }
    }
  }

  /**
   * Ends everything that may lead to a commit. Commits under way may finish for
   * `finishMs`; what has got no answer by then ends with an unknown outcome.
   */
  async stopCommits(finishMs: number): Promise<void> {
    const isAnswering = !this.health.isSuspect;
    this.finishUntilMs = performance.now() + (isAnswering ? finishMs : 0);
    const mayCommit = ({lane, job, isOpening}: Connection): boolean =>
      !isOpening &&
      (lane?.hasWritten === true ||
        (job !== undefined && !job.isFinished && writes(job.work)));
    const isCommittingOn = ({link, job}: Connection): boolean =>
      job !== undefined &&
      !job.isFinished &&
      link.unansweredSteps > 0 &&
      isCommitting(kindOf(job.work));
    const connections = this.connections.all.filter(mayCommit);
    for (const connection of connections) {
      if (!isCommittingOn(connection))
        connection.link.close('primary is being changed');
    }
    const committing = connections.filter(isCommittingOn);
    while (
      performance.now() < this.finishUntilMs &&
      committing.some(isCommittingOn)
    ) {
      await pause(FINISH_POLL_MS);
    }
    for (const connection of committing.filter(isCommittingOn))
      connection.link.close('primary is being changed');
  }

  update(entry: KnownDatabase): void {
    this.entry = entry;
    this.coldGate.recordEntry();
    for (const connection of this.connections.all) {
      if (connection.use === 'idle') this.closeIfMoved(connection);
    }
  }

  /** Closes a connection that was opened to the database in another region. */
  private closeIfMoved({region, link}: Connection): void {
    if (region !== this.entry.place.region) link.close('database has moved');
  }

  /** Until when the database is cold; -Infinity if it is never cold. */
  get coldUntilMs(): number {
    return this.coldGate.coldUntilMs;
  }

  /** When the database last answered, on the monotonic clock. */
  get lastSeenAtMs(): number {
    return this.health.lastSeenAtMs;
  }

  /**
   * Whether the database is being probed or is unreachable; not in a closed
   * zone, where nothing shows whether it is back.
   */
  get isSuspect(): boolean {
    return !this.isZoneClosed && this.health.isSuspect;
  }

  /** Whether commits that were sent lately have got no answer in time. */
  get isStalled(): boolean {
    return this.health.isStalled;
  }

  /** Answers of the database to callers' statements in the last second. */
  get answerCounts(): AnswerCounts {
    return this.reporter.counts;
  }

  /** Whether there is neither work nor an open transaction. */
  get isIdle(): boolean {
    return this.jobs.size === 0 && this.lanes.size === 0;
  }

  /** Returns the expected queueing time of one more statement. */
  expectedWaitMs(customer: string, priority: number): number {
    return this.queue.expectedWaitMs(customer, priority);
  }

  /** Runs work; never rejects. */
  run(work: Work, origin: WorkOrigin): Promise<Reply> {
    if (this.isClosed) {
      return Promise.resolve(faultReply(Fault.unreachable, 'front is closing'));
    }
    return new Promise(resolve => {
      const job: Job = {
        work,
        origin,
        resolve,
        arrivedAtMs: performance.now(),
        sentAtMs: 0,
        isFinished: false,
        timer: setTimeout(() => this.expire(job), work.budgetMs),
      };
      this.jobs.set(work.key, job);
      this.checkTimer ??= setInterval(
        () => this.runChecks(),
        CHECK_INTERVAL_MS,
      );
      if (work.mode === ExecutionMode.lane) this.runInLane(job);
      else this.enqueue(job);
    });
  }

  /**
   * Drops work that its front no longer wants to run, unless it has been sent to
   * the database.
   */
  cancel(key: string): void {
    const job = this.jobs.get(key);
    const text = 'canceled by its front';
    if (job && this.queue.remove(job)) this.reject(job, text, 'caller_left');
    else if (job && isWaitingInLane(job))
      this.refuseInLane(job, faultReply(Fault.busy, text));
    else if (job && job.sentAtMs === 0) this.reject(job, text, 'caller_left');
  }

  /** Rolls back the transaction of the lane `id`. */
  endLane(id: string): void {
    const lane = this.lanes.get(id);
    if (lane) this.lanes.release(lane, 'ended by its caller');
  }

  /** Rolls back the transactions that came over a connection of a front. */
  endLanesOf(connection: string): void {
    this.lanes.releaseOf(connection);
  }

  /** Closes all connections; rejects work that has not been sent. */
  close(): void {
    this.isClosed = true;
    this.coldGate.close();
    clearInterval(this.checkTimer);
    this.lanes.close();
    for (const job of [...this.jobs.values()]) {
      if (job.sentAtMs === 0) this.reject(job, 'front is closing', 'closing');
    }
    this.connections.closeAll();
  }

  /** Returns position samples of this database as primary, the newest recent. */
  positionSamples(): Promise<PositionSamples> {
    return this.sampler.refresh();
  }

  /**
   * Opens and ends an empty transaction, which only a primary allows. Returns
   * undefined if no connection is idle.
   */
  private sampleOnIdleConnection(): Promise<void> | undefined {
    const connection = this.connections.idle;
    if (!connection) return undefined;
    const permit = this.coldGate.start(1, false);
    if (!permit) return Promise.resolve();
    const {codec} = this.options;
    const sentAtMs = performance.now();
    connection.use = 'busy';
    return new Promise(resolve => {
      connection.link.run(
        [
          codec.internalStatement({kind: 'begin', readOnly: false}),
          codec.internalStatement({kind: 'rollback'}),
        ],
        (index, answer) => {
          this.recordAnswerUnlessLost(answer);
          if (index === 0) return this.sampler.record(sentAtMs, answer);
          permit.end(performance.now());
          this.connections.release(connection, answer.state);
          this.startQueuedJobs();
          resolve();
        },
      );
    });
  }

  private async sampleOnNewConnection() {
    const permit = this.coldGate.start(1, false);
    if (!permit) return undefined;
    const {codec} = this.options;
    try {
      return await samplePosition(this.target(INTERNAL_CUSTOMER), codec);
    } finally {
      permit.end(performance.now());
    }
  }

  /** Closes idle connections above `keep`, as when the holder changes. */
  releaseIdle(keep: number): void {
    this.connections.releaseIdle(keep);
  }

  /**
   * Opens a new connection to check whether the database answers. Opens none in
   * a closed zone, and shows no failure then.
   */
  async probe(): Promise<boolean> {
    if (this.isZoneClosed) return true;
    const {codec} = this.options;
    const {startedAtUnixMs} = this.entry;
    const hasAnswered = await probeDatabase(
      this.target(INTERNAL_CUSTOMER),
      codec,
      () => this.coldGate.recordClosing(startedAtUnixMs),
    );
    if (hasAnswered) this.recordAnswer();
    return hasAnswered || this.isZoneClosed;
  }

  dump(): object {
    return {
      database: this.entry.id,
      connections: this.connections.size,
      lanes: this.lanes.size,
      inFlight: this.queue.inFlight,
      queued: this.queue.size,
      serviceMs: Math.round(this.queue.serviceMs),
      failing: this.health.isUnreachable,
      ...this.counts,
    };
  }

  private target(customer: string): LinkTarget {
    const {host, port, service, id} = this.entry;
    const maySend = (): boolean => !this.isZoneClosed;
    return {host, port, service, customer, instance: id, maySend};
  }

  private enqueue(job: Job): void {
    if (this.isZoneClosed) return this.rejectAsEvacuated(job);
    if (this.health.isUnreachable) {
      return this.finish(
        job,
        faultReply(Fault.unreachable, 'database does not answer'),
      );
    }
    const cold = this.coldGate.refusal(1, this.unsentCount(job), false);
    if (cold) return this.finishRefused(job, this.coldGate.refuse(job, cold));
    const refusal = this.queue.offer(job);
    if (refusal) return this.refuse(job, refusal);
    this.startQueuedJobs();
  }

  /** Refuses the queued jobs that cannot finish in time any more. */
  private recheckQueue(): void {
    for (const {job, refusal} of this.queue.recheck())
      this.refuse(job, refusal);
  }

  private startQueuedJobs(): void {
    if (this.isClosed) return;
    this.recheckQueue();
    for (;;) {
      const job = this.queue.take(
        customer => !this.connections.canStartFor(customer),
      );
      if (!job) return;
      this.startJob(job);
    }
  }

  private startJob(job: Job): void {
    if (this.isZoneClosed) return this.rejectAsEvacuated(job);
    if (this.isOutsideHomes(job.work)) return this.rejectOutsideHomes(job);
    const choice = this.connections.choose(job.work.customer);
    if (choice.kind === 'use') {
      this.queue.begin(job);
      this.runOnConnection(job, choice.connection);
    } else if (choice.kind === 'open') {
      choice.evict?.link.close('replaced by another customer');
      this.queue.begin(job);
      this.counts.opened++;
      this.connections.open(job, (connection, fault, text) =>
        this.onOpened(job, connection, fault, text),
      );
    } else {
      this.reject(job, 'no connection', 'connection');
    }
  }

  private onOpened(
    job: Job,
    connection: Connection,
    fault: Fault | undefined,
    text: string,
  ): void {
    if (fault === undefined) {
      this.recordAnswer();
      return this.runOnConnection(job, connection);
    }
    this.queue.end(job);
    if (this.isZoneClosed) return this.rejectAsEvacuated(job);
    this.options.log('connection_failed', {
      database: this.entry.id,
      request: job.work.requestId,
      fault,
      text,
    });
    if (fault === Fault.tooMany) {
      this.recordAnswer();
      this.connections.shrink();
      if (!job.isFinished) this.queue.requeue(job);
    } else {
      if (fault === Fault.unreachable) this.suspect(text);
      this.finish(job, faultReply(fault, text));
    }
    setImmediate(() => this.startQueuedJobs());
  }

  /** Brings the connection to the session's state and runs the statement. */
  private runOnConnection(job: Job, connection: Connection): void {
    if (job.isFinished) {
      this.queue.end(job);
      this.connections.release(connection, TransactionState.idle);
      return this.startQueuedJobs();
    }
    const {work} = job;
    if (this.isZoneClosed) return this.endAsEvacuated(job, connection);
    if (this.isOutsideHomes(work, connection)) {
      this.queue.end(job);
      this.rejectOutsideHomes(job);
      this.closeIfMoved(connection);
      this.connections.release(connection, TransactionState.idle);
      return this.startQueuedJobs();
    }
    const isConfirmed =
      (!needsPrimary(work) || this.options.canServeAsPrimary()) &&
      (!writes(work) || this.canCommit);
    if (!isConfirmed) {
      this.queue.end(job);
      const text = 'database is not confirmed as primary';
      const isPrimaryChanging = writes(work);
      this.finish(
        job,
        faultReply(Fault.unreachable, text, {isPrimaryChanging}),
      );
      this.connections.release(connection, TransactionState.idle);
      return this.startQueuedJobs();
    }
    if (!this.startWhileCold(job, connection, false)) {
      this.queue.end(job);
      this.finishRefused(job, this.coldGate.refuseLate(job, false));
      this.connections.release(connection, TransactionState.idle);
      return this.startQueuedJobs();
    }
    const {codec} = this.options;
    const encoded = this.encodeSteps(
      connection,
      work,
      work.mode === ExecutionMode.single ? work.after : undefined,
      false,
    );
    if (encoded.isErr()) {
      this.queue.end(job);
      this.finishUnsendable(job, encoded.error, TransactionState.idle);
      this.connections.release(connection, TransactionState.idle);
      return this.startQueuedJobs();
    }
    const {steps, statement} = encoded.value;
    connection.use = 'busy';
    connection.job = job;
    this.markSent(job);
    if (
      work.mode === ExecutionMode.open ||
      work.mode === ExecutionMode.openRead
    ) {
      const readOnly = work.mode === ExecutionMode.openRead;
      steps.push(
        codec.internalStatement({kind: 'begin', readOnly}, work.after),
      );
      this.runSteps(job, connection, steps, steps.length - 1, answer =>
        this.onTransactionOpened(job, connection, answer, statement),
      );
      return;
    }
    if (work.mode === ExecutionMode.fenced) {
      steps.push(
        codec.internalStatement({kind: 'begin', readOnly: false}),
        statement,
        codec.internalStatement({kind: 'rollback'}),
      );
      this.runFenced(job, connection, steps);
      return;
    }
    steps.push(statement);
    this.runSteps(job, connection, steps, steps.length - 1, answer =>
      this.onSingleAnswer(job, connection, answer),
    );
  }

  /**
   * Encodes a caller's statement and the steps that bring a connection to its
   * session's state. The error tells what the database cannot be sent.
   */
  private encodeSteps(
    {link}: Connection,
    {session, requestId, text}: Work,
    after: Position | undefined,
    inTransaction: boolean,
  ): Result<{steps: string[]; statement: string}, string> {
    const {codec} = this.options;
    return codec.callerStatement(requestId, text, after).andThen(statement =>
      setupStatements(link, session, codec, inTransaction).map(steps => ({
        steps,
        statement,
      })),
    );
  }

  /** Answers work that the protocol of the database cannot carry. */
  private finishUnsendable(
    job: Job,
    text: string,
    state: TransactionState,
  ): void {
    job.permit?.end(performance.now());
    this.counts.refused++;
    this.options.onRefused?.('unsendable');
    this.options.log('statement_unsendable', {
      request: job.work.requestId,
      transaction: job.work.transaction,
      customer: job.work.customer,
      database: this.entry.id,
      text,
    });
    this.finish(job, faultReply(Fault.malformed, text, {state}));
  }

  /**
   * Runs steps, of which `mainIndex` is the statement and earlier ones are
   * setup. Closes the connection when a setup step fails, as its state is
   * unknown.
   */
  private runSteps(
    job: Job,
    connection: Connection,
    steps: readonly string[],
    mainIndex: number,
    onAnswer: (answer: StepAnswer) => void,
  ): void {
    connection.link.run(steps, (index, answer) => {
      this.recordAnswerUnlessLost(answer);
      if (index < mainIndex && !answer.ok && answer.fault !== Fault.lost) {
        connection.link.close(`session setup failed: ${answer.text}`);
      } else if (index === mainIndex) onAnswer(answer);
    });
  }

  /**
   * Runs a read between BEGIN and ROLLBACK. Only a primary accepts the BEGIN,
   * so the read cannot run on a demoted one.
   */
  private runFenced(
    job: Job,
    connection: Connection,
    steps: readonly string[],
  ): void {
    const last = steps.length - 1;
    let begun: StepAnswer | undefined;
    let result: StepAnswer | undefined;
    connection.link.run(steps, (index, answer) => {
      this.recordAnswerUnlessLost(answer);
      if (index < last - 2) {
        if (!answer.ok) connection.link.close('session setup failed');
      } else if (index === last - 2) begun = answer;
      else if (index === last - 1) {
        result = begun?.ok === false ? begun : answer;
        this.sampler.record(job.sentAtMs, result);
        this.finish(job, this.replyOf(result, {state: TransactionState.idle}));
        this.queue.recordServiceTime(job);
      } else {
        this.queue.end(job);
        job.permit?.end(performance.now());
        this.connections.release(connection, answer.state);
        this.startQueuedJobs();
      }
    });
  }

  /**
   * Reserves the connection for the transaction as a lane and runs its first
   * statement.
   */
  private onTransactionOpened(
    job: Job,
    connection: Connection,
    begun: StepAnswer,
    statement: string,
  ): void {
    if (begun.ok && this.isOutsideHomes(job.work, connection))
      this.rejectOutsideHomes(job);
    if (!begun.ok || job.isFinished) {
      this.queue.end(job);
      job.permit?.end(performance.now());
      this.finish(
        job,
        begun.ok
          ? faultReply(Fault.busy, 'not in time')
          : this.replyOf(
              {
                ...begun,
                fault:
                  begun.fault === Fault.lost ? Fault.unreachable : begun.fault,
              },
              {state: TransactionState.idle},
              writes(job.work) && !this.canCommit,
            ),
      );
      this.connections.release(connection, begun.state);
      return this.startQueuedJobs();
    }
    if (this.isZoneClosed) return this.endAsEvacuated(job, connection);
    if (job.work.mode === ExecutionMode.open)
      this.sampler.record(job.sentAtMs, begun);
    const isPrimaryOnly = job.work.mode === ExecutionMode.open;
    const lane = this.lanes.pin(connection, job, isPrimaryOnly);
    this.markSent(job);
    connection.link.run([statement], (_, answer) => {
      this.recordAnswerUnlessLost(answer);
      this.queue.end(job);
      this.onLaneAnswer(job, lane, answer, true);
      this.startQueuedJobs();
    });
  }

  private onSingleAnswer(
    job: Job,
    connection: Connection,
    answer: StepAnswer,
  ): void {
    this.queue.end(job);
    job.permit?.end(performance.now());
    this.queue.recordServiceTime(job);
    if (job.work.access === Access.write)
      this.sampler.record(job.sentAtMs, answer);
    this.recordCommit(job, answer);
    const reply = this.acknowledged(job, answer);
    this.finish(job, this.replyOf(reply, {state: TransactionState.idle}));
    this.connections.release(connection, answer.state);
    this.startQueuedJobs();
  }

  private markSent(job: Job): void {
    job.sentAtMs = performance.now();
    job.reachedBefore = this.options.commitPositions?.reachedBy(
      this.entry.service,
    );
  }

  private get canCommit(): boolean {
    const {canCommit, canServeAsPrimary} = this.options;
    return (canCommit ?? canServeAsPrimary)();
  }

  /**
   * Returns the answer to a statement as it may be passed on: a commit must not
   * be acknowledged once a database may have been chosen that lacks it.
   */
  private acknowledged(job: Job, answer: StepAnswer): StepAnswer {
    const {work, reachedBefore} = job;
    const isCommit = answer.ok && isCommitting(kindOf(work));
    if (!isCommit) return answer;
    const {isViewReliable, commitPositions} = this.options;
    const mayFinish =
      performance.now() < this.finishUntilMs &&
      (isViewReliable === undefined || isViewReliable());
    if (this.canCommit || mayFinish) {
      const {position} = answer;
      const {service} = this.entry;
      const nowMs = performance.now();
      if (position)
        commitPositions?.recordCommit(service, reachedBefore, position, nowMs);
      return answer;
    }
    this.options.log('commit_unconfirmed', {
      request: work.requestId,
      transaction: work.transaction,
      customer: work.customer,
      database: this.entry.id,
    });
    const text = 'primary is being changed';
    const {position, state} = answer;
    return {ok: false, fault: Fault.lost, text, position, state};
  }

  private runInLane(job: Job): void {
    const {lane} = this.lanes.find(job);
    if (!lane) {
      return this.finish(job, {
        ...faultReply(Fault.aborted, 'transaction no longer exists'),
        state: TransactionState.failed,
      });
    }
    clearTimeout(lane.timer);
    const {link} = lane.connection;
    if (this.isZoneClosed) return this.abortAsEvacuated(job, lane);
    const isWriting =
      job.work.access === Access.write ||
      (job.work.access === Access.commit && lane.hasWritten);
    const isConfirmed =
      (!lane.isPrimaryOnly || this.options.canServeAsPrimary()) &&
      (!isWriting || this.canCommit);
    if (!isConfirmed) {
      link.close('database is not confirmed as primary');
      return this.finish(job, {
        ...faultReply(Fault.aborted, 'database is not confirmed as primary'),
        state: TransactionState.failed,
      });
    }
    if (this.isOutsideHomes(job.work, lane.connection)) {
      link.close('database is outside the homes of the transaction');
      this.logOutsideHomes(job.work);
      return this.finish(job, {
        ...faultReply(Fault.aborted, 'database is outside the homes'),
        state: TransactionState.failed,
      });
    }
    if (job.work.access === Access.rollback) {
      this.lanes.release(lane, 'rolled back');
      return this.finish(job, ROLLED_BACK);
    }
    if (link.unansweredSteps > 0) {
      link.close('a statement came before the answer to the last one');
      return this.finish(job, {
        ...faultReply(Fault.aborted, 'transaction was busy'),
        state: TransactionState.failed,
      });
    }
    if (!this.startWhileCold(job, lane.connection, true))
      return this.awaitTurnInLane(job, lane);
    if (lane.isPrimaryOnly) this.queue.recordPrimaryWork(job);
    const encoded = this.encodeSteps(
      lane.connection,
      job.work,
      undefined,
      true,
    );
    if (encoded.isErr()) {
      this.finishUnsendable(job, encoded.error, TransactionState.failed);
      return this.lanes.release(lane, 'a statement cannot be sent');
    }
    const steps = [...encoded.value.steps, encoded.value.statement];
    this.queue.begin(job);
    this.markSent(job);
    lane.hasWritten ||= job.work.access === Access.write;
    lane.connection.job = job;
    this.runSteps(job, lane.connection, steps, steps.length - 1, answer => {
      this.queue.end(job);
      this.onLaneAnswer(job, lane, answer, false);
      this.startQueuedJobs();
    });
  }

  /**
   * Counts a job's statement and its setup towards the limit of a cold
   * database; returns false if it must not be sent now.
   */
  private startWhileCold(
    job: Job,
    {link}: Connection,
    inTransaction: boolean,
  ): boolean {
    if (!this.coldGate.isLimited) return true;
    const {session} = job.work;
    const setupCount = setupStatementCount(link, session, inTransaction);
    job.permit = this.coldGate.start(1 + setupCount, inTransaction);
    return job.permit !== undefined;
  }

  /** Number of other admitted statements that have not been sent. */
  private unsentCount(job: Job): number {
    if (!this.coldGate.isCold) return 0;
    return [...this.jobs.values()].filter(
      other =>
        other !== job &&
        other.sentAtMs === 0 &&
        other.work.mode !== ExecutionMode.lane,
    ).length;
  }

  private finishRefused(job: Job, reply: Reply): void {
    this.counts.refused++;
    this.finish(job, reply);
  }

  /**
   * Lets a statement of a transaction wait for room at the cold database. If
   * there will be none for this front, ends the transaction.
   */
  private awaitTurnInLane(job: Job, lane: Lane): void {
    const {link} = lane.connection;
    const count = 1 + setupStatementCount(link, job.work.session, true);
    const refusal = this.coldGate.refusal(count, 0, true);
    if (!refusal || refusal.reason === ColdRefusalReason.share)
      return this.coldGate.awaitTurn(job, count, () => this.runInLane(job));
    this.refuseInLane(job, this.coldGate.refuse(job, refusal));
  }

  /** Refuses a statement that was not sent; ends its transaction. */
  private refuseInLane(job: Job, reply: Reply): void {
    this.finishRefused(job, {...reply, state: TransactionState.failed});
    const lane = this.lanes.get(job.work.lane ?? '');
    if (lane) this.lanes.release(lane, 'no room at the cold database');
  }

  /**
   * Answers a statement of a lane. The lane ends with a commit, a lost
   * connection, a failed transaction or a first statement that did not run.
   */
  private onLaneAnswer(
    job: Job,
    lane: Lane,
    answer: StepAnswer,
    isFirst: boolean,
  ): void {
    job.permit?.end(performance.now());
    this.queue.recordServiceTime(job);
    const isLost = !answer.ok && answer.fault === Fault.lost;
    const isCommit = job.work.access === Access.commit;
    this.recordCommit(job, answer);
    const hasNotRun = isFirst && !answer.ok && provesNotRun(answer.fault);
    const isStillOpen =
      !isLost &&
      !hasNotRun &&
      !isCommit &&
      answer.state === TransactionState.open;
    if (isStillOpen) {
      this.finish(
        job,
        this.replyOf(answer, {state: TransactionState.open, lane: lane.id}),
      );
      if (job.isFinished && this.lanes.get(lane.id))
        this.lanes.startTimer(lane);
      if (this.isZoneClosed)
        lane.connection.link.close('zone is being evacuated');
      return;
    }
    const state =
      !isCommit && !hasNotRun ? TransactionState.failed : TransactionState.idle;
    const confirmed = lane.hasWritten ? this.acknowledged(job, answer) : answer;
    const result =
      isLost && !isCommit ? {...answer, fault: Fault.aborted} : confirmed;
    this.finish(job, this.replyOf(result as StepAnswer, {state}));
    this.lanes.unpin(lane, answer.ok && isCommit ? 'committed' : 'failed');
    if (!isLost) this.connections.release(lane.connection, answer.state);
  }

  private onClosed(connection: Connection): void {
    if (connection.link.isClosedByPeer)
      this.coldGate.recordClosing(connection.startedAtUnixMs);
    if (connection.lane) this.lanes.unpin(connection.lane, 'connection closed');
    connection.job = undefined;
    setImmediate(() => this.startQueuedJobs());
  }

  private replyOf(
    answer: StepAnswer,
    extra: {state: TransactionState; lane?: string},
    isPrimaryChanging = false,
  ): Reply {
    const waitMs = this.queue.backlogMs;
    return answer.ok
      ? {
          ok: true,
          rows: answer.rows,
          signature: answer.signature,
          position: answer.position,
          waitMs,
          ...extra,
        }
      : {
          ok: false,
          fault: answer.fault,
          text: answer.text,
          position: answer.position,
          waitMs,
          ...(isPrimaryChanging && {isPrimaryChanging}),
          ...extra,
        };
  }

  private finish(job: Job, reply: Reply): void {
    if (job.isFinished) return;
    job.isFinished = true;
    clearTimeout(job.timer);
    this.jobs.delete(job.work.key);
    this.counts.ran++;
    this.reporter.record(job.work, reply);
    const waitMs = reply.waitMs ?? 0;
    job.resolve(
      this.options.isHolder() ? this.reporter.addReport(reply, waitMs) : reply,
    );
    if (reply.lane !== undefined) {
      const lane = this.lanes.get(reply.lane);
      if (lane) this.lanes.startTimer(lane);
    }
  }

  /** Rejects work for another reason than its expected time. */
  private reject(job: Job, text: string, reason: string, waitMs = 0): void {
    this.counts.refused++;
    this.options.onRefused?.(reason);
    const retryAfterMs = Math.max(50, Math.round(waitMs));
    this.finish(job, faultReply(Fault.busy, text, {retryAfterMs, waitMs}));
  }

  /** Rejects work by an estimate, which the log shows. */
  private refuse(job: Job, refusal: Refusal): void {
    if (job.isFinished) return;
    const {reason, waitMs, retryAfterMs} = refusal;
    this.counts.refused++;
    this.options.onRefused?.(reason);
    const {requestId, transaction, customer, priority} = job.work;
    this.options.log('work_refused', {
      request: requestId,
      transaction,
      customer,
      database: this.entry.id,
      priority,
      ...refusalFields(refusal),
    });
    const text =
      reason === RefusalReason.arrival ? 'queue is too long' : 'not in time';
    this.finish(job, faultReply(Fault.busy, text, {retryAfterMs, waitMs}));
  }

  /** Rejects work that was not sent, because the zone is closed. */
  private rejectAsEvacuated(job: Job): void {
    if (job.isFinished) return;
    const {requestId: request, customer, access, mode, key} = job.work;
    this.options.log('statement_refused', {
      request,
      customer,
      access,
      mode,
      work: key,
      reason: Exclusion.evacuated,
      database: this.entry.id,
      zone: this.entry.zone,
    });
    this.counts.refused++;
    const retryAfterMs = EXPECTED_TAKEOVER_MS;
    const text = 'zone is being evacuated';
    this.finish(job, faultReply(Fault.busy, text, {retryAfterMs}));
  }

  /** Rejects work for which a connection is reserved; closes the connection. */
  private endAsEvacuated(job: Job, {link}: Connection): void {
    this.queue.end(job);
    this.rejectAsEvacuated(job);
    link.close('zone is being evacuated');
  }

  /** Rolls back a transaction by closing its connection. */
  private abortAsEvacuated(job: Job, lane: Lane): void {
    const text = 'zone is being evacuated';
    lane.connection.link.close(text);
    if (job.work.access === Access.rollback)
      return this.finish(job, ROLLED_BACK);
    const state = TransactionState.failed;
    this.finish(job, faultReply(Fault.aborted, text, {state}));
  }

  /**
   * Whether homes exclude the database, which may have restarted elsewhere under
   * the same id since the work was sent here, or the connection was opened.
   */
  private isOutsideHomes({homes}: Work, connection?: Connection): boolean {
    const {region} = this.entry.place;
    return (
      !allowsRegion(homes, region) ||
      !allowsRegion(homes, connection?.region ?? region)
    );
  }

  /**
   * Rejects work as busy, after which another database may run it; the database
   * remains available to other work.
   */
  private rejectOutsideHomes(job: Job): void {
    this.counts.refused++;
    this.logOutsideHomes(job.work);
    const retryAfterMs = HOMES_RETRY_DELAY_MS;
    const text = 'database is outside the homes';
    this.finish(job, faultReply(Fault.busy, text, {retryAfterMs}));
  }

  private logOutsideHomes({requestId, transaction, homes}: Work): void {
    const {id, zone, place} = this.entry;
    const reason = Exclusion.homes;
    this.options.log('statement_refused', {
      request: requestId,
      transaction,
      reason,
      homes,
      exclusions: [{database: id, zone, region: place.region, reason}],
    });
  }

  /**
   * Handles the time limit of work: work that was not sent did not run; the
   * outcome of work that was sent is unknown.
   */
  private expire(job: Job): void {
    if (job.isFinished) return;
    if (isWaitingInLane(job))
      return this.refuseInLane(job, this.coldGate.refuseLate(job, true));
    if (this.queue.remove(job))
      return this.refuse(job, this.queue.refusalAtDeadline(job));
    if (job.sentAtMs === 0) {
      const {serviceMs} = this.queue;
      return this.reject(job, 'not in time', 'connection', serviceMs);
    }
    const connection = this.connections.all.find(c => c.job === job);
    const {mode, access} = job.work;
    const inLane =
      mode !== ExecutionMode.single && mode !== ExecutionMode.fenced;
    const fault =
      inLane && access !== Access.commit ? Fault.aborted : Fault.lost;
    this.finish(job, {
      ...faultReply(fault, 'no answer in time'),
      state: inLane ? TransactionState.failed : TransactionState.idle,
    });
    connection?.link.close('no answer in time');
    if (isCommitting(kindOf(job.work))) this.health.recordCommit(false);
    this.suspect('no answer in time');
  }

  private recordCommit({work}: Job, answer: StepAnswer): void {
    if (answer.ok && isCommitting(kindOf(work))) this.health.recordCommit(true);
  }

  private recordAnswerUnlessLost(answer: StepAnswer): void {
    if (answer.ok || answer.fault !== Fault.lost) this.recordAnswer();
    if (answer.position) this.reporter.recordPosition(answer.position);
  }

  private recordAnswer(): void {
    this.health.recordAnswer();
  }

  private suspect(text: string): void {
    if (!this.isClosed && !this.isZoneClosed) this.health.suspect(text);
  }

  /**
   * Fails queued work, so that it can run on another database. Closes
   * connections that run a read or no statement; a running write may still be
   * answered.
   */
  private failQueuedJobs(): void {
    for (const job of this.queue.drain()) {
      this.finish(
        job,
        faultReply(Fault.unreachable, 'database does not answer'),
      );
    }
    for (const connection of this.connections.all) {
      const {job} = connection;
      const isRead = job?.work.access === Access.read;
      if (!job || isRead || connection.use === 'idle') {
        connection.link.close('database does not answer');
      }
    }
  }

  /** Whether this front isn't the holder and has no open connection yet. */
  private get isAwaitingFirstConnection(): boolean {
    return !this.options.isHolder() && this.connections.isOpeningFirst;
  }

  /**
   * Probes a silent database, restores the connection budget step by step and
   * starts queued work. Stops itself when nothing is left to check.
   */
  private runChecks(): void {
    const nowMs = performance.now();
    this.endWorkIfZoneClosed();
    if (this.health.isUnreachable) return this.suspect('still no answer');
    this.connections.grow(nowMs);
    const waitedMs = this.connections.longestWaitMs(nowMs);
    const silentMs = Math.min(waitedMs, nowMs - this.lastSeenAtMs);
    if (silentMs > PROBE_AFTER_SILENCE_MS) this.suspect('no answer');
    if (
      this.isAwaitingFirstConnection &&
      silentMs > FIRST_CONNECTION_TIMEOUT_MS
    ) {
      return this.health.markUnreachable('first connection timed out', nowMs);
    }
    if (this.queue.size > 0) this.startQueuedJobs();
    if (this.jobs.size > 0 || this.connections.isReduced) return;
    clearInterval(this.checkTimer);
    this.checkTimer = undefined;
  }
}
