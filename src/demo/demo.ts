/**
 * A demo that checks the consistency guarantees: callers write through one of
 * three proxies and read through another, and operators change the configuration
 * of a platform that is then restored from an older copy. It fails on a stale
 * read, a lost or doubled write, mixed transactions, a lost change, or a login
 * with a wrong key.
 */
import pg from 'pg';
import {RouteRead, routeToReplicas} from '../core/routing.js';
import {Config, findCustomer} from '../core/config.js';
import {StoreKey} from '../store/store.js';
import {LocalFleet} from '../standin/local_fleet.js';

export interface DemoOptions {
  readonly sessions: number;
  readonly writesPerSession: number;
  readonly lagMs: number;
  /** Replaces the routing of reads; tests make the demo fail with it. */
  readonly routeRead?: RouteRead;
  readonly onProgress?: (line: string) => void;
}

/** Result of the demo; printed as JSON. */
export interface DemoReport {
  readonly demo: 'ok' | 'failed';
  readonly sessions: number;
  readonly writes: number;
  readonly reads: number;
  readonly replica_read_share: number;
  readonly stale_reads: number;
  /** Transactions that did not read back their own write, or saw another. */
  readonly mixed_transactions: number;
  readonly lost_writes: number;
  readonly doubled_writes: number;
  /** Confirmed changes that a restore of the platform has undone. */
  readonly lost_changes: number;
  /** Rejected logins with a wrong key; 1 is expected. */
  readonly refused_strangers: number;
}

export const DEMO_DEFAULTS: DemoOptions = {
  sessions: 24,
  writesPerSession: 6,
  lagMs: 60,
};

const SERVICE = 'order-books-1';
const PROXY_COUNT = 3;
const CHANGED_RATE_PER_S = 500_000;
const CUSTOMERS = ['supermaxi', 'tia', 'coral'] as const;

/** Counts that all sessions of the demo add to. */
interface DemoCounts {
  writes: number;
  reads: number;
  staleReads: number;
  mixedTransactions: number;
}

/** Makes the first replica lag more than the second. */
const lagFactor = (index: number): number => (index === 1 ? 4 : 1);

/** Routes reads to any replica, ignoring floors, so that the demo fails. */
export const routeIgnoringFloors: RouteRead = (view, need, cost, nowMs) =>
  routeToReplicas(
    view,
    {...need, floor: {term: 0, offset: 0}, maxStalenessMs: undefined},
    cost,
    nowMs,
  );

/** Runs the demo on stand-ins in this process. */
export async function runDemo(options: DemoOptions): Promise<DemoReport> {
  const reportProgress = options.onProgress ?? (() => undefined);
  const fleet = await LocalFleet.create({
    proxies: PROXY_COUNT,
    services: [
      {
        service: SERVICE,
        lagMsByIndex: index => options.lagMs * lagFactor(index),
      },
    ],
    customers: CUSTOMERS.map(name => ({name})),
    hooks: {routeRead: options.routeRead},
  });
  reportProgress(
    `${PROXY_COUNT} proxies serve ${SERVICE}; replicas lag by at least ${options.lagMs} ms`,
  );
  const counts: DemoCounts = {
    writes: 0,
    reads: 0,
    staleReads: 0,
    mixedTransactions: 0,
  };
  try {
    const sessions = Array.from({length: options.sessions}, (_, i) =>
      runSession(fleet, i, options.writesPerSession, counts),
    );
    await Promise.all(sessions);
    reportProgress(
      `${options.sessions} sessions wrote through one proxy and read through another`,
    );
    const lostChanges = await changeAroundRestore(fleet);
    reportProgress('the platform was restored between two changes');
    const rejectedLogins = await connectWithWrongKey(fleet);
    reportProgress('a login with a wrong key was tried');
    return createReport(fleet, options, counts, lostChanges, rejectedLogins);
  } finally {
    await fleet.close();
  }
}

/**
 * Runs one caller, which reads each of its writes back through a different
 * proxy.
 */
async function runSession(
  fleet: LocalFleet,
  index: number,
  writes: number,
  counts: DemoCounts,
): Promise<void> {
  const customer = CUSTOMERS[index % CUSTOMERS.length];
  const writerProxy = index % PROXY_COUNT;
  const readerProxy = (index + 1) % PROXY_COUNT;
  const writer = await connectClient(fleet, writerProxy, customer);
  const reader = await connectClient(fleet, readerProxy, customer);
  for (let n = 0; n < writes; n++) {
    const id = `${customer}-${index}-${n}`;
    await writer.query(
      'INSERT INTO bookings (id, customer, state) VALUES ($1, $2, $3)',
      [id, customer, 'booked'],
    );
    counts.writes++;
    await copySessionToken(writer, reader);
    await checkRow(reader, id, customer, counts);
    await runTransaction(writer, id, index, counts);
    await copySessionToken(writer, reader);
    await checkState(reader, id, counts);
  }
  await writer.end();
  await reader.end();
}

