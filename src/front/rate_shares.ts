/** Which part of each customer's rate this front accrues, and who lends to it. */
import {FrontConfig} from '../core/front_config.js';
import {
  rateShareHoldersOf,
  rateShareHolderCount,
  FrontMember,
  Fronts,
} from '../core/fronts.js';
import {Place, rankByScore} from '../core/placement.js';

/** What shares are worked out from. */
export interface RateSharesOptions {
  readonly self: string;
  readonly place: Place;
  readonly fronts: () => Fronts;
  readonly config: () => FrontConfig | undefined;
  /**
   * Whether this front may accrue at all: in touch, sure of its entry, and
   * known to the fronts whose place it takes.
   */
  readonly mayAccrue: () => boolean;
}

interface Committee {
  readonly size: number;
  readonly members: readonly FrontMember[];
  /** Part of the rate that this front accrues as a member. */
  readonly share: number;
}

/** What shares depend on; the same object while nothing has changed. */
interface Basis {
  readonly fronts: Fronts;
  readonly config: FrontConfig | undefined;
  readonly mayAccrue: boolean;
}

/** Equal shares among the fronts of each customer's committee. */
export class RateShares {
  private readonly committees = new Map<string, Committee>();
  private known: Basis | undefined;

  private constructor(private readonly options: RateSharesOptions) {}

  static create(options: RateSharesOptions): RateShares {
    return new RateShares(options);
  }

  /** Differs from the last one when any share may have changed. */
  get changeToken(): object {
    const fronts = this.options.fronts();
    const config = this.options.config();
    const mayAccrue = this.options.mayAccrue();
    const {known} = this;
    if (known?.fronts !== fronts) this.committees.clear();
    const isSame =
      known?.fronts === fronts &&
      known.config === config &&
      known.mayAccrue === mayAccrue;
    if (isSame && known) return known;
    this.known = {fronts, config, mayAccrue};
    return this.known;
  }

  /** Part of a customer's rate that this front accrues now, 0 to 1. */
  shareOf(customer: string): number {
    return this.options.mayAccrue() ? this.committee(customer).share : 0;
  }

  /** Other fronts that accrue a customer's rate, those of the own region first. */
  lendersOf(customer: string): string[] {
    const {self, place} = this.options;
    // Each front has an order of its own, so that no lender is asked by all.
    const others = rankByScore(
      `${customer}/${self}`,
      this.committee(customer).members.filter(front => front.vm !== self),
    );
    const isNear = (front: FrontMember): boolean =>
      front.place.region === place.region;
    return [
      ...others.filter(isNear),
      ...others.filter(front => !isNear(front)),
    ].map(front => front.vm);
  }

  private committee(customer: string): Committee {
    const {self, config, fronts} = this.options;
    const present = fronts();
    if (present !== this.known?.fronts) void this.changeToken;
    const rate = config()?.customers.get(customer)?.rate;
    const size = rate ? rateShareHolderCount(rate) : 0;
    const known = this.committees.get(customer);
    if (known?.size === size) return known;
    const members = rateShareHoldersOf(present, customer, size);
    const isMember = members.some(front => front.vm === self);
    const share = isMember ? 1 / members.length : 0;
    const committee = {size, members, share};
    this.committees.set(customer, committee);
    return committee;
  }
}
