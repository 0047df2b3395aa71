/**
 * Composition root of a front, the process that serves callers on a platform.
 * Creates the parts, connects them, and starts and stops their servers and
 * timers.
 */
import {
  createServer as createHttpServer,
  Server as HttpServer,
} from 'node:http';
import {createServer, Server, Socket} from 'node:net';
import {randomBytes} from 'node:crypto';
import {map, merge, Subscription} from 'rxjs';
import {
  CommitPositions,
  CommitReport,
  receiveCommitReport,
} from '../core/commit_positions.js';
import {databasesOf, KnownDatabase} from '../core/directory.js';
import {Exclusion, isDrained} from '../core/exclusion.js';
import {MissingLog} from '../core/former_members.js';
import {FrontConfig} from '../core/front_config.js';
import {HomePreference} from '../core/home_preference.js';
import {
  allowsRegion,
  Homes,
  countRoutesAllowing,
  homesOf,
  unknownHomes,
} from '../core/homes.js';
import {Fronts} from '../core/fronts.js';
import {StoredLeaderRecord} from '../core/leader_record.js';
import {maxCommitViewAgeMs, maxConfigAgeMs} from '../core/freshness.js';
import {
  createIdSource,
  IdSource,
  ProcessIdentity,
} from '../core/process_ids.js';
import {Rate} from '../core/rates.js';
import {Reply} from '../core/work.js';
import {relayFor} from '../core/relay.js';
import {Lifecycle} from '../proxy/lifecycle.js';
import {RateLimiter} from '../proxy/rate_limiter.js';
import {KeyValueStore} from '../store/key_values.js';
import {Accrual} from './accrual.js';
import {CallerSession, SessionHost} from './caller_session.js';
import {runControlStatement} from './control_link.js';
import {Dispatcher, PeerMethodName} from './dispatcher.js';
import {ColdDatabases} from './cold_databases.js';
import {EvacuationGuard} from './evacuation_guard.js';
import {CoordinatorLease} from './coordinator_lease.js';
import {FailingVotes} from './failing_votes.js';
import {frontEntryKey, FrontList} from './front_list.js';
import {LeaderRecovery} from './leader_recovery.js';
import {Leadership} from './leadership.js';
import {FrontMetrics} from './front_metrics.js';
import {
  Address,
  DEFAULT_DRAIN_MS,
  DEFAULT_EVACUATE_MS,
  FrontSettings,
} from './front_settings.js';
import {JsonLog} from './json_log.js';
import {MemberRecorder} from './member_recorder.js';
import {
  decodeAnnouncedRecord,
  decodeCancel,
  decodeCommitReport,
  decodeDatabase,
  decodeFollowRequest,
  decodeLaneEnd,
  decodeLendRequest,
  decodeLentIntervals,
  decodeRelayedChanges,
  decodeSuspectReport,
  decodeVote,
  decodeVoteRequest,
  decodeWork,
} from './peer_messages.js';
import {PeerMethod, servePeers} from './peer_service.js';
import {Promote} from './promoter.js';
import {RateShares} from './rate_shares.js';
import {Registration} from './registration.js';
import {Router} from './router.js';
import {StoreEra} from './store_era.js';
import {readClocks, Relay, StoreFeed, StoreLayout} from './store_feed.js';
import {SuspectReporter} from './suspect_reporter.js';
import {TakeoverRunner} from './takeover_runner.js';
import {withTimeout} from './timeout.js';
import {CallerCodec, DatabaseCodec} from './wire_types.js';

/** Adapters to the platform, and the log. */
export interface FrontPorts {
  readonly store: KeyValueStore;
  readonly layout: StoreLayout;
  readonly callerCodec: CallerCodec;
  readonly databaseCodec: DatabaseCodec;
  readonly promote: Promote;
  /** HTTP path of the readiness check. */
  readonly readyPath: string;
  /** Address and HTTP path of the metrics; undefined disables them. */
  readonly metrics: (Address & {readonly path: string}) | undefined;
  readonly log: JsonLog;
}

/**
 * Heartbeat intervals after which a database missing from the store is dropped.
 */
const MISSED_HEARTBEATS_UNTIL_REMOVAL = 2;
/**
 * Heartbeat intervals after which databases have repeated their entries in a
 * restored store, and the entries of others have expired.
 */
