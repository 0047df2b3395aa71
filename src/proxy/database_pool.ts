/**
 * The connections to one database and the requests that wait for them. The
 * pool limit holds for the whole fleet, because one VM owns the pool.
 */
import {Subscription, interval} from 'rxjs';
import {
  Concurrency,
  initialConcurrency,
  observeLatency,
  serviceTimeMs,
} from '../core/concurrency.js';
import {failure, Failure} from '../core/errors.js';
import {
  ServiceCapacity,
  QueuedRequest,
  RequestQueue,
} from '../core/fair_queue.js';
import {
  recordConnectFailure,
  checkIdle,
  ConnectHistory,
  connectionsToOpen,
  IdleAction,
  isPoolUnresponsive,
  mustYieldConnection,
  NO_FAILURES,
} from '../core/pool_policy.js';
import {BackendConnection, BackendTarget} from '../pg/backend.js';

/** A request that waits for a connection. */
export interface Job {
  readonly customer: string;
  readonly weight: number;
  readonly deadlineAtMs: number;
  start(connection: BackendConnection): void;
  refuse(failure: Failure): void;
}

/** What a pool needs. */
export interface PoolOptions {
  readonly database: string;
  readonly target: BackendTarget;
  readonly slots: number;
  readonly connections: number;
  readonly createQueue: () => RequestQueue<Job>;
}

/** Connections that the pool leaves to control links and observers. */
const RESERVED_CONNECTIONS = 2;
const MAINTENANCE_MS = 100;
/** Connections kept while another VM owns the pool. */
const DISOWNED_LIMIT = 2;

/** Pool of one database. */
export class DatabasePool {
  private readonly queue: RequestQueue<Job>;
  private readonly idle: BackendConnection[] = [];
  private readonly all = new Set<BackendConnection>();
  /** Connections in use, with the customer that uses each. */
  private readonly holders = new Map<BackendConnection, string>();
  /** Connections whose probe is unanswered. */
  private readonly suspects = new Set<BackendConnection>();
  private connecting = 0;
  private executing = 0;
  private history: ConnectHistory = NO_FAILURES;
  private concurrency: Concurrency;
  private readonly upkeep: Subscription;
  private closed = false;
  private limit: number;

  private constructor(private readonly options: PoolOptions) {
    this.queue = options.createQueue();
    this.limit = this.ownedLimit;
    this.concurrency = initialConcurrency(this.bounds);
    this.upkeep = interval(MAINTENANCE_MS).subscribe(() => this.maintain());
  }

  static create(options: PoolOptions): DatabasePool {
    return new DatabasePool(options);
  }

  /** Requests waiting or running, for choosing the least loaded database. */
  get load(): number {
    return (this.queue.size + this.executing) / this.options.slots;
  }

  /** Whether it has no connection and could not open one lately. */
  get isUnreachable(): boolean {
    return this.all.size === 0 && this.history.failures > 0;
  }

  /** Adds a request; it starts, or is refused when it could not be in time. */
  submit(job: Job): void {
    const nowMs = Date.now();
    const entry: QueuedRequest<Job> = {...waitingFields(job), item: job};
    if (this.closed) {
      return job.refuse(failure('backend_unreachable', 'pool is closing'));
    }
    if (!this.queue.offer(entry, this.pace(), nowMs)) {
      return job.refuse(this.tooSlow());
    }
    this.pump();
  }

  /** Withdraws a waiting request. */
  withdraw(job: Job): boolean {
    return this.queue.remove(job);
  }

  /** Marks the start of a statement on a connection already held. */
  beginStatement(): void {
    this.executing++;
  }

  /** Marks the end of a statement that took `latencyMs`. */
  endStatement(latencyMs: number): void {
    const saturated =
      this.executing >= Math.floor(this.concurrency.limit) ||
      this.queue.size > 0;
    this.executing--;
    this.concurrency = observeLatency(
      this.concurrency,
      this.bounds,
      latencyMs,
      saturated,
    );
    this.pump();
  }

  /** Marks the end of a statement whose connection failed. */
  abandonStatement(): void {
    this.executing--;
    this.pump();
  }

  /** Takes a clean connection back. */
  release(connection: BackendConnection): void {
    this.holders.delete(connection);
    connection.attach(this.idleHandlers(connection));
    if (this.closed || this.all.size > this.limit) this.discard(connection);
    else if (!connection.closed) this.idle.push(connection);
    this.pump();
  }

  /** Closes a connection whose state is in doubt. */
  discard(connection: BackendConnection): void {
    this.holders.delete(connection);
    this.all.delete(connection);
    connection.attach(undefined);
    connection.destroy();
    this.pump();
  }

  /** Shrinks the pool while another VM owns it, so that both fit the limit. */
  setOwned(owned: boolean): void {
    this.limit = owned ? this.ownedLimit : DISOWNED_LIMIT;
    while (this.all.size > this.limit) {
      const spare = this.idle.pop();
      if (!spare) break;
      this.discard(spare);
    }
  }

  dump(): object {
    return {
      limit: this.limit,
      open: this.all.size,
      idle: this.idle.length,
      connecting: this.connecting,
      executing: this.executing,
      waiting: this.queue.size,
      concurrencyLimit: Math.floor(this.concurrency.limit),
      latencyMs: Number(this.concurrency.latencyMs.toFixed(3)),
      connectFailures: this.history.failures,
    };
  }

