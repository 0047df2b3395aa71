/** The port through which a front orders a change of primary. */

/** Names the database that is to lead. */
export interface PromotionOrder {
  readonly service: string;
  readonly database: string;
  readonly holder: string;
  /** Rises with each holder; a lower one is refused. */
  readonly fencingToken: number;
}

/** `refused`: the fence is outdated, or the database does not run. */
export type PromotionOutcome = 'done' | 'refused' | 'not_done' | 'unknown';

/** Gives the order. */
export type Promote = (order: PromotionOrder) => Promise<PromotionOutcome>;
