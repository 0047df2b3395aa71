/**
 * Slows down logins from an address that keeps showing wrong keys. Bounded:
 * only the addresses that failed most recently are remembered.
 */
import {LRUCache} from 'lru-cache';

interface Failures {
  readonly count: number;
  readonly lastAtMs: number;
}

const MAX_ADDRESSES = 10_000;
const FREE_FAILURES = 5;
const FORGET_AFTER_MS = 60_000;
const DELAY_STEP_MS = 200;
const MAX_DELAY_MS = 2_000;

/** Delay before a login is checked, from past failures. */
export const loginDelayMs = (
  failures: Failures | undefined,
  nowMs: number,
): number =>
  failures && nowMs - failures.lastAtMs < FORGET_AFTER_MS
    ? Math.min(
        MAX_DELAY_MS,
        Math.max(0, failures.count - FREE_FAILURES) * DELAY_STEP_MS,
      )
    : 0;

/** Failures by address. */
export class LoginLimiter {
  private readonly failures = new LRUCache<string, Failures>({
    max: MAX_ADDRESSES,
  });

  private constructor() {}

  static create(): LoginLimiter {
    return new LoginLimiter();
  }

  /** Waits as long as the address has earned. */
  async delay(address: string): Promise<void> {
    const ms = loginDelayMs(this.failures.get(address), Date.now());
    if (ms > 0) await new Promise(resolve => setTimeout(resolve, ms));
  }

  /** Notes a wrong key. */
  recordFailure(address: string, nowMs: number): void {
    const count = (this.failures.get(address)?.count ?? 0) + 1;
    this.failures.set(address, {count, lastAtMs: nowMs});
  }
}
