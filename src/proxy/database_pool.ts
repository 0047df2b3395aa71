/**
 * The connection pool of one database and the queue of requests that wait for
 * a connection. Only one VM owns the pool, so its limit holds for all VMs
 * together.
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

/** What waits for a connection of the pool, such as a lane. */
export interface PoolRequest {
  readonly customer: string;
  readonly weight: number;
  readonly deadlineAtMs: number;
  /** Receives a connection, on which a statement counts as executing. */
  start(connection: BackendConnection): void;
  reject(failure: Failure): void;
}

export interface PoolOptions {
  readonly database: string;
  readonly target: BackendTarget;
  /** Number of statements that the database executes in parallel. */
  readonly slots: number;
  /** Connections that the database accepts from all VMs together. */
  readonly connections: number;
  readonly createQueue: () => RequestQueue<PoolRequest>;
}

/** Connections of the database left to control links and observers. */
const RESERVED_CONNECTIONS = 2;
const MAINTENANCE_INTERVAL_MS = 100;
/** Connection limit of this VM while another VM owns the pool. */
const NON_OWNER_LIMIT = 2;

/**
 * The connections of this VM to one database, and the requests that wait for
 * one of them.
 */
export class DatabasePool {
  private readonly queue: RequestQueue<PoolRequest>;
  private readonly idle: BackendConnection[] = [];
  private readonly open = new Set<BackendConnection>();
  /** Connections in use, with the customer that uses each of them. */
  private readonly customers = new Map<BackendConnection, string>();
  /** Connections withheld from use until they answer a probe. */
  private readonly unanswered = new Set<BackendConnection>();
  private connecting = 0;
  private executing = 0;
  private connectHistory: ConnectHistory = NO_FAILURES;
  private concurrency: Concurrency;
  private readonly maintenance: Subscription;
  private isClosed = false;
  private limit: number;

  private constructor(private readonly options: PoolOptions) {
    this.queue = options.createQueue();
    this.limit = this.ownedLimit;
    this.concurrency = initialConcurrency(this.bounds);
    this.maintenance = interval(MAINTENANCE_INTERVAL_MS).subscribe(() =>
      this.maintain(),
    );
  }

  static create(options: PoolOptions): DatabasePool {
    return new DatabasePool(options);
  }

  /** Waiting and running requests per slot, to compare databases by load. */
  get load(): number {
    return (this.queue.size + this.executing) / this.options.slots;
  }

  /** Whether the pool has no connection and its last attempt to open failed. */
  get isUnreachable(): boolean {
    return this.open.size === 0 && this.connectHistory.failures > 0;
  }

  /**
   * Starts or queues a request. Rejects it at once when it can't start before
   * its deadline.
   */
  submit(request: PoolRequest): void {
    const nowMs = Date.now();
    const entry: QueuedRequest<PoolRequest> = {
      ...queueFields(request),
      item: request,
    };
    if (this.isClosed) {
      return request.reject(failure('backend_unreachable', 'pool is closing'));
    }
    if (!this.queue.offer(entry, this.serviceCapacity(), nowMs)) {
      return request.reject(this.tooLate());
    }
    this.dispatchWaiting();
  }

  /** Removes a waiting request; false when it was not waiting. */
  withdraw(request: PoolRequest): boolean {
    return this.queue.remove(request);
  }

  /** Counts the start of a statement on a connection already held. */
  beginStatement(): void {
    this.executing++;
  }

