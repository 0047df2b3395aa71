/**
 * Promotion orders of this front and of earlier lease holders that the platform
 * may still execute, because no answer to them has arrived.
 */
import {UnconfirmedOrder} from '../core/leader_record.js';

/**
 * How long the platform may still execute an order whose outcome is unknown.
 */
export const UNCONFIRMED_ORDER_MS = 15_000;

/** Unconfirmed orders by service. */
export class UnconfirmedOrders {
  /**
   * Services with an order of this front whose outcome is unknown, until a
   * later order with a higher fencing token has made it void.
   */
  private readonly services = new Set<string>();
  /** The promotion that the platform may still execute, by service. */
  private readonly orders = new Map<string, UnconfirmedOrder>();

  private constructor() {}

  static create(): UnconfirmedOrders {
    return new UnconfirmedOrders();
  }

  /** Records an order of this front without an answer. */
  add(service: string, database: string): void {
    this.requireHigherToken(service);
    this.addUnsettled(service, database);
  }

  /**
   * Records that an earlier order of this front may take effect late, so that
   * the next one needs a higher fencing token.
   */
  requireHigherToken(service: string): void {
    this.services.add(service);
  }

  /** Records an order of an earlier lease holder that has not been settled. */
  addUnsettled(service: string, database: string): void {
    const untilMs = performance.now() + UNCONFIRMED_ORDER_MS;
    this.orders.set(service, {database, untilMs});
  }

  /** Records that a newer order of this front has been accepted. */
  clear(service: string): void {
    this.services.delete(service);
  }

  /**
   * Records that a platform with fencing has answered an order: it executes no
   * order with a lower token any more.
   */
  makeVoid(service: string): void {
    this.clear(service);
    this.orders.delete(service);
  }

  /** Whether an order of this front may still take effect. */
  has(service: string): boolean {
    return this.services.has(service);
  }

  /** Order of a service that the platform may still execute, if any. */
  orderOf(service: string): UnconfirmedOrder | undefined {
    const order = this.orders.get(service);
    return order && performance.now() < order.untilMs ? order : undefined;
  }
}
