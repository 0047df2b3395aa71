/**
 * Callers that record the outcome of every request, so that the outcomes can be
 * compared with the databases' logs.
 */
import pg from 'pg';
import {LocalFleet} from '../src/standin/local_fleet.js';

/** Outcome of a request as its caller saw it. */
type ReportedOutcome = 'acknowledged' | 'not_run' | 'unknown';

/** Number of requests by outcome, after comparison with the log. */
export interface WorkloadOutcomes {
  readonly requests: number;
  /** Writes that were acknowledged but are missing from the primary's log. */
  readonly lost: number;
  /** Writes that were executed more than once. */
  readonly doubled: number;
  /** Writes that were reported as not run but are in the log. */
  readonly falseNotRun: number;
  /** Transactions with only one of their two rows in the log. */
  readonly torn: number;
  /** Reads that missed an acknowledged write of their session. */
  readonly stale: number;
  /** Reads that returned the value of another request. */
  readonly crossed: number;
  readonly unknown: number;
  readonly notRun: number;
  /** Error messages of requests with an unknown outcome, with counts. */
  readonly unknownMessages: Readonly<Record<string, number>>;
  /** Longest time in which no caller had a write acknowledged. */
  readonly gapMs: number;
}

export interface WorkloadOptions {
  readonly service: string;
  readonly customer: string;
  readonly callers: number;
  /** Statement timeout of the clients. */
  readonly clientTimeoutMs: number;
}

const TABLE = 'bookings';
const UNIQUE_VIOLATION = '23505';
const RECONNECT_DELAY_MS = 50;

/** Runs callers until stopped, then counts the outcomes of their requests. */
export class Workload {
  private readonly reportedOutcomes = new Map<string, ReportedOutcome>();
  private readonly transactionIds: string[] = [];
  private readonly loops: Promise<void>[] = [];
  private stopping = false;
  private lastAcknowledgedAtMs = Date.now();
  private gapMs = 0;
  private doubled = 0;
  private stale = 0;
  private crossed = 0;
  private notRun = 0;
  private readonly unknownMessages = new Map<string, number>();

  private constructor(
    private readonly fleet: LocalFleet,
    private readonly options: WorkloadOptions,
  ) {
    for (let i = 0; i < options.callers; i++) this.loops.push(this.runLoop(i));
  }

  static create(fleet: LocalFleet, options: WorkloadOptions): Workload {
    return new Workload(fleet, options);
  }

  get acknowledgedCount(): number {
    return [...this.reportedOutcomes.values()].filter(
      outcome => outcome === 'acknowledged',
    ).length;
  }

  /** Restarts measuring the longest time without an acknowledged write. */
  resetGap(): void {
    this.lastAcknowledgedAtMs = Date.now();
    this.gapMs = 0;
  }

  /** Stops the callers and compares the outcomes they saw with the log. */
  async stopAndReconcile(): Promise<WorkloadOutcomes> {
    this.stopping = true;
    this.gapMs = Math.max(this.gapMs, Date.now() - this.lastAcknowledgedAtMs);
    await Promise.all(this.loops);
    const committedIds = this.fleet
      .group(this.options.service)
      .committedIds(TABLE);
    const committed = new Set(committedIds);
    const idsWithOutcome = (outcome: ReportedOutcome): string[] =>
      [...this.reportedOutcomes]
        .filter(entry => entry[1] === outcome)
        .map(entry => entry[0]);
    return {
      requests: this.reportedOutcomes.size,
      lost: idsWithOutcome('acknowledged').filter(id => !committed.has(id))
        .length,
      doubled: this.doubled + committedIds.length - committed.size,
      falseNotRun: idsWithOutcome('not_run').filter(id => committed.has(id))
        .length,
      torn: this.transactionIds.filter(
        id => committed.has(`${id}-a`) !== committed.has(`${id}-b`),
      ).length,
      stale: this.stale,
      crossed: this.crossed,
      unknown: idsWithOutcome('unknown').length,
      notRun: this.notRun,
      unknownMessages: Object.fromEntries(this.unknownMessages),
      gapMs: this.gapMs,
    };
  }

