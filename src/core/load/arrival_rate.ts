/** Rate of arrivals over the last seconds; the time is passed in. */

/** Time constant of the average: older arrivals count less and less. */
const WINDOW_MS = 1_000;

/** Exponentially weighted rate of an amount that arrives at moments. */
export class ArrivalRate {
  private amount = 0;
  private updatedAtMs = 0;
  private newestAtMs = -Infinity;

  private constructor() {}

  static create(): ArrivalRate {
    return new ArrivalRate();
  }

  /** When something last arrived; -Infinity before. */
  get lastArrivalAtMs(): number {
    return this.newestAtMs;
  }

  add(amount: number, nowMs: number): void {
    this.amount = this.amountAt(nowMs) + amount;
    this.updatedAtMs = nowMs;
    this.newestAtMs = nowMs;
  }

  /** Returns the amount that arrives in each ms. */
  perMs(nowMs: number): number {
    return this.amountAt(nowMs) / WINDOW_MS;
  }

  private amountAt(nowMs: number): number {
    const passedMs = Math.max(0, nowMs - this.updatedAtMs);
    return this.amount * Math.exp(-passedMs / WINDOW_MS);
  }
}
