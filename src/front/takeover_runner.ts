/**
 * Decides, while this front holds the coordinator lease, when the primary of a
 * service is replaced: when votes confirm that it is unreachable or fails
 * everything, when it leaves, when its zone is evacuated, when there is none, and
 * when an earlier holder has not finished a change.
 */
import {databasesOf, Directory, KnownDatabase} from '../core/directory.js';
import {Evacuations} from '../core/evacuation.js';
import {FrontService} from '../core/front_config.js';
import {
  FAILING_CHANGE_INTERVAL_MS,
  FailingVote,
  hasChangedRecently,
  isConfirmedFailing,
  isRefutedFailing,
} from '../core/load/failing_primary.js';
import {FormerMember, MissingLog, RecordedLog} from '../core/former_members.js';
import {isPromotionAllowed, mayCommit} from '../core/leader_record.js';
import {
  isPrimaryUnreachable,
  SAFE_TAKEOVER,
  TakeoverGroup,
} from '../core/takeover.js';
import {CoordinatorLease} from './coordinator_lease.js';
import {JsonLog} from './json_log.js';
import {Leadership} from './leadership.js';
import {PrimaryChangeRunner} from './primary_change_runner.js';
import {PrimaryEvacuation} from './primary_evacuation.js';
import {Promote} from './promoter.js';
import {ReplicaResumer} from './replica_resumer.js';
import {ResumeSupervisor} from './resume_supervisor.js';
import {UnconfirmedOrders, UNCONFIRMED_ORDER_MS} from './unconfirmed_orders.js';
import {DatabaseCodec} from './wire_types.js';

export interface TakeoverOptions {
  readonly self: string;
  readonly coordinatorLease: CoordinatorLease;
  readonly codec: DatabaseCodec;
  readonly promote: Promote;
  readonly directory: () => Directory;
  /** Databases of a service that are not listed but may hold commits. */
  readonly formerMembersOf: (service: string) => readonly FormerMember[];
  /** Databases of a service that count and that only a record tells of. */
  readonly recordedMembersOf: (service: string) => readonly RecordedLog[];
  /** A database of a service that may have disappeared unseen. */
  readonly unseenMemberOf: (service: string) => MissingLog | undefined;
  readonly serviceOf: (name: string) => FrontService | undefined;
  readonly leaderOf: (service: string) => KnownDatabase | undefined;
  readonly serviceNames: () => readonly string[];
  /** Number of a service's routes that a primary may serve by their homes. */
  readonly allowedRoutes: (primary: KnownDatabase) => number;
  /** Whether the homes of a service's routes have not changed lately. */
  readonly areHomesSettled: (service: string) => boolean;
  /**
   * Highest term of a service that a reply has reported; 0 when there is none.
   */
  readonly termOf: (service: string) => number;
  /**
   * Collects votes of several fronts on whether they reach a database. A front
   * that does not reply has no vote.
   */
  readonly collectVotes: (database: string) => Promise<readonly boolean[]>;
  /** Collects votes of several fronts on whether a primary fails everything. */
  readonly collectFailingVotes: (
    database: string,
  ) => Promise<readonly FailingVote[]>;
  readonly leadership: Leadership;
  readonly evacuations: () => Evacuations;
  readonly log: JsonLog;
}

const CHECK_INTERVAL_MS = 150;
/** How long a service may have no registered primary before one is chosen. */
const LEADERLESS_LIMIT_MS = 600;
/**
 * As `LEADERLESS_LIMIT_MS`, for a service whose primary this front has not seen
 * yet.
 */
const INITIAL_LEADERLESS_LIMIT_MS = 6_000;
/**
 * As `LEADERLESS_LIMIT_MS`, for a service whose primary is recorded, but was not
 * listed when this front started: a database that is alive is listed again
 * within about two seconds of an outage of the store.
 */
const RECORDED_LEADERLESS_LIMIT_MS = 2_500;
/** How often a front without the lease records which services have a primary. */
const LEADERS_INTERVAL_MS = 1_000;
/** Pause after a takeover, in which the directory catches up. */
const TAKEOVER_PAUSE_MS = 1_500;
/**
 * Pause after an attempt without a takeover, or when the primary responds.
 */
