/**
 * The roster: the VMs that hold equal shares of the customers' rates. A joining
 * VM accrues nothing until every earlier member has applied a roster that
 * includes it, so the shares in use never add up to more than one.
 */

import {z} from 'zod';

/** Highest version, so that the next ones can be told apart. */
const MAX_VERSION = 2 ** 50;

const versionSchema = z.number().int().min(0).max(MAX_VERSION);

const rosterSchema = z.object({
  version: versionSchema,
  members: z.array(
    z.object({vm: z.string().min(1).max(255), joinedVersion: versionSchema}),
  ),
});

/** The roster as stored on the platform. */
export interface Roster {
  readonly version: number;
  readonly members: readonly RosterMember[];
}

/** A VM in the roster, and the roster version that added it. */
export interface RosterMember {
  readonly vm: string;
  readonly joinedVersion: number;
}

/** Returns a roster from another VM or the platform; undefined if it is none. */
export const decodeRoster = (received: unknown): Roster | undefined =>
  rosterSchema.safeParse(received).data;

export const EMPTY_ROSTER: Roster = {version: 0, members: []};

/** Returns the received roster if it is newer, else the held one. */
export const newerRoster = (held: Roster, received: Roster): Roster =>
  received.version > held.version ? received : held;

/** Returns the roster with a VM added; undefined if it is already a member. */
export function withMember(roster: Roster, vm: string): Roster | undefined {
  if (roster.members.some(member => member.vm === vm)) return undefined;
  const version = roster.version + 1;
  return {
    version,
    members: [...roster.members, {vm, joinedVersion: version}],
  };
}

/** Returns the roster without some VMs; undefined if none is a member. */
export function withoutMembers(
  roster: Roster,
  vms: ReadonlySet<string>,
): Roster | undefined {
  const members = roster.members.filter(member => !vms.has(member.vm));
  if (members.length === roster.members.length) return undefined;
  return {version: roster.version + 1, members};
}

/**
 * Returns the roster to write to a platform that was restored from an older
 * copy, given the roster that a VM held before and the platform's own; undefined
 * if the platform's roster is newer or the same. Members that have joined since
 * the restore are added again.
 */
export function restoredRoster(
  held: Roster,
  stored: Roster,
): Roster | undefined {
  const isSame =
    stored.version === held.version &&
    JSON.stringify(stored.members) === JSON.stringify(held.members);
  if (stored.version > held.version || isSame) return undefined;
  const version = held.version + 1;
  const joined = stored.members
    .filter(({vm}) => !held.members.some(member => member.vm === vm))
    .map(({vm}) => ({vm, joinedVersion: version}));
  return {version, members: [...held.members, ...joined]};
}

/**
 * Returns the fraction of each rate that a VM accrues. `appliedVersions` holds
 * the roster version that each other VM last reported as applied.
 */
export function rateShareOf(
  roster: Roster,
  vm: string,
  appliedVersions: ReadonlyMap<string, number>,
): number {
  const own = roster.members.find(member => member.vm === vm);
  if (!own) return 0;
  const isCounted = roster.members.every(
    member =>
      member.vm === vm ||
      // A later joiner accrues nothing before this VM has applied its version.
      member.joinedVersion > own.joinedVersion ||
      (appliedVersions.get(member.vm) ?? 0) >= own.joinedVersion,
  );
  return isCounted ? 1 / roster.members.length : 0;
}