const HEARTBEATS_UNTIL_REWRITTEN = 4;
/** Fronts that vote on whether a primary is reachable, this one included. */
const MAX_VOTERS = 5;
const VOTE_TIMEOUT_MS = 700;
/** A database that answered within this time counts as reachable unprobed. */
const RECENT_ANSWER_MS = 150;
/**
 * Maximum number of fronts asked in one round to lend tokens; low, because each
 * call crosses the fleet.
 */
const MAX_LENDERS_PER_ROUND = 2;
const LEND_TIMEOUT_MS = 150;
/**
 * Longest wait for a token. Short, so that callers above their rate learn soon
 * that they are refused.
 */
const RATE_WAIT_MS = 250;
/** Interval at which leaders are sampled for replica reads. */
const SAMPLE_INTERVAL_MS = 600;
const STOP_POLL_MS = 25;
/** Length of the random id of a process. */
const PROCESS_ID_BYTES = 6;
/** Part of the grace period that is reserved for closing. */
const CLOSE_RESERVE_MS = 600;

export class Front {
  private readonly lifecycle = Lifecycle.create();
  private readonly self: ProcessIdentity;
  private readonly newId: IdSource;
  private readonly sessions = new Set<CallerSession>();
  private readonly feed: StoreFeed;
  private readonly registration: Registration;
  private readonly dispatcher: Dispatcher;
  private readonly coldDatabases: ColdDatabases;
  private readonly evacuations: EvacuationGuard;
  private readonly router: Router;
  private readonly rateLimiter: RateLimiter;
  private readonly coordinatorLease: CoordinatorLease;
  private readonly storeEra: StoreEra;
  private readonly leaderRecovery: LeaderRecovery;
  private readonly takeoverRunner: TakeoverRunner;
  private readonly failingVotes: FailingVotes;
  private readonly suspectReporter: SuspectReporter;
  private readonly metrics = FrontMetrics.create();
  private readonly memberRecorder: MemberRecorder;
  private readonly sessionHost: SessionHost;
  private readonly homePreference: HomePreference;
  private isStopping = false;
  private readonly frontList: FrontList;
  private readonly frontListAtStart: FrontList;
  private readonly accrual: Accrual;
  private readonly shares: RateShares;
  private readonly leadership: Leadership;
  private readonly commitPositions = CommitPositions.create(performance.now());
  private cachedRates: {
    readonly config?: FrontConfig;
    readonly rates: ReadonlyMap<string, Rate>;
  } = {rates: new Map()};

  private constructor(
    private readonly settings: FrontSettings,
    private readonly ports: FrontPorts,
  ) {
    const {log, store, layout} = ports;
    const process = randomBytes(PROCESS_ID_BYTES).toString('hex');
    this.self = {vm: settings.vm, process};
    this.newId = createIdSource(process);
    this.feed = StoreFeed.create({
      chooseRelay: isAvoided => this.chooseRelay(isAvoided),
      store,
      layout,
      regionOfZone: settings.regionOfZone,
      maxConfigAgeMs: maxConfigAgeMs(settings.keyRevocationMs),
      missingEntryGraceMs:
        MISSED_HEARTBEATS_UNTIL_REMOVAL * settings.heartbeatIntervalMs,
      rewriteGraceMs: HEARTBEATS_UNTIL_REWRITTEN * settings.heartbeatIntervalMs,
      evacuateMs: settings.evacuateMs ?? DEFAULT_EVACUATE_MS,
      log,
    });
    this.registration = Registration.create({
      member: this.ownMember,
      prefix: layout.fleetPrefix,
      store,
      feed: this.feed,
      log,
    });
    this.homePreference = HomePreference.create(settings.isFirstStart);
    this.leadership = this.createLeadership();
    this.dispatcher = this.createDispatcher();
    this.coldDatabases = ColdDatabases.create({
      directory: () => this.feed.directory,
      isLimited: service => this.isLimitedWhileCold(service),
      workers: () => this.dispatcher.workersByDatabase,
      log,
    });
    this.evacuations = this.createEvacuationGuard();
    this.frontList = FrontList.create(layout.fleetPrefix, log);
    this.frontListAtStart = FrontList.create(layout.fleetPrefix, log);
    this.accrual = this.createAccrual();
    this.shares = RateShares.create({
      self: settings.vm,
      place: settings.place,
      fronts: () => this.fronts(),
      frontsAtStart: () => this.frontsAtStart(),
      config: () => this.feed.config,
      mayAccrue: () => this.accrual.isAllowed,
    });
    this.router = Router.create({
      newId: this.newId,
      place: settings.place,
      directory: () => this.feed.directory,
      dispatcher: this.dispatcher,
      mayLead: entry => this.leadership.mayLead(entry),
      mayCommit: entry => this.leadership.mayCommit(entry),
      commitPositions: this.commitPositions,
      commitsStoppedAtMs: service =>
        this.leadership.commitsStoppedAtMs(service),
      random: Math.random,
      isLimitedWhileCold: service => this.isLimitedWhileCold(service),
      exclusionOf: (entry, {homes}) => this.exclusionOf(entry, homes),
      isEvacuating: zone => this.evacuations.isEvacuating(zone),
      log,
    });
    this.rateLimiter = this.createRateLimiter();
    this.coordinatorLease = this.createCoordinatorLease();
    this.storeEra = this.createStoreEra();
    this.leaderRecovery = this.createLeaderRecovery();
    this.failingVotes = FailingVotes.create({
      self: settings.vm,
      fronts: () => this.fronts(),
      directory: () => this.feed.directory,
      dispatcher: this.dispatcher,
      router: this.router,
    });
    this.memberRecorder = this.createMemberRecorder();
    this.takeoverRunner = this.createTakeoverRunner();
    this.suspectReporter = this.createSuspectReporter();
    this.sessionHost = this.createSessionHost();
  }

