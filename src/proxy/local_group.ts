/**
 * A database group (a primary and its replicas) on the VM that owns its
 * connection pools. Probes the databases, routes each lane to one of them, and
 * confirms commits.
 */
import {Subscription} from 'rxjs';
import {
  AckDecision,
  AckState,
  addCommit,
  addEvidence,
  confirmedByMajority,
  ConfirmRule,
  createAckState,
  dropCommit,
  majoritiesMeet,
} from '../core/ack.js';
import {DatabaseConfig, ServiceConfig, WriteAck} from '../core/config.js';
import {failure} from '../core/errors.js';
import {FairQueue} from '../core/fair_queue.js';
import {
  Executor,
  Lane,
  LaneBatch,
  LaneRequest,
  LaneSink,
} from '../core/lane.js';
import {
  coverage,
  Coverage,
  lastEntryPosition,
  logEnd,
  Position,
} from '../core/position.js';
import {
  createReplicationProgress,
  isReplicationStalled,
  updateReplicationProgress,
} from '../core/replication.js';
import {
  emptyGroupView,
  removeDatabase,
  GroupView,
  addStatusSample,
  ReadRoute,
  RouteRead,
  routeToReplicas,
  routeWrite,
} from '../core/routing.js';
import {RetryBudget} from '../core/retry_budget.js';
import {BackendTarget} from '../pg/backend.js';
import {DatabasePool, PoolRequest} from './database_pool.js';
import {FailoverRunner, FailoverRunnerOptions} from './failover_runner.js';
import {LaneHost, LocalLane} from './local_lane.js';
import {
  ProbeFrequency,
  ProbeResult,
  DatabaseProber,
} from './database_prober.js';

export interface LocalGroupOptions {
  readonly service: ServiceConfig;
  readonly targetOf: (database: DatabaseConfig) => BackendTarget;
  readonly failoverOptions: Pick<
    FailoverRunnerOptions,
    'claimant' | 'log' | 'observers' | 'requestVote'
  >;
  /** Overrides how reads are routed; the default is `routeToReplicas`. */
  readonly routeRead?: RouteRead;
  /** Overrides when a commit counts as confirmed; for tests. */
  readonly confirmRule?: ConfirmRule;
  /** Called with the route of each lane, for metrics. */
  readonly onRouted?: (access: 'read' | 'write', toReplica: boolean) => void;
}

/** Time without a request after which a group is probed less often. */
const QUIET_AFTER_MS = 5_000;

/** Receives true for a confirmed commit, false for a superseded one. */
type OnDecided = (confirmed: boolean) => void;

/** A database group whose connection pools this VM owns. */
export class LocalGroup implements Executor, LaneHost {
  private view: GroupView = emptyGroupView();
  private ack: AckState;
  private readonly pools = new Map<string, DatabasePool>();
  private readonly lanes = new Set<LocalLane>();
  /**
   * Lanes without a route to a database, with the timer after which each is
   * routed again.
   */
  private readonly parked = new Map<LocalLane, NodeJS.Timeout | undefined>();
  /** Callbacks of unconfirmed commits by commit ID. */
  private readonly onDecidedById = new Map<number, OnDecided>();
  /**
   * Lanes whose sessions have no floor yet, the minimum log position that a
   * read must see.
   */
  private readonly floorRequests: FloorRequest[] = [];
  private readonly prober: DatabaseProber;
  private readonly failoverRunner: FailoverRunner;
  private readonly subscription: Subscription;
  private readonly retryBudget = RetryBudget.create();
  /**
   * Last number given to a probe, commit or floor request; only probes with a
   * higher number can confirm a commit or a floor.
   */
  private sequence = 0;
  private lastRequestAtMs = Date.now();
  private isClosing = false;
  /** Whether commits that a majority of this group holds are acknowledged. */
  private isConfirming = true;
  private replicationProgress = createReplicationProgress(Date.now());
  private service: ServiceConfig;

