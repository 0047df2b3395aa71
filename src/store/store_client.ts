/**
 * Adapts a store that may come back from an older copy of itself. The store
 * counts its restores as eras and reports the present one with each response;
 * revisions of one era may be given out again in the next. `createKeyValueStore`
 * qualifies revisions by their era, and rejects what refers to a lost era.
 */
import {err, ok, Result} from 'neverthrow';
import {eraOf, qualifyRevision, revisionInEra} from '../core/store_revision.js';
import {
  KeyValueStore,
  StoredItem,
  StoreEvent,
  StoreFault,
  StoreFaultKind,
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

/** Calls to one store, with the revisions that it uses itself. */
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

const fault = (
  kind: StoreFaultKind,
  message: string,
): Result<never, StoreFault> => err({kind, message});

/** Creates a store on a client. `onEra` is called when the era has changed. */
export function createKeyValueStore(
  client: StoreClient,
  onEra: (era: number, before: number | undefined) => void,
): KeyValueStore {
  /** Latest era that any response has reported. */
  let latestEra: number | undefined;

  /** Awaits a reply; its era is 0 if the store does not report eras. */
  const call = async <T>(
    reply: StoreReply<T>,
  ): Promise<{era: number; result: Result<T, StoreFault>}> => {
    const {era, result} = await reply;
    if (era === undefined) return {era: latestEra ?? 0, result};
    if (latestEra !== undefined && era < latestEra) {
      const message = 'delayed response of a store restored since';
      return {era, result: fault(StoreFaultKind.unknown, message)};
    }
    if (era !== latestEra) {
      onEra(era, latestEra);
      latestEra = era;
    }
    return {era, result};
  };

  const list: KeyValueStore['list'] = async prefix => {
    const items: StoredItem[] = [];
    let first: number | undefined;
    let afterKey = '';
    for (;;) {
      const {era, result} = await call(client.listPage(prefix, afterKey));
      if (result.isErr()) return err(result.error);
      const page = result.value;
      first ??= qualifyRevision(era, page.revision);
      if (era !== eraOf(first)) {
        const message = 'the store was restored between two pages';
        return fault(StoreFaultKind.notApplied, message);
      }
      for (const item of page.items) {
        const revision = qualifyRevision(era, item.revision);
        items.push({...item, revision});
      }
      const last = items.at(-1);
      if (!page.hasMore || !last) return ok({items, revision: first});
      afterKey = last.key;
    }
  };

  const watch: KeyValueStore['watch'] = async (prefix, after, waitMs) => {
    const reply = client.watch(prefix, revisionInEra(after), waitMs);
    const {era, result} = await call(reply);
    if (result.isErr()) return err(result.error);
    if (era !== eraOf(after)) {
      const message = 'the store was restored since the last revision';
      return fault(StoreFaultKind.historyDiscarded, message);
    }
    const {events, revision} = result.value;
    return ok({
      events: events.map(event => ({
        ...event,
        revision: qualifyRevision(era, event.revision),
      })),
      revision: qualifyRevision(era, revision),
    });
  };

  const commit: KeyValueStore['commit'] = async transaction => {
    const conditions = transaction.expected.filter(row => row.revision > 0);
    const isOfEra = (era: number): boolean =>
      conditions.every(({revision}) => eraOf(revision) === era);
    if (latestEra !== undefined && !isOfEra(latestEra)) {
      const message = 'a condition refers to a lost era of the store';
      return fault(StoreFaultKind.conflict, message);
    }
    const expected = transaction.expected.map(({key, revision}) => ({
      key,
      revision: revisionInEra(revision),
    }));
    const {era, result} = await call(client.commit({...transaction, expected}));
    // A revision that was given out again may have met the condition.
    if (result.isOk() && !isOfEra(era)) {
      const message = 'the store was restored before the commit';
      return fault(StoreFaultKind.unknown, message);
    }
    return result.map(revision => qualifyRevision(era, revision));
  };

  return {
    list,
    watch,
    commit,
    grant: async ttlMs => (await call(client.grant(ttlMs))).result,
    renew: async leaseId => (await call(client.renew(leaseId))).result,
    revoke: async leaseId => (await call(client.revoke(leaseId))).result,
  };
}
