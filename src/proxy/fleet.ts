/** This VM among the others: heartbeats, peer connections, membership view. */
import {JSONRPCServer} from 'json-rpc-2.0';
import {interval, Subscription} from 'rxjs';
import {z} from 'zod';
import {
  addressOf,
  poolCandidates,
  createMembership,
  expireSuspects,
  recordHeartbeat,
  HEARTBEAT_INTERVAL_MS,
  markLeaving,
  ListedVm,
  Membership,
  MemberStatus,
  MemberUpdate,
  mergePlatformList,
  mergeUpdates,
  recordMissedHeartbeat,
  nextHeartbeatTargets,
  updatesToGossip,
  VmAddress,
} from '../core/membership.js';
import {Candidate} from '../core/placement.js';
import {Config} from '../core/config.js';
import {Roster} from '../core/roster.js';
import {PeerAddress, PeerClient} from '../peer/client.js';
import {ConfigFeed} from './config_feed.js';
import {Log} from './log.js';

const placeSchema = z.object({region: z.string(), zone: z.string()});

const updateSchema = z.object({
  address: z.object({
    vm: z.string(),
    host: z.string(),
    peerPort: z.number(),
    place: placeSchema,
  }),
  incarnation: z.number(),
  status: z.enum(['alive', 'leaving', 'suspect', 'gone']),
});

const heartbeatSchema = z.object({
  updates: z.array(updateSchema).min(1).max(64),
  configVersion: z.number(),
  rosterVersion: z.number(),
  rosterMember: z.string(),
});

/** A heartbeat; its answer has the same shape. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

/** What the fleet needs. */
export interface FleetOptions {
  readonly address: VmAddress;
  readonly secrets: readonly string[];
  readonly maxFrameBytes: number;
  readonly feed: ConfigFeed;
  readonly rpc: JSONRPCServer;
  readonly log: Log;
  /** Identity of this process in the roster. */
  readonly rosterMember: string;
}

const HEARTBEAT_TIMEOUT_MS = 450;
const FETCH_TIMEOUT_MS = 2_000;
const BOOT_PEERS = 3;

/** Membership and the connections to other VMs. */
export class Fleet {
  private view: Membership;
  private readonly clients = new Map<string, PeerClient>();
  /** Roster version that each roster member has reported as applied. */
  private readonly applied = new Map<string, number>();
  private readonly subscription: Subscription;
  private fetching = false;
  private candidatesOf: Membership | undefined;
  private knownCandidates: readonly Candidate[] = [];

  private constructor(private readonly options: FleetOptions) {
    this.view = createMembership(options.address, Date.now());
    options.rpc.addMethod('heartbeat', params => this.answer(params));
    options.rpc.addMethod('config.get', () => options.feed.config);
    options.rpc.addMethod('roster.get', () => options.feed.roster);
    this.subscription = interval(HEARTBEAT_INTERVAL_MS).subscribe(() =>
      this.beat(),
    );
  }

  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /** VMs that may own pools; the same array while nothing changes. */
  get candidates(): readonly Candidate[] {
    if (this.candidatesOf !== this.view) {
      this.candidatesOf = this.view;
      const next = poolCandidates(this.view);
      const same = sameCandidates(next, this.knownCandidates);
      this.knownCandidates = same ? this.knownCandidates : next;
    }
    return this.knownCandidates;
  }

  /** Other VMs that are alive. */
  get peers(): string[] {
    const self = this.options.address.vm;
    return this.candidates.map(c => c.vm).filter(vm => vm !== self);
  }

  get appliedVersions(): ReadonlyMap<string, number> {
    return this.applied;
  }

  /** Connection to a VM, or undefined when it is unknown. */
  client(vm: string): PeerClient | undefined {
    const address = addressOf(this.view, vm);
    if (!address) return undefined;
    const known = this.clients.get(vm);
    if (known) return known;
    const client = PeerClient.create({
      vm,
      address: {host: address.host, port: address.peerPort},
      secrets: this.options.secrets,
      maxFrameBytes: this.options.maxFrameBytes,
    });
    this.clients.set(vm, client);
    return client;
  }

  /** Notes the port that the peer listener was given. */
  setPeerPort(peerPort: number): void {
    const address = {...this.view.self.address, peerPort};
    this.view = {...this.view, self: {...this.view.self, address}};
  }

  /** Takes in the platform's list of VMs. */
  takeList(list: readonly ListedVm[]): void {
    this.view = mergePlatformList(this.view, list, Date.now());
  }

  /** Notes that a VM failed to serve a request. */
  reportFailure(vm: string): void {
    this.view = recordMissedHeartbeat(this.view, vm, Date.now());
  }

