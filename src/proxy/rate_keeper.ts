/** Grants requests from this VM's share of each rate, borrowing from peers. */
import {interval, Observable, Subscription} from 'rxjs';
import {
  addDemand,
  balance,
  Bucket,
  Demand,
  emptyBucket,
  fullBucket,
  lend,
  LentStretch,
  NO_DEMAND,
  Rate,
  receive,
  reserveOf,
  reshape,
  take,
  wantedTokens,
} from '../core/rates.js';

/** A request for tokens of one customer. */
export interface LendRequest {
  readonly customer: string;
  readonly wanted: number;
}

/** What the keeper needs. */
export interface RateKeeperOptions {
  /** Rates by customer; undefined until a configuration is known. */
  readonly rates: () => ReadonlyMap<string, Rate> | undefined;
  /** Emits when the rates may have changed. */
  readonly changed$: Observable<unknown>;
  /** VMs that may lend, best first. */
  readonly lenders: (customer: string) => readonly string[];
  /** Asks another VM; fails when it does not answer. */
  readonly askLender: (
    vm: string,
    request: LendRequest,
  ) => Promise<readonly LentStretch[]>;
  /** VMs asked in one round. */
  readonly maxLenders?: number;
  /** Longest wait for a token before a request is refused. */
  readonly maxWaitMs?: number;
  /**
   * Steady time since which this VM has held its shares without using them;
   * by default since an account is first used.
   */
  readonly accruesFromMs?: () => number;
  /** This VM's present share of a customer's rate, 0 to 1. */
  readonly share: (customer: string) => number;
}

interface Waiter {
  readonly untilMs: number;
  readonly answer: (granted: boolean) => void;
}

interface Account {
  bucket: Bucket;
  demand: Demand;
  waiting: Waiter[];
  borrowing: boolean;
  /** Whether this VM has held a share since the account was made. */
  hasAccrued: boolean;
  nextBorrowAtMs: number;
  /** Pause between rounds of borrowing. */
  spacingMs: number;
  /** Rounds of borrowing after which someone still waited. */
  unmetRounds: number;
}

/** Rate of callers on open services that are no configured customer. */
const DEFAULT_RATE: Rate = {ratePerS: 100, burst: 100};
const BORROW_SPACING_MS = 20;
/** Spacing after rounds in which nobody had tokens to lend. */
const MAX_BORROW_SPACING_MS = 80;
const MAX_LENDERS = 8;
const MAX_WAITING = 1_000;
const REFRESH_MS = 100;
/** Longest wait for a token before a request is refused. */
const MAX_WAIT_MS = 250;

/** Monotonic time, so that a clock step neither mints nor loses tokens. */
const monotonicMs = (): number => performance.now();

/** The customers' accounts at this VM. */
export class RateKeeper {
  private readonly accounts = new Map<string, Account>();
  private readonly subscriptions = new Subscription();
  /** Customers that the first configuration seen here already held. */
  private known: ReadonlySet<string> | undefined;

  private constructor(private readonly options: RateKeeperOptions) {
    this.subscriptions.add(options.changed$.subscribe(() => this.reshapeAll()));
    this.subscriptions.add(
      interval(REFRESH_MS).subscribe(() => this.reshapeAll()),
    );
  }

  static create(options: RateKeeperOptions): RateKeeper {
    return new RateKeeper(options);
  }

  /** Takes one token: at once, after borrowing, or not at all. */
  admit(customer: string): boolean | Promise<boolean> {
    const account = this.accountOf(customer);
    const nowMs = monotonicMs();
    account.demand = addDemand(account.demand, 1, nowMs);
    const next =
      account.waiting.length === 0 ? take(account.bucket, 1, nowMs) : undefined;
    if (next) {
      account.bucket = next;
      this.refill(customer, account);
      return true;
    }
    if (account.waiting.length >= MAX_WAITING) return false;
    return new Promise(answer => {
      const waitMs = this.options.maxWaitMs ?? MAX_WAIT_MS;
      account.waiting.push({untilMs: nowMs + waitMs, answer});
      this.refill(customer, account);
    });
  }

  dump(): object {
    const nowMs = monotonicMs();
    return {
      share: this.options.share(''),
      balances: Object.fromEntries(
        [...this.accounts].map(([name, account]) => [
          name,
          Number(balance(account.bucket, nowMs).toFixed(3)),
        ]),
      ),
    };
  }

  close(): void {
    this.subscriptions.unsubscribe();
    for (const {waiting} of this.accounts.values()) {
      for (const {answer} of waiting.splice(0)) answer(false);
    }
  }

  private accountOf(customer: string): Account {
    const known = this.accounts.get(customer);
    if (known) return known;
    const rate = this.options.rates()?.get(customer) ?? DEFAULT_RATE;
    const account: Account = {
      bucket: emptyBucket(rate, this.options.share(customer), monotonicMs()),
      demand: NO_DEMAND,
      waiting: [],
      borrowing: false,
      hasAccrued: false,
      nextBorrowAtMs: 0,
      unmetRounds: 0,
      spacingMs: BORROW_SPACING_MS,
    };
    this.accounts.set(customer, account);
    return account;
  }

