/**
 * Runs work at one database: a fair queue in front of what the database does at
 * once, connections bound to customers, and the transactions that hold some.
 */
import {
  FULL_BUDGET,
  growBudget,
  isReduced,
  reduceBudget,
} from '../core/connection_budget.js';
import {chooseConnection} from '../core/connection_choice.js';
import {KnownDatabase} from '../core/directory.js';
import {addPositionSample, PositionSamples} from '../core/position_samples.js';
import {PositionSample} from '../core/routing.js';
import {
  Access,
  Fault,
  faultReply,
  TransactionState,
  provesNotRun,
  Reply,
  Work,
  ExecutionMode,
} from '../core/work.js';
import {WorkQueue} from '../core/work_queue.js';
import {DatabaseHealth} from './database_health.js';
import {DatabaseLink, LinkTarget, StepAnswer} from './database_link.js';
import {
  samplePosition,
  INTERNAL_CUSTOMER,
  probeDatabase,
} from './database_probe.js';
import {JsonLog} from './json_log.js';
import {setupStatements} from './session_setup.js';
import {DatabaseCodec} from './wire_types.js';

/** What a worker needs. */
export interface WorkerOptions {
  readonly entry: KnownDatabase;
  readonly codec: DatabaseCodec;
  readonly log: JsonLog;
  /** Connections that this VM may hold at the database. */
  readonly connectionLimit: () => number;
  /** Whether this VM may use the database as primary at this moment. */
  readonly canServeAsPrimary: () => boolean;
  /** Whether this VM should hold the database's connections. */
  readonly isHolder: () => boolean;
  /** Round trip to the database, for how much may be on its way. */
  readonly isNear: boolean;
  readonly laneIdleMs: () => number;
}

/** Silence of the database after which a new connection checks it. */
const SILENCE_MS = 300;
/** Wait of a stand-in for its first connection, before others are asked. */
const TRIAL_MS = 250;
const CHECK_INTERVAL_MS = 100;
/** Age from which the newest mark is renewed on request. */
const MARK_AGE_MS = 200;
/** Time after which a stand-in closes a connection that it does not use. */
const UNUSED_MS = 1_500;
const SMOOTHING = 0.1;
const INITIAL_SERVICE_MS = 15;

interface Connection {
  readonly customer: string;
  use: 'idle' | 'busy' | 'pinned';
  isOpening: boolean;
  lastUsedMs: number;
  link: DatabaseLink;
  lane?: Lane;
  job?: Job;
}

interface Lane {
  readonly id: string;
  readonly connection: Connection;
  readonly origin: string;
  /** Only a primary runs it. */
  readonly isPlain: boolean;
  timer?: NodeJS.Timeout;
}

interface Job {
  readonly work: Work;
  readonly origin: string;
  readonly done: (reply: Reply) => void;
  timer: NodeJS.Timeout;
  sentMs: number;
  over: boolean;
}

/** Whether work that is no part of a transaction runs at a primary only. */
const needsPrimary = ({mode, access}: Work): boolean =>
  mode === ExecutionMode.fenced ||
  mode === ExecutionMode.open ||
  (mode === ExecutionMode.single && access !== Access.read);

/** Counts that tell how a worker does. */
export interface WorkerCounts {
  opened: number;
  ran: number;
  refused: number;
}

/** One database at one VM. */
export class DatabaseWorker {
  readonly counts: WorkerCounts = {opened: 0, ran: 0, refused: 0};
  /** What the database has shown of its log while it led. */
  private proven: PositionSamples = [];
  private entry: KnownDatabase;
  private readonly queue = WorkQueue.create<Job>();
  private readonly jobs = new Map<string, Job>();
  private readonly lanes = new Map<string, Lane>();
  private connections: Connection[] = [];
  private inFlight = 0;
  private serviceMs = INITIAL_SERVICE_MS;
  private budget = FULL_BUDGET;
  private readonly health: DatabaseHealth;
  private asking: Promise<PositionSample | undefined> | undefined;
  private closed = false;
  private laneCount = 0;
  /** Runs while there is something to check. */
  private checks: NodeJS.Timeout | undefined;

