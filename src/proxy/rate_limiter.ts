/** Grants requests from this VM's share of each rate, borrowing from peers. */
import {interval, Observable, Subscription} from 'rxjs';
import {
  addDemand,
  availableTokens,
  TokenBucket,
  Demand,
  emptyBucket,
  fullBucket,
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

/** A request for tokens of one customer. */
export interface LendRequest {
  readonly customer: string;
  readonly wanted: number;
  /** Fewer tokens than these are of no use; by default any are. */
  readonly least?: number;
}

/** What the keeper needs. */
export interface RateLimiterOptions {
  /** Rates by customer; undefined until a configuration is known. */
  readonly rates: () => ReadonlyMap<string, Rate> | undefined;
  /** Emits when the rates may have changed. */
  readonly changed$: Observable<unknown>;
  /** VMs that may lend, best first. */
  readonly lenders: (customer: string) => readonly string[];
  /** Asks another VM; fails when it does not answer. */
  readonly requestTokens: (
    vm: string,
    request: LendRequest,
  ) => Promise<readonly LentInterval[]>;
  /** VMs asked in one round. */
  readonly lendersPerRound?: number;
  /** VMs asked in the first round; by default as many as in the others. */
  readonly lendersInFirstRound?: number;
  /** Longest wait for a token before a request is refused. */
  readonly maxWaitMs?: number;
  /**
   * Steady time since which this VM has held its shares without using them;
   * by default since an account is first used.
   */
  readonly accrualStartMs?: () => number;
  /** The steady clock, in milliseconds. */
  readonly nowMs?: () => number;
  /** This VM's present share of a customer's rate, 0 to 1. */
  readonly share: (customer: string) => number;
  /**
   * What the shares depend on: they are read again only when this is another
   * object. By default they are read at each refresh.
   */
  readonly sharesChangeToken?: () => object;
}

interface Waiter {
  readonly sinceMs: number;
  readonly untilMs: number;
  readonly answer: (granted: boolean) => void;
}

interface Account {
  bucket: TokenBucket;
  demand: Demand;
  waiting: Waiter[];
  borrowing: boolean;
  /** Whether this VM has held a share since the account was made. */
  hasAccrued: boolean;
  nextBorrowAtMs: number;
  /** Pause between rounds of borrowing. */
  spacingMs: number;
  /** Lenders asked in turn, none of which had any. */
  drained: number;
  /** Place of the next lender to ask; 0: the best. */
  firstLender: number;
  /** No lender had any when last asked: waiting is of little use. */
  isDry: boolean;
  /** A token was granted before: the fleet has begun to accrue. */
  hasGranted: boolean;
}

/** Rate of callers on open services that are no configured customer. */
const DEFAULT_RATE: Rate = {ratePerS: 100, burst: 100};
const BORROW_SPACING_MS = 20;
/** Spacing after rounds in which nobody had tokens to lend. */
const MAX_BORROW_SPACING_MS = 80;
const MAX_LENDERS = 8;
const MAX_WAITING = 1_000;
const MS_PER_S = 1_000;
const REFRESH_MS = 100;
/** Longest wait for a token before a request is refused. */
const MAX_WAIT_MS = 250;

/**
 * What each of several lenders is asked for: more than its part, as some will
 * have less, and a whole token where one is needed.
 */
const wantedOfEach = (wanted: number, lenders: number): number =>
  lenders > 1
    ? Math.max(Math.min(1, wanted), (wanted / lenders) * 1.5)
    : wanted;

/** Monotonic time, so that a clock step neither mints nor loses tokens. */
const monotonicMs = (): number => performance.now();

/** The customers' accounts at this VM. */
export class RateLimiter {
  private readonly accounts = new Map<string, Account>();
  private readonly subscriptions = new Subscription();
  /** Customers that the first configuration seen here already held. */
  private known: ReadonlySet<string> | undefined;
  /** Rates and shares that the accounts were last brought to. */
  private applied: {readonly rates: object; readonly basis: object} | undefined;

  private readonly nowMs: () => number;

  private constructor(private readonly options: RateLimiterOptions) {
    this.nowMs = options.nowMs ?? monotonicMs;
    this.subscriptions.add(options.changed$.subscribe(() => this.reshapeAll()));
    this.subscriptions.add(
      interval(REFRESH_MS).subscribe(() => this.reshapeAll()),
    );
  }

  static create(options: RateLimiterOptions): RateLimiter {
    return new RateLimiter(options);
  }

  /** Takes one token: at once, after borrowing, or not at all. */
  admit(customer: string): boolean | Promise<boolean> {
    const account = this.accountOf(customer);
    const nowMs = this.nowMs();
    account.demand = addDemand(account.demand, 1, nowMs);
    const next =
      account.waiting.length === 0
        ? takeTokens(account.bucket, 1, nowMs)
        : undefined;
    if (next) {
      account.bucket = next;
      account.hasGranted = true;
      this.refill(customer, account);
      return true;
    }
    if (account.waiting.length >= MAX_WAITING) return false;
    // One waits, so that tokens that accrue elsewhere are still asked for.
    const mayWait = Math.max(1, this.ownTokensInTime(account));
    if (account.isDry && account.waiting.length >= mayWait) return false;
    return new Promise(answer => {
      const untilMs = nowMs + this.maxWaitMs;
      account.waiting.push({sinceMs: nowMs, untilMs, answer});
      this.refill(customer, account);
    });
  }

  private get maxWaitMs(): number {
    return this.options.maxWaitMs ?? MAX_WAIT_MS;
  }

  /** Whole tokens that accrue here in the longest wait. */
  private ownTokensInTime({bucket}: Account): number {
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
    for (const {waiting} of this.accounts.values()) {
      for (const {answer} of waiting.splice(0)) answer(false);
    }
  }

  private accountOf(customer: string): Account {
    const known = this.accounts.get(customer);
    if (known) return known;
    const rate = this.options.rates()?.get(customer) ?? DEFAULT_RATE;
    const account: Account = {
      bucket: emptyBucket(rate, this.options.share(customer), this.nowMs()),
      demand: NO_DEMAND,
      waiting: [],
      borrowing: false,
      hasAccrued: false,
      nextBorrowAtMs: 0,
      drained: 0,
      firstLender: 0,
      isDry: false,
      hasGranted: false,
      spacingMs: BORROW_SPACING_MS,
    };
    this.accounts.set(customer, account);
    return account;
  }

  private reshapeAll(): void {
    const rates = this.options.rates();
    if (!rates) return;
    const basis = this.options.sharesChangeToken?.() ?? {};
    const {applied} = this;
    if (applied?.rates === rates && applied.basis === basis) return;
    this.applied = {rates, basis};
    const nowMs = this.nowMs();
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
      const fromMs = this.options.accrualStartMs?.() ?? nowMs;
      account.bucket = emptyBucket(rate, share, fromMs);
      return;
    }
    const same =
      bucket.share === share &&
      bucket.rate.ratePerS === rate.ratePerS &&
      bucket.rate.burst === rate.burst;
    if (!same) account.bucket = reconfigureBucket(bucket, rate, share, nowMs);
  }

  /** Starts a round of borrowing when the stock runs low or someone waits. */
  private refill(customer: string, account: Account): void {
    if (account.borrowing) return;
    const nowMs = this.nowMs();
    const idle = account.waiting.length === 0;
    if (idle && this.wanted(account, nowMs) <= 0) return;
    account.borrowing = true;
    const delayMs = Math.max(0, account.nextBorrowAtMs - nowMs);
    setTimeout(() => void this.round(customer, account), delayMs);
  }

  private wanted(account: Account, nowMs: number): number {
    const {bucket, demand, waiting} = account;
    return tokensToBorrow(bucket, demand, waiting.length, nowMs);
  }

  /** One round: borrow, answer those who wait, and go on while any does. */
  private async round(customer: string, account: Account): Promise<void> {
    const startedMs = this.nowMs();
    const wanted = this.wanted(account, startedMs);
    const peers = this.options.lenders(customer);
    const lenders = this.nextLenders(peers, account);
    let isShort = false;
    if (wanted > 0) {
      // Once all were asked in vain, several fractions may add up to a token.
      const wasAsked = account.drained >= peers.length;
      const least = wasAsked ? 0 : Math.min(1, wanted);
      const each = wantedOfEach(wanted, lenders.length);
      const answers = await Promise.all(
        lenders.map(vm =>
          this.borrowFrom(vm, account, {customer, wanted: each, least}),
        ),
      );
      const generous = answers.indexOf(true);
      isShort = generous < 0;
      account.firstLender += isShort ? lenders.length : generous;
    }
    account.borrowing = false;
    account.drained = isShort ? account.drained + lenders.length : 0;
    account.isDry =
      isShort && account.hasGranted && account.drained >= peers.length;
    account.spacingMs = account.isDry
      ? Math.min(MAX_BORROW_SPACING_MS, account.spacingMs * 2)
      : BORROW_SPACING_MS;
    account.nextBorrowAtMs = this.nowMs() + account.spacingMs;
    this.settle(account);
    if (account.isDry) this.refuseSince(account, startedMs);
    const isMet = account.waiting.length === 0;
    if (isMet) account.firstLender = 0;
    else this.refill(customer, account);
  }

  /** Whether the lender had any. */
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
      // A lost answer loses the tokens; the next round asks again.
      return false;
    }
  }

  /** Grants those who wait, in order; refuses those who waited too long. */
  private settle(account: Account): void {
    const nowMs = this.nowMs();
    while (account.waiting.length > 0) {
      const next = takeTokens(account.bucket, 1, nowMs);
      if (!next) break;
      account.bucket = next;
      account.hasGranted = true;
      account.waiting.shift()?.answer(true);
    }
    while (account.waiting.length > 0 && account.waiting[0].untilMs <= nowMs) {
      account.waiting.shift()?.answer(false);
    }
  }

  /**
   * Refuses those who waited for a whole round in which no lender had a token,
   * but for as many as tokens accrue here in time.
   */
  private refuseSince(account: Account, startedMs: number): void {
    const own = this.ownTokensInTime(account);
    const {waiting} = account;
    account.waiting = waiting.filter(
      ({sinceMs}, place) => place < own || sinceMs > startedMs,
    );
    for (const waiter of waiting) {
      if (!account.waiting.includes(waiter)) waiter.answer(false);
    }
  }

  /**
   * The best lenders, then the next ones, twice as many each round: those who
   * wait soon know whether anyone has a token.
   */
  private nextLenders(peers: readonly string[], account: Account): string[] {
    const most = this.options.lendersPerRound ?? MAX_LENDERS;
    const {drained, isDry} = account;
    const first = this.options.lendersInFirstRound ?? most;
    const count = isDry
      ? most
      : Math.max(drained === 0 ? first : most, drained);
    if (peers.length <= count) return [...peers];
    const start = account.firstLender % peers.length;
    return [...peers.slice(start), ...peers.slice(0, start)].slice(0, count);
  }

  /** Lends tokens to another VM. */
  lend({customer, wanted, least}: LendRequest): readonly LentInterval[] {
    const account = this.accountOf(customer);
    if (account.waiting.length > 0) return [];
    const nowMs = this.nowMs();
    const reserve = lenderReserve(account.bucket, account.demand, nowMs);
    const result = lendTokens(account.bucket, wanted, reserve, nowMs, least);
    account.bucket = result.bucket;
    return result.lent;
  }
}
