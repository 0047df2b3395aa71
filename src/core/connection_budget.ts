/**
 * How many connections a VM may hold at a database while others hold a part of
 * what the database allows, as those of a VM that lost power do for a while.
 */

/** What is known of the room at a database. Immutable. */
export interface ConnectionBudget {
  /** Connections that were found possible; infinite while none was refused. */
  readonly limit: number;
  /** When another connection may be opened. */
  readonly nextOpenAtMs: number;
  /** When one connection more may be tried. */
  readonly nextGrowthAtMs: number;
}

/** Part of a database's connections that its holder may always use. */
const HOLDER_PART = 0.6;
/** Connections that stay free: a holder's successor needs some at once. */
const HOLDER_RESERVE = 10;
const OTHER_PART = 0.15;
const OTHER_MAX = 5;

/**
 * Connections that a VM may hold at a database that allows `most`: as many as
 * possible for the one that should hold them, as each is bound to a customer;
 * few for the others, which stand in for it. The rest stays free, because those
 * of a VM that lost power linger.
 */
export function usualLimit(most: number, isHolder: boolean): number {
  const limit = isHolder
    ? Math.max(most * HOLDER_PART, most - HOLDER_RESERVE)
    : Math.min(most * OTHER_PART, OTHER_MAX);
  return Math.max(1, Math.floor(limit));
}

/** Wait before a new connection after one was refused. */
const REOPEN_PAUSE_MS = 120;

export const FULL_BUDGET: ConnectionBudget = {
  limit: Infinity,
  nextOpenAtMs: 0,
  nextGrowthAtMs: 0,
};

/** Whether connections were refused of late. */
export const isReduced = (budget: ConnectionBudget): boolean =>
  budget.limit !== Infinity;

/** A connection was refused while `usable` others were open. */
export function reduceBudget(usable: number, nowMs: number): ConnectionBudget {
  const againMs = nowMs + REOPEN_PAUSE_MS;
  return {
    limit: Math.max(1, usable),
    nextOpenAtMs: againMs,
    nextGrowthAtMs: againMs,
  };
}

/** One connection more, when it is time, until the usual limit is reached. */
export function growBudget(
  budget: ConnectionBudget,
  usualLimit: number,
  nowMs: number,
): ConnectionBudget {
  if (!isReduced(budget) || nowMs <= budget.nextGrowthAtMs) return budget;
  const limit = budget.limit + 1;
  if (limit >= usualLimit)
    return {...FULL_BUDGET, nextOpenAtMs: budget.nextOpenAtMs};
  return {...budget, limit, nextGrowthAtMs: nowMs + REOPEN_PAUSE_MS};
}
