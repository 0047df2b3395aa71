/** Tools for simulations: virtual time, seeded random numbers, percentiles. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

interface ScheduledCallback {
  readonly atMs: number;
  readonly sequence: number;
  readonly callback: () => void;
}

const RANDOM_RESOLUTION = 1_000_000;

/** Runs callbacks in order of their time without waiting in real time. */
export class VirtualTime {
  nowMs = 0;
  private heap: ScheduledCallback[] = [];
  private nextSequence = 0;

  private constructor() {}

  static create(): VirtualTime {
    return new VirtualTime();
  }

  /**
   * Runs `callback` after `delayMs`. Callbacks of the same time run in the
   * order in which they were scheduled.
   */
  after(delayMs: number, callback: () => void): void {
    this.push({
      atMs: this.nowMs + delayMs,
      sequence: this.nextSequence++,
      callback,
    });
  }

  /** Runs `callback` every `periodMs`, first after one period. */
  every(periodMs: number, callback: () => void): void {
    this.after(periodMs, () => {
      callback();
      this.every(periodMs, callback);
    });
  }

  /** Runs all callbacks that are due up to `endMs`. */
  runUntil(endMs: number): void {
    for (let next = this.heap[0]; next; next = this.heap[0]) {
      if (next.atMs > endMs) break;
      this.pop();
      this.nowMs = next.atMs;
      next.callback();
    }
    this.nowMs = endMs;
  }

  private push(entry: ScheduledCallback): void {
    const {heap} = this;
    let index = heap.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(entry, heap[parent])) break;
      heap[index] = heap[parent];
      index = parent;
    }
    heap[index] = entry;
  }

  private pop(): void {
    const {heap} = this;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
        child++;
      }
      if (!isBefore(heap[child], last)) break;
      heap[index] = heap[child];
      index = child;
    }
    heap[index] = last;
  }
}

const isBefore = (a: ScheduledCallback, b: ScheduledCallback): boolean =>
  a.atMs < b.atMs || (a.atMs === b.atMs && a.sequence < b.sequence);

/** Returns a seeded generator of uniform numbers in [0, 1). */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () =>
    uniformInt(generator, 0, RANDOM_RESOLUTION - 1) / RANDOM_RESOLUTION;
}

/** Returns an exponentially distributed number with the given mean. */
export const exponential = (random: () => number, mean: number): number =>
  -Math.log(1 - random()) * mean;

/**
 * Returns the value at a fraction of the sorted values; 0 if there are none.
 */
export function percentile(
  values: readonly number[],
  fraction: number,
): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[
    Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))
  ];
}
