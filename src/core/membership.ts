/**
 * Fleet membership by gossip: each VM sends heartbeats to a bounded number of
 * peers, attaches recent changes, and merges the platform's list of VMs, which
 * may lag. Views may differ between VMs; they are used only to place work.
 */
import {Candidate, Place} from './placement.js';

/** State of a VM as seen by others, in ascending order of precedence. */
export const MemberStatus = {
  alive: 'alive',
  leaving: 'leaving',
  suspect: 'suspect',
  gone: 'gone',
} as const;
export type MemberStatus = (typeof MemberStatus)[keyof typeof MemberStatus];

const PRECEDENCE: Record<MemberStatus, number> = {
  alive: 0,
  leaving: 1,
  suspect: 2,
  gone: 3,
};

/** Where other VMs reach a VM; identified by `vm`. */
export interface VmAddress {
  readonly vm: string;
  readonly host: string;
  readonly peerPort: number;
  readonly place: Place;
}

/** A VM's state as sent between VMs. */
export interface MemberUpdate {
  readonly address: VmAddress;
  /** Increases when the VM restarts or refutes a suspicion. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** A VM's state as known locally; `failures` counts missed heartbeats. */
export interface Member extends MemberUpdate {
  readonly changedAtMs: number;
  readonly lastSeenAtMs: number;
  readonly failures: number;
}

/** One VM's view of the fleet. Immutable. */
export interface Membership {
  readonly self: MemberUpdate;
  readonly others: ReadonlyMap<string, Member>;
  /** Names of the other VMs, sorted: the order of heartbeats. */
  readonly order: readonly string[];
  /** Index in `order` of the next heartbeat's target. */
  readonly nextIndex: number;
}

/** A VM in the platform's list. */
export interface ListedVm {
  readonly address: VmAddress;
  readonly leaving: boolean;
}

/** Number of peers that receive a heartbeat in each interval. */
export const HEARTBEAT_FANOUT = 3;
export const HEARTBEAT_INTERVAL_MS = 500;
const SUSPECT_AFTER_FAILURES = 2;
const SUSPECT_TIMEOUT_MS = 4_000;
/** How long a change is attached to heartbeats. */
const GOSSIP_DURATION_MS = 5_000;
const MAX_GOSSIPED_UPDATES = 16;

export const createMembership = (
  address: VmAddress,
  incarnation: number,
): Membership => ({
  self: {address, incarnation, status: MemberStatus.alive},
  others: new Map(),
  order: [],
  nextIndex: 0,
});

const supersedes = (next: MemberUpdate, known: MemberUpdate): boolean =>
  next.incarnation > known.incarnation ||
  (next.incarnation === known.incarnation &&
    PRECEDENCE[next.status] > PRECEDENCE[known.status]);

function withOther(view: Membership, member: Member): Membership {
  const {vm} = member.address;
  const others = new Map(view.others).set(vm, member);
  const order = view.others.has(vm) ? view.order : [...view.order, vm].sort();
  return {...view, others, order};
}

/** Merges updates from another VM. */
export function mergeUpdates(
  view: Membership,
  updates: readonly MemberUpdate[],
  nowMs: number,
): Membership {
  return updates.reduce((next, update) => mergeOne(next, update, nowMs), view);
}

function mergeOne(
  view: Membership,
  update: MemberUpdate,
  nowMs: number,
): Membership {
  const {vm} = update.address;
  if (vm === view.self.address.vm) return refute(view, update);
  const known = view.others.get(vm);
  if (known && !supersedes(update, known)) return view;
  return withOther(view, {
    ...update,
    changedAtMs: nowMs,
    lastSeenAtMs: known?.lastSeenAtMs ?? nowMs,
    failures: 0,
  });
}

/** Refutes an update that calls this VM suspect or gone. */
function refute(view: Membership, update: MemberUpdate): Membership {
  if (update.incarnation < view.self.incarnation) return view;
  if (PRECEDENCE[update.status] <= PRECEDENCE.leaving) return view;
  const incarnation = update.incarnation + 1;
  return {...view, self: {...view.self, incarnation}};
}

/** Records that a VM sent a heartbeat or answered one. */
export function recordHeartbeat(
  view: Membership,
  update: MemberUpdate,
  nowMs: number,
): Membership {
  const merged = mergeOne(view, update, nowMs);
  const member = merged.others.get(update.address.vm);
  if (!member) return merged;
  return withOther(merged, {...member, lastSeenAtMs: nowMs, failures: 0});
}

/** Records that a VM did not answer a heartbeat. */
export function recordMissedHeartbeat(
  view: Membership,
  vm: string,
  nowMs: number,
): Membership {
  const member = view.others.get(vm);
  if (!member) return view;
  const failures = member.failures + 1;
  const becomesSuspect =
    failures >= SUSPECT_AFTER_FAILURES &&
    PRECEDENCE[member.status] < PRECEDENCE.suspect;
  return withOther(view, {
    ...member,
    failures,
    status: becomesSuspect ? MemberStatus.suspect : member.status,
    changedAtMs: becomesSuspect ? nowMs : member.changedAtMs,
  });
}

/**
 * Merges the platform's list. Removes unlisted VMs only if they have also sent
 * no heartbeat for `SUSPECT_TIMEOUT_MS`, because the list may lag.
 */
export function mergePlatformList(
  view: Membership,
  list: readonly ListedVm[],
  nowMs: number,
): Membership {
  const listed = new Map(list.map(entry => [entry.address.vm, entry]));
  let next = view;
  for (const {address, leaving} of list) {
    const status = leaving ? MemberStatus.leaving : MemberStatus.alive;
    const known = next.others.get(address.vm);
    const incarnation = known?.incarnation ?? 0;
    next = mergeOne(next, {address, incarnation, status}, nowMs);
  }
  const others = [...next.others].filter(
    ([vm, member]) =>
      listed.has(vm) || nowMs - member.lastSeenAtMs < SUSPECT_TIMEOUT_MS,
  );
  const order = others.map(([vm]) => vm).sort();
  return {...next, others: new Map(others), order};
}

/** Marks VMs as gone that have been suspect for `SUSPECT_TIMEOUT_MS`. */
export function expireSuspects(view: Membership, nowMs: number): Membership {
  const expired = [...view.others.values()].filter(
    member =>
      member.status === MemberStatus.suspect &&
      nowMs - member.changedAtMs > SUSPECT_TIMEOUT_MS,
  );
  if (expired.length === 0) return view;
  const others = new Map(view.others);
  for (const member of expired) {
    others.set(member.address.vm, {
      ...member,
      status: MemberStatus.gone,
      changedAtMs: nowMs,
    });
  }
  return {...view, others};
}

/** Marks this VM as leaving: it will stop, so others give it no new work. */
export const markLeaving = (view: Membership): Membership => ({
  ...view,
  self: {
    ...view.self,
    incarnation: view.self.incarnation + 1,
    status: MemberStatus.leaving,
  },
});

/** Returns the targets of the next heartbeats, in round robin order. */
export function nextHeartbeatTargets(view: Membership): {
  view: Membership;
  targets: readonly VmAddress[];
} {
  const {order, others} = view;
  const count = Math.min(HEARTBEAT_FANOUT, order.length);
  const targets = Array.from({length: count}, (_, i) => {
    const member = others.get(order[(view.nextIndex + i) % order.length]);
    return member?.address;
  });
  const nextIndex =
    order.length === 0 ? 0 : (view.nextIndex + count) % order.length;
  return {
    view: {...view, nextIndex},
    targets: targets.filter(address => address !== undefined),
  };
}

/** Returns the updates of a heartbeat: this VM and the newest changes. */
export function updatesToGossip(
  view: Membership,
  nowMs: number,
): readonly MemberUpdate[] {
  const recent = [...view.others.values()]
    .filter(member => nowMs - member.changedAtMs < GOSSIP_DURATION_MS)
    .sort((a, b) => b.changedAtMs - a.changedAtMs)
    .slice(0, MAX_GOSSIPED_UPDATES)
    .map(({address, incarnation, status}) => ({address, incarnation, status}));
  return [view.self, ...recent];
}

/** Returns the VMs that may own pools: only those that are alive. */
export function poolCandidates(view: Membership): Candidate[] {
  const all: MemberUpdate[] = [view.self, ...view.others.values()];
  return all
    .filter(member => member.status === MemberStatus.alive)
    .map(({address}) => ({vm: address.vm, place: address.place}));
}

export const addressOf = (
  view: Membership,
  vm: string,
): VmAddress | undefined => view.others.get(vm)?.address;
