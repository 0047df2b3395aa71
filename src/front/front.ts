/** One front: everything a VM runs on a platform, composed and owned here. */
import {
  createServer as createHttpServer,
  Server as HttpServer,
} from 'node:http';
import {createServer, Server, Socket} from 'node:net';
import {map, merge, Subscription} from 'rxjs';
import {FrontConfig} from '../core/front_config.js';
import {Fronts} from '../core/fronts.js';
import {maxConfigAgeMs} from '../core/freshness.js';
import {StoredLeaderRecord} from '../core/leader_record.js';
import {LentInterval, Rate} from '../core/rates.js';
import {Reply, Work} from '../core/work.js';
import {relayFor} from '../core/relay.js';
import {Lifecycle} from '../proxy/lifecycle.js';
import {LendRequest, RateLimiter} from '../proxy/rate_limiter.js';
import {KeyValues} from '../store/key_values.js';
import {CallerSession, SessionHost} from './caller_session.js';
import {FollowRequest, RelayedChanges} from './change_relay.js';
import {Dispatcher, PeerMethodName} from './dispatcher.js';
import {CoordinatorLease} from './coordinator_lease.js';
import {FrontList, frontEntryKey} from './front_list.js';
import {Leadership} from './leadership.js';
import {FrontMetrics} from './front_metrics.js';
import {Address, FrontSettings} from './front_settings.js';
import {JsonLog} from './json_log.js';
import {PeerMethod, servePeers} from './peer_service.js';
import {Promote} from './promoter.js';
import {RateShares} from './rate_shares.js';
import {Registration} from './registration.js';
import {Router} from './router.js';
import {Relay, StoreFeed, StoreLayout} from './store_feed.js';
import {TakeoverRunner} from './takeover_runner.js';
import {withTimeout} from './timeout.js';
import {CallerCodec, DatabaseCodec} from './wire_types.js';

/** What a platform supplies. */
export interface FrontPorts {
  readonly store: KeyValues;
  readonly layout: StoreLayout;
  readonly callerCodec: CallerCodec;
  readonly databaseCodec: DatabaseCodec;
  readonly promote: Promote;
  /** Path on which readiness is asked. */
  readonly readyPath: string;
  /** Where figures are shown; undefined: nowhere. */
  readonly metrics: (Address & {readonly path: string}) | undefined;
  readonly log: JsonLog;
}

/** Beats of silence after which a database counts as gone. */
const MISSING_BEATS = 2;
/** Fronts asked whether a primary answers. */
const MAX_VOTERS = 5;
const VOTE_TIMEOUT_MS = 700;
/** A database heard this lately answers. */
const HEARD_LATELY_MS = 150;
const SUSPECT_INTERVAL_MS = 150;
/** Lenders asked in one round: each call crosses the fleet. */
const LENDERS_A_ROUND = 2;
const LEND_TIMEOUT_MS = 150;
/** Longest wait for a token: what is over its rate is told soon. */
const RATE_WAIT_MS = 250;
/** The steady clock counts from the start of the process. */
const PROCESS_START_MS = 0;
/** Longer than a proof: others have learned of a new front, or serve no more. */
const NEWCOMER_WAIT_MS = 5_500;
/** Interval at which positions of leaders are learned for replica reads. */
const MARKS_INTERVAL_MS = 600;
const STOP_POLL_MS = 25;
/** Time after the stop request that is left for closing. */
const STOP_RESERVE_MS = 600;

/** A running front. */
export class Front {
  private readonly lifecycle = Lifecycle.create();
  private readonly sessions = new Set<CallerSession>();
  private readonly feed: StoreFeed;
  private readonly registration: Registration;
  private readonly dispatcher: Dispatcher;
  private readonly router: Router;
  private readonly rates: RateLimiter;
  private readonly duty: CoordinatorLease;
  private readonly takeover: TakeoverRunner;
  private readonly metrics = FrontMetrics.create();
  private readonly host: SessionHost;
  private stopping = false;
  private readonly frontList: FrontList;
  private readonly shares: RateShares;
  private readonly leadership: Leadership;
  private ratesOfConfig: {
    readonly config?: FrontConfig;
    readonly rates: ReadonlyMap<string, Rate>;
  } = {rates: new Map()};
  private readonly startedAtMs = performance.now();

