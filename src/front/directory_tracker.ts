/**
 * Maintains the directory of databases from the changes of their entries. An
 * entry that disappears around an outage of the store, or is missing after a
 * restore, may belong to a running database; one that a restore brings back may
 * be older than what is known.
 */
import {BehaviorSubject} from 'rxjs';
import {
  DatabaseEntry,
  Directory,
  dropMissing,
  isAvailable,
  isNewerEntry,
  KnownDatabase,
  putEntry,
  removeEntry,
  startKey,
} from '../core/directory.js';
import {
  FormerMember,
  FormerMembers,
  MissingLog,
  RecordedLog,
} from '../core/former_members.js';
import {MemberRecord, RecordedMember} from '../core/member_records.js';
import {PositionSamples} from '../core/position_samples.js';
import {StoreEvent} from '../store/key_values.js';
import {JsonLog} from './json_log.js';

export interface DirectoryTrackerOptions {
  /** Prefix of the entries; the rest of a key is the database's id. */
  readonly prefix: string;
  readonly decode: (id: string, bytes: Buffer) => DatabaseEntry | undefined;
  readonly regionOfZone: ReadonlyMap<string, string>;
  /** How long a database without an entry stays in the directory. */
  readonly missingEntryGraceMs: number;
  /**
   * How long after a restore an entry is passed over if a newer one of the same
   * database is known.
   */
  readonly rewriteGraceMs: number;
  readonly log: JsonLog;
  /** Steady clock in milliseconds; `performance.now` by default. */
  readonly nowMs?: () => number;
}

/** How long after a store failure a removed database is presumed alive. */
const OUTAGE_GRACE_MS = 1_500;
/** Databases that are remembered after they left the directory. */
const MAX_DEPARTED = 500;
const MAX_LOGGED_STARTS = 10;

/** A database as dumps show it. The field names of dumps must not change. */
const dumpDatabase = (entry: KnownDatabase): object => ({
  id: entry.id,
  service: entry.service,
  host: entry.host,
  port: entry.port,
  zone: entry.zone,
  slots: entry.slots,
  leaving: entry.leaving,
  coldLeftMs: entry.remainingWarmUpMs,
  isLeader: entry.isLeader,
  bornMs: entry.startedAtUnixMs,
  place: entry.place,
  leadsSince: entry.leaderSinceRevision,
  missingSinceMs: entry.missingSinceMs,
  isDoubtful: entry.isPresumedAlive,
});

/** The databases that a front knows. */
export class DirectoryTracker {
  readonly directory$ = new BehaviorSubject<Directory>(new Map());
  private failedAtMs = -Infinity;
  private restoredAtMs = -Infinity;
  /** Whether entries were passed over that must be read again. */
  private hasIgnored = false;
  /** Last entries of databases that have left, oldest first. */
  private readonly departed = new Map<string, DatabaseEntry>();
  private readonly former: FormerMembers;
  /** Cache of `listedByService`, valid for one directory. */
  private grouped: {
    readonly directory: Directory | undefined;
    readonly byService: ReadonlyMap<string, readonly KnownDatabase[]>;
  } = {directory: undefined, byService: new Map()};
  private readonly nowMs: () => number;

  private constructor(private readonly options: DirectoryTrackerOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.former = FormerMembers.create(options.missingEntryGraceMs);
  }

  static create(options: DirectoryTrackerOptions): DirectoryTracker {
    return new DirectoryTracker(options);
  }

  get directory(): Directory {
    return this.directory$.value;
  }

  /** Databases of a service that are not listed but may hold commits. */
  formerMembersOf(service: string): readonly FormerMember[] {
    return this.former.of(service, this.nowMs());
  }

  /** As `FormerMembers.recordedOf`. */
  recordedMembersOf(service: string): readonly RecordedLog[] {
    return this.former.recordedOf(service, this.nowMs());
  }

  /** As `FormerMembers.unseen`. */
  unseenMemberOf(service: string): MissingLog | undefined {
    return this.former.unseen(service, this.nowMs(), this.failedAtMs);
  }

  /** As `FormerMembers.isRecorded`. */
  isRecorded(service: string): boolean {
    return this.former.isRecorded(service);
  }

  /** As `FormerMembers.toRecord`. */
  membersToRecord(
    service: string,
    samples: PositionSamples,
  ): readonly RecordedMember[] {
    const listed = this.listedByService().get(service) ?? [];
    return this.former.toRecord(service, listed, samples, this.nowMs());
  }

  /** As `FormerMembers.services`. */
  get servicesWithFormer(): ReadonlySet<string> {
    return this.former.services;
  }

  /** Databases that are listed or presumed alive, by service. */
  private listedByService(): ReadonlyMap<string, readonly KnownDatabase[]> {
    const {directory} = this;
    if (this.grouped.directory !== directory) {
      const byService = new Map<string, KnownDatabase[]>();
      for (const entry of directory.values()) {
        if (!isAvailable(entry)) continue;
        const group = byService.get(entry.service) ?? [];
        byService.set(entry.service, [...group, entry]);
      }
      this.grouped = {directory, byService};
    }
    return this.grouped.byService;
  }

