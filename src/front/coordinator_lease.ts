/**
 * The coordinator lease (`duty` in store keys, logs and metrics): a lease on a
 * key in the store whose holder alone may order promotions. The key's revision
 * is the fencing token; rewriting the key gives a higher one.
 */
import {Subscription} from 'rxjs';
import {
  KeyValueStore,
  StoredItem,
  StoreFaultKind,
} from '../store/key_values.js';
import {eraOf, isSameWrite} from '../core/store_revision.js';
import {ageMs, ClockReading} from '../core/freshness.js';
import {readClocks, StoreFeed} from './store_feed.js';
import {JsonLog} from './json_log.js';

export interface CoordinatorLeaseOptions {
  readonly self: string;
  readonly key: string;
  readonly store: KeyValueStore;
  readonly feed: StoreFeed;
  /** Shortest duration of a lease that the store grants. */
  readonly minLeaseMs: number;
  /** Position of this front among the candidates; 0 tries first. */
  readonly rank: () => number;
  /** Whether this front may acquire the lease now. */
  readonly mayHold: () => boolean;
  readonly log: JsonLog;
}

const LEASE_TTL_MS = 2_500;
const RENEW_INTERVAL_MS = 800;
/** Delay between the attempts of two consecutive candidates. */
const RANK_DELAY_MS = 250;
/** Fraction of the lease after which it is no longer relied on. */
const RELIED_FRACTION = 0.8;
/** Pause before a failed write is sent again. */
const WRITE_RETRY_DELAY_MS = 60;

/** Holds the coordinator lease, or waits until it can be acquired. */
export class CoordinatorLease {
  private leaseId = 0;
  /**
   * Revision at which this front wrote the key; 0 when the lease is not held.
   */
  private fencingToken = 0;
  /**
   * Revision of that write in the store's present era; differs from the token
   * after a restore.
   */
  private keyRevision = 0;
  /**
   * When the last successful grant or renewal was sent; the lease runs at least
   * from then.
   */
  private renewedAt: ClockReading | undefined;
  private acquiredAtMs = 0;
  private tenureCount = 0;
  private ttlMs = LEASE_TTL_MS;
  private isAcquiring = false;
  /** The write of the key that is under way to raise the fencing token. */
  private raise: Promise<number | undefined> | undefined;
  private retryTimer: NodeJS.Timeout | undefined;
  private readonly timer: NodeJS.Timeout;
  private readonly subscription: Subscription;
  private isStopped = false;

  private constructor(private readonly options: CoordinatorLeaseOptions) {
    this.subscription = options.feed.fleetItems$.subscribe(() =>
      this.checkKey(),
    );
    this.timer = setInterval(() => void this.renew(), RENEW_INTERVAL_MS);
  }

  static create(options: CoordinatorLeaseOptions): CoordinatorLease {
    return new CoordinatorLease(options);
  }

  /** Whether this front certainly still holds the lease. */
  get isHeld(): boolean {
    if (this.fencingToken === 0 || !this.renewedAt) return false;
    const heldMs = ageMs(this.renewedAt, readClocks());
    return heldMs < this.ttlMs * RELIED_FRACTION;
  }

  /**
   * How long the lease has been held without interruption; 0 when it is not.
   */
  get heldForMs(): number {
    return this.isHeld ? performance.now() - this.acquiredAtMs : 0;
  }

  /**
   * Identifies the time for which this front holds the lease without
   * interruption; undefined when it does not hold it. What was found in one
   * tenure may not hold in the next, as another front may have acted between.
   */
  get tenure(): number | undefined {
    return this.isHeld ? this.tenureCount : undefined;
  }

  /** VM that holds the lease, according to this front's view of the store. */
  get holder(): string | undefined {
    const {feed, key} = this.options;
    return feed.fleetItems$.value.get(key)?.value.toString('utf8');
  }

  /** Fencing token in force; undefined when the lease is not held. */
  get currentFencingToken(): number | undefined {
    return this.isHeld ? this.fencingToken : undefined;
  }

  /**
   * Rewrites the key to get a higher fencing token, so that orders still in
   * progress are rejected. Calls at the same time share one write. Resolves to
   * undefined if that fails.
   */
  raiseFencingToken(): Promise<number | undefined> {
    this.raise ??= this.rewriteKey().finally(() => (this.raise = undefined));
    return this.raise;
  }

  private async rewriteKey(): Promise<number | undefined> {
    const {tenure} = this;
    if (tenure === undefined) return undefined;
    const {key, store, self} = this.options;
    const result = await store.commit({
      expected: [{key, revision: this.keyRevision}],
      writes: [{key, value: self, leaseId: this.leaseId}],
      removals: [],
    });
    if (this.tenure !== tenure) return undefined;
    if (result.isOk()) {
      this.fencingToken = result.value;
      this.keyRevision = result.value;
      this.options.log('fence_raised', {fence: this.fencingToken});
      return this.fencingToken;
    }
    if (result.error.kind !== StoreFaultKind.notApplied)
      this.markLost('could not raise the fencing token');
    return undefined;
  }

