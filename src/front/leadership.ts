/**
 * Decides at which database of each service this front may acknowledge commits,
 * and, where the platform does not fence a former primary, which database it may
 * use as primary at all. Combines the leader records in the store with those
 * announced by the holder of the coordinator lease. The holder also uses it to
 * make sure that no front acts by an older record any more.
 */
import {ReceivedCommitReport} from '../core/commit_positions.js';
import {KnownDatabase} from '../core/directory.js';
import {Fronts} from '../core/fronts.js';
import {
  CommitRule,
  mayCommit,
  mayLead,
  decodeLeaderRecord,
  encodeLeaderRecord,
  FINISH_COMMITS_MS,
  hasStoppedCommits,
  isFormerPrimaryRetired,
  orderRecord,
  stoppedRecord,
  StoredLeaderRecord,
  newerLeaderRecord,
  LeaderRecord,
} from '../core/leader_record.js';
import {Position} from '../core/position.js';
import {eraOf} from '../core/store_revision.js';
import {StoredItem} from '../store/key_values.js';
import {CommitReports, ReportedCommits} from './commit_reports.js';
import {runControlStatement} from './control_link.js';
import {CoordinatorLease} from './coordinator_lease.js';
import {JsonLog} from './json_log.js';
import {pause} from './timeout.js';
import {DatabaseCodec} from './wire_types.js';

export interface LeadershipOptions {
  /**
   * Whether the platform fences: a former primary denies its lead, and an order
   * with an outdated fencing token is refused.
   */
  readonly isFenced: boolean;
  readonly prefix: string;
  readonly storedItems: () => ReadonlyMap<string, StoredItem>;
  /** Revision up to which this front's view of the store is complete. */
  readonly knownRevision: () => number;
  readonly fronts: () => Fronts;
  /** When the store was last listed; fronts may have come and gone before. */
  readonly listedAtMs?: () => number;
  /** Reads the VMs of the fronts that are registered in the store now. */
  readonly listFronts: () => Promise<readonly string[] | undefined>;
  /**
   * Whether this front's view of the store is fresh and the front is still
   * registered.
   */
  readonly isFreshAndRegistered: () => boolean;
  /**
   * Whether the view is recent enough to acknowledge commits; as
   * `isFreshAndRegistered` if absent.
   */
  readonly isFreshForCommits?: () => boolean;
  /** Whether this front knows all records; see `LeaderRecovery`. */
  readonly areRecordsComplete: () => boolean;
  /** Present era of the store. */
  readonly era: () => number;
  /** Age beyond which a view of the store no longer allows using a primary. */
  readonly maxConfigAgeMs: number;
  /** As `maxConfigAgeMs`, for acknowledging commits; the same if absent. */
  readonly maxCommitViewAgeMs?: number;
  readonly coordinatorLease: () => CoordinatorLease;
  readonly codec: DatabaseCodec;
  /**
   * Sends a record to a front; resolves once that front has applied it, to what
   * it knows of the service's commits. A front of an earlier version tells
   * nothing.
   */
  readonly announce: (
    vm: string,
    record: StoredLeaderRecord,
  ) => Promise<ReceivedCommitReport | undefined>;
  /**
   * Ends the work in progress at databases of a service other than its leader.
   */
  readonly abortPrimaryWorkExcept: (service: string, leader: string) => void;
  /**
   * Ends what could be committed at databases of a service other than `allowed`,
   * all of them if undefined. Resolves once no commit there can be acknowledged;
   * those under way get up to `finishMs`.
   */
  readonly stopCommitsExcept: (
    service: string,
    allowed: string | undefined,
    finishMs: number,
  ) => Promise<void>;
  readonly log: JsonLog;
  /** Steady clock in milliseconds; `performance.now` by default. */
  readonly nowMs?: () => number;
}

const ANNOUNCE_TIMEOUT_MS = 300;
const POLL_INTERVAL_MS = 20;
/** How long this front's view may take to reach the revision of a record. */
const VIEW_TIMEOUT_MS = 1_500;
/** As `VIEW_TIMEOUT_MS`, where the fronts can be read from the store instead. */
const VIEW_WAIT_MS = 250;
/** How far the clocks of two VMs may drift apart while a view ages. */
const CLOCK_DRIFT_MS = 150;

/** The former primary, and the term at which it is ordered to step down. */
export interface StepDown {
  readonly former: KnownDatabase;
  readonly term: number;
}