  private constructor(private readonly options: WorkerOptions) {
    const {id, service} = options.entry;
    this.entry = options.entry;
    this.health = DatabaseHealth.create({
      database: id,
      service,
      log: options.log,
      probe: () => this.probe(),
      onLost: () => this.failWaiting(),
    });
  }

  static create(options: WorkerOptions): DatabaseWorker {
    return new DatabaseWorker(options);
  }

  /** The database as last listed. */
  get database(): KnownDatabase {
    return this.entry;
  }

  /** Ends transactions and statements that only a primary may run. */
  abortPrimaryWork(): void {
    for (const connection of [...this.connections]) {
      const {lane, job} = connection;
      const isLeading =
        lane?.isPlain === true || (job !== undefined && needsPrimary(job.work));
      if (isLeading && !connection.isOpening) {
        connection.link.close('another database is to lead');
      }
    }
  }

  update(entry: KnownDatabase): void {
    this.entry = entry;
  }

  /** When the database was last heard, on the steady clock. */
  get lastSeenAtMs(): number {
    return this.health.lastSeenAtMs;
  }

  /** Whether the database is being checked, or has failed a check. */
  get isSuspect(): boolean {
    return this.health.isSuspect;
  }

  /** Whether nothing is under way. */
  get isIdle(): boolean {
    return this.jobs.size === 0 && this.lanes.size === 0;
  }

  /** Expected wait of one more statement. */
  expectedWaitMs(customer: string, priority: number): number {
    const entry = {customer, weight: 1, priority};
    return this.queue.waitMs(entry, this.pace(), this.inFlight);
  }

  run(work: Work, origin: string): Promise<Reply> {
    if (this.closed) {
      return Promise.resolve(faultReply(Fault.unreachable, 'front is closing'));
    }
    return new Promise(done => {
      const job: Job = {
        work,
        origin,
        done,
        sentMs: 0,
        over: false,
        timer: setTimeout(() => this.expire(job), work.budgetMs),
      };
      this.jobs.set(work.key, job);
      this.checks ??= setInterval(() => this.check(), CHECK_INTERVAL_MS);
      if (work.mode === ExecutionMode.lane) this.runInLane(job);
      else this.enqueue(job);
    });
  }

  /** The caller has left: what has not been sent is not sent. */
  cancel(key: string): void {
    const job = this.jobs.get(key);
    if (job && this.queue.remove(job)) this.refuse(job, 'caller left');
  }

  /** Rolls back a transaction whose caller is gone. */
  endLane(id: string): void {
    const lane = this.lanes.get(id);
    if (lane) this.dropLane(lane);
  }

  /** Rolls back the transactions of a VM that is gone. */
  endLanesFrom(origin: string): void {
    for (const lane of [...this.lanes.values()]) {
      if (lane.origin === origin) this.dropLane(lane);
    }
  }

  close(): void {
    this.closed = true;
    clearInterval(this.checks);
    for (const lane of this.lanes.values()) clearTimeout(lane.timer);
    for (const job of [...this.jobs.values()]) {
      if (job.sentMs === 0) this.refuse(job, 'front is closing');
    }
    for (const connection of [...this.connections]) connection.link.close();
  }

  /** Marks of this database as a leader; asks it when the newest is old. */
  async positionSamples(): Promise<PositionSamples> {
    if (!this.options.canServeAsPrimary()) return this.proven;
    const newest = this.proven[this.proven.length - 1];
    const nowMs = performance.now();
    if (newest && nowMs - newest.atMs < MARK_AGE_MS) return this.proven;
    const idle = this.connections.find(c => c.use === 'idle');
    if (idle) await this.proveLead(idle);
    else await this.proveLeadAnew();
    return this.proven;
  }

