/** The rate keeper of a proxy: rates from its configuration, lending by its peers. */
import {JSONRPCServer} from 'json-rpc-2.0';
import {map} from 'rxjs';
import {z} from 'zod';
import {Config} from '../core/config.js';
import {Rate} from '../core/rates.js';
import {ConfigFeed} from './config_feed.js';
import {Fleet} from './fleet.js';
import {RateKeeper} from './rate_keeper.js';

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

/** Creates the keeper and serves lending to peers. */
export function createFleetRates(options: FleetRatesOptions): RateKeeper {
  const {fleet, feed, rpc, share} = options;
  const keeper = RateKeeper.create({
    rates: () => ratesOf(feed.config),
    changed$: feed.config$.pipe(map(config => config.version)),
    lenders: () => fleet.peers,
    askLender: async (vm, request) =>
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

function ratesOf(config: Config): ReadonlyMap<string, Rate> | undefined {
  if (config.version === 0) return undefined;
  return new Map(
    config.customers.map(customer => [
      customer.name,
      {ratePerS: customer.ratePerS, burst: customer.burst},
    ]),
  );
}
