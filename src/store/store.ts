/** The narrow port to the platform's key-value service. */
import {ResultAsync} from 'neverthrow';
import {Observable} from 'rxjs';

/** A value and the revision that wrote it. */
export interface VersionedValue {
  readonly value: string;
  /** Revision of the last change; 0 when the key does not exist. */
  readonly revision: number;
}

/** Why a call gave no answer. */
export const StoreErrorKind = {
  /** The change provably did not happen: the key had moved. */
  conflict: 'conflict',
  /** The call failed or timed out; a change may have taken effect. */
  unavailable: 'unavailable',
} as const;
export type StoreErrorKind =
  (typeof StoreErrorKind)[keyof typeof StoreErrorKind];

/** A failed call. */
export interface StoreError {
  readonly kind: StoreErrorKind;
  readonly message: string;
}

/** Compare-and-swap, reads and watches. */
export interface Store {
  read(key: string): ResultAsync<VersionedValue, StoreError>;
  /** Writes when the key is still at `revision` (0: does not exist). */
  compareAndSet(
    key: string,
    revision: number,
    value: string,
  ): ResultAsync<number, StoreError>;
  /** Emits the present value, then each change; errors when it breaks. */
  watch(key: string): Observable<VersionedValue>;
}

/** Keys that mustardpass uses. */
export const StoreKey = {
  config: 'mustardpass/config',
  plan: (planId: string): string => `mustardpass/plans/${planId}`,
  roster: 'mustardpass/roster',
  /** The platform's own list of VMs. */
  vms: 'platform/vms',
} as const;

/** Largest value the platform holds. */
export const MAX_VALUE_BYTES = 1_000_000;