  /** Takes over the records that were read with a complete list. */
  adoptRecords(records: readonly MemberRecord[]): void {
    const listed = new Set([...this.directory.values()].map(startKey));
    const nowMs = this.nowMs();
    for (const record of records) this.former.adopt(record, listed, nowMs);
    const missing = records.flatMap(({service}) =>
      this.recordedMembersOf(service).map(({start}) => start),
    );
    this.options.log('member_records_adopted', {
      services: records.length,
      missing: missing.length,
      missingStarts: missing.slice(0, MAX_LOGGED_STARTS),
    });
  }

  /**
   * Whether the store must be listed again, because entries were passed over
   * after a restore and their databases have had time to write newer ones.
   */
  get isListDue(): boolean {
    return this.hasIgnored && !this.isRewriting;
  }

  recordStoreFailure(): void {
    this.failedAtMs = this.nowMs();
  }

  /** Must be called before the first entries after a restore are applied. */
  recordRestore(): void {
    this.restoredAtMs = this.nowMs();
  }

  /** Applies changes of entries, in order. */
  apply(events: readonly StoreEvent[]): void {
    let directory = this.directory;
    for (const event of events) directory = this.applyEvent(directory, event);
    this.publish(directory);
  }

  /**
   * Removes the databases whose keys a complete list did not contain. After a
   * restore their entries may be lost, so they are presumed alive.
   */
  removeUnlisted(keys: ReadonlySet<string>): void {
    let directory = this.directory;
    for (const id of directory.keys()) {
      const isListed = keys.has(this.options.prefix + id);
      if (isListed) continue;
      directory = this.removeDatabase(directory, id, this.isRewriting);
    }
    this.publish(directory);
  }

  /** Called before a complete list is applied. */
  beginList(): void {
    this.hasIgnored = false;
    this.former.recordList(this.nowMs());
  }

  /** Drops the databases whose entries have been missing for too long. */
  expireMissing(): void {
    const {missingEntryGraceMs} = this.options;
    const {directory} = this;
    const next = dropMissing(directory, this.nowMs(), missingEntryGraceMs);
    if (next === directory) return;
    for (const [id, entry] of directory) {
      if (next.has(id)) continue;
      this.remember(entry);
      this.former.recordUnlisted(entry, this.nowMs());
    }
    this.publish(next);
  }

  dump(): object[] {
    return [...this.directory.values()].map(dumpDatabase);
  }

  private get isRewriting(): boolean {
    return this.nowMs() - this.restoredAtMs < this.options.rewriteGraceMs;
  }

  private publish(directory: Directory): void {
    if (directory !== this.directory) this.directory$.next(directory);
  }

  private remember(entry: DatabaseEntry): void {
    this.departed.delete(entry.id);
    this.departed.set(entry.id, entry);
    const [oldest] = this.departed.keys();
    if (this.departed.size > MAX_DEPARTED) this.departed.delete(oldest);
  }

  private applyEvent(directory: Directory, event: StoreEvent): Directory {
    const {prefix, decode, log} = this.options;
    const id = event.key.slice(prefix.length);
    const known = directory.get(id);
    if (event.kind === 'removed') {
      if (known)
        log('database_unlisted', {database: id, service: known.service});
      return this.removeDatabase(directory, id);
    }
    const entry = decode(id, event.value);
    if (!entry) {
      log('database_entry_invalid', {database: id});
      if (known) this.former.recordUnlisted(known, this.nowMs());
      return removeEntry(directory, id, this.nowMs());
    }
    if (this.isRewriting && this.isOutdated(entry, known)) {
      log('database_entry_older', {database: id, revision: event.revision});
      this.hasIgnored = true;
      return directory;
    }
    return this.putDatabase(directory, entry, event.revision);
  }

  /** Whether an entry is one that its database has replaced or removed. */
  private isOutdated(
    entry: DatabaseEntry,
    known: KnownDatabase | undefined,
  ): boolean {
    if (known && known.missingSinceMs === undefined)
      return isNewerEntry(known, entry);
    const last = known ?? this.departed.get(entry.id);
    const isPresumedAlive = known?.isPresumedAlive === true;
    return last !== undefined && !isPresumedAlive && !isNewerEntry(entry, last);
  }

  private putDatabase(
    directory: Directory,
    entry: DatabaseEntry,
    revision: number,
  ): Directory {
    const {regionOfZone, log} = this.options;
    const known = directory.get(entry.id);
    const region = regionOfZone.get(entry.zone) ?? '';
    const place = {zone: entry.zone, region};
    this.former.recordListed(entry, known, this.nowMs());
    const hasChanged =
      known?.leaving !== entry.leaving || known.isLeader !== entry.isLeader;
    if (hasChanged) {
      log('database_listed', {
        database: entry.id,
        service: entry.service,
        zone: entry.zone,
        leads: entry.isLeader,
        leaving: entry.leaving,
        revision,
      });
    }
    return putEntry(directory, entry, place, revision, this.nowMs());
  }

  private removeDatabase(
    directory: Directory,
    id: string,
    isLost = false,
  ): Directory {
    const nowMs = this.nowMs();
    const isPresumedAlive = isLost || nowMs - this.failedAtMs < OUTAGE_GRACE_MS;
    const known = directory.get(id);
    if (known && !isPresumedAlive) this.former.recordUnlisted(known, nowMs);
    return removeEntry(directory, id, nowMs, isPresumedAlive);
  }
}
