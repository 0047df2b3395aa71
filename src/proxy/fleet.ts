/**
 * Exchanges heartbeats with the other VMs of the fleet, tracks their membership
 * and holds the connections to them.
 */
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
import {PeerAddress, PeerClient} from '../peer/client.js';
import {ConfigFeed} from './config_feed.js';
import {Log} from './log.js';

const placeSchema = z.object({region: z.string(), zone: z.string()});

/** Schema of the name, address and place of a VM. */
export const addressSchema = z.object({
  vm: z.string().min(1).max(255),
  host: z.string().min(1).max(255),
  peerPort: z.number().int().min(1).max(65_535),
  place: placeSchema,
});

const updateSchema = z.object({
  address: addressSchema,
  incarnation: z.number().int(),
  status: z.enum(['alive', 'leaving', 'suspect', 'gone']),
});

const heartbeatSchema = z.object({
  updates: z.array(updateSchema).min(1).max(64),
  configVersion: z.number().int(),
  rosterVersion: z.number().int(),
  rosterMember: z.string(),
});

/** A heartbeat message; the response has the same form. */
export type Heartbeat = z.infer<typeof heartbeatSchema>;

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
const MAX_BOOTSTRAP_PEERS = 3;

/** The fleet as this VM sees it, and the connections to the other VMs. */
export class Fleet {
  private view: Membership;
  private readonly clients = new Map<string, PeerClient>();
  /** Roster version that each roster member has reported as applied. */
  private readonly rosterVersions = new Map<string, number>();
  private readonly subscription: Subscription;
  private isFetching = false;
  private candidatesView: Membership | undefined;
  private cachedCandidates: readonly Candidate[] = [];

  private constructor(private readonly options: FleetOptions) {
    this.view = createMembership(options.address, Date.now());
    options.rpc.addMethod('heartbeat', params => this.onHeartbeat(params));
    options.rpc.addMethod('config.get', () => options.feed.config);
    options.rpc.addMethod('roster.get', () => options.feed.roster);
    this.subscription = interval(HEARTBEAT_INTERVAL_MS).subscribe(() =>
      this.sendHeartbeats(),
    );
  }

  static create(options: FleetOptions): Fleet {
    return new Fleet(options);
  }

  /**
   * VMs that may own connection pools. The array stays the same object until
   * they change, so that users can compare it by identity.
   */
  get candidates(): readonly Candidate[] {
    if (this.candidatesView !== this.view) {
      this.candidatesView = this.view;
      const next = poolCandidates(this.view);
      const isUnchanged = areSameCandidates(next, this.cachedCandidates);
      this.cachedCandidates = isUnchanged ? this.cachedCandidates : next;
    }
    return this.cachedCandidates;
  }

  /** Other VMs that are alive. */
  get peers(): string[] {
    const self = this.options.address.vm;
    return this.candidates.map(c => c.vm).filter(vm => vm !== self);
  }

  get appliedRosterVersions(): ReadonlyMap<string, number> {
    return this.rosterVersions;
  }

  /** Returns the connection to a VM, or undefined if its address is unknown. */
  client(vm: string): PeerClient | undefined {
    const known = addressOf(this.view, vm);
    if (!known) return undefined;
    const address = {host: known.host, port: known.peerPort};
    const former = this.clients.get(vm);
    if (former?.isFor(address)) return former;
    // The VM was started again elsewhere.
    former?.close();
    const client = PeerClient.create({
      vm,
      address,
      secrets: this.options.secrets,
      maxFrameBytes: this.options.maxFrameBytes,
    });
    this.clients.set(vm, client);
    return client;
  }

  /** Sets the port that the operating system assigned to the peer listener. */
  setPeerPort(peerPort: number): void {
    const address = {...this.view.self.address, peerPort};
    this.view = {...this.view, self: {...this.view.self, address}};
  }

  /** Merges the platform's list of VMs into the membership. */
  mergeListedVms(list: readonly ListedVm[]): void {
    this.view = mergePlatformList(this.view, list, Date.now());
  }

  /** Records that a VM failed to serve a request. */
  reportFailure(vm: string): void {
    this.view = recordMissedHeartbeat(this.view, vm, Date.now());
  }

  /** Announces to the other VMs that this VM is shutting down. */
  async leave(): Promise<void> {
    this.view = markLeaving(this.view);
    await Promise.all(this.peers.map(vm => this.sendHeartbeat(vm)));
  }

