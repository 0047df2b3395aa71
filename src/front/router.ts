/**
 * Chooses the database for each statement and retries on another when the first
 * one provably did not run it. Tracks, from the replies, position samples of
 * the leaders (the primaries), the load of databases and their failures.
 */
import {CommitPositions} from '../core/commit_positions.js';
import {databasesOf, KnownDatabase, leaderOf} from '../core/directory.js';
import {Exclusion} from '../core/exclusion.js';
import {Freshness, RouteConfig} from '../core/front_config.js';
import {Homes} from '../core/homes.js';
import {
  EXPECTED_TAKEOVER_MS,
  leaderWaitDeadlineMs,
  MIN_BUDGET_MS,
} from '../core/leader_wait.js';
import {
  addPositionSample,
  floorSince,
  laterPosition,
  PositionSamples,
} from '../core/position_samples.js';
import {AnswerCounts} from '../core/load/answer_window.js';
import {FailingVote} from '../core/load/failing_primary.js';
import {RandomSource} from '../core/load/two_choices.js';
import {Place} from '../core/placement.js';
import {Position} from '../core/position.js';
import {IdSource} from '../core/process_ids.js';
import {candidatesForRead, DatabaseLoad, NO_LOAD} from '../core/read_choice.js';
import {RetryBudget} from '../core/retry_budget.js';
import {
  Access,
  ExecutionMode,
  Fault,
  faultReply,
  provesNotRun,
  Reply,
  RequiredSessionState,
  TransactionState,
  Work,
} from '../core/work.js';
import {Directory} from '../core/directory.js';
import {Dispatcher} from './dispatcher.js';
import {Eligibility, needsLeader} from './eligibility.js';
import {JsonLog} from './json_log.js';
import {ReadObserver} from './read_observer.js';
import {pause} from './timeout.js';

/** A caller's statement outside a transaction, or the first one of it. */
export interface StatementRequest {
  readonly route: RouteConfig;
  /** Regions that may serve the statement. */
  readonly homes: Homes;
  readonly customer: string;
  readonly requestId: string;
  readonly text: string;
  readonly access: Access;
  /** Kind of transaction that the statement opens. */
  readonly opens: 'none' | 'readWrite' | 'readOnly';
  readonly session: RequiredSessionState;
  /** Id of the transaction that the statement opens, if any. */
  readonly transaction: string | undefined;
  /**
   * Arrival of the statement, or of the BEGIN of its transaction. The allowed
   * staleness of a read counts back from this moment.
   */
  readonly freshAsOfMs: number;
  readonly deadlineMs: number;
  /** Position of the session's latest commit. */
  readonly lastCommit: Position | undefined;
  /** Called with each piece of work before it is sent, for cancellation. */
  readonly onSent: (work: Work) => void;
  /** Whether it must not be sent any more. */
  readonly isCancelled: () => boolean;
}

/** A reply and the id of the database that gave it; empty if there was none. */
export interface RoutedReply {
  readonly reply: Reply;
  readonly database: string;
}

export interface RouterOptions {
  readonly newId: IdSource;
  readonly place: Place;
  readonly directory: () => Directory;
  readonly dispatcher: Dispatcher;
  /** Whether a database that reports to be primary is accepted as such. */
  readonly mayLead: (entry: KnownDatabase) => boolean;
  /** Whether a primary may take commits; any may if absent. */
  readonly mayCommit?: (entry: KnownDatabase) => boolean;
  /** Told of the positions of primaries and of acknowledged commits. */
  readonly commitPositions?: CommitPositions;
  /** When commits of a service were stopped for a change of its primary. */
  readonly commitsStoppedAtMs?: (service: string) => number | undefined;
  /**
   * Why a database may not serve a request now; undefined if it may. Called for
   * each candidate of each statement.
   */
  readonly exclusionOf: (
    entry: KnownDatabase,
    request: StatementRequest,
  ) => Exclusion | undefined;
  /** Spreads reads over equally loaded databases. */
  readonly random: RandomSource;
  /**
   * Whether the databases of a service are limited while they are cold; never
   * if absent.
   */
  readonly isLimitedWhileCold?: (service: string) => boolean;
  /**
   * Whether a zone is being evacuated: a read goes there only if no other
   * database can serve it. None is, if undefined.
   */
  readonly isEvacuating?: (zone: string) => boolean;
  readonly log: JsonLog;
}

