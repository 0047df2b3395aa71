/**
 * Keeps the records of each service's databases in the store while this front
 * holds the coordinator lease; see `core/member_records.ts`.
 */
import {Directory} from '../core/directory.js';
import {
  encodeMemberRecord,
  memberRecordKey,
  RecordedMember,
} from '../core/member_records.js';
import {StoredItem} from '../store/key_values.js';
import {JsonLog} from './json_log.js';

export interface MemberRecorderOptions {
  readonly prefix: string;
  readonly storedItems: () => ReadonlyMap<string, StoredItem>;
  readonly directory: () => Directory;
  readonly serviceNames: () => readonly string[];
  /** As `FormerMembers.services`. */
  readonly servicesWithFormer: () => ReadonlySet<string>;
  /** As `FormerMembers.toRecord`. */
  readonly membersToRecord: (service: string) => readonly RecordedMember[];
  /**
   * Whether no database of a service can have disappeared without this front's
   * knowledge.
   */
  readonly knowsMembers: (service: string) => boolean;
  /** Present era of the store. */
  readonly era: () => number;
  readonly isLeaseHeld: () => boolean;
  /** As `CoordinatorLease.write`. */
  readonly write: (
    key: string,
    value: string,
    itemRevision: number,
  ) => Promise<number | undefined>;
  readonly log: JsonLog;
}

const CHECK_INTERVAL_MS = 250;
/** How often all services are checked if the directory has not changed. */
const FULL_CHECK_INTERVAL_MS = 2_000;
/** Records that may be written at the same time. */
const MAX_WRITES = 8;

export class MemberRecorder {
  /** Services whose record is being written. */
  private readonly writing = new Set<string>();
  /** Last text that was written, which the view may not show yet. */
  private readonly written = new Map<
    string,
    {text: string; revision: number}
  >();
  /** Directory at the last check of all services; undefined to check again. */
  private checkedDirectory: Directory | undefined;
  private checkedAtMs = -Infinity;
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: MemberRecorderOptions) {
    this.timer = setInterval(() => this.run(), CHECK_INTERVAL_MS);
  }

  static create(options: MemberRecorderOptions): MemberRecorder {
    return new MemberRecorder(options);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private run(): void {
    const {isLeaseHeld, serviceNames, servicesWithFormer, directory} =
      this.options;
    if (!isLeaseHeld()) {
      this.checkedDirectory = undefined;
      return this.written.clear();
    }
    const present = directory();
    const nowMs = performance.now();
    const isFullCheck =
      present !== this.checkedDirectory ||
      nowMs - this.checkedAtMs >= FULL_CHECK_INTERVAL_MS;
    if (isFullCheck) {
      this.checkedDirectory = present;
      this.checkedAtMs = nowMs;
    }
    const services = isFullCheck ? serviceNames() : servicesWithFormer();
    for (const service of services) this.record(service);
  }

  /** Writes a service's record if it differs from the stored one. */
  private record(service: string): void {
    const {prefix, knowsMembers, membersToRecord, era, write, log} =
      this.options;
    if (this.writing.has(service) || !knowsMembers(service)) return;
    const members = membersToRecord(service);
    if (members.length === 0) return;
    const key = memberRecordKey(prefix, service);
    const text = encodeMemberRecord({service, era: era(), members});
    const known = this.known(key);
    if (text === known.text) return;
    if (this.writing.size >= MAX_WRITES) {
      this.checkedDirectory = undefined;
      return;
    }
    this.writing.add(service);
    // By the item's revision, as a write without an answer may be carried out
    // after the next one.
    void write(key, text, known.revision)
      .then(revision => {
        if (revision === undefined) return;
        this.written.set(key, {text, revision});
        const starts = members.map(({start}) => start);
        log('member_record_written', {service, members: starts, revision});
      })
      .catch(error =>
        log('member_record_error', {
          service,
          text: (error as Error).stack,
        }),
      )
      .finally(() => this.writing.delete(service));
  }

  /** A record that is stored, as far as this front knows. */
  private known(key: string): {text: string | undefined; revision: number} {
    const stored = this.options.storedItems().get(key);
    const written = this.written.get(key);
    const isNewer = written && written.revision > (stored?.revision ?? 0);
    return isNewer
      ? written
      : {
          text: stored?.value.toString('utf8'),
          revision: stored?.revision ?? 0,
        };
  }
}
