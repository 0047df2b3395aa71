/**
 * A lane is a caller's hold on one backend connection, from its first batch
 * until the connection is free again. Local and remote executors offer the
 * same interface.
 */
import {failure, Failure} from './errors.js';
import {Position} from './position.js';

/** What a lane is opened for. */
export interface LaneRequest {
  readonly requestId: string;
  readonly service: string;
  readonly customer: string;
  readonly weight: number;
  readonly access: 'read' | 'write';
  readonly floor?: Position;
  readonly maxStalenessMs?: number;
  /** Time left for the request. */
  readonly budgetMs: number;
  /** The caller allows the request to run more than once. */
  readonly repeatable: boolean;
}

/** Frames to run on a lane. */
export interface LaneBatch {
  readonly frames: readonly Buffer[];
  /** Whether the database answers with ReadyForQuery. */
  readonly expectsReady: boolean;
  /** Whether the batch can commit a change. */
  readonly mayCommit: boolean;
  readonly budgetMs: number;
}

/** Receives what a lane produces. */
export interface LaneSink {
  onFrame(code: number, frame: Buffer): void;
  /** The session must see this position from now on. */
  onPosition(position: Position): void;
  /** After the frames of one chunk. */
  onChunkEnd(): void;
  /** The batch failed; the connection is gone. No further events follow. */
  onFailure(failure: Failure): void;
  /** The connection is free again. No further events follow. */
  onDone(): void;
}

/** A caller's hold on a connection. */
export interface Lane {
  send(batch: LaneBatch): void;
  /** Asks the database to cancel the running statement. */
  cancel(): void;
  /** Gives the lane up; an open transaction is rolled back. */
  abort(): void;
  pause(): void;
  resume(): void;
}

/** Opens lanes. */
export interface Executor {
  open(request: LaneRequest, batch: LaneBatch, sink: LaneSink): Lane;
}

/** What a caller is told when a connection is lost under a batch. */
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
