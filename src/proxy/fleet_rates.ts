/** The rate keeper of a proxy: rates from its configuration, lending by its peers. */
import {JSONRPCServer} from 'json-rpc-2.0';
import {map} from 'rxjs';
import {z} from 'zod';
import {Config} from '../core/config.js';
import {rendezvousScore} from '../core/placement.js';
import {Rate} from '../core/rates.js';
import {ConfigFeed} from './config_feed.js';
import {Fleet} from './fleet.js';
import {RateLimiter} from './rate_limiter.js';

/** What the keeper is built from. */
export interface FleetRatesOptions {
  readonly fleet: Fleet;
  readonly feed: ConfigFeed;
  readonly rpc: JSONRPCServer;
  readonly share: () => number;
}

const lendSchema = z.object({
  customer: z.string(),
  wanted: z.number().positive(),
});

const stretchSchema = z.array(
  z.object({
    oldestAgeMs: z.number(),
    newestAgeMs: z.number(),
    tokensPerMs: z.number().min(0),
  }),
);

const LEND_TIMEOUT_MS = 150;
/** Time after which lenders are asked in another order. */
const TURN_MS = 1_000;

/** Creates the keeper and serves lending to peers. */
export function createFleetRates(options: FleetRatesOptions): RateLimiter {
  const {fleet, feed, rpc, share} = options;
  const keeper = RateLimiter.create({
    rates: () => ratesOf(feed.config),
    changed$: feed.config$.pipe(map(config => config.version)),
    lenders: customer => inOrder(fleet.peers, customer),
    requestTokens: async (vm, request) =>
      stretchSchema.parse(
        await fleet
          .client(vm)
          ?.call<unknown>('rate.lend', request, LEND_TIMEOUT_MS),
      ),
    share,
  });
  rpc.addMethod('rate.lend', params => keeper.lend(lendSchema.parse(params)));
  return keeper;
}

/** Peers in an order that differs by customer and in time, to spread lending. */
function inOrder(peers: readonly string[], customer: string): string[] {
  const turn = String(Math.floor(performance.now() / TURN_MS));
  return peers
    .map(vm => ({vm, order: rendezvousScore(`${customer}/${turn}`, vm)}))
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