/** How long a cold database gets no reads if its refusal doesn't say so. */
const COLD_PAUSE_MS = 250;
/**
 * How long a database isn't chosen after it was unreachable or another database
 * answered at its address.
 */
const FAILURE_PAUSE_MS = 500;
/** First pause after a database lags; doubled each time, up to the maximum. */
const MIN_LAGGING_PAUSE_MS = 80;
const MAX_LAGGING_PAUSE_MS = 640;
/**
 * Time after a service's last read during which its position samples are
 * refreshed periodically. For a service that is read less often, a sample is
 * taken when it is read.
 */
const SAMPLING_AFTER_READ_MS = 1_000;
/** Maximum wait of a read for a fresh sample before it goes to the leader. */
const SAMPLE_WAIT_MS = 150;
const MAX_ATTEMPTS = 5;
const LEADER_POLL_MS = 15;
/** Pause before work is sent again that met a change of primary. */
const PRIMARY_CHANGE_PAUSE_MS = 30;

interface Target {
  readonly entry: KnownDatabase;
  readonly mode: ExecutionMode;
  /**
   * Position that the database's log must have reached before the statement
   * runs.
   */
  readonly after: Position | undefined;
  /** Whether the read probes a database that is ejected. */
  readonly isProbe: boolean;
}

/** Routes the statements of this front's callers. */
export class Router {
  private readonly samples = new Map<string, PositionSamples>();
  private readonly loads = new Map<string, DatabaseLoad>();
  /**
   * Databases that refused work as read-only although they were listed as
   * leaders, with the store revision at which that claim began.
   */
  private readonly demoted = new Map<string, number>();
  /** When a read last looked for a replica, by service. */
  private readonly lastReadAtMs = new Map<string, number>();
  /** Leaders that stopped answering, by service, and when this was found. */
  private readonly losses = new Map<string, {database: string; atMs: number}>();
  private readonly refreshes = new Map<string, Promise<void>>();
  private readonly eligibility: Eligibility;

  private readonly retryBudget = RetryBudget.create();
  private readonly observer: ReadObserver;
  /** Reads that failed on one database and were run again on another. */
  private secondTries = 0;

  private constructor(private readonly options: RouterOptions) {
    this.eligibility = Eligibility.create({
      ...options,
      leader: service => this.leader(service),
      loadOf: id => this.loads.get(id) ?? NO_LOAD,
    });
    this.observer = ReadObserver.create({
      peersOf: service => this.peersOf(service),
      random: options.random,
      log: options.log,
    });
  }

  static create(options: RouterOptions): Router {
    return new Router(options);
  }

  /**
   * Runs a statement. Retries it on other databases where that is safe, and
   * returns the last reply.
   */
  async run(request: StatementRequest): Promise<RoutedReply> {
    const startedAtMs = performance.now();
    const tried = new Set<string>();
    let lastReply: RoutedReply | undefined;
    /** Reply of a read that ran and failed, while it is tried elsewhere. */
    let failedReply: RoutedReply | undefined;
    this.retryBudget.deposit();
    for (
      let tries = 0;
      tries < MAX_ATTEMPTS && !request.isCancelled();
      tries++
    ) {
      const target = await this.chooseTarget(request, tried, startedAtMs);
      if (!target || request.isCancelled()) break;
      const routedReply = await this.runOn(request, target, tries);
      if (routedReply.reply.ok) return routedReply;
      const {fault} = routedReply.reply;
      if (!failedReply && this.mayTryElsewhere(request, target, routedReply)) {
        failedReply = this.endFailedTransaction(routedReply);
      } else if (!this.mayRetry(request, routedReply.reply)) {
        return failedReply ?? routedReply;
      }
      lastReply = routedReply;
      if (routedReply.reply.isPrimaryChanging)
        await pause(PRIMARY_CHANGE_PAUSE_MS);
      // Without a primary to fall back to, a lagging replica is tried again
      // after its pause.
      const isPaused =
        fault === Fault.lagging &&
        this.eligibility.primaryExclusion(request) !== undefined;
      if (
        fault !== Fault.readOnly &&
        fault !== Fault.unreachable &&
        !isPaused
      ) {
        tried.add(target.entry.id);
      }
    }
    return failedReply ?? this.noDatabase(request, lastReply);
  }

