/**
 * Limits the connections of a VM at a database when the database accepts fewer
 * than usual, for example because it still counts the connections of a VM
 * that lost power.
 */

/** The current limit and the earliest times of new connections. Immutable. */
export interface ConnectionBudget {
  /**
   * Connections that the database accepted; infinite while none was rejected.
   */
  readonly limit: number;
  /** Earliest time of the next connection attempt. */
  readonly nextOpenAtMs: number;
  /** Earliest time of the next increase of the limit. */
  readonly nextGrowthAtMs: number;
}

/**
 * Fraction of a database's connections that its holder, the VM that keeps
 * them for the whole fleet, may always use.
 */
const HOLDER_FRACTION = 0.6;
/** Connections left free for a holder's successor, which needs some at once. */
const RESERVED_CONNECTIONS = 10;
const OTHER_FRACTION = 0.15;
const OTHER_MAX_CONNECTIONS = 5;

/**
 * Returns how many connections a VM may hold at a database that accepts
 * `maxConnections`: many for the holder, because each connection is bound to
 * one customer, and few for other VMs, which only substitute for it. The rest
 * stays free, because the connections of a VM that lost power remain open for a
 * while.
 */
export function usualLimit(maxConnections: number, isHolder: boolean): number {
  const limit = isHolder
    ? Math.max(
        maxConnections * HOLDER_FRACTION,
        maxConnections - RESERVED_CONNECTIONS,
      )
    : Math.min(maxConnections * OTHER_FRACTION, OTHER_MAX_CONNECTIONS);
  return Math.max(1, Math.floor(limit));
}

/** Pause before another connection attempt after a rejected one. */
const REOPEN_PAUSE_MS = 120;

export const FULL_BUDGET: ConnectionBudget = {
  limit: Infinity,
  nextOpenAtMs: 0,
  nextGrowthAtMs: 0,
};

/** Whether the limit is reduced because of rejected connections. */
export const isReduced = (budget: ConnectionBudget): boolean =>
  budget.limit !== Infinity;

/**
 * Returns the budget after a rejection while `usable` connections were open.
 */
export function reduceBudget(usable: number, nowMs: number): ConnectionBudget {
  const retryAtMs = nowMs + REOPEN_PAUSE_MS;
  return {
    limit: Math.max(1, usable),
    nextOpenAtMs: retryAtMs,
    nextGrowthAtMs: retryAtMs,
  };
}

/** Raises the limit by one, if due, until the usual limit is reached. */
export function growBudget(
  budget: ConnectionBudget,
  usualLimit: number,
  nowMs: number,
): ConnectionBudget {
  if (!isReduced(budget) || nowMs <= budget.nextGrowthAtMs) return budget;
  const limit = budget.limit + 1;
  if (limit >= usualLimit) {
    return {...FULL_BUDGET, nextOpenAtMs: budget.nextOpenAtMs};
  }
  return {...budget, limit, nextGrowthAtMs: nowMs + REOPEN_PAUSE_MS};
}
