/**
 * Tells when the store can be relied on after it was restored from a copy.
 * Fronts may act for a while on what the store has lost: a coordinator lease, or
 * a registration that others do not see. A process that starts meanwhile cannot
 * tell how long ago the restore was, so the holder of the coordinator lease
 * marks an era as settled in the store once that time has passed.
 */
import {StoredItem} from '../store/key_values.js';

/** What is needed of this front's view of the store. */
export interface EraSource {
  /** Present era of the store; 0 if the store does not report eras. */
  readonly era: number;
  /** Era of the first list of this process. */
  readonly eraAtStart: number;
  /** Steady time of the first list of this era; undefined before it. */
  readonly eraSeenAtMs: number | undefined;
  readonly fleetItems$: {readonly value: ReadonlyMap<string, StoredItem>};
  readonly fleetItemsAtStart: ReadonlyMap<string, StoredItem>;
}

export interface StoreEraOptions {
  readonly source: EraSource;
  /** Key of the mark. */
  readonly key: string;
  /** Whether no front of the fleet can have run before. */
  readonly isFirstStart: boolean;
  /**
   * Writes an item while this front holds the coordinator lease; resolves to
   * its revision, or to undefined if the lease is lost.
   */
  readonly write: (key: string, value: string) => Promise<number | undefined>;
  readonly isLeaseHeld: () => boolean;
  /** Steady clock in milliseconds; `performance.now` by default. */
  readonly nowMs?: () => number;
}

/** Longer than any front relies on a coordinator lease of an earlier era. */
const FORMER_LEASE_MS = 2_500;
/** Longer than any front relies on a registration of an earlier era. */
const SETTLING_MS = 6_000;
const CHECK_INTERVAL_MS = 1_000;

/** Whether an item marks an era; the value of a mark is the era's number. */
export const isMarked = (
  items: ReadonlyMap<string, StoredItem>,
  key: string,
  era: number,
): boolean => items.get(key)?.value.toString('utf8') === String(era);

/** The present era of the store, as this front has seen it. */
export class StoreEra {
  private isMarking = false;
  private readonly timer: NodeJS.Timeout;
  private readonly nowMs: () => number;

  private constructor(private readonly options: StoreEraOptions) {
    this.nowMs = options.nowMs ?? (() => performance.now());
    this.timer = setInterval(() => void this.mark(), CHECK_INTERVAL_MS);
  }

  static create(options: StoreEraOptions): StoreEra {
    return new StoreEra(options);
  }

  /**
   * Whether the items that were listed first can be relied on to include all
   * that running fronts wrote.
   */
  get wasSettledAtStart(): boolean {
    const {source, key, isFirstStart} = this.options;
    const {eraAtStart, fleetItemsAtStart} = source;
    if (isFirstStart || eraAtStart === 0) return true;
    return isMarked(fleetItemsAtStart, key, eraAtStart);
  }

  /** Whether no front can still rely on a coordinator lease that is lost. */
  get isFormerLeaseOver(): boolean {
    // A process without memory does not know the fronts whose entries are lost.
    const isKnown = this.wasSettledAtStart;
    return this.isSettled || (isKnown && this.seenForMs >= FORMER_LEASE_MS);
  }

  /** Whether no front can still rely on a registration that is lost. */
  get isSettled(): boolean {
    const {era, eraAtStart} = this.options.source;
    const isSinceStart = era === eraAtStart && this.wasSettledAtStart;
    return isSinceStart || this.seenForMs >= SETTLING_MS;
  }

  close(): void {
    clearInterval(this.timer);
  }

  private get seenForMs(): number {
    const {eraSeenAtMs} = this.options.source;
    return eraSeenAtMs === undefined ? 0 : this.nowMs() - eraSeenAtMs;
  }

  private async mark(): Promise<void> {
    const {source, key, write, isLeaseHeld} = this.options;
    const {era} = source;
    const isDue = era > 0 && this.seenForMs >= SETTLING_MS && isLeaseHeld();
    if (!isDue || this.isMarking) return;
    if (isMarked(source.fleetItems$.value, key, era)) return;
    this.isMarking = true;
    await write(key, String(era));
    this.isMarking = false;
  }
}
