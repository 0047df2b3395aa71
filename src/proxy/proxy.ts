/** Composes the parts of a proxy process; starts, drains and closes them. */
import {randomBytes} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {JSONRPCServer} from 'json-rpc-2.0';
import {loadModule, parseSync} from 'libpg-query';
import {interval} from 'rxjs';
import {ConfirmRule} from '../core/ack.js';
import {DatabaseConfig, findService} from '../core/config.js';
import {Executor} from '../core/lane.js';
import {rendezvousScore} from '../core/placement.js';
import {RouteRead} from '../core/routing.js';
import {createClassifier} from '../core/sql.js';
import {BackendTarget} from '../pg/backend.js';
import {PeerAddress} from '../peer/client.js';
import {PeerServer} from '../peer/server.js';
import {EtcdStore} from '../store/etcd.js';
import {ConfigFeed} from './config_feed.js';
import {Fleet} from './fleet.js';
import {FleetExecutor} from './fleet_executor.js';
import {LocalGroups} from './local_groups.js';
import {Intents} from './intents.js';
import {Lifecycle} from './lifecycle.js';
import {Listener} from './listener.js';
import {createLog, Log} from './log.js';
import {MembershipFeed} from './membership_feed.js';
import {Metrics} from './metrics.js';
import {OperatorServer} from './operators.js';
import {cancelPrefixOf, PeerMethods} from './peer_methods.js';
import {createFleetRateLimiter} from './fleet_rate_limiter.js';
import {RateLimiter} from './rate_limiter.js';
import {SessionHost} from './session.js';
import {describeSettings, ResolvedSettings, Settings} from './settings.js';

/** Behavior that tests and benchmarks can replace. */
export interface ProxyHooks {
  readonly routeRead?: RouteRead;
  readonly confirms?: ConfirmRule;
}

/** Number of VMs that watch the platform: those with the highest hashes. */
const WATCHER_COUNT = 3;
const METRICS_INTERVAL_MS = 5_000;
const MAX_OBSERVERS = 4;
const CONNECT_TIMEOUT_MS = 800;
const DRAIN_POLL_MS = 50;
/** Time for the load balancer and the peers to notice a shutdown. */
const DRAIN_NOTICE_MS = 1_000;
const CLASSIFIER_CACHE = {cacheEntries: 10_000, cachedTextBytes: 4_096};

/** The process of one VM: serves callers, peers and operators. */
export class Proxy {
  private readonly lifecycle = Lifecycle.create();
  private readonly log: Log;
  private readonly settings: Settings;
  private readonly metrics: Metrics;
  private readonly store: EtcdStore;
  private readonly feed: ConfigFeed;
  private readonly fleet: Fleet;
  private readonly membershipFeed: MembershipFeed;
  private readonly rateLimiter: RateLimiter;
  private readonly groups: LocalGroups;
  private readonly rpc = new JSONRPCServer();
  private readonly peerMethods: PeerMethods;
  private readonly rosterMember: string;
  private readonly executors = new Map<
    string,
    {configVersion: string; executor: Executor}
  >();
  private peerServer!: PeerServer;
  private listener!: Listener;
  private operatorServer!: OperatorServer;
  private drainPromise: Promise<void> | undefined;
  private requestCount = 0;
  private ready = false;

  private constructor(
    private readonly resolved: ResolvedSettings,
    private readonly hooks: ProxyHooks,
  ) {
    const {settings} = resolved;
    this.settings = settings;
    this.log = createLog('proxy', settings.vm);
    const bootId = randomBytes(4).toString('hex');
    this.rosterMember = `${settings.vm}/${bootId}`;
    const {lifecycle} = this;
    this.metrics = lifecycle.own(this.createMetrics(), m => m.close());
    this.store = lifecycle.own(
      EtcdStore.create({
        url: settings.platformUrl,
        timeoutMs: settings.platformTimeoutMs,
      }),
      store => store.close(),
    );
    this.feed = lifecycle.own(this.createFeed(), feed => feed.close());
    this.fleet = lifecycle.own(this.createFleet(), fleet => fleet.close());
    this.membershipFeed = lifecycle.own(this.createMembershipFeed(), m =>
      m.close(),
    );
    this.rateLimiter = lifecycle.own(this.createRateLimiter(), rates =>
      rates.close(),
    );
    this.groups = lifecycle.own(this.createGroups(), g => g.close());
    this.peerMethods = this.createPeerMethods();
  }

  /** Starts a proxy; it serves callers once it has a configuration. */
  static async create(
    resolved: ResolvedSettings,
    hooks: ProxyHooks = {},
  ): Promise<Proxy> {
    await loadModule();
    const proxy = new Proxy(resolved, hooks);
    try {
      await proxy.listen();
    } catch (error) {
      await proxy.lifecycle.close();
      throw error;
    }
    void proxy.bootstrap();
    return proxy;
  }

  get callerPort(): number {
    return this.listener.port;
  }

  get peerPort(): number {
    return this.peerServer.port;
  }

  get operatorPort(): number {
    return this.operatorServer.port;
  }