  /** Starts a front; resolves when it listens on all addresses. */
  static async start(
    settings: FrontSettings,
    ports: FrontPorts,
  ): Promise<Front> {
    const front = new Front(settings, ports);
    await front.open();
    return front;
  }

  /** Whether the load balancer should send callers to this front. */
  get isReady(): boolean {
    return !this.isStopping && this.feed.isFresh && this.isRegistered;
  }

  /**
   * Shuts down gracefully: lets statements and transactions finish. Rolls back
   * idle transactions after half of the grace period, and closes at its end.
   */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const startedAtMs = performance.now();
    const {log} = this.ports;
    log('stopping', {sessions: this.sessions.size});
    void this.registration.announceLeaving();
    void this.coordinatorLease.release();
    const {shutdownGraceMs} = this.settings;
    for (;;) {
      const ageMs = performance.now() - startedAtMs;
      for (const session of this.sessions) {
        if (ageMs > shutdownGraceMs / 2) session.abortTransaction('shutdown');
        session.closeIfIdle();
      }
      const isDone = this.sessions.size === 0 && this.dispatcher.isIdle;
      if (isDone || ageMs > shutdownGraceMs - CLOSE_RESERVE_MS) break;
      await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS));
    }
    log('stopped', {
      sessions: this.sessions.size,
      tookMs: Math.round(performance.now() - startedAtMs),
    });
    await this.lifecycle.close();
  }

  /** Returns the state of the process for operators. */
  dump(): object {
    return {
      vm: this.settings.vm,
      ready: this.isReady,
      stopping: this.isStopping,
      sessions: this.sessions.size,
      duty: {
        held: this.coordinatorLease.isHeld,
        holder: this.coordinatorLease.holder,
      },
      fronts: [...this.fronts().keys()],
      store: this.feed.dump(),
      dispatcher: this.dispatcher.dump(),
      rates: this.rateLimiter.dump(),
    };
  }

  private get ownMember() {
    const {vm, host, peerPort, place} = this.settings;
    return {vm, host, port: peerPort, place, leaving: false};
  }

  private get isRegistered(): boolean {
    return this.fronts().has(this.settings.vm);
  }

  private fronts(): Fronts {
    return this.frontList.decodeFronts(this.feed.fleetItems$.value);
  }

  /** Why a database may not serve a request with these homes. */
  private exclusionOf(
    entry: KnownDatabase,
    homes: Homes,
  ): Exclusion | undefined {
    if (!allowsRegion(homes, entry.place.region)) return Exclusion.homes;
    const {drainMs = DEFAULT_DRAIN_MS} = this.settings;
    return isDrained(entry, performance.now(), drainMs)
      ? Exclusion.drained
      : this.evacuations.exclusionOf(entry);
  }

  /** Reads the fronts from the store; undefined if it does not answer. */
  private async listFronts(): Promise<readonly string[] | undefined> {
    const {store, layout} = this.ports;
    const prefix = frontEntryKey(layout.fleetPrefix, '');
    const listed = await store.list(prefix);
    return listed.isOk()
      ? listed.value.items.map(({key}) => key.slice(prefix.length))
      : undefined;
  }

  private frontsAtStart(): Fronts {
    return this.frontListAtStart.decodeFronts(this.feed.fleetItemsAtStart);
  }

  /**
   * Returns the front from which this one receives the store's changes;
   * undefined if it watches the store itself.
   */
  private chooseRelay(isAvoided: (vm: string) => boolean): Relay | undefined {
    const {vm: self, place} = this.settings;
    const isUsable = (vm: string): boolean =>
      !isAvoided(vm) && this.dispatcher.link(vm)?.isDown === false;
    const vm = relayFor(this.fronts(), self, place.region, isUsable);
    const link = vm === undefined ? undefined : this.dispatcher.link(vm);
    if (vm === undefined || !link) return undefined;
    const follow: Relay['follow'] = async request =>
      decodeRelayedChanges(await link.longPoll(PeerMethodName.follow, request));
    return {vm, follow};
  }

  private createDispatcher(): Dispatcher {
    const {settings, ports} = this;
    return Dispatcher.create({
      self: this.self,
      newId: this.newId,
      zone: settings.place.zone,
      codec: ports.databaseCodec,
      log: ports.log,
      directory: () => this.feed.directory,
      fronts: () => this.fronts(),
      serviceOf: name => this.feed.config?.services.get(name),
      idleTransactionMs: () => this.feed.config?.idleTransactionMs ?? 0,
      secret: () => this.registration.secret,
      canServeAsPrimary: entry => this.leadership.canServeAsPrimary(entry),
      canCommit: entry => this.leadership.canCommit(entry),
      commitPositions: this.commitPositions,
      isViewReliable: () => this.leadership.isCommitViewReliable,
      isViewFresh: () => this.feed.isFresh,
      warmUpTolerance: settings.warmUpTolerance,
      onRestartSuspected: () => this.coldDatabases.refresh(),
      isZoneClosed: zone => this.evacuations.isZoneClosed(zone),
    });
  }

  private createEvacuationGuard(): EvacuationGuard {
    const {feed, dispatcher} = this;
    return EvacuationGuard.create({
      evacuations: () => feed.evacuations,
      evacuations$: feed.evacuations$,
      directory$: feed.directory$,
      clocks: readClocks,
      endWorkInClosedZones: () => dispatcher.endWorkInClosedZones(),
    });
  }

  private isLimitedWhileCold(service: string): boolean {
    return this.feed.config?.services.get(service)?.warmUp !== undefined;
  }

  private createLeadership(): Leadership {
    const {settings, ports, feed} = this;
    const commitViewAgeMs = maxCommitViewAgeMs(settings.keyRevocationMs);
    return Leadership.create({
      isFenced: settings.isFenced,
      prefix: ports.layout.fleetPrefix,
      storedItems: () => feed.fleetItems$.value,
      knownRevision: () => feed.knownRevision,
      fronts: () => this.fronts(),
      listedAtMs: () => feed.listedAtMs,
      isFreshAndRegistered: () =>
        feed.isFresh &&
        this.registration.isLeaseValid &&
        this.registration.isRegistrationInView &&
        this.isRegistered,
      isFreshForCommits: () => feed.isFresherThan(commitViewAgeMs),
      maxCommitViewAgeMs: commitViewAgeMs,
      areRecordsComplete: () => this.leaderRecovery.isComplete,
      era: () => feed.era,
      maxConfigAgeMs: maxConfigAgeMs(settings.keyRevocationMs),
      coordinatorLease: () => this.coordinatorLease,
      codec: ports.databaseCodec,
      announce: async (vm, record) => {
        const requestedAtMs = performance.now();
        const report = await this.announceRecord(vm, record);
        const receivedAtMs = performance.now();
        return (
          report && receiveCommitReport(report, requestedAtMs, receivedAtMs)
        );
      },
      listFronts: () => this.listFronts(),
      stopCommitsExcept: (service, allowed, finishMs) =>
        this.dispatcher.stopCommitsExcept(service, allowed, finishMs),
      abortPrimaryWorkExcept: (service, leader) =>
        this.dispatcher.abortPrimaryWorkExcept(service, leader),
      log: ports.log,
    });
  }

  /**
   * Has a front obey a leader record; resolves to what it knows of the service's
   * commits.
   */
  private async announceRecord(
    vm: string,
    record: StoredLeaderRecord,
  ): Promise<CommitReport | undefined> {
    if (vm === this.settings.vm) return this.obeyRecord(record);
    const link = this.dispatcher.link(vm);
    if (!link) throw new Error('front is not known yet');
    return decodeCommitReport(await link.call(PeerMethodName.leader, record));
  }

  private async obeyRecord(record: StoredLeaderRecord): Promise<CommitReport> {
    await this.leadership.receiveRecord(record);
    return this.commitPositions.report(record.service, performance.now());
  }

  private createRateLimiter(): RateLimiter {
    return RateLimiter.create({
      rates: () => this.customerRates(),
      changed$: this.feed.config$,
      lenders: customer => this.shares.lendersOf(customer),
      lendersPerRound: MAX_LENDERS_PER_ROUND,
      lendersInFirstRound: 1,
      maxWaitMs: RATE_WAIT_MS,
      keptShare: customer => {
        const sinceMs = this.accrual.keptSinceMs;
        const share = this.shares.shareAtStartOf(customer);
        return sinceMs === undefined ? undefined : {share, sinceMs};
      },
      requestTokens: async (peer, request) => {
        const link = this.dispatcher.link(peer);
        if (!link) return [];
        const call = link.call(PeerMethodName.lend, request);
        return decodeLentIntervals(await withTimeout(call, LEND_TIMEOUT_MS));
      },
      share: customer => this.shares.shareOf(customer),
      sharesChangeToken: () => this.shares.changeToken,
    });
  }

  private customerRates(): ReadonlyMap<string, Rate> | undefined {
    const {config} = this.feed;
    if (!config) return undefined;
    if (config !== this.cachedRates.config) {
      const rates = new Map(
        [...config.customers].map(([name, {rate}]) => [name, rate]),
      );
      this.cachedRates = {config, rates};
    }
    return this.cachedRates.rates;
  }

  private createAccrual(): Accrual {
    const {feed, registration, settings} = this;
    return Accrual.create({
      self: settings.vm,
      isViewFresh: () => feed.isFresh,
      frontsAtStart: () => this.frontsAtStart(),
      wasSettledAtStart: () => this.storeEra.wasSettledAtStart,
      firstWrite: () => registration.firstWrite,
      isLeaseValid: () => registration.isLeaseValid,
    });
  }

  private createCoordinatorLease(): CoordinatorLease {
    const {settings, ports} = this;
    return CoordinatorLease.create({
      self: settings.vm,
      key: `${ports.layout.fleetPrefix}duty`,
      store: ports.store,
      feed: this.feed,
      minLeaseMs: settings.minLeaseMs,
      rank: () => {
        const names = [...this.fronts().keys()].sort();
        return Math.max(0, names.indexOf(settings.vm));
      },
      mayHold: () => this.mayHoldLease,
      log: ports.log,
    });
  }

  private createStoreEra(): StoreEra {
    const {settings, ports, coordinatorLease} = this;
    return StoreEra.create({
      source: this.feed,
      key: `${ports.layout.fleetPrefix}era`,
      isFirstStart: settings.isFirstStart,
      write: (key, value) => coordinatorLease.write(key, value),
      isLeaseHeld: () => coordinatorLease.isHeld,
    });
  }

  /**
   * Whether this front may acquire the coordinator lease now. One that lacks
   * leader records leaves it to others for as long as a restore may concern.
   */
  private get mayHoldLease(): boolean {
    const {storeEra, leaderRecovery} = this;
    if (!this.isReady || !storeEra.isFormerLeaseOver) return false;
    return leaderRecovery.isComplete || storeEra.isSettled;
  }

  private createLeaderRecovery(): LeaderRecovery {
    const {settings, ports, coordinatorLease, leadership, feed} = this;
    return LeaderRecovery.create({
      source: feed,
      markKey: `${ports.layout.fleetPrefix}leaders-era`,
      isFirstStart: settings.isFirstStart,
      isLeaseHeld: () => coordinatorLease.isHeld,
      serviceNames: () => [...(feed.config?.services.keys() ?? [])],
      databasesOf: service => databasesOf(feed.directory, service),
      queryStatus: entry =>
        runControlStatement(entry, ports.databaseCodec, {kind: 'status'}),
      latestRecord: service => leadership.latestRecord(service),
      writeRecord: record => leadership.writeRecord(record),
      write: (key, value) => coordinatorLease.write(key, value),
      log: ports.log,
    });
  }

  /** A database of a service that may have disappeared unseen by this front. */
  private unseenMemberOf(service: string): MissingLog | undefined {
    const {settings, feed} = this;
    const hasSeenAll = settings.isFirstStart && !feed.hasListedAnew;
    return hasSeenAll ? undefined : feed.unseenMemberOf(service);
  }

  private createMemberRecorder(): MemberRecorder {
    const {ports, feed, coordinatorLease, commitPositions} = this;
    return MemberRecorder.create({
      prefix: ports.layout.fleetPrefix,
      storedItems: () => feed.fleetItems$.value,
      directory: () => feed.directory,
      serviceNames: () => [...(feed.config?.services.keys() ?? [])],
      servicesWithFormer: () => feed.servicesWithFormer,
      membersToRecord: service =>
        feed.membersToRecord(service, commitPositions.samplesOf(service)),
      knowsMembers: service =>
        feed.isRecorded(service) || this.unseenMemberOf(service) === undefined,
      era: () => feed.era,
      isLeaseHeld: () => coordinatorLease.isHeld,
      write: (key, value, itemRevision) =>
        coordinatorLease.write(key, value, itemRevision),
      log: ports.log,
    });
  }

  private createTakeoverRunner(): TakeoverRunner {
    const {settings, ports} = this;
    return TakeoverRunner.create({
      self: settings.vm,
      coordinatorLease: this.coordinatorLease,
      codec: ports.databaseCodec,
      promote: ports.promote,
      directory: () => this.feed.directory,
      formerMembersOf: service => this.feed.formerMembersOf(service),
      recordedMembersOf: service => this.feed.recordedMembersOf(service),
      unseenMemberOf: service => this.unseenMemberOf(service),
      serviceOf: name => this.feed.config?.services.get(name),
      leaderOf: service => this.router.leader(service),
      serviceNames: () => [...(this.feed.config?.services.keys() ?? [])],
      allowedRoutes: ({service, place}) =>
        countRoutesAllowing(
          this.feed.config?.routes.values() ?? [],
          service,
          place.region,
        ),
      areHomesSettled: service =>
        this.homePreference.isSettled(service, performance.now()),
      termOf: service => this.router.highestTermOf(service),
      collectVotes: database => this.collectVotes(database),
      collectFailingVotes: database => this.failingVotes.collect(database),
      leadership: this.leadership,
      evacuations: () => this.feed.evacuations,
      log: ports.log,
    });
  }

  private createSuspectReporter(): SuspectReporter {
    const {coordinatorLease, dispatcher, takeoverRunner} = this;
    return SuspectReporter.create({
      self: this.settings.vm,
      holder: () => coordinatorLease.holder,
      isLeaseHeld: () => coordinatorLease.isHeld,
      workers: () => dispatcher.workersByDatabase,
      directory: () => this.feed.directory,
      leaderOf: service => this.router.leader(service),
      takeoverRunner,
      send: async (vm, report) => {
        const link = dispatcher.link(vm);
        await link?.call(PeerMethodName.suspect, report);
        return link !== undefined;
      },
      log: this.ports.log,
    });
  }

  private async collectVotes(database: string): Promise<readonly boolean[]> {
    const {vm} = this.settings;
    const others = [...this.fronts().values()]
      .filter(front => front.vm !== vm && !front.leaving)
      .map(front => front.vm)
      .sort(() => Math.random() - 0.5)
      .slice(0, MAX_VOTERS - 1);
    const votes = await Promise.all([
      this.canReach(database),
      ...others.map(peer => this.requestVote(peer, database)),
    ]);
    return votes.filter((vote): vote is boolean => vote !== undefined);
  }

  private async requestVote(
    peer: string,
    database: string,
  ): Promise<boolean | undefined> {
    try {
      const link = this.dispatcher.link(peer);
      const call = link?.call(PeerMethodName.probe, {database});
      return call && decodeVote(await withTimeout(call, VOTE_TIMEOUT_MS));
    } catch {
      // A peer that does not answer abstains.
      return undefined;
    }
  }

  /**
   * Whether the database answers; undefined if it may not be asked, since its
   * zone is being evacuated.
   */
  private async canReach(database: string): Promise<boolean | undefined> {
    const worker = this.dispatcher.worker(database);
    if (!worker) return false;
    if (worker.isZoneClosed) return undefined;
    const ageMs = performance.now() - worker.lastSeenAtMs;
    const isReachable = ageMs < RECENT_ANSWER_MS || (await worker.probe());
    return worker.isZoneClosed ? undefined : isReachable;
  }

  private createSessionHost(): SessionHost {
    const {ports} = this;
    return {
      codec: ports.callerCodec,
      router: this.router,
      log: ports.log,
      newId: this.newId,
      config: () => this.feed.config,
      isConfigFresh: () => this.feed.isFresh,
      admitRate: customer => this.rateLimiter.admit(customer),
      endLane: (database, lane) => this.dispatcher.endLane(database, lane),
      cancel: work => this.dispatcher.cancel(work),
      isStopping: () => this.isStopping,
      onEnded: session => this.sessions.delete(session),
      onAnswered: (kind, tookMs) => this.metrics.recordAnswer(kind, tookMs),
    };
  }

  private peerMethods(): Readonly<Record<string, PeerMethod>> {
    const {dispatcher} = this;
    return {
      [PeerMethodName.ping]: () => true,
      [PeerMethodName.leader]: params =>
        this.obeyRecord(decodeAnnouncedRecord(params)),
      [PeerMethodName.run]: (params, from): Promise<Reply> =>
        dispatcher.runForPeer(decodeWork(params), from),
      [PeerMethodName.cancel]: params => {
        const {database, key} = decodeCancel(params);
        dispatcher.cancelLocally(database, key);
      },
      [PeerMethodName.endLane]: params => {
        const {database, lane} = decodeLaneEnd(params);
        dispatcher.endLocalLane(database, lane);
      },
      [PeerMethodName.lend]: params =>
        this.rateLimiter.lend(decodeLendRequest(params)),
      [PeerMethodName.probe]: async params => {
        const {database, on} = decodeVoteRequest(params);
        if (on === 'failing') return this.failingVotes.own(database);
        const vote = await this.canReach(database);
        // An error counts as no vote, also at an older front.
        if (vote === undefined) throw new Error('zone is being evacuated');
        return vote;
      },
      [PeerMethodName.marks]: params =>
        dispatcher.localPositionSamples(decodeDatabase(params).database),
      [PeerMethodName.follow]: params =>
        this.feed.follow(decodeFollowRequest(params)),
      [PeerMethodName.suspect]: params =>
        this.suspectReporter.handle(decodeSuspectReport(params)),
    };
  }

  private async open(): Promise<void> {
    const {settings, ports, lifecycle} = this;
    const {log} = ports;
    const feedRun = this.feed.run();
    lifecycle.own(this.feed, feed => feed.stop());
    void feedRun;
    const peers = await servePeers({
      self: this.self,
      address: {host: settings.host, port: settings.peerPort},
      secret: () => this.registration.secret,
      methods: this.peerMethods(),
      newId: this.newId,
      onDisconnect: ({connection}) => this.dispatcher.endLanesOf(connection),
      log,
    });
    lifecycle.own(peers, closeServer);
    lifecycle.own(await this.serveReadiness(), closeServer);
    if (ports.metrics) lifecycle.own(await this.serveMetrics(), closeServer);
    lifecycle.own(await this.serveCallers(), closeServer);
    lifecycle.own(this.subscribeToChanges(), s => s.unsubscribe());
    this.evacuations.start();
    lifecycle.own(this.evacuations, evacuations => evacuations.close());
    lifecycle.own(this.suspectReporter, reporter => reporter.close());
    const sampleTimer = setInterval(
      () => void this.router.refreshSamples(),
      SAMPLE_INTERVAL_MS,
    );
    lifecycle.own(sampleTimer, timer => clearInterval(timer));
    lifecycle.own(this.dispatcher, dispatcher => dispatcher.close());
    lifecycle.own(this.coldDatabases, databases => databases.close());
    lifecycle.own(this.rateLimiter, rates => rates.close());
    lifecycle.own(this.takeoverRunner, takeover => takeover.close());
    lifecycle.own(this.storeEra, era => era.close());
    lifecycle.own(this.leaderRecovery, recovery => recovery.close());
    lifecycle.own(this.memberRecorder, recorder => recorder.close());
    lifecycle.own(this.registration, registration => registration.close());
    log('started', {
      process: this.self.process,
      zone: settings.place.zone,
      callers: settings.callerAddress,
      peers: settings.peerPort,
    });
  }

  private subscribeToChanges(): Subscription {
    const {directory$, fleetItems$, config$, restored$} = this.feed;
    const changes$ = merge(
      directory$.pipe(map(() => undefined)),
      fleetItems$.pipe(map(() => undefined)),
      config$.pipe(map(() => undefined)),
    );
    const subscription = changes$.subscribe(() => {
      this.dispatcher.refresh();
      this.coldDatabases.refresh();
    });
    subscription.add(
      fleetItems$.subscribe(() => this.leadership.applyStoredRecords()),
    );
    const regions = new Set(this.settings.regionOfZone.values());
    subscription.add(
      config$.subscribe(config => {
        if (config)
          this.homePreference.update(config.routes.values(), performance.now());
        for (const session of this.sessions) session.reauthorize();
        for (const unknown of config ? unknownHomes(config, regions) : [])
          this.ports.log('home_region_unknown', {...unknown});
      }),
    );
    subscription.add(
      restored$.subscribe(() => {
        // Decodes the last view before the restore, whose fronts are retained.
        this.fronts();
        this.frontList.retain();
        this.leaderRecovery.recordRestore(this.feed.isFresh);
      }),
    );
    return subscription;
  }

  private serveCallers(): Promise<Server> {
    const server = createServer((socket: Socket) => {
      const session = CallerSession.create(socket, this.sessionHost);
      this.sessions.add(session);
    });
    return listen(server, this.settings.callerAddress);
  }

  private serveReadiness(): Promise<HttpServer> {
    const server = createHttpServer((request, response) => {
      const isKnownPath = request.url === this.ports.readyPath;
      response.statusCode = !isKnownPath ? 404 : this.isReady ? 200 : 503;
      response.end();
    });
    return listen(server, this.settings.readyAddress);
  }

  private serveMetrics(): Promise<HttpServer> {
    const {metrics} = this.ports;
    const server = createHttpServer((request, response) => {
      const isKnownPath = request.url === metrics?.path;
      response.statusCode = isKnownPath ? 200 : 404;
      response.setHeader('content-type', 'text/plain');
      if (!isKnownPath) return void response.end();
      void this.metrics.render(this.gauges()).then(text => response.end(text));
    });
    return listen(server, metrics ?? this.settings.readyAddress);
  }

  private get primariesInEvacuatedZones(): number {
    const {evacuations, config} = this.feed;
    if (evacuations.size === 0) return 0;
    return [...(config?.services.keys() ?? [])].filter(service => {
      const zone = this.router.leader(service)?.zone;
      return zone !== undefined && evacuations.isEvacuating(zone);
    }).length;
  }

  /** Number of routes whose homes exclude the primary of their service. */
  private get routesWithoutHomePrimary(): number {
    const routes = this.feed.config?.routes.values() ?? [];
    return [...routes].filter(route => {
      const leader = this.router.leader(route.service);
      return leader && !allowsRegion(homesOf(route), leader.place.region);
    }).length;
  }

  private gauges(): Readonly<Record<string, number>> {
    return {
      sessions: this.sessions.size,
      ready: this.isReady ? 1 : 0,
      duty_held: this.coordinatorLease.isHeld ? 1 : 0,
      databases_cold: this.coldDatabases.count,
      services_maybe_paused: this.takeoverRunner.pendingResumeCount,
      services_commits_stopped: this.leadership.stoppedCount,
      config_version: this.feed.config?.version ?? 0,
      zones_evacuating: this.feed.evacuations.size,
      primaries_in_evacuated_zones: this.primariesInEvacuatedZones,
      routes_without_home_primary: this.routesWithoutHomePrimary,
      store_era: this.feed.era,
      store_revision: this.feed.knownRevision,
      ...this.router.gauges,
      resident_bytes: process.memoryUsage.rss(),
      ...Object.fromEntries(
        [...this.dispatcher.refusals].map(([reason, count]) => [
          `refused_total{reason="${reason}"}`,
          count,
        ]),
      ),
    };
  }
}

function listen<T extends Server>(server: T, address: Address): Promise<T> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.host, 1_024, () => resolve(server));
  });
}

function closeServer(server: Server): void {
  server.close();
  if ('closeAllConnections' in server) {
    (server as HttpServer).closeAllConnections();
  }
}
