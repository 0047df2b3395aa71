/**
 * A retry budget: retries may add only a fraction to the load that callers
 * bring, so that a failing database is not buried under repetitions.
 */
const RETRIES_PER_REQUEST = 0.1;
const RESERVE = 10;

/** Tokens for retries, fed by ordinary requests. */
export class RetryBudget {
  private balance = RESERVE;

  private constructor() {}

  static create(): RetryBudget {
    return new RetryBudget();
  }

  /** Notes one ordinary request. */
  deposit(): void {
    this.balance = Math.min(RESERVE * 10, this.balance + RETRIES_PER_REQUEST);
  }

  /** Takes one retry, if the budget allows it. */
  tryWithdraw(): boolean {
    if (this.balance < 1) return false;
    this.balance -= 1;
    return true;
  }
}
