/**
 * Decides which database may be the primary of each service, where the platform
 * does not fence a former primary. Combines the leader records in the store
 * with those announced by the holder of the coordinator lease. The holder also
 * uses it to make sure that no front uses the former primary any more.
 */
import {KnownDatabase} from '../core/directory.js';
import {Fronts} from '../core/fronts.js';
import {
  mayLead,
  decodeLeaderRecord,
  encodeLeaderRecord,
  isFormerPrimaryRetired,
  StoredLeaderRecord,
  newerLeaderRecord,
  LeaderRecord,
} from '../core/leader_record.js';
import {eraOf} from '../core/store_revision.js';
import {StoredItem} from '../store/key_values.js';
import {runControlStatement} from './control_link.js';
import {CoordinatorLease} from './coordinator_lease.js';
import {JsonLog} from './json_log.js';
import {pause} from './timeout.js';
import {DatabaseCodec} from './wire_types.js';

export interface LeadershipOptions {
  /**
   * Whether the platform fences a former primary; if so, no records are needed.
   */
  readonly isFenced: boolean;
  readonly prefix: string;
  readonly storedItems: () => ReadonlyMap<string, StoredItem>;
  /** Revision up to which this front's view of the store is complete. */
  readonly knownRevision: () => number;
  readonly fronts: () => Fronts;
  /**
   * Whether this front's view of the store is fresh and the front is still
   * registered.
   */
  readonly isFreshAndRegistered: () => boolean;
  /** Whether this front knows all records; see `LeaderRecovery`. */
  readonly areRecordsComplete: () => boolean;
  /** Present era of the store. */
  readonly era: () => number;
  /** Age beyond which a view of the store no longer allows using a primary. */
  readonly maxConfigAgeMs: number;
  readonly coordinatorLease: () => CoordinatorLease;
  readonly codec: DatabaseCodec;
  /**
   * Sends a record to another front; resolves once that front has applied it.
   */
  readonly announce: (vm: string, record: StoredLeaderRecord) => Promise<void>;
  /**
   * Ends the work in progress at databases of a service other than its leader.
   */
  readonly abortPrimaryWorkExcept: (service: string, leader: string) => void;
  readonly log: JsonLog;
  /** Steady clock in milliseconds; `performance.now` by default. */
  readonly nowMs?: () => number;
}

