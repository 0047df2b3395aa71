/**
 * A stand-in database group that speaks the platform's wire protocol: each
 * database has a log, replicates with a lag, acknowledges commits after one
 * replica has them, and supports transactions, pause, resume and promotion.
 * Logs, executed statements and acknowledged commits are kept for assertions.
 */
import {createServer, Server, Socket} from 'node:net';

/** A write in the log; `term` and `offset` are its log position. */
export interface CommittedChange {
  readonly term: number;
  readonly offset: number;
  readonly item: string;
  readonly data: string;
  readonly requestId: string;
}

/**
 * Record of an executed statement; `values` are the values that the session had
 * `SET` by then.
 */
export interface ExecutedStatement {
  readonly database: string;
  readonly customer: string;
  readonly requestId: string;
  readonly text: string;
  readonly values: ReadonlyMap<string, string>;
  readonly executedAtMs: number;
  /**
   * Whether the statement is a write or belongs to a read-write transaction.
   */
  readonly needsPrimary: boolean;
}

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

const VERSION = 'v1';

const positionOf = (log: readonly CommittedChange[], term: number): string => {
  const last = log[log.length - 1];
  return last ? `${last.term}.${last.offset}` : `${term}.0`;
};

const isAtLeast = (position: string, minimum: string): boolean => {
  const [term, offset] = position.split('.').map(Number);
  const [minimumTerm, minimumOffset] = minimum.split('.').map(Number);
  return (
    term > minimumTerm || (term === minimumTerm && offset >= minimumOffset)
  );
};

/**
 * A database with its own log and server; `start` after `crash` serves the kept
 * log on the same port.
 */
export class StandinDatabase {
  readonly log: CommittedChange[] = [];
  readonly executedStatements: ExecutedStatement[] = [];
  readonly sockets = new Set<Socket>();
  connectionsOpened = 0;
  /** How often the database crashed. */
  crashCount = 0;
  port = 0;
  isPrimary = false;
  isPaused = false;
  isDraining = false;
  /** Ignores all messages but keeps its connections open. */
  isUnresponsive = false;
  /** Executes statements but sends no response. */
  dropsResponses = false;
  executionMs = 1;
  usedSlots = 0;
  slotWaiters: Array<() => void> = [];
  private server: Server | undefined;

  constructor(
    readonly group: StandinGroup,
    readonly id: string,
    readonly zone: string,
  ) {}

  async start(): Promise<void> {
    this.isPaused = false;
    this.server = createServer(socket => this.accept(socket));
    await new Promise<void>(resolve =>
      this.server?.listen(this.port, '127.0.0.1', resolve),
    );
    this.port = (this.server.address() as {port: number}).port;
  }

  /** Closes the server and all connections; the log is kept. */
  async crash(): Promise<void> {
    this.crashCount++;
    for (const socket of this.sockets) socket.destroy();
    const {server} = this;
    this.server = undefined;
    if (server) await new Promise(resolve => server.close(resolve));
  }

  get isRunning(): boolean {
    return this.server !== undefined;
  }

  get position(): string {
    return positionOf(this.log, this.group.term);
  }

  /** Returns the store entry with which the database registers itself. */
  registrationEntry(): object {
    return {
      service: this.group.service,
      addr: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: VERSION,
      slots: this.group.slots,
      state: this.isDraining ? 'draining' : 'ready',
      cold_left_ms: 0,
      db_role: this.isPrimary ? 'primary' : 'replica',
      seq: 1,
      born: 1 + this.crashCount,
    };
  }

  private accept(socket: Socket): void {
    this.connectionsOpened++;
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => undefined);
    StandinSession.serve(this, socket);
  }
}

/** A service: the databases that replicate one log. */
export class StandinGroup {
  readonly databases: StandinDatabase[] = [];
  term = 1;
  slots = 2;
  lagMs = 3;
  maxConnections = 16;
  promotionMs = 30;
  /** Whether a promotion makes the former primary a replica at once. */
  fencesFormerPrimary = true;
  /** Whether databases obey `STEPDOWN`. */
  acceptsStepDown = true;
  /** Time when the last promotion took effect, by `performance.now()`. */
  promotedAtMs = Infinity;
  onRoleChange: () => void = () => undefined;
  /** Receives what the group's databases do, in order. */
  onEvent: (event: DatabaseEvent) => void = () => undefined;
  /**
   * Commits that a replica has, so that the primary may report success to the
   * client.
   */
  readonly acknowledged: CommittedChange[] = [];

  constructor(readonly service: string) {}

  static async start(
    service: string,
    zones: readonly string[],
  ): Promise<StandinGroup> {
    const group = new StandinGroup(service);
    for (const [index, zone] of zones.entries()) {
      const database = new StandinDatabase(
        group,
        `i-${service}-${index}`,
        zone,
      );
      database.isPrimary = index === 0;
      group.databases.push(database);
      await database.start();
    }
    return group;
  }

