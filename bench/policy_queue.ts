/**
 * The worst-served customer while another floods: waits at one database's
 * waiting room, with the flooder already held to its rate and burst.
 */
import {RequestQueue} from '../src/core/fair_queue.js';
import {fullBucket, Rate, takeTokens} from '../src/core/rates.js';
import type {UserSize} from './policy.js';
import {exponential, percentile, randomOf, VirtualTime} from './simulation.js';

const DURATION_MS = 60_000;
/** Part of the database's capacity that the customers use together. */
const UTILISATION = 0.6;
const FLOOD_FACTOR = 10;
const DEADLINE_MS = 5_000;
const BURST_S = 4;

interface Request {
  readonly customer: number;
  readonly atMs: number;
}

/** p99 of the worst customer with a flooder, over p99 without one. */
export function simulateQueue(
  user: UserSize,
  createRoom: <T>() => RequestQueue<T>,
  seed: number,
): number {
  const calm = worstP99(user, createRoom, seed, 1);
  const flooded = worstP99(user, createRoom, seed, FLOOD_FACTOR);
  return flooded / calm;
}

function worstP99(
  user: UserSize,
  createRoom: <T>() => RequestQueue<T>,
  seed: number,
  flood: number,
): number {
  const time = VirtualTime.create();
  const room = createRoom<Request>();
  const pace = {concurrency: user.slots, serviceTimeMs: user.serviceTimeMs};
  const capacityPerMs = user.slots / user.serviceTimeMs;
  const eachPerMs = (capacityPerMs * UTILISATION) / user.customers;
  const rate: Rate = {
    ratePerS: eachPerMs * 1_500,
    burst: eachPerMs * 1_000 * BURST_S,
  };
  const buckets = Array.from({length: user.customers}, () =>
    fullBucket(rate, 1, 0),
  );
  const latencies = buckets.map((): number[] => []);
  let running = 0;

  const pump = (random: () => number): void => {
    while (running < user.slots) {
      const next = room.take();
      if (!next) return;
      running++;
      time.after(exponential(random, user.serviceTimeMs), () => {
        running--;
        const {customer, atMs} = next.item;
        latencies[customer].push(time.nowMs - atMs);
        pump(random);
      });
    }
  };
  const arrive = (
    customer: number,
    perMs: number,
    random: () => number,
    service: () => number,
  ): void => {
    time.after(exponential(random, 1 / perMs), () => {
      const next = takeTokens(buckets[customer], 1, time.nowMs);
      if (next) {
        buckets[customer] = next;
        const item = {customer, atMs: time.nowMs};
        const deadlineAtMs = time.nowMs + DEADLINE_MS;
        room.offer(
          {customer: `c${customer}`, weight: 1, deadlineAtMs, item},
          pace,
          time.nowMs,
        );
        pump(service);
      }
      arrive(customer, perMs, random, service);
    });
  };
  const service = randomOf(seed);
  for (let customer = 0; customer < user.customers; customer++) {
    const perMs = eachPerMs * (customer === 0 ? flood : 1);
    arrive(customer, perMs, randomOf(seed + 1 + customer), service);
  }
  time.runUntil(DURATION_MS);
  return Math.max(...latencies.slice(1).map(list => percentile(list, 0.99)));
}