const ANNOUNCE_TIMEOUT_MS = 300;
const POLL_INTERVAL_MS = 20;
/** How long this front's view may take to reach the revision of a record. */
const VIEW_TIMEOUT_MS = 1_500;
/** How far the clocks of two VMs may drift apart while a view ages. */
const CLOCK_DRIFT_MS = 150;

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

  private readonly nowMs: () => number;

  private constructor(private readonly options: LeadershipOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
  }

  static create(options: LeadershipOptions): Leadership {
    return new Leadership(options);
  }

  /** Whether leader records are used at all. */
  get isEnabled(): boolean {
    return !this.options.isFenced;
  }

  /**
   * Newest record of a service; undefined if there is none or none is needed.
   */
  latestRecord(service: string): StoredLeaderRecord | undefined {
    if (!this.isEnabled) return undefined;
    this.decodeChanged();
    return newerLeaderRecord(
      this.received.get(service),
      this.stored.get(service),
    );
  }

  /** Whether the records allow a database to be the leader of its service. */
  mayLead({service, id}: KnownDatabase): boolean {
    return mayLead(this.latestRecord(service), id);
  }

  /**
   * Whether this front may use a database as primary now. Without fencing, that
   * also requires a fresh view, a valid registration and all records.
   */
  canServeAsPrimary(entry: KnownDatabase): boolean {
    if (!this.isEnabled) return true;
    const {isFreshAndRegistered, areRecordsComplete} = this.options;
    return (
      isFreshAndRegistered() && areRecordsComplete() && this.mayLead(entry)
    );
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
   * unless a newer one is known.
   */
  receiveRecord(record: StoredLeaderRecord): void {
    const known = this.latestRecord(record.service);
    const newer = newerLeaderRecord(known, record);
    if (newer !== record) return;
    this.received.set(record.service, record);
    this.options.log('leader_record_heard', {...record});
    this.options.abortPrimaryWorkExcept(record.service, record.database);
  }

  /** Applies the records that are new in the view of the store. */
  applyStoredRecords(): void {
    if (!this.isEnabled) return;
    for (const record of this.decodeChanged()) {
      this.options.abortPrimaryWorkExcept(record.service, record.database);
    }
  }

  /**
   * Writes a record to the store. Resolves to undefined if the coordinator
   * lease is lost before.
   */
  async writeRecord(
    record: LeaderRecord,
  ): Promise<StoredLeaderRecord | undefined> {
    const {prefix, coordinatorLease, era, log} = this.options;
    const key = `${prefix}leaders/${record.service}`;
    const revision = await coordinatorLease().write(
      key,
      encodeLeaderRecord(record, era()),
    );
    if (revision === undefined) return undefined;
    const written = {...record, revision};
    log('leader_record_written', {...written});
    this.receiveRecord(written);
    return written;
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
    const isWritten = known?.database === database && !known.settled;
    const record = isWritten
      ? known
      : await this.writeRecord({service, database, settled: false});
    if (!record) return false;
    const writtenMs = this.nowMs();
    if (!(await this.awaitView(record.revision))) return false;
    return this.retireFormer(record, former, term, writtenMs);
  }

  /**
   * Waits until this front's view includes all fronts registered at a revision.
   */
  private async awaitView(revision: number): Promise<boolean> {
    const {knownRevision, coordinatorLease} = this.options;
    const untilMs = this.nowMs() + VIEW_TIMEOUT_MS;
    while (knownRevision() < revision) {
      if (this.nowMs() > untilMs || !coordinatorLease().isHeld) return false;
      await pause(POLL_INTERVAL_MS);
    }
    return true;
  }

  /**
   * Waits until no front can use the former primary any more: it has stepped
   * down, every front has acknowledged the record, or the views of the others
   * have expired.
   */
  private async retireFormer(
    record: StoredLeaderRecord,
    former: KnownDatabase | undefined,
    term: number,
    writtenMs: number,
  ): Promise<boolean> {
    const {coordinatorLease, fronts, log, maxConfigAgeMs, codec} = this.options;
    const startedMs = this.nowMs();
    const unanswered = new Set(fronts().keys());
    let confirmedByDatabase = false;
    if (former) {
      const order = {kind: 'step_down', term} as const;
      void runControlStatement(former, codec, order).then(report => {
        confirmedByDatabase = report?.isLeader === false;
      });
    }
    for (;;) {
      await Promise.race([
        Promise.all(
          [...unanswered].map(vm => this.announceTo(vm, record, unanswered)),
        ),
        pause(ANNOUNCE_TIMEOUT_MS),
      ]);
      const sinceWrittenMs = this.nowMs() - writtenMs;
      const done = isFormerPrimaryRetired({
        confirmedByDatabase,
        unanswered: unanswered.size,
        sinceWrittenMs,
        maxConfigAgeMs: maxConfigAgeMs + CLOCK_DRIFT_MS,
      });
      if (done || !coordinatorLease().isHeld) {
        log('leader_retired', {
          service: record.service,
          done,
          confirmedByDatabase,
          unanswered: [...unanswered],
          tookMs: Math.round(this.nowMs() - startedMs),
        });
        const isRetired = done && coordinatorLease().isHeld;
        return unanswered.size === 0 || confirmedByDatabase || !isRetired
          ? isRetired
          : this.isEraUnchanged(record);
      }
      await pause(POLL_INTERVAL_MS);
    }
  }

  /**
   * Resolves to whether the store was not restored until now, by writing the
   * record again. After a restore, a front that has not answered may have a
   * fresh view without the record.
   */
  private async isEraUnchanged(record: StoredLeaderRecord): Promise<boolean> {
    const {service, database, settled} = record;
    const written = await this.writeRecord({service, database, settled});
    return (
      written !== undefined &&
      eraOf(written.revision) === eraOf(record.revision)
    );
  }

  private async announceTo(
    vm: string,
    record: StoredLeaderRecord,
    unanswered: Set<string>,
  ): Promise<void> {
    try {
      await this.options.announce(vm, record);
      unanswered.delete(vm);
    } catch (error) {
      const text = (error as Error).message;
      // Nothing listens there: the process has ended and uses no primary.
      if (text.includes('ECONNREFUSED')) unanswered.delete(vm);
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