  /** Tells the others that this VM is leaving. */
  async leave(): Promise<void> {
    this.view = markLeaving(this.view);
    await Promise.all(this.peers.map(vm => this.beatOne(vm)));
  }

  /** Asks several peers for what they hold, as at boot during an outage. */
  async askPeers(seeds: readonly PeerAddress[]): Promise<void> {
    await Promise.all(seeds.map(address => this.askSeed(address)));
    const asked = this.peers.slice(0, BOOT_PEERS);
    await Promise.all(asked.map(vm => this.beatOne(vm)));
  }

  /** Learns the VM behind an address. */
  private async askSeed(address: PeerAddress): Promise<void> {
    const {secrets, maxFrameBytes} = this.options;
    const vm = `${address.host}:${address.port}`;
    const client = PeerClient.create({vm, address, secrets, maxFrameBytes});
    try {
      const answer = await client.call<unknown>(
        'heartbeat',
        this.message(),
        HEARTBEAT_TIMEOUT_MS,
      );
      const {updates} = heartbeatSchema.parse(answer);
      this.view = mergeUpdates(this.view, updates, Date.now());
    } catch {
      // Another seed, or the next round, may answer.
    } finally {
      client.close();
    }
  }

  dump(): object {
    const others = [...this.view.others.values()].map(member => ({
      vm: member.address.vm,
      status: member.status,
      heardAgoMs: Date.now() - member.lastSeenAtMs,
    }));
    return {self: this.view.self.status, others};
  }

  close(): void {
    this.subscription.unsubscribe();
    for (const client of this.clients.values()) client.close();
  }

  private beat(): void {
    const nowMs = Date.now();
    this.view = expireSuspects(this.view, nowMs);
    this.closeGone();
    const {view, targets} = nextHeartbeatTargets(this.view);
    this.view = view;
    for (const target of targets) void this.beatOne(target.vm);
  }

  /** Ends the lanes at VMs that are gone, so that nobody waits for them. */
  private closeGone(): void {
    for (const [vm, client] of this.clients) {
      if (this.view.others.get(vm)?.status !== MemberStatus.gone) continue;
      client.close();
      this.clients.delete(vm);
    }
  }

  private async beatOne(vm: string): Promise<boolean> {
    const client = this.client(vm);
    if (!client) return false;
    try {
      const answer = await client.call<unknown>(
        'heartbeat',
        this.message(),
        HEARTBEAT_TIMEOUT_MS,
      );
      await this.take(heartbeatSchema.parse(answer), vm);
      return true;
    } catch {
      this.view = recordMissedHeartbeat(this.view, vm, Date.now());
      return false;
    }
  }

  private message(): Heartbeat {
    const {feed, rosterMember} = this.options;
    return {
      updates: [...updatesToGossip(this.view, Date.now())],
      configVersion: feed.config.version,
      rosterVersion: feed.roster.version,
      rosterMember,
    };
  }

  private answer(params: unknown): Heartbeat {
    const parsed = heartbeatSchema.parse(params);
    void this.take(parsed, parsed.updates[0].address.vm);
    return this.message();
  }

  private async take(heartbeat: Heartbeat, from: string): Promise<void> {
    const nowMs = Date.now();
    const [sender, ...others] = heartbeat.updates as MemberUpdate[];
    this.view = recordHeartbeat(this.view, sender, nowMs);
    this.view = mergeUpdates(this.view, others, nowMs);
    const known = this.applied.get(heartbeat.rosterMember) ?? 0;
    this.applied.set(
      heartbeat.rosterMember,
      Math.max(known, heartbeat.rosterVersion),
    );
    await this.fetchNewer(heartbeat, from);
  }

  private async fetchNewer(heartbeat: Heartbeat, vm: string): Promise<void> {
    const {feed} = this.options;
    const client = this.client(vm);
    if (this.fetching || !client) return;
    this.fetching = true;
    try {
      if (heartbeat.configVersion > feed.config.version) {
        feed.offerConfig(
          await client.call<Config>('config.get', {}, FETCH_TIMEOUT_MS),
        );
      }
      if (heartbeat.rosterVersion > feed.roster.version) {
        feed.offerRoster(
          await client.call<Roster>('roster.get', {}, FETCH_TIMEOUT_MS),
        );
      }
    } catch {
      // The next heartbeat tries again.
    } finally {
      this.fetching = false;
    }
  }
}

const sameCandidates = (
  a: readonly Candidate[],
  b: readonly Candidate[],
): boolean =>
  a.length === b.length &&
  a.every((candidate, index) => candidate.vm === b[index].vm);
