/**
 * Which VMs are there, from heartbeats to a bounded sample of peers, changes
 * passed on with them, and the platform's lagging list. Views may differ
 * between VMs: they place work and decide nothing else.
 */
import {Candidate, Place} from './placement.js';

/** State of a VM as others see it, in rising order of precedence. */
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

/** Where a VM is and how to reach it. */
export interface VmAddress {
  readonly vm: string;
  readonly host: string;
  readonly peerPort: number;
  readonly place: Place;
}

/** What is told about a VM. */
export interface MemberUpdate {
  readonly address: VmAddress;
  /** Rises when the VM restarts or refutes a suspicion. */
  readonly incarnation: number;
  readonly status: MemberStatus;
}

/** What is known about a VM. */
export interface Member extends MemberUpdate {
  readonly changedAtMs: number;
  readonly lastSeenAtMs: number;
  readonly failures: number;
}

/** One VM's view of the fleet. Immutable. */
export interface Membership {
  readonly self: MemberUpdate;
  readonly others: ReadonlyMap<string, Member>;
  /** Names of the others, sorted: the order of heartbeats. */
  readonly order: readonly string[];
  /** Place in `order` of the next heartbeat's target. */
  readonly nextIndex: number;
}

/** A VM of the platform's list. */
export interface ListedVm {
  readonly address: VmAddress;
  readonly leaving: boolean;
}

/** Heartbeats sent at each interval. */
export const HEARTBEAT_FANOUT = 3;
export const HEARTBEAT_INTERVAL_MS = 500;
const SUSPECT_AFTER_FAILURES = 2;
const SUSPECT_TIMEOUT_MS = 4_000;
/** A change is passed on for this long. */
const SPREAD_MS = 5_000;
const MAX_UPDATES = 16;

export const createMembership = (
  address: VmAddress,
  incarnation: number,
): Membership => ({
  self: {address, incarnation, status: MemberStatus.alive},
  others: new Map(),
  order: [],
  nextIndex: 0,
});

const supersedes = (next: MemberUpdate, held: MemberUpdate): boolean =>
  next.incarnation > held.incarnation ||
  (next.incarnation === held.incarnation &&
    PRECEDENCE[next.status] > PRECEDENCE[held.status]);

function withOther(view: Membership, member: Member): Membership {
  const {vm} = member.address;
  const others = new Map(view.others).set(vm, member);
  const order = view.others.has(vm) ? view.order : [...view.order, vm].sort();
  return {...view, others, order};
}

/** Takes in what another VM tells. */
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
  const held = view.others.get(vm);
  if (held && !supersedes(update, held)) return view;
  return withOther(view, {
    ...update,
    changedAtMs: nowMs,
    lastSeenAtMs: held?.lastSeenAtMs ?? nowMs,
    failures: 0,
  });
}

/** A VM that is called suspect or gone says otherwise. */
function refute(view: Membership, update: MemberUpdate): Membership {
  if (update.incarnation < view.self.incarnation) return view;
  if (PRECEDENCE[update.status] <= PRECEDENCE.leaving) return view;
  const incarnation = update.incarnation + 1;
  return {...view, self: {...view.self, incarnation}};
}

/** Notes that a VM answered a heartbeat or sent one. */
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

/** Notes that a VM did not answer a heartbeat. */
export function recordMissedHeartbeat(
  view: Membership,
  vm: string,
  nowMs: number,
): Membership {
  const member = view.others.get(vm);
  if (!member) return view;
  const failures = member.failures + 1;
  const suspicious =
    failures >= SUSPECT_AFTER_FAILURES &&
    PRECEDENCE[member.status] < PRECEDENCE.suspect;
  return withOther(view, {
    ...member,
    failures,
    status: suspicious ? MemberStatus.suspect : member.status,
    changedAtMs: suspicious ? nowMs : member.changedAtMs,
  });
}

/** Takes in the platform's list. Only a VM silent as well is dropped. */
export function mergePlatformList(
  view: Membership,
  list: readonly ListedVm[],
  nowMs: number,
): Membership {
  const listed = new Map(list.map(entry => [entry.address.vm, entry]));
  let next = view;
  for (const {address, leaving} of list) {
    const status = leaving ? MemberStatus.leaving : MemberStatus.alive;
    const held = next.others.get(address.vm);
    const incarnation = held?.incarnation ?? 0;
    next = mergeOne(next, {address, incarnation, status}, nowMs);
  }
  const others = [...next.others].filter(
    ([vm, member]) =>
      listed.has(vm) || nowMs - member.lastSeenAtMs < SUSPECT_TIMEOUT_MS,
  );
  const order = others.map(([vm]) => vm).sort();
  return {...next, others: new Map(others), order};
}

/** Turns old suspicions into departures. */
export function expireSuspects(view: Membership, nowMs: number): Membership {
  const stale = [...view.others.values()].filter(
    member =>
      member.status === MemberStatus.suspect &&
      nowMs - member.changedAtMs > SUSPECT_TIMEOUT_MS,
  );
  if (stale.length === 0) return view;
  const others = new Map(view.others);
  for (const member of stale) {
    others.set(member.address.vm, {
      ...member,
      status: MemberStatus.gone,
      changedAtMs: nowMs,
    });
  }
  return {...view, others};
}

/** Marks this VM as leaving. */
export const markLeaving = (view: Membership): Membership => ({
  ...view,
  self: {
    ...view.self,
    incarnation: view.self.incarnation + 1,
    status: MemberStatus.leaving,
  },
});

/** VMs to send the next heartbeats to: every VM gets its turn. */
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
  const turn = order.length === 0 ? 0 : (view.nextIndex + count) % order.length;
  return {
    view: {...view, nextIndex: turn},
    targets: targets.filter(address => address !== undefined),
  };
}

/** What to pass on with a heartbeat: this VM and the newest changes. */
export function updatesToGossip(
  view: Membership,
  nowMs: number,
): readonly MemberUpdate[] {
  const fresh = [...view.others.values()]
    .filter(member => nowMs - member.changedAtMs < SPREAD_MS)
    .sort((a, b) => b.changedAtMs - a.changedAtMs)
    .slice(0, MAX_UPDATES)
    .map(({address, incarnation, status}) => ({address, incarnation, status}));
  return [view.self, ...fresh];
}

/** VMs that may own pools, this one included unless it is leaving. */
export function poolCandidates(view: Membership): Candidate[] {
  const all: MemberUpdate[] = [view.self, ...view.others.values()];
  return all
    .filter(member => member.status === MemberStatus.alive)
    .map(({address}) => ({vm: address.vm, place: address.place}));
}

/** Address of a VM. */
export const addressOf = (
  view: Membership,
  vm: string,
): VmAddress | undefined => view.others.get(vm)?.address;
