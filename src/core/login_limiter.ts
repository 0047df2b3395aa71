/**
 * Delays logins from addresses that repeatedly present wrong keys. Memory is
 * bounded: only the addresses with the most recent failures are kept.
 */
import {LRUCache} from 'lru-cache';

interface Failures {
  readonly count: number;
  readonly lastAtMs: number;
}

const MAX_ADDRESSES = 10_000;
const FAILURES_WITHOUT_DELAY = 5;
const FAILURE_EXPIRY_MS = 60_000;
const DELAY_STEP_MS = 200;
const MAX_DELAY_MS = 2_000;

/** Returns the delay before a login is checked. */
export const loginDelayMs = (
  failures: Failures | undefined,
  nowMs: number,
): number =>
  failures && nowMs - failures.lastAtMs < FAILURE_EXPIRY_MS
    ? Math.min(
        MAX_DELAY_MS,
        Math.max(0, failures.count - FAILURES_WITHOUT_DELAY) * DELAY_STEP_MS,
      )
    : 0;

/** Counts failed logins by address and delays further ones. */
export class LoginLimiter {
  private readonly failures = new LRUCache<string, Failures>({
    max: MAX_ADDRESSES,
  });

  private constructor() {}

  static create(): LoginLimiter {
    return new LoginLimiter();
  }

  /** Resolves when a login from the address may be checked. */
  async delay(address: string): Promise<void> {
    const ms = loginDelayMs(this.failures.get(address), Date.now());
    if (ms > 0) await new Promise(resolve => setTimeout(resolve, ms));
  }

  /** Records that a login from the address presented a wrong key. */
  recordFailure(address: string, nowMs: number): void {
    const count = (this.failures.get(address)?.count ?? 0) + 1;
    this.failures.set(address, {count, lastAtMs: nowMs});
  }
}
