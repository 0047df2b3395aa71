/**
 * The operators' configuration as a front uses it: routes by the database name
 * that callers request, and customers by key, both names as callers send them.
 * Immutable; a lower version never
 * replaces a higher one.
 */
import {Rate} from './rates.js';
import {WarmUpRule} from './warm_up.js';

/** Consistency of a route's reads. */
export const Freshness = {
  /** Reads see every acknowledged commit. */
  primary: 'primary',
  /** Reads see all commits older than `maxStalenessMs`. */
  bounded: 'bounded',
  /** As `bounded`; reads also see the session's own commits. */
  readYourWrites: 'read_your_writes',
} as const;
export type Freshness = (typeof Freshness)[keyof typeof Freshness];

/** How statements for one database name that callers request are served. */
export interface RouteConfig {
  readonly name: string;
  readonly database: string;
  readonly service: string;
  readonly freshness: Freshness;
  readonly maxStalenessMs: number;
  /** Time limit of one statement. */
  readonly timeoutMs: number;
  /** Latency objective of a whole operation. */
  readonly objectiveMs: number;
  /** Priority of the route's statements; 0 is the highest. */
  readonly priority: number;
  /** Whether callers without a key are served. */
  readonly open: boolean;
  /** Regions that may serve the route; empty or missing: all. */
  readonly homeRegions?: readonly string[];
}

/** A service is a database group: a primary and its replicas. */
export interface FrontService {
  readonly name: string;
  readonly maxConnections: number;
  /** Number of replicas that must hold a commit before it is acknowledged. */
  readonly syncReplicas: number;
  /**
   * How its databases are treated while they are cold; undefined if they are
   * never cold.
   */
  readonly warmUp?: WarmUpRule;
}

/** A customer; its rate applies across the fleet. */
export interface FrontCustomer {
  readonly name: string;
  readonly keys: readonly string[];
  readonly rate: Rate;
  /** Regions that may serve the customer; empty or missing: all. */
  readonly homeRegions?: readonly string[];
}

/** One version of the configuration, indexed for lookups. */
export interface FrontConfig {
  readonly version: number;
  readonly routes: ReadonlyMap<string, RouteConfig>;
  readonly services: ReadonlyMap<string, FrontService>;
  readonly customers: ReadonlyMap<string, FrontCustomer>;
  /** Customer names by key. */
  readonly customerOfKey: ReadonlyMap<string, string>;
  /**
   * Names of customers that cannot be served, as databases cannot be told the
   * name; they are not in `customers`.
   */
  readonly unusableCustomers?: readonly string[];
  /** Keys of the customers that cannot be served. */
  readonly unusableKeys?: ReadonlySet<string>;
  /** Longest idle time inside a transaction. */
  readonly idleTransactionMs: number;
}

/** The customer of a caller, or the reason for rejecting it. */
export type Admission =
  | {readonly kind: 'admitted'; readonly customer: string}
  | {readonly kind: 'service_unknown'}
  | {readonly kind: 'key_rejected'}
  | {readonly kind: 'customer_unusable'};

/** Customer name of a caller without a known key on an open route. */
export const ANONYMOUS = 'anonymous';
/** Customer name of connections that a front opens for itself. */
export const INTERNAL_CUSTOMER = 'mustardpass';

/** Whether databases know the product's own connections by a name. */
export const isReservedCustomer = (name: string): boolean =>
  name === ANONYMOUS || name === INTERNAL_CUSTOMER;

/** Authenticates a caller by database name and key. */
export function admit(
  config: FrontConfig,
  database: string,
  key: string,
): Admission {
  const route = config.routes.get(database);
  if (!route) return {kind: 'service_unknown'};
  if (config.unusableKeys?.has(key)) return {kind: 'customer_unusable'};
  const customer = config.customerOfKey.get(key);
  if (customer !== undefined) return {kind: 'admitted', customer};
  return route.open
    ? {kind: 'admitted', customer: ANONYMOUS}
    : {kind: 'key_rejected'};
}