  private async runLoop(callerIndex: number): Promise<void> {
    let client: pg.Client | undefined;
    let token = '';
    for (let requestIndex = 0; !this.stopping; requestIndex++) {
      client ??= await this.connect(callerIndex + requestIndex, token);
      if (!client) continue;
      const id = `${callerIndex}-${requestIndex}`;
      try {
        await (requestIndex % 3 === 2
          ? this.insertPairInTransaction(client, id)
          : this.insertAndRead(client, id));
        token = await readSessionToken(client);
      } catch {
        // After any error the caller continues on a new connection.
        client.end().catch(() => undefined);
        client = undefined;
      }
    }
    await client?.end().catch(() => undefined);
  }

  /** Connects through the proxies in turn; returns undefined on failure. */
  private async connect(
    attempt: number,
    token: string,
  ): Promise<pg.Client | undefined> {
    const {service, customer, clientTimeoutMs} = this.options;
    const client = this.fleet.createClient(
      attempt % this.fleet.proxies.length,
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
      await new Promise(resolve => setTimeout(resolve, RECONNECT_DELAY_MS));
      return undefined;
    }
  }

  private async insertAndRead(client: pg.Client, id: string): Promise<void> {
    await this.runAndRecord([id], () =>
      client.query(`INSERT INTO ${TABLE} (id, v) VALUES ($1, $2)`, [id, id]),
    );
    const {rows} = await client.query(`SELECT v FROM ${TABLE} WHERE id = $1`, [
      id,
    ]);
    if (rows.length === 0) this.stale++;
    else if (rows[0].v !== id) this.crossed++;
  }

  private async insertPairInTransaction(
    client: pg.Client,
    id: string,
  ): Promise<void> {
    this.transactionIds.push(id);
    const insert = `INSERT INTO ${TABLE} (id, v) VALUES ($1, $2)`;
    await this.runAndRecord([`${id}-a`, `${id}-b`], async () => {
      await client.query('BEGIN');
      await client.query(insert, [`${id}-a`, id]);
      await client.query(insert, [`${id}-b`, id]);
      const {command} = await client.query('COMMIT');
      if (command === 'ROLLBACK') throw new Error('outcome=not_run');
    });
  }

  private async runAndRecord(
    ids: readonly string[],
    run: () => Promise<unknown>,
  ): Promise<void> {
    try {
      await run();
      this.recordOutcome(ids, 'acknowledged');
      const nowMs = Date.now();
      this.gapMs = Math.max(this.gapMs, nowMs - this.lastAcknowledgedAtMs);
      this.lastAcknowledgedAtMs = nowMs;
    } catch (error) {
      this.recordOutcome(ids, outcomeOf(error as pg.DatabaseError));
      this.countUnknownMessage(error as pg.DatabaseError);
      if ((error as pg.DatabaseError).code === UNIQUE_VIOLATION) this.doubled++;
      throw error;
    }
  }

  private countUnknownMessage(error: pg.DatabaseError): void {
    if (outcomeOf(error) !== 'unknown') return;
    const count = this.unknownMessages.get(error.message) ?? 0;
    this.unknownMessages.set(error.message, count + 1);
  }

  private recordOutcome(
    ids: readonly string[],
    outcome: ReportedOutcome,
  ): void {
    for (const id of ids) this.reportedOutcomes.set(id, outcome);
    if (outcome === 'not_run') this.notRun++;
  }
}

function outcomeOf(error: pg.DatabaseError): ReportedOutcome {
  const text = `${error.detail ?? ''} ${error.message}`;
  return text.includes('outcome=not_run') ? 'not_run' : 'unknown';
}

async function readSessionToken(client: pg.Client): Promise<string> {
  const result = await client.query('SHOW mustardpass.session');
  return String(result.rows[0]['mustardpass.session']);
}