  private constructor(
    private readonly settings: FrontSettings,
    private readonly ports: FrontPorts,
  ) {
    const {log, store, layout} = ports;
    this.feed = StoreFeed.create({
      chooseRelay: isAvoided => this.relay(isAvoided),
      store,
      layout,
      regionOfZone: settings.regionOfZone,
      maxConfigAgeMs: maxConfigAgeMs(settings.keyRevocationMs),
      missingEntryGraceMs: MISSING_BEATS * settings.heartbeatIntervalMs,
      log,
    });
    this.registration = Registration.create({
      member: this.member,
      prefix: layout.fleetPrefix,
      store,
      feed: this.feed,
      log,
    });
    this.leadership = this.createLeadership();
    this.dispatcher = this.createDispatcher();
    this.frontList = FrontList.create(layout.fleetPrefix, log);
    this.shares = RateShares.create({
      self: settings.vm,
      place: settings.place,
      fronts: () => this.fronts(),
      config: () => this.feed.config,
      mayAccrue: () => this.mayAccrue,
    });
    this.router = Router.create({
      self: settings.vm,
      place: settings.place,
      directory: () => this.feed.directory,
      dispatcher: this.dispatcher,
      mayLead: entry => this.leadership.mayLead(entry),
      log,
    });
    this.rates = this.createRates();
    this.duty = this.createDuty();
    this.takeover = this.createTakeover();
    this.host = this.createHost();
  }

  /** Starts a front; resolves once all addresses listen. */
  static async start(
    settings: FrontSettings,
    ports: FrontPorts,
  ): Promise<Front> {
    const front = new Front(settings, ports);
    await front.open();
    return front;
  }

  /** Whether the balancer should send callers here. */
  get isReady(): boolean {
    return !this.stopping && this.feed.isFresh && this.isRegistered;
  }

  /** Graceful shutdown: finishes what is under way, cuts nothing. */
  async stop(): Promise<void> {
    if (this.stopping) return;
    this.stopping = true;
    const startedMs = performance.now();
    const {log} = this.ports;
    log('stopping', {sessions: this.sessions.size});
    void this.registration.announceLeaving();
    void this.duty.release();
    const {shutdownGraceMs: graceMs} = this.settings;
    for (;;) {
      const ageMs = performance.now() - startedMs;
      for (const session of this.sessions) {
        if (ageMs > graceMs / 2) session.abortTransaction('shutdown');
        session.closeIfIdle();
      }
      const done = this.sessions.size === 0 && this.dispatcher.isIdle;
      if (done || ageMs > graceMs - STOP_RESERVE_MS) break;
      await new Promise(resolve => setTimeout(resolve, STOP_POLL_MS));
    }
    log('stopped', {
      sessions: this.sessions.size,
      tookMs: Math.round(performance.now() - startedMs),
    });
    await this.lifecycle.close();
  }

  /** The state of the process, for people. */
  dump(): object {
    return {
      vm: this.settings.vm,
      ready: this.isReady,
      stopping: this.stopping,
      sessions: this.sessions.size,
      duty: {held: this.duty.isHeld, holder: this.duty.holder},
      fronts: [...this.fronts().keys()],
      store: this.feed.dump(),
      dispatcher: this.dispatcher.dump(),
      rates: this.rates.dump(),
    };
  }

  private get member() {
    const {vm, host, peerPort, place} = this.settings;
    return {vm, host, port: peerPort, place, leaving: false};
  }

  private get isRegistered(): boolean {
    return this.fronts().has(this.settings.vm);
  }

  private fronts(): Fronts {
    return this.frontList.decodeFronts(this.feed.fleetItems$.value);
  }

