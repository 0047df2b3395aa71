/**
 * Limits the request rate of each customer. Each VM grants requests from a
 * token bucket that accrues its share of the rate, and borrows tokens from
 * other VMs when the bucket runs low.
 */
import {interval, Observable, Subscription} from 'rxjs';
import {
  addDemand,
  availableTokens,
  TokenBucket,
  Demand,
  emptyBucket,
  firstBucket,
  fullBucket,
  isSameRate,
  KeptShare,
  lendTokens,
  LentInterval,
  NO_DEMAND,
  Rate,
  addLentTokens,
  lenderReserve,
  reconfigureBucket,
  takeTokens,
  tokensToBorrow,
} from '../core/rates.js';

/** A request to borrow tokens of one customer's rate; sent as `rate.lend`. */
export interface LendRequest {
  readonly customer: string;
  readonly wanted: number;
  /** The lender lends nothing if it has fewer tokens than this; default 0. */
  readonly least?: number;
}

export interface RateLimiterOptions {
  /** Rates by customer; undefined until a configuration is known. */
  readonly rates: () => ReadonlyMap<string, Rate> | undefined;
  /** Emits when the rates may have changed. */
  readonly changed$: Observable<unknown>;
  /** VMs to borrow from, in order of preference. */
  readonly lenders: (customer: string) => readonly string[];
  /** Requests tokens from another VM; rejects when it does not answer. */
  readonly requestTokens: (
    vm: string,
    request: LendRequest,
  ) => Promise<readonly LentInterval[]>;
  /** Least number of VMs in a borrowing round after the first; default 8. */
  readonly lendersPerRound?: number;
  /** Number of VMs in the first round; default `lendersPerRound`. */
  readonly lendersInFirstRound?: number;
  /** Longest wait for a token before a request is rejected; default 250. */
  readonly maxWaitMs?: number;
  /**
   * The share of a customer's rate that this VM has kept over its restart; none
   * by default.
   */
  readonly keptShare?: (customer: string) => KeptShare | undefined;
  /** A monotonic clock, in milliseconds; default `performance.now`. */
  readonly nowMs?: () => number;
  /** This VM's current share of a customer's rate, 0 to 1. */
  readonly share: (customer: string) => number;
  /**
   * Returns a different object when the shares may have changed; only then does
   * the limiter call `share` again. By default it does at each refresh.
   */
  readonly sharesChangeToken?: () => object;
}

/** A request that waits for a token. */
interface Waiter {
  readonly sinceMs: number;
  readonly deadlineMs: number;
  readonly resolve: (granted: boolean) => void;
}

/** The state of one customer's rate at this VM. */
interface Account {
  bucket: TokenBucket;
  demand: Demand;
  waiters: Waiter[];
  isBorrowing: boolean;
  /**
   * Whether this VM has held a share (part of the rate that it accrues) since
   * the account was created.
   */
  hasAccrued: boolean;
  nextBorrowAtMs: number;
  /** Delay between borrowing rounds. */
  borrowIntervalMs: number;
  /** Number of lenders contacted since a lender last lent tokens. */
  unsuccessfulLenders: number;
  /** Position in the list of lenders at which the next round starts. */
  lenderOffset: number;
  /**
   * Whether no lender had tokens when last contacted, so that a wait will
   * hardly help.
   */
  isExhausted: boolean;
  /** Whether a token was ever granted, i.e. the fleet has begun to accrue. */
  hasGranted: boolean;
}

/** Rate of callers of open services that are not a configured customer. */
const DEFAULT_RATE: Rate = {ratePerS: 100, burst: 100};
const BORROW_INTERVAL_MS = 20;
/**
 * Upper limit of the delay between borrowing rounds, which doubles while no
 * lender has tokens.
 */
