/** Decides when a pool opens, probes and retires connections. */

/** Counts of one pool. */
export interface PoolCounts {
  readonly limit: number;
  readonly idle: number;
  readonly busy: number;
  readonly connecting: number;
  /** Requests that could start now if they had a connection. */
  readonly waiting: number;
}

/** Failures to connect lately. */
export interface ConnectHistory {
  readonly failures: number;
  readonly retryAtMs: number;
}

const MAX_CONNECTING = 4;
const BACKOFF_BASE_MS = 50;
const BACKOFF_MAX_MS = 1_000;
/** Idle connections kept ready, so that a request seldom waits for one. */
const SPARE = 1;

export const NO_FAILURES: ConnectHistory = {failures: 0, retryAtMs: 0};

/** How many connections to start opening now. */
export function connectionsToOpen(
  counts: PoolCounts,
  history: ConnectHistory,
  nowMs: number,
): number {
  if (nowMs < history.retryAtMs) return 0;
  const held = counts.idle + counts.busy + counts.connecting;
  const wanted = counts.waiting + SPARE - counts.idle - counts.connecting;
  const pace = history.failures > 0 ? 1 : MAX_CONNECTING;
  return Math.max(
    0,
    Math.min(wanted, counts.limit - held, pace - counts.connecting),
  );
}

/** Doubles the pause after each failure, with jitter from `random` in [0,1). */
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

/** What to do with an idle connection. */
export const IdleAction = {
  keep: 'keep',
  probe: 'probe',
  retire: 'retire',
} as const;
export type IdleAction = (typeof IdleAction)[keyof typeof IdleAction];

/** When a connection was last known to work. */
export interface Liveness {
  readonly heardAtMs: number;
  /** When an unanswered probe was sent. */
  readonly probedAtMs: number | undefined;
}

export const PROBE_AFTER_MS = 1_000;
export const PROBE_TIMEOUT_MS = 1_000;

/** Checks one idle connection. */
export function checkIdle(liveness: Liveness, nowMs: number): IdleAction {
  const {heardAtMs, probedAtMs} = liveness;
  if (probedAtMs !== undefined) {
    return nowMs - probedAtMs > PROBE_TIMEOUT_MS
      ? IdleAction.retire
      : IdleAction.keep;
  }
  return nowMs - heardAtMs > PROBE_AFTER_MS
    ? IdleAction.probe
    : IdleAction.keep;
}

/**
 * Whether silence has struck the whole pool, so that busy connections are in
 * doubt as well: idle connections left their probes unanswered, and none that
 * is as old has been heard since.
 */
export const isPoolUnresponsive = (
  retired: number,
  oldSurvivors: number,
): boolean => retired > 0 && oldSurvivors === 0;

/** Connections of one pool that a customer uses. */
export interface CustomerUse {
  readonly limit: number;
  /** Connections in use by anyone. */
  readonly used: number;
  /** Connections in use by the customer. */
  readonly held: number;
}

const MAX_CUSTOMER_PART = 0.5;
const RESERVED_PART = 0.25;

/**
 * Whether a customer must leave a connection to others: it holds half of the
 * pool, and only the last quarter is free. Open transactions keep connections,
 * so that without this one customer could hold them all.
 */
export const mustYieldConnection = (use: CustomerUse): boolean =>
  use.held >= Math.ceil(use.limit * MAX_CUSTOMER_PART) &&
  use.limit - use.used <= Math.floor(use.limit * RESERVED_PART);
