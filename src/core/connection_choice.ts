/**
 * Which connection serves a customer's work at one database. Connections are
 * bound to a customer for life; opening one costs the database time.
 */
import {mustYieldConnection} from './pool_policy.js';

/** One open connection, as the choice sees it. */
export interface PooledConnection {
  readonly customer: string;
  /** `pinned`: held by a transaction that rests or runs. */
  readonly use: 'idle' | 'busy' | 'pinned';
  readonly lastUsedMs: number;
}

/** What to do for a customer's next piece of work. */
export type ConnectionChoice<T extends PooledConnection> =
  | {readonly kind: 'use'; readonly connection: T}
  | {readonly kind: 'open'; readonly evict: T | undefined}
  | {readonly kind: 'wait'};

/** Chooses a connection of `held`, of which at most `limit` may be open. */
export function chooseConnection<T extends PooledConnection>(
  held: readonly T[],
  customer: string,
  limit: number,
): ConnectionChoice<T> {
  const own = held.filter(h => h.customer === customer);
  const idle = own.filter(h => h.use === 'idle');
  const pinned = own.filter(h => h.use === 'pinned').length;
  const used = held.filter(h => h.use !== 'idle').length;
  if (pinned > 0 && mustYieldConnection({limit, used, held: pinned})) {
    return {kind: 'wait'};
  }
  if (idle.length > 0) {
    return {kind: 'use', connection: latest(idle)};
  }
  if (held.length < limit) return {kind: 'open', evict: undefined};
  const evict = leastMissed(held);
  return evict ? {kind: 'open', evict} : {kind: 'wait'};
}

const latest = <T extends PooledConnection>(list: readonly T[]): T =>
  list.reduce((best, h) => (h.lastUsedMs > best.lastUsedMs ? h : best));

/** The idle connection longest unused, of a customer with several if any. */
function leastMissed<T extends PooledConnection>(
  held: readonly T[],
): T | undefined {
  const counts = new Map<string, number>();
  for (const {customer} of held) {
    counts.set(customer, (counts.get(customer) ?? 0) + 1);
  }
  const idle = held.filter(h => h.use === 'idle');
  const spare = idle.filter(h => (counts.get(h.customer) ?? 0) > 1);
  const from = spare.length > 0 ? spare : idle;
  if (from.length === 0) return undefined;
  return from.reduce((best, h) => (h.lastUsedMs < best.lastUsedMs ? h : best));
}