const MAX_BORROW_INTERVAL_MS = 80;
const LENDERS_PER_ROUND = 8;
const MAX_WAITERS = 1_000;
const MS_PER_S = 1_000;
const REFRESH_INTERVAL_MS = 100;
/** Default of `maxWaitMs`. */
const MAX_WAIT_MS = 250;

/**
 * Returns how many tokens to request from each lender: half as many again as an
 * equal part, because some lenders have less, and at least a whole token if one
 * is wanted.
 */
const tokensPerLender = (wanted: number, lenders: number): number =>
  lenders > 1
    ? Math.max(Math.min(1, wanted), (wanted / lenders) * 1.5)
    : wanted;

/** Monotonic, so that a step of the clock neither creates nor loses tokens. */
const monotonicMs = (): number => performance.now();

/** Limits the customers' request rates at this VM. */
export class RateLimiter {
  private readonly accounts = new Map<string, Account>();
  private readonly subscriptions = new Subscription();
  /** Rates in the first configuration that the limiter received. */
  private initialRates: ReadonlyMap<string, Rate> | undefined;
  /** Rates and change token of the last update of the accounts. */
  private applied:
    {readonly rates: object; readonly changeToken: object} | undefined;

  private readonly nowMs: () => number;

  private constructor(private readonly options: RateLimiterOptions) {
    this.nowMs = options.nowMs ?? monotonicMs;
    this.subscriptions.add(
      options.changed$.subscribe(() => this.updateAccounts()),
    );
    this.subscriptions.add(
      interval(REFRESH_INTERVAL_MS).subscribe(() => this.updateAccounts()),
    );
  }

  static create(options: RateLimiterOptions): RateLimiter {
    return new RateLimiter(options);
  }

  /**
   * Takes one token. Returns or resolves to false if the request is rejected;
   * returns a promise only if the request has to wait.
   */
  admit(customer: string): boolean | Promise<boolean> {
    const account = this.accountOf(customer);
    const nowMs = this.nowMs();
    account.demand = addDemand(account.demand, 1, nowMs);
    const next =
      account.waiters.length === 0
        ? takeTokens(account.bucket, 1, nowMs)
        : undefined;
    if (next) {
      account.bucket = next;
      account.hasGranted = true;
      this.scheduleBorrowing(customer, account);
      return true;
    }
    if (account.waiters.length >= MAX_WAITERS) return false;
    // At least one request waits, so that borrowing continues and finds tokens
    // that accrue at other VMs.
    const limit = Math.max(1, this.tokensWithinMaxWait(account));
    if (account.isExhausted && account.waiters.length >= limit) return false;
    return new Promise(resolve => {
      const deadlineMs = nowMs + this.maxWaitMs;
      account.waiters.push({
        sinceMs: nowMs,
        deadlineMs,
        resolve,
      });
      this.scheduleBorrowing(customer, account);
    });
  }

  private get maxWaitMs(): number {
    return this.options.maxWaitMs ?? MAX_WAIT_MS;
  }

  /** Returns how many whole tokens this VM accrues within `maxWaitMs`. */
  private tokensWithinMaxWait({bucket}: Account): number {
    const perS = bucket.rate.ratePerS * bucket.share;
    return Math.floor((perS * this.maxWaitMs) / MS_PER_S);
  }

  dump(): object {
    const nowMs = this.nowMs();
    return {
      share: this.options.share(''),
      balances: Object.fromEntries(
        [...this.accounts].map(([name, account]) => [
          name,
          Number(availableTokens(account.bucket, nowMs).toFixed(3)),
        ]),
      ),
    };
  }

  close(): void {
    this.subscriptions.unsubscribe();
    for (const {waiters} of this.accounts.values()) {
      for (const {resolve} of waiters.splice(0)) resolve(false);
    }
  }

