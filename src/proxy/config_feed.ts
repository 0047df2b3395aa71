/**
 * Brings the configuration and the roster to this VM: a few VMs watch the
 * platform, the others learn newer versions from their peers' heartbeats.
 */
import {
  BehaviorSubject,
  defer,
  EMPTY,
  Observable,
  retry,
  Subscription,
  switchMap,
  timer,
} from 'rxjs';
import {
  Config,
  configSchema,
  EMPTY_CONFIG,
  newerConfig,
} from '../core/config.js';
import {EMPTY_ROSTER, newerRoster, Roster} from '../core/roster.js';
import {Store, StoreKey, Versioned} from '../store/store.js';
import {Log} from './log.js';

/** What the feed needs. */
export interface ConfigFeedOptions {
  readonly store: Store;
  readonly log: Log;
  /** Whether this VM is one of those that watch the platform. */
  readonly watches: () => boolean;
}

const RETRY_MS = 1_000;
const ROLE_CHECK_MS = 1_000;

/** The newest configuration and roster known here. */
export class ConfigFeed {
  private readonly configs = new BehaviorSubject<Config>(EMPTY_CONFIG);
  private readonly rosters = new BehaviorSubject<Roster>(EMPTY_ROSTER);
  private readonly subscriptions = new Subscription();
  private watching: Subscription | undefined;

  private constructor(private readonly options: ConfigFeedOptions) {
    this.subscriptions.add(
      timer(0, ROLE_CHECK_MS).subscribe(() => this.checkRole()),
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
    return this.watching !== undefined;
  }

  /** Takes a document received from a peer or the platform. */
  offerConfig(received: unknown): void {
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

  /** Takes a roster received from a peer or the platform. */
  offerRoster(received: Roster): void {
    const next = newerRoster(this.roster, received);
    if (next !== this.roster) this.rosters.next(next);
  }

  /** Reads both documents from the platform once; true when it answered. */
  async readPlatform(): Promise<boolean> {
    const config = await this.options.store.read(StoreKey.config);
    const roster = await this.options.store.read(StoreKey.roster);
    if (config.isOk()) this.takeConfig(config.value);
    if (roster.isOk()) this.takeRoster(roster.value);
    return config.isOk() && roster.isOk();
  }

  close(): void {
    this.subscriptions.unsubscribe();
    this.watching?.unsubscribe();
    this.configs.complete();
    this.rosters.complete();
  }

  private checkRole(): void {
    const wanted = this.options.watches();
    if (wanted === this.isWatching) return;
    this.watching?.unsubscribe();
    this.watching = wanted ? this.watch() : undefined;
  }

  private watch(): Subscription {
    const subscription = new Subscription();
    subscription.add(
      this.follow(StoreKey.config).subscribe(v => this.takeConfig(v)),
    );
    subscription.add(
      this.follow(StoreKey.roster).subscribe(v => this.takeRoster(v)),
    );
    return subscription;
  }

  /** A watch that starts again after each break. */
  private follow(key: string): Observable<Versioned> {
    return defer(() => this.options.store.watch(key)).pipe(
      retry({delay: () => timer(RETRY_MS)}),
      switchMap(value => (value.value === '' ? EMPTY : [value])),
    );
  }

  private takeConfig(versioned: Versioned): void {
    if (versioned.value !== '') this.offerConfig(parseJson(versioned.value));
  }

  private takeRoster(versioned: Versioned): void {
    if (versioned.value !== '') {
      this.offerRoster(parseJson(versioned.value) as Roster);
    }
  }
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
