/**
 * Who may lead, where the platform does not fence a former primary: records in
 * the store, what this front takes from them, and, for the holder of the duty,
 * making sure that no front uses the former primary any more.
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
import {StoredItem} from '../store/key_values.js';
import {runControlStatement} from './control_link.js';
import {CoordinatorLease} from './coordinator_lease.js';
import {JsonLog} from './json_log.js';
import {DatabaseCodec} from './wire_types.js';

/** What leadership needs. */
export interface LeadershipOptions {
  /** Whether the platform fences a former primary: then records are needless. */
  readonly isFenced: boolean;
  readonly prefix: string;
  readonly storedItems: () => ReadonlyMap<string, StoredItem>;
  /** Revision up to which this front knows the store. */
  readonly knownRevision: () => number;
  readonly fronts: () => Fronts;
  /** Whether this front has proof of its entry and of what the store holds. */
  readonly isFreshAndRegistered: () => boolean;
  readonly maxConfigAgeMs: number;
  readonly coordinatorLease: () => CoordinatorLease;
  readonly codec: DatabaseCodec;
  /** Tells another front of a record; resolves once it has taken it in. */
  readonly announce: (vm: string, record: StoredLeaderRecord) => Promise<void>;
  /** Ends what is under way at databases of a service that no longer lead. */
  readonly abortPrimaryWorkExcept: (service: string, leader: string) => void;
  readonly log: JsonLog;
  /** The steady clock, in milliseconds. */
  readonly nowMs?: () => number;
}

const TELL_TIMEOUT_MS = 300;
const POLL_MS = 20;
/** Wait until this front's own view has reached a record. */
const VIEW_TIMEOUT_MS = 1_500;
/** Time that two clocks may drift apart while a proof ages. */
const DRIFT_MS = 150;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** The records as this front knows them. */
export class Leadership {
  /** Records heard before the own view of the store showed them. */
  private readonly told = new Map<string, StoredLeaderRecord>();
  private readonly listed = new Map<string, StoredLeaderRecord>();
  private items: ReadonlyMap<string, StoredItem> | undefined;

  private readonly nowMs: () => number;

  private constructor(private readonly options: LeadershipOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
  }

  static create(options: LeadershipOptions): Leadership {
    return new Leadership(options);
  }

  /** Whether records are kept at all. */
  get isEnabled(): boolean {
    return !this.options.isFenced;
  }

  /** The newest record of a service. */
  latestRecord(service: string): StoredLeaderRecord | undefined {
    if (!this.isEnabled) return undefined;
    this.readItems();
    return newerLeaderRecord(this.told.get(service), this.listed.get(service));
  }

  /** Whether a database may be taken for the leader of its service. */
  mayLead({service, id}: KnownDatabase): boolean {
    return mayLead(this.latestRecord(service), id);
  }

  /** Whether this front may use a database as primary at this moment. */
  canServeAsPrimary(entry: KnownDatabase): boolean {
    if (!this.isEnabled) return true;
    return this.options.isFreshAndRegistered() && this.mayLead(entry);
  }

  /** Takes in a record that the holder of the duty has told. */
  receiveRecord(record: StoredLeaderRecord): void {
    const known = this.latestRecord(record.service);
    const newer = newerLeaderRecord(known, record);
    if (newer !== record) return;
    this.told.set(record.service, record);
    this.options.log('leader_record_heard', {...record});
    this.options.abortPrimaryWorkExcept(record.service, record.database);
  }

  /** Takes in what the store shows. */
  applyStoredRecords(): void {
    if (!this.isEnabled) return;
    for (const record of this.readItems()) {
      this.options.abortPrimaryWorkExcept(record.service, record.database);
    }
  }

  /** Writes who is to lead; undefined when the duty is no longer held. */
  async writeRecord(
    record: LeaderRecord,
  ): Promise<StoredLeaderRecord | undefined> {
    const {prefix, coordinatorLease: duty, log} = this.options;
    const key = `${prefix}leaders/${record.service}`;
    const revision = await duty().write(key, encodeLeaderRecord(record));
    if (revision === undefined) return undefined;
    const written = {...record, revision};
    log('leader_record_written', {...written});
    this.receiveRecord(written);
    return written;
  }

  /**
   * Makes a database the only one that fronts take for a service's leader.
   * Resolves to true once no front can use another as primary.
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
    if (!(await this.reachView(record.revision))) return false;
    return this.retire(record, former, term, writtenMs);
  }

  /** Waits until this front's own view holds all fronts of that revision. */
  private async reachView(revision: number): Promise<boolean> {
    const {knownRevision: known, coordinatorLease: duty} = this.options;
    const untilMs = this.nowMs() + VIEW_TIMEOUT_MS;
    while (known() < revision) {
      if (this.nowMs() > untilMs || !duty().isHeld) return false;
      await pause(POLL_MS);
    }
    return true;
  }

  private async retire(
    record: StoredLeaderRecord,
    former: KnownDatabase | undefined,
    term: number,
    writtenMs: number,
  ): Promise<boolean> {
    const {
      coordinatorLease: duty,
      fronts,
      log,
      maxConfigAgeMs: proofLimitMs,
      codec,
    } = this.options;
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
          [...unanswered].map(vm => this.tell(vm, record, unanswered)),
        ),
        pause(TELL_TIMEOUT_MS),
      ]);
      const sinceWrittenMs = this.nowMs() - writtenMs;
      const done = isFormerPrimaryRetired({
        confirmedByDatabase,
        unanswered: unanswered.size,
        sinceWrittenMs,
        maxConfigAgeMs: proofLimitMs + DRIFT_MS,
      });
      if (done || !duty().isHeld) {
        log('leader_retired', {
          service: record.service,
          done,
          confirmedByDatabase,
          unanswered: [...unanswered],
          tookMs: Math.round(this.nowMs() - startedMs),
        });
        return done && duty().isHeld;
      }
      await pause(POLL_MS);
    }
  }

  private async tell(
    vm: string,
    record: StoredLeaderRecord,
    unanswered: Set<string>,
  ): Promise<void> {
    try {
      await this.options.announce(vm, record);
      unanswered.delete(vm);
    } catch (error) {
      const text = (error as Error).message;
      // Nothing listens there: the process has ended, and knows nothing.
      if (text.includes('ECONNREFUSED')) unanswered.delete(vm);
      this.options.log('leader_record_untold', {peer: vm, text});
    }
  }

  /** Decodes what has changed; answers the records that are new. */
  private readItems(): readonly StoredLeaderRecord[] {
    const {prefix, storedItems: items, log} = this.options;
    const present = items();
    if (present === this.items) return [];
    this.items = present;
    const fresh: StoredLeaderRecord[] = [];
    for (const [key, {value, revision}] of present) {
      if (!key.startsWith(`${prefix}leaders/`)) continue;
      const service = key.slice(`${prefix}leaders/`.length);
      if (this.listed.get(service)?.revision === revision) continue;
      const record = decodeLeaderRecord(value.toString('utf8'), revision);
      if (!record) {
        log('leader_record_invalid', {key, revision});
        continue;
      }
      this.listed.set(service, record);
      fresh.push(record);
    }
    return fresh;
  }
}
