/**
 * The home regions of routes and customers: where the databases must be that
 * serve a request, and the VMs that receive its text, other than the one to
 * which the caller itself is connected.
 */

/**
 * The regions that may serve a request; undefined if it is unrestricted. An
 * empty list allows no region.
 */
export type Homes = readonly string[] | undefined;

/** A route or customer of the configuration. */
interface HomeOwner {
  readonly homeRegions?: readonly string[];
}

/**
 * Retry delay of a request that its homes leave without a database. Only an
 * operator or a change of primary can resolve this, so an earlier retry would
 * cost the caller one of its attempts.
 */
export const HOMES_RETRY_DELAY_MS = 1_000;

/** Returns the homes of one route or customer. An empty list is no restriction. */
const ownHomes = (owner: HomeOwner | undefined): Homes =>
  owner?.homeRegions?.length ? owner.homeRegions : undefined;

/**
 * Returns the homes of a customer's requests on a route: the regions that are in
 * both lists, if both have one.
 */
export function homesOf(
  route: HomeOwner | undefined,
  customer?: HomeOwner,
): Homes {
  const routeHomes = ownHomes(route);
  const customerHomes = ownHomes(customer);
  if (!routeHomes || !customerHomes) return routeHomes ?? customerHomes;
  return routeHomes.filter(region => customerHomes.includes(region));
}

/**
 * Whether homes allow a region. The empty name stands for the unknown region of
 * a database whose zone is not in the settings; only unrestricted requests may
 * go there.
 */
export const allowsRegion = (homes: Homes, region: string): boolean =>
  homes === undefined || (region !== '' && homes.includes(region));

/**
 * Ranks the VMs that may receive a request's text: those in its homes, in their
 * order and at most `max`, then the VM itself as the last resort.
 */
export function rankWithinHomes<
  T extends {readonly vm: string; readonly place: {readonly region: string}},
>(ranked: readonly T[], self: string, homes: Homes, max: number): T[] {
  if (homes === undefined) return ranked.slice(0, max);
  const allowed = ranked
    .filter(({place}) => allowsRegion(homes, place.region))
    .slice(0, max);
  const own = ranked.find(({vm}) => vm === self);
  return own && !allowed.includes(own) ? [...allowed, own] : allowed;
}

/** A home list of the configuration with regions that do not exist. */
export interface UnknownHomes {
  readonly kind: 'route' | 'customer';
  readonly name: string;
  readonly regions: readonly string[];
  /** Whether no region of the list exists, so that nothing is allowed. */
  readonly allowsNothing: boolean;
}

/** Returns the home lists that name regions outside `known`. */
export function unknownHomes(
  config: {
    readonly routes: ReadonlyMap<string, HomeOwner & {readonly name: string}>;
    readonly customers: ReadonlyMap<
      string,
      HomeOwner & {readonly name: string}
    >;
  },
  known: ReadonlySet<string>,
): UnknownHomes[] {
  const check = (
    kind: UnknownHomes['kind'],
    owners: Iterable<HomeOwner & {readonly name: string}>,
  ): UnknownHomes[] =>
    [...owners].flatMap(({name, homeRegions = []}) => {
      const regions = homeRegions.filter(region => !known.has(region));
      const allowsNothing = regions.length === homeRegions.length;
      return regions.length > 0 ? [{kind, name, regions, allowsNothing}] : [];
    });
  return [
    ...check('route', config.routes.values()),
    ...check('customer', config.customers.values()),
  ];
}

/**
 * Returns how many of a service's routes a primary in `region` can serve, to
 * choose among databases with equal logs.
 */
export function countRoutesAllowing(
  routes: Iterable<HomeOwner & {readonly service: string}>,
  service: string,
  region: string,
): number {
  let count = 0;
  for (const route of routes) {
    if (route.service !== service) continue;
    if (allowsRegion(ownHomes(route), region)) count++;
  }
  return count;
}
