/**
 * Maintains this front's view of the store. One watch over all keys yields the
 * configuration, the databases and the other fronts, and dates how fresh the
 * view is. Changes come from the store or from a front that relays them.
 */
import {BehaviorSubject, Observable, Subject} from 'rxjs';
import {Result} from 'neverthrow';
import {DatabaseEntry, Directory} from '../core/directory.js';
import {
  ClockReading,
  isFresh,
  ConfigFreshness,
  newerFreshness,
} from '../core/freshness.js';
import {FormerMember, MissingLog, RecordedLog} from '../core/former_members.js';
import {
  decodeMemberRecord,
  isMemberRecordKey,
  MemberRecord,
  RecordedMember,
} from '../core/member_records.js';
import {PositionSamples} from '../core/position_samples.js';
import {Evacuations} from '../core/evacuation.js';
import {FrontConfig} from '../core/front_config.js';
import {eraOf} from '../core/store_revision.js';
import {asOfOnLocalClock, RelayedEvent, unpackValue} from '../core/relay.js';
import {
  KeyValueStore,
  StoredItem,
  StoreEvent,
  StoreFaultKind,
} from '../store/key_values.js';
import {ChangeRelay, FollowRequest, RelayedChanges} from './change_relay.js';
import {DirectoryTracker} from './directory_tracker.js';
import {EvacuationTracker} from './evacuation_tracker.js';
import {JsonLog} from './json_log.js';
import {pause, withTimeout} from './timeout.js';

/** Keys in the store and decoders of their values. */
export interface StoreLayout {
  /** Key of the configuration. */
  readonly configKey: string;
  /** Prefix of the database entries; the rest of a key is the database's id. */
  readonly databasePrefix: string;
  /** Prefix of the keys of evacuations; the rest of a key is a zone. */
  readonly evacuationPrefix: string;
  /**
   * Prefix of the items that fronts write: their entries, the shared secret,
   * the coordinator lease, the leader records and the marks of eras.
   */
  readonly fleetPrefix: string;
  readonly decodeConfig: (bytes: Buffer) => Result<FrontConfig, string>;
  readonly decodeDatabase: (
    id: string,
    bytes: Buffer,
  ) => DatabaseEntry | undefined;
}

/** Another front that watches the store and relays its changes. */
export interface Relay {
  readonly vm: string;
  readonly follow: (request: FollowRequest) => Promise<RelayedChanges>;
}

export interface StoreFeedOptions {
  /**
   * Chooses the front to follow instead of the store; undefined to watch the
   * store.
   */
  readonly chooseRelay: (
    isAvoided: (vm: string) => boolean,
  ) => Relay | undefined;
  readonly store: KeyValueStore;
  readonly layout: StoreLayout;
  readonly regionOfZone: ReadonlyMap<string, string>;
  readonly maxConfigAgeMs: number;
  /** How long a database without an entry stays in the directory. */
  readonly missingEntryGraceMs: number;
  /**
   * How long databases and operators may take to repeat what they wrote after a
   * restore.
   */
  readonly rewriteGraceMs: number;
  /** Time after which no request reaches a zone that is being evacuated. */
  readonly evacuateMs: number;
  readonly log: JsonLog;
  /** `readClocks` by default. */
  readonly clocks?: () => ClockReading;
}

/**
 * Longest wait of one watch. Its reply renews the freshness even without
 * changes.
 */
const WATCH_WAIT_MS = 1_200;
/**
 * Longest wait for a relay, which replies only after the store has replied to
 * it.
 */
const FOLLOW_TIMEOUT_MS = WATCH_WAIT_MS + 500;
/** How long a relay is not chosen after it failed to reply. */
const AVOID_RELAY_MS = 2_000;
/**
 * Pause between two watches, so that a burst of changes arrives in one reply.
 */
const WATCH_PAUSE_MS = 100;
/**
 * Additional pause before the next watch if any of the changes is to an item
 * that fronts write.
 */
const FLEET_CHANGE_PAUSE_MS = 250;
const RETRY_PAUSE_MS = 150;
const MAX_RETRY_PAUSE_MS = 600;

