/** Keeps the platform's list of VMs and this process's place in the roster. */
import {interval, merge, retry, Subscription, timer, defer} from 'rxjs';
import {z} from 'zod';
import {ListedVm} from '../core/membership.js';
import {
  EMPTY_ROSTER,
  Roster,
  rateShareOf,
  withMember,
  withoutMembers,
} from '../core/roster.js';
import {Store, StoreKey} from '../store/store.js';
import {ConfigFeed} from './config_feed.js';
import {Fleet} from './fleet.js';
import {Log} from './log.js';

const listSchema = z.array(
  z.object({
    vm: z.string(),
    host: z.string(),
    peerPort: z.number(),
    region: z.string(),
    zone: z.string(),
    leaving: z.boolean().default(false),
  }),
);

/** What the feed needs. */
export interface MembershipFeedOptions {
  readonly vm: string;
  /** `vm/boot`: a restarted process is a new member. */
  readonly rosterMember: string;
  readonly store: Store;
  readonly feed: ConfigFeed;
  readonly fleet: Fleet;
  readonly log: Log;
}

const LIST_READ_MS = 10_000;
const ROSTER_CHECK_MS = 500;
const WATCH_RETRY_MS = 1_000;

/** The list of VMs and the roster. */
export class MembershipFeed {
  private readonly subscriptions = new Subscription();
  private listed: ReadonlySet<string> | undefined;
  private watching: Subscription | undefined;
  private editing = false;
  private left = false;

  private constructor(private readonly options: MembershipFeedOptions) {
    this.subscriptions.add(
      merge(timer(0, LIST_READ_MS)).subscribe(() => void this.readList()),
    );
    this.subscriptions.add(
      interval(ROSTER_CHECK_MS).subscribe(() => void this.upkeep()),
    );
  }

  static create(options: MembershipFeedOptions): MembershipFeed {
    return new MembershipFeed(options);
  }

  /** The part of every rate that this process accrues now. */
  get share(): number {
    const {feed, rosterMember, fleet} = this.options;
    if (this.left) return 0;
    return rateShareOf(feed.roster, rosterMember, fleet.appliedVersions);
  }

  /** Gives the share up, then leaves the roster. */
  async leave(): Promise<void> {
    this.left = true;
    const own = new Set([this.options.rosterMember]);
    await this.edit(roster => withoutMembers(roster, own));
  }

  close(): void {
    this.subscriptions.unsubscribe();
    this.watching?.unsubscribe();
  }

  private async readList(): Promise<void> {
    if (this.listed && !this.options.feed.isWatching) return;
    const read = await this.options.store.read(StoreKey.vms);
    if (read.isOk()) this.takeList(read.value.value);
  }

  private takeList(text: string): void {
    const parsed = listSchema.safeParse(text === '' ? [] : JSON.parse(text));
    if (!parsed.success) return;
    const list: ListedVm[] = parsed.data.map(entry => ({
      address: {
        vm: entry.vm,
        host: entry.host,
        peerPort: entry.peerPort,
        place: {region: entry.region, zone: entry.zone},
      },
      leaving: entry.leaving,
    }));
    this.listed = new Set(list.map(entry => entry.address.vm));
    this.options.fleet.takeList(
      list.filter(entry => entry.address.vm !== this.options.vm),
    );
  }

  private async upkeep(): Promise<void> {
    this.watchList();
    const {feed, rosterMember} = this.options;
    if (this.editing || this.left) return;
    const isMember = feed.roster.members.some(m => m.vm === rosterMember);
    if (!isMember) await this.edit(roster => this.joined(roster));
    else if (this.mayRemoveDead) await this.removeDead(feed.roster);
  }

  /** The VMs that watch the platform watch its list of VMs too. */
  private watchList(): void {
    const wanted = this.options.feed.isWatching;
    if (wanted === (this.watching !== undefined)) return;
    this.watching?.unsubscribe();
    this.watching = wanted
      ? defer(() => this.options.store.watch(StoreKey.vms))
          .pipe(retry({delay: () => timer(WATCH_RETRY_MS)}))
          .subscribe(value => this.takeList(value.value))
      : undefined;
  }

  private get mayRemoveDead(): boolean {
    const {feed, fleet, vm} = this.options;
    const first = [...fleet.peers, vm].sort()[0];
    return feed.isWatching || first === vm;
  }

  /** Adds this process and drops earlier processes of the same VM. */
  private joined(roster: Roster): Roster | undefined {
    const {rosterMember, vm} = this.options;
    const earlier = roster.members
      .map(member => member.vm)
      .filter(id => id !== rosterMember && vmOf(id) === vm);
    const pruned = withoutMembers(roster, new Set(earlier)) ?? roster;
    return withMember(pruned, rosterMember);
  }

  private async removeDead(roster: Roster): Promise<void> {
    const {listed} = this;
    if (!listed) return;
    const dead = roster.members
      .map(member => member.vm)
      .filter(id => !listed.has(vmOf(id)));
    if (dead.length === 0) return;
    await this.edit(held => withoutMembers(held, new Set(dead)));
  }

  private async edit(
    change: (roster: Roster) => Roster | undefined,
  ): Promise<void> {
    const {store, feed, log} = this.options;
    this.editing = true;
    try {
      const read = await store.read(StoreKey.roster);
      if (read.isErr()) return;
      const {value, revision} = read.value;
      const held = value === '' ? EMPTY_ROSTER : (JSON.parse(value) as Roster);
      feed.offerRoster(held);
      const next = change(held);
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
      feed.offerRoster(next);
    } finally {
      this.editing = false;
    }
  }
}

const vmOf = (rosterMember: string): string => rosterMember.split('/')[0];
