/**
 * Changes the primary of a service while this front holds the duty: asks
 * whether the primary is lost, stops the replicas' logs, and promotes the
 * furthest one.
 */
import {databasesOf, Directory, KnownDatabase} from '../core/directory.js';
import {FrontService} from '../core/front_config.js';
import {
  chooseTakeover,
  isPrimaryUnreachable,
  SAFE_TAKEOVER,
  StoppedLog,
  TakeoverChoice,
} from '../core/takeover.js';
import {runControlStatement} from './control_link.js';
import {UnconfirmedOrder, isPromotionAllowed} from '../core/leader_record.js';
import {CoordinatorLease} from './coordinator_lease.js';
import {JsonLog} from './json_log.js';
import {Leadership} from './leadership.js';
import {Promote} from './promoter.js';
import {DatabaseCodec} from './wire_types.js';

/** What the runner needs. */
export interface TakeoverOptions {
  readonly self: string;
  readonly coordinatorLease: CoordinatorLease;
  readonly codec: DatabaseCodec;
  readonly promote: Promote;
  readonly directory: () => Directory;
  readonly serviceOf: (name: string) => FrontService | undefined;
  readonly leaderOf: (service: string) => KnownDatabase | undefined;
  readonly serviceNames: () => readonly string[];
  /** Highest term that answers have shown. */
  readonly termOf: (service: string) => number;
  /** Votes of several fronts on whether a database answers. */
  readonly collectVotes: (database: string) => Promise<readonly boolean[]>;
  readonly leadership: Leadership;
  readonly log: JsonLog;
}

const CHECK_INTERVAL_MS = 150;
/** Time for which a service may list no primary before one is chosen. */
const NO_LEADER_MS = 600;
/** The same for a service that has listed none since this front knows it. */
const NEVER_LED_MS = 6_000;
/** Time in which an ordered promotion must show in the directory. */
const PROMOTION_MS = 4_000;
/** Time for which an order without an answer may still be carried out. */
const LATE_ORDER_MS = 15_000;
/** Time from an order until the database leads. */
const CARRY_OUT_MS = 1_300;
const STEP_PAUSE_MS = 120;
/** Time after which an attempt without enough logs asks anew. */
const ATTEMPT_MS = 2_500;
/** Pause after a change, in which the directory catches up. */
const SETTLE_MS = 1_500;
/** Pause after the primary was found to answer. */
const CALM_MS = 400;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

type Reason = 'lost' | 'leaving' | 'none';

