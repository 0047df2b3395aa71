/**
 * Finds the database for a statement and tries the next when one provably did
 * not run it. Keeps what answers tell: positions of leaders, loads, failures.
 */
import {databasesOf, KnownDatabase, leaderOf} from '../core/directory.js';
import {Freshness, RouteConfig} from '../core/front_config.js';
import {
  EXPECTED_TAKEOVER_MS,
  MIN_BUDGET_MS,
  leaderWaitDeadlineMs,
} from '../core/leader_wait.js';
import {
  addPositionSample,
  floorSince,
  laterPosition,
  PositionSamples,
} from '../core/position_samples.js';
import {Place} from '../core/placement.js';
import {Position} from '../core/position.js';
import {DatabaseLoad, NO_LOAD, rankForRead} from '../core/read_choice.js';
import {
  Access,
  Fault,
  faultReply,
  provesNotRun,
  Reply,
  RequiredSessionState,
  Work,
  ExecutionMode,
} from '../core/work.js';
import {Directory} from '../core/directory.js';
import {Dispatcher} from './dispatcher.js';
import {JsonLog} from './json_log.js';

/** One statement of a caller that starts an operation. */
export interface StatementRequest {
  readonly route: RouteConfig;
  readonly customer: string;
  readonly requestId: string;
  readonly text: string;
  readonly access: Access;
  /** Opens a transaction with this statement. */
  readonly opens: 'no' | 'plain' | 'read';
  readonly session: RequiredSessionState;
  /** When the first byte that freshness counts from arrived. */
  readonly freshAsOfMs: number;
  readonly deadlineMs: number;
  /** The session's own last commit. */
  readonly ownCommit: Position | undefined;
  /** Called with each piece of work that is sent, for cancelling. */
  readonly onSent: (work: Work) => void;
  readonly hasCallerLeft: () => boolean;
}

/** A reply with the database that gave it. */
export interface RoutedReply {
  readonly reply: Reply;
  readonly database: string;
}

/** What a router needs. */
export interface RouterOptions {
  readonly self: string;
  readonly place: Place;
  readonly directory: () => Directory;
  readonly dispatcher: Dispatcher;
  /** Whether a database that says it leads may be taken at its word. */
  readonly mayLead: (entry: KnownDatabase) => boolean;
  readonly log: JsonLog;
}

/** Pause of asking a database after it could not be reached. */
const AVOID_MS = 500;
const LAGGING_MS = 80;
/** Longest pause of asking a database that lags. */
const MAX_LAGGING_MS = 640;
/**
 * Time after a service's last read for which its marks are renewed. A service
 * that is read less often is asked when it is read.
 */
const MARKS_WANTED_MS = 1_000;
/** Wait of a read for the first marks, before it goes to the leader. */
const MARKS_WAIT_MS = 150;
const MAX_TRIES = 5;
const LEADER_POLL_MS = 15;

interface Target {
  readonly entry: KnownDatabase;
  readonly mode: ExecutionMode;
  readonly after: Position | undefined;
}

/** Routes statements of this front's callers. */
export class Router {
  private readonly marks = new Map<string, PositionSamples>();
  private readonly loads = new Map<string, DatabaseLoad>();
  /** Databases that denied leading, by the revision at which they claimed it. */
  private readonly deposed = new Map<string, number>();
  /** When each service was last read from a replica's point of view. */
  private readonly readAtMs = new Map<string, number>();
  /** Primaries that did not answer, by service. */
  private readonly losses = new Map<string, {database: string; atMs: number}>();
  private readonly renewals = new Map<string, Promise<void>>();
  private workCount = 0;

  private constructor(private readonly options: RouterOptions) {}

  static create(options: RouterOptions): Router {
    return new Router(options);
  }

