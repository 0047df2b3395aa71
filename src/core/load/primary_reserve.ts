/**
 * Reserves capacity of a primary for work that only a primary can run. Reads
 * that a replica could serve use what is left. Guards against lost or lagging
 * replicas: all reads of the service then fall on the primary, and writes would
 * wait behind them.
 */
import {ArrivalRate} from './arrival_rate.js';

/**
 * Time without work that needs the primary after which nothing is reserved, so
 * that a service without writes loses no slot.
 */
const NO_RESERVE_AFTER_MS = 3_000;

export class PrimaryReserve {
  /** Sum of the work times that arrive in each ms. */
  private readonly offered = ArrivalRate.create();

  private constructor() {}

  static create(): PrimaryReserve {
    return new PrimaryReserve();
  }

  /** Records the arrival of work that only the primary can run. */
  recordArrival(workMs: number, nowMs: number): void {
    this.offered.add(workMs, nowMs);
  }

  /**
   * Returns how many of the `slots` are reserved: the number that the arriving
   * work occupies on average (arrival rate x work time), at least 1 and at most
   * all but 1.
   */
  reservedSlots(slots: number, nowMs: number): number {
    if (nowMs - this.offered.lastArrivalAtMs > NO_RESERVE_AFTER_MS) return 0;
    const occupied = Math.round(this.offered.perMs(nowMs));
    return Math.max(0, Math.min(slots - 1, Math.max(1, occupied)));
  }
}
