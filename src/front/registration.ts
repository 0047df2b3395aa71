/**
 * Keeps this front's entry in the store under a lease, and the secret with
 * which fronts authenticate one another.
 */
import {randomBytes} from 'node:crypto';
import {Result} from 'neverthrow';
import {Subscription} from 'rxjs';
import {ageMs, ClockReading} from '../core/freshness.js';
import {FrontMember} from '../core/fronts.js';
import {eraOf, isSameWrite} from '../core/store_revision.js';
import {
  KeyValueStore,
  StoredItem,
  StoreFault,
  StoreFaultKind,
} from '../store/key_values.js';
import {readClocks, StoreFeed} from './store_feed.js';
import {frontEntryKey} from './front_list.js';
import {JsonLog} from './json_log.js';

/**
 * What a front registers itself as (`member`), and under which key prefix of
 * the store.
 */
export interface RegistrationOptions {
  readonly member: FrontMember;
  readonly prefix: string;
  readonly store: KeyValueStore;
  readonly feed: StoreFeed;
  readonly log: JsonLog;
}

/**
 * Longer than a view stays fresh, so that a front has stopped serving before
 * its entry expires.
 */
const LEASE_TTL_MS = 6_000;
const RENEW_INTERVAL_MS = 2_000;
/** Pause before a failed renewal is sent again. */
const RENEW_RETRY_DELAY_MS = 400;
/** Safety margin before the end of the lease, in which it is not relied on. */
const LEASE_MARGIN_MS = 200;
const CHECK_INTERVAL_MS = 500;
const SECRET_BYTES = 24;

/** An entry that this process has written. */
interface WrittenEntry {
  readonly revision: number;
  readonly leaseId: number;
  readonly leaving: boolean;
  /** Revision since which an entry has existed under the lease. */
  readonly sinceRevision?: number;
}

/** The first time that a process wrote its VM's entry. */
export interface FirstWrite {
  /** When the store had answered, on the monotonic clock. */
  readonly atMs: number;
  /**
   * Whether it replaced the entry of an earlier process, so that other fronts
   * have known this VM all along.
   */
  readonly foundEntry: boolean;
}

const isConflict = (result: Result<number, StoreFault>): boolean =>
  result.isErr() && result.error.kind === StoreFaultKind.conflict;

const secretKey = (prefix: string): string => `${prefix}secret`;

/** Whether an item holds a secret as fronts write it. */
const isSecret = ({value}: StoredItem): boolean =>
  value.length === 2 * SECRET_BYTES &&
  /^[0-9a-f]*$/.test(value.toString('latin1'));

/** This front's entry in the store. */
export class Registration {
  private leaseId = 0;
  private isRegistering = false;
  private isStopped = false;
  private isLeaving = false;
  private lastSecret = '';
  /** The last item that was read for the secret. */
  private secretItem: StoredItem | undefined;
  /**
   * The entry as last written; undefined before, once its lease has ended, and
   * while it is not known whether a write of it was executed.
   */
  private written: WrittenEntry | undefined;
  /** Whether this process has found the entry to be missing. */
  private wasMissing = false;
  private firstWriteOfProcess: FirstWrite | undefined;
  /**
   * When the last successful grant or renewal was sent; the lease runs at least
   * from then.
   */
  private leaseRunsFrom: ClockReading | undefined;
  private readonly timers: NodeJS.Timeout[] = [];
  private retryTimer: NodeJS.Timeout | undefined;
  private readonly subscription: Subscription;

  private constructor(private readonly options: RegistrationOptions) {
    this.timers.push(
      setInterval(() => void this.renew(), RENEW_INTERVAL_MS),
      setInterval(() => void this.ensureRegistered(), CHECK_INTERVAL_MS),
    );
    this.subscription = options.feed.config$.subscribe(
      () => void this.ensureRegistered(),
    );
    this.subscription.add(
      options.feed.fleetItems$.subscribe(items => {
        this.readSecret(items.get(secretKey(options.prefix)));
        // The last attempt may have failed because the view was too old.
        if (!this.written) void this.ensureRegistered();
      }),
    );
  }

  static create(options: RegistrationOptions): Registration {
    return new Registration(options);
  }

  /** Key of this front's entry. */
  get entryKey(): string {
    const {prefix, member} = this.options;
    return frontEntryKey(prefix, member.vm);
  }

  /**
   * Whether the lease certainly still keeps the entry, although the feed may
   * show it longer. An entry of an earlier process is kept by another lease.
   */
  get isLeaseValid(): boolean {
    const {leaseId, leaseRunsFrom, written} = this;
    if (leaseId === 0 || !leaseRunsFrom || written?.leaseId !== leaseId) {
      return false;
    }
    return (
      !this.isSuperseded &&
      ageMs(leaseRunsFrom, readClocks()) < LEASE_TTL_MS - LEASE_MARGIN_MS
    );
  }

  /** When this process first wrote the entry; undefined before. */
  get firstWrite(): FirstWrite | undefined {
    return this.firstWriteOfProcess;
  }

  /** Whether the view includes the last write of the entry. */
  get isWriteInView(): boolean {
    const {written} = this;
    return (
      written !== undefined &&
      this.options.feed.knownRevision >= written.revision
    );
  }

  /**
   * Whether the view includes the first write under the present lease: other
   * fronts have known this one since, also while a later write is under way.
   */
  get isRegistrationInView(): boolean {
    const {written} = this;
    const since = written?.sinceRevision;
    return since !== undefined && this.options.feed.knownRevision >= since;
  }

  /**
   * Secret that all fronts share; empty until it is known. Kept while a
   * restored store does not hold it.
   */
  get secret(): string {
    return this.lastSecret;
  }