  /** Runs the first statement of an operation. */
  async run(ask: StatementRequest): Promise<RoutedReply> {
    const startedMs = performance.now();
    const tried = new Set<string>();
    let last: RoutedReply | undefined;
    for (let tries = 0; tries < MAX_TRIES && !ask.hasCallerLeft(); tries++) {
      const target = await this.target(ask, tried, startedMs);
      if (!target) break;
      const routed = await this.tryAt(ask, target, tries);
      if (routed.reply.ok || !this.mayRetry(ask, routed.reply)) return routed;
      last = routed;
      const {fault} = routed.reply;
      if (fault !== Fault.readOnly && fault !== Fault.unreachable) {
        tried.add(target.entry.id);
      }
    }
    return last ?? this.noDatabase(ask);
  }

  /** Runs a further statement of a transaction. */
  async runInLane(
    work: Omit<Work, 'key' | 'mode'>,
    provesLeader: boolean,
  ): Promise<Reply> {
    const sentMs = performance.now();
    const {reply} = await this.options.dispatcher.run({
      ...work,
      key: this.nextKey(),
      mode: ExecutionMode.lane,
    });
    if (provesLeader && reply.ok) this.mark(work.service, sentMs, reply);
    this.options.log('statement', {
      request: work.requestId,
      customer: work.customer,
      access: work.access,
      mode: ExecutionMode.lane,
      database: work.database,
      lane: work.lane,
      outcome: reply.ok ? 'ok' : reply.fault,
      text: reply.ok ? undefined : reply.text,
      tookMs: Math.round(performance.now() - sentMs),
    });
    return reply;
  }

  /** The database that leads a service, as far as known. */
  leader(service: string): KnownDatabase | undefined {
    const directory = this.options.directory();
    return leaderOf(
      directory,
      service,
      entry =>
        this.deposed.get(entry.id) === entry.leaderSinceRevision ||
        !this.options.mayLead(entry),
    );
  }

  /** Renews the marks of services that are being read. */
  async refreshSamples(): Promise<void> {
    const nowMs = performance.now();
    const wanted = [...this.readAtMs]
      .filter(([, atMs]) => nowMs - atMs < MARKS_WANTED_MS)
      .map(([service]) => service);
    await Promise.all(wanted.map(service => this.awaitMarks(service)));
  }

  private async renewMarksOf(service: string): Promise<void> {
    const leader = this.leader(service);
    if (!leader) return;
    try {
      for (const mark of await this.options.dispatcher.positionSamplesOf(
        leader.id,
      )) {
        this.marks.set(
          service,
          addPositionSample(this.marks.get(service) ?? [], mark),
        );
      }
    } catch (error) {
      const text = (error as Error).message;
      this.options.log('marks_missed', {service, database: leader.id, text});
    }
  }

  /** When the present primary, or the last one, was found not to answer. */
  private lostAtMs(
    service: string,
    leader: KnownDatabase | undefined,
  ): number | undefined {
    const loss = this.losses.get(service);
    return !leader || leader.id === loss?.database ? loss?.atMs : undefined;
  }

  /** Highest term that answers have shown; 0 when none has. */
  highestTermOf(service: string): number {
    const marks = this.marks.get(service) ?? [];
    return marks[marks.length - 1]?.position.term ?? 0;
  }

  private async target(
    ask: StatementRequest,
    tried: ReadonlySet<string>,
    startedMs: number,
  ): Promise<Target | undefined> {
    const {freshness} = ask.route;
    const atLeader =
      ask.access !== Access.read ||
      ask.opens === 'plain' ||
      freshness === Freshness.primary;
    if (!atLeader) {
      if (!this.hasMark(ask)) await this.awaitMarks(ask.route.service);
      const target = this.replicaTarget(ask, tried);
      if (target) return target;
    }
    const leader = await this.awaitLeader(ask, tried, startedMs);
    if (!leader) return undefined;
    const entry = leader;
    if (ask.opens !== 'no') {
      return {entry, mode: ExecutionMode.open, after: undefined};
    }
    const mode =
      ask.access === Access.read ? ExecutionMode.fenced : ExecutionMode.single;
    return {entry, mode, after: undefined};
  }

