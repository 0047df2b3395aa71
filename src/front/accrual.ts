/**
 * Decides whether this front accrues its rate shares, and from when. The shares
 * of all fronts must not add up to more than a rate, so a front that joins a
 * running fleet waits until the others know of it.
 */
import {StoredItem} from '../store/key_values.js';

export interface AccrualOptions {
  /** This front's view of the store. */
  readonly view: {
    readonly isFresh: boolean;
    /** Items of fronts when the store was first listed. */
    readonly fleetItemsAtStart: ReadonlyMap<string, StoredItem>;
  };
  /** Prefix of the fronts' entries. */
  readonly entryPrefix: string;
  readonly entryKey: string;
  /**
   * Whether the items at the start include the entries of all running fronts;
   * false if the store may have lost some shortly before.
   */
  readonly wasSettledAtStart: () => boolean;
  /** Whether the lease certainly still keeps this front's entry. */
  readonly isLeaseValid: () => boolean;
  /** Steady clock in milliseconds; `performance.now` by default. */
  readonly nowMs?: () => number;
}

/** Value of the monotonic clock at process start. */
const PROCESS_START_MS = 0;
/**
 * Time after which every other front knows a new one or has stopped serving:
 * longer than a configuration may be used without confirmation.
 */
const JOIN_WAIT_MS = 5_500;

/** This front's right to accrue its rate shares. */
export class Accrual {
  private readonly nowMs: () => number;
  private readonly startedAtMs: number;

  private constructor(private readonly options: AccrualOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.startedAtMs = this.nowMs();
  }

  static create(options: AccrualOptions): Accrual {
    return new Accrual(options);
  }

  /**
   * Whether this front accrues its rate shares. It does not while its
   * configuration is stale or others may consider it unregistered, nor until
   * the fronts whose shares it takes over are sure to have seen its
   * registration.
   */
  get isAllowed(): boolean {
    const {view, isLeaseValid} = this.options;
    return view.isFresh && !this.hasJoinedRecently && isLeaseValid();
  }

  /**
   * Returns the time from which rate shares accrue. A front that was registered
   * before it restarted kept its shares, which accrue from the start of the
   * process.
   */
  startMs(): number {
    const {view, entryKey, wasSettledAtStart} = this.options;
    const nowMs = this.nowMs();
    const isRestart =
      wasSettledAtStart() && view.fleetItemsAtStart.has(entryKey);
    return isRestart && nowMs < JOIN_WAIT_MS ? PROCESS_START_MS : nowMs;
  }

  /**
   * Whether this front joined a running fleet within `JOIN_WAIT_MS`, or may have
   * joined one whose entries the store has lost.
   */
  private get hasJoinedRecently(): boolean {
    if (this.nowMs() - this.startedAtMs >= JOIN_WAIT_MS) return false;
    const {view, entryPrefix, entryKey, wasSettledAtStart} = this.options;
    if (!wasSettledAtStart()) return true;
    const wasRunning = [...view.fleetItemsAtStart.keys()].some(key =>
      key.startsWith(entryPrefix),
    );
    return wasRunning && !view.fleetItemsAtStart.has(entryKey);
  }
}
