/** Decodes the registered fronts from the fronts' items in the store. */
import {FrontMember, Fronts} from '../core/fronts.js';
import {StoredItem} from '../store/key_values.js';
import {isPort} from './front_settings.js';
import {JsonLog} from './json_log.js';

/** Key of a front's entry; with an empty VM, the prefix of all entries. */
export const frontEntryKey = (prefix: string, vm: string): string =>
  `${prefix}fronts/${vm}`;

interface DecodedEntry {
  readonly text: string;
  readonly member: FrontMember;
}

/** A host name or IP address. */
const HOST_PATTERN = /^[!-~]{1,253}$/;

/** Whether a parsed value is the entry of the front `vm`, with usable fields. */
function isMember(value: unknown, vm: string): value is FrontMember {
  if (typeof value !== 'object' || value === null) return false;
  const member = value as Partial<Record<keyof FrontMember, unknown>>;
  const {host, port, leaving} = member;
  const place = member.place as Partial<FrontMember['place']> | null;
  return (
    member.vm === vm &&
    typeof host === 'string' &&
    HOST_PATTERN.test(host) &&
    isPort(port) &&
    typeof leaving === 'boolean' &&
    typeof place?.zone === 'string' &&
    typeof place.region === 'string'
  );
}

/** Decodes the entry of the front `vm`; undefined when it is invalid. */
function decodeMember(text: string, vm: string): FrontMember | undefined {
  try {
    const parsed: unknown = JSON.parse(text);
    return isMember(parsed, vm) ? parsed : undefined;
  } catch {
    // The caller logs the invalid entry.
    return undefined;
  }
}

/**
 * How long fronts that were known before a restore of the store are kept
 * without an entry. Longer than their leases run, so that a front is dropped
 * only once it knows that it is no longer registered.
 */
const RETENTION_MS = 6_500;

/**
 * The registered fronts; each entry is decoded once. The same map is returned
 * as long as no entry has changed, so that callers can cache what they derive
 * from it.
 */
export class FrontList {
  /** Decoded entries, listed and retained, by key. */
  private entries: ReadonlyMap<string, DecodedEntry> = new Map();
  /** Keys of entries that are kept though they may be missing. */
  private readonly retainedKeys = new Set<string>();
  private retainedUntilMs = -Infinity;
  private items: ReadonlyMap<string, StoredItem> | undefined;
  private fronts: Fronts = new Map();

  private constructor(
    private readonly prefix: string,
    private readonly log: JsonLog,
    private readonly nowMs: () => number,
  ) {}

  static create(
    prefix: string,
    log: JsonLog,
    nowMs: () => number = () => performance.now(),
  ): FrontList {
    return new FrontList(prefix, log, nowMs);
  }

  /**
   * Returns the fronts among the items under the fronts' prefix, and those that
   * are retained.
   */
  decodeFronts(items: ReadonlyMap<string, StoredItem>): Fronts {
    const hasExpired =
      this.retainedKeys.size > 0 && this.nowMs() >= this.retainedUntilMs;
    if (hasExpired) this.retainedKeys.clear();
    if (items !== this.items || hasExpired) this.decodeItems(items);
    return this.fronts;
  }

  /**
   * Keeps the fronts that are known now for a while, until each is listed
   * again: a restore of the store may have lost the entries of running fronts.
   */
  retain(): void {
    this.retainedUntilMs = this.nowMs() + RETENTION_MS;
    for (const key of this.entries.keys()) this.retainedKeys.add(key);
  }

  private decodeItems(items: ReadonlyMap<string, StoredItem>): void {
    this.items = items;
    const entries = new Map<string, DecodedEntry>();
    for (const [key, item] of items) {
      if (!key.startsWith(frontEntryKey(this.prefix, ''))) continue;
      const entry = this.decodeEntry(key, item);
      if (entry) entries.set(key, entry);
    }
    for (const key of this.retainedKeys) {
      const known = this.entries.get(key);
      if (entries.has(key) || !known) this.retainedKeys.delete(key);
      else entries.set(key, known);
    }
    const isSame =
      entries.size === this.entries.size &&
      [...entries].every(([key, entry]) => this.entries.get(key) === entry);
    if (isSame) return;
    this.entries = entries;
    this.fronts = new Map(
      [...entries.values()].map(({member}) => [member.vm, member]),
    );
  }

  private decodeEntry(key: string, item: StoredItem): DecodedEntry | undefined {
    const known = this.entries.get(key);
    const text = item.value.toString('utf8');
    if (known?.text === text) return known;
    const vm = key.slice(frontEntryKey(this.prefix, '').length);
    const member = decodeMember(text, vm);
    if (!member) this.log('front_entry_invalid', {key});
    return member && {text, member};
  }
}
