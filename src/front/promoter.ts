/** The port through which a front orders a promotion. */

/** Order to make a database the primary of a service. */
export interface PromotionOrder {
  readonly service: string;
  readonly database: string;
  /** VM that holds the coordinator lease. */
  readonly holder: string;
  /**
   * Number that rises with each holder of the coordinator lease. A platform
   * with fencing refuses an order whose number is lower than one it has seen.
   */
  readonly fencingToken: number;
}

/**
 * Outcome of an order; logged. `refused`: the fencing token is outdated or the
 * database does not run. `not_done`: not executed. `unknown`: executed, or may
 * still be.
 */
export type PromotionOutcome = 'done' | 'refused' | 'not_done' | 'unknown';

/** Sends an order to the platform. */
export type Promote = (order: PromotionOrder) => Promise<PromotionOutcome>;
