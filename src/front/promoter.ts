/** The port through which a front orders a change of primary. */

/** Names the database that is to lead. */
export interface PromoteOrder {
  readonly service: string;
  readonly database: string;
  readonly holder: string;
  /** Rises with each holder; a lower one is refused. */
  readonly fence: number;
}

/** `refused`: the fence is outdated, or the database does not run. */
export type PromoteOutcome = 'done' | 'refused' | 'not_done' | 'unknown';

/** Gives the order. */
export type Promote = (order: PromoteOrder) => Promise<PromoteOutcome>;
