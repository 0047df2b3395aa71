/**
 * The connections of one worker to its database. Each is bound to one customer;
 * it is idle, runs a statement, or is reserved for a transaction.
 */
import {
  FULL_BUDGET,
  growBudget,
  isReduced,
  reduceBudget,
} from '../core/connection_budget.js';
import {chooseConnection, ConnectionChoice} from '../core/connection_choice.js';
import {IdSource} from '../core/process_ids.js';
import {WarmUpPermit} from '../core/warm_up.js';
import {Fault, TransactionState} from '../core/work.js';
import {DatabaseLink, LinkTarget} from './database_link.js';
import {Job} from './statement_job.js';
import {Lane} from './transaction_lanes.js';
import {DatabaseCodec} from './wire_types.js';

export interface Connection {
  /** Id of the connection in logs. */
  readonly id: string;
  readonly customer: string;
  /** Start of the database process by the entry known when it was opened. */
  readonly startedAtUnixMs?: number;
  /** Region in which the database was listed when the connection was opened. */
  readonly region: string;
  use: 'idle' | 'busy' | 'pinned';
  isOpening: boolean;
  /** While the connection is opening, when the opening began. */
  lastUsedMs: number;
  link: DatabaseLink;
  lane?: Lane;
  job?: Job;
}

export interface ConnectionPoolOptions {
  readonly codec: DatabaseCodec;
  readonly newId: IdSource;
  readonly target: (customer: string) => LinkTarget;
  /** Start of the database process by its newest entry. */
  readonly startedAtUnixMs: () => number | undefined;
  /** Region in which the database is listed. */
  readonly region: () => string;
  /** Maximum number of connections that this VM may hold to the database. */
  readonly usualLimit: () => number;
  /** Whether this VM is the database's holder; another closes idle ones. */
  readonly isHolder: () => boolean;
  /**
   * Counts a ROLLBACK that is sent now towards the limit of a cold database;
   * undefined if it must not be sent.
   */
  readonly startRollback: () => WarmUpPermit | undefined;
  /** Called when a connection is idle again after a rollback. */
  readonly onIdle: () => void;
  /** Called after a connection has closed and left the pool. */
  readonly onClosed: (connection: Connection) => void;
}

/** Idle time after which a front that is not the holder closes a connection. */
const NON_HOLDER_IDLE_MS = 1_500;

export class ConnectionPool {
  private connections: readonly Connection[] = [];
  private budget = FULL_BUDGET;

  private constructor(private readonly options: ConnectionPoolOptions) {}

  static create(options: ConnectionPoolOptions): ConnectionPool {
    return new ConnectionPool(options);
  }

  get all(): readonly Connection[] {
    return this.connections;
  }

  get size(): number {
    return this.connections.length;
  }

  /** An idle connection of any customer, if there is one. */
  get idle(): Connection | undefined {
    return this.connections.find(c => c.use === 'idle');
  }

  /** Whether no connection has been opened yet. */
  get isOpeningFirst(): boolean {
    return this.connections.every(c => c.isOpening);
  }

  /** Whether the database takes fewer connections than usual. */
  get isReduced(): boolean {
    return isReduced(this.budget);
  }

  /** Number of connections that may be open at present. */
  get limit(): number {
    return Math.min(this.options.usualLimit(), this.budget.limit);
  }

  /** Chooses the connection for a customer's next statement. */
  choose(customer: string): ConnectionChoice<Connection> {
    return chooseConnection(this.connections, customer, this.limit);
  }

  /** Whether a statement of a customer could be sent now. */
  canStartFor(customer: string): boolean {
    const choice = this.choose(customer);
    if (choice.kind !== 'open') return choice.kind === 'use';
    // Opens one connection at a time: while the database has few places left,
    // several attempts would compete for the last one.
    if (this.isReduced && this.connections.some(c => c.isOpening)) return false;
    return performance.now() >= this.budget.nextOpenAtMs;
  }

  /** Returns how a customer's next statement would get a connection. */
  needOf(customer: string): {kind: 'use' | 'open' | 'wait'; held: number} {
    const held = this.connections.filter(c => c.customer === customer).length;
    return {kind: this.choose(customer).kind, held};
  }

  /** Opens a connection for the customer of a job. */
  open(
    job: Job,
    onOpened: (
      connection: Connection,
      fault: Fault | undefined,
      text: string,
    ) => void,
  ): void {
    const {customer} = job.work;
    const connection: Connection = {
      id: this.options.newId(),
      customer,
      startedAtUnixMs: this.options.startedAtUnixMs(),
      region: this.options.region(),
      use: 'busy',
      isOpening: true,
      lastUsedMs: performance.now(),
      link: DatabaseLink.open(
        this.options.target(customer),
        this.options.codec,
        (fault, text) => {
          connection.isOpening = false;
          onOpened(connection, fault, text);
        },
        () => this.onClosed(connection),
      ),
      job,
    };
    this.connections = [...this.connections, connection];
  }

  /**
   * Returns a connection to the pool after rolling back an open transaction.
   */
  release(connection: Connection, state: TransactionState): void {
    connection.job = undefined;
    if (connection.link.isClosed) return;
    if (state === TransactionState.idle) {
      connection.use = 'idle';
      connection.lastUsedMs = performance.now();
      if (this.size > this.limit) {
        connection.link.close('above the connection limit');
      } else if (!this.options.isHolder()) this.closeAfterIdle(connection);
      return;
    }
    const permit = this.options.startRollback();
    if (!permit) return connection.link.close('no room for a rollback');
    connection.use = 'busy';
    const rollback = this.options.codec.internalStatement({kind: 'rollback'});
    connection.link.run([rollback], (_, answer) => {
      permit.end(performance.now());
      if (!answer.ok || answer.state !== TransactionState.idle) {
        connection.link.close('rollback failed');
      } else {
        this.release(connection, TransactionState.idle);
        this.options.onIdle();
      }
    });
  }

  /** Closes idle connections above `keep`, as when the holder changes. */
  releaseIdle(keep: number): void {
    const idle = this.connections.filter(c => c.use === 'idle');
    const surplus = this.size - keep;
    idle.slice(0, Math.max(0, surplus)).forEach(c => c.link.close());
  }

  /**
   * Limits this VM to the connections that it has open, since others hold the
   * database's remaining places.
   */
  shrink(): void {
    const usable = this.connections.filter(c => !c.isOpening).length;
    this.budget = reduceBudget(usable, performance.now());
  }

  /** Raises a reduced limit by one, if due. */
  grow(nowMs: number): void {
    this.budget = growBudget(this.budget, this.options.usualLimit(), nowMs);
  }

  /** Returns how long the oldest unanswered connect or statement has waited. */
  longestWaitMs(nowMs: number): number {
    const waits = this.connections.map(({job, isOpening, lastUsedMs}) => {
      if (isOpening) return nowMs - lastUsedMs;
      return job && !job.isFinished && job.sentAtMs > 0
        ? nowMs - job.sentAtMs
        : 0;
    });
    return Math.max(0, ...waits);
  }

  closeAll(): void {
    for (const connection of this.connections) connection.link.close();
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
    this.options.onClosed(connection);
  }
}
