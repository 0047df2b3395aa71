/**
 * One group at the VM that owns its pools: samples the databases, routes each
 * lane, and confirms commits.
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
import {DatabasePool, Job} from './database_pool.js';
import {FailoverRunner, FailoverRunnerOptions} from './failover_runner.js';
import {LaneHost, LocalLane} from './local_lane.js';
import {
  ProbeFrequency,
  ProbeResult,
  DatabaseProber,
} from './database_prober.js';

/** What a local group needs. */
export interface LocalGroupOptions {
  readonly service: ServiceConfig;
  readonly targetOf: (database: DatabaseConfig) => BackendTarget;
  readonly failoverOptions: Pick<
    FailoverRunnerOptions,
    'claimant' | 'log' | 'observers' | 'requestVote'
  >;
  readonly routeRead?: RouteRead;
  readonly confirmRule?: ConfirmRule;
  /** Receives the route of every lane, for metrics. */
  readonly onRouted?: (access: 'read' | 'write', toReplica: boolean) => void;
}

/** Time without a request after which a group is probed less often. */
const QUIET_AFTER_MS = 5_000;

/** Callbacks of one commit, or of a floor being learned. */
type Decided = (confirmed: boolean) => void;

/** A group served by this VM. */
export class LocalGroup implements Executor, LaneHost {
  private view: GroupView = emptyGroupView();
  private ack: AckState;
  private readonly pools = new Map<string, DatabasePool>();
  private readonly lanes = new Set<LocalLane>();
  private readonly parked = new Map<LocalLane, NodeJS.Timeout | undefined>();
  private readonly deciding = new Map<number, Decided>();
  private readonly learning: LearningSession[] = [];
  private readonly sampler: DatabaseProber;
  private readonly runner: FailoverRunner;
  private readonly subscription: Subscription;
  private readonly retries = RetryBudget.create();
  private sequence = 0;
  private usedAtMs = Date.now();
  private closing = false;
  private replication = createReplicationProgress(Date.now());
  private service: ServiceConfig;

  private constructor(private readonly options: LocalGroupOptions) {
    this.service = options.service;
    const databases = options.service.databases.map(entry => entry.name);
    this.ack = createAckState(databases, options.service.writeAck);
    for (const database of options.service.databases) this.addPool(database);
    this.sampler = DatabaseProber.create({
      databases: options.service.databases,
      targetOf: options.targetOf,
      nextSequence: () => ++this.sequence,
    });
    this.subscription = this.sampler.results$.subscribe(r => this.onProbe(r));
    this.runner = FailoverRunner.create({
      ...options.failoverOptions,
      service: options.service.name,
      databases,
      prober: this.sampler,
    });
    this.noteLeaving();
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
    this.usedAtMs = Date.now();
    if (this.sampler.isQuiet) this.sampler.setFrequency(ProbeFrequency.active);
    this.retries.deposit();
    this.place(lane);
    return lane;
  }

  place(lane: LocalLane): void {
    const route = this.routeOf(lane);
    switch (route.kind) {
      case 'database':
        return this.submit(lane, route.database);
      case 'learnFloor':
        return this.learnFloor(lane);
      case 'writeLost':
        return lane.refuse(
          failure('write_lost', 'a write that this session made was lost'),
        );
      case 'wait':
        return this.park(lane, route.untilMs - Date.now());
      case 'noDatabase':
        return this.park(lane, undefined);
    }
  }

  confirm(position: Position, done: Decided): () => void {
    const id = ++this.sequence;
    this.deciding.set(id, done);
    this.ack = addCommit(this.ack, {id, position, sequence: id});
    this.sampler.setFrequency(ProbeFrequency.urgent);
    return () => {
      this.deciding.delete(id);
      this.ack = dropCommit(this.ack, id);
    };
  }

  allowRetry(): boolean {
    return !this.closing && this.retries.tryWithdraw();
  }

