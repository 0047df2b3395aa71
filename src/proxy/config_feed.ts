/**
 * Keeps this VM's configuration and roster up to date. A few VMs watch the
 * platform; the others fetch newer versions that heartbeats announce.
 */
import {
  BehaviorSubject,
  defer,
  Observable,
  retry,
  Subscription,
  timer,
} from 'rxjs';
import {
  Config,
  configSchema,
  EMPTY_CONFIG,
  newerConfig,
} from '../core/config.js';
import {
  EMPTY_ROSTER,
  Roster,
  decodeRoster,
  newerRoster,
  restoredRoster,
} from '../core/roster.js';
import {Store, StoreKey, VersionedValue} from '../store/store.js';
import {Log} from './log.js';

export interface ConfigFeedOptions {
  readonly store: Store;
  readonly log: Log;
  /**
   * Whether this VM watches the platform; only a few VMs do, and the others get
   * updates from peers.
   */
  readonly shouldWatch: () => boolean;
}

const WATCH_RETRY_DELAY_MS = 1_000;
const ROLE_CHECK_INTERVAL_MS = 1_000;

/** Holds the newest configuration and roster that this VM has received. */
export class ConfigFeed {
  private readonly configs = new BehaviorSubject<Config>(EMPTY_CONFIG);
  private readonly rosters = new BehaviorSubject<Roster>(EMPTY_ROSTER);
  private readonly subscriptions = new Subscription();
  private watchSubscription: Subscription | undefined;

  private constructor(private readonly options: ConfigFeedOptions) {
    this.subscriptions.add(
      timer(0, ROLE_CHECK_INTERVAL_MS).subscribe(() => this.updateWatch()),
    );
  }

  static create(options: ConfigFeedOptions): ConfigFeed {
    return new ConfigFeed(options);
  }

  get config$(): Observable<Config> {
    return this.configs;
  }

  get roster$(): Observable<Roster> {
    return this.rosters;
  }

  get config(): Config {
    return this.configs.value;
  }

  get roster(): Roster {
    return this.rosters.value;
  }

  get isWatching(): boolean {
    return this.watchSubscription !== undefined;
  }

  /** Applies a configuration from a peer or the platform if valid and newer. */
  applyConfig(received: unknown): void {
    const parsed = configSchema.safeParse(received);
    if (!parsed.success) {
      this.options.log('config_rejected', {problem: parsed.error.message});
      return;
    }
    const next = newerConfig(this.config, parsed.data);
    if (next === this.config) return;
    this.options.log('config_applied', {version: next.version});
    this.configs.next(next);
  }

  /** Applies a roster from a peer or the platform if valid and newer. */
  applyRoster(received: unknown): void {
    const roster = decodeRoster(received);
    if (!roster) return this.options.log('roster_rejected', {});
    const next = newerRoster(this.roster, roster);
    if (next !== this.roster) this.rosters.next(next);
  }

  /** Reads both documents from the platform; returns whether both succeeded. */
  async readPlatform(): Promise<boolean> {
    const config = await this.options.store.read(StoreKey.config);
    const roster = await this.options.store.read(StoreKey.roster);
    if (config.isOk()) this.applyStoredConfig(config.value);
    if (roster.isOk()) this.applyStoredRoster(roster.value);
    return config.isOk() && roster.isOk();
  }

  close(): void {
    this.subscriptions.unsubscribe();
    this.watchSubscription?.unsubscribe();
    this.configs.complete();
    this.rosters.complete();
  }

  private updateWatch(): void {
    const shouldWatch = this.options.shouldWatch();
    if (shouldWatch === this.isWatching) return;
    this.watchSubscription?.unsubscribe();
    this.watchSubscription = shouldWatch ? this.startWatch() : undefined;
  }

  private startWatch(): Subscription {
    const subscription = new Subscription();
    subscription.add(
      this.watchKey(StoreKey.config).subscribe(v => this.applyStoredConfig(v)),
    );
    subscription.add(
      this.watchKey(StoreKey.roster).subscribe(v => this.applyStoredRoster(v)),
    );
    return subscription;
  }

  /** Watches a key, restarting after failures. */
  private watchKey(key: string): Observable<VersionedValue> {
    return defer(() => this.options.store.watch(key)).pipe(
      retry({delay: () => timer(WATCH_RETRY_DELAY_MS)}),
    );
  }

  private applyStoredConfig({value}: VersionedValue): void {
    if (value !== '') this.applyConfig(parseJson(value));
    if (storedVersionOf(value) < this.config.version) void this.restoreConfig();
  }

  private applyStoredRoster({value}: VersionedValue): void {
    if (value !== '') this.applyRoster(parseJson(value));
    const {version} = decodeStoredRoster(value);
    if (version < this.roster.version) void this.restoreRoster();
  }

  /**
   * Writes the configuration again if the platform has lost it in a restore. An
   * older version that the watch emits may also be one that was replaced since.
   */
  private async restoreConfig(): Promise<void> {
    const read = await this.options.store.read(StoreKey.config);
    if (read.isErr()) return;
    const {value, revision} = read.value;
    const storedVersion = storedVersionOf(value);
    const {config} = this;
    if (storedVersion >= config.version) return;
    const {version} = config;
    this.options.log('config_restored', {version, storedVersion});
    await this.writeBack(StoreKey.config, revision, config);
  }

  /** Writes the roster again if the platform has lost it in a restore. */
  private async restoreRoster(): Promise<void> {
    const read = await this.options.store.read(StoreKey.roster);
    if (read.isErr()) return;
    const {value, revision} = read.value;
    const stored = decodeStoredRoster(value);
    const restored = restoredRoster(this.roster, stored);
    if (!restored) return;
    const {version} = restored;
    const storedVersion = stored.version;
    this.options.log('roster_restored', {version, storedVersion});
    await this.writeBack(StoreKey.roster, revision, restored);
  }

  /** After a conflict the watch emits what was written instead. */
  private async writeBack(
    key: string,
    revision: number,
    document: object,
  ): Promise<void> {
    const text = JSON.stringify(document);
    const written = await this.options.store.compareAndSet(key, revision, text);
    if (written.isErr()) {
      const {message} = written.error;
      this.options.log('write_back_failed', {key, message});
    }
  }
}

/** Returns the roster of a stored text; the empty one if it holds none. */
export const decodeStoredRoster = (text: string): Roster =>
  decodeRoster(parseJson(text)) ?? EMPTY_ROSTER;

/**
 * Version of a stored configuration; 0 if the text holds none. Also of one that
 * this VM rejects: a VM of a later version may have written it.
 */
function storedVersionOf(text: string): number {
  const parsed = parseJson(text) as {readonly version?: unknown} | undefined;
  const version = parsed?.version;
  return Number.isSafeInteger(version) ? Number(version) : 0;
}

/** Parses JSON; undefined if the text is none. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
