/**
 * A statement to run on a database and its result. Both are sent between VMs as
 * JSON, so they hold plain data only.
 */
import {Homes} from './homes.js';
import {LoadReport} from './load/database_reports.js';
import {Position} from './position.js';

/** The effect of a statement on the data. */
export const Access = {
  read: 'read',
  write: 'write',
  commit: 'commit',
  rollback: 'rollback',
} as const;
export type Access = (typeof Access)[keyof typeof Access];

/**
 * How a statement relates to a transaction on its connection. A lane is the
 * exclusive use of a connection by an open transaction.
 */
export const ExecutionMode = {
  /** Runs outside a transaction. */
  single: 'single',
  /** Runs a read in its own transaction, which only a primary can open. */
  fenced: 'fenced',
  /** Opens a transaction and runs in it. */
  open: 'open',
  /** Opens a read-only transaction and runs in it. */
  openRead: 'open_read',
  /** Runs in the open transaction that `Work.lane` names. */
  lane: 'lane',
} as const;
export type ExecutionMode = (typeof ExecutionMode)[keyof typeof ExecutionMode];

/** A session's prepared statement, identified by its name. */
export interface PreparedStatement {
  readonly name: string;
  readonly access: 'read' | 'write';
  readonly shape: string;
}

/** Session state that a connection needs before a statement runs on it. */
export interface RequiredSessionState {
  /** Names and values of settings, in the order in which they were set. */
  readonly values: ReadonlyArray<readonly [string, string]>;
  /** The prepared statement that the statement executes, if any. */
  readonly prepared?: PreparedStatement;
}

/** A statement to run on one database. */
export interface Work {
  /** Identifies the work in the fleet and in time, so that it can be canceled. */
  readonly key: string;
  readonly service: string;
  /** Instance id of the database. */
  readonly database: string;
  readonly customer: string;
  /** The caller's id of the statement, forwarded unchanged. */
  readonly requestId: string;
  /** Text of the statement, forwarded unchanged. */
  readonly text: string;
  readonly access: Access;
  readonly mode: ExecutionMode;
  readonly lane?: string;
  /** Id of the caller's transaction that the statement belongs to, if any. */
  readonly transaction?: string;
  readonly session: RequiredSessionState;
  /** Minimum log position of the database. */
  readonly after?: Position;
  /** Priority in the database's queue; 0 is the highest. */
  readonly priority: number;
  /** Time left for the statement at the moment of sending. */
  readonly budgetMs: number;
  /**
   * Time left until the statement misses the objective of its route, at the
   * moment of sending; negative if it is missed, absent without an objective.
   */
  readonly remainingObjectiveMs?: number;
  /**
   * Regions in which the database must be, and each front that the work is sent
   * to. An older front ignores it.
   */
  readonly homes?: Homes;
}

/** Returns work as it is to be sent after some more time has passed. */
export const withElapsed = (work: Work, elapsedMs: number): Work => ({
  ...work,
  budgetMs: Math.floor(work.budgetMs - elapsedMs),
  remainingObjectiveMs:
    work.remainingObjectiveMs === undefined
      ? undefined
      : Math.floor(work.remainingObjectiveMs - elapsedMs),
});

/** Why a statement failed. */
export const Fault = {
  /** Rejected before running: no capacity, or no time left. */
  busy: 'busy',
  /** The log has not reached the requested position. */
  lagging: 'lagging',
  /** The database is not the primary. */
  readOnly: 'read_only',
  /** No connection to the database, or to the VM that holds its connections. */
  unreachable: 'unreachable',
  /** The address belongs to another database. */
  misrouted: 'misrouted',
  /** The database accepts no more connections. */
  tooMany: 'too_many',
  /** The database ran the statement and reported an error. */
  failed: 'failed',
  /** The database ran the statement and stopped it at its time limit. */
  timeout: 'timeout',
  /** The transaction was rolled back. */
  aborted: 'aborted',
  /** The statement was sent, but no complete answer arrived. */
  lost: 'lost',
  /** The statement cannot be parsed. */
  malformed: 'malformed',
} as const;
export type Fault = (typeof Fault)[keyof typeof Fault];

/** Faults that guarantee that the statement did not run. */
const NOT_RUN: ReadonlySet<Fault> = new Set([
  Fault.busy,
  Fault.lagging,
  Fault.readOnly,
  Fault.unreachable,
  Fault.misrouted,
  Fault.tooMany,
]);

/** Whether a fault guarantees that the statement did not run. */
export const provesNotRun = (fault: Fault): boolean => NOT_RUN.has(fault);

/** Transaction state of a database connection after an answer. */
export const TransactionState = {
  idle: 'idle',
  open: 'open',
  failed: 'failed',
} as const;
export type TransactionState =
  (typeof TransactionState)[keyof typeof TransactionState];

/** The result of a statement. */
export type Reply = {
  readonly position?: Position;
  readonly state: TransactionState;
  /** The transaction that stays open, if any. */
  readonly lane?: string;
  /** Expected queueing time at this database; used to choose a database. */
  readonly waitMs?: number;
  /** State of the database; only its holder reports it. */
  readonly report?: LoadReport;
} & (
  | {
      readonly ok: true;
      readonly rows: readonly string[];
      /** As the database sent it to end the result; empty after a rollback. */
      readonly signature: string;
    }
  | {
      readonly ok: false;
      readonly fault: Fault;
      readonly text: string;
      /** Time after which a retry may succeed. */
      readonly retryAfterMs?: number;
      /** Whether it was refused because the database is cold. */
      readonly isCold?: boolean;
      /** Whether it was not sent because the primary is being changed. */
      readonly isPrimaryChanging?: boolean;
    }
);

export const faultReply = (
  fault: Fault,
  text: string,
  extra: {
    state?: TransactionState;
    retryAfterMs?: number;
    waitMs?: number;
    isCold?: boolean;
    isPrimaryChanging?: boolean;
  } = {},
): Reply => ({ok: false, fault, text, state: TransactionState.idle, ...extra});