  /**
   * Writes an item only while the lease is held, retrying failed writes.
   * Resolves to the item's revision, or to undefined once the lease is lost.
   * With `itemRevision`, the item must be at that revision: a write without an
   * answer may be executed after newer ones, and must not replace them then.
   * Resolves to undefined if another write has changed it.
   */
  async write(
    key: string,
    value: string,
    itemRevision?: number,
  ): Promise<number | undefined> {
    const {store, log} = this.options;
    const item =
      itemRevision === undefined ? [] : [{key, revision: itemRevision}];
    while (this.isHeld) {
      const revision = this.keyRevision;
      const result = await store.commit({
        expected: [{key: this.options.key, revision}, ...item],
        writes: [{key, value, leaseId: 0}],
        removals: [],
      });
      if (result.isOk()) return result.value;
      const {kind, message} = result.error;
      log('duty_write_failed', {key, kind, text: message});
      if (kind === StoreFaultKind.conflict) {
        const written = await this.changedItem(key, itemRevision);
        // The first attempt was executed although it got no answer.
        if (written)
          return written.value.toString('utf8') === value
            ? written.revision
            : undefined;
        await this.raise;
        // This front has rewritten the key itself meanwhile: try again.
        if (this.keyRevision === revision) this.markLost('superseded');
      } else await new Promise(done => setTimeout(done, WRITE_RETRY_DELAY_MS));
    }
    return undefined;
  }

  /** Returns an item if it is no longer at a revision. */
  private async changedItem(
    key: string,
    revision: number | undefined,
  ): Promise<StoredItem | undefined> {
    if (revision === undefined) return undefined;
    const listed = await this.options.store.list(key);
    if (listed.isErr()) return undefined;
    const item = listed.value.items.find(found => found.key === key);
    return item && item.revision !== revision ? item : undefined;
  }

  /** Stops renewing and revokes the lease. */
  async release(): Promise<void> {
    this.isStopped = true;
    clearInterval(this.timer);
    clearTimeout(this.retryTimer);
    this.subscription.unsubscribe();
    const {leaseId} = this;
    this.markLost('released');
    if (leaseId !== 0) await this.options.store.revoke(leaseId);
  }

  /**
   * Reacts to the present state of the key: schedules an acquisition when it is
   * missing, and notices when another front has taken it.
   */
  private checkKey(): void {
    const {feed, key, rank} = this.options;
    const item = feed.fleetItems$.value.get(key);
    if (this.fencingToken > 0) this.checkOwnKey(item);
    if (item) {
      clearTimeout(this.retryTimer);
      this.retryTimer = undefined;
      return;
    }
    if (this.fencingToken > 0 && this.isHeld) return;
    if (this.retryTimer || this.isStopped || feed.config === undefined) return;
    this.retryTimer = setTimeout(() => {
      this.retryTimer = undefined;
      void this.acquire();
    }, rank() * RANK_DELAY_MS);
  }

  /** Gives up the lease if the key is not as this front wrote it. */
  private checkOwnKey(item: StoredItem | undefined): void {
    const {feed, self} = this.options;
    // The view may not include the write yet.
    if (feed.knownRevision < this.keyRevision) return;
    if (!item) return this.markLost('key removed');
    if (item.revision <= this.keyRevision) return;
    const isOwn = item.value.toString('utf8') === self;
    // The store was restored from a copy that includes this front's lease.
    if (isOwn && isSameWrite(item.revision, this.keyRevision))
      this.keyRevision = item.revision;
    // The view may show the write that raises the token before its answer.
    else if (!isOwn || !this.raise) this.markLost('superseded');
  }

  private async acquire(): Promise<void> {
    const {feed, key, store, self, minLeaseMs} = this.options;
    const isTaken = feed.fleetItems$.value.has(key) || this.isHeld;
    if (
      isTaken ||
      this.isAcquiring ||
      this.isStopped ||
      !this.options.mayHold()
    ) {
      return;
    }
    this.isAcquiring = true;
    const startedAt = readClocks();
    const lease = await store.grant(Math.max(minLeaseMs, LEASE_TTL_MS));
    if (lease.isOk()) {
      const {leaseId, ttlMs} = lease.value;
      const result = await store.commit({
        expected: [{key, revision: 0}],
        writes: [{key, value: self, leaseId}],
        removals: [],
      });
      if (result.isOk() && eraOf(result.value) === feed.era) {
        this.leaseId = leaseId;
        this.ttlMs = ttlMs;
        this.fencingToken = result.value;
        this.keyRevision = result.value;
        this.renewedAt = startedAt;
        this.acquiredAtMs = startedAt.steadyMs;
        this.tenureCount++;
        this.options.log('duty_taken', {fence: this.fencingToken, ttlMs});
      } else {
        const text = result.isErr()
          ? result.error.message
          : 'the store was restored meanwhile';
        this.options.log('duty_missed', {text});
        void store.revoke(leaseId);
      }
    }
    this.isAcquiring = false;
    if (this.fencingToken === 0)
      setTimeout(() => this.checkKey(), RANK_DELAY_MS);
  }

  private async renew(): Promise<void> {
    if (this.fencingToken === 0) return this.checkKey();
    const startedAt = readClocks();
    const {leaseId} = this;
    const result = await this.options.store.renew(leaseId);
    // A reply about an earlier lease says nothing about the present one.
    if (this.leaseId !== leaseId) return;
    if (result.isOk()) this.renewedAt = startedAt;
    else if (result.error.kind === StoreFaultKind.leaseNotFound) {
      this.markLost('lease ended');
    }
  }

  private markLost(reason: string): void {
    if (this.fencingToken > 0)
      this.options.log('duty_lost', {fence: this.fencingToken, reason});
    this.fencingToken = 0;
    this.keyRevision = 0;
    this.leaseId = 0;
    this.renewedAt = undefined;
  }
}
