/**
 * Carries out one attempt to change the primary of a service; the state machine
 * of `core/primary_change.ts` says what comes next.
 */
import {KnownDatabase} from '../core/directory.js';
import {CommitRule, isPromotionAllowed} from '../core/leader_record.js';
import {LogWait} from '../core/log_wait.js';
import {Position} from '../core/position.js';
import {
  beginChange,
  ChangeEffect,
  ChangeEvent,
  ChangePhase,
  PrimaryChange,
  stepChange,
} from '../core/primary_change.js';
import {
  chooseTakeover,
  mayBePrimaryEnd,
  SAFE_TAKEOVER,
  StoppedLog,
  TakeoverChoice,
  TakeoverGroup,
} from '../core/takeover.js';
import {reportsLead, runControlStatement} from './control_link.js';
import {ReplicaReport} from './replica_pause.js';
import {
  ChangeOptions,
  PROMOTION_DELAY_MS,
  ReplicaResumer,
} from './replica_resumer.js';
import {
  StoppedLogReader,
  StoppedLogReaderOptions,
  StoppedLogs,
} from './stopped_log_reader.js';
import type {TakeoverReason} from './takeover_runner.js';
import {pause} from './timeout.js';

export interface PrimaryChangeOptions
  extends ChangeOptions, StoppedLogReaderOptions {
  readonly resumer: ReplicaResumer;
  readonly leaderOf: (service: string) => KnownDatabase | undefined;
  /** Whether the homes of a service's routes have not changed lately. */
  readonly areHomesSettled: (service: string) => boolean;
  /** Whether no order of an earlier holder may still be executed. */
  readonly areOrdersSettled: (service: string) => boolean;
  /** Whether an order for another database may still be executed. */
  readonly isOrderInDoubt: (
    service: string,
    leader: KnownDatabase | undefined,
  ) => boolean;
  /** Records that the platform has answered an order with the highest token. */
  readonly recordAnswer: (service: string) => void;
  /** Resolves to whether the reason to replace a primary still holds. */
  readonly isReplaceable: (
    leader: KnownDatabase,
    reason: TakeoverReason,
  ) => Promise<boolean>;
}

/** How long an executed promotion may take to appear in the directory. */
const PROMOTION_TIMEOUT_MS = 4_000;
const ROUND_PAUSE_MS = 120;
/**
 * Maximum duration of an attempt in which no database is promoted. When it has
 * passed, the change is undone; the next check starts a new attempt.
 */
const ATTEMPT_TIMEOUT_MS = 2_500;
/** How often the wait for fronts that do not answer checks the primary. */
const RECHECK_INTERVAL_MS = 500;

interface Attempt {
  readonly service: string;
  readonly leader: KnownDatabase | undefined;
  readonly reason: TakeoverReason;
  readonly untilMs: number;
}

export class PrimaryChangeRunner {
  private readonly logReader: StoppedLogReader;
  private readonly logWait = LogWait.create();

  private constructor(private readonly options: PrimaryChangeOptions) {
    this.logReader = StoppedLogReader.create(options);
  }

  static create(options: PrimaryChangeOptions): PrimaryChangeRunner {
    return new PrimaryChangeRunner(options);
  }

  /** Resolves to whether the service has a new primary. */
  async run(
    service: string,
    leader: KnownDatabase | undefined,
    reason: TakeoverReason,
  ): Promise<boolean> {
    const {isTenureOf, isOrderInDoubt, resumer} = this.options;
    const untilMs = performance.now() + ATTEMPT_TIMEOUT_MS;
    const attempt = {service, leader, reason, untilMs};
    let {change, effect} = beginChange(leader?.id);
    while (effect) {
      const carriedOut: ChangeEvent = isTenureOf(service)
        ? await this.carryOut(attempt, effect)
        : {type: 'leaseLost'};
      const event: ChangeEvent = isTenureOf(service)
        ? carriedOut
        : {type: 'leaseLost'};
      const facts = {
        isLate: performance.now() > untilMs,
        isOrderInDoubt: isOrderInDoubt(service, leader),
      };
      ({change, effect} = stepChange(change, event, facts));
      this.logPhase(attempt, change, event);
      if (change.isDone) this.logWait.end(service);
      if (event.type === 'leaseLost')
        resumer.logWithheld(service, 'lease lost');
    }
    return change.isDone;
  }