  /** The front that is asked for the store's changes; undefined: the store is. */
  private relay(isAvoided: (vm: string) => boolean): Relay | undefined {
    const {vm: self, place} = this.settings;
    const isUsable = (vm: string): boolean =>
      !isAvoided(vm) && this.dispatcher.link(vm)?.isDown === false;
    const vm = relayFor(this.fronts(), self, place.region, isUsable);
    const link = vm === undefined ? undefined : this.dispatcher.link(vm);
    if (vm === undefined || !link) return undefined;
    const follow: Relay['follow'] = request =>
      link.longPoll<RelayedChanges>(PeerMethodName.follow, request);
    return {vm, follow};
  }

  private createDispatcher(): Dispatcher {
    const {settings, ports} = this;
    return Dispatcher.create({
      self: settings.vm,
      zone: settings.place.zone,
      codec: ports.databaseCodec,
      log: ports.log,
      directory: () => this.feed.directory,
      fronts: () => this.fronts(),
      serviceOf: name => this.feed.config?.services.get(name),
      idleTransactionMs: () => this.feed.config?.idleTransactionMs ?? 0,
      secret: () => this.registration.secret,
      canServeAsPrimary: entry => this.leadership.canServeAsPrimary(entry),
    });
  }

  private createLeadership(): Leadership {
    const {settings, ports, feed} = this;
    return Leadership.create({
      isFenced: settings.isFenced,
      prefix: ports.layout.fleetPrefix,
      storedItems: () => feed.fleetItems$.value,
      knownRevision: () => feed.knownRevision,
      fronts: () => this.fronts(),
      isFreshAndRegistered: () =>
        feed.isFresh && this.registration.isLeaseValid && this.isRegistered,
      maxConfigAgeMs: maxConfigAgeMs(settings.keyRevocationMs),
      coordinatorLease: () => this.duty,
      codec: ports.databaseCodec,
      announce: async (vm, record) => {
        if (vm === settings.vm) return;
        await this.dispatcher.link(vm)?.call(PeerMethodName.leader, record);
      },
      abortPrimaryWorkExcept: (service, leader) =>
        this.dispatcher.abortPrimaryWorkExcept(service, leader),
      log: ports.log,
    });
  }

  private createRates(): RateLimiter {
    return RateLimiter.create({
      rates: () => this.customerRates(),
      changed$: this.feed.config$,
      lenders: customer => this.shares.lendersOf(customer),
      lendersPerRound: LENDERS_A_ROUND,
      lendersInFirstRound: 1,
      maxWaitMs: RATE_WAIT_MS,
      accrualStartMs: () => this.heldSharesFromMs(),
      requestTokens: async (peer, request) => {
        const link = this.dispatcher.link(peer);
        if (!link) return [];
        const call = link.call<LentInterval[]>(PeerMethodName.lend, request);
        return withTimeout(call, LEND_TIMEOUT_MS);
      },
      share: customer => this.shares.shareOf(customer),
      sharesChangeToken: () => this.shares.changeToken,
    });
  }

  private customerRates(): ReadonlyMap<string, Rate> | undefined {
    const {config} = this.feed;
    if (!config) return undefined;
    if (config !== this.ratesOfConfig.config) {
      const rates = new Map(
        [...config.customers].map(([name, {rate}]) => [name, rate]),
      );
      this.ratesOfConfig = {config, rates};
    }
    return this.ratesOfConfig.rates;
  }

  /** A front that starts again under its name held its shares meanwhile. */
  private heldSharesFromMs(): number {
    const nowMs = performance.now();
    const isRestart = this.feed.fleetItemsAtStart.has(
      this.registration.entryKey,
    );
    return isRestart && nowMs < NEWCOMER_WAIT_MS ? PROCESS_START_MS : nowMs;
  }

  /** Joined a fleet that was running, too lately for all to know. */
  private get isNewcomer(): boolean {
    const ageMs = performance.now() - this.startedAtMs;
    if (ageMs >= NEWCOMER_WAIT_MS) return false;
    const {fleetItemsAtStart: ownAtStart} = this.feed;
    const others = frontEntryKey(this.ports.layout.fleetPrefix, '');
    const wasRunning = [...ownAtStart.keys()].some(key =>
      key.startsWith(others),
    );
    return wasRunning && !ownAtStart.has(this.registration.entryKey);
  }

