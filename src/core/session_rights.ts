/**
 * What the key of a caller's session allows by the present configuration. A key
 * may pass to another customer while the session is open, so what was begun for
 * one customer must not go on for the next holder of the key.
 */
import {ErrorKind} from './errors.js';
import {ANONYMOUS, FrontConfig, RouteConfig} from './front_config.js';

/** A statement that a session wants to run. */
export interface SessionClaim {
  readonly key: string;
  /** Undefined if no route has the name that the caller requests. */
  readonly route: RouteConfig | undefined;
  /**
   * Customer for which the statement or its transaction was begun; undefined if
   * nothing was.
   */
  readonly customer: string | undefined;
}

/** Returns the customer that a key stands for. */
export const customerOfKey = (config: FrontConfig, key: string): string =>
  config.customerOfKey.get(key) ?? ANONYMOUS;

/** Why the key no longer allows a statement by a recent configuration, if so. */
export function withdrawalOf(
  config: FrontConfig,
  {key, route, customer}: SessionClaim,
): ErrorKind | undefined {
  if (config.unusableKeys?.has(key)) return 'customer_unusable';
  if (!route?.open && !config.customerOfKey.has(key)) return 'key_withdrawn';
  const isOther =
    customer !== undefined && customer !== customerOfKey(config, key);
  return isOther ? 'customer_changed' : undefined;
}

/**
 * Returns why a statement may not run at present, if so. A configuration that is
 * not fresh says nothing about keys.
 */
export function refusalOf(
  config: FrontConfig | undefined,
  isFresh: boolean,
  claim: SessionClaim,
): ErrorKind | undefined {
  const {route, customer} = claim;
  if (!config) return 'not_ready';
  if (!route) return 'service_unknown';
  const isByKey =
    !route.open || (customer !== undefined && customer !== ANONYMOUS);
  if (isByKey && !isFresh && !config.unusableKeys?.has(claim.key))
    return 'stale_configuration';
  return withdrawalOf(config, claim);
}