  /** Takes the secret from its item, unless another writer has left it. */
  private readSecret(item: StoredItem | undefined): void {
    if (item === undefined || item === this.secretItem) return;
    this.secretItem = item;
    if (isSecret(item)) this.lastSecret = item.value.toString('latin1');
    else this.options.log('secret_invalid', {revision: item.revision});
  }

  /**
   * Marks the entry as leaving, that is, about to shut down, so that other
   * fronts send no new work here.
   */
  async announceLeaving(): Promise<void> {
    this.isLeaving = true;
    await this.ensureRegistered();
  }

  /** Stops renewing and revokes the lease, which removes the entry. */
  async close(): Promise<void> {
    this.isStopped = true;
    this.timers.forEach(timer => clearInterval(timer));
    clearTimeout(this.retryTimer);
    this.subscription.unsubscribe();
    const {leaseId} = this;
    this.leaseId = 0;
    if (leaseId !== 0) await this.options.store.revoke(leaseId);
  }

  private get isEntryVisible(): boolean {
    const {listed, written} = this;
    return (
      listed !== undefined &&
      written !== undefined &&
      isSameWrite(listed.revision, written.revision)
    );
  }

  /** Entry under this front's key in the view, whoever wrote it. */
  private get listed(): StoredItem | undefined {
    return this.options.feed.fleetItems$.value.get(this.entryKey);
  }

  /**
   * Whether a process that was started later under the same name has replaced
   * the entry: writes are conditional, so that process has seen this one's.
   */
  private get isSuperseded(): boolean {
    const {listed, written} = this;
    return (
      listed !== undefined &&
      written !== undefined &&
      listed.revision > written.revision &&
      eraOf(listed.revision) === eraOf(written.revision)
    );
  }

  /**
   * Writes the entry if it is missing, as at start, after its lease expired or
   * after a restore of the store.
   */
  private async ensureRegistered(): Promise<void> {
    const {feed} = this.options;
    const {written} = this;
    const isMissing =
      this.isWriteInView && !this.isEntryVisible && !this.isSuperseded;
    const isDue = !written || written.leaving !== this.isLeaving || isMissing;
    if (this.isRegistering || this.isStopped || feed.isStoreFailing) return;
    if (!isDue || feed.config === undefined) return;
    this.isRegistering = true;
    await this.register();
    this.isRegistering = false;
  }

  private async register(): Promise<void> {
    const {store, prefix, member, feed} = this.options;
    if (this.leaseId === 0) {
      const sentAt = readClocks();
      const lease = await store.grant(LEASE_TTL_MS);
      if (lease.isErr()) return;
      this.leaseRunsFrom = sentAt;
      this.leaseId = lease.value.leaseId;
    }
    const {isLeaving: leaving, leaseId} = this;
    const value = JSON.stringify({...member, leaving});
    const entry = {key: this.entryKey, value, leaseId};
    // Fails writes of earlier processes that the store executes late.
    const condition = {key: this.entryKey, revision: this.presentRevision};
    this.wasMissing ||= condition.revision === 0;
    const stored = feed.fleetItems$.value.get(secretKey(prefix));
    let result: Result<number, StoreFault> | undefined;
    if (!stored || !isSecret(stored)) {
      const text = this.secret || randomBytes(SECRET_BYTES).toString('hex');
      const secret = {key: secretKey(prefix), value: text, leaseId: 0};
      // The entry comes last, because the store returns the revision of the
      // last write.
      result = await store.commit({
        expected: [
          {key: secret.key, revision: stored?.revision ?? 0},
          condition,
        ],
        writes: [secret, entry],
        removals: [],
      });
    }
    // After a conflict another front has written the secret; the feed will
    // deliver it.
    if (!result || isConflict(result)) {
      result = await store.commit({
        expected: [condition],
        writes: [entry],
        removals: [],
      });
    }
    if (result.isOk()) {
      return this.recordWritten({revision: result.value, leaseId, leaving});
    }
    const {kind} = result.error;
    if (kind === StoreFaultKind.leaseNotFound) this.leaseId = 0;
    if (kind === StoreFaultKind.unknown) this.written = undefined;
  }

  /** Revision of the entry in the store as far as known; 0 if it is missing. */
  private get presentRevision(): number {
    const {written, listed} = this;
    return written && !this.isWriteInView
      ? written.revision
      : (listed?.revision ?? 0);
  }

  private recordWritten(written: WrittenEntry): void {
    const {revision, leaving, leaseId} = written;
    const former = this.written;
    const isContinued =
      former?.sinceRevision !== undefined &&
      former.leaseId === leaseId &&
      eraOf(former.sinceRevision) === eraOf(revision);
    const sinceRevision = isContinued ? former.sinceRevision : revision;
    this.written = {...written, sinceRevision};
    this.firstWriteOfProcess ??= {
      atMs: performance.now(),
      foundEntry: !this.wasMissing,
    };
    this.options.log('registered', {revision, leaving});
  }

  private async renew(isRetry = false): Promise<void> {
    const {leaseId} = this;
    if (leaseId === 0 || this.isStopped) return;
    const sentAt = readClocks();
    const result = await this.options.store.renew(leaseId);
    // A reply about an earlier lease says nothing about the present one.
    if (this.leaseId !== leaseId) return;
    if (result.isOk()) this.leaseRunsFrom = sentAt;
    else if (result.error.kind === StoreFaultKind.leaseNotFound) {
      this.options.log('registration_lapsed', {leaseId});
      this.leaseId = 0;
      this.written = undefined;
    } else if (!isRetry) {
      this.retryTimer = setTimeout(
        () => void this.renew(true),
        RENEW_RETRY_DELAY_MS,
      );
    }
  }
}