/** What `awaitObedience` waits for. */
interface ObedienceWait {
  /** Fronts that must acknowledge the record. */
  readonly vms: readonly string[];
  /** Those that have. */
  readonly told: Set<string>;
  /** When the record was written, on the steady clock. */
  readonly writtenMs: number;
  /**
   * The only database at which an older record may have permitted commits. It
   * is ordered to step down if a front has not answered at first.
   */
  readonly stepDown: StepDown | undefined;
  /** Age beyond which a view no longer permits what the record forbids. */
  readonly maxViewAgeMs: number;
  readonly isCancelled: () => boolean;
}

/**
 * The leader records that this front knows: each names the database that may be
 * the primary of a service.
 */
export class Leadership {
  /**
   * Records announced to this front or written by it; its view of the store may
   * not show them yet.
   */
  private readonly received = new Map<string, StoredLeaderRecord>();
  /** Records in this front's view of the store. */
  private readonly stored = new Map<string, StoredLeaderRecord>();
  private lastItems: ReadonlyMap<string, StoredItem> | undefined;
  /** Resolve once this front has stopped commits as a record says, by service. */
  private readonly stopping = new Map<string, Promise<void>>();
  /** When this front learned that commits are stopped, by service. */
  private readonly stoppedAtMs = new Map<string, number>();
  /** Revision of the record that every front obeys, by service. */
  private readonly obeyed = new Map<string, number>();
  private readonly reports: CommitReports;
  /** This front's last write of each record, and when it was answered. */
  private readonly writes = new Map<string, {revision: number; atMs: number}>();

  private readonly nowMs: () => number;

  private constructor(private readonly options: LeadershipOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.reports = CommitReports.create({...options, nowMs: this.nowMs});
  }

  static create(options: LeadershipOptions): Leadership {
    return new Leadership(options);
  }

  /** Whether the platform fences a former primary and outdated orders. */
  get isFenced(): boolean {
    return this.options.isFenced;
  }

  /** Number of services whose commits are stopped. */
  get stoppedCount(): number {
    return this.stoppedAtMs.size;
  }

  /** Newest record of a service; undefined if there is none. */
  latestRecord(service: string): StoredLeaderRecord | undefined {
    this.decodeChanged();
    return newerLeaderRecord(
      this.received.get(service),
      this.stored.get(service),
    );
  }

  /**
   * Whether a database may be the leader of its service. Where the platform
   * fences, any that claims it: a former one runs nothing that needs the lead.
   */
  mayLead({service, id}: KnownDatabase): boolean {
    return this.isFenced || mayLead(this.latestRecord(service), id);
  }

  /**
   * Whether this front may read at a database as primary now. Without fencing,
   * that requires a fresh view, a valid registration and all records.
   */
  canServeAsPrimary(entry: KnownDatabase): boolean {
    return this.isFenced || (this.isViewReliable && this.mayLead(entry));
  }

  /**
   * Whether this front may send commits to a database now, and acknowledge those
   * that the database has answered.
   */
  canCommit(entry: KnownDatabase): boolean {
    return this.isCommitViewReliable && this.mayCommit(entry);
  }

  /**
   * As `isViewReliable`, with the age up to which commits are acknowledged: a
   * change of primary waits that long for fronts that do not answer.
   */
  get isCommitViewReliable(): boolean {
    const {isFreshForCommits} = this.options;
    return this.isViewReliable && isFreshForCommits?.() !== false;
  }

  /** Whether the records permit commits at a database. */
  mayCommit({service, id}: KnownDatabase): boolean {
    return mayCommit(this.latestRecord(service), id);
  }

  /** When this front learned that commits of a service are stopped, if they are. */
  commitsStoppedAtMs(service: string): number | undefined {
    return this.stoppedAtMs.get(service);
  }

  /**
   * Whether no record that holds can be missing in this front's view, and the
   * holder of the lease knows this front.
   */
  get isViewReliable(): boolean {
    const {isFreshAndRegistered, areRecordsComplete} = this.options;
    return isFreshAndRegistered() && areRecordsComplete();
  }

  /** Record of a service in the store, as this front's view shows it. */
  storedRecord(service: string): StoredLeaderRecord | undefined {
    const {prefix, storedItems} = this.options;
    const item = storedItems().get(`${prefix}leaders/${service}`);
    return (
      item && decodeLeaderRecord(item.value.toString('utf8'), item.revision)
    );
  }

