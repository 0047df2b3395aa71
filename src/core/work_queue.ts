/**
 * The fronts' queue before `core/load/admission.ts`; a baseline for benchmarks.
 * Orders statements for one database by priority; within a priority, customers
 * are served fairly. The caller rejects a statement on arrival if it could not
 * start and finish in time.
 */
import {FairQueue, QueuedRequest, ServiceCapacity} from './fair_queue.js';

/** A queued statement; `item` identifies it. */
export interface QueuedWork<T> extends QueuedRequest<T> {
  /** Lower numbers are taken first; 0 is the highest priority. */
  readonly priority: number;
}

/** One fair queue for each priority. */
export class WorkQueue<T> {
  private readonly levels = new Map<number, FairQueue<T>>();
  private priorities: number[] = [];

  private constructor() {}

  static create<T>(): WorkQueue<T> {
    return new WorkQueue<T>();
  }

  get size(): number {
    let size = 0;
    for (const level of this.levels.values()) size += level.size;
    return size;
  }

  /** Returns the expected time until one more entry would start. */
  waitMs(
    entry: {customer: string; weight: number; priority: number},
    capacity: ServiceCapacity,
    inFlight: number,
  ): number {
    let ahead = Math.max(0, inFlight + 1 - capacity.concurrency);
    for (const [priority, level] of this.levels) {
      if (priority < entry.priority) ahead += level.size;
    }
    const own = this.levels.get(entry.priority);
    const levelWaitMs =
      own?.expectedWaitMs(entry.customer, entry.weight, capacity) ?? 0;
    const aheadMs =
      (ahead * capacity.serviceTimeMs) / Math.max(1, capacity.concurrency);
    return aheadMs + levelWaitMs;
  }

  /** Adds an entry; the caller decides by `waitMs` whether to reject it. */
  add(entry: QueuedWork<T>, capacity: ServiceCapacity): void {
    let level = this.levels.get(entry.priority);
    if (!level) {
      level = FairQueue.create<T>();
      this.levels.set(entry.priority, level);
      this.priorities = [...this.levels.keys()].sort((a, b) => a - b);
    }
    level.offer({...entry, deadlineAtMs: Infinity}, capacity, 0);
  }

  /** Removes and returns the next item of a customer that is not blocked. */
  take(isBlocked: (customer: string) => boolean): T | undefined {
    for (const priority of this.priorities) {
      const next = this.levels.get(priority)?.take(isBlocked);
      if (next) return next.item;
    }
    return undefined;
  }

  /** Removes an item; returns whether it was queued. */
  remove(item: T): boolean {
    return [...this.levels.values()].some(level => level.remove(item));
  }
}
