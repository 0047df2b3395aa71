/** Reads the registered fronts from the fronts' own items in the store. */
import {FrontMember, Fronts} from '../core/fronts.js';
import {StoredItem} from '../store/key_values.js';
import {JsonLog} from './json_log.js';

/** Key of a front's entry. */
export const frontEntryKey = (prefix: string, vm: string): string =>
  `${prefix}fronts/${vm}`;

interface ReadMember {
  readonly text: string;
  readonly member: FrontMember;
}

/** A front's entry, or undefined when it is not one. */
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
    // The caller logs what could not be read.
    return undefined;
  }
}

/**
 * The fronts, decoded once an entry. The same set is given as long as no entry
 * has changed, so that what is worked out from it can be kept.
 */
export class FrontList {
  private read = new Map<string, ReadMember>();
  private items: ReadonlyMap<string, StoredItem> | undefined;
  private fronts: Fronts = new Map();

  private constructor(
    private readonly prefix: string,
    private readonly log: JsonLog,
  ) {}

  static create(prefix: string, log: JsonLog): FrontList {
    return new FrontList(prefix, log);
  }

  /** The fronts among the items under the own prefix. */
  decodeFronts(items: ReadonlyMap<string, StoredItem>): Fronts {
    if (items !== this.items) this.take(items);
    return this.fronts;
  }

  private take(items: ReadonlyMap<string, StoredItem>): void {
    const read = new Map<string, ReadMember>();
    let changed = false;
    for (const [key, item] of items) {
      if (!key.startsWith(frontEntryKey(this.prefix, ''))) continue;
      const known = this.read.get(key);
      const text = item.value.toString('utf8');
      if (known?.text === text) {
        read.set(key, known);
        continue;
      }
      const member = decodeMember(text);
      if (member) {
        read.set(key, {text, member});
        changed = true;
      } else this.log('front_entry_invalid', {key});
    }
    this.items = items;
    if (!changed && read.size === this.read.size) return;
    this.read = read;
    this.fronts = new Map(
      [...read.values()].map(({member}) => [member.vm, member]),
    );
  }
}