  private constructor(private readonly options: LocalGroupOptions) {
    this.service = options.service;
    const databases = options.service.databases.map(entry => entry.name);
    this.ack = createAckState(databases, options.service.writeAck);
    for (const database of options.service.databases) this.addPool(database);
    this.prober = DatabaseProber.create({
      databases: options.service.databases,
      targetOf: options.targetOf,
      nextSequence: () => ++this.sequence,
    });
    this.subscription = this.prober.results$.subscribe(r => this.onProbe(r));
    this.failoverRunner = FailoverRunner.create({
      ...options.failoverOptions,
      service: options.service.name,
      databases,
      prober: this.prober,
    });
    this.updateLeaving();
  }

  static create(options: LocalGroupOptions): LocalGroup {
    return new LocalGroup(options);
  }

  get name(): string {
    return this.options.service.name;
  }

  get laneCount(): number {
    return this.lanes.size;
  }

  get primary(): string | undefined {
    return this.view.primary;
  }

  open(request: LaneRequest, batch: LaneBatch, sink: LaneSink): Lane {
    const lane = LocalLane.create(request, batch, sink, this);
    this.lanes.add(lane);
    this.lastRequestAtMs = Date.now();
    if (this.prober.isQuiet) this.prober.setFrequency(ProbeFrequency.active);
    this.retryBudget.deposit();
    this.route(lane);
    return lane;
  }

  route(lane: LocalLane): void {
    const route = this.chooseRoute(lane);
    switch (route.kind) {
      case 'database':
        return this.submit(lane, route.database);
      case 'learnFloor':
        return this.requestFloor(lane);
      case 'writeLost':
        return lane.reject(
          failure('write_lost', 'a write that this session made was lost'),
        );
      case 'wait':
        return this.park(lane, route.untilMs - Date.now());
      case 'noDatabase':
        return this.park(lane, undefined);
    }
  }

  awaitConfirmation(position: Position, onDecided: OnDecided): () => void {
    const id = ++this.sequence;
    this.onDecidedById.set(id, onDecided);
    if (!this.isConfirming) {
      queueMicrotask(() => this.notifyDecided(id, false));
      return () => this.onDecidedById.delete(id);
    }
    this.ack = addCommit(this.ack, {id, position, sequence: id});
    this.prober.setFrequency(ProbeFrequency.urgent);
    return () => {
      this.onDecidedById.delete(id);
      this.ack = dropCommit(this.ack, id);
    };
  }

  allowRetry(): boolean {
    return !this.isClosing && this.retryBudget.tryWithdraw();
  }

  onLaneEnded(lane: LocalLane): void {
    this.lanes.delete(lane);
    clearTimeout(this.parked.get(lane));
    this.parked.delete(lane);
    const index = this.floorRequests.findIndex(entry => entry.lane === lane);
    if (index >= 0) this.floorRequests.splice(index, 1);
    this.stopProbingIfUnused();
  }

  dump(): object {
    const pools = [...this.pools].map(([name, pool]) => [name, pool.dump()]);
    return {
      service: this.name,
      term: this.view.term,
      primary: this.view.primary,
      lanes: this.lanes.size,
      parked: this.parked.size,
      pendingCommits: this.ack.pending.length,
      failover: this.failoverRunner.dump(),
      pools: Object.fromEntries(pools),
      offsets: Object.fromEntries(
        [...this.view.samples].map(([name, s]) => [name, s.status.offset]),
      ),
    };
  }

  /** Applies a configuration that differs only in which databases leave. */
  update(service: ServiceConfig): void {
    if (JSON.stringify(service) === JSON.stringify(this.service)) return;
    this.service = service;
    this.updateLeaving();
  }

  /**
   * Stops to confirm commits when an election among the databases of `service`
   * need not find what a majority of this group holds.
   */
  checkDatabases(service: ServiceConfig): void {
    const names = service.databases.map(entry => entry.name);
    if (majoritiesMeet(this.ack.databases, names)) return;
    this.isConfirming = false;
    for (const {id} of this.ack.pending) this.notifyDecided(id, false);
    this.ack = {...this.ack, pending: []};
  }

  /** Limits the pools to a few connections while another VM owns them. */
  setOwned(owned: boolean): void {
    for (const pool of this.pools.values()) pool.setOwned(owned);
  }

  /**
   * Rejects waiting lanes. Lanes that hold a connection run to their end, and
   * probes go on until then, since they confirm the commits.
   */
  close(): void {
    this.isClosing = true;
    for (const lane of [...this.parked.keys()]) {
      lane.reject(failure('backend_unreachable', 'pool is closing'));
    }
    for (const pool of this.pools.values()) pool.close();
    this.failoverRunner.close();
    this.stopProbingIfUnused();
  }