  /** Figures for the front's metrics. */
  get gauges(): Readonly<Record<string, number>> {
    return {
      databases_ejected: this.observer.ejectedCount,
      ejections_total: this.observer.ejections,
      lag_skips_total: this.observer.lagSkips,
      second_tries_total: this.secondTries,
    };
  }

  /** Returns this front's vote on whether a primary fails everything. */
  failingVote(
    database: string,
    workerCounts: AnswerCounts | undefined,
  ): FailingVote {
    const service = this.options.directory().get(database)?.service ?? '';
    return this.observer.failingVote(service, database, workerCounts);
  }

  /**
   * Runs a further statement of a transaction on the connection that the lane
   * reserves for it. `provesLeader`: only a primary can complete the statement,
   * so the position in its reply counts as a sample. `onSent` is called with the
   * work before it is sent, for cancellation.
   */
  async runInLane(
    statement: Omit<Work, 'key' | 'mode'>,
    provesLeader: boolean,
    onSent: (work: Work) => void,
  ): Promise<Reply> {
    const sentAtMs = performance.now();
    const {service, access} = statement;
    const reachedBefore = this.options.commitPositions?.reachedBy(service);
    const key = this.options.newId();
    const work: Work = {...statement, key, mode: ExecutionMode.lane};
    onSent(work);
    const {reply} = await this.options.dispatcher.run(work);
    if (provesLeader && reply.ok) {
      this.recordSample(service, sentAtMs, reply);
      if (access === Access.commit)
        this.recordCommit(service, reachedBefore, reply);
    }
    if (work.access !== Access.rollback)
      this.observer.recordReply({...work, sentAtMs, isProbe: false}, reply);
    this.options.log('statement', {
      request: work.requestId,
      customer: work.customer,
      access: work.access,
      mode: ExecutionMode.lane,
      database: work.database,
      transaction: work.transaction,
      lane: work.lane,
      outcome: reply.ok ? 'ok' : reply.fault,
      text: reply.ok ? undefined : reply.text,
      tookMs: Math.round(performance.now() - sentAtMs),
    });
    return reply;
  }

  /** Returns the known primary of a service. */
  leader(service: string): KnownDatabase | undefined {
    const directory = this.options.directory();
    return leaderOf(
      directory,
      service,
      entry =>
        this.demoted.get(entry.id) === entry.leaderSinceRevision ||
        !this.options.mayLead(entry),
    );
  }

  /** Refreshes the position samples of services that were read recently. */
  async refreshSamples(): Promise<void> {
    const nowMs = performance.now();
    const services = [...this.lastReadAtMs]
      .filter(([, atMs]) => nowMs - atMs < SAMPLING_AFTER_READ_MS)
      .map(([service]) => service);
    await Promise.all(services.map(service => this.awaitSamples(service)));
  }

  private async refreshSamplesOf(service: string): Promise<void> {
    const leader = this.leader(service);
    if (!leader) return;
    try {
      for (const sample of await this.options.dispatcher.positionSamplesOf(
        leader.id,
      )) {
        this.samples.set(
          service,
          addPositionSample(this.samples.get(service) ?? [], sample),
        );
      }
    } catch (error) {
      const text = (error as Error).message;
      this.options.log('marks_missed', {service, database: leader.id, text});
    }
  }

  /**
   * Returns when the service's leader was found unreachable; without a leader,
   * when the last one was.
   */
  private lostAtMs(
    service: string,
    leader: KnownDatabase | undefined,
  ): number | undefined {
    const loss = this.losses.get(service);
    return !leader || leader.id === loss?.database ? loss?.atMs : undefined;
  }

