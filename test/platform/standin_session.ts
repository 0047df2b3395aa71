/** One connection of a stand-in database: its statements and transactions. */
import {Socket} from 'node:net';
import type {CommittedChange, StandinDatabase} from './standin_database.js';

/**
 * What a database did on a connection: `begun` and `ended` are those of its
 * transactions; `ran` is a caller's statement that had an effect or returned
 * rows; `unknown_name` is an EXECUTE of a name that the connection lacks.
 */
export type DatabaseEvent =
  | {readonly kind: 'begun' | 'ended'; readonly connection: string}
  | RanStatement
  | {
      readonly kind: 'unknown_name';
      readonly connection: string;
      readonly requestId: string;
    };

/** A caller's statement that a database ran, and its result. */
export interface RanStatement {
  readonly kind: 'ran';
  /** Unique among all connections that were ever opened. */
  readonly connection: string;
  readonly service: string;
  readonly customer: string;
  readonly requestId: string;
  readonly text: string;
  /** Values that were `SET` on the connection. */
  readonly values: ReadonlyMap<string, string>;
  /** Access and shape of the prepared statement that was executed. */
  readonly prepared?: string;
  readonly rows: readonly string[];
  readonly signature: string;
}

const isAtLeast = (position: string, minimum: string): boolean => {
  const [term, offset] = position.split('.').map(Number);
  const [minimumTerm, minimumOffset] = minimum.split('.').map(Number);
  return (
    term > minimumTerm || (term === minimumTerm && offset >= minimumOffset)
  );
};

/** Serves one connection; handles its lines in sequence. */
export class StandinSession {
  private customer = '';
  private partialLine = '';
  private processing: Promise<void> = Promise.resolve();
  private transaction:
    {readOnly: boolean; writes: CommittedChange[]} | undefined;
  private isFailed = false;
  /**
   * When the BEGIN of a transaction without a statement was received. Such a
   * transaction counts as a request; one with statements counts for these.
   */
  private emptySinceMs: number | undefined;
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<
    string,
    {access: string; shape: string}
  >();
  private readonly connection: string;
  /** Crashes of the database before this connection was opened. */
  private readonly crashCount: number;
  /** Address of the database that the connection was opened to. */
  private readonly host: string;

  private constructor(
    private readonly database: StandinDatabase,
    private readonly socket: Socket,
  ) {
    this.connection = `${database.id}#${database.connectionsOpened}`;
    this.crashCount = database.crashCount;
    this.host = String(socket.localAddress);
    socket.on('data', chunk => this.receive(chunk.toString('latin1')));
    socket.on('close', () => {
      this.processing = this.processing.then(() => this.endTransaction());
    });
  }

  private get isSilent(): boolean {
    const {isUnresponsive, silentHosts} = this.database;
    return isUnresponsive || silentHosts.has(this.host);
  }

  /** Whether the database has crashed since the connection was opened. */
  private get isGone(): boolean {
    return this.crashCount !== this.database.crashCount;
  }

  private endTransaction(): void {
    if (this.emptySinceMs !== undefined)
      this.database.recordRequest(this.emptySinceMs);
    this.emptySinceMs = undefined;
    if (this.transaction) {
      this.database.group.onEvent({kind: 'ended', connection: this.connection});
    }
    this.transaction = undefined;
    this.isFailed = false;
  }

  static serve(database: StandinDatabase, socket: Socket): void {
    new StandinSession(database, socket);
  }

  private receive(text: string): void {
    const lines = (this.partialLine + text).split('\r\n');
    this.partialLine = lines.pop() ?? '';
    const atMs = performance.now();
    for (const line of lines) {
      this.processing = this.processing.then(() => this.handleLine(line, atMs));
    }
  }

  private send(line: string): void {
    if (!this.isSilent && !this.database.dropsResponses) {
      this.socket.write(`${line}\r\n`, 'latin1');
    }
  }

  private sendReady(): void {
    const state = this.isFailed ? 'E' : this.transaction ? 'T' : 'I';
    this.send(`READY ${state} ${this.database.position}`);
  }

  private sendError(code: string): void {
    if (this.transaction) this.isFailed = true;
    this.send(`ERROR ${code} ${this.database.id}`);
    this.sendReady();
  }

  private sendDone(signature = '-'): void {
    this.send(`DONE ${signature}`);
    this.sendReady();
  }

  private async handleLine(line: string, atMs: number): Promise<void> {
    const {group, id} = this.database;
    if (this.isSilent || this.isGone) return;
    const [word, first, ...tail] = line.split(' ');
    if (word === 'START') {
      const [customer, expected] = tail;
      this.customer = customer;
      const isMisrouted =
        first !== group.service || (expected && expected !== id);
      if (isMisrouted) return void this.send(`ERROR MISROUTED ${id}`);
      if (this.database.sockets.size > group.maxConnections) {
        return void this.send(`ERROR TOOMANY ${id}`);
      }
      return this.sendReady();
    }
    if (word === 'QUERY') await this.handleQuery(first, tail.join(' '), atMs);
    if (word === 'BYE') this.socket.end();
  }

