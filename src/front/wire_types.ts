/**
 * Typed messages between callers, fronts and databases, and the codecs that a
 * platform supplies. Texts are strings of single bytes (latin1), so that any
 * byte passes unchanged.
 */
import {ErrorKind} from '../core/errors.js';
import {Position} from '../core/position.js';
import {Fault, TransactionState, PreparedStatement} from '../core/work.js';

/** What a caller's statement asks for. */
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

/** One message of a caller. */
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

/** One message to a caller. */
export type CallerAnswer =
  | {readonly kind: 'row'; readonly data: string}
  | {readonly kind: 'done'; readonly signature: string}
  | {readonly kind: 'error'; readonly error: ErrorKind; readonly text: string}
  /** An error in a database's own words. */
  | {readonly kind: 'fault'; readonly fault: Fault; readonly text: string}
  | {
      readonly kind: 'ready';
      readonly state: TransactionState;
      readonly position?: Position;
    };

/** One message of a database. */
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

/** Statements that a front issues by itself. */
export type InternalStatement =
  | {readonly kind: 'begin'; readonly readOnly: boolean}
  | {readonly kind: 'rollback'}
  | {readonly kind: 'reset'}
  | {readonly kind: 'set'; readonly name: string; readonly value: string}
  | {readonly kind: 'prepare'; readonly prepared: PreparedStatement}
  | {readonly kind: 'status'}
  | {readonly kind: 'pause'; readonly term: number}
  | {readonly kind: 'resume'}
  /** Makes a primary of a lower term a replica. */
  | {readonly kind: 'step_down'; readonly term: number};

/** What a database reports about itself. */
export interface DatabaseReport {
  readonly isLeader: boolean;
  readonly term: number;
  readonly position: Position;
}

/** Splits bytes into messages; keeps what is incomplete. */
export interface Decoder<T> {
  push(chunk: Buffer): T[];
}

/** The callers' side of a platform's protocol. */
export interface CallerCodec {
  createDecoder(): Decoder<CallerMessage>;
  encode(answer: CallerAnswer): string;
}

/** The databases' side of a platform's protocol. */
export interface DatabaseCodec {
  createDecoder(): Decoder<DatabaseMessage>;
  start(service: string, customer: string, instance: string): string;
  /** A caller's statement, unchanged but for the position asked for. */
  callerStatement(id: string, text: string, after?: Position): string;
  internalStatement(statement: InternalStatement, after?: Position): string;
  bye(): string;
  /** Reads the row that answers `status` and `pause`. */
  parseReport(row: string): DatabaseReport | undefined;
}

/** Encoding of texts on sockets. */
export const WIRE_ENCODING = 'latin1';
