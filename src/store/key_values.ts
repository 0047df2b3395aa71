/** The port to a key-value store with leases, revisions and watches. */
import {Result} from 'neverthrow';

/** One stored item. */
export interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the last change. */
  readonly revision: number;
}

/** One change, as a watch tells it. */
export type StoreEvent =
  | ({readonly kind: 'put'} & StoredItem)
  | {readonly kind: 'removed'; readonly key: string; readonly revision: number};

/** What is known of a call without the wanted result. */
export const StoreFaultKind = {
  /** Provably not done. */
  notApplied: 'not_done',
  /** May have been done, or may be done later. */
  unknown: 'unknown',
  /** A key was not at the expected revision; nothing was done. */
  conflict: 'conflict',
  /** The history asked for is no longer kept. */
  historyDiscarded: 'history_gone',
  /** No such lease. */
  leaseNotFound: 'lease_gone',
} as const;
export type StoreFaultKind =
  (typeof StoreFaultKind)[keyof typeof StoreFaultKind];

/** A call that failed. */
export interface StoreFault {
  readonly kind: StoreFaultKind;
  readonly message: string;
}

/** Result of a call to the store. */
export type StoreResult<T> = Promise<Result<T, StoreFault>>;

/** A change under a condition. */
export interface StoreTransaction {
  /** Revision that each key must have; 0: it does not exist. */
  readonly expected: ReadonlyArray<{
    readonly key: string;
    readonly revision: number;
  }>;
  readonly writes: ReadonlyArray<{
    readonly key: string;
    readonly value: string;
    /** 0: none. */
    readonly leaseId: number;
  }>;
  readonly removals: readonly string[];
}

/** Calls to the store. */
export interface KeyValueStore {
  /** All items below a prefix; not a snapshot. */
  list(
    prefix: string,
  ): StoreResult<{items: readonly StoredItem[]; revision: number}>;
  /** Changes after a revision, as soon as there is one, or none in time. */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): StoreResult<{events: readonly StoreEvent[]; revision: number}>;
  /** All or nothing; answers the revision. */
  commit(change: StoreTransaction): StoreResult<number>;
  grant(ttlMs: number): StoreResult<{leaseId: number; ttlMs: number}>;
  renew(leaseId: number): StoreResult<number>;
  revoke(leaseId: number): StoreResult<void>;
}
