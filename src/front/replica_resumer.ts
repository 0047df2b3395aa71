/**
 * Lets the replicas of a service receive the log again after a takeover attempt
 * that promoted none of them.
 */
import {KnownDatabase} from '../core/directory.js';
import {
  CommitRule,
  isPromotionAllowed,
  mayCommit,
} from '../core/leader_record.js';
import {reportsLead, runControlStatement} from './control_link.js';
import {CoordinatorLease} from './coordinator_lease.js';
import {JsonLog} from './json_log.js';
import {Leadership} from './leadership.js';
import {Promote} from './promoter.js';
import {UnconfirmedOrders, UNCONFIRMED_ORDER_MS} from './unconfirmed_orders.js';
import {pause} from './timeout.js';
import {DatabaseCodec} from './wire_types.js';

/** What ordering a promotion and telling the replicas takes. */
export interface ChangeOptions {
  readonly self: string;
  readonly coordinatorLease: CoordinatorLease;
  readonly codec: DatabaseCodec;
  readonly promote: Promote;
  readonly leadership: Leadership;
  readonly orders: UnconfirmedOrders;
  /** Databases of a service other than `leader`. */
  readonly replicasOf: (service: string, leader?: string) => KnownDatabase[];
  /** Whether what was begun for a service may go on in this tenure. */
  readonly isTenureOf: (service: string) => boolean;
  readonly log: JsonLog;
}

export interface ReplicaResumerOptions extends ChangeOptions {
  /** Called when all replicas of a service have confirmed that they receive. */
  readonly onReceiving: (service: string) => void;
}

/** Time from an accepted order until the database acts as primary. */
export const PROMOTION_DELAY_MS = 1_300;

/** Resumes replicas once no earlier promotion order can be executed. */
export class ReplicaResumer {
  private constructor(private readonly options: ReplicaResumerOptions) {}

  static create(options: ReplicaResumerOptions): ReplicaResumer {
    return new ReplicaResumer(options);
  }

  /**
   * Lets the replicas receive the log again, and the current primary take
   * commits. A promotion order of this front or of an earlier lease holder that
   * is executed afterwards would undo commits acknowledged since. An order to promote the current primary with a higher
   * fencing token, sent first, makes such an order void. Not sent while a
   * promotion of another database is known to be unanswered: executed after it,
   * the order would make the current primary lead again. Without fencing nothing
   * makes an order void, so that it must have expired. Resolves to whether all
   * replicas have confirmed that they receive.
   */
  async resume(
    service: string,
    leader: KnownDatabase | undefined,
  ): Promise<boolean> {
    const {leadership, coordinatorLease, orders} = this.options;
    if (!isPromotionAllowed(orders.orderOf(service), leader?.id))
      return this.logWithheld(service, 'an order may still be executed');
    const record = leadership.latestRecord(service);
    // An unsettled order for the database that leads changes nothing.
    const mayOthersTakeEffect = record
      ? record.database !== leader?.id ||
        record.commits === CommitRule.contested
      : coordinatorLease.heldForMs < UNCONFIRMED_ORDER_MS;
    const isUnconfirmed = orders.has(service) || mayOthersTakeEffect;
    if (leader && leadership.isFenced && isUnconfirmed) {
      const refusal = await this.confirmLeader(service, leader);
      if (refusal !== undefined) return this.logWithheld(service, refusal);
    }
    const newest = leadership.latestRecord(service);
    if (leader && newest && !this.isSettledOn(service, leader.id)) {
      if (!(await leadership.recordSettled(service, leader.id)))
        return this.logWithheld(service, 'leader record not written');
    }
    return this.sendResume(service, leader?.id);
  }

  /**
   * Sends `RESUME` to all replicas of a service. Resolves to whether all of
   * them have confirmed that they receive.
   */
  async sendResume(
    service: string,
    leader: string | undefined,
  ): Promise<boolean> {
    const {codec, log, replicasOf, isTenureOf, onReceiving} = this.options;
    const receiving: string[] = [];
    const unanswered: string[] = [];
    await Promise.all(
      replicasOf(service, leader).map(async entry => {
        const statement = {kind: 'resume'} as const;
        const mayRun = (): boolean => isTenureOf(service);
        const report = mayRun()
          ? await runControlStatement(entry, codec, statement, mayRun)
          : undefined;
        const isReceiving = report?.pausedAtTerm === 0;
        (isReceiving ? receiving : unanswered).push(entry.id);
      }),
    );
    log('replicas_resumed', {service, receiving, unanswered});
    if (unanswered.length === 0) onReceiving(service);
    return unanswered.length === 0;
  }

  /** Logs why the replicas of a service stay paused for now. */
  logWithheld(service: string, reason: string): false {
    this.options.log('resume_withheld', {service, reason});
    return false;
  }

  /**
   * Orders the promotion of the current primary with a higher fencing token,
   * while no front acknowledges commits: another database may have been promoted
   * just before, and would be replaced by this order. Resolves to why the primary
   * is not confirmed; undefined if it is.
   */
  private async confirmLeader(
    service: string,
    leader: KnownDatabase,
  ): Promise<string | undefined> {
    const {coordinatorLease, promote, self, log, orders, isTenureOf, codec} =
      this.options;
    const {leadership} = this.options;
    const isCancelled = (): boolean => !isTenureOf(service);
    const isStopped = await leadership.stopCommits(
      service,
      leader.id,
      undefined,
      isCancelled,
    );
    if (!isStopped) return 'commits not stopped';
    const fencingToken = await coordinatorLease.raiseFencingToken();
    if (fencingToken === undefined) return 'fencing token not raised';
    if (!(await reportsLead(leader, codec)))
      return 'primary does not report its lead';
    const database = leader.id;
    if (!(await leadership.recordConfirmation(service, database)))
      return 'leader record not written';
    if (!isTenureOf(service)) return 'lease lost';
    const outcome = await promote({
      service,
      database,
      holder: self,
      fencingToken,
    });
    log('primary_confirmed', {
      service,
      database,
      fence: fencingToken,
      outcome,
    });
    if (outcome === 'unknown') orders.requireHigherToken(service);
    if (outcome !== 'done') return 'primary not confirmed';
    await pause(PROMOTION_DELAY_MS);
    if (!(await reportsLead(leader, codec)))
      return 'primary no longer reports its lead';
    orders.makeVoid(service);
    return undefined;
  }

  private isSettledOn(service: string, database: string): boolean {
    const record = this.options.leadership.latestRecord(service);
    return record?.settled === true && mayCommit(record, database);
  }
}
