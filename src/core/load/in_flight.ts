/**
 * The work that was sent to one database and is not answered. Committing work
 * keeps a slot only while it executes, and then waits until its changes are
 * replicated; it leaves its place to other work for that time.
 */
import {isCommitting, WorkKind, WorkTimes} from './work_times.js';

/** One piece of work that was sent. */
export interface SentWork {
  readonly kind: WorkKind;
  readonly isReplicaRead: boolean;
  readonly sentAtMs: number;
}

export class InFlight {
  private readonly sent = new Set<SentWork>();

  private constructor(private readonly times: WorkTimes) {}

  static create(times: WorkTimes): InFlight {
    return new InFlight(times);
  }

  add(work: SentWork): void {
    this.sent.add(work);
  }

  /** Removes work; returns whether it was still in flight. */
  delete(work: SentWork): boolean {
    return this.sent.delete(work);
  }

  get size(): number {
    return this.sent.size;
  }

  /**
   * Returns what occupies a place at the database: how many pieces of work, how
   * many of them reads that a replica could serve, and for how long each has
   * run. At most `limit` commits that wait for replicas are left out.
   */
  occupied(limit: number, nowMs: number): OccupiedPlaces {
    const executingMs = this.times.committingPlaceMs;
    const runningMs: number[] = [];
    let replicaReads = 0;
    let replicating = 0;
    for (const {kind, isReplicaRead, sentAtMs} of this.sent) {
      const ranMs = nowMs - sentAtMs;
      const isWaiting = isCommitting(kind) && ranMs >= executingMs;
      if (isWaiting && replicating < limit) {
        replicating++;
        continue;
      }
      runningMs.push(ranMs);
      if (isReplicaRead) replicaReads++;
    }
    return {inFlight: runningMs.length, replicaReads, runningMs};
  }
}

export interface OccupiedPlaces {
  readonly inFlight: number;
  readonly replicaReads: number;
  readonly runningMs: readonly number[];
}