  /** The same on a connection of its own, when all others are in use. */
  private async proveLeadAnew(): Promise<void> {
    this.asking ??= samplePosition(
      this.target(INTERNAL_CUSTOMER),
      this.options.codec,
    ).finally(() => (this.asking = undefined));
    const mark = await this.asking;
    if (!mark) return;
    this.heard();
    if (!this.options.canServeAsPrimary()) return;
    this.proven = addPositionSample(this.proven, mark);
  }

  /** Opens and ends an empty transaction, which only a leader allows. */
  private proveLead(connection: Connection): Promise<void> {
    const {codec} = this.options;
    const sentMs = performance.now();
    connection.use = 'busy';
    return new Promise(resolve => {
      connection.link.run(
        [
          codec.internalStatement({kind: 'begin', readOnly: false}),
          codec.internalStatement({kind: 'rollback'}),
        ],
        (index, answer) => {
          this.heardUnlessLost(answer);
          if (index === 0) return this.prove(sentMs, answer);
          this.release(connection, answer.state);
          this.pump();
          resolve();
        },
      );
    });
  }

  /** Keeps the position of an answer that only a leader gives. */
  private prove(sentMs: number, answer: StepAnswer): void {
    if (!answer.ok || !answer.position) return;
    if (!this.options.canServeAsPrimary()) return;
    const mark = {atMs: sentMs, position: answer.position};
    this.proven = addPositionSample(this.proven, mark);
  }

  /** Closes idle connections, as when another VM takes over. */
  releaseIdle(keep: number): void {
    const idle = this.connections.filter(c => c.use === 'idle');
    const surplus = this.connections.length - keep;
    idle.slice(0, Math.max(0, surplus)).forEach(c => c.link.close());
  }

  /** Opens a new connection to see whether the database answers. */
  async probe(): Promise<boolean> {
    const {codec} = this.options;
    const alive = await probeDatabase(this.target(INTERNAL_CUSTOMER), codec);
    if (alive) this.heard();
    return alive;
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

  private limit(): number {
    const {slots} = this.entry;
    return this.options.isNear ? slots + 1 : 2 * slots + 1;
  }

  private pace() {
    return {concurrency: this.limit(), serviceTimeMs: this.serviceMs};
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
      return this.refuse(job, 'queue is too long', waitMs);
    }
    this.wait(job);
    this.pump();
  }

  private pump(): void {
    while (this.inFlight < this.limit()) {
      const job = this.queue.take(customer => !this.canServe(customer));
      if (!job) return;
      this.start(job);
    }
  }

  private connectionLimit(): number {
    return Math.min(this.options.connectionLimit(), this.budget.limit);
  }

  private choose(customer: string) {
    return chooseConnection(this.connections, customer, this.connectionLimit());
  }

  private canServe(customer: string): boolean {
    const choice = this.choose(customer);
    if (choice.kind !== 'open') return choice.kind === 'use';
    // One at a time: several would take each other's last place.
    if (isReduced(this.budget) && this.connections.some(c => c.isOpening))
      return false;
    return performance.now() >= this.budget.nextOpenAtMs;
  }

  private start(job: Job): void {
    const choice = this.choose(job.work.customer);
    if (choice.kind === 'use') {
      this.inFlight++;
      this.begin(job, choice.connection);
    } else if (choice.kind === 'open') {
      choice.evict?.link.close('replaced by another customer');
      this.inFlight++;
      this.open(job);
    } else {
      this.refuse(job, 'no connection');
    }
  }

  private open(job: Job): void {
    this.counts.opened++;
    const connection: Connection = {
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
      this.heard();
      return this.begin(job, connection);
    }
    this.inFlight--;
    this.options.log('connection_failed', {
      database: this.entry.id,
      request: job.work.requestId,
      fault,
      text,
    });
    if (fault === Fault.tooMany) {
      this.heard();
      this.shrink();
      if (!job.over) this.wait(job);
    } else {
      if (fault === Fault.unreachable) this.suspect(text);
      this.finish(job, faultReply(fault, text));
    }
    setImmediate(() => this.pump());
  }

