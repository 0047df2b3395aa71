/** A piece of work at a worker, from its arrival to its answer. */
import {WorkOrigin} from '../core/process_ids.js';
import {Position} from '../core/position.js';
import {WarmUpPermit} from '../core/warm_up.js';
import {SentWork} from '../core/load/in_flight.js';
import {Access, ExecutionMode, Reply, Work} from '../core/work.js';

export interface Job {
  readonly work: Work;
  readonly origin: WorkOrigin;
  readonly resolve: (reply: Reply) => void;
  /** When it arrived at this front. */
  readonly arrivedAtMs: number;
  timer: NodeJS.Timeout;
  /** When its newest statement was sent; 0 before. */
  sentAtMs: number;
  /** Highest position of a primary that was known when it was sent. */
  reachedBefore?: Position;
  isFinished: boolean;
  /** Counts its statement towards the limit of a cold database. */
  permit?: WarmUpPermit;
  /** Set while it occupies a place at the database. */
  inFlight?: SentWork;
}

/** Whether work outside an open transaction may only run on the primary. */
export const needsPrimary = ({mode, access}: Work): boolean =>
  mode === ExecutionMode.fenced ||
  mode === ExecutionMode.open ||
  (mode === ExecutionMode.single && access !== Access.read);

/** Whether work outside an open transaction writes, or begins with a write. */
export const writes = ({mode, access}: Work): boolean =>
  access === Access.write &&
  (mode === ExecutionMode.open || mode === ExecutionMode.single);

/** Whether a statement of an open transaction waits until it may be sent. */
export const isWaitingInLane = (job: Job): boolean =>
  job.work.mode === ExecutionMode.lane && job.sentAtMs === 0 && !job.isFinished;

/** Whether work is a read that a replica could serve as well. */
export const isReplicaRead = ({mode, access}: Work): boolean =>
  mode === ExecutionMode.openRead ||
  (mode === ExecutionMode.single && access === Access.read);
