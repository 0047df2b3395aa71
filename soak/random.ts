/** Seeded random choices. */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A sequence of random choices that a seed determines. */
export class Random {
  private readonly generator;

  private constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  static create(seed: number): Random {
    return new Random(seed);
  }

  /** Returns an integer from `low` to `high`, both included. */
  between(low: number, high: number): number {
    return uniformInt(this.generator, low, high);
  }

  chance(percent: number): boolean {
    return this.between(1, 100) <= percent;
  }

  pick<T>(items: readonly T[]): T {
    return items[this.between(0, items.length - 1)];
  }
}
