/** Decides when a pool opens, probes and closes connections. */

/** Connections of one pool by state, and its waiting requests. */
export interface PoolCounts {
  readonly limit: number;
  readonly idle: number;
  readonly busy: number;
  readonly connecting: number;
  /** Number of requests that only lack a connection to start. */
  readonly waiting: number;
}

/** Consecutive failures to connect, and when to try again. */
export interface ConnectHistory {
  readonly failures: number;
  readonly retryAtMs: number;
}

const MAX_CONNECTING = 4;
const BACKOFF_BASE_MS = 50;
const BACKOFF_MAX_MS = 1_000;
/** Idle connections kept ready, so that requests rarely wait for one. */
const SPARE_CONNECTIONS = 1;

export const NO_FAILURES: ConnectHistory = {failures: 0, retryAtMs: 0};

/** Returns how many connections to start opening now. */
export function connectionsToOpen(
  counts: PoolCounts,
  history: ConnectHistory,
  nowMs: number,
): number {
  if (nowMs < history.retryAtMs) return 0;
  const held = counts.idle + counts.busy + counts.connecting;
  const wanted =
    counts.waiting + SPARE_CONNECTIONS - counts.idle - counts.connecting;
  const maxConnecting = history.failures > 0 ? 1 : MAX_CONNECTING;
  return Math.max(
    0,
    Math.min(wanted, counts.limit - held, maxConnecting - counts.connecting),
  );
}

/** Doubles the backoff after a failure; jitter comes from `random` in [0,1). */
export function recordConnectFailure(
  history: ConnectHistory,
  nowMs: number,
  random: number,
): ConnectHistory {
  const failures = history.failures + 1;
  const ceiling = Math.min(
    BACKOFF_MAX_MS,
    BACKOFF_BASE_MS * 2 ** Math.min(failures, 10),
  );
  return {failures, retryAtMs: nowMs + ceiling * (0.5 + random / 2)};
}

/** `retire`: close the connection, because its probe was not answered. */
export const IdleAction = {
  keep: 'keep',
  probe: 'probe',
  retire: 'retire',
} as const;
export type IdleAction = (typeof IdleAction)[keyof typeof IdleAction];

/** Liveness of an idle connection. */
export interface Liveness {
  readonly lastSeenAtMs: number;
  /** When a probe was sent that is still unanswered. */
  readonly probedAtMs: number | undefined;
}

export const PROBE_AFTER_MS = 1_000;
export const PROBE_TIMEOUT_MS = 1_000;

/** Probes a connection that was silent; retires it if the probe times out. */
export function checkIdle(liveness: Liveness, nowMs: number): IdleAction {
  const {lastSeenAtMs, probedAtMs} = liveness;
  if (probedAtMs !== undefined) {
    return nowMs - probedAtMs > PROBE_TIMEOUT_MS
      ? IdleAction.retire
      : IdleAction.keep;
  }
  return nowMs - lastSeenAtMs > PROBE_AFTER_MS
    ? IdleAction.probe
    : IdleAction.keep;
}

/**
 * Whether the whole pool has become unresponsive, so that busy connections must
 * be suspected as well: probes of idle connections timed out, and no connection
 * that was open then has received anything since.
 */
export const isPoolUnresponsive = (
  retired: number,
  oldSurvivors: number,
): boolean => retired > 0 && oldSurvivors === 0;

/** Use of a pool by one customer. */
export interface CustomerUse {
  readonly limit: number;
  /** Connections in use by all customers. */
  readonly used: number;
  /** Connections in use by the customer. */
  readonly held: number;
}

const MAX_CUSTOMER_FRACTION = 0.5;
const RESERVED_FRACTION = 0.25;

/**
 * Whether a customer must leave free connections to others: it holds half of
 * the pool, and at most a quarter is free. Open transactions pin connections,
 * so without this rule one customer could pin all of them.
 */
export const mustYieldConnection = (use: CustomerUse): boolean =>
  use.held >= Math.ceil(use.limit * MAX_CUSTOMER_FRACTION) &&
  use.limit - use.used <= Math.floor(use.limit * RESERVED_FRACTION);
