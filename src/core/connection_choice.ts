/**
 * Chooses the connection for a customer's next statement at one database. Each
 * connection serves a single customer; opening one is expensive for the
 * database.
 */
import {mustYieldConnection} from './pool_policy.js';

/** An open connection of the pool. */
export interface PooledConnection {
  readonly customer: string;
  /** `pinned`: reserved by an open transaction, idle or not. */
  readonly use: 'idle' | 'busy' | 'pinned';
  readonly lastUsedMs: number;
}

/** `evict`: an idle connection to close before the new one is opened. */
export type ConnectionChoice<T extends PooledConnection> =
  | {readonly kind: 'use'; readonly connection: T}
  | {readonly kind: 'open'; readonly evict: T | undefined}
  | {readonly kind: 'wait'};

/** Chooses among the open connections; at most `limit` may be open. */
export function chooseConnection<T extends PooledConnection>(
  connections: readonly T[],
  customer: string,
  limit: number,
): ConnectionChoice<T> {
  const own = connections.filter(c => c.customer === customer);
  const idle = own.filter(c => c.use === 'idle');
  const pinned = own.filter(c => c.use === 'pinned').length;
  const used = connections.filter(c => c.use !== 'idle').length;
  if (pinned > 0 && mustYieldConnection({limit, used, held: pinned})) {
    return {kind: 'wait'};
  }
  if (idle.length > 0) {
    return {kind: 'use', connection: mostRecentlyUsed(idle)};
  }
  if (connections.length < limit) return {kind: 'open', evict: undefined};
  const evict = leastRecentlyUsed(connections);
  return evict ? {kind: 'open', evict} : {kind: 'wait'};
}

const mostRecentlyUsed = <T extends PooledConnection>(list: readonly T[]): T =>
  list.reduce((best, c) => (c.lastUsedMs > best.lastUsedMs ? c : best));

/** The least recently used idle connection; prefers customers with several. */
function leastRecentlyUsed<T extends PooledConnection>(
  connections: readonly T[],
): T | undefined {
  const counts = new Map<string, number>();
  for (const {customer} of connections) {
    counts.set(customer, (counts.get(customer) ?? 0) + 1);
  }
  const idle = connections.filter(c => c.use === 'idle');
  const ofCustomersWithSeveral = idle.filter(
    c => (counts.get(c.customer) ?? 0) > 1,
  );
  const candidates =
    ofCustomersWithSeveral.length > 0 ? ofCustomersWithSeveral : idle;
  if (candidates.length === 0) return undefined;
  return candidates.reduce((best, c) =>
    c.lastUsedMs < best.lastUsedMs ? c : best,
  );
}
