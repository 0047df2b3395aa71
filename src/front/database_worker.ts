/**
 * Runs statements on one database. Statements wait in a queue that is fair by
 * customer, run on connections that are each bound to one customer, and keep
 * their connection for the length of a transaction.
 */
import {
  FULL_BUDGET,
  growBudget,
  isReduced,
  reduceBudget,
} from '../core/connection_budget.js';
import {chooseConnection} from '../core/connection_choice.js';
import {KnownDatabase} from '../core/directory.js';
import {LaneRefusal, Lanes, OpenLane} from '../core/lanes.js';
import {addPositionSample, PositionSamples} from '../core/position_samples.js';
import {IdSource, WorkOrigin} from '../core/process_ids.js';
import {PositionSample} from '../core/routing.js';
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
import {WorkQueue} from '../core/work_queue.js';
import {DatabaseHealth} from './database_health.js';
import {DatabaseLink, LinkTarget, StepAnswer} from './database_link.js';
import {
  INTERNAL_CUSTOMER,
  probeDatabase,
  samplePosition,
} from './database_probe.js';
import {JsonLog, originFields} from './json_log.js';
import {setupStatements} from './session_setup.js';
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
}

/** Time without an answer after which the database is probed. */
const PROBE_AFTER_SILENCE_MS = 300;
/**
 * Time that a front that is not the holder waits for its first connection. The
 * work then fails as unreachable, so that another front can run it.
 */
const FIRST_CONNECTION_TIMEOUT_MS = 250;
const CHECK_INTERVAL_MS = 100;
/** Age from which the newest position sample is refreshed on request. */
const MAX_SAMPLE_AGE_MS = 200;
/** Idle time after which a front that is not the holder closes a connection. */
const NON_HOLDER_IDLE_MS = 1_500;
/** Weight of the newest measurement in the moving average of service times. */
const SERVICE_TIME_SMOOTHING = 0.1;
const INITIAL_SERVICE_MS = 15;

interface Connection {
  /** Id of the connection in logs. */
  readonly id: string;
  readonly customer: string;
  use: 'idle' | 'busy' | 'pinned';
  isOpening: boolean;
  /** While the connection is opening, when the opening began. */
  lastUsedMs: number;
  link: DatabaseLink;
  lane?: Lane;
  job?: Job;
}

/** An open transaction and the connection that it uses exclusively. */
interface Lane extends OpenLane {
  readonly connection: Connection;
  readonly openedAtMs: number;
  /** Whether only the primary may run the transaction. */
  readonly isPrimaryOnly: boolean;
  timer?: NodeJS.Timeout;
}

interface Job {
  readonly work: Work;
  readonly origin: WorkOrigin;
  readonly resolve: (reply: Reply) => void;
  timer: NodeJS.Timeout;
  /** When its newest statement was sent; 0 before. */
  sentAtMs: number;
  isFinished: boolean;
}

/** Whether work outside an open transaction may only run on the primary. */
const needsPrimary = ({mode, access}: Work): boolean =>
  mode === ExecutionMode.fenced ||
  mode === ExecutionMode.open ||
  (mode === ExecutionMode.single && access !== Access.read);

/** Whether the answer to work waits until its changes are replicated. */
const isCommitting = ({mode, access}: Work): boolean =>
  access === Access.commit ||
  (access === Access.write && mode === ExecutionMode.single);

/** Counters of a worker, shown in its dump under the same names. */
export interface WorkerCounts {
  /** Connections opened for statements. */
  opened: number;
  /** Pieces of work that were answered, the rejected ones included. */
  ran: number;
  /** Pieces of work that were rejected before they were sent. */
  refused: number;
}

