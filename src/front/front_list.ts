/** Decodes the registered fronts from the fronts' items in the store. */
import {FrontMember, Fronts} from '../core/fronts.js';
import {StoredItem} from '../store/key_values.js';
import {JsonLog} from './json_log.js';

/** Key of a front's entry; with an empty VM, the prefix of all entries. */
export const frontEntryKey = (prefix: string, vm: string): string =>
  `${prefix}fronts/${vm}`;

interface DecodedEntry {
  readonly text: string;
  readonly member: FrontMember;
}

/** Decodes a front's entry; undefined when it is invalid. */
function decodeMember(text: string): FrontMember | undefined {
  try {
    const member = JSON.parse(text) as Partial<FrontMember> | null;
    const isMember =
      typeof member?.vm === 'string' &&
      typeof member.host === 'string' &&
      typeof member.port === 'number' &&
      typeof member.place?.zone === 'string' &&
      typeof member.place.region === 'string';
    return isMember ? (member as FrontMember) : undefined;
  } catch {
    // The caller logs the invalid entry.
    return undefined;
  }
}

/**
 * The registered fronts; each entry is decoded once. The same map is returned
 * as long as no entry has changed, so that callers can cache what they derive
 * from it.
 */
export class FrontList {
  private entries = new Map<string, DecodedEntry>();
  private items: ReadonlyMap<string, StoredItem> | undefined;
  private fronts: Fronts = new Map();

  private constructor(
    private readonly prefix: string,
    private readonly log: JsonLog,
  ) {}

  static create(prefix: string, log: JsonLog): FrontList {
    return new FrontList(prefix, log);
  }

  /** Returns the fronts among the items under the fronts' prefix. */
  decodeFronts(items: ReadonlyMap<string, StoredItem>): Fronts {
    if (items !== this.items) this.decodeItems(items);
    return this.fronts;
  }

  private decodeItems(items: ReadonlyMap<string, StoredItem>): void {
    const entries = new Map<string, DecodedEntry>();
    let hasChanged = false;
    for (const [key, item] of items) {
      if (!key.startsWith(frontEntryKey(this.prefix, ''))) continue;
      const known = this.entries.get(key);
      const text = item.value.toString('utf8');
      if (known?.text === text) {
        entries.set(key, known);
        continue;
      }
      const member = decodeMember(text);
      if (member) {
        entries.set(key, {text, member});
        hasChanged = true;
      } else this.log('front_entry_invalid', {key});
    }
    this.items = items;
    if (!hasChanged && entries.size === this.entries.size) return;
    this.entries = entries;
    this.fronts = new Map(
      [...entries.values()].map(({member}) => [member.vm, member]),
    );
  }
}
