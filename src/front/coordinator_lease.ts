/**
 * The duty to change primaries: one front at a time holds it by a leased key.
 * The key's revision is the fence; rewriting the key gives a higher one.
 */
import {Subscription} from 'rxjs';
import {KeyValues, StoreFaultKind} from '../store/key_values.js';
import {ageMs, ClockReading} from '../core/freshness.js';
import {readClocks, StoreFeed} from './store_feed.js';
import {JsonLog} from './json_log.js';

/** What the duty needs. */
export interface CoordinatorLeaseOptions {
  readonly self: string;
  readonly key: string;
  readonly store: KeyValues;
  readonly feed: StoreFeed;
  readonly minLeaseMs: number;
  /** Place of this front in the order of candidates; 0 tries first. */
  readonly rank: () => number;
  readonly mayHold: () => boolean;
  readonly log: JsonLog;
}

const LEASE_MS = 2_500;
const RENEW_INTERVAL_MS = 800;
/** Candidates follow one another at this distance. */
const RANK_DELAY_MS = 250;
/** Part of the lease after which it is no longer relied on. */
const RELIED_PART = 0.8;
/** Pause before a write without an answer is sent again. */
const WRITE_RETRY_MS = 60;

/** Holds the duty, or waits for it. */
export class CoordinatorLease {
  private leaseId = 0;
  private fence = 0;
  /** When the call was sent from which the lease runs at least. */
  private renewedAt: ClockReading | undefined;
  private takenAtMs = 0;
  private leaseMs = LEASE_MS;
  private acquiring = false;
  private retryTimer: NodeJS.Timeout | undefined;
  private readonly timer: NodeJS.Timeout;
  private readonly subscription: Subscription;
  private stopped = false;

  private constructor(private readonly options: CoordinatorLeaseOptions) {
    this.subscription = options.feed.fleetItems$.subscribe(() =>
      this.consider(),
    );
    this.timer = setInterval(() => void this.renew(), RENEW_INTERVAL_MS);
  }

  static create(options: CoordinatorLeaseOptions): CoordinatorLease {
    return new CoordinatorLease(options);
  }

  /** Whether the lease is certainly still ours. */
  get isHeld(): boolean {
    if (this.fence === 0 || !this.renewedAt) return false;
    const heldMs = ageMs(this.renewedAt, readClocks());
    return heldMs < this.leaseMs * RELIED_PART;
  }

  /** For how long the duty has been held without a break. */
  get heldForMs(): number {
    return this.isHeld ? performance.now() - this.takenAtMs : 0;
  }

  /** VM that holds the duty, as far as the store told. */
  get holder(): string | undefined {
    const {feed, key} = this.options;
    return feed.fleetItems$.value.get(key)?.value.toString('utf8');
  }

  /** The fence in force; undefined when the duty is not held. */
  get currentFencingToken(): number | undefined {
    return this.isHeld ? this.fence : undefined;
  }

  /** A fence above all before, so that orders still under way are refused. */
  async raiseFencingToken(): Promise<number | undefined> {
    if (!this.isHeld) return undefined;
    const {key, store, self} = this.options;
    const answer = await store.change({
      expected: [{key, revision: this.fence}],
      writes: [{key, value: self, leaseId: this.leaseId}],
      removals: [],
    });
    if (answer.isOk()) {
      this.fence = answer.value;
      this.options.log('fence_raised', {fence: this.fence});
      return this.fence;
    }
    if (answer.error.kind !== StoreFaultKind.notDone) this.lose('fence moved');
    return undefined;
  }

  /**
   * Writes an item while the duty is held, and only then. Resolves to its
   * revision; undefined once the duty is no longer held.
   */
  async write(key: string, value: string): Promise<number | undefined> {
    while (this.isHeld) {
      const answer = await this.options.store.change({
        expected: [{key: this.options.key, revision: this.fence}],
        writes: [{key, value, leaseId: 0}],
        removals: [],
      });
      if (answer.isOk()) return answer.value;
      const {kind, message} = answer.error;
      this.options.log('duty_write_failed', {key, kind, text: message});
      if (kind === StoreFaultKind.conflict) this.lose('superseded');
      else await new Promise(done => setTimeout(done, WRITE_RETRY_MS));
    }
    return undefined;
  }

  /** Gives the duty up. */
  async release(): Promise<void> {
    this.stopped = true;
    clearInterval(this.timer);
    clearTimeout(this.retryTimer);
    this.subscription.unsubscribe();
    const {leaseId} = this;
    this.lose('released');
    if (leaseId !== 0) await this.options.store.revoke(leaseId);
  }

  private consider(): void {
    const {feed, key, rank} = this.options;
    const item = feed.fleetItems$.value.get(key);
    if (item) {
      clearTimeout(this.retryTimer);
      this.retryTimer = undefined;
      if (this.fence > 0 && item.revision > this.fence) this.lose('superseded');
      return;
    }
    if (this.fence > 0 && this.isHeld) return;
    if (this.retryTimer || this.stopped || feed.config === undefined) return;
    this.retryTimer = setTimeout(() => {
      this.retryTimer = undefined;
      void this.acquire();
    }, rank() * RANK_DELAY_MS);
  }

  private async acquire(): Promise<void> {
    const {feed, key, store, self, minLeaseMs} = this.options;
    const taken = feed.fleetItems$.value.has(key) || this.isHeld;
    if (taken || this.acquiring || this.stopped || !this.options.mayHold()) {
      return;
    }
    this.acquiring = true;
    const startedAt = readClocks();
    const lease = await store.grant(Math.max(minLeaseMs, LEASE_MS));
    if (lease.isOk()) {
      const {leaseId, ttlMs} = lease.value;
      const answer = await store.change({
        expected: [{key, revision: 0}],
        writes: [{key, value: self, leaseId}],
        removals: [],
      });
      if (answer.isOk()) {
        this.leaseId = leaseId;
        this.leaseMs = ttlMs;
        this.fence = answer.value;
        this.renewedAt = startedAt;
        this.takenAtMs = startedAt.steadyMs;
        this.options.log('duty_taken', {fence: this.fence, ttlMs});
      } else {
        this.options.log('duty_missed', {text: answer.error.message});
        void store.revoke(leaseId);
      }
    }
    this.acquiring = false;
    if (this.fence === 0) setTimeout(() => this.consider(), RANK_DELAY_MS);
  }

  private async renew(): Promise<void> {
    if (this.fence === 0) return this.consider();
    const startedAt = readClocks();
    const answer = await this.options.store.renew(this.leaseId);
    if (this.fence === 0) return;
    if (answer.isOk()) this.renewedAt = startedAt;
    else if (answer.error.kind === StoreFaultKind.leaseGone) {
      this.lose('lease ended');
    }
  }

  private lose(reason: string): void {
    if (this.fence > 0)
      this.options.log('duty_lost', {fence: this.fence, reason});
    this.fence = 0;
    this.leaseId = 0;
    this.renewedAt = undefined;
  }
}