  /** Refuses what waits, closes idle connections; busy ones close when done. */
  close(): void {
    this.closed = true;
    this.upkeep.unsubscribe();
    for (const connection of this.idle.splice(0)) this.discard(connection);
    for (let next = this.queue.take(); next; next = this.queue.take()) {
      next.item.refuse(failure('backend_unreachable', 'pool is closing'));
    }
  }

  private get ownedLimit(): number {
    return Math.max(1, this.options.connections - RESERVED_CONNECTIONS);
  }

  private get bounds(): {slots: number; connections: number} {
    return {slots: this.options.slots, connections: this.limit};
  }

  private pace(): ServiceCapacity {
    return {
      concurrency: this.concurrency.limit,
      serviceTimeMs: serviceTimeMs(this.concurrency),
    };
  }

  private tooSlow(): Failure {
    return failure(
      'queue_deadline',
      `${this.options.database} cannot serve the request before its deadline`,
    );
  }

  private pump(): void {
    if (this.closed) return;
    while (
      this.queue.size > 0 &&
      this.idle.length > 0 &&
      this.executing < Math.floor(this.concurrency.limit)
    ) {
      if (!this.startNext()) break;
    }
    this.openMore();
  }

  /** Starts one request; false when none may start. */
  private startNext(): boolean {
    const connection = this.idle.pop();
    if (!connection || connection.closed) return true;
    if (connection.probedAtMs !== undefined) {
      // Its probe is unanswered: keep it out of use until it answers.
      this.suspects.add(connection);
      return true;
    }
    const next = this.queue.take(customer => this.isBlocked(customer));
    if (!next) {
      this.idle.push(connection);
      return false;
    }
    this.executing++;
    this.holders.set(connection, next.customer);
    next.item.start(connection);
    return true;
  }

  private isBlocked(customer: string): boolean {
    let held = 0;
    for (const holder of this.holders.values()) if (holder === customer) held++;
    return mustYieldConnection({
      limit: this.limit,
      used: this.holders.size,
      held,
    });
  }

  private openMore(): void {
    const busy = this.all.size - this.idle.length;
    const startable = Math.max(
      0,
      Math.floor(this.concurrency.limit) - this.executing,
    );
    const wanted = connectionsToOpen(
      {
        limit: this.limit,
        idle: this.idle.length,
        busy,
        connecting: this.connecting,
        waiting: Math.min(this.queue.size, startable),
      },
      this.history,
      Date.now(),
    );
    for (let i = 0; i < wanted; i++) void this.openOne();
  }

  private async openOne(): Promise<void> {
    this.connecting++;
    const opened = await BackendConnection.connect(this.options.target);
    this.connecting--;
    if (opened.isErr()) {
      this.history = recordConnectFailure(
        this.history,
        Date.now(),
        Math.random(),
      );
      return;
    }
    const connection = opened.value;
    this.history = NO_FAILURES;
    this.all.add(connection);
    this.release(connection);
  }

  private idleHandlers(connection: BackendConnection) {
    return {
      onFrame: () => this.readmit(connection),
      onChunkEnd: () => undefined,
      onClose: () => this.forget(connection),
    };
  }

  private readmit(connection: BackendConnection): void {
    if (!this.suspects.delete(connection)) return;
    this.idle.push(connection);
    this.pump();
  }

  private forget(connection: BackendConnection): void {
    this.all.delete(connection);
    this.suspects.delete(connection);
    const at = this.idle.indexOf(connection);
    if (at >= 0) this.idle.splice(at, 1);
    this.pump();
  }

  private maintain(): void {
    const nowMs = Date.now();
    for (const {item} of this.queue.expire(nowMs)) item.refuse(this.tooSlow());
    this.checkConnections(nowMs);
    this.pump();
  }

  private checkConnections(nowMs: number): void {
    let retired = 0;
    let probedAtMs = nowMs;
    for (const connection of [...this.idle, ...this.suspects]) {
      const action = checkIdle(connection, nowMs);
      if (action === IdleAction.probe) connection.probe(nowMs);
      if (action !== IdleAction.retire) continue;
      probedAtMs = Math.min(probedAtMs, connection.probedAtMs ?? nowMs);
      retired++;
      this.retire(connection);
    }
    const survivors = [...this.all].filter(
      c => c.openedAtMs < probedAtMs && c.heardAtMs >= probedAtMs,
    );
    if (isPoolUnresponsive(retired, survivors.length))
      this.closeSilent(probedAtMs);
  }

  /** Closes busy connections not heard since the unanswered probes. */
  private closeSilent(probedAtMs: number): void {
    for (const connection of this.all) {
      if (connection.heardAtMs < probedAtMs) connection.destroy();
    }
  }

  private retire(connection: BackendConnection): void {
    this.forget(connection);
    connection.attach(undefined);
    connection.destroy();
  }
}

const waitingFields = (job: Job): Omit<QueuedRequest<Job>, 'item'> => ({
  customer: job.customer,
  weight: job.weight,
  deadlineAtMs: job.deadlineAtMs,
});
