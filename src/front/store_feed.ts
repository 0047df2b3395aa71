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
import {ClockReading, isFresh, Proof, renewProof} from '../core/freshness.js';
import {FrontConfig} from '../core/front_config.js';
import {
  KeyValues,
  StoredItem,
  StoreEvent,
  StoreFaultKind,
} from '../store/key_values.js';
import {JsonLog} from './json_log.js';

/** Where things lie in the store and how they read. */
export interface StoreLayout {
  /** Key of the configuration. */
  readonly configKey: string;
  /** Prefix of the databases' entries; the rest of a key is the id. */
  readonly databasePrefix: string;
  /** Prefix under which the fronts keep what is theirs. */
  readonly ownPrefix: string;
  readonly decodeConfig: (bytes: Buffer) => Result<FrontConfig, string>;
  readonly decodeDatabase: (
    id: string,
    bytes: Buffer,
  ) => DatabaseEntry | undefined;
}

/** What a feed needs. */
export interface StoreFeedOptions {
  readonly store: KeyValues;
  readonly layout: StoreLayout;
  readonly regionOfZone: ReadonlyMap<string, string>;
  readonly proofLimitMs: number;
  /** Time for which a vanished database may still return. */
  readonly holdMissingMs: number;
  readonly log: JsonLog;
}

/** Wait of one watch: its answer renews the proof. */
const WATCH_WAIT_MS = 1_600;
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
  readonly own$ = new BehaviorSubject<ReadonlyMap<string, StoredItem>>(
    new Map(),
  );
  /** Items under the own prefix when the store was first listed. */
  ownAtStart: ReadonlyMap<string, StoredItem> = new Map();
  private proof: Proof | undefined;
  private revision = 0;
  private failures = 0;
  private failedAtMs = -Infinity;
  private stopped = false;

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

  /** Whether what is held here is recent enough to act on a key. */
  get isFresh(): boolean {
    return isFresh(this.proof, readClocks(), this.options.proofLimitMs);
  }

  /** Whether the last call to the store failed. */
  get isCutOff(): boolean {
    return this.failures > 0;
  }

  /** Follows the store until stopped. */
  async run(): Promise<void> {
    let listed = false;
    while (!this.stopped) {
      const done = listed ? await this.watchOnce() : await this.listAll();
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
  }

  dump(): object {
    return {
      version: this.config?.version,
      revision: this.revision,
      fresh: this.isFresh,
      failures: this.failures,
      databases: [...this.directory.values()],
    };
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
    if (isFirst) this.ownAtStart = this.own$.value;
    this.removeOthers(keys);
    this.succeed(revision, asOf);
    return 'ok';
  }

  private async watchOnce(): Promise<'ok' | 'failed' | 'list'> {
    const asOf = readClocks();
    const {store} = this.options;
    const answer = await store.watch('', this.revision, WATCH_WAIT_MS);
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
    const {ownPrefix} = this.options.layout;
    const isOwn = events.some(event => event.key.startsWith(ownPrefix));
    // Many fronts start at once: their entries are taken together.
    if (isOwn) await pause(OWN_SPACING_MS);
    return 'ok';
  }

  private failedCall(call: string, text: string): 'failed' {
    this.failures++;
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
      this.proof = renewProof(this.proof, {version, asOf});
    }
    this.expireMissing();
  }

  private takeEvents(events: readonly StoreEvent[], revision: number): void {
    const {layout} = this.options;
    let directory = this.directory;
    let own = this.own$.value;
    for (const event of events) {
      const {key} = event;
      if (key === layout.configKey) {
        if (event.kind === 'put') this.takeConfig(event.value);
      } else if (key.startsWith(layout.databasePrefix)) {
        directory = this.takeDatabase(directory, event);
      } else if (key.startsWith(layout.ownPrefix)) {
        own = takeOwn(own, event);
      }
    }
    this.revision = Math.max(this.revision, revision);
    if (directory !== this.directory) this.directory$.next(directory);
    if (own !== this.own$.value) this.own$.next(own);
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
    const own = this.own$.value;
    const kept = [...own].filter(([key]) => keys.has(key));
    if (kept.length < own.size) this.own$.next(new Map(kept));
  }

  private expireMissing(): void {
    const {holdMissingMs} = this.options;
    const next = dropMissing(this.directory, performance.now(), holdMissingMs);
    if (next !== this.directory) this.directory$.next(next);
  }
}

function takeOwn(
  own: ReadonlyMap<string, StoredItem>,
  event: StoreEvent,
): ReadonlyMap<string, StoredItem> {
  const next = new Map(own);
  if (event.kind === 'put') next.set(event.key, event);
  else next.delete(event.key);
  return next;
}
