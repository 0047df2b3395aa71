/**
 * Typed messages between callers, fronts and databases, and the codecs that a
 * platform implements. Texts hold one byte per character (latin1), so that any
 * byte passes through unchanged.
 */
import {Result} from 'neverthrow';
import {ErrorKind} from '../core/errors.js';
import {Position} from '../core/position.js';
import {Fault, PreparedStatement, TransactionState} from '../core/work.js';

/** Kind of a caller's statement. */
export type Statement =
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  | {readonly kind: 'commit'}
  | {readonly kind: 'rollback'}
  | {readonly kind: 'read'}
  | {readonly kind: 'write'}
  | {readonly kind: 'execute'; readonly name: string}
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {readonly kind: 'prepare'; readonly prepared: PreparedStatement}
  | {readonly kind: 'deallocate'; readonly name: string}
  | {readonly kind: 'malformed'};

/** Message from a caller. */
export type CallerMessage =
  | {readonly kind: 'start'; readonly database: string; readonly key: string}
  | {
      readonly kind: 'query';
      readonly id: string;
      readonly text: string;
      readonly statement: Statement;
    }
  | {readonly kind: 'bye'}
  | {readonly kind: 'too_large'}
  | {readonly kind: 'malformed'};

/** Message to a caller. */
export type CallerAnswer =
  | {readonly kind: 'row'; readonly data: string}
  | {readonly kind: 'done'; readonly signature: string}
  | {readonly kind: 'error'; readonly error: ErrorKind; readonly text: string}
  /** An error of a database, passed on with the text that it gave. */
  | {readonly kind: 'fault'; readonly fault: Fault; readonly text: string}
  | {
      readonly kind: 'ready';
      readonly state: TransactionState;
      readonly position?: Position;
    };

/** Message from a database. */
export type DatabaseMessage =
  | {readonly kind: 'row'; readonly data: string}
  | {readonly kind: 'done'; readonly signature: string}
  | {readonly kind: 'error'; readonly fault: Fault; readonly text: string}
  | {
      readonly kind: 'ready';
      readonly state: TransactionState;
      readonly position?: Position;
    }
  | {readonly kind: 'malformed'};

/** Statement that gives a connection a part of a session's state. */
export type SetupStatement =
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {readonly kind: 'prepare'; readonly prepared: PreparedStatement};

/** Statement that a front issues itself, unlike one of a caller. */
export type InternalStatement =
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  | {readonly kind: 'rollback'}
  | {readonly kind: 'reset'}
  | {readonly kind: 'status'}
  | {readonly kind: 'pause'; readonly term: number}
  | {readonly kind: 'resume'}
  /** Orders a primary of a lower term to become a replica. */
  | {readonly kind: 'step_down'; readonly term: number};

/** Answer of a database to `status` and `pause`. */
export interface DatabaseReport {
  readonly isLeader: boolean;
  /** Highest term that it knows, that of a pause included. */
  readonly term: number;
  /** Term of the primary that it is or receives from. */
  readonly primaryTerm: number;
  /** Term at which it has stopped receiving the log; 0 while it receives. */
  readonly pausedAtTerm: number;
  readonly position: Position;
}

/** Splits a byte stream into messages; buffers an incomplete one. */
export interface Decoder<T> {
  push(chunk: Buffer): T[];
}

/** Caller side of a platform's protocol. */
export interface CallerCodec {
  createDecoder(): Decoder<CallerMessage>;
  /**
   * Encodes an answer; the error tells what the protocol cannot carry. An error
   * for the caller can always be encoded.
   */
  encode(answer: CallerAnswer): Result<string, string>;
}

/**
 * Database side of a platform's protocol. The error of an encoding tells what
 * the protocol cannot carry; nothing may be sent then.
 */
export interface DatabaseCodec {
  createDecoder(): Decoder<DatabaseMessage>;
  /** Encodes the handshake; `instance` is the id of the intended database. */
  start(
    service: string,
    customer: string,
    instance: string,
  ): Result<string, string>;
  /**
   * Encodes a caller's statement with its text unchanged. With `after`, the
   * database runs the statement only if its log has reached that position.
   */
  callerStatement(
    id: string,
    text: string,
    after?: Position,
  ): Result<string, string>;
  setupStatement(statement: SetupStatement): Result<string, string>;
  internalStatement(statement: InternalStatement, after?: Position): string;
  /** Parses the row that answers `status` or `pause`. */
  parseReport(row: string): DatabaseReport | undefined;
}

/** Encoding of messages on sockets. */
export const WIRE_ENCODING = 'latin1';