  /** Others hold the rest of what the database allows. */
  private shrink(): void {
    const usable = this.connections.filter(c => !c.isOpening).length;
    this.budget = reduceBudget(usable, performance.now());
  }

  private wait(job: Job): void {
    const {customer, priority} = job.work;
    this.queue.add(
      {customer, weight: 1, priority, deadlineAtMs: Infinity, item: job},
      this.pace(),
    );
  }

  /** Brings the connection to the session's state, then runs the statement. */
  private begin(job: Job, connection: Connection): void {
    if (job.over) {
      this.inFlight--;
      this.release(connection, TransactionState.idle);
      return this.pump();
    }
    const {work} = job;
    if (needsPrimary(work) && !this.options.canServeAsPrimary()) {
      this.inFlight--;
      const text = 'no proof that this database leads';
      this.finish(job, faultReply(Fault.unreachable, text));
      this.release(connection, TransactionState.idle);
      return this.pump();
    }
    connection.use = 'busy';
    connection.job = job;
    const {codec} = this.options;
    const texts = setupStatements(connection.link, work.session, codec, false);
    const statement = codec.callerStatement(
      work.requestId,
      work.text,
      work.mode === ExecutionMode.single ? work.after : undefined,
    );
    job.sentMs = performance.now();
    if (
      work.mode === ExecutionMode.open ||
      work.mode === ExecutionMode.openRead
    ) {
      const readOnly = work.mode === ExecutionMode.openRead;
      texts.push(
        codec.internalStatement({kind: 'begin', readOnly}, work.after),
      );
      this.runSteps(job, connection, texts, texts.length - 1, answer =>
        this.onBegun(job, connection, answer, statement),
      );
      return;
    }
    if (work.mode === ExecutionMode.fenced) {
      texts.push(
        codec.internalStatement({kind: 'begin', readOnly: false}),
        statement,
        codec.internalStatement({kind: 'rollback'}),
      );
      this.runFenced(job, connection, texts);
      return;
    }
    texts.push(statement);
    this.runSteps(job, connection, texts, texts.length - 1, answer =>
      this.onSingle(job, connection, answer),
    );
  }

  /** Runs steps; a failed preparation is a connection not to be used. */
  private runSteps(
    job: Job,
    connection: Connection,
    texts: readonly string[],
    main: number,
    done: (answer: StepAnswer) => void,
  ): void {
    connection.link.run(texts, (index, answer) => {
      this.heardUnlessLost(answer);
      if (index < main && !answer.ok && answer.fault !== Fault.lost) {
        connection.link.close(`preparation failed: ${answer.text}`);
      } else if (index === main) done(answer);
    });
  }

  private runFenced(
    job: Job,
    connection: Connection,
    texts: readonly string[],
  ): void {
    const last = texts.length - 1;
    let begun: StepAnswer | undefined;
    let main: StepAnswer | undefined;
    connection.link.run(texts, (index, answer) => {
      this.heardUnlessLost(answer);
      if (index < last - 2) {
        if (!answer.ok) connection.link.close('preparation failed');
      } else if (index === last - 2) begun = answer;
      else if (index === last - 1) {
        main = begun?.ok === false ? begun : answer;
        this.prove(job.sentMs, main);
        this.finish(job, this.replyOf(main, {state: TransactionState.idle}));
        this.measure(job);
      } else {
        this.inFlight--;
        this.release(
          connection,
          answer.ok ? answer.state : TransactionState.idle,
        );
        this.pump();
      }
    });
  }

  private onBegun(
    job: Job,
    connection: Connection,
    begun: StepAnswer,
    statement: string,
  ): void {
    if (!begun.ok || job.over) {
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
      return this.pump();
    }
    if (job.work.mode === ExecutionMode.open) this.prove(job.sentMs, begun);
    const isPlain = job.work.mode === ExecutionMode.open;
    const lane = this.pin(connection, job.origin, isPlain);
    job.sentMs = performance.now();
    connection.link.run([statement], (_, answer) => {
      this.heardUnlessLost(answer);
      this.inFlight--;
      this.afterLaneStep(job, lane, answer, true);
      this.pump();
    });
  }

