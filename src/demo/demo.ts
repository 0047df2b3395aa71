/**
 * The demo: three proxies before one group, callers that write at one proxy
 * and read at another, transactions that must not mix. It proves what it
 * prints and fails otherwise.
 */
import pg from 'pg';
import {RouteRead, routeToReplicas} from '../core/routing.js';
import {LocalFleet} from '../standin/local_fleet.js';

/** What the demo does. */
export interface DemoOptions {
  readonly sessions: number;
  readonly writesPerSession: number;
  readonly lagMs: number;
  /** Replaces read routing, to show what the demo detects. */
  readonly routeRead?: RouteRead;
  readonly onProgress?: (line: string) => void;
}

/** What the demo proved. */
export interface DemoReport {
  readonly demo: 'ok' | 'failed';
  readonly sessions: number;
  readonly writes: number;
  readonly reads: number;
  readonly replica_read_share: number;
  readonly stale_reads: number;
  readonly mixed_transactions: number;
  readonly lost_writes: number;
  readonly doubled_writes: number;
  readonly refused_strangers: number;
}

export const DEMO_DEFAULTS: DemoOptions = {
  sessions: 24,
  writesPerSession: 6,
  lagMs: 60,
};

const SERVICE = 'order-books-1';
const PROXIES = 3;
const CUSTOMERS = ['supermaxi', 'tia', 'coral'] as const;

interface Tally {
  writes: number;
  reads: number;
  staleReads: number;
  mixedTransactions: number;
}

/** The first replica lags more than the second. */
const lagFactor = (index: number): number => (index === 1 ? 4 : 1);

/** Ignores floors: any replica will do. Only for showing what it breaks. */
export const routeAnywhere: RouteRead = (view, need, cost, nowMs) =>
  routeToReplicas(
    view,
    {...need, floor: {term: 0, offset: 0}, maxStalenessMs: undefined},
    cost,
    nowMs,
  );

/** Runs the demo on stand-ins. */
export async function runDemo(options: DemoOptions): Promise<DemoReport> {
  const progress = options.onProgress ?? (() => undefined);
  const scene = await LocalFleet.create({
    proxies: PROXIES,
    services: [
      {
        service: SERVICE,
        lagMsByIndex: index => options.lagMs * lagFactor(index),
      },
    ],
    customers: CUSTOMERS.map(name => ({name})),
    hooks: {routeRead: options.routeRead},
  });
  progress(
    `${PROXIES} proxies serve ${SERVICE}; replicas lag ${options.lagMs} ms and more`,
  );
  const tally: Tally = {
    writes: 0,
    reads: 0,
    staleReads: 0,
    mixedTransactions: 0,
  };
  try {
    const sessions = Array.from({length: options.sessions}, (_, i) =>
      runSession(scene, i, options.writesPerSession, tally),
    );
    await Promise.all(sessions);
    progress(
      `${options.sessions} sessions wrote at one proxy and read at another`,
    );
    const refused = await tryStranger(scene);
    progress('a caller with a wrong key was refused');
    return report(scene, options, tally, refused);
  } finally {
    await scene.close();
  }
}

/** One caller: each write is read back through another proxy. */
async function runSession(
  scene: LocalFleet,
  index: number,
  writes: number,
  tally: Tally,
): Promise<void> {
  const customer = CUSTOMERS[index % CUSTOMERS.length];
  const home = index % PROXIES;
  const away = (index + 1) % PROXIES;
  const writer = await connected(scene, home, customer);
  const reader = await connected(scene, away, customer);
  for (let n = 0; n < writes; n++) {
    const id = `${customer}-${index}-${n}`;
    await writer.query(
      'INSERT INTO bookings (id, customer, state) VALUES ($1, $2, $3)',
      [id, customer, 'booked'],
    );
    tally.writes++;
    await roam(writer, reader);
    await expectRow(reader, id, customer, tally);
    await runTransaction(writer, id, index, tally);
    await roam(writer, reader);
    await expectState(reader, id, tally);
  }
  await writer.end();
  await reader.end();
}

