/**
 * A lane is a caller's exclusive use of one backend connection, from its first
 * batch until the connection is free again. The interface is the same for
 * connections of this VM and of another VM.
 */
import {failure, Failure} from './errors.js';
import {Position} from './position.js';

/** Requirements of the request that a lane is opened for. */
export interface LaneRequest {
  readonly requestId: string;
  readonly service: string;
  readonly customer: string;
  readonly weight: number;
  readonly access: 'read' | 'write';
  /** Log position that the request must see. */
  readonly floor?: Position;
  readonly maxStalenessMs?: number;
  /** Time left for the request. */
  readonly budgetMs: number;
  /** Whether the caller allows the request to run more than once. */
  readonly repeatable: boolean;
}

/** Protocol frames to run on a lane. */
export interface LaneBatch {
  readonly frames: readonly Buffer[];
  /** Whether the database answers with ReadyForQuery. */
  readonly expectsReady: boolean;
  /** Whether the batch can commit a change. */
  readonly mayCommit: boolean;
  readonly budgetMs: number;
}

/** Receives the events of a lane. */
export interface LaneSink {
  onFrame(code: number, frame: Buffer): void;
  /** From now on, the session must see at least this position. */
  onPosition(position: Position): void;
  /** All frames of a received chunk have been delivered. */
  onChunkEnd(): void;
  /** The batch failed and the connection is lost. No further events follow. */
  onFailure(failure: Failure): void;
  /** The connection is free again. No further events follow. */
  onDone(): void;
}

/** Controls a lane; results go to the sink that it was opened with. */
export interface Lane {
  send(batch: LaneBatch): void;
  /** Asks the database to cancel the running statement. */
  cancel(): void;
  /** Ends the lane; an open transaction is rolled back. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Opens a lane on some connection and sends its first batch. */
export interface Executor {
  open(request: LaneRequest, batch: LaneBatch, sink: LaneSink): Lane;
}

/** Returns the failure to report when a connection is lost during a batch. */
export function connectionLossFailure(
  access: LaneRequest['access'],
  batch: Pick<LaneBatch, 'mayCommit'>,
): Failure {
  if (access === 'read') {
    return failure('backend_unreachable', 'connection lost during a read');
  }
  return batch.mayCommit
    ? failure('outcome_unknown', 'connection lost while committing')
    : failure('transaction_lost', 'connection lost; transaction rolled back');
}