  private onSingle(job: Job, connection: Connection, answer: StepAnswer): void {
    this.inFlight--;
    this.measure(job);
    if (job.work.access === Access.write) this.prove(job.sentMs, answer);
    this.finish(job, this.replyOf(answer, {state: TransactionState.idle}));
    this.release(connection, answer.state);
    this.pump();
  }

  private runInLane(job: Job): void {
    const lane = this.lanes.get(job.work.lane ?? '');
    if (!lane) {
      return this.finish(job, {
        ...faultReply(Fault.aborted, 'transaction is gone'),
        state: TransactionState.failed,
      });
    }
    clearTimeout(lane.timer);
    const {link} = lane.connection;
    if (lane.isPlain && !this.options.canServeAsPrimary()) {
      link.close('no proof that this database leads');
      return this.finish(job, {
        ...faultReply(Fault.aborted, 'no proof that this database leads'),
        state: TransactionState.failed,
      });
    }
    if (job.work.access === Access.rollback) {
      this.dropLane(lane);
      return this.finish(job, {
        ok: true,
        rows: [],
        signature: '',
        state: TransactionState.idle,
      });
    }
    const {session, requestId, text} = job.work;
    const {codec} = this.options;
    const texts = setupStatements(link, session, codec, true);
    texts.push(codec.callerStatement(requestId, text));
    this.inFlight++;
    job.sentMs = performance.now();
    lane.connection.job = job;
    this.runSteps(job, lane.connection, texts, texts.length - 1, answer => {
      this.inFlight--;
      this.afterLaneStep(job, lane, answer, false);
      this.pump();
    });
  }

  private afterLaneStep(
    job: Job,
    lane: Lane,
    answer: StepAnswer,
    first: boolean,
  ): void {
    this.measure(job);
    const lost = !answer.ok && answer.fault === Fault.lost;
    const isCommit = job.work.access === Access.commit;
    const undone = first && !answer.ok && provesNotRun(answer.fault);
    const stays =
      !lost && !undone && !isCommit && answer.state === TransactionState.open;
    if (stays) {
      this.finish(
        job,
        this.replyOf(answer, {state: TransactionState.open, lane: lane.id}),
      );
      if (job.over && this.lanes.has(lane.id)) this.armLane(lane);
      return;
    }
    const failed =
      !isCommit && !undone ? TransactionState.failed : TransactionState.idle;
    const fault =
      lost && !isCommit ? {...answer, fault: Fault.aborted} : answer;
    this.finish(job, this.replyOf(fault as StepAnswer, {state: failed}));
    this.unpin(lane);
    if (!lost) this.release(lane.connection, answer.state);
  }

  private pin(connection: Connection, origin: string, isPlain: boolean): Lane {
    const id = `${this.entry.id}/${++this.laneCount}`;
    const lane: Lane = {id, connection, origin, isPlain};
    connection.use = 'pinned';
    connection.lane = lane;
    this.lanes.set(id, lane);
    return lane;
  }

  private armLane(lane: Lane): void {
    clearTimeout(lane.timer);
    const idleMs = this.options.laneIdleMs();
    lane.timer = setTimeout(() => this.dropLane(lane), idleMs);
  }

  private unpin(lane: Lane): void {
    clearTimeout(lane.timer);
    this.lanes.delete(lane.id);
    lane.connection.lane = undefined;
  }

  private dropLane(lane: Lane): void {
    this.unpin(lane);
    const {connection} = lane;
    if (connection.link.pending > 0) connection.link.close('caller left');
    else this.release(connection, TransactionState.open);
  }