/** Watches all services while the duty is held. */
export class TakeoverRunner {
  private readonly running = new Set<string>();
  private readonly restUntilMs = new Map<string, number>();
  private readonly leaderlessSinceMs = new Map<string, number>();
  private readonly everLed = new Set<string>();
  /** An order whose outcome is unknown may still be carried out. */
  private readonly inDoubt = new Set<string>();
  /** The same where the platform does not check fences, by service. */
  private readonly doubts = new Map<string, UnconfirmedOrder>();
  /** Since when this front has held the duty, to tell a new tenure. */
  private tenureSinceMs: number | undefined;
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: TakeoverOptions) {
    this.timer = setInterval(() => this.check(), CHECK_INTERVAL_MS);
  }

  static create(options: TakeoverOptions): TakeoverRunner {
    return new TakeoverRunner(options);
  }

  /** A front has doubts about a primary. */
  reportSuspect(service: string, database: string): void {
    if (!this.options.coordinatorLease.isHeld) return;
    if (this.options.leaderOf(service)?.id !== database) return;
    this.start(service, 'lost');
  }

  close(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    if (!this.options.coordinatorLease.isHeld) {
      this.tenureSinceMs = undefined;
      return this.leaderlessSinceMs.clear();
    }
    const nowMs = performance.now();
    if (this.tenureSinceMs === undefined) this.beginTenure(nowMs);
    for (const service of this.options.serviceNames()) {
      const leader = this.options.leaderOf(service);
      if (leader) {
        this.leaderlessSinceMs.delete(service);
        this.everLed.add(service);
        if (leader.leaving) this.start(service, 'leaving');
        continue;
      }
      const since = this.leaderlessSinceMs.get(service) ?? nowMs;
      this.leaderlessSinceMs.set(service, since);
      const limitMs = this.everLed.has(service) ? NO_LEADER_MS : NEVER_LED_MS;
      if (nowMs - since >= limitMs) this.start(service, 'none');
    }
  }

  /** Orders of earlier holders that are not settled may still be carried out. */
  private beginTenure(nowMs: number): void {
    const {serviceNames: services, leadership} = this.options;
    this.tenureSinceMs = nowMs;
    for (const service of services()) {
      const record = leadership.latestRecord(service);
      if (record && !record.settled) this.doubt(service, record.database);
    }
  }

  private doubt(service: string, database: string): void {
    const untilMs = performance.now() + LATE_ORDER_MS;
    this.doubts.set(service, {database, untilMs});
  }

  /** The order of a service that may still be carried out. */
  private doubtOf(service: string): UnconfirmedOrder | undefined {
    const doubt = this.doubts.get(service);
    return doubt && performance.now() < doubt.untilMs ? doubt : undefined;
  }

  private start(service: string, reason: Reason): void {
    const restMs = this.restUntilMs.get(service) ?? 0;
    if (this.running.has(service) || performance.now() < restMs) return;
    this.running.add(service);
    void this.run(service, reason)
      .catch(error =>
        this.options.log('takeover_error', {
          service,
          text: (error as Error).stack,
        }),
      )
      .finally(() => this.running.delete(service));
  }

  private async run(service: string, reason: Reason): Promise<void> {
    const {log, coordinatorLease: duty} = this.options;
    const leader = this.options.leaderOf(service);
    if (reason === 'lost') {
      if (!leader || !(await this.isLeaderLost(service, leader))) {
        return this.rest(service, CALM_MS);
      }
    }
    log('takeover_begun', {service, reason, leader: leader?.id});
    const startedMs = performance.now();
    const done = await this.replace(service, leader, reason);
    log('takeover_ended', {
      service,
      done,
      held: duty.isHeld,
      tookMs: Math.round(performance.now() - startedMs),
    });
    this.rest(service, done ? SETTLE_MS : CALM_MS);
  }

  private rest(service: string, ms: number): void {
    this.restUntilMs.set(service, performance.now() + ms);
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

  /** Stops logs and promotes; true once a database was promoted. */
  private async replace(
    service: string,
    leader: KnownDatabase | undefined,
    reason: Reason,
  ): Promise<boolean> {
    const untilMs = performance.now() + ATTEMPT_MS;
    const {coordinatorLease: duty} = this.options;
    for (;;) {
      const late = performance.now() > untilMs;
      const choice = await this.chooseOnce(service, leader);
      if (!duty.isHeld) return false;
      if (choice.kind === 'promote') {
        const done = await this.appointAndOrder(
          service,
          choice.database,
          leader,
        );
        if (done) return this.settle(service, choice.database);
      } else if (choice.kind === 'catch_up' || late) {
        await this.letReceive(service, leader);
        if (late) return false;
      }
      const now = this.options.leaderOf(service);
      if (now && now.id !== leader?.id) {
        await this.letReceive(service, now);
        return true;
      }
      if (await this.isBack(service, leader, reason)) {
        await this.letReceive(service, leader);
        return false;
      }
      await pause(STEP_PAUSE_MS);
      if (!duty.isHeld) return false;
    }
  }

  /**
   * Lets the replicas receive again. An order that may still be carried out, of
   * this front or of an earlier holder, would undo what is acknowledged then:
   * ordering the present primary with a higher fence makes it void first.
   */
  private async letReceive(
    service: string,
    leader: KnownDatabase | undefined,
  ): Promise<void> {
    const {
      coordinatorLease: duty,
      promote,
      self,
      log,
      leadership,
    } = this.options;
    if (leadership.isEnabled) return this.letReceiveUnfenced(service, leader);
    const inDoubt = this.inDoubt.has(service) || duty.heldForMs < LATE_ORDER_MS;
    if (leader && inDoubt) {
      const fence = await duty.raiseFencingToken();
      if (fence === undefined || !(await this.leads(leader))) return;
      const database = leader.id;
      const outcome = await promote({
        service,
        database,
        holder: self,
        fencingToken: fence,
      });
      log('primary_confirmed', {service, database, fence, outcome});
      if (outcome !== 'done') return;
      await pause(CARRY_OUT_MS);
      if (!(await this.leads(leader))) return;
      this.inDoubt.delete(service);
    }
    await this.resumeAll(service, leader?.id);
  }

  /**
   * The same where no fence makes an order void: while one may still be carried
   * out, the replicas wait. Then the present primary is named again.
   */
  private async letReceiveUnfenced(
    service: string,
    leader: KnownDatabase | undefined,
  ): Promise<void> {
    const {leadership} = this.options;
    const record = leadership.latestRecord(service);
    if (!isPromotionAllowed(this.doubtOf(service), leader?.id)) return;
    if (leader && record && !this.isSettledOn(service, leader.id)) {
      const {id: database} = leader;
      const named = await leadership.writeRecord({
        service,
        database,
        settled: true,
      });
      if (!named) return;
    }
    await this.resumeAll(service, leader?.id);
  }

  private isSettledOn(service: string, database: string): boolean {
    const record = this.options.leadership.latestRecord(service);
    return record?.database === database && record.settled;
  }

  private async leads(entry: KnownDatabase): Promise<boolean> {
    const {codec} = this.options;
    const report = await runControlStatement(entry, codec, {kind: 'status'});
    return report?.isLeader === true;
  }

  /**
   * Waits until the promoted database leads. Until then the old primary still
   * serves, so that the replicas must not receive from it again.
   */
  private async settle(service: string, database: string): Promise<boolean> {
    const {leaderOf: leader, coordinatorLease: duty} = this.options;
    const untilMs = performance.now() + PROMOTION_MS;
    while (leader(service)?.id !== database) {
      if (performance.now() > untilMs || !duty.isHeld) return false;
      await pause(STEP_PAUSE_MS);
    }
    const {leadership} = this.options;
    if (leadership.isEnabled && !this.doubtOf(service)) {
      await leadership.writeRecord({service, database, settled: true});
    }
    await this.resumeAll(service, database);
    return true;
  }

  private async isBack(
    service: string,
    leader: KnownDatabase | undefined,
    reason: Reason,
  ): Promise<boolean> {
    if (!leader || reason === 'leaving') return false;
    return !(await this.isLeaderLost(service, leader));
  }

  private replicas(service: string, leader?: string): KnownDatabase[] {
    return databasesOf(this.options.directory(), service).filter(
      entry => entry.id !== leader,
    );
  }

  private async chooseOnce(
    service: string,
    leader: KnownDatabase | undefined,
  ): Promise<TakeoverChoice> {
    const {codec, log, serviceOf} = this.options;
    const replicas = this.replicas(service, leader?.id);
    const term = await this.nextTerm(service, replicas);
    const reports = await Promise.all(
      replicas.map(async entry => ({
        entry,
        report: await runControlStatement(entry, codec, {kind: 'pause', term}),
      })),
    );
    const logs: StoppedLog[] = [];
    const leading = reports.filter(({report}) => report?.isLeader);
    if (leading.length > 0) {
      const names = leading.map(({entry}) => entry.id);
      log('takeover_superseded', {service, leading: names});
      await Promise.all(leading.map(({entry}) => this.stepDown(entry, term)));
      return {kind: 'need_logs', missing: replicas.length};
    }
    for (const {entry, report} of reports) {
      if (!report) continue;
      const {position} = report;
      logs.push({database: entry.id, position, leaving: entry.leaving});
    }
    const size = replicas.length + 1;
    const syncReplicas = serviceOf(service)?.syncReplicas ?? 0;
    const group = {size, syncReplicas};
    const preferred = this.doubtOf(service)?.database;
    const choice = chooseTakeover(group, logs, SAFE_TAKEOVER, preferred);
    log('takeover_choice', {
      service,
      term,
      size,
      logs: logs.map(
        l => `${l.database}=${l.position.term}.${l.position.offset}`,
      ),
      choice,
    });
    return choice;
  }

  /** Ends the lead of a database that the records do not let lead. */
  private async stepDown(entry: KnownDatabase, term: number): Promise<void> {
    const {leadership, codec} = this.options;
    if (leadership.mayLead(entry)) return;
    await runControlStatement(entry, codec, {kind: 'step_down', term});
  }

  private async nextTerm(
    service: string,
    replicas: readonly KnownDatabase[],
  ): Promise<number> {
    const known = this.options.termOf(service);
    if (known > 0) return known + 1;
    const {codec} = this.options;
    const reports = await Promise.all(
      replicas.map(entry =>
        runControlStatement(entry, codec, {kind: 'status'}),
      ),
    );
    return 1 + Math.max(0, ...reports.map(report => report?.term ?? 0));
  }

  /** Makes sure that no front uses another primary, then orders. */
  private async appointAndOrder(
    service: string,
    database: string,
    leader: KnownDatabase | undefined,
  ): Promise<boolean> {
    const {leadership, coordinatorLease: duty, log} = this.options;
    if (!leadership.isEnabled) return this.order(service, database);
    const doubt = this.doubtOf(service);
    if (!isPromotionAllowed(doubt, database)) {
      log('order_withheld', {service, database, inDoubt: doubt?.database});
      return false;
    }
    const term = await this.nextTerm(service, this.replicas(service));
    const appointed = await leadership.appoint(service, database, leader, term);
    if (!appointed || !duty.isHeld) return false;
    // That may have taken long: a replica that has started again receives.
    const choice = await this.chooseOnce(service, leader);
    const isSame = choice.kind === 'promote' && choice.database === database;
    return isSame && duty.isHeld ? this.order(service, database) : false;
  }

  /** Orders the promotion; false when another round is needed. */
  private async order(service: string, database: string): Promise<boolean> {
    const {coordinatorLease: duty, promote, self, log} = this.options;
    const fence = this.inDoubt.has(service)
      ? await duty.raiseFencingToken()
      : duty.currentFencingToken;
    if (fence === undefined) return false;
    const outcome = await promote({
      service,
      database,
      holder: self,
      fencingToken: fence,
    });
    log('promotion_ordered', {service, database, fence, outcome});
    switch (outcome) {
      case 'done':
        this.inDoubt.delete(service);
        return true;
      case 'refused':
        await duty.raiseFencingToken();
        return false;
      case 'unknown':
        this.inDoubt.add(service);
        this.doubt(service, database);
        return false;
      case 'not_done':
        return false;
    }
  }

  private async resumeAll(
    service: string,
    leader: string | undefined,
  ): Promise<void> {
    const {codec, coordinatorLease: duty} = this.options;
    await Promise.all(
      this.replicas(service, leader).map(async entry => {
        if (duty.isHeld)
          await runControlStatement(entry, codec, {kind: 'resume'});
      }),
    );
  }
}
