/** Virtual time: events in order of time, and seeded random numbers. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

interface Entry {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const RANDOM_STEPS = 1_000_000;

/** A clock that jumps from event to event. */
export class VirtualTime {
  nowMs = 0;
  private heap: Entry[] = [];
  private order = 0;

  private constructor() {}

  static create(): VirtualTime {
    return new VirtualTime();
  }

  /** Runs `run` after `delayMs`; equal times keep their order. */
  after(delayMs: number, run: () => void): void {
    this.push({atMs: this.nowMs + delayMs, order: this.order++, run});
  }

  /** Repeats until the time limit of `runUntil`. */
  every(periodMs: number, run: () => void): void {
    this.after(periodMs, () => {
      run();
      this.every(periodMs, run);
    });
  }

  runUntil(endMs: number): void {
    for (let next = this.heap[0]; next; next = this.heap[0]) {
      if (next.atMs > endMs) break;
      this.pop();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = endMs;
  }

  private push(entry: Entry): void {
    const {heap} = this;
    let at = heap.push(entry) - 1;
    while (at > 0) {
      const parent = (at - 1) >> 1;
      if (!isBefore(entry, heap[parent])) break;
      heap[at] = heap[parent];
      at = parent;
    }
    heap[at] = entry;
  }

  private pop(): void {
    const {heap} = this;
    const last = heap.pop();
    if (!last || heap.length === 0) return;
    let at = 0;
    for (;;) {
      let child = 2 * at + 1;
      if (child >= heap.length) break;
      if (child + 1 < heap.length && isBefore(heap[child + 1], heap[child])) {
        child++;
      }
      if (!isBefore(heap[child], last)) break;
      heap[at] = heap[child];
      at = child;
    }
    heap[at] = last;
  }
}

const isBefore = (a: Entry, b: Entry): boolean =>
  a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

/** Numbers in [0, 1) from a seed. */
export function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANDOM_STEPS - 1) / RANDOM_STEPS;
}

/** An exponentially distributed pause with the given mean. */
export const exponential = (random: () => number, mean: number): number =>
  -Math.log(1 - random()) * mean;

/** The value below which the given part of the numbers lies. */
export function percentile(values: readonly number[], part: number): number {
  if (values.length === 0) return 0;
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))];
}