  /**
   * Applies a record that the holder of the coordinator lease has announced,
   * unless a newer one is known. Resolves once this front acknowledges no commit
   * that the newest record does not permit.
   */
  async receiveRecord(record: StoredLeaderRecord): Promise<void> {
    const {service} = record;
    const known = this.latestRecord(service);
    if (newerLeaderRecord(known, record) === record) {
      this.received.set(service, record);
      this.options.log('leader_record_heard', {...record});
      this.obey(record);
    }
    await this.stopping.get(service);
  }

  /** As `CommitReports.of`. */
  commitsOf(service: string): ReportedCommits {
    return this.reports.of(service);
  }

  /** What is known of a service's acknowledged commits, as it is logged. */
  acknowledgedFields(service: string): object {
    const {atLeast, atMost, unreported} = this.commitsOf(service);
    const text = (position: Position | undefined): string | undefined =>
      position && `${position.term}.${position.offset}`;
    return {atLeast: text(atLeast), atMost: text(atMost), unreported};
  }

  /** Applies the records that are new in the view of the store. */
  applyStoredRecords(): void {
    this.reports.recordFronts();
    for (const record of this.decodeChanged()) this.obey(record);
  }

  private obey(record: StoredLeaderRecord): void {
    const {service, database} = record;
    const {stopCommitsExcept, abortPrimaryWorkExcept} = this.options;
    const isStopped = hasStoppedCommits(record);
    if (!isStopped) this.stoppedAtMs.delete(service);
    else if (!this.stoppedAtMs.has(service))
      this.stoppedAtMs.set(service, this.nowMs());
    if (!this.isFenced) abortPrimaryWorkExcept(service, database);
    const allowed = isStopped ? undefined : database;
    // The holder does not wait for what an expired view would let finish.
    const finishMs = this.isCommitViewReliable ? FINISH_COMMITS_MS : 0;
    this.stopping.set(service, stopCommitsExcept(service, allowed, finishMs));
  }

  /**
   * Writes a record to the store. Resolves to undefined if the coordinator
   * lease is lost before, or the record has been changed meanwhile.
   */
  async writeRecord(
    record: LeaderRecord,
  ): Promise<StoredLeaderRecord | undefined> {
    const {prefix, coordinatorLease, era, log} = this.options;
    const key = `${prefix}leaders/${record.service}`;
    const known = Math.max(
      this.options.storedItems().get(key)?.revision ?? 0,
      this.writes.get(record.service)?.revision ?? 0,
    );
    const text = encodeLeaderRecord(record, era());
    const revision = await coordinatorLease().write(key, text, known);
    if (revision === undefined) return undefined;
    this.writes.set(record.service, {revision, atMs: this.nowMs()});
    if (hasStoppedCommits(record))
      this.reports.recordStop(record.service, revision, known);
    const written = {...record, revision};
    const former = this.latestRecord(record.service);
    const isObeyed = this.obeyed.get(record.service) === former?.revision;
    // What obeys a record without commits obeys the next one as well.
    if (former && isObeyed && hasStoppedCommits(record))
      this.obeyed.set(record.service, revision);
    log('leader_record_written', {...written});
    void this.receiveRecord(written);
    return written;
  }

  /**
   * Makes sure that no front acknowledges a commit of a service any more, until
   * another record permits it. Resolves to false if the coordinator lease is
   * lost, the fronts are not known, or `isCancelled` returns true meanwhile.
   */
  async stopCommits(
    service: string,
    leader: string | undefined,
    stepDown: StepDown | undefined,
    isCancelled: () => boolean,
  ): Promise<boolean> {
    const known = this.latestRecord(service);
    const isStopped = known !== undefined && hasStoppedCommits(known);
    if (isStopped && this.obeyed.get(service) === known.revision) return true;
    if (isStopped)
      this.reports.recordStop(service, known.revision, known.revision);
    const record = isStopped
      ? known
      : await this.writeRecord(stoppedRecord(known, service, leader ?? ''));
    if (!record) return false;
    const write = this.writes.get(service);
    const isOwn = write?.revision === record.revision;
    const writtenMs = isOwn ? write.atMs : this.nowMs();
    const told = new Set<string>();
    const [vms] = await Promise.all([
      this.frontsAsOf(record.revision),
      this.announce(record, [...this.options.fronts().keys()], told),
    ]);
    if (!vms) return false;
    this.reports.expectFrom(service, vms);
    const isOnlyAtFormer =
      known === undefined || known.database === stepDown?.former.id;
    const done = await this.awaitObedience(record, {
      vms,
      told,
      writtenMs,
      stepDown: isOnlyAtFormer ? stepDown : undefined,
      maxViewAgeMs:
        this.options.maxCommitViewAgeMs ?? this.options.maxConfigAgeMs,
      isCancelled,
    });
    const newest = this.latestRecord(service)?.revision;
    if (done && newest === record.revision) this.obeyed.set(service, newest);
    // A newer record may permit commits again.
    return done && this.obeyed.get(service) === newest;
  }

