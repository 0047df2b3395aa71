/**
 * The open transactions of one worker. Each has a connection to itself until it
 * ends, or until it has been idle for too long.
 */
import {LaneLookup, LaneRefusal, Lanes, OpenLane} from '../core/lanes.js';
import {IdSource} from '../core/process_ids.js';
import {Access, TransactionState} from '../core/work.js';
import {Connection, ConnectionPool} from './connection_pool.js';
import {JsonLog, originFields} from './json_log.js';
import {Job} from './statement_job.js';

/** An open transaction and the connection that it uses exclusively. */
export interface Lane extends OpenLane {
  readonly connection: Connection;
  readonly openedAtMs: number;
  /** Whether only the primary may run the transaction. */
  readonly isPrimaryOnly: boolean;
  /** Whether a write was sent, so that its commit counts as one. */
  hasWritten: boolean;
  timer?: NodeJS.Timeout;
}

export interface TransactionLanesOptions {
  readonly database: string;
  readonly connections: ConnectionPool;
  readonly newId: IdSource;
  /**
   * How long a transaction may go without a statement before it is rolled back.
   */
  readonly idleMs: () => number;
  readonly log: JsonLog;
}

export class TransactionLanes {
  private readonly lanes = Lanes.create<Lane>();

  private constructor(private readonly options: TransactionLanesOptions) {}

  static create(options: TransactionLanesOptions): TransactionLanes {
    return new TransactionLanes(options);
  }

  get size(): number {
    return this.lanes.size;
  }

  get(id: string): Lane | undefined {
    return this.lanes.get(id);
  }

  /**
   * Returns the lane in which a job's statement may run; logs a refusal. Rolls
   * back a transaction that its caller would go on with as another customer.
   */
  find(job: Job): LaneLookup<Lane> {
    const {work, origin} = job;
    const found = this.lanes.find(work.lane, work.transaction, origin);
    if (!found.lane) {
      this.logRefusal(job, found.refusal);
      return found;
    }
    if (found.lane.connection.customer === work.customer) return found;
    const refusal = LaneRefusal.otherCustomer;
    this.logRefusal(job, refusal);
    this.release(found.lane, 'its caller has become another customer');
    return {lane: undefined, refusal};
  }

  /** Reserves a connection for the transaction that a job opens. */
  pin(connection: Connection, job: Job, isPrimaryOnly: boolean): Lane {
    const {work, origin} = job;
    const {transaction} = work;
    const lane: Lane = {
      id: this.options.newId(),
      connection,
      origin,
      transaction,
      openedAtMs: performance.now(),
      isPrimaryOnly,
      hasWritten: work.access === Access.write,
    };
    connection.use = 'pinned';
    connection.lane = lane;
    this.lanes.add(lane);
    this.options.log('lane_opened', {
      request: work.requestId,
      transaction,
      lane: lane.id,
      database: this.options.database,
      customer: work.customer,
      connection: connection.id,
      port: connection.link.localPort,
      ...originFields(origin),
    });
    return lane;
  }

  /** Ends a lane; its connection stays reserved until it is released. */
  unpin(lane: Lane, reason: string): void {
    clearTimeout(lane.timer);
    this.lanes.delete(lane);
    lane.connection.lane = undefined;
    this.options.log('lane_ended', {
      transaction: lane.transaction,
      lane: lane.id,
      database: this.options.database,
      connection: lane.connection.id,
      reason,
      tookMs: Math.round(performance.now() - lane.openedAtMs),
    });
  }

  /** Ends a lane and rolls back its transaction. */
  release(lane: Lane, reason: string): void {
    this.unpin(lane, reason);
    const {connection} = lane;
    if (connection.link.unansweredSteps > 0)
      connection.link.close('transaction ended');
    else this.options.connections.release(connection, TransactionState.open);
  }

  /** Rolls back the transactions that came over a connection of a front. */
  releaseOf(connection: string): void {
    for (const lane of this.lanes.of(connection)) {
      this.release(lane, 'front disconnected');
    }
  }

  /** Starts the idle limit of a lane that has just answered. */
  startTimer(lane: Lane): void {
    clearTimeout(lane.timer);
    lane.timer = setTimeout(
      () => this.release(lane, 'idle for too long'),
      this.options.idleMs(),
    );
  }

  /** Stops all idle limits. */
  close(): void {
    for (const lane of this.lanes.all) clearTimeout(lane.timer);
  }

  /** Logs a statement that may not run in the lane that it names. */
  private logRefusal({work, origin}: Job, reason: LaneRefusal): void {
    this.options.log('lane_refused', {
      request: work.requestId,
      transaction: work.transaction,
      lane: work.lane,
      reason,
      database: this.options.database,
      ...originFields(origin),
    });
  }
}
