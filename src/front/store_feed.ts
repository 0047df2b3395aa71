/**
 * Follows the store: one watch over everything gives the configuration, the
 * databases, the other fronts, and the proof that all this is recent.
 */
import {BehaviorSubject} from 'rxjs';
import {Result} from 'neverthrow';
import {
  DatabaseEntry,
  Directory,
  dropMissing,
  putEntry,
  removeEntry,
} from '../core/directory.js';
import {
  ClockReading,
  isFresh,
  ConfigFreshness,
  newerFreshness,
} from '../core/freshness.js';
import {FrontConfig} from '../core/front_config.js';
import {asOfOnLocalClock, RelayedEvent, unpackValue} from '../core/relay.js';
import {
  KeyValues,
  StoredItem,
  StoreEvent,
  StoreFaultKind,
} from '../store/key_values.js';
import {ChangeRelay, FollowRequest, RelayedChanges} from './change_relay.js';
import {JsonLog} from './json_log.js';
import {withTimeout} from './timeout.js';

/** Where things lie in the store and how they read. */
export interface StoreLayout {
  /** Key of the configuration. */
  readonly configKey: string;
  /** Prefix of the databases' entries; the rest of a key is the id. */
  readonly databasePrefix: string;
  /** Prefix under which the fronts keep what is theirs. */
  readonly fleetPrefix: string;
  readonly decodeConfig: (bytes: Buffer) => Result<FrontConfig, string>;
  readonly decodeDatabase: (
    id: string,
    bytes: Buffer,
  ) => DatabaseEntry | undefined;
}

/** Another front that watches the store and passes its changes on. */
export interface Relay {
  readonly vm: string;
  readonly follow: (request: FollowRequest) => Promise<RelayedChanges>;
}

/** What a feed needs. */
export interface StoreFeedOptions {
  /** The front to ask in place of the store, if any but `avoided`. */
  readonly chooseRelay: (
    isAvoided: (vm: string) => boolean,
  ) => Relay | undefined;
  readonly store: KeyValues;
  readonly layout: StoreLayout;
  readonly regionOfZone: ReadonlyMap<string, string>;
  readonly maxConfigAgeMs: number;
  /** Time for which a vanished database may still return. */
  readonly missingEntryGraceMs: number;
  readonly log: JsonLog;
}

/** Wait of one watch: its answer renews the proof. */
const WATCH_WAIT_MS = 1_200;
/** Longest wait for a relay's answer, which follows the store's to that front. */
const FOLLOW_TIMEOUT_MS = WATCH_WAIT_MS + 500;
/** Pause of asking a relay after it gave no answer. */
const AVOID_RELAY_MS = 2_000;
/** Least time between two watches, so that bursts of changes are taken together. */
const WATCH_SPACING_MS = 100;
/** Further pause after changes among the fronts. */
const OWN_SPACING_MS = 250;
const RETRY_PAUSE_MS = 150;
const MAX_RETRY_PAUSE_MS = 600;

/** Time after a failure of the store in which a vanished entry is doubtful. */
const OUTAGE_DOUBT_MS = 1_500;

/** The clocks that ages are taken on. */
export const readClocks = (): ClockReading => ({
  steadyMs: performance.now(),
  wallMs: Date.now(),
});

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** What this front knows of the store. */
export class StoreFeed {
  readonly config$ = new BehaviorSubject<FrontConfig | undefined>(undefined);
  readonly directory$ = new BehaviorSubject<Directory>(new Map());
  /** Items under the fronts' own prefix, by key. */
  readonly fleetItems$ = new BehaviorSubject<ReadonlyMap<string, StoredItem>>(
    new Map(),
  );
  /** Items under the own prefix when the store was first listed. */
  fleetItemsAtStart: ReadonlyMap<string, StoredItem> = new Map();
  private proof: ConfigFreshness | undefined;
  private revision = 0;
  private failures = 0;
  private failedAtMs = -Infinity;
  private stopped = false;
  private readonly changes = ChangeRelay.create(readClocks);
  /** Relays that are left alone, and until when. */
  private readonly avoided = new Map<string, number>();
  /** The front that changes come from; undefined: the store. */
  private source: string | undefined;
  /** The next watch only asks what has changed, as a relay gave no answer. */
  private isOverdue = false;

  private constructor(private readonly options: StoreFeedOptions) {}

