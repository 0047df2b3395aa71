/**
 * Simulates the queue of one database while one customer floods it, to measure
 * the latency of the other customers. Rate limits apply before the queue.
 */
import {RequestQueue} from '../src/core/fair_queue.js';
import {fullBucket, Rate, takeTokens} from '../src/core/rates.js';
import type {DeploymentProfile} from './policy.js';
import {
  exponential,
  percentile,
  seededRandom,
  VirtualTime,
} from './simulation.js';

const DURATION_MS = 60_000;
/** Fraction of the database's capacity that all customers use together. */
const UTILISATION = 0.6;
/** Load of the flooding customer relative to the others. */
const FLOOD_FACTOR = 10;
const DEADLINE_MS = 5_000;
/** The burst covers normal traffic of this duration. */
const BURST_DURATION_S = 4;

interface Request {
  readonly customer: number;
  readonly arrivedAtMs: number;
}

/**
 * Returns the p99 latency of the worst other customer during a flood, divided
 * by the same without a flood.
 */
export function simulateQueue(
  deployment: DeploymentProfile,
  createQueue: <T>() => RequestQueue<T>,
  seed: number,
): number {
  const normalP99Ms = worstP99Ms(deployment, createQueue, seed, 1);
  const floodedP99Ms = worstP99Ms(deployment, createQueue, seed, FLOOD_FACTOR);
  return floodedP99Ms / normalP99Ms;
}

function worstP99Ms(
  deployment: DeploymentProfile,
  createQueue: <T>() => RequestQueue<T>,
  seed: number,
  floodFactor: number,
): number {
  const time = VirtualTime.create();
  const queue = createQueue<Request>();
  const capacity = {
    concurrency: deployment.slots,
    serviceTimeMs: deployment.serviceTimeMs,
  };
  const capacityPerMs = deployment.slots / deployment.serviceTimeMs;
  const requestsPerMs = (capacityPerMs * UTILISATION) / deployment.customers;
  const rate: Rate = {
    ratePerS: requestsPerMs * 1_500,
    burst: requestsPerMs * 1_000 * BURST_DURATION_S,
  };
  const buckets = Array.from({length: deployment.customers}, () =>
    fullBucket(rate, 1, 0),
  );
  const latencies = buckets.map((): number[] => []);
  let running = 0;

  const startRequests = (random: () => number): void => {
    while (running < deployment.slots) {
      const next = queue.take();
      if (!next) return;
      running++;
      time.after(exponential(random, deployment.serviceTimeMs), () => {
        running--;
        const {customer, arrivedAtMs} = next.item;
        latencies[customer].push(time.nowMs - arrivedAtMs);
        startRequests(random);
      });
    }
  };
  const scheduleArrival = (
    customer: number,
    arrivalsPerMs: number,
    arrivalRandom: () => number,
    serviceRandom: () => number,
  ): void => {
    time.after(exponential(arrivalRandom, 1 / arrivalsPerMs), () => {
      const bucket = takeTokens(buckets[customer], 1, time.nowMs);
      if (bucket) {
        buckets[customer] = bucket;
        const item = {customer, arrivedAtMs: time.nowMs};
        const deadlineAtMs = time.nowMs + DEADLINE_MS;
        queue.offer(
          {customer: `c${customer}`, weight: 1, deadlineAtMs, item},
          capacity,
          time.nowMs,
        );
        startRequests(serviceRandom);
      }
      scheduleArrival(customer, arrivalsPerMs, arrivalRandom, serviceRandom);
    });
  };
  const serviceRandom = seededRandom(seed);
  for (let customer = 0; customer < deployment.customers; customer++) {
    const arrivalsPerMs = requestsPerMs * (customer === 0 ? floodFactor : 1);
    scheduleArrival(
      customer,
      arrivalsPerMs,
      seededRandom(seed + 1 + customer),
      serviceRandom,
    );
  }
  time.runUntil(DURATION_MS);
  return Math.max(...latencies.slice(1).map(list => percentile(list, 0.99)));
}