  private accountOf(customer: string): Account {
    const known = this.accounts.get(customer);
    if (known) return known;
    const rate = this.options.rates()?.get(customer) ?? DEFAULT_RATE;
    const account: Account = {
      bucket: emptyBucket(rate, this.options.share(customer), this.nowMs()),
      demand: NO_DEMAND,
      waiters: [],
      isBorrowing: false,
      hasAccrued: false,
      nextBorrowAtMs: 0,
      unsuccessfulLenders: 0,
      lenderOffset: 0,
      isExhausted: false,
      hasGranted: false,
      borrowIntervalMs: BORROW_INTERVAL_MS,
    };
    this.accounts.set(customer, account);
    return account;
  }

  private updateAccounts(): void {
    const rates = this.options.rates();
    if (!rates) return;
    const changeToken = this.options.sharesChangeToken?.() ?? {};
    const {applied} = this;
    if (applied?.rates === rates && applied.changeToken === changeToken) return;
    this.applied = {rates, changeToken};
    const nowMs = this.nowMs();
    for (const [customer, rate] of rates) {
      const share = this.options.share(customer);
      this.updateAccount(customer, rate, share, nowMs);
    }
    this.initialRates ??= rates;
  }

  private updateAccount(
    customer: string,
    rate: Rate,
    share: number,
    nowMs: number,
  ): void {
    const isNew =
      this.initialRates !== undefined &&
      !this.initialRates.has(customer) &&
      !this.accounts.has(customer);
    const account = this.accountOf(customer);
    if (isNew) {
      // No VM can have granted tokens of a customer that did not exist before.
      account.bucket = fullBucket(rate, share, nowMs);
      account.hasAccrued = true;
      return;
    }
    const {bucket} = account;
    if (!account.hasAccrued && share > 0) {
      account.hasAccrued = true;
      const initialRate = this.initialRates?.get(customer) ?? rate;
      const kept = isSameRate(initialRate, rate)
        ? this.options.keptShare?.(customer)
        : undefined;
      account.bucket = firstBucket(rate, share, kept, nowMs);
      return;
    }
    const isSame = bucket.share === share && isSameRate(bucket.rate, rate);
    if (!isSame) account.bucket = reconfigureBucket(bucket, rate, share, nowMs);
  }

  /** Schedules a borrowing round if the balance is low or a request waits. */
  private scheduleBorrowing(customer: string, account: Account): void {
    if (account.isBorrowing) return;
    const nowMs = this.nowMs();
    const hasNoWaiters = account.waiters.length === 0;
    if (hasNoWaiters && this.missingTokens(account, nowMs) <= 0) return;
    account.isBorrowing = true;
    const delayMs = Math.max(0, account.nextBorrowAtMs - nowMs);
    setTimeout(() => void this.borrowRound(customer, account), delayMs);
  }

  private missingTokens(account: Account, nowMs: number): number {
    const {bucket, demand, waiters} = account;
    return tokensToBorrow(bucket, demand, waiters.length, nowMs);
  }

  /**
   * Borrows from the next lenders, grants or rejects waiting requests, and
   * schedules another round if any request still waits.
   */
  private async borrowRound(customer: string, account: Account): Promise<void> {
    const startedMs = this.nowMs();
    const wanted = this.missingTokens(account, startedMs);
    const lenders = this.options.lenders(customer);
    const contacted = this.nextLenders(lenders, account);
    let isUnsuccessful = false;
    if (wanted > 0) {
      // When no lender has a whole token, fractions of several may make one.
      const hasTriedAll = account.unsuccessfulLenders >= lenders.length;
      const least = hasTriedAll ? 0 : Math.min(1, wanted);
      const wantedPerLender = tokensPerLender(wanted, contacted.length);
      const successes = await Promise.all(
        contacted.map(vm =>
          this.borrowFrom(vm, account, {
            customer,
            wanted: wantedPerLender,
            least,
          }),
        ),
      );
      const firstSuccess = successes.indexOf(true);
      isUnsuccessful = firstSuccess < 0;
      account.lenderOffset += isUnsuccessful ? contacted.length : firstSuccess;
    }
    account.isBorrowing = false;
    account.unsuccessfulLenders = isUnsuccessful
      ? account.unsuccessfulLenders + contacted.length
      : 0;
    account.isExhausted =
      isUnsuccessful &&
      account.hasGranted &&
      account.unsuccessfulLenders >= lenders.length;
    account.borrowIntervalMs = account.isExhausted
      ? Math.min(MAX_BORROW_INTERVAL_MS, account.borrowIntervalMs * 2)
      : BORROW_INTERVAL_MS;
    account.nextBorrowAtMs = this.nowMs() + account.borrowIntervalMs;
    this.settle(account);
    if (account.isExhausted) this.rejectWaiters(account, startedMs);
    const isSatisfied = account.waiters.length === 0;
    if (isSatisfied) account.lenderOffset = 0;
    else this.scheduleBorrowing(customer, account);
  }