const MAX_LOGGED_KEYS = 10;
/** Below every version of a configuration. */
const NO_VERSION = -1;

/** Reads both clocks on which ages are measured. */
export const readClocks = (): ClockReading => ({
  steadyMs: performance.now(),
  wallMs: Date.now(),
});

/** This front's view of the store. */
export class StoreFeed {
  readonly config$ = new BehaviorSubject<FrontConfig | undefined>(undefined);
  /** Items under `fleetPrefix`, by key. */
  readonly fleetItems$ = new BehaviorSubject<ReadonlyMap<string, StoredItem>>(
    new Map(),
  );
  /**
   * Emits when the store was found to be restored from a copy, before what it
   * holds now is applied.
   */
  readonly restored$ = new Subject<void>();
  /** Items under `fleetPrefix` when the store was first listed. */
  fleetItemsAtStart: ReadonlyMap<string, StoredItem> = new Map();
  /** Version of the configuration that the store holds, as far as known. */
  private storedVersion = NO_VERSION;
  private freshness: ConfigFreshness | undefined;
  /** Steady time of the newest list; this front may have missed what came before. */
  listedAtMs = -Infinity;
  /** Whether the store was listed again, since its history was gone. */
  hasListedAnew = false;
  /** Steady time of the first list of this era; undefined before it. */
  eraSeenAtMs: number | undefined;
  /** Era of the first list; 0 before it. */
  eraAtStart = 0;
  private revision = 0;
  private failures = 0;
  private isStopped = false;
  private readonly clocks: () => ClockReading;
  private readonly changeRelay: ChangeRelay;
  /** Steady time until which each failed relay is not used, by VM. */
  private readonly avoidedRelays = new Map<string, number>();
  /** VM that changes come from; undefined when it is the store. */
  private source: string | undefined;
  /**
   * Whether the next watch must not wait, because a relay has failed to reply.
   */
  private hasRelayFailed = false;

  private readonly databases: DirectoryTracker;
  private readonly evacuating: EvacuationTracker;

  private constructor(private readonly options: StoreFeedOptions) {
    this.clocks = options.clocks ?? readClocks;
    this.changeRelay = ChangeRelay.create(this.clocks);
    this.databases = DirectoryTracker.create({
      prefix: options.layout.databasePrefix,
      decode: options.layout.decodeDatabase,
      regionOfZone: options.regionOfZone,
      missingEntryGraceMs: options.missingEntryGraceMs,
      rewriteGraceMs: options.rewriteGraceMs,
      log: options.log,
    });
    this.evacuating = EvacuationTracker.create({
      prefix: options.layout.evacuationPrefix,
      isKnownZone: zone => options.regionOfZone.has(zone),
      evacuateMs: options.evacuateMs,
      rewriteGraceMs: options.rewriteGraceMs,
      clocks: this.clocks,
      log: options.log,
    });
  }