  private logPhase(
    {service}: Attempt,
    {phase, isDone}: PrimaryChange,
    {type}: ChangeEvent,
  ): void {
    const done = phase === ChangePhase.ended ? isDone : undefined;
    this.options.log('primary_change', {service, phase, after: type, done});
  }

  private async carryOut(
    attempt: Attempt,
    effect: ChangeEffect,
  ): Promise<ChangeEvent> {
    const {service, leader} = attempt;
    switch (effect.type) {
      case 'stopCommits': {
        const isStopped = await this.stopCommits(attempt);
        return {type: 'commitsStopped', isStopped};
      }
      case 'readLogs': {
        const {choice, isPrimaryEndKnown} = await this.chooseDatabase(attempt);
        const isMoot = this.isMoot(attempt);
        return {type: 'logsRead', choice, isMoot, isPrimaryEndKnown};
      }
      case 'order': {
        const {database} = effect;
        const isAccepted = await this.order(attempt, database);
        return {type: 'ordered', isAccepted, database};
      }
      case 'awaitLead': {
        const isSeen = await this.awaitLead(attempt, effect.database);
        return {type: 'leadAwaited', isSeen};
      }
      case 'resumeReplicas':
        await this.options.resumer.sendResume(service, leader?.id);
        return {type: 'replicasResumed'};
      case 'checkFormer': {
        const hasRecovered =
          leader !== undefined &&
          !(await this.options.isReplaceable(leader, attempt.reason));
        if (hasRecovered) this.logWait.end(service);
        await pause(ROUND_PAUSE_MS);
        const current = this.options.leaderOf(service)?.id;
        return {type: 'formerChecked', leader: current, hasRecovered};
      }
      case 'restore': {
        const current = this.options.leaderOf(service);
        const restored = current?.id === effect.database ? current : leader;
        await this.options.resumer.resume(service, restored);
        return {type: 'restored'};
      }
    }
  }

  /**
   * Resolves to whether no front can acknowledge a commit any more. While fronts
   * that do not answer are waited for, the former primary may recover.
   */
  private async stopCommits({
    service,
    leader,
    reason,
  }: Attempt): Promise<boolean> {
    const {leadership, isTenureOf, isReplaceable, isOrderInDoubt} =
      this.options;
    let isCancelled = false;
    const recheck = async (): Promise<void> => {
      if (!leader || isOrderInDoubt(service, leader)) return;
      if (!(await isReplaceable(leader, reason))) isCancelled = true;
    };
    const timer = setInterval(() => void recheck(), RECHECK_INTERVAL_MS);
    try {
      // With fencing the former primary may have to be confirmed yet: an order for
      // it would not make it lead again once it has stepped down.
      const stepDown =
        leader && !leadership.isFenced
          ? {former: leader, term: await this.logReader.nextTerm(service)}
          : undefined;
      return await leadership.stopCommits(
        service,
        leader?.id,
        stepDown,
        () => isCancelled || !isTenureOf(service),
      );
    } finally {
      clearInterval(timer);
    }
  }

  /**
   * Whether the evacuation that an attempt was begun for has ended, and nothing
   * was ordered that could still be executed: the change is undone then.
   */
  private isMoot({service, leader, reason}: Attempt): boolean {
    const {orders, isOrderInDoubt, evacuation} = this.options;
    if (reason !== 'evacuated' || !leader) return false;
    const isOrdered =
      isOrderInDoubt(service, leader) ||
      !isPromotionAllowed(orders.orderOf(service), leader.id);
    return !isOrdered && !evacuation.isEvacuating(leader);
  }

  /**
   * Whether a database in an evacuated zone may be promoted, rather than wait
   * for one outside to catch up. That takes a primary that sends its log.
   */
  private mayPromoteEvacuated({service, leader, reason}: Attempt): boolean {
    const {evacuation, isOrderInDoubt} = this.options;
    if (!leader || isOrderInDoubt(service, leader)) return true;
    if (reason === 'evacuated') return false;
    return reason !== 'leaving' || !evacuation.hasOutside(service, leader);
  }

