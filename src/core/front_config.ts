/**
 * The operators' configuration as a front uses it: routes by the database name
 * that callers ask for, customers by key. Immutable and versioned; an earlier
 * version is never taken after a later one.
 */
import {Rate} from './rates.js';

/** How fresh a route's reads must be. */
export const Freshness = {
  /** Every acknowledged commit is seen. */
  primary: 'primary',
  /** Commits older than the allowed age are seen. */
  bounded: 'bounded',
  /** As `bounded`, and the session's own commits. */
  readYourWrites: 'read_your_writes',
} as const;
export type Freshness = (typeof Freshness)[keyof typeof Freshness];

/** Where statements for one database name go. */
export interface RouteConfig {
  readonly name: string;
  readonly database: string;
  readonly service: string;
  readonly freshness: Freshness;
  readonly maxStalenessMs: number;
  /** Time limit of one statement. */
  readonly timeoutMs: number;
  /** Objective for a whole operation. */
  readonly objectiveMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** Whether callers without a key are served. */
  readonly open: boolean;
}

/** A group of databases. */
export interface FrontService {
  readonly name: string;
  readonly maxConnections: number;
  /** Replicas that hold a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** Who calls, and how much. */
export interface FrontCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  readonly rate: Rate;
}

/** One version of the configuration. */
export interface FrontConfig {
  readonly version: number;
  readonly routes: ReadonlyMap<string, RouteConfig>;
  readonly services: ReadonlyMap<string, FrontService>;
  readonly customers: ReadonlyMap<string, FrontCustomer>;
  /** Customer by key. */
  readonly customerOfKey: ReadonlyMap<string, string>;
  /** Longest pause inside a transaction. */
  readonly idleTransactionMs: number;
}

/** Who a caller is, or why it is refused. */
export type Admission =
  | {readonly kind: 'admitted'; readonly customer: string}
  | {readonly kind: 'service_unknown'}
  | {readonly kind: 'key_rejected'};

/** Customer name of a caller without a known key on an open route. */
export const ANONYMOUS = 'anonymous';

/** Checks a caller's database name and key against one version. */
export function admit(
  config: FrontConfig,
  database: string,
  key: string,
): Admission {
  const route = config.routes.get(database);
  if (!route) return {kind: 'service_unknown'};
  const customer = config.customerOfKey.get(key);
  if (customer !== undefined) return {kind: 'admitted', customer};
  return route.open
    ? {kind: 'admitted', customer: ANONYMOUS}
    : {kind: 'key_rejected'};
}