  private reshapeAll(): void {
    const rates = this.options.rates();
    if (!rates) return;
    const nowMs = monotonicMs();
    for (const [customer, rate] of rates) {
      const share = this.options.share(customer);
      this.reshapeOne(customer, rate, share, nowMs);
    }
    this.known ??= new Set(rates.keys());
  }

  private reshapeOne(
    customer: string,
    rate: Rate,
    share: number,
    nowMs: number,
  ): void {
    const isNew =
      this.known !== undefined &&
      !this.known.has(customer) &&
      !this.accounts.has(customer);
    const account = this.accountOf(customer);
    if (isNew) {
      // Nobody can have spent a token of a customer that has just appeared.
      account.bucket = fullBucket(rate, share, nowMs);
      account.hasAccrued = true;
      return;
    }
    const {bucket} = account;
    if (!account.hasAccrued && share > 0) {
      account.hasAccrued = true;
      const fromMs = this.options.accruesFromMs?.() ?? nowMs;
      account.bucket = emptyBucket(rate, share, fromMs);
      return;
    }
    const same =
      bucket.share === share &&
      bucket.rate.ratePerS === rate.ratePerS &&
      bucket.rate.burst === rate.burst;
    if (!same) account.bucket = reshape(bucket, rate, share, nowMs);
  }

  /** Starts a round of borrowing when the stock runs low or someone waits. */
  private refill(customer: string, account: Account): void {
    if (account.borrowing) return;
    const nowMs = monotonicMs();
    const idle = account.waiting.length === 0;
    if (idle && this.wanted(account, nowMs) <= 0) return;
    account.borrowing = true;
    const delayMs = Math.max(0, account.nextBorrowAtMs - nowMs);
    setTimeout(() => void this.round(customer, account), delayMs);
  }

  private wanted(account: Account, nowMs: number): number {
    const {bucket, demand, waiting} = account;
    return wantedTokens(bucket, demand, waiting.length, nowMs);
  }

  /** One round: borrow, answer those who wait, and go on while any does. */
  private async round(customer: string, account: Account): Promise<void> {
    const wanted = this.wanted(account, monotonicMs());
    const lenders = this.lenders(customer, account);
    let got = false;
    if (wanted > 0 && lenders.length > 0) {
      const each = (wanted / lenders.length) * 1.5;
      const answers = await Promise.all(
        lenders.map(vm => this.borrowFrom(vm, customer, account, each)),
      );
      got = answers.includes(true);
    }
    account.borrowing = false;
    account.spacingMs = got
      ? BORROW_SPACING_MS
      : Math.min(MAX_BORROW_SPACING_MS, account.spacingMs * 2);
    account.nextBorrowAtMs = monotonicMs() + account.spacingMs;
    this.settle(account);
    const isMet = account.waiting.length === 0;
    account.unmetRounds = isMet ? 0 : account.unmetRounds + 1;
    if (!isMet) this.refill(customer, account);
  }

  private async borrowFrom(
    vm: string,
    customer: string,
    account: Account,
    wanted: number,
  ): Promise<boolean> {
    const requestedAtMs = monotonicMs();
    try {
      const request = {customer, wanted};
      const lent = await this.options.askLender(vm, request);
      account.bucket = receive(
        account.bucket,
        lent,
        requestedAtMs,
        monotonicMs(),
      );
      this.settle(account);
      return lent.length > 0;
    } catch {
      // A lost answer loses the tokens; the next round asks again.
      return false;
    }
  }

  /** Grants those who wait, in order; refuses those who waited too long. */
  private settle(account: Account): void {
    const nowMs = monotonicMs();
    while (account.waiting.length > 0) {
      const next = take(account.bucket, 1, nowMs);
      if (!next) break;
      account.bucket = next;
      account.waiting.shift()?.answer(true);
    }
    while (account.waiting.length > 0 && account.waiting[0].untilMs <= nowMs) {
      account.waiting.shift()?.answer(false);
    }
  }

  /** The best lenders, or the next ones while these do not suffice. */
  private lenders(customer: string, account: Account): string[] {
    const peers = this.options.lenders(customer);
    const most = this.options.maxLenders ?? MAX_LENDERS;
    if (peers.length <= most) return [...peers];
    const start = (account.unmetRounds * most) % peers.length;
    return [...peers.slice(start), ...peers.slice(0, start)].slice(0, most);
  }

  /** Lends tokens to another VM. */
  lend({customer, wanted}: LendRequest): readonly LentStretch[] {
    const account = this.accountOf(customer);
    if (account.waiting.length > 0) return [];
    const nowMs = monotonicMs();
    const reserve = reserveOf(account.bucket, account.demand, nowMs);
    const result = lend(account.bucket, wanted, reserve, nowMs);
    account.bucket = result.bucket;
    return result.lent;
  }
}