  /** Requests tokens from a lender; returns whether it lent any. */
  private async borrowFrom(
    vm: string,
    account: Account,
    request: LendRequest,
  ): Promise<boolean> {
    const requestedAtMs = this.nowMs();
    try {
      const lent = await this.options.requestTokens(vm, request);
      account.bucket = addLentTokens(
        account.bucket,
        lent,
        requestedAtMs,
        this.nowMs(),
      );
      this.settle(account);
      return lent.length > 0;
    } catch {
      // A lost response loses its tokens; the next round requests others.
      return false;
    }
  }

  /** Grants waiting requests in order; rejects those past their deadline. */
  private settle(account: Account): void {
    const nowMs = this.nowMs();
    while (account.waiters.length > 0) {
      const next = takeTokens(account.bucket, 1, nowMs);
      if (!next) break;
      account.bucket = next;
      account.hasGranted = true;
      account.waiters.shift()?.resolve(true);
    }
    while (
      account.waiters.length > 0 &&
      account.waiters[0].deadlineMs <= nowMs
    ) {
      account.waiters.shift()?.resolve(false);
    }
  }

  /**
   * Rejects requests that waited for a whole round in which no lender had a
   * token, except for as many as this VM accrues tokens for in time.
   */
  private rejectWaiters(account: Account, roundStartMs: number): void {
    const maxKept = this.tokensWithinMaxWait(account);
    const {waiters} = account;
    account.waiters = waiters.filter(
      ({sinceMs}, index) => index < maxKept || sinceMs > roundStartMs,
    );
    for (const waiter of waiters) {
      if (!account.waiters.includes(waiter)) waiter.resolve(false);
    }
  }

  /**
   * Returns the lenders of the next round: the preferred ones first, then those
   * that follow. The number doubles with each unsuccessful round, so that a
   * request does not wait long if no VM has a token.
   */
  private nextLenders(lenders: readonly string[], account: Account): string[] {
    const perRound = this.options.lendersPerRound ?? LENDERS_PER_ROUND;
    const {unsuccessfulLenders, isExhausted} = account;
    const inFirstRound = this.options.lendersInFirstRound ?? perRound;
    const count = isExhausted
      ? perRound
      : Math.max(
          unsuccessfulLenders === 0 ? inFirstRound : perRound,
          unsuccessfulLenders,
        );
    if (lenders.length <= count) return [...lenders];
    const start = account.lenderOffset % lenders.length;
    return [...lenders.slice(start), ...lenders.slice(0, start)].slice(
      0,
      count,
    );
  }

  /** Lends tokens to another VM; none while a request waits here. */
  lend({customer, wanted, least}: LendRequest): readonly LentInterval[] {
    const account = this.accountOf(customer);
    if (account.waiters.length > 0) return [];
    const nowMs = this.nowMs();
    const reserve = lenderReserve(account.bucket, account.demand, nowMs);
    const result = lendTokens(account.bucket, wanted, reserve, nowMs, least);
    account.bucket = result.bucket;
    return result.lent;
  }
}
