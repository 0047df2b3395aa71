/**
 * Decides whether this front accrues its rate shares, and from when. The shares
 * of all fronts must not add up to more than a rate, so a front that joins a
 * running fleet waits until the others know of it.
 */
import {Fronts} from '../core/fronts.js';
import {FirstWrite} from './registration.js';

export interface AccrualOptions {
  /** Name of this VM. */
  readonly self: string;
  /** Whether this front's view of the store is fresh. */
  readonly isViewFresh: () => boolean;
  /**
   * Fronts that were registered when the store was first listed; an earlier
   * process of this VM may be among them.
   */
  readonly frontsAtStart: () => Fronts;
  /**
   * Whether the fronts at the start include all running ones; false if the
   * store may have lost entries shortly before.
   */
  readonly wasSettledAtStart: () => boolean;
  /** When this process first wrote its entry; undefined before. */
  readonly firstWrite: () => FirstWrite | undefined;
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

  private constructor(private readonly options: AccrualOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
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
    const {isViewFresh, isLeaseValid} = this.options;
    return isViewFresh() && !this.hasJoinedRecently && isLeaseValid();
  }

  /**
   * Time from which this front has accrued the shares that it held when it
   * started: a restarted front that is still registered keeps them. Undefined if
   * it keeps none.
   */
  get keptSinceMs(): number | undefined {
    const isKept = this.options.wasSettledAtStart() && this.hasStayedMember;
    return isKept && this.nowMs() < JOIN_WAIT_MS ? PROCESS_START_MS : undefined;
  }

  /**
   * Whether the other fronts have counted this one as a share holder without
   * interruption. They have not if an earlier process announced that it leaves,
   * or if its entry had ended before this process wrote its own.
   */
  private get hasStayedMember(): boolean {
    const {frontsAtStart, firstWrite, self} = this.options;
    return (
      frontsAtStart().get(self)?.leaving === false &&
      firstWrite()?.foundEntry === true
    );
  }

  /**
   * Whether this front joined a running fleet within `JOIN_WAIT_MS`, or may have
   * joined one whose entries the store has lost.
   */
  private get hasJoinedRecently(): boolean {
    const {frontsAtStart, firstWrite, self, wasSettledAtStart} = this.options;
    const joinedAtMs = firstWrite()?.atMs;
    if (joinedAtMs === undefined) return true;
    if (this.nowMs() - joinedAtMs >= JOIN_WAIT_MS) return false;
    if (!wasSettledAtStart()) return true;
    const wasRunning = [...frontsAtStart().keys()].some(vm => vm !== self);
    return wasRunning && !this.hasStayedMember;
  }
}