  static create(options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options);
  }

  get config(): FrontConfig | undefined {
    return this.config$.value;
  }

  get directory(): Directory {
    return this.databases.directory;
  }

  get directory$(): Observable<Directory> {
    return this.databases.directory$;
  }

  /** Databases of a service that are not listed but may hold commits. */
  formerMembersOf(service: string): readonly FormerMember[] {
    return this.databases.formerMembersOf(service);
  }

  /** As `FormerMembers.recordedOf`. */
  recordedMembersOf(service: string): readonly RecordedLog[] {
    return this.databases.recordedMembersOf(service);
  }

  /** As `FormerMembers.unseen`. */
  unseenMemberOf(service: string): MissingLog | undefined {
    return this.databases.unseenMemberOf(service);
  }

  /** As `FormerMembers.isRecorded`. */
  isRecorded(service: string): boolean {
    return this.databases.isRecorded(service);
  }

  /** As `FormerMembers.services`. */
  get servicesWithFormer(): ReadonlySet<string> {
    return this.databases.servicesWithFormer;
  }

  /** As `FormerMembers.toRecord`. */
  membersToRecord(
    service: string,
    samples: PositionSamples,
  ): readonly RecordedMember[] {
    return this.databases.membersToRecord(service, samples);
  }

  get evacuations(): Evacuations {
    return this.evacuating.evacuations;
  }

  get evacuations$(): Observable<Evacuations> {
    return this.evacuating.evacuations$;
  }

  /** Revision up to which this view is complete. */
  get knownRevision(): number {
    return this.revision;
  }

  /** Present era of the store; 0 if the store does not report eras. */
  get era(): number {
    return eraOf(this.revision);
  }

  /** Whether the view is recent enough to serve requests that need a key. */
  get isFresh(): boolean {
    return isFresh(this.freshness, this.clocks(), this.options.maxConfigAgeMs);
  }

  /** Whether the view is at most `ageMs` old. */
  isFresherThan(ageMs: number): boolean {
    return isFresh(this.freshness, this.clocks(), ageMs);
  }

  /** Whether the last call to the store failed. */
  get isStoreFailing(): boolean {
    return this.failures > 0;
  }

  /** Keeps the view up to date until `stop` is called. */
  async run(): Promise<void> {
    let isListed = false;
    while (!this.isStopped) {
      const outcome = await this.step(isListed);
      if (outcome === 'ok') {
        isListed = true;
        await pause(WATCH_PAUSE_MS);
      } else {
        if (outcome === 'list') isListed = false;
        const delayMs = RETRY_PAUSE_MS * 2 ** Math.min(this.failures, 4);
        await pause(
          Math.min(MAX_RETRY_PAUSE_MS, delayMs) * (0.7 + Math.random() * 0.6),
        );
      }
    }
  }

  /**
   * Lists the store or applies its next changes. What throws is a fault of this
   * program; since it may have been thrown between two changes, the store is
   * listed anew, until then the view ages.
   */
  private async step(isListed: boolean): Promise<'ok' | 'failed' | 'list'> {
    try {
      return isListed ? await this.nextChanges() : await this.listAll();
    } catch (error) {
      this.options.log('store_feed_error', {text: (error as Error).stack});
      this.recordFailure('apply', (error as Error).message);
      return 'list';
    }
  }

  stop(): void {
    this.isStopped = true;
    this.changeRelay.suspend();
  }

  /** Returns changes to another front; see `ChangeRelay.follow`. */
  follow(request: FollowRequest): Promise<RelayedChanges> {
    return this.changeRelay.follow(request);
  }

  dump(): object {
    return {
      version: this.config?.version,
      revision: this.revision,
      fresh: this.isFresh,
      failures: this.failures,
      source: this.source ?? 'store',
      databases: this.databases.dump(),
      evacuations: this.evacuating.dump(),
    };
  }

  private nextChanges(): Promise<'ok' | 'failed' | 'list'> {
    const isListDue = this.databases.isListDue || this.evacuating.isListDue;
    if (isListDue) return this.listAll();
    const nowMs = performance.now();
    const relay = this.hasRelayFailed
      ? undefined
      : this.options.chooseRelay(
          vm => (this.avoidedRelays.get(vm) ?? 0) > nowMs,
        );
    if (relay?.vm !== this.source) {
      this.options.log('changes_from', {source: relay?.vm ?? 'store'});
      this.source = relay?.vm;
      if (relay) this.changeRelay.suspend();
    }
    return relay ? this.followOnce(relay) : this.watchOnce();
  }

  /**
   * Applies changes from a relay. After a failure the next step queries the
   * store.
   */
  private async followOnce(relay: Relay): Promise<'ok' | 'failed' | 'list'> {
    const sentAt = this.clocks();
    try {
      const call = relay.follow({after: this.revision});
      const changes = await withTimeout(call, FOLLOW_TIMEOUT_MS);
      if (changes.kind === 'gone') return await this.listAll();
      if (changes.kind === 'unheard')
        throw new Error('the relay does not receive changes from the store');
      const events = await this.resolveEvents(changes.events);
      this.applyEvents(events, changes.revision, changes.events);
      const {offsetMs} = changes;
      const asOf = asOfOnLocalClock(sentAt, offsetMs, this.clocks());
      this.recordSuccess(changes.revision, asOf);
    } catch (error) {
      const text = (error as Error).message;
      this.options.log('relay_unusable', {relay: relay.vm, text});
      this.avoidedRelays.set(relay.vm, performance.now() + AVOID_RELAY_MS);
      this.hasRelayFailed = true;
    }
    return 'ok';
  }

  /**
   * Unpacks compressed values, and reads from the store those that were too
   * large to relay.
   */
  private async resolveEvents(
    events: readonly RelayedEvent[],
  ): Promise<StoreEvent[]> {
    const resolved: StoreEvent[] = [];
    for (const event of events) {
      if (event.kind === 'packed') {
        const {key, revision} = event;
        resolved.push({
          kind: 'put',
          key,
          revision,
          value: unpackValue(event.value),
        });
        continue;
      }
      if (event.kind !== 'changed') {
        resolved.push(event);
        continue;
      }
      const read = await this.options.store.list(event.key);
      if (read.isErr()) throw new Error(read.error.message);
      const item = read.value.items.find(({key}) => key === event.key);
      if (item) resolved.push({kind: 'put', ...item});
    }
    return resolved;
  }

  private async listAll(): Promise<'ok' | 'failed' | 'list'> {
    const asOf = this.clocks();
    const listed = await this.options.store.list('');
    if (listed.isErr()) return this.recordFailure('list', listed.error.message);
    const {items, revision} = listed.value;
    const keys = new Set(items.map(item => item.key));
    const missingKeys = [...this.fleetItems$.value.keys()].filter(
      key => !keys.has(key),
    );
    this.logListed(items, revision, missingKeys);
    const puts = items.map((item): StoreEvent => ({kind: 'put', ...item}));
    const removals = missingKeys.map((key): StoreEvent => ({
      kind: 'removed',
      key,
      revision,
    }));
    const isFirst = this.revision === 0;
    this.recordEra(eraOf(revision), isFirst);
    this.listedAtMs = this.clocks().steadyMs;
    this.hasListedAnew ||= !isFirst;
    this.databases.beginList();
    this.storedVersion = NO_VERSION;
    this.applyEvents([...puts, ...removals], revision);
    if (isFirst) this.fleetItemsAtStart = this.fleetItems$.value;
    this.databases.removeUnlisted(keys);
    this.databases.adoptRecords(this.memberRecordsOf(items));
    this.evacuating.removeUnlisted(keys);
    this.changeRelay.reset(revision);
    this.recordSuccess(revision, asOf);
    return 'ok';
  }

  /** Returns the records of databases that were written in this era. */
  private memberRecordsOf(items: readonly StoredItem[]): MemberRecord[] {
    const {layout, log} = this.options;
    const records: MemberRecord[] = [];
    for (const {key, value} of items) {
      if (!isMemberRecordKey(layout.fleetPrefix, key)) continue;
      const record = decodeMemberRecord(value.toString('utf8'));
      if (!record) log('member_record_invalid', {key});
      else if (record.era === this.era) records.push(record);
    }
    return records;
  }

  private recordEra(era: number, isFirst: boolean): void {
    if (!isFirst && era <= this.era) return;
    this.eraSeenAtMs = this.clocks().steadyMs;
    if (isFirst) {
      this.eraAtStart = era;
      return;
    }
    this.databases.recordRestore();
    this.evacuating.recordRestore();
    this.restored$.next();
  }

  /**
   * Logs what a complete list shows beside what this front knew before, which
   * tells whether the store lost anything.
   */
  private logListed(
    items: readonly StoredItem[],
    revision: number,
    missingKeys: readonly string[],
  ): void {
    const {layout, log} = this.options;
    const config = items.find(({key}) => key === layout.configKey);
    const decoded = config && layout.decodeConfig(config.value);
    log('store_listed', {
      revision,
      knownRevision: this.revision,
      version: decoded?.isOk() ? decoded.value.version : undefined,
      knownVersion: this.config?.version,
      missing: missingKeys.length,
      missingKeys: missingKeys.slice(0, MAX_LOGGED_KEYS),
    });
  }

  private async watchOnce(): Promise<'ok' | 'failed' | 'list'> {
    const asOf = this.clocks();
    const {store} = this.options;
    const waitMs = this.hasRelayFailed ? 0 : WATCH_WAIT_MS;
    const reply = await store.watch('', this.revision, waitMs);
    this.hasRelayFailed = false;
    if (reply.isErr()) {
      if (reply.error.kind === StoreFaultKind.historyDiscarded) {
        this.options.log('store_history_gone', {revision: this.revision});
        return this.listAll();
      }
      return this.recordFailure('watch', reply.error.message);
    }
    const {events, revision} = reply.value;
    this.applyEvents(events, revision);
    this.recordSuccess(revision, asOf);
    this.changeRelay.publish(this.revision, asOf);
    const {fleetPrefix} = this.options.layout;
    const isFleetChange = events.some(event =>
      event.key.startsWith(fleetPrefix),
    );
    // Many fronts may start at once; the pause batches their entries.
    if (isFleetChange) await pause(FLEET_CHANGE_PAUSE_MS);
    return 'ok';
  }

  private recordFailure(call: string, text: string): 'failed' {
    this.failures++;
    this.changeRelay.suspend();
    this.databases.recordStoreFailure();
    if (this.failures === 1) this.options.log('store_lost', {call, text});
    this.databases.expireMissing();
    return 'failed';
  }

  private recordSuccess(revision: number, asOf: ClockReading): void {
    this.revision = Math.max(this.revision, revision);
    this.evacuating.recordView(asOf);
    if (this.failures > 0) {
      this.options.log('store_regained', {failures: this.failures});
      this.failures = 0;
    }
    const version = this.config?.version;
    // A restored store may hold an older version until the operator has written
    // the newer ones again, among them versions that this front has not seen.
    if (version !== undefined && this.storedVersion >= version) {
      this.freshness = newerFreshness(this.freshness, {version, asOf});
    }
    this.databases.expireMissing();
  }

  /**
   * Applies changes; `relayed` is the form in which they are kept for other
   * fronts.
   */
  private applyEvents(
    events: readonly StoreEvent[],
    revision: number,
    relayed: readonly RelayedEvent[] = events,
  ): void {
    const {layout} = this.options;
    const databaseEvents: StoreEvent[] = [];
    const evacuationEvents: StoreEvent[] = [];
    const fleetItems = this.fleetItems$.value;
    let fleetItemsDraft: Map<string, StoredItem> | undefined;
    for (const event of events) {
      const {key} = event;
      if (key === layout.configKey) {
        if (event.kind === 'put') this.applyConfig(event);
      } else if (key.startsWith(layout.databasePrefix)) {
        databaseEvents.push(event);
      } else if (key.startsWith(layout.evacuationPrefix)) {
        evacuationEvents.push(event);
      } else if (key.startsWith(layout.fleetPrefix)) {
        fleetItemsDraft ??= new Map(fleetItems);
        if (event.kind === 'put') fleetItemsDraft.set(key, event);
        else fleetItemsDraft.delete(key);
      }
    }
    this.changeRelay.record(relayed);
    this.revision = Math.max(this.revision, revision);
    this.evacuating.apply(evacuationEvents);
    this.databases.apply(databaseEvents);
    if (fleetItemsDraft) this.fleetItems$.next(fleetItemsDraft);
  }

  private applyConfig({value, revision}: StoredItem): void {
    const decoded = this.options.layout.decodeConfig(value);
    if (decoded.isErr()) {
      this.storedVersion = this.config?.version ?? NO_VERSION;
      return this.options.log('config_rejected', {text: decoded.error});
    }
    const config = decoded.value;
    this.storedVersion = config.version;
    const knownVersion = this.config?.version ?? NO_VERSION;
    if (config.version < knownVersion) {
      const {version} = config;
      this.options.log('config_older', {version, knownVersion, revision});
    }
    if (config.version <= knownVersion) return;
    this.options.log('config_applied', {
      version: config.version,
      before: knownVersion,
      revision,
      unusableCustomers: config.unusableCustomers?.slice(0, MAX_LOGGED_KEYS),
    });
    this.config$.next(config);
  }
}
