/**
 * Creates a proxy's rate limiter: rates come from the proxy's configuration,
 * borrowed tokens from its peers.
 */
import {JSONRPCServer} from 'json-rpc-2.0';
import {map} from 'rxjs';
import {z} from 'zod';
import {Config} from '../core/config.js';
import {rendezvousScore} from '../core/placement.js';
import {Rate} from '../core/rates.js';
import {ConfigFeed} from './config_feed.js';
import {Fleet} from './fleet.js';
import {RateLimiter} from './rate_limiter.js';

export interface FleetRateLimiterOptions {
  readonly fleet: Fleet;
  readonly feed: ConfigFeed;
  readonly rpc: JSONRPCServer;
  readonly share: () => number;
}

const lendSchema = z.object({
  customer: z.string(),
  wanted: z.number().positive(),
});

const lentSchema = z.array(
  z.object({
    oldestAgeMs: z.number(),
    newestAgeMs: z.number(),
    tokensPerMs: z.number().min(0),
  }),
);

const LEND_TIMEOUT_MS = 150;
/**
 * Time after which a customer's requests for tokens go to the peers in another
 * order.
 */
const LENDER_ORDER_INTERVAL_MS = 1_000;

/** Creates the rate limiter and serves `rate.lend` to peers. */
export function createFleetRateLimiter(
  options: FleetRateLimiterOptions,
): RateLimiter {
  const {fleet, feed, rpc, share} = options;
  const limiter = RateLimiter.create({
    rates: () => ratesOf(feed.config),
    changed$: feed.config$.pipe(map(config => config.version)),
    lenders: customer => orderLenders(fleet.peers, customer),
    requestTokens: async (vm, request) =>
      lentSchema.parse(
        await fleet
          .client(vm)
          ?.call<unknown>('rate.lend', request, LEND_TIMEOUT_MS),
      ),
    share,
  });
  rpc.addMethod('rate.lend', params => limiter.lend(lendSchema.parse(params)));
  return limiter;
}

/** Orders peers differently by customer and over time, to spread lending. */
function orderLenders(peers: readonly string[], customer: string): string[] {
  const period = String(
    Math.floor(performance.now() / LENDER_ORDER_INTERVAL_MS),
  );
  return peers
    .map(vm => ({vm, order: rendezvousScore(`${customer}/${period}`, vm)}))
    .sort((a, b) => a.order - b.order)
    .map(entry => entry.vm);
}

function ratesOf(config: Config): ReadonlyMap<string, Rate> | undefined {
  if (config.version === 0) return undefined;
  return new Map(
    config.customers.map(customer => [
      customer.name,
      {ratePerS: customer.ratePerS, burst: customer.burst},
    ]),
  );
}
