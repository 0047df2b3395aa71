/**
 * A stand-in group of databases that speaks the platform's wire: one log a
 * database, replication with a lag, synchronous acknowledgement, transactions,
 * pause, resume and promotion. It keeps what the tests judge by.
 */
import {createServer, Server, Socket} from 'node:net';

/** One committed change. */
export interface CommittedChange {
  readonly term: number;
  readonly number: number;
  readonly item: string;
  readonly data: string;
  readonly requestId: string;
}

/** A statement that a database ran. */
export interface ExecutedStatement {
  readonly database: string;
  readonly customer: string;
  readonly requestId: string;
  readonly text: string;
  readonly values: ReadonlyMap<string, string>;
  readonly executedAtMs: number;
  /** Only a primary runs it. */
  readonly needsPrimary: boolean;
}

const VERSION = 'v1';

const positionOf = (log: readonly CommittedChange[], term: number): string => {
  const last = log[log.length - 1];
  return last ? `${last.term}.${last.number}` : `${term}.0`;
};

const isAtLeast = (position: string, wanted: string): boolean => {
  const [term, number] = position.split('.').map(Number);
  const [wantedTerm, wantedNumber] = wanted.split('.').map(Number);
  return term > wantedTerm || (term === wantedTerm && number >= wantedNumber);
};

/** One database of a group. */
export class StandinDatabase {
  readonly log: CommittedChange[] = [];
  readonly executedStatements: ExecutedStatement[] = [];
  readonly sockets = new Set<Socket>();
  connectionsOpened = 0;
  port = 0;
  isPrimary = false;
  isPaused = false;
  isDraining = false;
  /** Answers nothing, but keeps its connections. */
  isUnresponsive = false;
  /** Runs statements and answers none. */
  dropsResponses = false;
  executionMs = 1;
  busy = 0;
  waiting: Array<() => void> = [];
  private server: Server | undefined;

  constructor(
    readonly group: StandinGroup,
    readonly id: string,
    readonly zone: string,
  ) {}

  async start(): Promise<void> {
    this.server = createServer(socket => this.accept(socket));
    await new Promise<void>(resolve =>
      this.server?.listen(this.port, '127.0.0.1', resolve),
    );
    this.port = (this.server.address() as {port: number}).port;
  }

