/**
 * Computes which share of each customer's rate this front accrues, and which
 * fronts can lend it tokens.
 */
import {FrontConfig} from '../core/front_config.js';
import {
  rateShareHoldersOf,
  rateShareHolderCount,
  FrontMember,
  Fronts,
} from '../core/fronts.js';
import {Place, rankByScore} from '../core/placement.js';

export interface RateSharesOptions {
  readonly self: string;
  readonly place: Place;
  readonly fronts: () => Fronts;
  /** Fronts that were registered when the store was first listed. */
  readonly frontsAtStart: () => Fronts;
  readonly config: () => FrontConfig | undefined;
  /**
   * Whether this front may accrue at all: its view of the store is fresh, it is
   * still registered, and the fronts whose shares it takes over have seen its
   * registration.
   */
  readonly mayAccrue: () => boolean;
}

interface ShareHolders {
  readonly size: number;
  readonly members: readonly FrontMember[];
  /**
   * Fraction of the rate that this front accrues; 0 if it is not among the
   * holders.
   */
  readonly share: number;
}

/**
 * What the shares were last computed from. Kept as the same object until a
 * value changes, so that callers can compare by identity.
 */
interface ShareInputs {
  readonly fronts: Fronts;
  readonly config: FrontConfig | undefined;
  readonly mayAccrue: boolean;
}

/** Splits each customer's rate into equal shares among its share holders. */
export class RateShares {
  private readonly holdersByCustomer = new Map<string, ShareHolders>();
  private lastInputs: ShareInputs | undefined;

  private constructor(private readonly options: RateSharesOptions) {}

  static create(options: RateSharesOptions): RateShares {
    return new RateShares(options);
  }

  /** Object that is replaced whenever any share may have changed. */
  get changeToken(): object {
    const fronts = this.options.fronts();
    const config = this.options.config();
    const mayAccrue = this.options.mayAccrue();
    const {lastInputs} = this;
    if (lastInputs?.fronts !== fronts) this.holdersByCustomer.clear();
    const isSame =
      lastInputs?.fronts === fronts &&
      lastInputs.config === config &&
      lastInputs.mayAccrue === mayAccrue;
    if (isSame && lastInputs) return lastInputs;
    this.lastInputs = {fronts, config, mayAccrue};
    return this.lastInputs;
  }

  /** Fraction of a customer's rate that this front accrues now, from 0 to 1. */
  shareOf(customer: string): number {
    return this.options.mayAccrue() ? this.shareHolders(customer).share : 0;
  }

  /** Fraction of a customer's rate that this front held when it started. */
  shareAtStartOf(customer: string): number {
    const {self, frontsAtStart} = this.options;
    const size = this.holderCountOf(customer);
    return shareOf(self, rateShareHoldersOf(frontsAtStart(), customer, size));
  }

  /** Other share holders of a customer, those in this front's region first. */
  lendersOf(customer: string): string[] {
    const {self, place} = this.options;
    // The order differs between fronts, so that no lender receives all
    // requests.
    const others = rankByScore(
      `${customer}/${self}`,
      this.shareHolders(customer).members.filter(front => front.vm !== self),
    );
    const isNear = (front: FrontMember): boolean =>
      front.place.region === place.region;
    return [
      ...others.filter(isNear),
      ...others.filter(front => !isNear(front)),
    ].map(front => front.vm);
  }

  private shareHolders(customer: string): ShareHolders {
    const {self, fronts} = this.options;
    const currentFronts = fronts();
    // Reading the token discards shares computed for earlier fronts.
    if (currentFronts !== this.lastInputs?.fronts) void this.changeToken;
    const size = this.holderCountOf(customer);
    const known = this.holdersByCustomer.get(customer);
    if (known?.size === size) return known;
    const members = rateShareHoldersOf(currentFronts, customer, size);
    const holders = {size, members, share: shareOf(self, members)};
    this.holdersByCustomer.set(customer, holders);
    return holders;
  }

  private holderCountOf(customer: string): number {
    const rate = this.options.config()?.customers.get(customer)?.rate;
    return rate ? rateShareHolderCount(rate) : 0;
  }
}

const shareOf = (self: string, holders: readonly FrontMember[]): number =>
  holders.some(front => front.vm === self) ? 1 / holders.length : 0;
