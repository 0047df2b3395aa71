/**
 * Calls to a key-value store that may come back from an older copy of itself.
 * The store counts its restores as eras and reports the present one with each
 * response. Revisions and lease ids of one era may be given out again in the
 * next.
 */
import {err, ok, Result} from 'neverthrow';
import {
  KeyValueStore,
  StoredItem,
  StoreEvent,
  StoreFault,
  StoreResult,
  StoreTransaction,
} from './key_values.js';

/**
 * The result of a call, and the era that the store reported with it; the era is
 * undefined if there was no response or the store does not report eras.
 */
export type StoreReply<T> = Promise<{
  readonly era: number | undefined;
  readonly result: Result<T, StoreFault>;
}>;

/** Adapter of one store. */
export interface StoreClient {
  /** Lists one page of the items whose key starts with `prefix`. */
  listPage(
    prefix: string,
    afterKey: string,
  ): StoreReply<{
    items: readonly StoredItem[];
    revision: number;
    hasMore: boolean;
  }>;
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): StoreReply<{events: readonly StoreEvent[]; revision: number}>;
  commit(transaction: StoreTransaction): StoreReply<number>;
  grant(ttlMs: number): StoreReply<{leaseId: number; ttlMs: number}>;
  renew(leaseId: number): StoreReply<number>;
  revoke(leaseId: number): StoreReply<void>;
}

/** Creates a store on a client. `onEra` is called when the era has changed. */
export function createKeyValueStore(
  client: StoreClient,
  onEra: (era: number, before: number | undefined) => void,
): KeyValueStore {
  let lastEra: number | undefined;
  const call = async <T>(reply: StoreReply<T>): StoreResult<T> => {
    const {era, result} = await reply;
    if (era !== undefined && era !== lastEra) {
      onEra(era, lastEra);
      lastEra = era;
    }
    return result;
  };
  return {
    list: async prefix => {
      const items: StoredItem[] = [];
      let revision = 0;
      let afterKey = '';
      for (;;) {
        const page = await call(client.listPage(prefix, afterKey));
        if (page.isErr()) return err(page.error);
        items.push(...page.value.items);
        revision ||= page.value.revision;
        const last = items.at(-1);
        if (!page.value.hasMore || !last) return ok({items, revision});
        afterKey = last.key;
      }
    },
    watch: (prefix, afterRevision, waitMs) =>
      call(client.watch(prefix, afterRevision, waitMs)),
    commit: transaction => call(client.commit(transaction)),
    grant: ttlMs => call(client.grant(ttlMs)),
    renew: leaseId => call(client.renew(leaseId)),
    revoke: leaseId => call(client.revoke(leaseId)),
  };
}
