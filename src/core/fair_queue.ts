/**
 * Request queue of one database: deficit round robin over customers. A request
 * that cannot be served before its deadline is rejected on arrival.
 *
 * The queue is mutable for speed; it performs no I/O and reads no clock.
 */

/** A request with what decides its turn; `item` identifies it. */
export interface QueuedRequest<T> {
  readonly customer: string;
  /** Weight of the customer relative to others; above 0. */
  readonly weight: number;
  readonly deadlineAtMs: number;
  readonly item: T;
}

/** A queue that decides the order in which requests are served. */
export interface RequestQueue<T> {
  readonly size: number;
  /** Adds a request; returns false if it could not be served in time. */
  offer(
    entry: QueuedRequest<T>,
    capacity: ServiceCapacity,
    nowMs: number,
  ): boolean;
  /** Removes and returns the next request of a customer that is not blocked. */
  take(isBlocked?: (customer: string) => boolean): QueuedRequest<T> | undefined;
  /** Removes and returns the requests whose deadline has passed. */
  expire(nowMs: number): QueuedRequest<T>[];
  /** Removes an item; returns whether it was queued. */
  remove(item: T): boolean;
}

/** How fast the database serves requests. */
export interface ServiceCapacity {
  /** Number of statements that run at the same time. */
  readonly concurrency: number;
  readonly serviceTimeMs: number;
}

interface CustomerQueue<T> {
  readonly customer: string;
  weight: number;
  deficit: number;
  entries: QueuedRequest<T>[];
}

const QUANTUM = 1;

/** Serves customers by deficit round robin, in proportion to their weights. */
export class FairQueue<T> implements RequestQueue<T> {
  private readonly queues = new Map<string, CustomerQueue<T>>();
  /** Queues with requests, in the order of their turns. */
  private rotation: CustomerQueue<T>[] = [];
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
    capacity: ServiceCapacity,
    nowMs: number,
  ): boolean {
    const waitMs = this.expectedWaitMs(entry.customer, entry.weight, capacity);
    if (nowMs + waitMs > entry.deadlineAtMs) return false;
    const queue = this.queueOf(entry);
    if (queue.entries.length === 0) this.rotation.push(queue);
    queue.entries.push(entry);
    this.count++;
    return true;
  }

  /** `isHeld`: whether a request must wait although its customer need not. */
  take(
    isBlocked: (customer: string) => boolean = () => false,
    isHeld: (item: T) => boolean = () => false,
  ): QueuedRequest<T> | undefined {
    let blocked = 0;
    while (blocked < this.rotation.length) {
      const queue = this.rotation[0];
      const next = isBlocked(queue.customer)
        ? -1
        : queue.entries.findIndex(entry => !isHeld(entry.item));
      if (next < 0) {
        this.rotate();
        blocked++;
        continue;
      }
      blocked = 0;
      if (queue.deficit >= QUANTUM) return this.serve(queue, next);
      queue.deficit += QUANTUM * queue.weight;
      if (queue.deficit < QUANTUM) this.rotate();
    }
    return undefined;
  }

  expire(nowMs: number): QueuedRequest<T>[] {
    return this.removeWhere(entry => entry.deadlineAtMs <= nowMs);
  }

  remove(item: T): boolean {
    return this.removeWhere(entry => entry.item === item).length > 0;
  }

  /**
   * Returns the expected wait of one more request of a customer. Until its
   * turn, every other customer is served in proportion to its weight.
   */
  expectedWaitMs(
    customer: string,
    weight: number,
    capacity: ServiceCapacity,
  ): number {
    const ahead = this.aheadOf(customer, weight);
    return (ahead * capacity.serviceTimeMs) / Math.max(1, capacity.concurrency);
  }

  /** Returns how many requests are served before one more of a customer. */
  aheadOf(customer: string, weight: number): number {
    const own = (this.queues.get(customer)?.entries.length ?? 0) + 1;
    const rounds = own / weight;
    let ahead = own - 1;
    for (const queue of this.rotation) {
      if (queue.customer === customer) continue;
      ahead += Math.min(queue.entries.length, rounds * queue.weight);
    }
    return ahead;
  }

  /** Returns how many requests of a customer wait. */
  countOf(customer: string): number {
    return this.queues.get(customer)?.entries.length ?? 0;
  }

  /** Returns the items in the order in which they would be served. */
  inOrder(): T[] {
    return this.rotation
      .flatMap(({entries, weight}) =>
        entries.map(({item}, index) => ({item, round: (index + 1) / weight})),
      )
      .sort((a, b) => a.round - b.round)
      .map(({item}) => item);
  }

  private queueOf(entry: QueuedRequest<T>): CustomerQueue<T> {
    const known = this.queues.get(entry.customer);
    if (known) {
      known.weight = entry.weight;
      return known;
    }
    const queue: CustomerQueue<T> = {
      customer: entry.customer,
      weight: entry.weight,
      deficit: 0,
      entries: [],
    };
    this.queues.set(entry.customer, queue);
    return queue;
  }

  private serve(queue: CustomerQueue<T>, index: number): QueuedRequest<T> {
    const [entry] = queue.entries.splice(index, 1);
    queue.deficit -= QUANTUM;
    this.count--;
    if (queue.entries.length === 0) this.removeQueue(queue);
    else if (queue.deficit < QUANTUM) this.rotate();
    return entry;
  }

  private rotate(): void {
    const first = this.rotation.shift();
    if (first) this.rotation.push(first);
  }

  private removeQueue(queue: CustomerQueue<T>): void {
    this.rotation = this.rotation.filter(other => other !== queue);
    this.queues.delete(queue.customer);
  }

  /** Removes and returns the requests that match. */
  removeWhere(
    matches: (entry: QueuedRequest<T>) => boolean,
  ): QueuedRequest<T>[] {
    const removed: QueuedRequest<T>[] = [];
    for (const queue of [...this.rotation]) {
      const kept = queue.entries.filter(entry => {
        if (!matches(entry)) return true;
        removed.push(entry);
        return false;
      });
      queue.entries = kept;
      if (kept.length === 0) this.removeQueue(queue);
    }
    this.count -= removed.length;
    return removed;
  }
}

/** Serves requests in order of arrival; a baseline for comparisons. */
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
    const expired = this.entries.filter(entry => entry.deadlineAtMs <= nowMs);
    this.entries = this.entries.filter(entry => entry.deadlineAtMs > nowMs);
    return expired;
  }

  remove(item: T): boolean {
    const before = this.entries.length;
    this.entries = this.entries.filter(entry => entry.item !== item);
    return this.entries.length < before;
  }
}