  /** Ends the process; its log stays. */
  async crash(): Promise<void> {
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

  /** The entry by which the database registers itself. */
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
      born: 1,
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

/** A service: databases that share a log by replication. */
export class StandinGroup {
  readonly databases: StandinDatabase[] = [];
  term = 1;
  slots = 2;
  lagMs = 3;
  maxConnections = 16;
  promotionMs = 30;
  /** Whether a promotion ends the lead of the former primary at once. */
  fencesFormerPrimary = true;
  /** Whether databases carry out `STEPDOWN`. */
  acceptsStepDown = true;
  /** When the last promotion took effect. */
  promotedAtMs = Infinity;
  onRoleChange: () => void = () => undefined;
  /** Commits told to a client as done. */
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

  /** The database that leads; the one promoted last where two say so. */
  get primary(): StandinDatabase | undefined {
    return this.databases.findLast(database => database.isPrimary);
  }

  find(id: string): StandinDatabase | undefined {
    return this.databases.find(database => database.id === id);
  }

  /** Sends a commit to the replicas; resolves once one has received it. */
  replicate(from: StandinDatabase, commit: CommittedChange): Promise<void> {
    return new Promise(resolve => {
      const send = (): void => {
        let received = false;
        for (const database of this.databases) {
          if (database === from || database.isPaused || !database.isRunning) {
            continue;
          }
          const has = database.log.some(c => c.number === commit.number);
          if (!has && database.log.length === commit.number - 1) {
            database.log.push(commit);
          }
          received ||= database.log.some(c => c === commit);
        }
        if (received) resolve();
        else if (from.isPrimary) setTimeout(send, this.lagMs);
      };
      setTimeout(send, this.lagMs);
    });
  }

  /** Carries a promotion out after its time. */
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

/** One connection to a stand-in database. */
class StandinSession {
  private customer = '';
  private rest = '';
  private queue: Promise<void> = Promise.resolve();
  private transaction:
    {readOnly: boolean; writes: CommittedChange[]} | undefined;
  private failed = false;
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, string>();

  private constructor(
    private readonly database: StandinDatabase,
    private readonly socket: Socket,
  ) {
    socket.on('data', chunk => this.receive(chunk.toString('latin1')));
  }

  static serve(database: StandinDatabase, socket: Socket): void {
    new StandinSession(database, socket);
  }

  private receive(text: string): void {
    const lines = (this.rest + text).split('\r\n');
    this.rest = lines.pop() ?? '';
    for (const line of lines) {
      this.queue = this.queue.then(() => this.handle(line));
    }
  }

  private send(line: string): void {
    if (!this.database.isUnresponsive && !this.database.dropsResponses) {
      this.socket.write(`${line}\r\n`, 'latin1');
    }
  }

  private ready(): void {
    const state = this.failed ? 'E' : this.transaction ? 'T' : 'I';
    this.send(`READY ${state} ${this.database.position}`);
  }

  private error(code: string): void {
    if (this.transaction) this.failed = true;
    this.send(`ERROR ${code} ${this.database.id}`);
    this.ready();
  }

  private done(signature = '-'): void {
    this.send(`DONE ${signature}`);
    this.ready();
  }

  private async handle(line: string): Promise<void> {
    const {group, id} = this.database;
    if (this.database.isUnresponsive) return;
    const [word, first, ...tail] = line.split(' ');
    if (word === 'START') {
      const [customer, expected] = tail;
      this.customer = customer;
      const wrong = first !== group.service || (expected && expected !== id);
      if (wrong) return void this.send(`ERROR MISROUTED ${id}`);
      if (this.database.sockets.size > group.maxConnections) {
        return void this.send(`ERROR TOOMANY ${id}`);
      }
      return this.ready();
    }
    if (word === 'QUERY') await this.query(first, tail.join(' '));
    if (word === 'BYE') this.socket.end();
  }

  private async query(requestId: string, full: string): Promise<void> {
    let text = full;
    if (text.startsWith('AFTER ')) {
      const [, wanted, ...rest] = text.split(' ');
      text = rest.join(' ');
      if (!isAtLeast(this.database.position, wanted)) {
        return this.error('LAGGING');
      }
    }
    const [word, ...args] = text.split(' ');
    switch (word) {
      case 'STATUS':
      case 'PAUSE':
      case 'RESUME':
      case 'STEPDOWN':
        return this.control(word);
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        return this.done();
      case 'SET':
        this.values.set(args[0], args.slice(1).join(' '));
        return this.done();
      case 'PREPARE':
        this.prepared.set(args[0], args[1]);
        return this.done();
      case 'BEGIN':
        if (args[0] !== 'READ' && !this.database.isPrimary) {
          this.send(`ERROR READONLY ${this.database.id}`);
          return this.ready();
        }
        this.transaction = {readOnly: args[0] === 'READ', writes: []};
        return this.done();
      case 'ROLLBACK':
        this.transaction = undefined;
        this.failed = false;
        return this.done();
      default:
        return this.work(requestId, text, word, args);
    }
  }

  private control(word: string): void {
    if (word === 'PAUSE') this.database.isPaused = true;
    if (word === 'RESUME') this.database.isPaused = false;
    if (word === 'STEPDOWN' && this.database.group.acceptsStepDown) {
      this.database.isPrimary = false;
      this.database.group.onRoleChange();
    }
    const {isPrimary: leads, position, group} = this.database;
    const role = leads ? 'primary' : 'replica';
    this.send(`ROW ${role} ${group.term} ${position} ${group.term} 0 0 1`);
    this.done();
  }

  private async work(
    requestId: string,
    text: string,
    word: string,
    args: readonly string[],
  ): Promise<void> {
    const access = word === 'EXECUTE' ? this.prepared.get(args[0]) : word;
    if (access === undefined) return this.error('NOSTMT');
    if (this.failed) return this.error('MALFORMED');
    const plain = this.transaction && !this.transaction.readOnly;
    const writes = access === 'WRITE';
    if (!this.database.isPrimary && (writes || plain)) {
      return this.error('READONLY');
    }
    await this.occupySlot();
    this.database.executedStatements.push({
      database: this.database.id,
      customer: this.customer,
      requestId,
      text,
      values: new Map(this.values),
      executedAtMs: performance.now(),
      needsPrimary: writes || plain === true,
    });
    if (access === 'READ') {
      const item = args[word === 'EXECUTE' ? 1 : 0];
      const found = this.database.log.filter(c => c.item === item).at(-1);
      this.send(`ROW ${found?.data ?? '-'}`);
      return this.done(`sig.${this.database.id}`);
    }
    return this.write(requestId, word, args, access);
  }

  private async write(
    requestId: string,
    word: string,
    args: readonly string[],
    access: string,
  ): Promise<void> {
    const [item, data] = word === 'EXECUTE' ? args.slice(1) : args;
    const open = this.transaction;
    const change = {term: 0, number: 0, item, data, requestId};
    if (access === 'WRITE' && open) {
      open.writes.push(change);
      return this.done(`sig.${this.database.id}`);
    }
    const changes = access === 'COMMIT' ? (open?.writes ?? []) : [change];
    this.transaction = undefined;
    for (const next of changes) {
      const commit = {
        ...next,
        term: this.database.group.term,
        number: this.database.log.length + 1,
      };
      this.database.log.push(commit);
      await this.database.group.replicate(this.database, commit);
      this.database.group.acknowledged.push(commit);
    }
    this.done(`sig.${this.database.id}`);
  }

  private async occupySlot(): Promise<void> {
    const {database} = this;
    while (database.busy >= database.group.slots) {
      await new Promise<void>(resolve => database.waiting.push(resolve));
    }
    database.busy++;
    await new Promise(resolve => setTimeout(resolve, database.executionMs));
    database.busy--;
    database.waiting.shift()?.();
  }
}