  /** Returns the newest term seen in position samples; 0 without samples. */
  highestTermOf(service: string): number {
    const samples = this.samples.get(service) ?? [];
    return samples[samples.length - 1]?.position.term ?? 0;
  }

  private async chooseTarget(
    request: StatementRequest,
    tried: ReadonlySet<string>,
    startedAtMs: number,
  ): Promise<Target | undefined> {
    while (!needsLeader(request) && !request.isCancelled()) {
      if (!this.hasFreshSample(request))
        await this.awaitSamples(request.route.service);
      const target = this.chooseReplica(request, tried);
      if (target) return target;
      const mayWait = this.eligibility.mayReplicaReturn(
        request,
        tried,
        startedAtMs,
      );
      if (!mayWait) break;
      await new Promise(resolve => setTimeout(resolve, LEADER_POLL_MS));
    }
    const leader = await this.awaitLeader(request, tried, startedAtMs);
    if (!leader) return undefined;
    const entry = leader;
    if (request.opens !== 'none') {
      const mode = ExecutionMode.open;
      return {entry, mode, after: undefined, isProbe: false};
    }
    const mode =
      request.access === Access.read
        ? ExecutionMode.fenced
        : ExecutionMode.single;
    return {entry, mode, after: undefined, isProbe: false};
  }

  private hasFreshSample({route, freshAsOfMs}: StatementRequest): boolean {
    const samples = this.samples.get(route.service) ?? [];
    return (
      floorSince(samples, freshAsOfMs - route.maxStalenessMs) !== undefined
    );
  }