  get isDraining(): boolean {
    return this.drainPromise !== undefined;
  }

  /** Returns the state of the process for operators. */
  dump(): object {
    return {
      vm: this.settings.vm,
      pid: process.pid,
      ready: this.ready,
      draining: this.isDraining,
      configVersion: this.feed.config.version,
      roster: this.feed.roster,
      watchesPlatform: this.feed.isWatching,
      connections: this.listener.connectionCount,
      sessions: this.listener.sessionCount,
      lanes: this.groups.laneCount,
      memoryBytes: process.memoryUsage().rss,
      processorMs: cpuTimeMs(),
      metrics: this.metrics.dump(),
      fleet: this.fleet.dump(),
      rates: this.rateLimiter.dump(),
      groups: this.groups.dump(),
      settings: describeSettings(this.resolved),
    };
  }

  /** Shuts down gracefully: waits for running requests, up to the timeout. */
  drain(): Promise<void> {
    this.drainPromise ??= this.performDrain();
    return this.drainPromise;
  }

  /** Shuts down immediately. */
  close(): Promise<void> {
    return this.lifecycle.close();
  }

  private createMetrics(): Metrics {
    const {metricsHost, metricsPort, vm} = this.settings;
    return Metrics.create({host: metricsHost, port: metricsPort, vm});
  }

  private createFeed(): ConfigFeed {
    return ConfigFeed.create({
      store: this.store,
      log: createLog('config', this.settings.vm),
      shouldWatch: () => this.shouldWatchPlatform(),
    });
  }

  private createFleet(): Fleet {
    const {vm, host, peerPort, region, zone} = this.settings;
    return Fleet.create({
      address: {vm, host, peerPort, place: {region, zone}},
      secrets: this.settings.fleetSecrets,
      maxFrameBytes: this.settings.maxFrameBytes,
      feed: this.feed,
      rpc: this.rpc,
      log: createLog('fleet', vm),
      rosterMember: this.rosterMember,
    });
  }

  private createMembershipFeed(): MembershipFeed {
    return MembershipFeed.create({
      vm: this.settings.vm,
      rosterMember: this.rosterMember,
      store: this.store,
      feed: this.feed,
      fleet: this.fleet,
      log: createLog('fleet', this.settings.vm),
    });
  }

  private createRateLimiter(): RateLimiter {
    return createFleetRateLimiter({
      fleet: this.fleet,
      feed: this.feed,
      rpc: this.rpc,
      share: () => this.membershipFeed.rateShare,
    });
  }

  private createGroups(): LocalGroups {
    const {vm} = this.settings;
    return LocalGroups.create({
      localVm: vm,
      config$: this.feed.config$,
      config: () => this.feed.config,
      candidates: () => this.fleet.candidates,
      targetOf: (service, database) => this.targetOf(service, database),
      failoverOptions: {
        claimant: this.rosterMember,
        log: createLog('failover', vm),
        observers: () => [vm, ...this.fleet.peers.slice(0, MAX_OBSERVERS)],
        requestVote: (observer, service, database) =>
          this.peerMethods.requestVote(observer, {service, database}),
      },
      onRouted: (access, toReplica) =>
        this.metrics.recordRoute(access, toReplica),
      routeRead: this.hooks.routeRead,
      confirmRule: this.hooks.confirms,
    });
  }

  private createPeerMethods(): PeerMethods {
    return PeerMethods.create({
      vm: this.settings.vm,
      rpc: this.rpc,
      fleet: this.fleet,
      config: () => this.feed.config,
      targetOf: (service, database) => this.targetOf(service, database),
      cancel: (processId, secret) => this.listener.cancel(processId, secret),
    });
  }

  private async listen(): Promise<void> {
    const {settings, lifecycle} = this;
    this.peerServer = lifecycle.own(
      await PeerServer.create({
        host: settings.host,
        port: settings.peerPort,
        secrets: settings.fleetSecrets,
        rpc: this.rpc,
        executor: this.groups,
        maxFrameBytes: settings.maxFrameBytes,
      }),
      server => server.close(),
    );
    this.fleet.setPeerPort(this.peerServer.port);
    this.listener = lifecycle.own(await this.createListener(), l => l.close());
    this.operatorServer = lifecycle.own(await this.createOperatorServer(), o =>
      o.close(),
    );
    const subscription = this.feed.config$.subscribe(() =>
      this.listener.reauthorizeSessions(),
    );
    lifecycle.own(subscription, s => s.unsubscribe());
    const publishing = interval(METRICS_INTERVAL_MS).subscribe(() =>
      this.metrics.publish({connections: this.listener.connectionCount}),
    );
    lifecycle.own(publishing, s => s.unsubscribe());
    this.log('listening', {
      callerPort: this.callerPort,
      peerPort: this.peerPort,
      operatorPort: this.operatorPort,
    });
  }

