/**
 * Keeps the records of each service's databases in the store while this front
 * holds the coordinator lease; see `core/member_records.ts`.
 */
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
  readonly serviceNames: () => readonly string[];
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
  /** Writes an item while the lease is held. */
  readonly write: (key: string, value: string) => Promise<number | undefined>;
  readonly log: JsonLog;
}

const CHECK_INTERVAL_MS = 250;
const MAX_WRITES = 8;

export class MemberRecorder {
  /** Services whose record is being written. */
  private readonly writing = new Set<string>();
  /** Last text that was written, which the view may not show yet. */
  private readonly written = new Map<
    string,
    {text: string; revision: number}
  >();
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
    const {isLeaseHeld, serviceNames} = this.options;
    if (!isLeaseHeld()) return this.written.clear();
    for (const service of serviceNames()) this.record(service);
  }

  /** Writes a service's record if it differs from the stored one. */
  private record(service: string): void {
    const {prefix, knowsMembers, membersToRecord, era, write, log} =
      this.options;
    const isBusy = this.writing.has(service) || this.writing.size >= MAX_WRITES;
    if (isBusy || !knowsMembers(service)) return;
    const members = membersToRecord(service);
    if (members.length === 0) return;
    const key = memberRecordKey(prefix, service);
    const text = encodeMemberRecord({service, era: era(), members});
    if (text === this.textOf(key)) return;
    this.writing.add(service);
    void write(key, text)
      .then(revision => {
        if (revision === undefined) return;
        this.written.set(key, {text, revision});
        const starts = members.map(({start}) => start);
        log('member_record_written', {service, members: starts, revision});
      })
      .finally(() => this.writing.delete(service));
  }

  /** Text of a record that is stored, as far as this front knows. */
  private textOf(key: string): string | undefined {
    const stored = this.options.storedItems().get(key);
    const written = this.written.get(key);
    return written && written.revision > (stored?.revision ?? 0)
      ? written.text
      : stored?.value.toString('utf8');
  }
}