  /**
   * Writes the record of an order to promote a database, and tells the fronts.
   * Resolves to undefined if the coordinator lease is lost before.
   */
  async recordOrder(
    service: string,
    database: string,
  ): Promise<StoredLeaderRecord | undefined> {
    const record = orderRecord(this.latestRecord(service), service, database);
    return this.writeAndAnnounce(record);
  }

  /**
   * Writes the record of an order that confirms the present primary, since
   * another order may be executed. It takes commits once that is settled.
   */
  async recordConfirmation(
    service: string,
    database: string,
  ): Promise<StoredLeaderRecord | undefined> {
    const commits = CommitRule.contested;
    return this.writeAndAnnounce({service, database, settled: false, commits});
  }

  /** Writes that no order is in flight and the database may take commits. */
  recordSettled(
    service: string,
    database: string,
  ): Promise<StoredLeaderRecord | undefined> {
    return this.writeAndAnnounce({service, database, settled: true});
  }

  private async writeAndAnnounce(
    record: LeaderRecord,
  ): Promise<StoredLeaderRecord | undefined> {
    const written = await this.writeRecord(record);
    if (!written) return undefined;
    // The fronts that miss it read it from the store.
    void this.announce(written, [...this.options.fronts().keys()], new Set());
    return written;
  }

  /**
   * Returns the fronts that were registered at a revision; undefined if the
   * store does not answer. Waits for the view, which shows new databases too.
   */
  private async frontsAsOf(
    revision: number,
  ): Promise<readonly string[] | undefined> {
    const {fronts, listFronts} = this.options;
    const isInView = await this.awaitView(revision, VIEW_WAIT_MS);
    const known = [...fronts().keys()];
    if (isInView) return known;
    const listed = await listFronts();
    return listed && [...new Set([...known, ...listed])];
  }

  /**
   * Makes a database the only one that fronts accept as leader of a service.
   * Resolves to true once no front can use another one as primary, and to false
   * if the coordinator lease is lost or this front's view does not catch up.
   */
  async appoint(
    service: string,
    database: string,
    former: KnownDatabase | undefined,
    term: number,
  ): Promise<boolean> {
    const known = this.latestRecord(service);
    const isWritten =
      known?.database === database &&
      !known.settled &&
      !hasStoppedCommits(known);
    const record = isWritten
      ? known
      : await this.writeRecord({service, database, settled: false});
    if (!record) return false;
    const writtenMs = this.nowMs();
    if (!(await this.awaitView(record.revision, VIEW_TIMEOUT_MS))) return false;
    return this.awaitObedience(record, {
      vms: [...this.options.fronts().keys()],
      told: new Set(),
      writtenMs,
      stepDown: former && {former, term},
      maxViewAgeMs: this.options.maxConfigAgeMs,
      isCancelled: () => false,
    });
  }

  /**
   * Waits until this front's view includes all fronts registered at a revision.
   */
  private async awaitView(
    revision: number,
    timeoutMs: number,
  ): Promise<boolean> {
    const {knownRevision, coordinatorLease} = this.options;
    const untilMs = this.nowMs() + timeoutMs;
    while (knownRevision() < revision) {
      if (this.nowMs() > untilMs || !coordinatorLease().isHeld) return false;
      await pause(POLL_INTERVAL_MS);
    }
    return true;
  }

