/**
 * The roster of VMs that hold shares of the customers' rates. A VM's share is
 * one part in the roster's size. A joining VM accrues nothing until every other
 * member has applied a roster that counts the joiner, so the shares in use
 * never add up to more than one.
 */

/** The roster as kept in the platform. */
export interface Roster {
  readonly version: number;
  readonly members: readonly RosterMember[];
}

/** A member and the version that added it. */
export interface RosterMember {
  readonly vm: string;
  readonly joinedVersion: number;
}

export const EMPTY_ROSTER: Roster = {version: 0, members: []};

/** Takes a received roster only when it is newer. */
export const newerRoster = (held: Roster, received: Roster): Roster =>
  received.version > held.version ? received : held;

/** The roster with a VM added, or undefined when it is there already. */
export function withMember(roster: Roster, vm: string): Roster | undefined {
  if (roster.members.some(member => member.vm === vm)) return undefined;
  const version = roster.version + 1;
  return {
    version,
    members: [...roster.members, {vm, joinedVersion: version}],
  };
}

/** The roster without some VMs, or undefined when none is a member. */
export function withoutMembers(
  roster: Roster,
  vms: ReadonlySet<string>,
): Roster | undefined {
  const members = roster.members.filter(member => !vms.has(member.vm));
  if (members.length === roster.members.length) return undefined;
  return {version: roster.version + 1, members};
}

/**
 * The share of a VM. `appliedVersions` holds the roster version that each
 * other VM has last reported as applied.
 */
export function rateShareOf(
  roster: Roster,
  vm: string,
  appliedVersions: ReadonlyMap<string, number>,
): number {
  const own = roster.members.find(member => member.vm === vm);
  if (!own) return 0;
  const counted = roster.members.every(
    member =>
      member.vm === vm ||
      // A later joiner accrues nothing before this VM has counted it.
      member.joinedVersion > own.joinedVersion ||
      (appliedVersions.get(member.vm) ?? 0) >= own.joinedVersion,
  );
  return counted ? 1 / roster.members.length : 0;
}