  /** The primary; the last in the list if several databases claim the role. */
  get primary(): StandinDatabase | undefined {
    return this.databases.findLast(database => database.isPrimary);
  }

  find(id: string): StandinDatabase | undefined {
    return this.databases.find(database => database.id === id);
  }

  /**
   * Sends a commit to the replicas every `lagMs` until one has it. Never
   * resolves if `from` stops being primary before that.
   */
  replicate(from: StandinDatabase, commit: CommittedChange): Promise<void> {
    return new Promise(resolve => {
      const send = (): void => {
        if (!from.isRunning) return;
        let isReplicated = false;
        for (const database of this.databases) {
          if (database === from || database.isPaused || !database.isRunning) {
            continue;
          }
          const known = database.log.length;
          database.log.push(...from.log.slice(known, commit.offset));
          isReplicated ||= database.log[commit.offset - 1] === commit;
        }
        if (isReplicated) resolve();
        else if (from.isPrimary) setTimeout(send, this.lagMs);
      };
      setTimeout(send, this.lagMs);
    });
  }

  /**
   * Promotes a database after `promotionMs`; returns false, without any effect,
   * if it is not running.
   */
  promote(id: string): boolean {
    const target = this.find(id);
    if (!target?.isRunning) return false;
    if (target.isPrimary) return true;
    setTimeout(() => {
      this.term++;
      this.promotedAtMs = performance.now();
      for (const database of this.databases) {
        if (database.isPrimary && !this.fencesFormerPrimary) continue;
        database.isPrimary = database === target;
        database.isPaused = false;
        database.log.splice(target.log.length);
      }
      this.onRoleChange();
    }, this.promotionMs);
    return true;
  }

  async stop(): Promise<void> {
    await Promise.all(this.databases.map(database => database.crash()));
  }
}

/** Serves one connection; handles its lines in sequence. */
class StandinSession {
  private customer = '';
  private partialLine = '';
  private processing: Promise<void> = Promise.resolve();
  private transaction:
    {readOnly: boolean; writes: CommittedChange[]} | undefined;
  private isFailed = false;
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<
    string,
    {access: string; shape: string}
  >();
  private readonly connection: string;
  /** Crashes of the database before this connection was opened. */
  private readonly crashCount: number;

  private constructor(
    private readonly database: StandinDatabase,
    private readonly socket: Socket,
  ) {
    this.connection = `${database.id}#${database.connectionsOpened}`;
    this.crashCount = database.crashCount;
    socket.on('data', chunk => this.receive(chunk.toString('latin1')));
    socket.on('close', () => {
      this.processing = this.processing.then(() => this.endTransaction());
    });
  }

  /** Whether the database has crashed since the connection was opened. */
  private get isGone(): boolean {
    return this.crashCount !== this.database.crashCount;
  }

  private endTransaction(): void {
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
    for (const line of lines) {
      this.processing = this.processing.then(() => this.handleLine(line));
    }
  }

  private send(line: string): void {
    if (!this.database.isUnresponsive && !this.database.dropsResponses) {
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

  private async handleLine(line: string): Promise<void> {
    const {group, id} = this.database;
    if (this.database.isUnresponsive || this.isGone) return;
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
    if (word === 'QUERY') await this.handleQuery(first, tail.join(' '));
    if (word === 'BYE') this.socket.end();
  }

  private async handleQuery(requestId: string, full: string): Promise<void> {
    let text = full;
    if (text.startsWith('AFTER ')) {
      const [, minimum, ...rest] = text.split(' ');
      text = rest.join(' ');
      if (!isAtLeast(this.database.position, minimum)) {
        return this.sendError('LAGGING');
      }
    }
    const [word, ...args] = text.split(' ');
    switch (word) {
      case 'STATUS':
      case 'PAUSE':
      case 'RESUME':
      case 'STEPDOWN':
        return this.runControl(word);
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        return this.sendDone();
      case 'SET':
        this.values.set(args[0], args.slice(1).join(' '));
        return this.sendDone();
      case 'PREPARE':
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
        this.database.group.onEvent({
          kind: 'begun',
          connection: this.connection,
        });
        return this.sendDone();
      case 'ROLLBACK':
        this.endTransaction();
        return this.sendDone();
      default:
        return this.runStatement(requestId, text, word, args);
    }
  }

  private runControl(word: string): void {
    if (word === 'PAUSE') this.database.isPaused = true;
    if (word === 'RESUME') this.database.isPaused = false;
    if (word === 'STEPDOWN' && this.database.group.acceptsStepDown) {
      this.database.isPrimary = false;
      this.database.group.onRoleChange();
    }
    const {isPrimary, position, group} = this.database;
    const role = isPrimary ? 'primary' : 'replica';
    this.send(`ROW ${role} ${group.term} ${position} ${group.term} 0 0 1`);
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
        ? [database.log.findLast(c => c.item === item)?.data ?? '-']
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
