/**
 * A retry budget: retries may add only a fraction to the load from callers, so
 * that they do not overload a failing database.
 */
const RETRIES_PER_REQUEST = 0.1;
const INITIAL_BALANCE = 10;

/** Token bucket for retries that is refilled by ordinary requests. */
export class RetryBudget {
  private balance = INITIAL_BALANCE;

  private constructor() {}

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Records a request that is not a retry; adds a fraction of a token. */
  deposit(): void {
    this.balance = Math.min(
      INITIAL_BALANCE * 10,
      this.balance + RETRIES_PER_REQUEST,
    );
  }

  /** Takes a token for one retry; returns whether there was one. */
  tryWithdraw(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