const RETRY_PAUSE_MS = 400;

/**
 * Why a takeover starts; logged. `leaving`: the primary is being removed from
 * service. `evacuated`: its zone is being evacuated. `none`: the service has no
 * registered primary. `unfinished`: an earlier attempt has left an order that
 * may still be executed. `failing`: the primary responds, but fails every
 * statement.
 */
export type TakeoverReason =
  'lost' | 'leaving' | 'evacuated' | 'none' | 'unfinished' | 'failing';

/** Why replicas of a service may be paused, as fronts tell the lease's holder. */
export const PauseReport = {
  /** Commits get no answer, though the primary can be reached. */
  stalled: 'stalled',
  /** The sender gave up a change of primary as it had lost the lease. */
  abandoned: 'abandoned',
} as const;
export type PauseReport = (typeof PauseReport)[keyof typeof PauseReport];

/** Starts takeovers of all services while the coordinator lease is held. */
export class TakeoverRunner {
  private readonly running = new Set<string>();
  private readonly pausedUntilMs = new Map<string, number>();
  private readonly leaderlessSinceMs = new Map<string, number>();
  private readonly servicesWithLeader = new Set<string>();
  private leadersRecordedAtMs = -Infinity;
  private readonly orders = UnconfirmedOrders.create();
  private readonly resumer: ReplicaResumer;
  private readonly supervisor: ResumeSupervisor;
  private readonly evacuation: PrimaryEvacuation;
  private readonly changes: PrimaryChangeRunner;
  /**
   * Services with an attempt that this front gave up because it lost the lease,
   * until the next holder has been told.
   */
  private readonly abandoned = new Set<string>();
  /**
   * Tenure of the coordinator lease that this front has acted in last;
   * undefined while the lease is not held.
   */
  private tenure: number | undefined;
  /** When a primary that failed everything was last replaced, by service. */
  private readonly failingReplacedAtMs = new Map<string, number>();
  /** Tenure of the coordinator lease in which each attempt was begun. */
  private readonly tenures = new Map<string, number | undefined>();
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: TakeoverOptions) {
    this.resumer = ReplicaResumer.create({
      ...options,
      orders: this.orders,
      replicasOf: (service, leader) => this.replicasOf(service, leader),
      isTenureOf: service => this.isTenureOf(service),
      onReceiving: service => this.supervisor.recordReceiving(service),
    });
    this.supervisor = ResumeSupervisor.create({
      ...options,
      replicasOf: (service, leader) => this.replicasOf(service, leader),
      sufficesForChange: (service, stopped) => {
        const group = this.groupOf(service, this.options.leaderOf(service)?.id);
        return stopped >= SAFE_TAKEOVER.logsNeeded(group);
      },
      isBusy: service => this.running.has(service),
      resume: (service, leader) => this.resumeExclusively(service, leader),
    });
    this.evacuation = PrimaryEvacuation.create({
      ...options,
      replicasOf: (service, leader) => this.replicasOf(service, leader),
    });
    this.changes = PrimaryChangeRunner.create({
      ...options,
      orders: this.orders,
      resumer: this.resumer,
      evacuation: this.evacuation,
      replicasOf: (service, leader) => this.replicasOf(service, leader),
      isTenureOf: service => this.isTenureOf(service),
      isOrderInDoubt: (service, leader) => this.isUnfinished(service, leader),
      areOrdersSettled: service => this.areEarlierOrdersSettled(service),
      recordAnswer: service => this.recordAnswer(service),
      isReplaceable: (leader, reason) => this.isReplaceable(leader, reason),
    });
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  static create(options: TakeoverOptions): TakeoverRunner {
    return new TakeoverRunner(options);
  }

  /**
   * Handles a front's report that a primary does not respond. Ignored unless
   * this front holds the coordinator lease and the database is still the
   * primary.
   */
  reportSuspect(service: string, database: string): void {
    if (!this.options.coordinatorLease.isHeld) return;
    if (this.options.leaderOf(service)?.id !== database) return;
    this.start(service, 'lost');
  }

  /**
   * Handles a front's report that a primary fails every statement although it
   * responds. Ignored as `reportSuspect` does, and while a primary of the
   * service was replaced for that lately.
   */
  reportFailing(service: string, database: string): void {
    if (!this.options.coordinatorLease.isHeld) return;
    if (this.options.leaderOf(service)?.id !== database) return;
    const replacedAtMs = this.failingReplacedAtMs.get(service) ?? -Infinity;
    const sinceMs = performance.now() - replacedAtMs;
    if (sinceMs >= FAILING_CHANGE_INTERVAL_MS) this.start(service, 'failing');
  }

  /**
   * Handles a front's report that commits of a service get no answer, or that
   * it has given up a change of primary: replicas may be paused. Ignored unless
   * this front holds the coordinator lease.
   */
  reportPause(service: string, report: PauseReport): void {
    if (!this.options.coordinatorLease.isHeld) return;
    if (report === PauseReport.stalled) this.supervisor.recordStall(service);
    else this.supervisor.recordPause(service);
  }

  /** Services whose replicas this front may have left paused. */
  get abandonedServices(): ReadonlySet<string> {
    return this.abandoned;
  }

  /** Must be called when the lease's holder knows of an abandoned service. */
  forgetAbandoned(service: string): void {
    this.abandoned.delete(service);
  }

  /** Number of services whose replicas may be paused; 0 without the lease. */
  get pendingResumeCount(): number {
    const {isHeld} = this.options.coordinatorLease;
    return isHeld ? this.supervisor.pendingCount : 0;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    const nowMs = performance.now();
    if (this.options.coordinatorLease.tenure === undefined) {
      this.tenure = undefined;
      this.recordLeaders(nowMs);
      return this.leaderlessSinceMs.clear();
    }
    this.followTenure();
    this.supervisor.run(nowMs);
    for (const service of this.options.serviceNames()) {
      const leader = this.options.leaderOf(service);
      if (leader) {
        this.leaderlessSinceMs.delete(service);
        this.servicesWithLeader.add(service);
        if (leader.leaving && this.options.areHomesSettled(service))
          this.start(service, 'leaving');
        else if (this.evacuation.isDue(service, leader, nowMs))
          this.start(service, 'evacuated');
        else this.restoreCommits(service, leader);
        continue;
      }
      const since = this.leaderlessSinceMs.get(service) ?? nowMs;
      this.leaderlessSinceMs.set(service, since);
      if (nowMs - since >= this.leaderlessLimitMs(service))
        this.start(service, 'none');
    }
  }

  private leaderlessLimitMs(service: string): number {
    if (this.servicesWithLeader.has(service)) return LEADERLESS_LIMIT_MS;
    const hasRecordedLeader = this.options
      .recordedMembersOf(service)
      .some(({leads}) => leads);
    return hasRecordedLeader
      ? RECORDED_LEADERLESS_LIMIT_MS
      : INITIAL_LEADERLESS_LIMIT_MS;
  }

  /**
   * Records which services have a primary while another front holds the lease: if
   * it vanishes as this front takes over, its change must not wait as long as for
   * one that was never seen.
   */
  private recordLeaders(nowMs: number): void {
    if (nowMs - this.leadersRecordedAtMs < LEADERS_INTERVAL_MS) return;
    this.leadersRecordedAtMs = nowMs;
    for (const service of this.options.serviceNames()) {
      if (this.options.leaderOf(service)) this.servicesWithLeader.add(service);
    }
  }

  /**
   * In a new tenure, treats the unsettled orders of earlier lease holders as
   * unconfirmed, since the platform may still execute them, and has all replicas
   * checked.
   */
  private followTenure(): void {
    const {serviceNames, leadership, coordinatorLease} = this.options;
    const {tenure} = coordinatorLease;
    if (tenure === undefined || tenure === this.tenure) return;
    const nowMs = performance.now();
    this.tenure = tenure;
    this.abandoned.clear();
    this.supervisor.beginTenure(nowMs);
    this.evacuation.beginTenure();
    for (const service of serviceNames()) {
      const record = leadership.latestRecord(service);
      if (record && !record.settled)
        this.orders.addUnsettled(service, record.database);
    }
  }

  /**
   * Finishes or undoes a change that this front or an earlier holder has left:
   * the records permit no commits at the primary.
   */
  private restoreCommits(service: string, leader: KnownDatabase): void {
    const {leadership} = this.options;
    const record = leadership.latestRecord(service);
    const isOver = !record || (record.settled && mayCommit(record, leader.id));
    // Without fencing an order cannot be made void, so it must have expired.
    const mayEnd =
      leadership.isFenced || this.orders.orderOf(service) === undefined;
    const pausedUntilMs = this.pausedUntilMs.get(service) ?? 0;
    const isPaused = performance.now() < pausedUntilMs;
    if (isOver || !mayEnd || isPaused || this.running.has(service)) return;
    void this.resumeExclusively(service, leader).then(isRestored => {
      if (!isRestored) this.pauseService(service, RETRY_PAUSE_MS);
    });
  }

  private start(service: string, reason: TakeoverReason): void {
    const pausedUntilMs = this.pausedUntilMs.get(service) ?? 0;
    if (this.running.has(service) || performance.now() < pausedUntilMs) return;
    this.followTenure();
    this.running.add(service);
    if (reason === 'evacuated')
      this.evacuation.begin(service, performance.now());
    void this.run(service, reason)
      .catch(error =>
        this.options.log('takeover_error', {
          service,
          text: (error as Error).stack,
        }),
      )
      .finally(() => {
        this.running.delete(service);
        this.evacuation.end(service);
      });
  }

  private async run(service: string, reason: TakeoverReason): Promise<void> {
    const {log, coordinatorLease} = this.options;
    const leader = this.options.leaderOf(service);
    this.tenures.set(service, coordinatorLease.tenure);
    if (reason === 'lost') {
      if (!leader || !(await this.isLeaderLost(service, leader))) {
        return this.pauseService(service, RETRY_PAUSE_MS);
      }
    }
    if (reason === 'failing') {
      if (!leader || !(await this.isLeaderFailing(service, leader))) {
        return this.pauseService(service, RETRY_PAUSE_MS);
      }
    }
    if (reason === 'evacuated') {
      if (!leader || !(await this.evacuation.isOutsideReady(service, leader)))
        return this.evacuation.record(service, false);
    }
    log('takeover_begun', {service, reason, leader: leader?.id});
    this.supervisor.recordPause(service);
    const startedMs = performance.now();
    const done = await this.changes.run(service, leader, reason);
    if (!done && !this.isTenureOf(service)) this.abandoned.add(service);
    if (done && reason === 'failing')
      this.failingReplacedAtMs.set(service, performance.now());
    log('takeover_ended', {
      service,
      done,
      held: coordinatorLease.isHeld,
      tookMs: Math.round(performance.now() - startedMs),
    });
    if (reason === 'evacuated') this.evacuation.record(service, done);
    // A leaving primary only leads until another database has its log.
    const isInterim = this.options.leaderOf(service)?.leaving === true;
    const isOver = done && !isInterim;
    this.pauseService(service, isOver ? TAKEOVER_PAUSE_MS : RETRY_PAUSE_MS);
  }

  /**
   * Whether this front has held the lease since the attempt began. If another
   * front held it between, replicas may have received the log again.
   */
  private isTenureOf(service: string): boolean {
    const {tenure} = this.options.coordinatorLease;
    return tenure !== undefined && tenure === this.tenures.get(service);
  }

  private pauseService(service: string, ms: number): void {
    this.pausedUntilMs.set(service, performance.now() + ms);
  }

  private async isLeaderLost(
    service: string,
    leader: KnownDatabase,
  ): Promise<boolean> {
    const votes = await this.options.collectVotes(leader.id);
    const lost = isPrimaryUnreachable(votes);
    this.options.log('takeover_votes', {
      service,
      database: leader.id,
      reached: votes.filter(Boolean).length,
      votes: votes.length,
      lost,
    });
    return lost;
  }

  /**
   * Whether most fronts with evidence found that the primary fails everything,
   * and it has not just replaced another one. A new holder of the lease doesn't
   * know why the last change was made, so it asks the voters when it was.
   */
  private async isLeaderFailing(
    service: string,
    leader: KnownDatabase,
  ): Promise<boolean> {
    const {coordinatorLease, collectFailingVotes, log} = this.options;
    const votes = await collectFailingVotes(leader.id);
    const failing = isConfirmedFailing(votes);
    const isNewHolder = coordinatorLease.heldForMs < FAILING_CHANGE_INTERVAL_MS;
    const isTooEarly = isNewHolder && hasChangedRecently(votes);
    log('failing_votes', {
      service,
      database: leader.id,
      failing: votes.filter(vote => vote.failing === true).length,
      well: votes.filter(vote => vote.failing === false).length,
      votes: votes.length,
      replace: failing && !isTooEarly,
    });
    return failing && !isTooEarly;
  }

  /** Whether the reason to replace a primary still holds. */
  private async isReplaceable(
    leader: KnownDatabase,
    reason: TakeoverReason,
  ): Promise<boolean> {
    if (reason === 'leaving') return true;
    if (reason === 'evacuated') return this.evacuation.isEvacuating(leader);
    if (reason !== 'failing') return this.isLeaderLost(leader.service, leader);
    const votes = await this.options.collectFailingVotes(leader.id);
    return !isRefutedFailing(votes);
  }

  /**
   * Whether the platform may still execute a promotion of another database than
   * `leader`. The change is finished then rather than undone: an order that
   * confirms `leader` may stay unanswered too and be executed after that
   * promotion, and commits acknowledged between would be lost.
   */
  private isUnfinished(
    service: string,
    leader: KnownDatabase | undefined,
  ): boolean {
    const {leadership, coordinatorLease} = this.options;
    if (!leadership.isFenced) return false;
    if (!isPromotionAllowed(this.orders.orderOf(service), leader?.id))
      return true;
    // Each order is preceded by a record.
    if (leadership.latestRecord(service)) return false;
    const isNewHolder = coordinatorLease.heldForMs < UNCONFIRMED_ORDER_MS;
    return isNewHolder && !this.supervisor.isSettled(service);
  }

  /** Records that the platform has answered an order with the highest token. */
  private recordAnswer(service: string): void {
    if (!this.options.leadership.isFenced) return;
    this.orders.makeVoid(service);
    this.supervisor.recordSettled(service);
  }

  /**
   * Lets replicas receive again, unless a change of primary is under way; goes
   * on with one that is unfinished.
   */
  private async resumeExclusively(
    service: string,
    leader: KnownDatabase,
  ): Promise<boolean> {
    if (this.running.has(service)) return false;
    if (this.isUnfinished(service, leader)) {
      this.start(service, 'unfinished');
      return false;
    }
    this.running.add(service);
    this.tenures.set(service, this.options.coordinatorLease.tenure);
    try {
      return await this.resumer.resume(service, leader);
    } finally {
      this.running.delete(service);
    }
  }

  /**
   * Whether no order of a former holder, chosen when other zones were evacuated,
   * may still be executed. Records of the leaders tell where there are any.
   */
  private areEarlierOrdersSettled(service: string): boolean {
    const {leadership, coordinatorLease} = this.options;
    const isNewHolder = coordinatorLease.heldForMs < UNCONFIRMED_ORDER_MS;
    return (
      !leadership.isFenced || !isNewHolder || this.supervisor.isSettled(service)
    );
  }

  private groupOf(service: string, leader?: string): TakeoverGroup {
    const size = this.replicasOf(service, leader).length + 1;
    const syncReplicas = this.options.serviceOf(service)?.syncReplicas ?? 0;
    return {size, syncReplicas};
  }

  private replicasOf(service: string, leader?: string): KnownDatabase[] {
    return databasesOf(this.options.directory(), service).filter(
      entry => entry.id !== leader,
    );
  }
}