async function connectClient(
  fleet: LocalFleet,
  proxy: number,
  customer: string,
): Promise<pg.Client> {
  const client = fleet.createClient(proxy, customer, SERVICE);
  await client.connect();
  return client;
}

/** Copies the session token to another connection, as a caller would. */
async function copySessionToken(from: pg.Client, to: pg.Client): Promise<void> {
  const shown = await from.query('SHOW mustardpass.session');
  const token = String(shown.rows[0]['mustardpass.session']);
  await to.query(`SET mustardpass.session = '${token}'`);
}

/** Counts a stale read if the inserted booking is missing. */
async function checkRow(
  reader: pg.Client,
  id: string,
  customer: string,
  counts: DemoCounts,
): Promise<void> {
  const {rows} = await reader.query(
    'SELECT customer FROM bookings WHERE id = $1',
    [id],
  );
  counts.reads++;
  if (rows[0]?.customer !== customer) counts.staleReads++;
}

/** Counts a stale read if the update of the booking is missing. */
async function checkState(
  reader: pg.Client,
  id: string,
  counts: DemoCounts,
): Promise<void> {
  const {rows} = await reader.query(
    'SELECT state FROM bookings WHERE id = $1',
    [id],
  );
  counts.reads++;
  if (rows[0]?.state !== 'proofed') counts.staleReads++;
}

/** Checks that a transaction reads back its own write, not that of another. */
async function runTransaction(
  writer: pg.Client,
  id: string,
  index: number,
  counts: DemoCounts,
): Promise<void> {
  const owner = `mark-${index}`;
  await writer.query('BEGIN');
  await writer.query("UPDATE bookings SET state = 'proofed' WHERE id = $1", [
    id,
  ]);
  await writer.query('INSERT INTO marks (id, owner) VALUES ($1, $2)', [
    `${owner}-${id}`,
    owner,
  ]);
  const seen = await writer.query('SELECT owner FROM marks WHERE id = $1', [
    `${owner}-${id}`,
  ]);
  await writer.query('COMMIT');
  counts.writes += 2;
  if (seen.rows[0]?.owner !== owner) counts.mixedTransactions++;
}

/**
 * Changes the rates of two customers, with a restore of the platform to before
 * the first change in between. Returns how many of the changes are lost.
 */
async function changeAroundRestore(fleet: LocalFleet): Promise<number> {
  const startedMs = performance.now();
  const changed = CUSTOMERS.slice(0, 2);
  for (const [proxy, customer] of changed.entries()) {
    const action = {
      do: 'set_rate',
      customer,
      ratePerS: CHANGED_RATE_PER_S,
      burst: CHANGED_RATE_PER_S,
    };
    await fleet.applyActions(proxy, [action]);
    const ageMs = performance.now() - startedMs;
    if (proxy === 0) fleet.platform.restore(ageMs);
  }
  const text = fleet.platform.get(StoreKey.config) ?? '{}';
  const config = JSON.parse(text) as Config;
  return changed.filter(
    name => findCustomer(config, name)?.ratePerS !== CHANGED_RATE_PER_S,
  ).length;
}

/** Returns the number of rejected logins: 1, or 0 if the wrong key works. */
async function connectWithWrongKey(fleet: LocalFleet): Promise<number> {
  const client = fleet.createClient(0, CUSTOMERS[0], SERVICE, {
    password: 'guess',
  });
  try {
    await client.connect();
    await client.end();
    return 0;
  } catch {
    return 1;
  }
}

function createReport(
  fleet: LocalFleet,
  options: DemoOptions,
  counts: DemoCounts,
  lostChanges: number,
  rejectedLogins: number,
): DemoReport {
  const ids = fleet.group(SERVICE).committedIds('bookings');
  const inserted = new Set(ids);
  const expected = options.sessions * options.writesPerSession;
  // Each booking is inserted once and updated once.
  const doubled = ids.length - 2 * inserted.size;
  const lost = expected - inserted.size;
  const share = replicaReadShare(fleet);
  const hasPassed =
    counts.staleReads === 0 &&
    counts.mixedTransactions === 0 &&
    lost === 0 &&
    doubled === 0 &&
    lostChanges === 0 &&
    rejectedLogins === 1;
  return {
    demo: hasPassed ? 'ok' : 'failed',
    sessions: options.sessions,
    writes: counts.writes,
    reads: counts.reads,
    replica_read_share: share,
    stale_reads: counts.staleReads,
    mixed_transactions: counts.mixedTransactions,
    lost_writes: lost,
    doubled_writes: doubled,
    lost_changes: lostChanges,
    refused_strangers: rejectedLogins,
  };
}

/** Returns the share of reads that replicas served, over all proxies. */
export function replicaReadShare(fleet: LocalFleet): number {
  let replica = 0;
  let primary = 0;
  for (const proxy of fleet.proxies) {
    const {metrics} = proxy.dump() as {
      metrics: {replicaReads: number; primaryReads: number};
    };
    replica += metrics.replicaReads;
    primary += metrics.primaryReads;
  }
  return Number((replica / Math.max(1, replica + primary)).toFixed(4));
}