  private async handleQuery(
    requestId: string,
    full: string,
    atMs: number,
  ): Promise<void> {
    let text = full;
    if (text.startsWith('AFTER ')) {
      const [, minimum, ...rest] = text.split(' ');
      text = rest.join(' ');
      if (!isAtLeast(this.database.position, minimum)) {
        this.database.laggingCount++;
        this.database.recordRequest(atMs);
        return this.sendError('LAGGING');
      }
    }
    const [word, ...args] = text.split(' ');
    switch (word) {
      case 'STATUS':
      case 'PAUSE':
      case 'RESUME':
      case 'STEPDOWN':
        return this.runControl(word, Number(args[0]));
      case 'RESET':
        this.database.recordRequest(atMs);
        this.values.clear();
        this.prepared.clear();
        return this.sendDone();
      case 'SET':
        this.database.recordRequest(atMs);
        this.values.set(args[0], args.slice(1).join(' '));
        return this.sendDone();
      case 'PREPARE':
        this.database.recordRequest(atMs);
        this.prepared.set(args[0], {
          access: args[1],
          shape: args.slice(2).join(' '),
        });
        return this.sendDone();
      case 'BEGIN':
        if (args[0] !== 'READ' && !this.database.isPrimary) {
          this.send(`ERROR READONLY ${this.database.id}`);
          return this.sendReady();
        }
        this.endTransaction();
        this.transaction = {readOnly: args[0] === 'READ', writes: []};
        this.emptySinceMs = atMs;
        this.database.group.onEvent({
          kind: 'begun',
          connection: this.connection,
        });
        return this.sendDone();
      case 'ROLLBACK':
        this.endTransaction();
        return this.sendDone();
      default:
        if (!this.transaction || this.emptySinceMs !== undefined)
          this.database.receivedAtMs.push(atMs);
        this.emptySinceMs = undefined;
        this.database.recordRequest(atMs);
        return this.runStatement(requestId, text, word, args);
    }
  }

  private runControl(word: string, term: number): void {
    if (word === 'PAUSE') this.database.pause(term);
    if (word === 'RESUME') this.database.pausedAtTerm = 0;
    if (word === 'STEPDOWN' && this.database.group.acceptsStepDown) {
      this.database.isPrimary = false;
      this.database.group.onRoleChange();
    }
    const {isPrimary, receivedPosition, group, pausedAtTerm} = this.database;
    const role = isPrimary ? 'primary' : 'replica';
    const {heardTerm = group.term} = this.database;
    this.send(
      `ROW ${role} ${heardTerm} ${receivedPosition} ${pausedAtTerm} 0 0 1`,
    );
    this.sendDone();
  }

  private async runStatement(
    requestId: string,
    text: string,
    word: string,
    args: readonly string[],
  ): Promise<void> {
    const prepared =
      word === 'EXECUTE' ? this.prepared.get(args[0]) : undefined;
    const access = word === 'EXECUTE' ? prepared?.access : word;
    const {database, connection, customer} = this;
    const {group} = database;
    if (access === undefined) {
      group.onEvent({kind: 'unknown_name', connection, requestId});
      return this.sendError('NOSTMT');
    }
    if (this.isFailed) return this.sendError('MALFORMED');
    const isInWriteTransaction = this.transaction && !this.transaction.readOnly;
    const isWrite = access === 'WRITE';
    const needsPrimary = isWrite || isInWriteTransaction === true;
    if (!database.isPrimary && needsPrimary) return this.sendError('READONLY');
    await this.useSlot();
    if (this.isGone) return;
    if (Math.random() < database.failedShare) return this.sendError('FAILED');
    if (!database.isPrimary && needsPrimary) return this.sendError('READONLY');
    const values = new Map(this.values);
    database.executedStatements.push({
      database: database.id,
      customer,
      requestId,
      text,
      values,
      executedAtMs: performance.now(),
      needsPrimary,
    });
    const item = args[word === 'EXECUTE' ? 1 : 0];
    const rows =
      access === 'READ'
        ? [
            database.log
              .slice(0, database.replayedCount)
              .findLast(c => c.item === item)?.data ?? '-',
          ]
        : [];
    const signature = `sig.${database.id}.${requestId}.${database.executedStatements.length}`;
    group.onEvent({
      kind: 'ran',
      connection,
      service: group.service,
      customer,
      requestId,
      text,
      values,
      prepared: prepared && `${prepared.access} ${prepared.shape}`,
      rows,
      signature,
    });
    if (access !== 'READ') {
      await this.write(requestId, word, args, access);
      if (this.isGone) return;
    }
    for (const row of rows) this.send(`ROW ${row}`);
    this.sendDone(signature);
  }

  private async write(
    requestId: string,
    word: string,
    args: readonly string[],
    access: string,
  ): Promise<void> {
    const [item, data] = word === 'EXECUTE' ? args.slice(1) : args;
    const {transaction, database} = this;
    const {group} = database;
    const change = {term: 0, offset: 0, item, data, requestId};
    if (access === 'WRITE' && transaction) {
      transaction.writes.push(change);
      return;
    }
    const changes =
      access === 'COMMIT' ? (transaction?.writes ?? []) : [change];
    this.endTransaction();
    const commits = changes.map((next, index) => ({
      ...next,
      term: group.term,
      offset: database.log.length + 1 + index,
    }));
    database.log.push(...commits);
    const last = commits.at(-1);
    if (!last) return;
    await group.replicate(database, last);
    group.acknowledged.push(...commits);
  }

  /** Waits for a free slot and holds it for `executionMs`. */
  private async useSlot(): Promise<void> {
    const {database} = this;
    while (database.usedSlots >= database.group.slots) {
      await new Promise<void>(resolve => database.slotWaiters.push(resolve));
    }
    database.usedSlots++;
    await new Promise(resolve => setTimeout(resolve, database.executionMs));
    database.usedSlots--;
    database.slotWaiters.shift()?.();
  }
}