  /** Chooses a database among the logs of those that answer. */
  private async chooseDatabase(
    attempt: Attempt,
  ): Promise<{choice: TakeoverChoice; isPrimaryEndKnown: boolean}> {
    const {service, leader} = attempt;
    const {log, leadership} = this.options;
    const read = await this.logReader.read(service, leader);
    const {term, logs, leading} = read;
    const interim = this.interimLeader(service, leading);
    // The former primary may be back, under another id too, since the logs were
    // asked for.
    const current = this.options.leaderOf(service);
    const isLed = current !== undefined && current.id !== leader?.id;
    if ((leading.length > 0 && !interim) || isLed) {
      const names = leading.map(({entry}) => entry.id);
      log('takeover_superseded', {
        service,
        leading: names,
        listed: current?.id,
      });
      await Promise.all(leading.map(({entry}) => this.stepDown(entry, term)));
      const choice = {
        kind: 'need_logs',
        missing: read.group.size - 1,
      } as const;
      return {choice, isPrimaryEndKnown: false};
    }
    const end = interim?.report.position;
    const isEnd = end && mayBePrimaryEnd(end, read.group, logs);
    let group: TakeoverGroup = {
      ...read.group,
      primaryEnd: isEnd ? end : undefined,
    };
    let isPrimaryGone = !leader && !interim;
    let choice = this.choose(attempt, group, logs, isPrimaryGone);
    if (choice.kind !== 'promote' && leader && !interim) {
      const former = await this.formerPrimary(leader, read);
      isPrimaryGone = !former.isLeading;
      group = {...group, primaryEnd: former.end};
      choice = this.choose(attempt, group, logs, isPrimaryGone);
    }
    const {primaryEnd} = group;
    if (choice.kind === 'need_logs' && isPrimaryGone)
      choice = this.afterWait(attempt, read, choice);
    log('takeover_choice', {
      service,
      term,
      size: group.size,
      primaryEnd: primaryEnd && `${primaryEnd.term}.${primaryEnd.offset}`,
      acknowledged: leadership.acknowledgedFields(service),
      logs: logs.map(
        stopped =>
          `${stopped.database}=${stopped.position.term}.${stopped.position.offset}`,
      ),
      choice,
    });
    return {choice, isPrimaryEndKnown: primaryEnd !== undefined};
  }

  /**
   * A database that leads by this front's order, or without any, although it is
   * not listed: the lead passes on to one that has its log.
   */
  private interimLeader(
    service: string,
    leading: readonly ReplicaReport[],
  ): ReplicaReport | undefined {
    const {leadership, replicasOf} = this.options;
    const [only] = leading;
    // Empty if commits were stopped before any record named a database.
    const named = leadership.latestRecord(service)?.database || undefined;
    const isInterim =
      leading.length === 1 &&
      (named === undefined || named === only.entry.id) &&
      replicasOf(service).every(({id}) => id !== only.entry.id);
    return isInterim ? only : undefined;
  }

  /**
   * Returns a choice that needs no more than the logs of listed databases, once
   * a log with all acknowledged commits has been waited for in vain.
   */
  private afterWait(
    attempt: Attempt,
    {logs, listedGroup}: StoppedLogs,
    choice: TakeoverChoice,
  ): TakeoverChoice {
    const {service} = attempt;
    const {leadership, log} = this.options;
    const fallback = this.choose(attempt, listedGroup, logs, true);
    if (fallback.kind !== 'promote') return choice;
    if (!this.logWait.record(service, performance.now())) return choice;
    const acknowledged = leadership.acknowledgedFields(service);
    log('takeover_logs_given_up', {service, acknowledged, choice: fallback});
    return fallback;
  }

  private choose(
    attempt: Attempt,
    group: TakeoverGroup,
    logs: readonly StoppedLog[],
    mayPromoteLeaving: boolean,
  ): TakeoverChoice {
    const {service} = attempt;
    const {orders, areHomesSettled, areOrdersSettled} = this.options;
    return chooseTakeover(group, logs, SAFE_TAKEOVER, {
      ordered: orders.orderOf(service)?.database,
      mayPromoteEvacuated: this.mayPromoteEvacuated(attempt),
      mayPromoteLeaving,
      areHomesSettled: areHomesSettled(service),
      areEvacuationsSettled: areOrdersSettled(service),
    });
  }

  /**
   * Asks the former primary whether it leads. Its log's end is returned if all
   * commits that were ever acknowledged in its term are in it.
   */
  private async formerPrimary(
    leader: KnownDatabase,
    {group, logs}: StoppedLogs,
  ): Promise<{isLeading: boolean; end?: Position}> {
    const {leadership, leaderOf, codec} = this.options;
    const {id, service, startedAtUnixMs} = leader;
    const record = leadership.latestRecord(service);
    const isOnlyPrimary = record === undefined || record.database === id;
    const current = leaderOf(service);
    const hasRestarted = current?.startedAtUnixMs !== startedAtUnixMs;
    const report = await runControlStatement(leader, codec, {kind: 'status'});
    if (!report?.isLeader) return {isLeading: false};
    const end = report.position;
    const isEnd =
      isOnlyPrimary &&
      current?.id === id &&
      !hasRestarted &&
      mayBePrimaryEnd(end, group, logs);
    return {isLeading: true, end: isEnd ? end : undefined};
  }