  private stopProbingIfUnused(): void {
    if (!this.isClosing || this.lanes.size > 0) return;
    this.subscription.unsubscribe();
    this.prober.close();
  }

  private addPool(database: DatabaseConfig): void {
    const {slots, connections} = this.options.service;
    this.pools.set(
      database.name,
      DatabasePool.create({
        database: database.name,
        target: this.options.targetOf(database),
        slots,
        connections,
        createQueue: () => FairQueue.create<PoolRequest>(),
      }),
    );
  }

  private chooseRoute(lane: LocalLane): ReadRoute {
    const {access, maxStalenessMs} = lane.request;
    const nowMs = Date.now();
    if (access === 'write') {
      if (this.isPrimaryLeaving()) return {kind: 'noDatabase'};
      return routeWrite(this.view, lane.floor, this.pools.size, nowMs);
    }
    const need = {
      floor: lane.floor,
      maxStalenessMs,
      arrivedAtMs: lane.arrivedAtMs,
      deadlineAtMs: lane.deadlineAtMs,
    };
    const route = this.options.routeRead ?? routeToReplicas;
    return route(
      this.viewWithoutLeaving(),
      need,
      name => this.costOf(name),
      nowMs,
    );
  }

  private costOf(database: string): number {
    const pool = this.pools.get(database);
    return !pool || pool.isUnreachable ? Infinity : pool.load;
  }

  /**
   * Returns the view without the leaving databases, which get no new work
   * because they are being removed from service.
   */
  private viewWithoutLeaving(): GroupView {
    return this.service.databases
      .filter(entry => entry.leaving)
      .reduce((view, entry) => removeDatabase(view, entry.name), this.view);
  }

  /** Whether writes must wait for a switchover from a leaving primary. */
  private isPrimaryLeaving(): boolean {
    const staying = this.service.databases.some(entry => !entry.leaving);
    return staying && this.isLeaving(this.view.primary ?? '');
  }

  /**
   * Routes the lanes again that wait in the queue of a database that has become
   * unreachable.
   */
  private rerouteLanesOf(database: string): void {
    const pool = this.pools.get(database);
    if (!pool?.isUnreachable) return;
    for (const lane of [...this.lanes]) lane.leavePool(pool);
  }

  /** Ends or reroutes writes that use a primary that has been replaced. */
  private notifyPrimaryChanged(): void {
    const primary = this.pools.get(this.view.primary ?? '');
    for (const lane of [...this.lanes]) lane.onPrimaryChanged(primary);
  }

  /** Replaces the primary when commits wait and no replica makes progress. */
  private replaceStuckPrimary(): void {
    const nowMs = Date.now();
    this.replicationProgress = updateReplicationProgress(
      this.replicationProgress,
      this.view,
      nowMs,
    );
    const hasPendingCommits = this.ack.pending.length > 0;
    if (
      hasPendingCommits &&
      isReplicationStalled(this.replicationProgress, nowMs)
    ) {
      this.replicationProgress = createReplicationProgress(nowMs);
      this.failoverRunner.replacePrimary();
    }
  }

  /**
   * Starts a switchover from a leaving primary once no write runs and a
   * replica that is not leaving holds the whole log of the primary.
   */
  private switchOverLeavingPrimary(): void {
    const primary = this.view.samples.get(this.view.primary ?? '');
    if (!primary || !this.isPrimaryLeaving()) return;
    const hasWrites = [...this.lanes].some(lane => lane.isWriting);
    const end = lastEntryPosition(primary.status);
    const hasReadyReplica = [...this.view.samples.values()].some(
      ({status}) =>
        !this.isLeaving(status.database) &&
        status.term === this.view.term &&
        coverage(status, end) === Coverage.covered,
    );
    if (hasReadyReplica && !hasWrites) this.failoverRunner.startSwitchover();
  }

  private isLeaving(database: string): boolean {
    return this.service.databases.some(
      entry => entry.name === database && entry.leaving,
    );
  }

