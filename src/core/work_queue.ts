/**
 * The waiting room of one database at the VM that holds its connections:
 * levels of priority, and within a level fairness by customer. A statement
 * that could not start and finish in time is refused on arrival.
 */
import {FairQueue, ServiceCapacity, QueuedRequest} from './fair_queue.js';

/** One waiting piece of work. */
export interface QueuedWork<T> extends QueuedRequest<T> {
  /** 0 is the highest. */
  readonly priority: number;
}

/** Queues by priority. */
export class WorkQueue<T> {
  private readonly levels = new Map<number, FairQueue<T>>();
  private order: number[] = [];

  private constructor() {}

  static create<T>(): WorkQueue<T> {
    return new WorkQueue<T>();
  }

  get size(): number {
    let size = 0;
    for (const level of this.levels.values()) size += level.size;
    return size;
  }

  /** Expected time until one more piece of work would start. */
  waitMs(
    entry: {customer: string; weight: number; priority: number},
    pace: ServiceCapacity,
    inFlight: number,
  ): number {
    let ahead = Math.max(0, inFlight + 1 - pace.concurrency);
    for (const [priority, level] of this.levels) {
      if (priority < entry.priority) ahead += level.size;
    }
    const own = this.levels.get(entry.priority);
    const levelWaitMs =
      own?.expectedWaitMs(entry.customer, entry.weight, pace) ?? 0;
    const aheadMs =
      (ahead * pace.serviceTimeMs) / Math.max(1, pace.concurrency);
    return aheadMs + levelWaitMs;
  }

  /** Adds work; refusing it was the caller's decision, by `waitMs`. */
  add(entry: QueuedWork<T>, pace: ServiceCapacity): void {
    let level = this.levels.get(entry.priority);
    if (!level) {
      level = FairQueue.create<T>();
      this.levels.set(entry.priority, level);
      this.order = [...this.levels.keys()].sort((a, b) => a - b);
    }
    level.offer({...entry, deadlineAtMs: Infinity}, pace, 0);
  }

  /** Takes the next work of a customer that is not blocked. */
  take(isBlocked: (customer: string) => boolean): T | undefined {
    for (const priority of this.order) {
      const next = this.levels.get(priority)?.take(isBlocked);
      if (next) return next.item;
    }
    return undefined;
  }

  /** Removes one piece of work; true when it was waiting. */
  remove(item: T): boolean {
    return [...this.levels.values()].some(level => level.remove(item));
  }
}