  /** Makes a connection free again, rolling back what is open. */
  private release(connection: Connection, state: TransactionState): void {
    connection.job = undefined;
    if (connection.link.closed) return;
    if (state === TransactionState.idle) {
      connection.use = 'idle';
      connection.lastUsedMs = performance.now();
      if (this.connections.length > this.connectionLimit()) {
        connection.link.close('above the limit');
      } else if (!this.options.isHolder()) this.closeWhenUnused(connection);
      return;
    }
    connection.use = 'busy';
    const rollback = this.options.codec.internalStatement({kind: 'rollback'});
    connection.link.run([rollback], (_, answer) => {
      if (!answer.ok || answer.state !== TransactionState.idle) {
        connection.link.close('rollback failed');
      } else {
        this.release(connection, TransactionState.idle);
        this.pump();
      }
    });
  }

  /** A VM that only stood in for the holder keeps nothing. */
  private closeWhenUnused(connection: Connection): void {
    setTimeout(() => {
      const unusedMs = performance.now() - connection.lastUsedMs;
      const isUnused = connection.use === 'idle' && unusedMs >= UNUSED_MS;
      if (isUnused && !this.options.isHolder()) connection.link.close('unused');
    }, UNUSED_MS);
  }

  private onClosed(connection: Connection): void {
    this.connections = this.connections.filter(c => c !== connection);
    if (connection.lane) this.unpin(connection.lane);
    connection.job = undefined;
    setImmediate(() => this.pump());
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
    if (job.over) return;
    job.over = true;
    clearTimeout(job.timer);
    this.jobs.delete(job.work.key);
    this.counts.ran++;
    job.done(reply);
    if (reply.lane !== undefined) {
      const lane = this.lanes.get(reply.lane);
      if (lane) this.armLane(lane);
    }
  }

  private refuse(job: Job, text: string, waitMs = 0): void {
    this.counts.refused++;
    const retryAfterMs = Math.max(50, Math.round(waitMs));
    this.finish(job, faultReply(Fault.busy, text, {retryAfterMs, waitMs}));
  }

  /** The time limit: what was not sent did not run, the rest is unknown. */
  private expire(job: Job): void {
    if (job.over) return;
    if (this.queue.remove(job) || job.sentMs === 0) {
      return this.refuse(job, 'not in time', this.serviceMs);
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
    this.suspect('no answer in time');
  }

  private measure(job: Job): void {
    const tookMs = performance.now() - job.sentMs;
    this.serviceMs += SMOOTHING * (tookMs - this.serviceMs);
  }

  private heardUnlessLost(answer: StepAnswer): void {
    if (answer.ok || answer.fault !== Fault.lost) this.heard();
  }

  private heard(): void {
    this.health.recordAnswer();
  }

  private suspect(text: string): void {
    if (!this.closed) this.health.suspect(text);
  }

  /** Work that waits for a database that does not answer goes elsewhere. */
  private failWaiting(): void {
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

  /** Whether this stand-in has yet to reach the database. */
  private get isTrial(): boolean {
    const {connections} = this;
    return !this.options.isHolder() && connections.every(c => c.isOpening);
  }

  /** For how long the oldest piece of work has waited for the database. */
  private longestWaitMs(nowMs: number): number {
    const waits = this.connections.map(({job, isOpening, lastUsedMs}) => {
      if (isOpening) return nowMs - lastUsedMs;
      return job && !job.over && job.sentMs > 0 ? nowMs - job.sentMs : 0;
    });
    return Math.max(0, ...waits);
  }

  private check(): void {
    const nowMs = performance.now();
    if (this.health.isUnreachable) return this.suspect('still silent');
    this.budget = growBudget(
      this.budget,
      this.options.connectionLimit(),
      nowMs,
    );
    const waitedMs = this.longestWaitMs(nowMs);
    const silentMs = Math.min(waitedMs, nowMs - this.lastSeenAtMs);
    if (silentMs > SILENCE_MS) this.suspect('silent');
    if (this.isTrial && silentMs > TRIAL_MS) {
      return this.health.markUnreachable('silent to a stand-in', nowMs);
    }
    if (this.queue.size > 0) this.pump();
    if (this.jobs.size > 0 || isReduced(this.budget)) return;
    clearInterval(this.checks);
    this.checks = undefined;
  }
}