  private hasMark({route, freshAsOfMs: sinceMs}: StatementRequest): boolean {
    const marks = this.marks.get(route.service) ?? [];
    return floorSince(marks, sinceMs - route.maxStalenessMs) !== undefined;
  }

  /** One question for all that wait, so that they need not all ask the leader. */
  private async awaitMarks(service: string): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<void>(resolve => {
      timer = setTimeout(resolve, MARKS_WAIT_MS);
    });
    let renewal = this.renewals.get(service);
    if (!renewal) {
      renewal = this.renewMarksOf(service).finally(() =>
        this.renewals.delete(service),
      );
      this.renewals.set(service, renewal);
    }
    await Promise.race([renewal, late]);
    clearTimeout(timer);
  }

  private replicaTarget(
    ask: StatementRequest,
    tried: ReadonlySet<string>,
  ): Target | undefined {
    const {route} = ask;
    this.readAtMs.set(route.service, performance.now());
    const marks = this.marks.get(route.service) ?? [];
    const aged = floorSince(marks, ask.freshAsOfMs - route.maxStalenessMs);
    if (!aged) return undefined;
    const own =
      route.freshness === Freshness.readYourWrites ? ask.ownCommit : undefined;
    const after = laterPosition(aged, own);
    const databases = databasesOf(
      this.options.directory(),
      route.service,
    ).filter(entry => !tried.has(entry.id));
    const [entry] = rankForRead(
      databases,
      this.leader(route.service)?.id,
      this.options.place,
      id => this.loadOf(id, ask),
      performance.now(),
    );
    if (!entry) return undefined;
    const mode =
      ask.opens === 'read' ? ExecutionMode.openRead : ExecutionMode.single;
    return {entry, mode, after};
  }

  private loadOf(id: string, ask: StatementRequest): DatabaseLoad {
    const known = this.loads.get(id) ?? NO_LOAD;
    const localMs = this.options.dispatcher.localWaitMs(
      id,
      ask.customer,
      ask.route.priority,
    );
    return localMs > known.waitMs ? {...known, waitMs: localMs} : known;
  }

  /** The leader, waiting a part of the objective for one to appear. */
  private async awaitLeader(
    ask: StatementRequest,
    tried: ReadonlySet<string>,
    startedMs: number,
  ): Promise<KnownDatabase | undefined> {
    const {route, deadlineMs} = ask;
    const {objectiveMs} = route;
    for (;;) {
      const leader = this.leader(route.service);
      const lostAtMs = this.lostAtMs(route.service, leader);
      const untilMs = leaderWaitDeadlineMs({
        startedMs,
        deadlineMs,
        objectiveMs,
        lostAtMs,
      });
      const nowMs = performance.now();
      const avoided = (this.loads.get(leader?.id ?? '') ?? NO_LOAD)
        .avoidUntilMs;
      if (leader && tried.has(leader.id)) return undefined;
      if (leader && avoided <= nowMs) return leader;
      if (nowMs >= untilMs || ask.hasCallerLeft()) return undefined;
      await new Promise(resolve => setTimeout(resolve, LEADER_POLL_MS));
    }
  }

  private async tryAt(
    ask: StatementRequest,
    target: Target,
    tries: number,
  ): Promise<RoutedReply> {
    const sentMs = performance.now();
    const {entry, mode, after} = target;
    const work: Work = {
      key: this.nextKey(),
      service: entry.service,
      database: entry.id,
      customer: ask.customer,
      requestId: ask.requestId,
      text: ask.text,
      access: ask.access,
      mode,
      session: ask.session,
      after,
      priority: ask.route.priority,
      budgetMs: Math.max(1, Math.floor(ask.deadlineMs - sentMs)),
    };
    ask.onSent(work);
    const {reply, holder} = await this.options.dispatcher.run(work);
    this.learn(entry, mode, ask, sentMs, reply);
    this.options.log('statement', {
      request: ask.requestId,
      customer: ask.customer,
      route: ask.route.name,
      access: ask.access,
      mode,
      database: entry.id,
      leads: entry.isLeader,
      holder,
      after: after && `${after.term}.${after.offset}`,
      tries,
      outcome: reply.ok ? 'ok' : reply.fault,
      text: reply.ok ? undefined : reply.text,
      waitMs: reply.waitMs && Math.round(reply.waitMs),
      tookMs: Math.round(performance.now() - sentMs),
    });
    return {reply, database: entry.id};
  }

  /** What an answer tells of its database and its service. */
  private learn(
    entry: KnownDatabase,
    mode: ExecutionMode,
    ask: StatementRequest,
    sentMs: number,
    reply: Reply,
  ): void {
    const nowMs = performance.now();
    const known = this.loads.get(entry.id) ?? NO_LOAD;
    if (reply.ok) {
      const led =
        mode === ExecutionMode.fenced ||
        mode === ExecutionMode.open ||
        ask.access === Access.write;
      if (led) this.mark(entry.service, sentMs, reply);
      if (led) this.losses.delete(entry.service);
      this.loads.set(entry.id, {
        ...known,
        waitMs: reply.waitMs ?? 0,
        avoidUntilMs: 0,
        laggingMs: 0,
      });
      return;
    }
    switch (reply.fault) {
      case Fault.readOnly:
        this.deposed.set(entry.id, entry.leaderSinceRevision);
        return;
      case Fault.lagging:
        this.loads.set(entry.id, {...known, ...lagFurther(known, nowMs)});
        return;
      case Fault.unreachable:
      case Fault.misrouted:
        if (entry.id === this.leader(entry.service)?.id)
          this.lose(entry, nowMs);
        this.loads.set(entry.id, {...known, avoidUntilMs: nowMs + AVOID_MS});
        return;
      default:
        this.loads.set(entry.id, {...known, waitMs: reply.waitMs ?? 0});
    }
  }

  private lose({service, id}: KnownDatabase, atMs: number): void {
    if (this.losses.get(service)?.database === id) return;
    this.losses.set(service, {database: id, atMs});
  }

  private mark(service: string, sentMs: number, reply: Reply): void {
    if (!reply.position) return;
    const marks = this.marks.get(service) ?? [];
    const mark = {atMs: sentMs, position: reply.position};
    this.marks.set(service, addPositionSample(marks, mark));
  }

  /** Another database may be asked when this one provably did not run it. */
  private mayRetry(ask: StatementRequest, reply: Reply): boolean {
    if (reply.ok) return false;
    const inTime = ask.deadlineMs - performance.now() > MIN_BUDGET_MS;
    if (!inTime) return false;
    if (provesNotRun(reply.fault)) return true;
    return reply.fault === Fault.lost && ask.access === Access.read;
  }

  private noDatabase(ask: StatementRequest): RoutedReply {
    const reply = faultReply(Fault.unreachable, 'no database to serve this', {
      retryAfterMs: EXPECTED_TAKEOVER_MS,
    });
    this.options.log('statement_refused', {
      request: ask.requestId,
      customer: ask.customer,
      route: ask.route.name,
      access: ask.access,
      leader: this.leader(ask.route.service)?.id,
    });
    return {reply, database: ''};
  }

  private nextKey(): string {
    return `${this.options.self}/${++this.workCount}`;
  }
}

/** A database that lags again is left alone for twice as long. */
function lagFurther(
  known: DatabaseLoad,
  nowMs: number,
): Pick<DatabaseLoad, 'laggingMs' | 'laggingUntilMs'> {
  if (known.laggingUntilMs > nowMs) return known;
  const laggingMs = Math.min(
    MAX_LAGGING_MS,
    Math.max(LAGGING_MS, known.laggingMs * 2),
  );
  return {laggingMs, laggingUntilMs: nowMs + laggingMs};
}