  /**
   * Waits until no front can act by an older record any more: the former primary
   * has stepped down, every front has acknowledged the record, or the views of
   * the others have expired.
   */
  private async awaitObedience(
    record: StoredLeaderRecord,
    wait: ObedienceWait,
  ): Promise<boolean> {
    const {coordinatorLease, log} = this.options;
    const {vms, told, stepDown, maxViewAgeMs} = wait;
    const startedMs = this.nowMs();
    let isOrdered = false;
    let confirmedByDatabase = false;
    for (;;) {
      const unanswered = vms.filter(vm => !told.has(vm));
      const done = isFormerPrimaryRetired({
        confirmedByDatabase,
        unanswered: unanswered.length,
        sinceWrittenMs: this.nowMs() - wait.writtenMs,
        maxConfigAgeMs: maxViewAgeMs + CLOCK_DRIFT_MS + FINISH_COMMITS_MS,
      });
      if (done || wait.isCancelled() || !coordinatorLease().isHeld) {
        log('leader_retired', {
          service: record.service,
          commits: record.commits,
          done,
          confirmedByDatabase,
          fronts: vms.length,
          unanswered,
          acknowledged: this.acknowledgedFields(record.service),
          tookMs: Math.round(this.nowMs() - startedMs),
        });
        const isRetired = done && coordinatorLease().isHeld;
        return unanswered.length === 0 || confirmedByDatabase || !isRetired
          ? isRetired
          : this.isEraUnchanged(record);
      }
      if (stepDown && !isOrdered) {
        isOrdered = true;
        void this.stepDown(stepDown).then(isConfirmed => {
          confirmedByDatabase = isConfirmed;
        });
      }
      await this.announce(record, unanswered, told);
      if (unanswered.some(vm => !told.has(vm))) await pause(POLL_INTERVAL_MS);
    }
  }

  /** Resolves to whether a database has confirmed that it does not lead. */
  private async stepDown({former, term}: StepDown): Promise<boolean> {
    const order = {kind: 'step_down', term} as const;
    const {codec} = this.options;
    const report = await runControlStatement(former, codec, order);
    return report?.isLeader === false;
  }

  /**
   * Resolves to whether the store was not restored until now, by writing the
   * record again. After a restore, a front that has not answered may have a
   * fresh view without the record.
   */
  private async isEraUnchanged(record: StoredLeaderRecord): Promise<boolean> {
    const {service, database, settled, commits} = record;
    const written = await this.writeRecord({
      service,
      database,
      settled,
      commits,
    });
    if (written) this.obeyed.set(service, written.revision);
    return (
      written !== undefined &&
      eraOf(written.revision) === eraOf(record.revision)
    );
  }

  /**
   * Sends a record to fronts and adds to `told` those that obey it. Resolves when
   * all have answered, or after a while.
   */
  private async announce(
    record: StoredLeaderRecord,
    vms: readonly string[],
    told: Set<string>,
  ): Promise<void> {
    await Promise.race([
      Promise.all(vms.map(vm => this.announceTo(vm, record, told))),
      pause(ANNOUNCE_TIMEOUT_MS),
    ]);
  }

  private async announceTo(
    vm: string,
    record: StoredLeaderRecord,
    told: Set<string>,
  ): Promise<void> {
    try {
      const report = await this.options.announce(vm, record);
      told.add(vm);
      const newest = this.latestRecord(record.service);
      if (report) this.reports.record(vm, report, record, newest);
    } catch (error) {
      // A refusal does not show that the process has ended: a network that
      // cuts a front off may refuse connections to it as well.
      const text = (error as Error).message;
      this.options.log('leader_record_untold', {peer: vm, text});
    }
  }

  /** Decodes the records that changed since the last call and returns them. */
  private decodeChanged(): readonly StoredLeaderRecord[] {
    const {prefix, storedItems, log} = this.options;
    const items = storedItems();
    if (items === this.lastItems) return [];
    this.lastItems = items;
    const changed: StoredLeaderRecord[] = [];
    for (const [key, {value, revision}] of items) {
      if (!key.startsWith(`${prefix}leaders/`)) continue;
      const service = key.slice(`${prefix}leaders/`.length);
      const known = this.stored.get(service);
      const record = decodeLeaderRecord(value.toString('utf8'), revision);
      if (!record) {
        log('leader_record_invalid', {key, revision});
        continue;
      }
      // A restored store may hold a record that a lost one had replaced.
      if (newerLeaderRecord(known, record) !== record) continue;
      this.stored.set(service, record);
      changed.push(record);
    }
    return changed;
  }
}