  private submit(lane: LocalLane, database: string): void {
    const pool = this.pools.get(database);
    if (!pool) return this.park(lane, undefined);
    const {access} = lane.request;
    this.options.onRouted?.(access, database !== this.view.primary);
    lane.enqueue(pool);
  }

  private park(lane: LocalLane, waitMs: number | undefined): void {
    if (this.isClosing) {
      return lane.reject(failure('backend_unreachable', 'pool is closing'));
    }
    const timer =
      waitMs === undefined
        ? undefined
        : setTimeout(() => this.reroute(lane), Math.max(0, waitMs));
    this.parked.set(lane, timer);
    this.prober.setFrequency(ProbeFrequency.urgent);
  }

  private reroute(lane: LocalLane): void {
    clearTimeout(this.parked.get(lane));
    this.parked.delete(lane);
    if (!lane.hasEnded) this.route(lane);
  }

  /**
   * Parks a lane until its floor is known. The floor is the primary's
   * position, confirmed like a commit: a majority must report the primary's
   * term in probes sent after the session arrived.
   */
  private requestFloor(lane: LocalLane): void {
    this.parked.set(lane, undefined);
    this.floorRequests.push({lane, sequence: ++this.sequence});
    this.prober.setFrequency(ProbeFrequency.urgent);
  }

  private onProbe(result: ProbeResult): void {
    const {status, sentAtMs, sequence} = result;
    if (!status) return this.rerouteLanesOf(result.database);
    const {term} = this.view;
    this.view = addStatusSample(this.view, {status, sentAtMs});
    if (this.view.term > term) this.notifyPrimaryChanged();
    this.switchOverLeavingPrimary();
    this.replaceStuckPrimary();
    const {confirmRule} = this.options;
    this.applyDecision(addEvidence(this.ack, {status, sequence}, confirmRule));
    this.resolveFloors();
    for (const lane of [...this.parked.keys()]) {
      if (!this.floorRequests.some(r => r.lane === lane)) this.reroute(lane);
    }
    this.prober.setFrequency(this.chooseProbeFrequency());
  }

  private updateLeaving(): void {
    const leaving = this.service.databases.filter(entry => entry.leaving);
    this.failoverRunner.setLeaving(leaving.map(entry => entry.name));
  }

  private chooseProbeFrequency(): ProbeFrequency {
    if (this.parked.size > 0 || this.ack.pending.length > 0)
      return ProbeFrequency.urgent;
    const isQuiet = Date.now() - this.lastRequestAtMs > QUIET_AFTER_MS;
    return isQuiet && this.lanes.size === 0
      ? ProbeFrequency.quiet
      : ProbeFrequency.active;
  }

  private applyDecision(decision: AckDecision): void {
    this.ack = decision.state;
    for (const id of decision.confirmed) this.notifyDecided(id, true);
    for (const id of decision.superseded) this.notifyDecided(id, false);
  }

  private notifyDecided(id: number, confirmed: boolean): void {
    const onDecided = this.onDecidedById.get(id);
    this.onDecidedById.delete(id);
    onDecided?.(confirmed);
  }

  /** Sets the floor of lanes that arrived before the newest evidence. */
  private resolveFloors(): void {
    const primary = this.ack.evidence.get(this.view.primary ?? '');
    if (!primary) return;
    const floor = lastEntryPosition(primary.status);
    const {term} = logEnd(primary.status);
    for (const entry of [...this.floorRequests]) {
      if (primary.sequence < entry.sequence) continue;
      if (!this.isTermConfirmed({...floor, term}, entry.sequence)) continue;
      this.floorRequests.splice(this.floorRequests.indexOf(entry), 1);
      entry.lane.learnedFloor = floor;
      this.reroute(entry.lane);
    }
  }

  /**
   * Whether a majority of the databases reported the position's term in probes
   * sent after `sequence`.
   */
  private isTermConfirmed(position: Position, sequence: number): boolean {
    const state = {...this.ack, writeAck: WriteAck.primary};
    return confirmedByMajority(state, {id: 0, position, sequence});
  }
}

/**
 * A lane that waits until its floor, the minimum log position that its read
 * must see, is known.
 */
interface FloorRequest {
  readonly lane: LocalLane;
  /** Probes with a higher sequence were sent after the lane arrived. */
  readonly sequence: number;
}
