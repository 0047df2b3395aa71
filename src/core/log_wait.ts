/**
 * Limits how long changes of primary wait for a log with all acknowledged
 * commits. A database that holds them may be listed again, come back, or hand
 * its log to another one; one that has ended for good never does.
 */

/**
 * Longer than a database that crashed, or whose entry lapsed in an outage of the
 * store, takes to be back.
 */
const WAIT_LIMIT_MS = 15_000;
/**
 * Pause after which a wait counts as a new one. Longer than an attempt that first
 * waits for a front that does not answer.
 */
const ATTEMPT_GAP_MS = 15_000;

/** The waits of all services. Times are of one steady clock. */
export class LogWait {
  private readonly waits = new Map<string, {sinceMs: number; lastMs: number}>();

  private constructor() {}

  static create(): LogWait {
    return new LogWait();
  }

  /** Records that a change waits now; returns whether it has waited enough. */
  record(service: string, nowMs: number): boolean {
    const known = this.waits.get(service);
    const goesOn = known && nowMs - known.lastMs < ATTEMPT_GAP_MS;
    const sinceMs = goesOn ? known.sinceMs : nowMs;
    this.waits.set(service, {sinceMs, lastMs: nowMs});
    return nowMs - sinceMs >= WAIT_LIMIT_MS;
  }

  /** Must be called when a service has a primary again. */
  end(service: string): void {
    this.waits.delete(service);
  }
}
