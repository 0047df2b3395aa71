/**
 * A stand-in database group that speaks the platform's wire protocol: each
 * database has a log, replicates with a lag, acknowledges commits after one
 * replica has them, and supports transactions, pause, resume and promotion.
 * Logs, executed statements and acknowledged commits are kept for assertions.
 */
import {createServer, Server, Socket} from 'node:net';
import type {StandinReplication} from './standin_replication.js';
import {DatabaseEvent, StandinSession} from './standin_session.js';

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

/** The order that a promotion carries out. */
export interface PromotionOrder {
  /** Front that it names as sender. */
  readonly holder: string;
  readonly fencingToken: number;
  /** When it was received, by `performance.now()`. */
  readonly receivedAtMs: number;
}

const VERSION = 'v1';

const positionOf = (log: readonly CommittedChange[], term: number): string => {
  const last = log[log.length - 1];
  return last ? `${last.term}.${last.offset}` : `${term}.0`;
};

/** Term of the position that an empty log has. */
const emptyTermOf = ({replication, term}: StandinGroup): number =>
  replication ? 1 : term;

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
  /** Term of the pause in which it receives no log; 0 while it receives. */
  pausedAtTerm = 0;
  isDraining = false;
  /** Ignores all messages but keeps its connections open. */
  isUnresponsive = false;
  /** The same for the connections to some of its addresses. */
  readonly silentHosts = new Set<string>();
  /** Addresses at which it closes new connections. */
  readonly refusedHosts = new Set<string>();
  /** Executes statements but sends no response. */
  dropsResponses = false;
  /**
   * Share of callers' statements that it answers with FAILED; it reports itself
   * healthy and accepts transactions.
   */
  failedShare = 0;
  /**
   * Number of log entries that it has replayed, if it has received more; it
   * acknowledges what it receives.
   */
  replayedCount: number | undefined;
  /** Statements that it refused as its log is behind. */
  laggingCount = 0;
  executionMs = 1;
  /** The newest term that it has heard of, if not that of its group. */
  heardTerm: number | undefined;
  /** Whether it writes its entry to the store. */
  reachesStore = true;
  /** How much later than by `lagMs` a commit of the primary reaches it. */
  linkDelayMs = 0;
  /** When it begins to receive, by `performance.now()`; with `replication`. */
  receivesFromMs = -Infinity;
  /**
   * When it received callers' single statements and the first ones of
   * transactions, also those that it refused.
   */
  readonly receivedAtMs: number[] = [];
  /** Until when it is cold, by `performance.now()`; set when it starts. */
  coldUntilMs = -Infinity;
  /** When it received the requests that it got while it was cold. */
  readonly coldRequestsAtMs: number[] = [];
  usedSlots = 0;
  slotWaiters: Array<() => void> = [];
  private servers: readonly Server[] = [];
  private entryCount = 0;

  constructor(
    readonly group: StandinGroup,
    readonly id: string,
    public zone: string,
  ) {}

  async start(): Promise<void> {
    this.pausedAtTerm = 0;
    this.coldUntilMs = performance.now() + this.group.coldStartMs;
    const servers: Server[] = [];
    for (const host of this.group.hosts) {
      const server = createServer(socket => this.accept(socket));
      await new Promise<void>(resolve =>
        server.listen(this.port, host, resolve),
      );
      this.port = (server.address() as {port: number}).port;
      servers.push(server);
    }
    this.servers = servers;
  }

  /** Closes the server and all connections; the log is kept. */
  async crash(): Promise<void> {
    this.crashCount++;
    for (const socket of this.sockets) socket.destroy();
    const {servers} = this;
    this.servers = [];
    await Promise.all(
      servers.map(server => new Promise(resolve => server.close(resolve))),
    );
  }

  get isPaused(): boolean {
    return this.pausedAtTerm > 0;
  }

  /** Counts a request that was received at `atMs` if it was cold then. */
  recordRequest(atMs: number): void {
    if (atMs < this.coldUntilMs) this.coldRequestsAtMs.push(atMs);
  }

  get isRunning(): boolean {
    return this.servers.length > 0;
  }

  /** Stops receiving the log, unless the term is not above the present one. */
  pause(term: number): void {
    const isAbove = term > Math.max(this.group.term, this.pausedAtTerm);
    if (isAbove) this.pausedAtTerm = term;
  }

  /** Position up to which it has replayed its log. */
  get position(): string {
    return positionOf(
      this.log.slice(0, this.replayedCount),
      emptyTermOf(this.group),
    );
  }

  /** Position up to which it has received the log. */
  get receivedPosition(): string {
    return positionOf(this.log, emptyTermOf(this.group));
  }

  /** Returns the store entry with which the database registers itself. */
  registrationEntry(): object {
    const coldLeftMs = Math.max(0, this.coldUntilMs - performance.now());
    if (coldLeftMs > 0 || this.entryCount === 0) this.entryCount++;
    return {
      service: this.group.service,
      addr: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: VERSION,
      slots: this.group.slots,
      state: this.isDraining ? 'draining' : 'ready',
      cold_left_ms: Math.round(coldLeftMs),
      db_role: this.isPrimary ? 'primary' : 'replica',
      seq: this.entryCount,
      born: 1 + this.crashCount,
    };
  }

  private accept(socket: Socket): void {
    if (this.refusedHosts.has(String(socket.localAddress)))
      return void socket.destroy();
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
  /** Addresses of the databases, each with the same port. */
  hosts: readonly string[] = ['127.0.0.1'];
  term = 1;
  slots = 2;
  lagMs = 3;
  maxConnections = 16;
  promotionMs = 30;
  /** How long a database is cold after its start. */
  coldStartMs = 0;
  /** Whether a promotion makes the former primary a replica at once. */
  fencesFormerPrimary = true;
  /** Whether databases obey `STEPDOWN`. */
  acceptsStepDown = true;
  /** Time when the last promotion took effect, by `performance.now()`. */
  promotedAtMs = Infinity;
  onRoleChange: () => void = () => undefined;
  /** Called as a promotion takes effect, before any log is rolled back. */
  onPromotion: (promoted: StandinDatabase, order?: PromotionOrder) => void =
    () => undefined;
  /** Replaces `lagMs` and the delays of the databases. */
  replication: StandinReplication | undefined;
  /** Databases that have left, with the logs that they had. */
  readonly former: StandinDatabase[] = [];
  /** Number of ids that were given out. */
  private idCount = 0;
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
    coldStartMs = 0,
    hosts: readonly string[] = ['127.0.0.1'],
  ): Promise<StandinGroup> {
    const group = new StandinGroup(service);
    group.hosts = hosts;
    group.coldStartMs = coldStartMs;
    for (const [index, zone] of zones.entries()) {
      const database = new StandinDatabase(group, group.nextId(), zone);
      database.isPrimary = index === 0;
      group.databases.push(database);
      await database.start();
    }
    return group;
  }

  /**
   * Adds a running replica with the log of the primary, or with an empty one if
   * it has to be sent over a link. One that replaces a database which has left
   * has its address and its log.
   */
  async join(
    zone: string,
    replaced?: StandinDatabase,
  ): Promise<StandinDatabase> {
    const database = new StandinDatabase(this, this.nextId(), zone);
    if (replaced) database.port = replaced.port;
    await database.start();
    if (replaced) database.log.push(...this.keptLog(replaced));
    else if (!this.replication) database.log.push(...(this.primary?.log ?? []));
    this.databases.push(database);
    return database;
  }

  private nextId(): string {
    return `i-${this.service}-${this.idCount++}`;
  }

  /** Ends a database for good. */
  async remove(database: StandinDatabase): Promise<void> {
    const index = this.databases.indexOf(database);
    if (index < 0) return;
    this.databases.splice(index, 1);
    this.former.push(database);
    database.isPrimary = false;
    await database.crash();
  }

  /** The part of a former log that no promotion has rolled back since. */
  private keptLog({log}: StandinDatabase): readonly CommittedChange[] {
    const {primary} = this;
    if (!primary) return log;
    const end = log.findIndex((commit, i) => commit !== primary.log[i]);
    return end < 0 ? log : log.slice(0, end);
  }

  /** The primary; the last in the list if several databases claim the role. */
  get primary(): StandinDatabase | undefined {
    return this.databases.findLast(database => database.isPrimary);
  }

  find(id: string): StandinDatabase | undefined {
    return this.databases.find(database => database.id === id);
  }

  /**
   * Sends a commit to the replicas every `lagMs` until one has it and the links
   * with a delay have delivered it. Never resolves if `from` stops being primary
   * before a replica has it.
   */
  replicate(from: StandinDatabase, commit: CommittedChange): Promise<void> {
    if (this.replication) return this.replication.replicate(from, commit);
    return new Promise(resolve => {
      const startedMs = performance.now();
      const send = (): void => {
        if (!from.isRunning) return;
        const elapsedMs = performance.now() - startedMs;
        let isReplicated = false;
        let isOnItsWay = false;
        for (const database of this.databases) {
          if (database === from || database.isPaused || !database.isRunning) {
            continue;
          }
          if (elapsedMs < database.linkDelayMs) {
            isOnItsWay = true;
            continue;
          }
          const known = database.log.length;
          database.log.push(...from.log.slice(known, commit.offset));
          isReplicated ||= database.log[commit.offset - 1] === commit;
        }
        if (isReplicated) resolve();
        const isDelivered = isReplicated && !isOnItsWay;
        if (!isDelivered && from.isPrimary) setTimeout(send, this.lagMs);
      };
      setTimeout(send, this.lagMs);
    });
  }

  /**
   * Promotes a database after `promotionMs`; returns false, without any effect,
   * if it is not running.
   */
  promote(id: string, order?: PromotionOrder): boolean {
    const target = this.find(id);
    if (!target?.isRunning) return false;
    if (target.isPrimary) return true;
    setTimeout(() => {
      if (!this.databases.includes(target)) return;
      this.onPromotion(target, order);
      this.term++;
      this.promotedAtMs = performance.now();
      for (const database of this.databases) {
        if (database.isPrimary && !this.fencesFormerPrimary) continue;
        database.isPrimary = database === target;
        database.pausedAtTerm = 0;
        database.replayedCount = undefined;
        database.log.splice(target.log.length);
      }
      this.onRoleChange();
    }, this.promotionMs);
    return true;
  }

  async stop(): Promise<void> {
    this.replication?.stop();
    await Promise.all(this.databases.map(database => database.crash()));
  }
}
