/** Interface to the platform's key-value service. */
import {ResultAsync} from 'neverthrow';
import {Observable} from 'rxjs';

/** A value and the revision that it was written at. */
export interface VersionedValue {
  readonly value: string;
  /** Revision of the last change; 0 if the key does not exist. */
  readonly revision: number;
}

/** Why a call failed. */
export const StoreErrorKind = {
  /** The key was not at the expected revision; nothing was written. */
  conflict: 'conflict',
  /** The call failed or timed out; a write may have taken effect. */
  unavailable: 'unavailable',
} as const;
export type StoreErrorKind =
  (typeof StoreErrorKind)[keyof typeof StoreErrorKind];

export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly message: string;
}

/** Reads, conditional writes and watches of single keys. */
export interface Store {
  read(key: string): ResultAsync<VersionedValue, StoreError>;
  /**
   * Writes if the key is at `revision`, where 0 means that it does not exist.
   * Returns the new revision.
   */
  compareAndSet(
    key: string,
    revision: number,
    value: string,
  ): ResultAsync<number, StoreError>;
  /** Emits the current value, then each change; errors if the watch ends. */
  watch(key: string): Observable<VersionedValue>;
}

/** Keys that mustardpass reads and writes. */
export const StoreKey = {
  config: 'mustardpass/config',
  plan: (planId: string): string => `mustardpass/plans/${planId}`,
  roster: 'mustardpass/roster',
  /** The list of VMs, written by the platform. */
  vms: 'platform/vms',
} as const;

/** Size limit of a value in the platform. */
export const MAX_VALUE_BYTES = 1_000_000;
