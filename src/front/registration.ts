/**
 * Keeps this front registered in the store by a leased key, and the secret that
 * fronts share to know one another.
 */
import {randomBytes} from 'node:crypto';
import {Subscription} from 'rxjs';
import {ageMs, ClockReading} from '../core/freshness.js';
import {FrontMember} from '../core/fronts.js';
import {KeyValues, StoreFaultKind} from '../store/key_values.js';
import {readClocks, StoreFeed} from './store_feed.js';
import {frontEntryKey} from './front_list.js';
import {JsonLog} from './json_log.js';

/** What a registration needs. */
export interface RegistrationOptions {
  readonly member: FrontMember;
  readonly prefix: string;
  readonly store: KeyValues;
  readonly feed: StoreFeed;
  readonly log: JsonLog;
}

/** Longer than any proof: a front that stopped renewing serves no more. */
const LEASE_MS = 6_000;
const RENEW_INTERVAL_MS = 2_000;
/** Pause before a renewal without an answer is sent again. */
const RENEW_RETRY_MS = 400;
/** Time before the end of the lease from which it is not relied on. */
const LEASE_MARGIN_MS = 200;
const RETRY_MS = 500;
const SECRET_BYTES = 24;

const secretKey = (prefix: string): string => `${prefix}secret`;

/** This front's entry in the store. */
export class Registration {
  private leaseId = 0;
  private busy = false;
  private stopped = false;
  private leaving = false;
  private writtenRevision = 0;
  /** When the call was sent from which the lease runs at least. */
  private coveredFrom: ClockReading | undefined;
  private readonly timers: NodeJS.Timeout[] = [];
  private retry: NodeJS.Timeout | undefined;
  private readonly following: Subscription;

  private constructor(private readonly options: RegistrationOptions) {
    this.timers.push(
      setInterval(() => void this.renew(), RENEW_INTERVAL_MS),
      setInterval(() => void this.ensure(), RETRY_MS),
    );
    this.following = options.feed.config$.subscribe(() => void this.ensure());
  }

  static create(options: RegistrationOptions): Registration {
    return new Registration(options);
  }

  /** Key of this front's entry. */
  get entryKey(): string {
    const {prefix, member} = this.options;
    return frontEntryKey(prefix, member.vm);
  }

  /** Whether the entry certainly still stands, whatever the feed shows. */
  get isLeaseValid(): boolean {
    if (this.leaseId === 0 || !this.coveredFrom) return false;
    return ageMs(this.coveredFrom, readClocks()) < LEASE_MS - LEASE_MARGIN_MS;
  }

  /** Secret that the fronts share; empty until known. */
  get secret(): string {
    const {feed, prefix} = this.options;
    const item = feed.fleetItems$.value.get(secretKey(prefix));
    return item?.value.toString('utf8') ?? '';
  }

  /** Tells the others that this front takes no new work. */
  async announceLeaving(): Promise<void> {
    this.leaving = true;
    this.writtenRevision = 0;
    await this.ensure();
  }

  /** Removes the entry. */
  async close(): Promise<void> {
    this.stopped = true;
    this.timers.forEach(timer => clearInterval(timer));
    clearTimeout(this.retry);
    this.following.unsubscribe();
    const {leaseId} = this;
    this.leaseId = 0;
    if (leaseId !== 0) await this.options.store.revoke(leaseId);
  }

  private get isListed(): boolean {
    const {feed} = this.options;
    const item = feed.fleetItems$.value.get(this.entryKey);
    return item !== undefined && item.revision >= this.writtenRevision;
  }

  /** Registers when the entry is missing, as at start or after a lapse. */
  private async ensure(): Promise<void> {
    const {feed} = this.options;
    // The view of the store may not have reached the entry yet.
    const isMissing =
      feed.knownRevision >= this.writtenRevision && !this.isListed;
    const due = this.writtenRevision === 0 || isMissing;
    if (this.busy || this.stopped || feed.isStoreFailing) return;
    if (!due || feed.config === undefined) return;
    this.busy = true;
    await this.register();
    this.busy = false;
  }

  private async register(): Promise<void> {
    const {store, prefix, member, feed} = this.options;
    if (this.leaseId === 0) {
      const sentAt = readClocks();
      const lease = await store.grant(LEASE_MS);
      if (lease.isErr()) return;
      this.coveredFrom = sentAt;
      this.leaseId = lease.value.leaseId;
    }
    const value = JSON.stringify({...member, leaving: this.leaving});
    const entry = {
      key: this.entryKey,
      value,
      leaseId: this.leaseId,
    };
    const known = feed.fleetItems$.value.has(secretKey(prefix));
    const fresh = randomBytes(SECRET_BYTES).toString('hex');
    const secret = {key: secretKey(prefix), value: fresh, leaseId: 0};
    const answer = await store.change({
      expected: known ? [] : [{key: secretKey(prefix), revision: 0}],
      // The entry comes last: its revision is the one that is answered.
      writes: known ? [entry] : [secret, entry],
      removals: [],
    });
    if (answer.isOk()) this.noteWritten(answer.value);
    else if (answer.error.kind === StoreFaultKind.leaseGone) {
      this.leaseId = 0;
    } else if (answer.error.kind === StoreFaultKind.conflict) {
      // Another front has written the secret; the feed will show it.
      await this.registerAlone(entry);
    }
  }

  private async registerAlone(entry: {
    key: string;
    value: string;
    leaseId: number;
  }): Promise<void> {
    const answer = await this.options.store.change({
      expected: [],
      writes: [entry],
      removals: [],
    });
    if (answer.isOk()) this.noteWritten(answer.value);
  }

  private noteWritten(revision: number): void {
    this.writtenRevision = revision;
    const {leaving} = this;
    this.options.log('registered', {revision, leaving});
  }

  private async renew(isRetry = false): Promise<void> {
    const {leaseId} = this;
    if (leaseId === 0 || this.stopped) return;
    const sentAt = readClocks();
    const answer = await this.options.store.renew(leaseId);
    // The answer is of no use for another lease.
    if (this.leaseId !== leaseId) return;
    if (answer.isOk()) this.coveredFrom = sentAt;
    else if (answer.error.kind === StoreFaultKind.leaseGone) {
      this.options.log('registration_lapsed', {leaseId});
      this.leaseId = 0;
      this.writtenRevision = 0;
    } else if (!isRetry) {
      this.retry = setTimeout(() => void this.renew(true), RENEW_RETRY_MS);
    }
  }
}