  /**
   * Waits for new samples of a service. Concurrent reads share one request, to
   * limit the load on the leader.
   */
  private async awaitSamples(service: string): Promise<void> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<void>(resolve => {
      timer = setTimeout(resolve, SAMPLE_WAIT_MS);
    });
    let refresh = this.refreshes.get(service);
    if (!refresh) {
      refresh = this.refreshSamplesOf(service).finally(() =>
        this.refreshes.delete(service),
      );
      this.refreshes.set(service, refresh);
    }
    await Promise.race([refresh, timeout]);
    clearTimeout(timer);
  }

  private chooseReplica(
    request: StatementRequest,
    tried: ReadonlySet<string>,
  ): Target | undefined {
    const {route} = request;
    this.lastReadAtMs.set(route.service, performance.now());
    const samples = this.samples.get(route.service) ?? [];
    const stalenessFloor = floorSince(
      samples,
      request.freshAsOfMs - route.maxStalenessMs,
    );
    if (!stalenessFloor) return undefined;
    const ownFloor =
      route.freshness === Freshness.readYourWrites
        ? request.lastCommit
        : undefined;
    const after = laterPosition(stalenessFloor, ownFloor);
    const databases = databasesOf(
      this.options.directory(),
      route.service,
    ).filter(
      entry =>
        !tried.has(entry.id) && !this.options.exclusionOf(entry, request),
    );
    const leader = this.leader(route.service);
    if (leader) this.observer.recordLeader(route.service, leader.id);
    const candidates = candidatesForRead(
      databases,
      leader?.id,
      this.options.place,
      id => this.loadOf(id, request),
      performance.now(),
    );
    const requirement = {
      after,
      leader: leader?.id,
      mayFallBack:
        leader !== undefined &&
        !tried.has(leader.id) &&
        !this.options.exclusionOf(leader, request),
      samples,
    };
    const {isEvacuating} = this.options;
    const outside = candidates.filter(
      candidate => !isEvacuating?.(candidate.entry.zone),
    );
    const choice =
      this.observer.choose(outside, requirement) ??
      (outside.length < candidates.length
        ? this.observer.choose(candidates, requirement)
        : undefined);
    if (!choice) return undefined;
    const {entry} = choice.candidate;
    const mode =
      request.opens === 'readOnly'
        ? ExecutionMode.openRead
        : ExecutionMode.single;
    return {entry, mode, after, isProbe: choice.isProbe};
  }

  private peersOf(service: string) {
    const nowMs = performance.now();
    const leader = this.leader(service)?.id;
    return databasesOf(this.options.directory(), service).map(entry => {
      const {avoidUntilMs, laggingUntilMs} =
        this.loads.get(entry.id) ?? NO_LOAD;
      const isLeader = entry.id === leader;
      const isWell = avoidUntilMs <= nowMs && laggingUntilMs <= nowMs;
      return {id: entry.id, isLeader, isUsable: isWell && !entry.leaving};
    });
  }

  private loadOf(id: string, request: StatementRequest): DatabaseLoad {
    const known = this.loads.get(id) ?? NO_LOAD;
    const load = {...known, waitMs: this.observer.waitMs(id) ?? known.waitMs};
    const localWaitMs = this.options.dispatcher.localWaitMs(
      id,
      request.customer,
      request.route.priority,
    );
    const {service} = request.route;
    return {
      ...load,
      waitMs: Math.max(localWaitMs, load.waitMs),
      isLimitedWhileCold: this.options.isLimitedWhileCold?.(service),
    };
  }

  /**
   * Returns the leader. Without a usable one, waits for part of the latency
   * objective, or longer during a change of primary.
   */
  private async awaitLeader(
    request: StatementRequest,
    tried: ReadonlySet<string>,
    startedMs: number,
  ): Promise<KnownDatabase | undefined> {
    const {route, deadlineMs} = request;
    const {objectiveMs} = route;
    for (;;) {
      const leader = this.leader(route.service);
      if (leader) this.observer.recordLeader(route.service, leader.id);
      const isStopped = leader !== undefined && this.mustWait(leader, request);
      const lostAtMs =
        this.lostAtMs(route.service, leader) ??
        (isStopped
          ? this.options.commitsStoppedAtMs?.(route.service)
          : undefined);
      const untilMs = leaderWaitDeadlineMs({
        startedMs,
        deadlineMs,
        objectiveMs,
        lostAtMs,
      });
      const nowMs = performance.now();
      const avoidUntilMs = (this.loads.get(leader?.id ?? '') ?? NO_LOAD)
        .avoidUntilMs;
      if (leader && tried.has(leader.id)) return undefined;
      if (this.eligibility.primaryExclusion(request)) return undefined;
      if (leader && this.isPausedAsCold(leader, request)) return undefined;
      if (leader && !isStopped && avoidUntilMs <= nowMs) return leader;
      if (nowMs >= untilMs || request.isCancelled()) return undefined;
      await new Promise(resolve => setTimeout(resolve, LEADER_POLL_MS));
    }
  }

  /** Whether a request writes, and the leader must not take commits now. */
  private mustWait(leader: KnownDatabase, {access}: StatementRequest): boolean {
    return (
      access === Access.write && this.options.mayCommit?.(leader) === false
    );
  }

  /** Whether a read must not go to a database because it is cold. */
  private isPausedAsCold(
    {id}: KnownDatabase,
    {access}: StatementRequest,
  ): boolean {
    const untilMs = this.loads.get(id)?.coldUntilMs ?? 0;
    return access === Access.read && performance.now() < untilMs;
  }

  private async runOn(
    request: StatementRequest,
    target: Target,
    tries: number,
  ): Promise<RoutedReply> {
    const sentAtMs = performance.now();
    const {entry, mode, after} = target;
    const work: Work = {
      key: this.options.newId(),
      service: entry.service,
      database: entry.id,
      customer: request.customer,
      requestId: request.requestId,
      text: request.text,
      access: request.access,
      mode,
      transaction: request.transaction,
      session: request.session,
      after,
      priority: request.route.priority,
      budgetMs: Math.max(1, Math.floor(request.deadlineMs - sentAtMs)),
      remainingObjectiveMs: remainingObjectiveMs(request, sentAtMs),
      homes: request.homes,
    };
    request.onSent(work);
    const {service} = entry;
    const reachedBefore = this.options.commitPositions?.reachedBy(service);
    const {reply, holder} = await this.options.dispatcher.run(work);
    const isCommit =
      mode === ExecutionMode.single && request.access === Access.write;
    if (isCommit) this.recordCommit(service, reachedBefore, reply);
    this.recordReply(entry, mode, request, sentAtMs, reply);
    const {isProbe} = target;
    this.observer.recordReply({...work, sentAtMs, isProbe}, reply);
    this.options.log('statement', {
      request: request.requestId,
      customer: request.customer,
      route: request.route.name,
      access: request.access,
      mode,
      database: entry.id,
      leads: entry.isLeader,
      holder,
      transaction: request.transaction,
      lane: reply.lane,
      after: after && `${after.term}.${after.offset}`,
      tries,
      outcome: reply.ok ? 'ok' : reply.fault,
      text: reply.ok ? undefined : reply.text,
      waitMs: reply.waitMs && Math.round(reply.waitMs),
      tookMs: Math.round(performance.now() - sentAtMs),
    });
    return {reply, database: entry.id};
  }

  /** Updates the database's load and the service's samples and losses. */
  private recordReply(
    entry: KnownDatabase,
    mode: ExecutionMode,
    request: StatementRequest,
    sentAtMs: number,
    reply: Reply,
  ): void {
    const nowMs = performance.now();
    const load = this.loads.get(entry.id) ?? NO_LOAD;
    // A reported queueing time is forgotten with its report.
    const waitMs = reply.report ? 0 : (reply.waitMs ?? 0);
    if (reply.ok) {
      const ranOnLeader =
        mode === ExecutionMode.fenced ||
        mode === ExecutionMode.open ||
        request.access === Access.write;
      if (ranOnLeader) this.recordSample(entry.service, sentAtMs, reply);
      if (ranOnLeader) this.losses.delete(entry.service);
      this.loads.set(entry.id, {
        ...load,
        waitMs,
        avoidUntilMs: 0,
        laggingMs: 0,
      });
      return;
    }
    switch (reply.fault) {
      case Fault.readOnly:
        this.demoted.set(entry.id, entry.leaderSinceRevision);
        return;
      case Fault.lagging:
        this.loads.set(entry.id, {
          ...load,
          ...extendLaggingPause(load, nowMs),
        });
        return;
      case Fault.unreachable:
      case Fault.misrouted:
        if (reply.isPrimaryChanging) return;
        if (entry.id === this.leader(entry.service)?.id)
          this.recordLoss(entry, nowMs);
        this.loads.set(entry.id, {
          ...load,
          avoidUntilMs: nowMs + FAILURE_PAUSE_MS,
        });
        return;
      default:
        this.loads.set(
          entry.id,
          reply.isCold
            ? {
                ...load,
                coldUntilMs: nowMs + (reply.retryAfterMs ?? COLD_PAUSE_MS),
              }
            : {...load, waitMs},
        );
    }
  }

  private recordLoss({service, id}: KnownDatabase, atMs: number): void {
    if (this.losses.get(service)?.database === id) return;
    this.losses.set(service, {database: id, atMs});
  }

  /** Records a commit that the caller is about to see acknowledged. */
  private recordCommit(
    service: string,
    reachedBefore: Position | undefined,
    {ok, position}: Reply,
  ): void {
    if (!ok || !position) return;
    this.options.commitPositions?.recordCommit(
      service,
      reachedBefore,
      position,
      performance.now(),
    );
  }

  private recordSample(service: string, sentAtMs: number, reply: Reply): void {
    if (!reply.position) return;
    const {position} = reply;
    this.options.commitPositions?.recordReached(service, sentAtMs, position);
    const samples = this.samples.get(service) ?? [];
    const sample = {atMs: sentAtMs, position};
    this.samples.set(service, addPositionSample(samples, sample));
  }

  /**
   * Whether another database may run the statement: it provably did not run, or
   * it is a read, and enough time is left.
   */
  private mayRetry(request: StatementRequest, reply: Reply): boolean {
    if (reply.ok) return false;
    const hasTimeLeft = request.deadlineMs - performance.now() > MIN_BUDGET_MS;
    if (!hasTimeLeft) return false;
    if (provesNotRun(reply.fault)) return true;
    return reply.fault === Fault.lost && request.access === Access.read;
  }

  /**
   * Whether a read that ran and failed may run on another database: it had no
   * effect, and such retries are limited to a share of all requests.
   */
  private mayTryElsewhere(
    request: StatementRequest,
    {entry, mode}: Target,
    {reply}: RoutedReply,
  ): boolean {
    const hasFailed =
      !reply.ok &&
      (reply.fault === Fault.failed || reply.fault === Fault.timeout);
    const mayRunElsewhere =
      request.access === Access.read &&
      request.route.freshness !== Freshness.primary &&
      mode !== ExecutionMode.open;
    if (!hasFailed || !mayRunElsewhere) return false;
    if (request.deadlineMs - performance.now() <= MIN_BUDGET_MS) return false;
    const others = this.peersOf(request.route.service).filter(
      ({id, isUsable}) => isUsable && id !== entry.id,
    );
    if (others.length === 0 || !this.retryBudget.tryWithdraw()) return false;
    this.secondTries++;
    return true;
  }

  /** Ends the read-only transaction that a failed first statement left open. */
  private endFailedTransaction(failed: RoutedReply): RoutedReply {
    const {reply, database} = failed;
    if (reply.lane === undefined) return failed;
    this.options.dispatcher.endLane(database, reply.lane);
    const state = TransactionState.failed;
    return {database, reply: {...reply, lane: undefined, state}};
  }

  /**
   * Returns the last reply to a statement that no further database may run, or a
   * rejection if there was none. Logs why no database may run it.
   */
  private noDatabase(
    request: StatementRequest,
    lastReply: RoutedReply | undefined,
  ): RoutedReply {
    const reason = this.eligibility.primaryExclusion(request);
    if (lastReply && !reason) return lastReply;
    const exclusions = this.eligibility.excludedDatabases(request);
    const cold = databasesOf(this.options.directory(), request.route.service)
      .filter(entry => this.isPausedAsCold(entry, request))
      .map(({id}) => this.loads.get(id)?.coldUntilMs ?? 0);
    const coldMs = Math.max(1, Math.min(...cold) - performance.now());
    const retryAfterMs = reason
      ? this.eligibility.retryDelayMs(request)
      : EXPECTED_TAKEOVER_MS;
    const reply =
      lastReply?.reply ??
      (cold.length > 0
        ? faultReply(Fault.busy, 'database is cold', {retryAfterMs: coldMs})
        : faultReply(Fault.unreachable, 'no usable database', {retryAfterMs}));
    this.options.log('statement_refused', {
      request: request.requestId,
      customer: request.customer,
      route: request.route.name,
      access: request.access,
      transaction: request.transaction,
      leader: this.leader(request.route.service)?.id,
      reason: reason ?? (cold.length > 0 ? 'cold' : undefined),
      homes: request.homes,
      exclusions: exclusions.length > 0 ? exclusions : undefined,
      outcome: reply.ok ? undefined : reply.fault,
      retryAfterMs,
    });
    if (reply.ok) return {reply, database: ''};
    return {reply: {retryAfterMs, ...reply}, database: ''};
  }
}

/** Time until a request misses its route's objective; undefined without one. */
function remainingObjectiveMs(
  {route, freshAsOfMs}: StatementRequest,
  nowMs: number,
): number | undefined {
  const hasObjective = route.objectiveMs > 0;
  return hasObjective
    ? Math.floor(freshAsOfMs + route.objectiveMs - nowMs)
    : undefined;
}

/** Doubles the pause of a database that lags again after its last pause. */
function extendLaggingPause(
  load: DatabaseLoad,
  nowMs: number,
): Pick<DatabaseLoad, 'laggingMs' | 'laggingUntilMs'> {
  if (load.laggingUntilMs > nowMs) return load;
  const laggingMs = Math.min(
    MAX_LAGGING_PAUSE_MS,
    Math.max(MIN_LAGGING_PAUSE_MS, load.laggingMs * 2),
  );
  return {laggingMs, laggingUntilMs: nowMs + laggingMs};
}