  /** Makes a database step down if the leader records name another one. */
  private async stepDown(entry: KnownDatabase, term: number): Promise<void> {
    const {leadership, codec} = this.options;
    if (leadership.mayLead(entry)) return;
    await runControlStatement(entry, codec, {kind: 'step_down', term});
  }

  /**
   * Orders a promotion. On a platform without fencing, first makes sure that no
   * front still uses another primary. Resolves to whether the platform has
   * accepted the order.
   */
  private async order(attempt: Attempt, database: string): Promise<boolean> {
    const {service, leader} = attempt;
    const {leadership, log, orders, isTenureOf} = this.options;
    if (leadership.isFenced) {
      const record = await leadership.recordOrder(service, database);
      return record !== undefined && this.sendOrder(service, database);
    }
    const unconfirmed = orders.orderOf(service);
    if (!isPromotionAllowed(unconfirmed, database)) {
      const inDoubt = unconfirmed?.database;
      log('order_withheld', {service, database, inDoubt});
      return false;
    }
    const term = await this.logReader.nextTerm(service);
    const isAppointed = await leadership.appoint(
      service,
      database,
      leader,
      term,
    );
    if (!isAppointed || !isTenureOf(service)) return false;
    // Appointing may have taken seconds, and a replica that has restarted since
    // then receives again: pause all replicas and choose once more.
    const {choice} = await this.chooseDatabase(attempt);
    const isSame = choice.kind === 'promote' && choice.database === database;
    return isSame && isTenureOf(service)
      ? this.sendOrder(service, database)
      : false;
  }

  /** Sends a promotion order to the platform. */
  private async sendOrder(service: string, database: string): Promise<boolean> {
    const {coordinatorLease, promote, self, log, orders} = this.options;
    const fencingToken = orders.has(service)
      ? await coordinatorLease.raiseFencingToken()
      : coordinatorLease.currentFencingToken;
    const {isTenureOf, recordAnswer} = this.options;
    if (fencingToken === undefined || !isTenureOf(service)) return false;
    const order = {service, database, holder: self, fencingToken};
    const outcome = await promote(order);
    log('promotion_ordered', {service, database, fence: fencingToken, outcome});
    switch (outcome) {
      case 'done':
        orders.clear(service);
        recordAnswer(service);
        return true;
      case 'refused':
        // The platform has seen this token or a higher one.
        recordAnswer(service);
        await coordinatorLease.raiseFencingToken();
        return false;
      case 'unknown':
        orders.add(service, database);
        return false;
      case 'not_done':
        return false;
    }
  }

  /**
   * Waits until the directory shows the promoted database as primary, then
   * records that no order is in flight.
   */
  private async awaitLead(
    {service}: Attempt,
    database: string,
  ): Promise<boolean> {
    const {leaderOf, orders, resumer, isTenureOf, leadership} = this.options;
    const untilMs = performance.now() + PROMOTION_TIMEOUT_MS;
    while (leaderOf(service)?.id !== database) {
      if (!isTenureOf(service)) return false;
      if (performance.now() > untilMs) {
        orders.requireHigherToken(service);
        const reason = 'promoted database is not listed as primary';
        return resumer.logWithheld(service, reason);
      }
      await pause(ROUND_PAUSE_MS);
    }
    if (await this.mayOthersTakeEffect(service, database)) return false;
    if (!orders.orderOf(service))
      await leadership.recordSettled(service, database);
    await resumer.sendResume(service, database);
    return true;
  }

  /**
   * Resolves to whether another promotion may still take effect. One that was
   * executed just before the accepted order takes effect after a delay.
   */
  private async mayOthersTakeEffect(
    service: string,
    database: string,
  ): Promise<boolean> {
    const {leadership, leaderOf, codec} = this.options;
    const record = leadership.latestRecord(service);
    if (record?.commits !== CommitRule.contested) return false;
    await pause(PROMOTION_DELAY_MS);
    const leader = leaderOf(service);
    return leader?.id !== database || !(await reportsLead(leader, codec));
  }
}