/** Runs all statements that this VM sends to one database. */
export class DatabaseWorker {
  readonly counts: WorkerCounts = {opened: 0, ran: 0, refused: 0};
  /** Positions that the database is known to have reached as primary. */
  private samples: PositionSamples = [];
  private entry: KnownDatabase;
  private readonly queue = WorkQueue.create<Job>();
  private readonly jobs = new Map<string, Job>();
  private readonly lanes = Lanes.create<Lane>();
  private connections: Connection[] = [];
  private inFlight = 0;
  private serviceMs = INITIAL_SERVICE_MS;
  private connectionBudget = FULL_BUDGET;
  private readonly health: DatabaseHealth;
  private pendingSample: Promise<PositionSample | undefined> | undefined;
  private isClosed = false;
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
  }

  static create(options: WorkerOptions): DatabaseWorker {
    return new DatabaseWorker(options);
  }

  /** Newest directory entry of the database. */
  get database(): KnownDatabase {
    return this.entry;
  }

  /** Closes connections whose statement or transaction needs the primary. */
  abortPrimaryWork(): void {
    for (const connection of [...this.connections]) {
      const {lane, job} = connection;
      const isPrimaryOnly =
        lane?.isPrimaryOnly === true ||
        (job !== undefined && needsPrimary(job.work));
      if (isPrimaryOnly && !connection.isOpening) {
        connection.link.close('another database becomes primary');
      }
    }
  }

  update(entry: KnownDatabase): void {
    this.entry = entry;
  }

  /** When the database last answered, on the monotonic clock. */
  get lastSeenAtMs(): number {
    return this.health.lastSeenAtMs;
  }

  /** Whether the database is being probed or is unreachable. */
  get isSuspect(): boolean {
    return this.health.isSuspect;
  }

  /** Whether commits that were sent lately have got no answer in time. */
  get isStalled(): boolean {
    return this.health.isStalled;
  }

  /** Whether there is neither work nor an open transaction. */
  get isIdle(): boolean {
    return this.jobs.size === 0 && this.lanes.size === 0;
  }

  /** Returns the expected queueing time of one more statement. */
  expectedWaitMs(customer: string, priority: number): number {
    const entry = {customer, weight: 1, priority};
    return this.queue.waitMs(entry, this.capacity(), this.inFlight);
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

  /** Drops queued work whose caller has disconnected; running work goes on. */
  cancel(key: string): void {
    const job = this.jobs.get(key);
    if (job && this.queue.remove(job)) this.reject(job, 'caller disconnected');
  }

  /** Rolls back the transaction of the lane `id`. */
  endLane(id: string): void {
    const lane = this.lanes.get(id);
    if (lane) this.releaseLane(lane, 'ended by its caller');
  }

  /** Rolls back the transactions that came over a connection of a front. */
  endLanesOf(connection: string): void {
    for (const lane of this.lanes.of(connection)) {
      this.releaseLane(lane, 'front disconnected');
    }
  }

  /** Closes all connections; rejects work that has not been sent. */
  close(): void {
    this.isClosed = true;
    clearInterval(this.checkTimer);
    for (const lane of this.lanes.all) clearTimeout(lane.timer);
    for (const job of [...this.jobs.values()]) {
      if (job.sentAtMs === 0) this.reject(job, 'front is closing');
    }
    for (const connection of [...this.connections]) connection.link.close();
  }

  /**
   * Returns position samples of this database as primary; takes a new one when
   * the newest is older than `MAX_SAMPLE_AGE_MS`.
   */
  async positionSamples(): Promise<PositionSamples> {
    if (!this.options.canServeAsPrimary()) return this.samples;
    const newest = this.samples[this.samples.length - 1];
    const nowMs = performance.now();
    if (newest && nowMs - newest.atMs < MAX_SAMPLE_AGE_MS) return this.samples;
    const idle = this.connections.find(c => c.use === 'idle');
    if (idle) await this.sampleOnIdleConnection(idle);
    else await this.sampleOnNewConnection();
    return this.samples;
  }

  /**
   * Takes a position sample on an extra connection; used when no open
   * connection is idle.
   */
  private async sampleOnNewConnection(): Promise<void> {
    this.pendingSample ??= samplePosition(
      this.target(INTERNAL_CUSTOMER),
      this.options.codec,
    ).finally(() => (this.pendingSample = undefined));
    const sample = await this.pendingSample;
    if (!sample) return;
    this.recordAnswer();
    if (!this.options.canServeAsPrimary()) return;
    this.samples = addPositionSample(this.samples, sample);
  }

  /** Opens and ends an empty transaction, which only a primary allows. */
  private sampleOnIdleConnection(connection: Connection): Promise<void> {
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
          if (index === 0) return this.recordSample(sentAtMs, answer);
          this.release(connection, answer.state);
          this.startQueuedJobs();
          resolve();
        },
      );
    });
  }

  /** Records the position of an answer that only a primary gives. */
  private recordSample(sentAtMs: number, answer: StepAnswer): void {
    if (!answer.ok || !answer.position) return;
    if (!this.options.canServeAsPrimary()) return;
    const sample = {atMs: sentAtMs, position: answer.position};
    this.samples = addPositionSample(this.samples, sample);
  }

  /** Closes idle connections above `keep`, as when the holder changes. */
  releaseIdle(keep: number): void {
    const idle = this.connections.filter(c => c.use === 'idle');
    const surplus = this.connections.length - keep;
    idle.slice(0, Math.max(0, surplus)).forEach(c => c.link.close());
  }

  /** Opens a new connection to check whether the database answers. */
  async probe(): Promise<boolean> {
    const {codec} = this.options;
    const hasAnswered = await probeDatabase(
      this.target(INTERNAL_CUSTOMER),
      codec,
    );
    if (hasAnswered) this.recordAnswer();
    return hasAnswered;
  }

  dump(): object {
    return {
      database: this.entry.id,
      connections: this.connections.length,
      lanes: this.lanes.size,
      inFlight: this.inFlight,
      queued: this.queue.size,
      serviceMs: Math.round(this.serviceMs),
      failing: this.health.isUnreachable,
      ...this.counts,
    };
  }

  private target(customer: string): LinkTarget {
    const {host, port, service, id} = this.entry;
    return {host, port, service, customer, instance: id};
  }

  /** Returns how many statements may be sent at once. */
  private concurrencyLimit(): number {
    const {slots} = this.entry;
    return this.options.isNear ? slots + 1 : 2 * slots + 1;
  }

  private capacity() {
    return {
      concurrency: this.concurrencyLimit(),
      serviceTimeMs: this.serviceMs,
    };
  }

  private enqueue(job: Job): void {
    const {work} = job;
    if (this.health.isUnreachable) {
      return this.finish(
        job,
        faultReply(Fault.unreachable, 'database does not answer'),
      );
    }
    const waitMs = this.expectedWaitMs(work.customer, work.priority);
    if (waitMs + this.serviceMs > work.budgetMs) {
      return this.reject(job, 'queue is too long', waitMs);
    }
    this.addToQueue(job);
    this.startQueuedJobs();
  }

  private startQueuedJobs(): void {
    if (this.isClosed) return;
    while (this.inFlight < this.concurrencyLimit()) {
      const job = this.queue.take(customer => !this.canStartFor(customer));
      if (!job) return;
      this.startJob(job);
    }
  }

  private connectionLimit(): number {
    return Math.min(
      this.options.connectionLimit(),
      this.connectionBudget.limit,
    );
  }

  private chooseFor(customer: string) {
    return chooseConnection(this.connections, customer, this.connectionLimit());
  }

  private canStartFor(customer: string): boolean {
    const choice = this.chooseFor(customer);
    if (choice.kind !== 'open') return choice.kind === 'use';
    // Opens one connection at a time: while the database has few places left,
    // several attempts would compete for the last one.
    if (
      isReduced(this.connectionBudget) &&
      this.connections.some(c => c.isOpening)
    )
      return false;
    return performance.now() >= this.connectionBudget.nextOpenAtMs;
  }

  private startJob(job: Job): void {
    const choice = this.chooseFor(job.work.customer);
    if (choice.kind === 'use') {
      this.inFlight++;
      this.runOnConnection(job, choice.connection);
    } else if (choice.kind === 'open') {
      choice.evict?.link.close('replaced by another customer');
      this.inFlight++;
      this.openConnection(job);
    } else {
      this.reject(job, 'no connection');
    }
  }

  private openConnection(job: Job): void {
    this.counts.opened++;
    const connection: Connection = {
      id: this.options.newId(),
      customer: job.work.customer,
      use: 'busy',
      isOpening: true,
      lastUsedMs: performance.now(),
      link: DatabaseLink.open(
        this.target(job.work.customer),
        this.options.codec,
        (fault, text) => this.onOpened(job, connection, fault, text),
        () => this.onClosed(connection),
      ),
    };
    connection.job = job;
    this.connections.push(connection);
  }

  private onOpened(
    job: Job,
    connection: Connection,
    fault: Fault | undefined,
    text: string,
  ): void {
    connection.isOpening = false;
    if (fault === undefined) {
      this.recordAnswer();
      return this.runOnConnection(job, connection);
    }
    this.inFlight--;
    this.options.log('connection_failed', {
      database: this.entry.id,
      request: job.work.requestId,
      fault,
      text,
    });
    if (fault === Fault.tooMany) {
      this.recordAnswer();
      this.shrinkBudget();
      if (!job.isFinished) this.addToQueue(job);
    } else {
      if (fault === Fault.unreachable) this.suspect(text);
      this.finish(job, faultReply(fault, text));
    }
    setImmediate(() => this.startQueuedJobs());
  }

  /**
   * Limits this VM to the connections that it has open, since others hold the
   * database's remaining places.
   */
  private shrinkBudget(): void {
    const usable = this.connections.filter(c => !c.isOpening).length;
    this.connectionBudget = reduceBudget(usable, performance.now());
  }

  private addToQueue(job: Job): void {
    const {customer, priority} = job.work;
    this.queue.add(
      {customer, weight: 1, priority, deadlineAtMs: Infinity, item: job},
      this.capacity(),
    );
  }

  /** Brings the connection to the session's state and runs the statement. */
  private runOnConnection(job: Job, connection: Connection): void {
    if (job.isFinished) {
      this.inFlight--;
      this.release(connection, TransactionState.idle);
      return this.startQueuedJobs();
    }
    const {work} = job;
    if (needsPrimary(work) && !this.options.canServeAsPrimary()) {
      this.inFlight--;
      const text = 'database is not confirmed as primary';
      this.finish(job, faultReply(Fault.unreachable, text));
      this.release(connection, TransactionState.idle);
      return this.startQueuedJobs();
    }
    connection.use = 'busy';
    connection.job = job;
    const {codec} = this.options;
    const steps = setupStatements(connection.link, work.session, codec, false);
    const statement = codec.callerStatement(
      work.requestId,
      work.text,
      work.mode === ExecutionMode.single ? work.after : undefined,
    );
    job.sentAtMs = performance.now();
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
        this.recordSample(job.sentAtMs, result);
        this.finish(job, this.replyOf(result, {state: TransactionState.idle}));
        this.recordServiceTime(job);
      } else {
        this.inFlight--;
        this.release(connection, answer.state);
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
    if (!begun.ok || job.isFinished) {
      this.inFlight--;
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
            ),
      );
      this.release(connection, begun.state);
      return this.startQueuedJobs();
    }
    if (job.work.mode === ExecutionMode.open)
      this.recordSample(job.sentAtMs, begun);
    const isPrimaryOnly = job.work.mode === ExecutionMode.open;
    const lane = this.pin(connection, job, isPrimaryOnly);
    job.sentAtMs = performance.now();
    connection.link.run([statement], (_, answer) => {
      this.recordAnswerUnlessLost(answer);
      this.inFlight--;
      this.onLaneAnswer(job, lane, answer, true);
      this.startQueuedJobs();
    });
  }

  private onSingleAnswer(
    job: Job,
    connection: Connection,
    answer: StepAnswer,
  ): void {
    this.inFlight--;
    this.recordServiceTime(job);
    if (job.work.access === Access.write)
      this.recordSample(job.sentAtMs, answer);
    this.recordCommit(job, answer);
    this.finish(job, this.replyOf(answer, {state: TransactionState.idle}));
    this.release(connection, answer.state);
    this.startQueuedJobs();
  }

  private runInLane(job: Job): void {
    const {lane, refusal} = this.lanes.find(
      job.work.lane,
      job.work.transaction,
      job.origin,
    );
    if (!lane) {
      this.logRefusedLane(job, refusal);
      return this.finish(job, {
        ...faultReply(Fault.aborted, 'transaction no longer exists'),
        state: TransactionState.failed,
      });
    }
    clearTimeout(lane.timer);
    const {link} = lane.connection;
    if (lane.isPrimaryOnly && !this.options.canServeAsPrimary()) {
      link.close('database is not confirmed as primary');
      return this.finish(job, {
        ...faultReply(Fault.aborted, 'database is not confirmed as primary'),
        state: TransactionState.failed,
      });
    }
    if (job.work.access === Access.rollback) {
      this.releaseLane(lane, 'rolled back');
      return this.finish(job, {
        ok: true,
        rows: [],
        signature: '',
        state: TransactionState.idle,
      });
    }
    if (link.unansweredSteps > 0) {
      link.close('a statement came before the answer to the last one');
      return this.finish(job, {
        ...faultReply(Fault.aborted, 'transaction was busy'),
        state: TransactionState.failed,
      });
    }
    const {session, requestId, text} = job.work;
    const {codec} = this.options;
    const steps = setupStatements(link, session, codec, true);
    steps.push(codec.callerStatement(requestId, text));
    this.inFlight++;
    job.sentAtMs = performance.now();
    lane.connection.job = job;
    this.runSteps(job, lane.connection, steps, steps.length - 1, answer => {
      this.inFlight--;
      this.onLaneAnswer(job, lane, answer, false);
      this.startQueuedJobs();
    });
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
    this.recordServiceTime(job);
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
      if (job.isFinished && this.lanes.get(lane.id)) this.startLaneTimer(lane);
      return;
    }
    const state =
      !isCommit && !hasNotRun ? TransactionState.failed : TransactionState.idle;
    const result =
      isLost && !isCommit ? {...answer, fault: Fault.aborted} : answer;
    this.finish(job, this.replyOf(result as StepAnswer, {state}));
    this.unpin(lane, answer.ok && isCommit ? 'committed' : 'failed');
    if (!isLost) this.release(lane.connection, answer.state);
  }

  private pin(connection: Connection, job: Job, isPrimaryOnly: boolean): Lane {
    const {work, origin} = job;
    const {transaction} = work;
    const lane: Lane = {
      id: this.options.newId(),
      connection,
      origin,
      transaction,
      openedAtMs: performance.now(),
      isPrimaryOnly,
    };
    connection.use = 'pinned';
    connection.lane = lane;
    this.lanes.add(lane);
    this.options.log('lane_opened', {
      request: work.requestId,
      transaction,
      lane: lane.id,
      database: this.entry.id,
      customer: work.customer,
      connection: connection.id,
      port: connection.link.localPort,
      ...originFields(origin),
    });
    return lane;
  }

  private startLaneTimer(lane: Lane): void {
    clearTimeout(lane.timer);
    const idleMs = this.options.laneIdleMs();
    lane.timer = setTimeout(
      () => this.releaseLane(lane, 'idle for too long'),
      idleMs,
    );
  }

  private unpin(lane: Lane, reason: string): void {
    clearTimeout(lane.timer);
    this.lanes.delete(lane);
    lane.connection.lane = undefined;
    this.options.log('lane_ended', {
      transaction: lane.transaction,
      lane: lane.id,
      database: this.entry.id,
      connection: lane.connection.id,
      reason,
      tookMs: Math.round(performance.now() - lane.openedAtMs),
    });
  }

  /** Logs a statement that may not run in the lane that it names. */
  private logRefusedLane({work, origin}: Job, reason: LaneRefusal): void {
    this.options.log('lane_refused', {
      request: work.requestId,
      transaction: work.transaction,
      lane: work.lane,
      reason,
      database: this.entry.id,
      ...originFields(origin),
    });
  }

  private releaseLane(lane: Lane, reason: string): void {
    this.unpin(lane, reason);
    const {connection} = lane;
    if (connection.link.unansweredSteps > 0)
      connection.link.close('transaction ended');
    else this.release(connection, TransactionState.open);
  }

  /**
   * Returns a connection to the pool after rolling back an open transaction.
   */
  private release(connection: Connection, state: TransactionState): void {
    connection.job = undefined;
    if (connection.link.isClosed) return;
    if (state === TransactionState.idle) {
      connection.use = 'idle';
      connection.lastUsedMs = performance.now();
      if (this.connections.length > this.connectionLimit()) {
        connection.link.close('above the connection limit');
      } else if (!this.options.isHolder()) this.closeAfterIdle(connection);
      return;
    }
    connection.use = 'busy';
    const rollback = this.options.codec.internalStatement({kind: 'rollback'});
    connection.link.run([rollback], (_, answer) => {
      if (!answer.ok || answer.state !== TransactionState.idle) {
        connection.link.close('rollback failed');
      } else {
        this.release(connection, TransactionState.idle);
        this.startQueuedJobs();
      }
    });
  }

  /**
   * Closes a connection once it has been idle for `NON_HOLDER_IDLE_MS`, unless
   * this VM is the database's holder.
   */
  private closeAfterIdle(connection: Connection): void {
    setTimeout(() => {
      const unusedMs = performance.now() - connection.lastUsedMs;
      const isUnused =
        connection.use === 'idle' && unusedMs >= NON_HOLDER_IDLE_MS;
      if (isUnused && !this.options.isHolder()) connection.link.close('idle');
    }, NON_HOLDER_IDLE_MS);
  }

  private onClosed(connection: Connection): void {
    this.connections = this.connections.filter(c => c !== connection);
    if (connection.lane) this.unpin(connection.lane, 'connection closed');
    connection.job = undefined;
    setImmediate(() => this.startQueuedJobs());
  }

  private replyOf(
    answer: StepAnswer,
    extra: {state: TransactionState; lane?: string},
  ): Reply {
    const waitMs = this.queue.size > 0 ? this.expectedWaitMs('', 1) : 0;
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
          ...extra,
        };
  }

  private finish(job: Job, reply: Reply): void {
    if (job.isFinished) return;
    job.isFinished = true;
    clearTimeout(job.timer);
    this.jobs.delete(job.work.key);
    this.counts.ran++;
    job.resolve(reply);
    if (reply.lane !== undefined) {
      const lane = this.lanes.get(reply.lane);
      if (lane) this.startLaneTimer(lane);
    }
  }

  private reject(job: Job, text: string, waitMs = 0): void {
    this.counts.refused++;
    const retryAfterMs = Math.max(50, Math.round(waitMs));
    this.finish(job, faultReply(Fault.busy, text, {retryAfterMs, waitMs}));
  }

  /**
   * Handles the time limit of work: work that was not sent did not run; the
   * outcome of work that was sent is unknown.
   */
  private expire(job: Job): void {
    if (job.isFinished) return;
    if (this.queue.remove(job) || job.sentAtMs === 0) {
      return this.reject(job, 'not in time', this.serviceMs);
    }
    const connection = this.connections.find(c => c.job === job);
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
    if (isCommitting(job.work)) this.health.recordCommit(false);
    this.suspect('no answer in time');
  }

  private recordCommit({work}: Job, answer: StepAnswer): void {
    if (answer.ok && isCommitting(work)) this.health.recordCommit(true);
  }

  private recordServiceTime(job: Job): void {
    const tookMs = performance.now() - job.sentAtMs;
    this.serviceMs += SERVICE_TIME_SMOOTHING * (tookMs - this.serviceMs);
  }

  private recordAnswerUnlessLost(answer: StepAnswer): void {
    if (answer.ok || answer.fault !== Fault.lost) this.recordAnswer();
  }

  private recordAnswer(): void {
    this.health.recordAnswer();
  }

  private suspect(text: string): void {
    if (!this.isClosed) this.health.suspect(text);
  }

  /**
   * Fails queued work, so that it can run on another database. Closes
   * connections that run a read or no statement; a running write may still be
   * answered.
   */
  private failQueuedJobs(): void {
    for (;;) {
      const job = this.queue.take(() => false);
      if (!job) break;
      this.finish(
        job,
        faultReply(Fault.unreachable, 'database does not answer'),
      );
    }
    for (const connection of [...this.connections]) {
      const {job} = connection;
      const isRead = job?.work.access === Access.read;
      if (!job || isRead || connection.use === 'idle') {
        connection.link.close('database does not answer');
      }
    }
  }

  /** Whether this front isn't the holder and has no open connection yet. */
  private get isAwaitingFirstConnection(): boolean {
    const {connections} = this;
    return !this.options.isHolder() && connections.every(c => c.isOpening);
  }

  /** Returns how long the oldest unanswered connect or statement has waited. */
  private longestWaitMs(nowMs: number): number {
    const waits = this.connections.map(({job, isOpening, lastUsedMs}) => {
      if (isOpening) return nowMs - lastUsedMs;
      return job && !job.isFinished && job.sentAtMs > 0
        ? nowMs - job.sentAtMs
        : 0;
    });
    return Math.max(0, ...waits);
  }

  /**
   * Probes a silent database, restores the connection budget step by step and
   * starts queued work. Stops itself when nothing is left to check.
   */
  private runChecks(): void {
    const nowMs = performance.now();
    if (this.health.isUnreachable) return this.suspect('still no answer');
    this.connectionBudget = growBudget(
      this.connectionBudget,
      this.options.connectionLimit(),
      nowMs,
    );
    const waitedMs = this.longestWaitMs(nowMs);
    const silentMs = Math.min(waitedMs, nowMs - this.lastSeenAtMs);
    if (silentMs > PROBE_AFTER_SILENCE_MS) this.suspect('no answer');
    if (
      this.isAwaitingFirstConnection &&
      silentMs > FIRST_CONNECTION_TIMEOUT_MS
    ) {
      return this.health.markUnreachable('first connection timed out', nowMs);
    }
    if (this.queue.size > 0) this.startQueuedJobs();
    if (this.jobs.size > 0 || isReduced(this.connectionBudget)) return;
    clearInterval(this.checkTimer);
    this.checkTimer = undefined;
  }
}