  /**
   * Fetches the configuration and the roster from several peers, for a start
   * during an outage of the platform.
   */
  async bootstrapFromPeers(seeds: readonly PeerAddress[]): Promise<void> {
    await Promise.all(seeds.map(address => this.contactSeed(address)));
    const contacted = this.peers.slice(0, MAX_BOOTSTRAP_PEERS);
    await Promise.all(contacted.map(vm => this.sendHeartbeat(vm)));
  }

  /**
   * Asks the VM at a seed address for its name and for the VMs that it knows.
   */
  private async contactSeed(address: PeerAddress): Promise<void> {
    const {secrets, maxFrameBytes} = this.options;
    const vm = `${address.host}:${address.port}`;
    const client = PeerClient.create({vm, address, secrets, maxFrameBytes});
    try {
      const answer = await client.call<unknown>(
        'heartbeat',
        this.createHeartbeat(),
        HEARTBEAT_TIMEOUT_MS,
      );
      const {updates} = heartbeatSchema.parse(answer);
      this.view = mergeUpdates(this.view, updates, Date.now());
    } catch {
      // Another seed or the next attempt may succeed.
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

  private sendHeartbeats(): void {
    const nowMs = Date.now();
    this.view = expireSuspects(this.view, nowMs);
    this.closeRemoved();
    const {view, targets} = nextHeartbeatTargets(this.view);
    this.view = view;
    for (const target of targets) void this.sendHeartbeat(target.vm);
  }

  /**
   * Closes the connections to VMs with status `gone`. This ends the lanes at
   * them, so that no caller waits for a removed VM.
   */
  private closeRemoved(): void {
    for (const [vm, client] of this.clients) {
      if (this.view.others.get(vm)?.status !== MemberStatus.gone) continue;
      client.close();
      this.clients.delete(vm);
    }
  }

  private async sendHeartbeat(vm: string): Promise<boolean> {
    const client = this.client(vm);
    if (!client) return false;
    try {
      const answer = await client.call<unknown>(
        'heartbeat',
        this.createHeartbeat(),
        HEARTBEAT_TIMEOUT_MS,
      );
      await this.applyHeartbeat(heartbeatSchema.parse(answer), vm);
      return true;
    } catch {
      this.view = recordMissedHeartbeat(this.view, vm, Date.now());
      return false;
    }
  }

  private createHeartbeat(): Heartbeat {
    const {feed, rosterMember} = this.options;
    return {
      updates: [...updatesToGossip(this.view, Date.now())],
      configVersion: feed.config.version,
      rosterVersion: feed.roster.version,
      rosterMember,
    };
  }

  private onHeartbeat(params: unknown): Heartbeat {
    const parsed = heartbeatSchema.parse(params);
    void this.applyHeartbeat(parsed, parsed.updates[0].address.vm);
    return this.createHeartbeat();
  }

  private async applyHeartbeat(
    heartbeat: Heartbeat,
    senderVm: string,
  ): Promise<void> {
    const nowMs = Date.now();
    const [sender, ...others] = heartbeat.updates as MemberUpdate[];
    this.view = recordHeartbeat(this.view, sender, nowMs);
    this.view = mergeUpdates(this.view, others, nowMs);
    const knownVersion = this.rosterVersions.get(heartbeat.rosterMember) ?? 0;
    this.rosterVersions.set(
      heartbeat.rosterMember,
      Math.max(knownVersion, heartbeat.rosterVersion),
    );
    await this.fetchNewerDocuments(heartbeat, senderVm);
  }

  private async fetchNewerDocuments(
    heartbeat: Heartbeat,
    vm: string,
  ): Promise<void> {
    const {feed} = this.options;
    const client = this.client(vm);
    if (this.isFetching || !client) return;
    this.isFetching = true;
    try {
      if (heartbeat.configVersion > feed.config.version) {
        feed.applyConfig(
          await client.call<unknown>('config.get', {}, FETCH_TIMEOUT_MS),
        );
      }
      if (heartbeat.rosterVersion > feed.roster.version) {
        feed.applyRoster(
          await client.call<unknown>('roster.get', {}, FETCH_TIMEOUT_MS),
        );
      }
    } catch {
      // The next heartbeat retries.
    } finally {
      this.isFetching = false;
    }
  }
}

const areSameCandidates = (
  a: readonly Candidate[],
  b: readonly Candidate[],
): boolean =>
  a.length === b.length &&
  a.every((candidate, index) => candidate.vm === b[index].vm);
