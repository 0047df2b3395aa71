/**
 * Keeps this front's entry in the store under a lease, and the secret with
 * which fronts authenticate one another.
 */
import {randomBytes} from 'node:crypto';
import {Subscription} from 'rxjs';
import {ageMs, ClockReading} from '../core/freshness.js';
import {FrontMember} from '../core/fronts.js';
import {KeyValueStore, StoreFaultKind} from '../store/key_values.js';
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

const secretKey = (prefix: string): string => `${prefix}secret`;

/** This front's entry in the store. */
export class Registration {
  private leaseId = 0;
  private isRegistering = false;
  private isStopped = false;
  private isLeaving = false;
  private lastSecret = '';
  /** Revision of the entry as last written; 0 when it must be written. */
  private writtenRevision = 0;
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
        const item = items.get(secretKey(options.prefix));
        if (item) this.lastSecret = item.value.toString('utf8');
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
   * Whether the lease certainly still keeps the entry, whatever the feed shows.
   */
  get isLeaseValid(): boolean {
    if (this.leaseId === 0 || !this.leaseRunsFrom) return false;
    return (
      ageMs(this.leaseRunsFrom, readClocks()) < LEASE_TTL_MS - LEASE_MARGIN_MS
    );
  }

  /**
   * Secret that all fronts share; empty until it is known. Kept while a
   * restored store does not hold it.
   */
  get secret(): string {
    return this.lastSecret;
  }

  /**
   * Marks the entry as leaving, that is, about to shut down, so that other
   * fronts send no new work here.
   */
  async announceLeaving(): Promise<void> {
    this.isLeaving = true;
    this.writtenRevision = 0;
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
    const {feed} = this.options;
    const item = feed.fleetItems$.value.get(this.entryKey);
    return item !== undefined && item.revision >= this.writtenRevision;
  }

  /**
   * Writes the entry if it is missing, as at start or after its lease expired.
   */
  private async ensureRegistered(): Promise<void> {
    const {feed} = this.options;
    // The view of the store may not include the written entry yet.
    const isMissing =
      feed.knownRevision >= this.writtenRevision && !this.isEntryVisible;
    const isDue = this.writtenRevision === 0 || isMissing;
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
    const value = JSON.stringify({...member, leaving: this.isLeaving});
    const entry = {
      key: this.entryKey,
      value,
      leaseId: this.leaseId,
    };
    const hasSecret = feed.fleetItems$.value.has(secretKey(prefix));
    const secretText = this.secret || randomBytes(SECRET_BYTES).toString('hex');
    const secret = {key: secretKey(prefix), value: secretText, leaseId: 0};
    const result = await store.commit({
      expected: hasSecret ? [] : [{key: secretKey(prefix), revision: 0}],
      // The entry comes last, because the store returns the revision of the
      // last write.
      writes: hasSecret ? [entry] : [secret, entry],
      removals: [],
    });
    if (result.isOk()) this.recordWritten(result.value);
    else if (result.error.kind === StoreFaultKind.leaseNotFound) {
      this.leaseId = 0;
    } else if (result.error.kind === StoreFaultKind.conflict) {
      // Another front has written the secret; the feed will deliver it.
      await this.writeEntry(entry);
    }
  }

  private async writeEntry(entry: {
    key: string;
    value: string;
    leaseId: number;
  }): Promise<void> {
    const result = await this.options.store.commit({
      expected: [],
      writes: [entry],
      removals: [],
    });
    if (result.isOk()) this.recordWritten(result.value);
  }

  private recordWritten(revision: number): void {
    this.writtenRevision = revision;
    const {isLeaving: leaving} = this;
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
      this.writtenRevision = 0;
    } else if (!isRetry) {
      this.retryTimer = setTimeout(
        () => void this.renew(true),
        RENEW_RETRY_DELAY_MS,
      );
    }
  }
}