  /**
   * Whether this front accrues its shares of rates: not while out of touch or
   * when others may take it for gone, nor, if it was not registered, until those
   * whose place it takes must have learned of it.
   */
  private get mayAccrue(): boolean {
    return (
      this.feed.isFresh && !this.isNewcomer && this.registration.isLeaseValid
    );
  }

  private createDuty(): CoordinatorLease {
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
      mayHold: () => this.isReady,
      log: ports.log,
    });
  }

  private createTakeover(): TakeoverRunner {
    const {settings, ports} = this;
    return TakeoverRunner.create({
      self: settings.vm,
      coordinatorLease: this.duty,
      codec: ports.databaseCodec,
      promote: ports.promote,
      directory: () => this.feed.directory,
      serviceOf: name => this.feed.config?.services.get(name),
      leaderOf: service => this.router.leader(service),
      serviceNames: () => [...(this.feed.config?.services.keys() ?? [])],
      termOf: service => this.router.highestTermOf(service),
      collectVotes: database => this.vote(database),
      leadership: this.leadership,
      log: ports.log,
    });
  }

  private async vote(database: string): Promise<readonly boolean[]> {
    const {vm} = this.settings;
    const others = [...this.fronts().values()]
      .filter(front => front.vm !== vm && !front.leaving)
      .map(front => front.vm)
      .sort(() => Math.random() - 0.5)
      .slice(0, MAX_VOTERS - 1);
    const votes = await Promise.all([
      this.reaches(database),
      ...others.map(peer => this.askVote(peer, database)),
    ]);
    return votes.filter((vote): vote is boolean => vote !== undefined);
  }

  private async askVote(
    peer: string,
    database: string,
  ): Promise<boolean | undefined> {
    try {
      const link = this.dispatcher.link(peer);
      const call = link?.call<boolean>(PeerMethodName.probe, {database});
      return call && (await withTimeout(call, VOTE_TIMEOUT_MS));
    } catch {
      // A peer that does not answer has no vote.
      return undefined;
    }
  }

  private async reaches(database: string): Promise<boolean> {
    const worker = this.dispatcher.worker(database);
    if (!worker) return false;
    const age = performance.now() - worker.lastSeenAtMs;
    return age < HEARD_LATELY_MS || worker.probe();
  }

  private createHost(): SessionHost {
    const {ports} = this;
    return {
      codec: ports.callerCodec,
      router: this.router,
      log: ports.log,
      config: () => this.feed.config,
      isFresh: () => this.feed.isFresh,
      admitRate: customer => this.rates.admit(customer),
      endLane: (database, lane) => this.dispatcher.endLane(database, lane),
      cancel: work => this.dispatcher.cancel(work),
      isStopping: () => this.stopping,
      onEnded: session => this.sessions.delete(session),
      onAnswered: (kind, tookMs) => this.metrics.recordAnswer(kind, tookMs),
    };
  }

  private methods(): Readonly<Record<string, PeerMethod>> {
    const {dispatcher} = this;
    return {
      [PeerMethodName.ping]: () => true,
      [PeerMethodName.leader]: (record: StoredLeaderRecord) => {
        this.leadership.receiveRecord(record);
        return true;
      },
      [PeerMethodName.run]: (work: Work, from: string): Promise<Reply> =>
        dispatcher.runLocally(work, from),
      [PeerMethodName.cancel]: (p: {database: string; key: string}) =>
        dispatcher.cancelLocally(p.database, p.key),
      [PeerMethodName.endLane]: (p: {database: string; lane: string}) =>
        dispatcher.endLocalLane(p.database, p.lane),
      [PeerMethodName.lend]: (request: LendRequest) => this.rates.lend(request),
      [PeerMethodName.probe]: (p: {database: string}) =>
        this.reaches(p.database),
      [PeerMethodName.marks]: (p: {database: string}) =>
        dispatcher.localPositionSamples(p.database),
      [PeerMethodName.follow]: (request: FollowRequest) =>
        this.feed.follow(request),
      [PeerMethodName.suspect]: (p: {service: string; database: string}) =>
        this.takeover.reportSuspect(p.service, p.database),
    };
  }

  private async open(): Promise<void> {
    const {settings, ports, lifecycle} = this;
    const {log} = ports;
    const following = this.feed.run();
    lifecycle.own(this.feed, feed => feed.stop());
    void following;
    const peers = await servePeers({
      self: settings.vm,
      address: {host: settings.host, port: settings.peerPort},
      secret: () => this.registration.secret,
      methods: this.methods(),
      onDisconnect: vm => this.dispatcher.endLanesFrom(vm),
      log,
    });
    lifecycle.own(peers, closeServer);
    lifecycle.own(await this.serveReady(), closeServer);
    if (ports.metrics) lifecycle.own(await this.serveMetrics(), closeServer);
    lifecycle.own(await this.serveCallers(), closeServer);
    lifecycle.own(this.followChanges(), s => s.unsubscribe());
    const suspecting = setInterval(
      () => this.reportSuspects(),
      SUSPECT_INTERVAL_MS,
    );
    lifecycle.own(suspecting, timer => clearInterval(timer));
    const marking = setInterval(
      () => void this.router.refreshSamples(),
      MARKS_INTERVAL_MS,
    );
    lifecycle.own(marking, timer => clearInterval(timer));
    lifecycle.own(this.dispatcher, dispatcher => dispatcher.close());
    lifecycle.own(this.rates, rates => rates.close());
    lifecycle.own(this.takeover, takeover => takeover.close());
    lifecycle.own(this.registration, registration => registration.close());
    log('started', {
      zone: settings.place.zone,
      callers: settings.callerAddress,
      peers: settings.peerPort,
    });
  }

  private followChanges(): Subscription {
    const {directory$, fleetItems$: own$, config$} = this.feed;
    const changes$ = merge(
      directory$.pipe(map(() => undefined)),
      own$.pipe(map(() => undefined)),
      config$.pipe(map(() => undefined)),
    );
    const subscription = changes$.subscribe(() => this.dispatcher.refresh());
    subscription.add(
      own$.subscribe(() => this.leadership.applyStoredRecords()),
    );
    return subscription;
  }

  private serveCallers(): Promise<Server> {
    const server = createServer((socket: Socket) => {
      const session = CallerSession.create(socket, this.host);
      this.sessions.add(session);
    });
    return listen(server, this.settings.callerAddress);
  }

  private serveReady(): Promise<HttpServer> {
    const server = createHttpServer((request, response) => {
      const known = request.url === this.ports.readyPath;
      response.statusCode = !known ? 404 : this.isReady ? 200 : 503;
      response.end();
    });
    return listen(server, this.settings.readyAddress);
  }

  private serveMetrics(): Promise<HttpServer> {
    const {metrics} = this.ports;
    const server = createHttpServer((request, response) => {
      const known = request.url === metrics?.path;
      response.statusCode = known ? 200 : 404;
      response.setHeader('content-type', 'text/plain');
      if (!known) return void response.end();
      void this.metrics.render(this.gauges()).then(text => response.end(text));
    });
    return listen(server, metrics ?? this.settings.readyAddress);
  }

  private gauges(): Readonly<Record<string, number>> {
    return {
      sessions: this.sessions.size,
      ready: this.isReady ? 1 : 0,
      duty_held: this.duty.isHeld ? 1 : 0,
      resident_bytes: process.memoryUsage.rss(),
    };
  }

  /** Tells the holder of the duty of primaries that do not answer. */
  private reportSuspects(): void {
    const {holder} = this.duty;
    for (const [id, worker] of this.dispatcher.workersByDatabase) {
      if (!worker.isSuspect) continue;
      const service = this.feed.directory.get(id)?.service;
      if (service === undefined) continue;
      if (this.router.leader(service)?.id !== id) continue;
      if (holder === this.settings.vm) this.takeover.reportSuspect(service, id);
      else if (holder !== undefined) {
        this.dispatcher
          .link(holder)
          ?.call(PeerMethodName.suspect, {service, database: id})
          .catch((error: Error) =>
            this.ports.log('suspect_untold', {holder, text: error.message}),
          );
      }
    }
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