async function connected(
  scene: LocalFleet,
  proxy: number,
  customer: string,
): Promise<pg.Client> {
  const client = scene.createClient(proxy, customer, SERVICE);
  await client.connect();
  return client;
}

/** Carries the session token from one proxy to another, as a caller would. */
async function roam(from: pg.Client, to: pg.Client): Promise<void> {
  const shown = await from.query('SHOW mustardpass.session');
  const token = String(shown.rows[0]['mustardpass.session']);
  await to.query(`SET mustardpass.session = '${token}'`);
}

async function expectRow(
  reader: pg.Client,
  id: string,
  customer: string,
  tally: Tally,
): Promise<void> {
  const {rows} = await reader.query(
    'SELECT customer FROM bookings WHERE id = $1',
    [id],
  );
  tally.reads++;
  if (rows[0]?.customer !== customer) tally.staleReads++;
}

async function expectState(
  reader: pg.Client,
  id: string,
  tally: Tally,
): Promise<void> {
  const {rows} = await reader.query(
    'SELECT state FROM bookings WHERE id = $1',
    [id],
  );
  tally.reads++;
  if (rows[0]?.state !== 'proofed') tally.staleReads++;
}

/** Two statements of one transaction must see each other and no other's. */
async function runTransaction(
  writer: pg.Client,
  id: string,
  index: number,
  tally: Tally,
): Promise<void> {
  const mark = `mark-${index}`;
  await writer.query('BEGIN');
  await writer.query("UPDATE bookings SET state = 'proofed' WHERE id = $1", [
    id,
  ]);
  await writer.query('INSERT INTO marks (id, owner) VALUES ($1, $2)', [
    `${mark}-${id}`,
    mark,
  ]);
  const seen = await writer.query('SELECT owner FROM marks WHERE id = $1', [
    `${mark}-${id}`,
  ]);
  await writer.query('COMMIT');
  tally.writes += 2;
  if (seen.rows[0]?.owner !== mark) tally.mixedTransactions++;
}

async function tryStranger(scene: LocalFleet): Promise<number> {
  const stranger = scene.createClient(0, CUSTOMERS[0], SERVICE, {
    password: 'guess',
  });
  try {
    await stranger.connect();
    await stranger.end();
    return 0;
  } catch {
    return 1;
  }
}

function report(
  scene: LocalFleet,
  options: DemoOptions,
  tally: Tally,
  refusedStrangers: number,
): DemoReport {
  const ids = scene.group(SERVICE).committedIds('bookings');
  const inserted = new Set(ids);
  const expected = options.sessions * options.writesPerSession;
  // Each booking is inserted once and updated once.
  const doubled = ids.length - 2 * inserted.size;
  const lost = expected - inserted.size;
  const share = replicaReadShare(scene);
  const fine =
    tally.staleReads === 0 &&
    tally.mixedTransactions === 0 &&
    lost === 0 &&
    doubled === 0 &&
    refusedStrangers === 1;
  return {
    demo: fine ? 'ok' : 'failed',
    sessions: options.sessions,
    writes: tally.writes,
    reads: tally.reads,
    replica_read_share: share,
    stale_reads: tally.staleReads,
    mixed_transactions: tally.mixedTransactions,
    lost_writes: lost,
    doubled_writes: doubled,
    refused_strangers: refusedStrangers,
  };
}

/** Share of reads that replicas served, over all proxies. */
export function replicaReadShare(scene: LocalFleet): number {
  let replica = 0;
  let primary = 0;
  for (const proxy of scene.proxies) {
    const {metrics} = proxy.dump() as {
      metrics: {replicaReads: number; primaryReads: number};
    };
    replica += metrics.replicaReads;
    primary += metrics.primaryReads;
  }
  return Number((replica / Math.max(1, replica + primary)).toFixed(4));
}
