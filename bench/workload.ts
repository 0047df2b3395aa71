/** Callers whose every request is accounted for against the databases' logs. */
import pg from 'pg';
import {LocalFleet} from '../src/standin/local_fleet.js';

/** What a caller was told about a request. */
type Told = 'acknowledged' | 'not_run' | 'unknown';

/** Accounts of one run. */
export interface Accounts {
  readonly requests: number;
  /** Acknowledged, but not in the primary's log. */
  readonly lost: number;
  /** Run more than once. */
  readonly doubled: number;
  /** Refused as not run, but in the log. */
  readonly falseNotRun: number;
  /** Transactions of which only a part is in the log. */
  readonly torn: number;
  /** Reads that missed an acknowledged write of their session. */
  readonly stale: number;
  /** Answers to another request. */
  readonly crossed: number;
  readonly unknown: number;
  readonly notRun: number;
  /** What callers with an unknown outcome were told, with counts. */
  readonly unknownSays: Readonly<Record<string, number>>;
  /** Longest time without an acknowledged write anywhere. */
  readonly gapMs: number;
}

/** How callers behave. */
export interface WorkloadOptions {
  readonly service: string;
  readonly customer: string;
  readonly callers: number;
  /** Statement time limit at the client. */
  readonly clientTimeoutMs: number;
}

const TABLE = 'bookings';
const UNIQUE_VIOLATION = '23505';
const RECONNECT_MS = 50;

/** Runs callers until stopped, then settles the accounts. */
export class Workload {
  private readonly told = new Map<string, Told>();
  private readonly pairs: string[] = [];
  private readonly callers: Promise<void>[] = [];
  private stopping = false;
  private lastAckAtMs = Date.now();
  private gapMs = 0;
  private doubled = 0;
  private stale = 0;
  private crossed = 0;
  private notRun = 0;
  private readonly unknownSays = new Map<string, number>();

  private constructor(
    private readonly scene: LocalFleet,
    private readonly options: WorkloadOptions,
  ) {
    for (let i = 0; i < options.callers; i++) this.callers.push(this.call(i));
  }

  static create(scene: LocalFleet, options: WorkloadOptions): Workload {
    return new Workload(scene, options);
  }

  get acknowledged(): number {
    return [...this.told.values()].filter(t => t === 'acknowledged').length;
  }

  /** Starts measuring the gap afresh. */
  resetGap(): void {
    this.lastAckAtMs = Date.now();
    this.gapMs = 0;
  }

  /** Stops the callers and compares what they were told with the log. */
  async settle(): Promise<Accounts> {
    this.stopping = true;
    this.gapMs = Math.max(this.gapMs, Date.now() - this.lastAckAtMs);
    await Promise.all(this.callers);
    const ids = this.scene.group(this.options.service).committedIds(TABLE);
    const inLog = new Set(ids);
    const withTold = (told: Told): string[] =>
      [...this.told].filter(entry => entry[1] === told).map(entry => entry[0]);
    return {
      requests: this.told.size,
      lost: withTold('acknowledged').filter(id => !inLog.has(id)).length,
      doubled: this.doubled + ids.length - inLog.size,
      falseNotRun: withTold('not_run').filter(id => inLog.has(id)).length,
      torn: this.pairs.filter(
        id => inLog.has(`${id}-a`) !== inLog.has(`${id}-b`),
      ).length,
      stale: this.stale,
      crossed: this.crossed,
      unknown: withTold('unknown').length,
      notRun: this.notRun,
      unknownSays: Object.fromEntries(this.unknownSays),
      gapMs: this.gapMs,
    };
  }

  private async call(index: number): Promise<void> {
    let client: pg.Client | undefined;
    let token = '';
    for (let n = 0; !this.stopping; n++) {
      client ??= await this.connect(index + n, token);
      if (!client) continue;
      const id = `${index}-${n}`;
      try {
        await (n % 3 === 2
          ? this.transact(client, id)
          : this.insertAndRead(client, id));
        token = await readToken(client);
      } catch {
        // Whatever failed, the caller starts again on a new connection.
        client.end().catch(() => undefined);
        client = undefined;
      }
    }
    await client?.end().catch(() => undefined);
  }

  private async connect(
    turn: number,
    token: string,
  ): Promise<pg.Client | undefined> {
    const {service, customer, clientTimeoutMs} = this.options;
    const client = this.scene.createClient(
      turn % this.scene.proxies.length,
      customer,
      service,
      {connectionTimeoutMillis: 1_000, query_timeout: clientTimeoutMs},
    );
    try {
      await client.connect();
      if (token) await client.query(`SET mustardpass.session = '${token}'`);
      return client;
    } catch {
      client.end().catch(() => undefined);
      await new Promise(resolve => setTimeout(resolve, RECONNECT_MS));
      return undefined;
    }
  }

  private async insertAndRead(client: pg.Client, id: string): Promise<void> {
    await this.account([id], () =>
      client.query(`INSERT INTO ${TABLE} (id, v) VALUES ($1, $2)`, [id, id]),
    );
    const {rows} = await client.query(`SELECT v FROM ${TABLE} WHERE id = $1`, [
      id,
    ]);
    if (rows.length === 0) this.stale++;
    else if (rows[0].v !== id) this.crossed++;
  }

  private async transact(client: pg.Client, id: string): Promise<void> {
    this.pairs.push(id);
    const insert = `INSERT INTO ${TABLE} (id, v) VALUES ($1, $2)`;
    await this.account([`${id}-a`, `${id}-b`], async () => {
      await client.query('BEGIN');
      await client.query(insert, [`${id}-a`, id]);
      await client.query(insert, [`${id}-b`, id]);
      const {command} = await client.query('COMMIT');
      if (command === 'ROLLBACK') throw new Error('outcome=not_run');
    });
  }

  private async account(
    ids: readonly string[],
    run: () => Promise<unknown>,
  ): Promise<void> {
    try {
      await run();
      this.note(ids, 'acknowledged');
      const nowMs = Date.now();
      this.gapMs = Math.max(this.gapMs, nowMs - this.lastAckAtMs);
      this.lastAckAtMs = nowMs;
    } catch (error) {
      this.note(ids, toldBy(error as pg.DatabaseError));
      this.countUnknown(error as pg.DatabaseError);
      if ((error as pg.DatabaseError).code === UNIQUE_VIOLATION) this.doubled++;
      throw error;
    }
  }

  private countUnknown(error: pg.DatabaseError): void {
    if (toldBy(error) !== 'unknown') return;
    const known = this.unknownSays.get(error.message) ?? 0;
    this.unknownSays.set(error.message, known + 1);
  }

  private note(ids: readonly string[], told: Told): void {
    for (const id of ids) this.told.set(id, told);
    if (told === 'not_run') this.notRun++;
  }
}

function toldBy(error: pg.DatabaseError): Told {
  const said = `${error.detail ?? ''} ${error.message}`;
  return said.includes('outcome=not_run') ? 'not_run' : 'unknown';
}

async function readToken(client: pg.Client): Promise<string> {
  const shown = await client.query('SHOW mustardpass.session');
  return String(shown.rows[0]['mustardpass.session']);
}