  ended(lane: LocalLane): void {
    this.lanes.delete(lane);
    clearTimeout(this.parked.get(lane));
    this.parked.delete(lane);
    const learning = this.learning.findIndex(entry => entry.lane === lane);
    if (learning >= 0) this.learning.splice(learning, 1);
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
      failover: this.runner.dump(),
      pools: Object.fromEntries(pools),
      offsets: Object.fromEntries(
        [...this.view.samples].map(([name, s]) => [name, s.status.offset]),
      ),
    };
  }

  /** Takes in a changed mark of a leaving database. */
  update(service: ServiceConfig): void {
    if (JSON.stringify(service) === JSON.stringify(this.service)) return;
    this.service = service;
    this.noteLeaving();
  }

  /** Keeps few connections while another VM owns the pools. */
  setOwned(owned: boolean): void {
    for (const pool of this.pools.values()) pool.setOwned(owned);
  }

  /** Stops serving; lanes that run go on until they end. */
  close(): void {
    this.closing = true;
    for (const lane of [...this.parked.keys()]) {
      lane.refuse(failure('backend_unreachable', 'pool is moving'));
    }
    for (const pool of this.pools.values()) pool.close();
    this.runner.close();
    this.subscription.unsubscribe();
    this.sampler.close();
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
        createQueue: () => FairQueue.create<Job>(),
      }),
    );
  }

  private routeOf(lane: LocalLane): ReadRoute {
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
    return route(this.stayingView(), need, name => this.costOf(name), nowMs);
  }

  private costOf(database: string): number {
    const pool = this.pools.get(database);
    return !pool || pool.isUnreachable ? Infinity : pool.load;
  }

  /** The view without the databases that are leaving. */
  private stayingView(): GroupView {
    return this.service.databases
      .filter(entry => entry.leaving)
      .reduce((view, entry) => removeDatabase(view, entry.name), this.view);
  }

  /** Writes wait while another primary is being chosen. */
  private isPrimaryLeaving(): boolean {
    const staying = this.service.databases.some(entry => !entry.leaving);
    return staying && this.leaving(this.view.primary ?? '');
  }

  /** Sends on what waits for a database that cannot be reached. */
  private leaveQueuesOf(database: string): void {
    const pool = this.pools.get(database);
    if (!pool?.isUnreachable) return;
    for (const lane of [...this.lanes]) lane.leaveQueue(pool);
  }

  /** Ends what waits for an answer of a primary that has been replaced. */
  private leaveOldPrimary(): void {
    const primary = this.pools.get(this.view.primary ?? '');
    for (const lane of [...this.lanes]) lane.leavePrimary(primary);
  }

  /** Commits wait for a replica, and no replica moves any more. */
  private evictStuckPrimary(): void {
    const nowMs = Date.now();
    this.replication = updateReplicationProgress(
      this.replication,
      this.view,
      nowMs,
    );
    const waiting = this.ack.pending.length > 0;
    if (waiting && isReplicationStalled(this.replication, nowMs)) {
      this.replication = createReplicationProgress(nowMs);
      this.runner.replacePrimary();
    }
  }

  /** Hands over once a staying replica holds all that the primary holds. */
  private handOverLeavingPrimary(): void {
    const primary = this.view.samples.get(this.view.primary ?? '');
    if (!primary || !this.isPrimaryLeaving()) return;
    const writing = [...this.lanes].some(lane => lane.isWriting);
    const end = lastEntryPosition(primary.status);
    const ready = [...this.view.samples.values()].some(
      ({status}) =>
        !this.leaving(status.database) &&
        status.term === this.view.term &&
        coverage(status, end) === Coverage.covered,
    );
    if (ready && !writing) this.runner.startSwitchover();
  }

  private leaving(database: string): boolean {
    return this.service.databases.some(
      entry => entry.name === database && entry.leaving,
    );
  }

  private submit(lane: LocalLane, database: string): void {
    const pool = this.pools.get(database);
    if (!pool) return this.park(lane, undefined);
    const {access} = lane.request;
    this.options.onRouted?.(access, database !== this.view.primary);
    lane.waitIn(pool);
  }

  private park(lane: LocalLane, waitMs: number | undefined): void {
    if (this.closing) {
      return lane.refuse(failure('backend_unreachable', 'pool is moving'));
    }
    const timer =
      waitMs === undefined
        ? undefined
        : setTimeout(() => this.replace(lane), Math.max(0, waitMs));
    this.parked.set(lane, timer);
    this.sampler.setFrequency(ProbeFrequency.urgent);
  }

  private replace(lane: LocalLane): void {
    clearTimeout(this.parked.get(lane));
    this.parked.delete(lane);
    if (!lane.isOver) this.place(lane);
  }

  /**
   * Learns the primary's position, confirmed like a commit: a majority must
   * report its term after the session arrived.
   */
  private learnFloor(lane: LocalLane): void {
    this.parked.set(lane, undefined);
    this.learning.push({lane, sequence: ++this.sequence});
    this.sampler.setFrequency(ProbeFrequency.urgent);
  }

  private onProbe(result: ProbeResult): void {
    const {status, sentAtMs, sequence} = result;
    if (!status) return this.leaveQueuesOf(result.database);
    const {term} = this.view;
    this.view = addStatusSample(this.view, {status, sentAtMs});
    if (this.view.term > term) this.leaveOldPrimary();
    this.handOverLeavingPrimary();
    this.evictStuckPrimary();
    const {confirmRule: confirms} = this.options;
    this.settle(addEvidence(this.ack, {status, sequence}, confirms));
    this.startLearned();
    for (const lane of [...this.parked.keys()]) {
      if (!this.learning.some(entry => entry.lane === lane)) this.replace(lane);
    }
    this.sampler.setFrequency(this.paceNow());
  }

  private noteLeaving(): void {
    const leaving = this.service.databases.filter(entry => entry.leaving);
    this.runner.setLeaving(leaving.map(entry => entry.name));
  }

  private paceNow(): ProbeFrequency {
    if (this.parked.size > 0 || this.ack.pending.length > 0)
      return ProbeFrequency.urgent;
    const quiet = Date.now() - this.usedAtMs > QUIET_AFTER_MS;
    return quiet && this.lanes.size === 0
      ? ProbeFrequency.quiet
      : ProbeFrequency.active;
  }

  private settle(decision: AckDecision): void {
    this.ack = decision.state;
    for (const id of decision.confirmed) this.decide(id, true);
    for (const id of decision.superseded) this.decide(id, false);
  }

  private decide(id: number, confirmed: boolean): void {
    const done = this.deciding.get(id);
    this.deciding.delete(id);
    done?.(confirmed);
  }

  /** Gives their floor to the sessions whose arrival the evidence covers. */
  private startLearned(): void {
    const primary = this.ack.evidence.get(this.view.primary ?? '');
    if (!primary) return;
    const floor = lastEntryPosition(primary.status);
    const {term} = logEnd(primary.status);
    for (const entry of [...this.learning]) {
      if (primary.sequence < entry.sequence) continue;
      if (!this.isTermConfirmed({...floor, term}, entry.sequence)) continue;
      this.learning.splice(this.learning.indexOf(entry), 1);
      entry.lane.learnedFloor = floor;
      this.replace(entry.lane);
    }
  }

  private isTermConfirmed(position: Position, sequence: number): boolean {
    const state = {...this.ack, writeAck: WriteAck.primary};
    return confirmedByMajority(state, {id: 0, position, sequence});
  }
}

interface LearningSession {
  readonly lane: LocalLane;
  readonly sequence: number;
}