  private createListener(): Promise<Listener> {
    const {settings} = this;
    return Listener.create({
      host: settings.host,
      port: settings.callerPort,
      tls: this.callerTls(),
      maxConnections: settings.maxConnections,
      loginTimeoutMs: settings.loginTimeoutMs,
      sessionHost: this.sessionHost(),
      cancelPrefix: cancelPrefixOf(settings.vm),
      onRemoteCancel: (processId, secret) =>
        void this.peerMethods.forwardCancel({processId, secret}),
    });
  }

  private createOperatorServer(): Promise<OperatorServer> {
    const {settings} = this;
    return OperatorServer.create({
      host: settings.host,
      port: settings.operatorPort,
      operatorKeys: settings.operatorKeys,
      intents: Intents.create(this.store, () => this.feed.config),
      isHealthy: () => this.ready && !this.isDraining,
      show: () => this.feed.config,
      dump: () => this.dump(),
      drain: () => void this.drain(),
      onConfirmed: config => this.feed.applyConfig(config),
    });
  }

  private callerTls(): {cert: Buffer; key: Buffer} | undefined {
    const {tlsCertFile, tlsKeyFile} = this.settings;
    if (tlsCertFile === '') return undefined;
    return {cert: readFileSync(tlsCertFile), key: readFileSync(tlsKeyFile)};
  }

  private sessionHost(): SessionHost {
    return {
      classify: createClassifier(parseSync, CLASSIFIER_CACHE),
      tokenSecrets: this.settings.fleetSecrets,
      requestTimeoutMs: this.settings.requestTimeoutMs,
      maxFrameBytes: this.settings.maxFrameBytes,
      config: () => this.feed.config,
      executorFor: service => this.executorFor(service),
      admit: customer => this.rateLimiter.admit(customer),
      isDraining: () => this.isDraining,
      nextRequestId: () => `${this.rosterMember}/${++this.requestCount}`,
      recordAnswer: (kind, latencyMs) =>
        this.metrics.recordAnswer(kind, latencyMs),
    };
  }

  private executorFor(name: string): Executor {
    const service = findService(this.feed.config, name);
    if (!service) return this.groups;
    const known = this.executors.get(name);
    const configVersion = String(this.feed.config.version);
    if (known?.configVersion === configVersion) return known.executor;
    const executor = FleetExecutor.create({
      service,
      localVm: this.settings.vm,
      candidates: () => this.fleet.candidates,
      localExecutor: () => this.groups,
      remoteExecutor: vm => this.fleet.client(vm),
      onUnreachable: vm => this.fleet.reportFailure(vm),
    });
    this.executors.set(name, {configVersion, executor});
    return executor;
  }

  private targetOf(service: string, database: DatabaseConfig): BackendTarget {
    const {settings} = this;
    return {
      host: database.host,
      port: database.port,
      database: service,
      user: settings.backendUser,
      password: settings.backendPassword,
      tlsCa:
        settings.backendCaFile === ''
          ? undefined
          : readFileSync(settings.backendCaFile, 'utf8'),
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      maxFrameBytes: settings.maxFrameBytes,
    };
  }

  private shouldWatchPlatform(): boolean {
    const vms = this.fleet.candidates.map(candidate => candidate.vm);
    const watchers = vms
      .map(vm => ({vm, order: rendezvousScore('platform', vm)}))
      .sort((a, b) => b.order - a.order)
      .slice(0, WATCHER_COUNT);
    return watchers.some(entry => entry.vm === this.settings.vm);
  }

  /** Waits for a configuration, from the platform or else from peers. */
  private async bootstrap(): Promise<void> {
    while (this.feed.config.version === 0 && !this.isDraining) {
      const answered = await this.feed.readPlatform();
      if (!answered) await this.fleet.bootstrapFromPeers(this.seedAddresses());
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS * 2));
    }
    this.ready = true;
    this.log('ready', {configVersion: this.feed.config.version});
  }

  private seedAddresses(): PeerAddress[] {
    const entries = this.settings.seedPeers.split(',').filter(Boolean);
    return entries.map(entry => {
      const separator = entry.lastIndexOf(':');
      return {
        host: entry.slice(0, separator),
        port: Number(entry.slice(separator + 1)),
      };
    });
  }

  private async performDrain(): Promise<void> {
    const deadlineMs = Date.now() + this.settings.drainTimeoutMs;
    this.log('draining', {sessions: this.listener.sessionCount});
    await Promise.all([this.fleet.leave(), this.membershipFeed.leave()]);
    await new Promise(resolve => setTimeout(resolve, DRAIN_NOTICE_MS));
    this.listener.stopAccepting();
    while (this.isBusy() && Date.now() < deadlineMs) {
      this.listener.drainSessions();
      await new Promise(resolve => setTimeout(resolve, DRAIN_POLL_MS));
    }
    this.log('drained', {
      cutSessions: this.listener.sessionCount,
      cutLanes: this.groups.laneCount,
    });
    await this.close();
  }

  private isBusy(): boolean {
    return this.listener.sessionCount > 0 || this.groups.laneCount > 0;
  }
}

function cpuTimeMs(): number {
  const {user, system} = process.cpuUsage();
  return Math.round((user + system) / 1_000);
}