  /** Counts the end of a statement and adapts the concurrency limit. */
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
    this.dispatchWaiting();
  }

  /**
   * Counts the end of a statement that did not complete; its latency doesn't
   * adapt the concurrency limit.
   */
  abandonStatement(): void {
    this.executing--;
    this.dispatchWaiting();
  }

  /**
   * Returns a connection without an open transaction to the pool. It is used
   * again once no cancel request for its last statement is on its way.
   */
  release(connection: BackendConnection): void {
    this.customers.delete(connection);
    connection.setHandlers(this.idleHandlers(connection));
    connection.onCancelsEnded(() => this.addIdle(connection));
  }

  /** Closes a connection whose state is unknown. */
  discard(connection: BackendConnection): void {
    this.customers.delete(connection);
    this.open.delete(connection);
    connection.setHandlers(undefined);
    connection.destroy();
    this.dispatchWaiting();
  }

  /**
   * Shrinks the pool while another VM owns it, so that the connections of both
   * VMs stay within the limit.
   */
  setOwned(owned: boolean): void {
    this.limit = owned ? this.ownedLimit : NON_OWNER_LIMIT;
    while (this.open.size > this.limit) {
      const spare = this.idle.pop();
      if (!spare) break;
      this.discard(spare);
    }
  }

  dump(): object {
    return {
      limit: this.limit,
      open: this.open.size,
      idle: this.idle.length,
      connecting: this.connecting,
      executing: this.executing,
      waiting: this.queue.size,
      concurrencyLimit: Math.floor(this.concurrency.limit),
      latencyMs: Number(this.concurrency.latencyMs.toFixed(3)),
      connectFailures: this.connectHistory.failures,
    };
  }

  /**
   * Rejects waiting requests and closes idle connections. Connections in use
   * close when they are released.
   */
  close(): void {
    this.isClosed = true;
    this.maintenance.unsubscribe();
    for (const connection of this.idle.splice(0)) this.discard(connection);
    for (let next = this.queue.take(); next; next = this.queue.take()) {
      next.item.reject(failure('backend_unreachable', 'pool is closing'));
    }
  }

  private get ownedLimit(): number {
    return Math.max(1, this.options.connections - RESERVED_CONNECTIONS);
  }

  private get bounds(): {slots: number; connections: number} {
    return {slots: this.options.slots, connections: this.limit};
  }

  private serviceCapacity(): ServiceCapacity {
    return {
      concurrency: this.concurrency.limit,
      serviceTimeMs: serviceTimeMs(this.concurrency),
    };
  }

  private tooLate(): Failure {
    return failure(
      'queue_deadline',
      `${this.options.database} cannot serve the request before its deadline`,
    );
  }

  private dispatchWaiting(): void {
    if (this.isClosed) return;
    while (
      this.queue.size > 0 &&
      this.idle.length > 0 &&
      this.executing < Math.floor(this.concurrency.limit)
    ) {
      if (!this.startNext()) break;
    }
    this.openConnections();
  }

  /**
   * Starts the next request on an idle connection. Returns false when every
   * waiting customer is blocked.
   */
  private startNext(): boolean {
    const connection = this.idle.pop();
    if (!connection || connection.isClosed) return true;
    if (connection.probedAtMs !== undefined) {
      // Keep the connection out of use until it answers its probe.
      this.unanswered.add(connection);
      return true;
    }
    const next = this.queue.take(customer => this.isBlocked(customer));
    if (!next) {
      this.idle.push(connection);
      return false;
    }
    this.executing++;
    this.customers.set(connection, next.customer);
    next.item.start(connection);
    return true;
  }

  /**
   * Whether a customer holds so many connections that the free ones must go to
   * other customers.
   */
  private isBlocked(customer: string): boolean {
    let held = 0;
    for (const user of this.customers.values()) if (user === customer) held++;
    return mustYieldConnection({
      limit: this.limit,
      used: this.customers.size,
      held,
    });
  }

  private openConnections(): void {
    const busy = this.open.size - this.idle.length;
    const startable = Math.max(
      0,
      Math.floor(this.concurrency.limit) - this.executing,
    );
    const count = connectionsToOpen(
      {
        limit: this.limit,
        idle: this.idle.length,
        busy,
        connecting: this.connecting,
        waiting: Math.min(this.queue.size, startable),
      },
      this.connectHistory,
      Date.now(),
    );
    for (let i = 0; i < count; i++) void this.openConnection();
  }

  private async openConnection(): Promise<void> {
    this.connecting++;
    const opened = await BackendConnection.connect(this.options.target);
    this.connecting--;
    if (opened.isErr()) {
      this.connectHistory = recordConnectFailure(
        this.connectHistory,
        Date.now(),
        Math.random(),
      );
      return;
    }
    const connection = opened.value;
    this.connectHistory = NO_FAILURES;
    this.open.add(connection);
    this.release(connection);
  }

  private addIdle(connection: BackendConnection): void {
    if (this.isClosed || this.open.size > this.limit) this.discard(connection);
    else if (!connection.isClosed) this.idle.push(connection);
    this.dispatchWaiting();
  }

  private idleHandlers(connection: BackendConnection) {
    return {
      onFrame: () => this.readmit(connection),
      onChunkEnd: () => undefined,
      onClose: () => this.remove(connection),
    };
  }

  private readmit(connection: BackendConnection): void {
    if (!this.unanswered.delete(connection)) return;
    this.idle.push(connection);
    this.dispatchWaiting();
  }

  private remove(connection: BackendConnection): void {
    this.open.delete(connection);
    this.unanswered.delete(connection);
    const at = this.idle.indexOf(connection);
    if (at >= 0) this.idle.splice(at, 1);
    this.dispatchWaiting();
  }

  private maintain(): void {
    const nowMs = Date.now();
    for (const {item} of this.queue.expire(nowMs)) item.reject(this.tooLate());
    this.checkConnections(nowMs);
    this.dispatchWaiting();
  }

  private checkConnections(nowMs: number): void {
    let retired = 0;
    let probedAtMs = nowMs;
    for (const connection of [...this.idle, ...this.unanswered]) {
      const action = checkIdle(connection, nowMs);
      if (action === IdleAction.probe) connection.probe(nowMs);
      if (action !== IdleAction.retire) continue;
      probedAtMs = Math.min(probedAtMs, connection.probedAtMs ?? nowMs);
      retired++;
      this.retire(connection);
    }
    const live = [...this.open].filter(
      c => c.openedAtMs < probedAtMs && c.lastSeenAtMs >= probedAtMs,
    );
    if (isPoolUnresponsive(retired, live.length)) this.closeStale(probedAtMs);
  }

  /**
   * Closes the connections, busy ones included, that have sent nothing since
   * the unanswered probes were sent.
   */
  private closeStale(probedAtMs: number): void {
    for (const connection of this.open) {
      if (connection.lastSeenAtMs < probedAtMs) connection.destroy();
    }
  }

  private retire(connection: BackendConnection): void {
    this.remove(connection);
    connection.setHandlers(undefined);
    connection.destroy();
  }
}

const queueFields = (
  request: PoolRequest,
): Omit<QueuedRequest<PoolRequest>, 'item'> => ({
  customer: request.customer,
  weight: request.weight,
  deadlineAtMs: request.deadlineAtMs,
});
