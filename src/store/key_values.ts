/**
 * Interface of a key-value store with leases, revisions and watches. Revisions
 * rise even if the store is restored from an older copy; see
 * `core/store_revision.ts`.
 */
import {Result} from 'neverthrow';

export interface StoredItem {
  readonly key: string;
  readonly value: Buffer;
  /** Revision of the last change. */
  readonly revision: number;
}

/** A change that a watch reports. */
export type StoreEvent =
  | ({readonly kind: 'put'} & StoredItem)
  | {readonly kind: 'removed'; readonly key: string; readonly revision: number};

/** Why a call failed, and what is known of its effect. */
export const StoreFaultKind = {
  /** The call certainly had no effect. */
  notApplied: 'not_done',
  /** The call may have taken effect or may still take effect. */
  unknown: 'unknown',
  /** A key was not at its expected revision; nothing was written. */
  conflict: 'conflict',
  /**
   * The store no longer has the changes after the requested revision, or was
   * restored from a copy since.
   */
  historyDiscarded: 'history_gone',
  /** The lease does not exist or has expired. */
  leaseNotFound: 'lease_gone',
} as const;
export type StoreFaultKind =
  (typeof StoreFaultKind)[keyof typeof StoreFaultKind];

export interface StoreFault {
  readonly kind: StoreFaultKind;
  readonly message: string;
}

export type StoreResult<T> = Promise<Result<T, StoreFault>>;

/** Writes and removals that apply only if all expected revisions match. */
export interface StoreTransaction {
  /** Required revision of each key; 0 if the key must not exist. */
  readonly expected: ReadonlyArray<{
    readonly key: string;
    readonly revision: number;
  }>;
  readonly writes: ReadonlyArray<{
    readonly key: string;
    readonly value: string;
    /** Lease that the key is bound to; 0 if none. */
    readonly leaseId: number;
  }>;
  readonly removals: readonly string[];
}

/** Client of the key-value store. */
export interface KeyValueStore {
  /**
   * Lists the items whose key starts with `prefix`. This is not a snapshot:
   * items may be newer than the returned revision.
   */
  list(
    prefix: string,
  ): StoreResult<{items: readonly StoredItem[]; revision: number}>;
  /**
   * Returns the changes after a revision as soon as there are any, or none
   * after `waitMs`.
   */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): StoreResult<{events: readonly StoreEvent[]; revision: number}>;
  /** Applies all or none of a transaction; returns its revision. */
  commit(transaction: StoreTransaction): StoreResult<number>;
  grant(ttlMs: number): StoreResult<{leaseId: number; ttlMs: number}>;
  /** Renews a lease; returns its time to live in milliseconds. */
  renew(leaseId: number): StoreResult<number>;
  revoke(leaseId: number): StoreResult<void>;
}
