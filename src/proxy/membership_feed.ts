/**
 * Reads the platform's list of VMs, and maintains the roster of processes that
 * hold shares of the customers' rates.
 */
import {interval, merge, retry, Subscription, timer, defer} from 'rxjs';
import {z} from 'zod';
import {ListedVm} from '../core/membership.js';
import {
  restoredRoster,
  Roster,
  rateShareOf,
  withMember,
  withoutMembers,
} from '../core/roster.js';
import {Store, StoreKey} from '../store/store.js';
import {ConfigFeed, decodeStoredRoster, parseJson} from './config_feed.js';
import {addressSchema, Fleet} from './fleet.js';
import {Log} from './log.js';

const listedVmSchema = addressSchema.omit({place: true}).extend({
  region: z.string(),
  zone: z.string(),
  leaving: z.boolean().default(false),
});

export interface MembershipFeedOptions {
  readonly vm: string;
  /** `vm/boot`, with a random `boot`: a restarted process is a new member. */
  readonly rosterMember: string;
  readonly store: Store;
  readonly feed: ConfigFeed;
  readonly fleet: Fleet;
  readonly log: Log;
}

const LIST_READ_INTERVAL_MS = 10_000;
const ROSTER_CHECK_INTERVAL_MS = 500;
const WATCH_RETRY_DELAY_MS = 1_000;

/** Keeps the fleet's list of VMs and the roster up to date. */
export class MembershipFeed {
  private readonly subscriptions = new Subscription();
  private listedVms: ReadonlySet<string> | undefined;
  private listWatch: Subscription | undefined;
  private isUpdatingRoster = false;
  private hasLeft = false;

  private constructor(private readonly options: MembershipFeedOptions) {
    this.subscriptions.add(
      merge(timer(0, LIST_READ_INTERVAL_MS)).subscribe(
        () => void this.readList(),
      ),
    );
    this.subscriptions.add(
      interval(ROSTER_CHECK_INTERVAL_MS).subscribe(
        () => void this.maintainRoster(),
      ),
    );
  }

  static create(options: MembershipFeedOptions): MembershipFeed {
    return new MembershipFeed(options);
  }

  /**
   * The part of every customer's rate for which this process accrues tokens
   * now, 0 to 1.
   */
  get rateShare(): number {
    const {feed, rosterMember, fleet} = this.options;
    if (this.hasLeft) return 0;
    return rateShareOf(feed.roster, rosterMember, fleet.appliedRosterVersions);
  }

  /** Stops accruing tokens, then removes this process from the roster. */
  async leave(): Promise<void> {
    this.hasLeft = true;
    const own = new Set([this.options.rosterMember]);
    await this.updateRoster(roster => withoutMembers(roster, own));
  }

  close(): void {
    this.subscriptions.unsubscribe();
    this.listWatch?.unsubscribe();
  }

  private async readList(): Promise<void> {
    if (this.listedVms && !this.options.feed.isWatching) return;
    const read = await this.options.store.read(StoreKey.vms);
    if (read.isOk()) this.applyList(read.value.value);
  }

  /** Applies the valid entries of the platform's list. */
  private applyList(text: string): void {
    const entries = text === '' ? [] : parseJson(text);
    if (!Array.isArray(entries))
      return this.options.log('vms_rejected', {bytes: text.length});
    const list: ListedVm[] = [];
    for (const [index, entry] of entries.entries()) {
      const parsed = listedVmSchema.safeParse(entry);
      if (!parsed.success) {
        this.options.log('vm_rejected', {index});
        continue;
      }
      const {vm, host, peerPort, region, zone, leaving} = parsed.data;
      const address = {vm, host, peerPort, place: {region, zone}};
      list.push({address, leaving});
    }
    this.listedVms = new Set(list.map(entry => entry.address.vm));
    this.options.fleet.mergeListedVms(
      list.filter(entry => entry.address.vm !== this.options.vm),
    );
  }

  private async maintainRoster(): Promise<void> {
    this.updateListWatch();
    const {feed, rosterMember} = this.options;
    if (this.isUpdatingRoster || this.hasLeft) return;
    const isMember = feed.roster.members.some(m => m.vm === rosterMember);
    if (!isMember) await this.updateRoster(roster => this.withSelf(roster));
    else if (this.canRemoveUnlisted) await this.removeUnlisted(feed.roster);
  }

  /**
   * Starts or stops the watch of the list of VMs, which runs while this VM is
   * one that watches the platform.
   */
  private updateListWatch(): void {
    const shouldWatch = this.options.feed.isWatching;
    if (shouldWatch === (this.listWatch !== undefined)) return;
    this.listWatch?.unsubscribe();
    this.listWatch = shouldWatch
      ? defer(() => this.options.store.watch(StoreKey.vms))
          .pipe(retry({delay: () => timer(WATCH_RETRY_DELAY_MS)}))
          .subscribe(value => this.applyList(value.value))
      : undefined;
  }

  /**
   * Whether this VM may remove unlisted VMs from the roster: it watches the
   * platform or is the first by name.
   */
  private get canRemoveUnlisted(): boolean {
    const {feed, fleet, vm} = this.options;
    const first = [...fleet.peers, vm].sort()[0];
    return feed.isWatching || first === vm;
  }

  /** Adds this process and removes earlier processes of the same VM. */
  private withSelf(roster: Roster): Roster | undefined {
    const {rosterMember, vm} = this.options;
    const earlier = roster.members
      .map(member => member.vm)
      .filter(id => id !== rosterMember && vmOf(id) === vm);
    const pruned = withoutMembers(roster, new Set(earlier)) ?? roster;
    return withMember(pruned, rosterMember);
  }

  private async removeUnlisted(roster: Roster): Promise<void> {
    const {listedVms} = this;
    if (!listedVms) return;
    const unlisted = roster.members
      .map(member => member.vm)
      .filter(id => !listedVms.has(vmOf(id)));
    if (unlisted.length === 0) return;
    await this.updateRoster(current =>
      withoutMembers(current, new Set(unlisted)),
    );
  }

  private async updateRoster(
    change: (roster: Roster) => Roster | undefined,
  ): Promise<void> {
    const {store, feed, log} = this.options;
    this.isUpdatingRoster = true;
    try {
      const read = await store.read(StoreKey.roster);
      if (read.isErr()) return;
      const {value, revision} = read.value;
      const current = decodeStoredRoster(value);
      const restored = restoredRoster(feed.roster, current);
      if (!restored) feed.applyRoster(current);
      const next = change(restored ?? current) ?? restored;
      if (!next) return;
      const written = await store.compareAndSet(
        StoreKey.roster,
        revision,
        JSON.stringify(next),
      );
      if (written.isErr()) return;
      log('roster_changed', {
        version: next.version,
        members: next.members.length,
      });
      feed.applyRoster(next);
    } finally {
      this.isUpdatingRoster = false;
    }
  }
}

const vmOf = (rosterMember: string): string => rosterMember.split('/')[0];
