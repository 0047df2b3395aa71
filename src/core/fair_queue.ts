/**
 * The waiting room of one database: deficit round robin over customers, with
 * early refusal of requests that cannot be served before their deadline.
 *
 * The queue is mutable for speed; it performs no I/O and reads no clock.
 */

/** One waiting request. */
export interface QueuedRequest<T> {
  readonly customer: string;
  /** Share of the customer relative to others, above 0. */
  readonly weight: number;
  readonly deadlineAtMs: number;
  readonly item: T;
}

/** Order in which waiting requests are served. */
export interface RequestQueue<T> {
  readonly size: number;
  /** Adds a request, or returns false when it could not be served in time. */
  offer(entry: QueuedRequest<T>, pace: ServiceCapacity, nowMs: number): boolean;
  /** Takes the next request of a customer that is not blocked. */
  take(isBlocked?: (customer: string) => boolean): QueuedRequest<T> | undefined;
  /** Removes and returns the requests whose deadline has passed. */
  expire(nowMs: number): QueuedRequest<T>[];
  /** Removes one item; true when it was waiting. */
  remove(item: T): boolean;
}

/** How fast the database serves. */
export interface ServiceCapacity {
  /** Statements served at once. */
  readonly concurrency: number;
  readonly serviceTimeMs: number;
}

interface Lane<T> {
  readonly customer: string;
  weight: number;
  deficit: number;
  entries: QueuedRequest<T>[];
}

const QUANTUM = 1;

/** Deficit round robin by customer. */
export class FairQueue<T> implements RequestQueue<T> {
  private readonly lanes = new Map<string, Lane<T>>();
  /** Customers with waiting requests, in service order. */
  private ring: Lane<T>[] = [];
  private count = 0;

  private constructor() {}

  static create<T>(): FairQueue<T> {
    return new FairQueue<T>();
  }

  get size(): number {
    return this.count;
  }

  offer(
    entry: QueuedRequest<T>,
    pace: ServiceCapacity,
    nowMs: number,
  ): boolean {
    const waitMs = this.expectedWaitMs(entry.customer, entry.weight, pace);
    if (nowMs + waitMs > entry.deadlineAtMs) return false;
    const lane = this.laneOf(entry);
    if (lane.entries.length === 0) this.ring.push(lane);
    lane.entries.push(entry);
    this.count++;
    return true;
  }

  take(isBlocked: (customer: string) => boolean = () => false) {
    let passedOver = 0;
    while (passedOver < this.ring.length) {
      const lane = this.ring[0];
      if (isBlocked(lane.customer)) {
        this.rotate();
        passedOver++;
        continue;
      }
      passedOver = 0;
      if (lane.deficit >= QUANTUM) return this.serve(lane);
      lane.deficit += QUANTUM * lane.weight;
      if (lane.deficit < QUANTUM) this.rotate();
    }
    return undefined;
  }

  expire(nowMs: number): QueuedRequest<T>[] {
    return this.extract(entry => entry.deadlineAtMs <= nowMs);
  }

  remove(item: T): boolean {
    return this.extract(entry => entry.item === item).length > 0;
  }

  /**
   * Expected wait of one more request of a customer: until its own turn comes,
   * every other customer is served in proportion to its weight.
   */
  expectedWaitMs(
    customer: string,
    weight: number,
    pace: ServiceCapacity,
  ): number {
    const own = (this.lanes.get(customer)?.entries.length ?? 0) + 1;
    const rounds = own / weight;
    let ahead = own - 1;
    for (const lane of this.ring) {
      if (lane.customer === customer) continue;
      ahead += Math.min(lane.entries.length, rounds * lane.weight);
    }
    return (ahead * pace.serviceTimeMs) / Math.max(1, pace.concurrency);
  }

  private laneOf(entry: QueuedRequest<T>): Lane<T> {
    const known = this.lanes.get(entry.customer);
    if (known) {
      known.weight = entry.weight;
      return known;
    }
    const lane: Lane<T> = {
      customer: entry.customer,
      weight: entry.weight,
      deficit: 0,
      entries: [],
    };
    this.lanes.set(entry.customer, lane);
    return lane;
  }

  private serve(lane: Lane<T>): QueuedRequest<T> | undefined {
    const entry = lane.entries.shift();
    lane.deficit -= QUANTUM;
    this.count--;
    if (lane.entries.length === 0) this.drop(lane);
    else if (lane.deficit < QUANTUM) this.rotate();
    return entry;
  }

  private rotate(): void {
    const first = this.ring.shift();
    if (first) this.ring.push(first);
  }

  private drop(lane: Lane<T>): void {
    this.ring = this.ring.filter(other => other !== lane);
    this.lanes.delete(lane.customer);
  }

  private extract(
    wanted: (entry: QueuedRequest<T>) => boolean,
  ): QueuedRequest<T>[] {
    const out: QueuedRequest<T>[] = [];
    for (const lane of [...this.ring]) {
      const kept = lane.entries.filter(entry => {
        if (!wanted(entry)) return true;
        out.push(entry);
        return false;
      });
      lane.entries = kept;
      if (kept.length === 0) this.drop(lane);
    }
    this.count -= out.length;
    return out;
  }
}

/** First come, first served: the baseline. */
export class FifoQueue<T> implements RequestQueue<T> {
  private entries: QueuedRequest<T>[] = [];

  private constructor() {}

  static create<T>(): FifoQueue<T> {
    return new FifoQueue<T>();
  }

  get size(): number {
    return this.entries.length;
  }

  offer(entry: QueuedRequest<T>): boolean {
    this.entries.push(entry);
    return true;
  }

  take(): QueuedRequest<T> | undefined {
    return this.entries.shift();
  }

  expire(nowMs: number): QueuedRequest<T>[] {
    const out = this.entries.filter(entry => entry.deadlineAtMs <= nowMs);
    this.entries = this.entries.filter(entry => entry.deadlineAtMs > nowMs);
    return out;
  }

  remove(item: T): boolean {
    const before = this.entries.length;
    this.entries = this.entries.filter(entry => entry.item !== item);
    return this.entries.length < before;
  }
}