  static create(options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options);
  }

  get config(): FrontConfig | undefined {
    return this.config$.value;
  }

  get directory(): Directory {
    return this.directory$.value;
  }

  /** Revision up to which the store is known here. */
  get knownRevision(): number {
    return this.revision;
  }

  /** Whether what is held here is recent enough to act on a key. */
  get isFresh(): boolean {
    return isFresh(this.proof, readClocks(), this.options.maxConfigAgeMs);
  }

  /** Whether the last call to the store failed. */
  get isStoreFailing(): boolean {
    return this.failures > 0;
  }

  /** Follows the store until stopped. */
  async run(): Promise<void> {
    let listed = false;
    while (!this.stopped) {
      const done = listed ? await this.nextChanges() : await this.listAll();
      if (done === 'ok') {
        listed = true;
        await pause(WATCH_SPACING_MS);
      } else {
        if (done === 'list') listed = false;
        const ms = RETRY_PAUSE_MS * 2 ** Math.min(this.failures, 4);
        await pause(
          Math.min(MAX_RETRY_PAUSE_MS, ms) * (0.7 + Math.random() * 0.6),
        );
      }
    }
  }

  stop(): void {
    this.stopped = true;
    this.changes.suspend();
  }

  /** Changes for another front, as soon as this one has heard of any. */
  follow(request: FollowRequest): Promise<RelayedChanges> {
    return this.changes.follow(request);
  }

  dump(): object {
    return {
      version: this.config?.version,
      revision: this.revision,
      fresh: this.isFresh,
      failures: this.failures,
      source: this.source ?? 'store',
      databases: [...this.directory.values()],
    };
  }

  private nextChanges(): Promise<'ok' | 'failed' | 'list'> {
    const nowMs = performance.now();
    const relay = this.isOverdue
      ? undefined
      : this.options.chooseRelay(vm => (this.avoided.get(vm) ?? 0) > nowMs);
    if (relay?.vm !== this.source) {
      this.options.log('changes_from', {source: relay?.vm ?? 'store'});
      this.source = relay?.vm;
      if (relay) this.changes.suspend();
    }
    return relay ? this.followOnce(relay) : this.watchOnce();
  }

  /** Takes changes from another front; without an answer the store is asked. */
  private async followOnce(relay: Relay): Promise<'ok' | 'failed' | 'list'> {
    const sentAt = readClocks();
    try {
      const call = relay.follow({after: this.revision});
      const changes = await withTimeout(call, FOLLOW_TIMEOUT_MS);
      if (changes.kind === 'gone') return await this.listAll();
      if (changes.kind === 'unheard')
        throw new Error('it hears nothing itself');
      const events = await this.complete(changes.events);
      this.takeEvents(events, changes.revision, changes.events);
      const {offsetMs} = changes;
      const asOf = asOfOnLocalClock(sentAt, offsetMs, readClocks());
      this.succeed(changes.revision, asOf);
    } catch (error) {
      const text = (error as Error).message;
      this.options.log('relay_unusable', {relay: relay.vm, text});
      this.avoided.set(relay.vm, performance.now() + AVOID_RELAY_MS);
      this.isOverdue = true;
    }
    return 'ok';
  }

  /** Reads values from the store that were too large to be passed on. */
  private async complete(
    events: readonly RelayedEvent[],
  ): Promise<StoreEvent[]> {
    const out: StoreEvent[] = [];
    for (const event of events) {
      if (event.kind === 'packed') {
        const {key, revision} = event;
        out.push({kind: 'put', key, revision, value: unpackValue(event.value)});
        continue;
      }
      if (event.kind !== 'changed') {
        out.push(event);
        continue;
      }
      const read = await this.options.store.list(event.key);
      if (read.isErr()) throw new Error(read.error.message);
      const item = read.value.items.find(({key}) => key === event.key);
      if (item) out.push({kind: 'put', ...item});
    }
    return out;
  }

  private async listAll(): Promise<'ok' | 'failed' | 'list'> {
    const asOf = readClocks();
    const listed = await this.options.store.list('');
    if (listed.isErr()) return this.failedCall('list', listed.error.message);
    const {items, revision} = listed.value;
    const keys = new Set(items.map(item => item.key));
    const isFirst = this.revision === 0;
    this.takeEvents(
      items.map(item => ({kind: 'put', ...item})),
      revision,
    );
    if (isFirst) this.fleetItemsAtStart = this.fleetItems$.value;
    this.removeOthers(keys);
    this.changes.reset(revision);
    this.succeed(revision, asOf);
    return 'ok';
  }

  private async watchOnce(): Promise<'ok' | 'failed' | 'list'> {
    const asOf = readClocks();
    const {store} = this.options;
    const waitMs = this.isOverdue ? 0 : WATCH_WAIT_MS;
    const answer = await store.watch('', this.revision, waitMs);
    this.isOverdue = false;
    if (answer.isErr()) {
      if (answer.error.kind === StoreFaultKind.historyGone) {
        this.options.log('store_history_gone', {revision: this.revision});
        return this.listAll();
      }
      return this.failedCall('watch', answer.error.message);
    }
    const {events, revision} = answer.value;
    this.takeEvents(events, revision);
    this.succeed(revision, asOf);
    this.changes.publish(this.revision, asOf);
    const {fleetPrefix: ownPrefix} = this.options.layout;
    const isOwn = events.some(event => event.key.startsWith(ownPrefix));
    // Many fronts start at once: their entries are taken together.
    if (isOwn) await pause(OWN_SPACING_MS);
    return 'ok';
  }

  private failedCall(call: string, text: string): 'failed' {
    this.failures++;
    this.changes.suspend();
    this.failedAtMs = performance.now();
    if (this.failures === 1) this.options.log('store_lost', {call, text});
    this.expireMissing();
    return 'failed';
  }

  private succeed(revision: number, asOf: ClockReading): void {
    this.revision = Math.max(this.revision, revision);
    if (this.failures > 0) {
      this.options.log('store_regained', {failures: this.failures});
      this.failures = 0;
    }
    const version = this.config?.version;
    if (version !== undefined) {
      this.proof = newerFreshness(this.proof, {version, asOf});
    }
    this.expireMissing();
  }

  /** Takes in changes; `passedOn` is how they are kept for those who ask. */
  private takeEvents(
    events: readonly StoreEvent[],
    revision: number,
    passedOn: readonly RelayedEvent[] = events,
  ): void {
    const {layout} = this.options;
    let directory = this.directory;
    const own = this.fleetItems$.value;
    let ownDraft: Map<string, StoredItem> | undefined;
    for (const event of events) {
      const {key} = event;
      if (key === layout.configKey) {
        if (event.kind === 'put') this.takeConfig(event.value);
      } else if (key.startsWith(layout.databasePrefix)) {
        directory = this.takeDatabase(directory, event);
      } else if (key.startsWith(layout.fleetPrefix)) {
        ownDraft ??= new Map(own);
        if (event.kind === 'put') ownDraft.set(key, event);
        else ownDraft.delete(key);
      }
    }
    this.changes.record(passedOn);
    this.revision = Math.max(this.revision, revision);
    if (directory !== this.directory) this.directory$.next(directory);
    if (ownDraft) this.fleetItems$.next(ownDraft);
  }

  private takeConfig(bytes: Buffer): void {
    const decoded = this.options.layout.decodeConfig(bytes);
    if (decoded.isErr()) {
      return this.options.log('config_rejected', {text: decoded.error});
    }
    const config = decoded.value;
    const known = this.config?.version ?? -1;
    if (config.version <= known) return;
    this.options.log('config_applied', {
      version: config.version,
      before: known,
    });
    this.config$.next(config);
  }

  private takeDatabase(directory: Directory, event: StoreEvent): Directory {
    const {layout, regionOfZone, log} = this.options;
    const id = event.key.slice(layout.databasePrefix.length);
    const known = directory.get(id);
    if (event.kind === 'removed') {
      if (known)
        log('database_unlisted', {database: id, service: known.service});
      return this.remove(directory, id);
    }
    const entry = layout.decodeDatabase(id, event.value);
    if (!entry) {
      log('database_entry_invalid', {database: id});
      return removeEntry(directory, id, performance.now());
    }
    const region = regionOfZone.get(entry.zone) ?? '';
    const place = {zone: entry.zone, region};
    const changed =
      known?.leaving !== entry.leaving || known.isLeader !== entry.isLeader;
    if (changed) {
      log('database_listed', {
        database: id,
        service: entry.service,
        zone: entry.zone,
        leads: entry.isLeader,
        leaving: entry.leaving,
        revision: event.revision,
      });
    }
    return putEntry(directory, entry, place, event.revision);
  }

  /** What vanishes around an outage of the store may well be alive. */
  private remove(directory: Directory, id: string): Directory {
    const nowMs = performance.now();
    const isDoubtful = nowMs - this.failedAtMs < OUTAGE_DOUBT_MS;
    return removeEntry(directory, id, nowMs, isDoubtful);
  }

  /** After a list: what it did not contain is gone. */
  private removeOthers(keys: ReadonlySet<string>): void {
    const {databasePrefix} = this.options.layout;
    let directory = this.directory;
    for (const id of directory.keys()) {
      if (!keys.has(databasePrefix + id)) {
        directory = this.remove(directory, id);
      }
    }
    if (directory !== this.directory) this.directory$.next(directory);
    const own = this.fleetItems$.value;
    const kept = [...own].filter(([key]) => keys.has(key));
    if (kept.length < own.size) this.fleetItems$.next(new Map(kept));
  }

  private expireMissing(): void {
    const {missingEntryGraceMs: holdMissingMs} = this.options;
    const next = dropMissing(this.directory, performance.now(), holdMissingMs);
    if (next !== this.directory) this.directory$.next(next);
  }
}
