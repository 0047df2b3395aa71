/**
 * Tells refused callers when to come back: once room is expected for their
 * priority, each at a time of its own, so that they do not all return at once.
 */
const MIN_RETRY_MS = 50;

export class RetrySchedule {
  /** Time up to which room is promised to refused callers, by priority. */
  private readonly promisedUntilMs = new Map<number, number>();

  private constructor() {}

  static create(): RetrySchedule {
    return new RetrySchedule();
  }

  /**
   * Returns the delay for one refused caller. `roomInMs`: when the queue is
   * short enough again; `turnMs`: time between two pieces of work that are
   * served; `maxMs`: usual time limit of the work.
   */
  delayMs(
    priority: number,
    roomInMs: number,
    turnMs: number,
    maxMs: number,
    nowMs: number,
  ): number {
    const promisedMs = this.promisedUntilMs.get(priority) ?? -Infinity;
    const returnAtMs = Math.max(nowMs + roomInMs, promisedMs + turnMs);
    const latestMs = nowMs + Math.max(MIN_RETRY_MS, maxMs);
    this.promisedUntilMs.set(priority, Math.min(returnAtMs, latestMs));
    const delayMs = Math.min(returnAtMs, latestMs) - nowMs;
    return Math.round(Math.max(MIN_RETRY_MS, delayMs));
  }
}
