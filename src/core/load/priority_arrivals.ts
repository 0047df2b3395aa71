/** The work that arrives at one database, by priority. */
import {ArrivalRate} from './arrival_rate.js';
import {MIN_SHARE} from './priority_turns.js';

export class PriorityArrivals {
  private readonly rates = new Map<number, ArrivalRate>();

  private constructor() {}

  static create(): PriorityArrivals {
    return new PriorityArrivals();
  }

  /** Records admitted work, as the time that it occupies a place. */
  record(priority: number, workMs: number, nowMs: number): void {
    let rate = this.rates.get(priority);
    if (!rate) this.rates.set(priority, (rate = ArrivalRate.create()));
    rate.add(workMs, nowMs);
  }

  /**
   * Returns the share of `limit` places that higher priorities leave to a
   * priority if they go on arriving as they do.
   */
  shareLeftTo(priority: number, limit: number, nowMs: number): number {
    let higher = 0;
    for (const [other, rate] of this.rates) {
      if (other < priority) higher += rate.perMs(nowMs);
    }
    return Math.max(MIN_SHARE, 1 - higher / Math.max(1, limit));
  }
}
