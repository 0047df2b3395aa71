/**
 * One statement on its way to a database, and what came back. Both travel
 * between VMs as JSON, so that they hold plain data only.
 */
import {Position} from './position.js';

/** What a statement does to the data. */
export const Access = {
  read: 'read',
  write: 'write',
  commit: 'commit',
  rollback: 'rollback',
} as const;
export type Access = (typeof Access)[keyof typeof Access];

/** How a statement meets the connection that runs it. */
export const ExecutionMode = {
  /** Alone, outside a transaction. */
  single: 'single',
  /** A read inside a transaction of its own, which only a leader opens. */
  fenced: 'fenced',
  /** Opens a transaction, then runs. */
  open: 'open',
  /** Opens a read-only transaction, then runs. */
  openRead: 'open_read',
  /** In the transaction that `lane` names. */
  lane: 'lane',
} as const;
export type ExecutionMode = (typeof ExecutionMode)[keyof typeof ExecutionMode];

/** A statement that a session prepared. */
export interface PreparedStatement {
  readonly name: string;
  readonly access: 'read' | 'write';
  readonly shape: string;
}

/** What a connection must hold before a session's statement runs on it. */
export interface RequiredSessionState {
  /** Names and values, in the order in which the session set them. */
  readonly values: ReadonlyArray<readonly [string, string]>;
  /** The prepared statement that the text executes, if any. */
  readonly prepared?: PreparedStatement;
}

/** One statement for one database. */
export interface Work {
  /** Names the work between VMs, for cancelling. */
  readonly key: string;
  readonly service: string;
  /** Instance id of the database. */
  readonly database: string;
  readonly customer: string;
  /** Id that the caller gave its statement; passed on unchanged. */
  readonly requestId: string;
  /** Text of the statement; passed on unchanged. */
  readonly text: string;
  readonly access: Access;
  readonly mode: ExecutionMode;
  readonly lane?: string;
  readonly session: RequiredSessionState;
  /** Position that the database's log must hold. */
  readonly after?: Position;
  /** 0 is the highest. */
  readonly priority: number;
  /** Time left for the statement when the work was sent. */
  readonly budgetMs: number;
}

/** Why a statement has no result. */
export const Fault = {
  /** Refused before running: no room, or not in time. */
  busy: 'busy',
  /** The log lacks the position that was asked for. */
  lagging: 'lagging',
  /** The database does not lead. */
  readOnly: 'read_only',
  /** No connection to the database, or to the VM that holds it. */
  unreachable: 'unreachable',
  /** The address belongs to another database. */
  misrouted: 'misrouted',
  /** The database holds as many connections as it allows. */
  tooMany: 'too_many',
  /** The database ran the statement and failed it. */
  failed: 'failed',
  /** The database ran the statement and gave up on it. */
  timeout: 'timeout',
  /** The transaction is gone; nothing of it is kept. */
  aborted: 'aborted',
  /** Sent, and no whole answer came. */
  lost: 'lost',
  /** The statement cannot be understood. */
  malformed: 'malformed',
} as const;
export type Fault = (typeof Fault)[keyof typeof Fault];

/** Faults after which the statement provably did not run. */
const NOT_RUN: ReadonlySet<Fault> = new Set([
  Fault.busy,
  Fault.lagging,
  Fault.readOnly,
  Fault.unreachable,
  Fault.misrouted,
  Fault.tooMany,
]);

/** Whether a fault proves that the statement did not run. */
export const provesNotRun = (fault: Fault): boolean => NOT_RUN.has(fault);

/** State of a database connection after an answer. */
export const TransactionState = {
  idle: 'idle',
  open: 'open',
  failed: 'failed',
} as const;
export type TransactionState =
  (typeof TransactionState)[keyof typeof TransactionState];

/** What came back for a piece of work. */
export type Reply = {
  readonly position?: Position;
  readonly state: TransactionState;
  /** Transaction that stays open after the answer. */
  readonly lane?: string;
  /** Expected wait at this database, for choosing among databases. */
  readonly waitMs?: number;
} & (
  | {
      readonly ok: true;
      readonly rows: readonly string[];
      readonly signature: string;
    }
  | {
      readonly ok: false;
      readonly fault: Fault;
      readonly text: string;
      /** When another try may succeed. */
      readonly retryAfterMs?: number;
    }
);

/** A reply without a result. */
export const faultReply = (
  fault: Fault,
  text: string,
  extra: {
    state?: TransactionState;
    retryAfterMs?: number;
    waitMs?: number;
  } = {},
): Reply => ({ok: false, fault, text, state: TransactionState.idle, ...extra});
