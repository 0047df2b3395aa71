/**
 * Databases of a service that are not listed but may hold commits: a database
 * whose entry has lapsed may still run and receive, one that has just left or
 * restarted empty may have been the only replica that had received a commit.
 */
import {KnownDatabase, startKey} from './directory.js';
import {comparePositions, Position} from './position.js';
import {floorSince, PositionSamples} from './position_samples.js';

/** Until when the log of a database counts that is not listed. */
export interface MissingLog {
  /** Until when it counts as missing if the database does not answer. */
  readonly countsUntilMs: number;
  /**
   * Since when it receives nothing any more, so that a log which reaches a later
   * position of the primary has everything that it may have held alone;
   * undefined if it may still receive.
   */
  readonly goneSinceMs: number | undefined;
}

/** A database that is not listed, or an earlier start of a listed one. */
export interface FormerMember extends MissingLog {
  readonly entry: KnownDatabase;
  /** Whether the database may still run as it was listed. */
  readonly mayAnswer: boolean;
}

/**
 * How long the log of a database counts as missing after its entry lapsed, it
 * started again or left, unless another log has all that it may have held.
 * Longer than a change waits for a front that does not answer.
 */
const COUNTS_MS = 8_000;
/** How long a database that leaves may go on after its entry was removed. */
const LEAVES_WITHIN_MS = 1_500;
/** How long a database is asked for its log after its entry disappeared. */
const ASKED_MS = 60_000;
const MAX_MEMBERS = 500;

/**
 * Whether one of these log ends is at or above all that a database that is gone
 * may have held alone: it has reached a position that the primary had reached
 * later. `samples` are positions of the primary.
 */
export function isAccountedFor(
  {goneSinceMs}: Pick<MissingLog, 'goneSinceMs'>,
  logEnds: readonly Position[],
  samples: PositionSamples,
): boolean {
  if (goneSinceMs === undefined) return false;
  const reached = floorSince(samples, goneSinceMs);
  return (
    reached !== undefined &&
    logEnds.some(end => comparePositions(end, reached) >= 0)
  );
}

/** The databases that a front remembers. Times are of one steady clock. */
export class FormerMembers {
  /** Members by id and start, in the order in which they disappeared. */
  private readonly members = new Map<
    string,
    FormerMember & {sinceMs: number}
  >();

  private firstListAtMs = -Infinity;

  private constructor() {}

  static create(): FormerMembers {
    return new FormerMembers();
  }

  /** Records when this front learned for the first time which databases exist. */
  recordFirstList(nowMs: number): void {
    this.firstListAtMs = nowMs;
  }

  /**
   * A database that may have disappeared before the first list, so that this
   * front has never seen it; undefined once it does not matter any more.
   */
  unseen(nowMs: number): MissingLog | undefined {
    const goneSinceMs = this.firstListAtMs;
    const countsUntilMs = goneSinceMs + COUNTS_MS;
    return nowMs < countsUntilMs ? {countsUntilMs, goneSinceMs} : undefined;
  }

  /** Records that the entry of a database has disappeared. */
  recordUnlisted(entry: KnownDatabase, nowMs: number): void {
    const goneSinceMs = entry.leaving ? nowMs + LEAVES_WITHIN_MS : undefined;
    this.add(entry, nowMs, true, goneSinceMs);
  }

  /** Records an entry that a database has written, in place of `known`. */
  recordListed(
    entry: {readonly id: string; readonly startedAtUnixMs: number | undefined},
    known: KnownDatabase | undefined,
    nowMs: number,
  ): void {
    for (const [key, member] of this.members) {
      if (member.entry.id !== entry.id) continue;
      if (member.entry.startedAtUnixMs === entry.startedAtUnixMs)
        this.members.delete(key);
      else if (member.mayAnswer) {
        const countsUntilMs = nowMs + COUNTS_MS;
        const gone = {mayAnswer: false, countsUntilMs, goneSinceMs: nowMs};
        this.members.set(key, {...member, ...gone});
      }
    }
    if (known && known.startedAtUnixMs !== entry.startedAtUnixMs)
      this.add(known, nowMs, false, nowMs);
  }

  /** Returns those of a service that may still matter. */
  of(service: string, nowMs: number): readonly FormerMember[] {
    for (const [key, {sinceMs}] of this.members) {
      if (nowMs - sinceMs > ASKED_MS) this.members.delete(key);
    }
    return [...this.members.values()].filter(
      ({entry, mayAnswer, countsUntilMs}) =>
        entry.service === service && (mayAnswer || nowMs < countsUntilMs),
    );
  }

  private add(
    entry: KnownDatabase,
    sinceMs: number,
    mayAnswer: boolean,
    goneSinceMs: number | undefined,
  ): void {
    const key = startKey(entry);
    if (this.members.has(key)) return;
    const countsUntilMs = sinceMs + COUNTS_MS;
    const member = {entry, sinceMs, mayAnswer, countsUntilMs, goneSinceMs};
    this.members.set(key, member);
    const [oldest] = this.members.keys();
    if (this.members.size > MAX_MEMBERS) this.members.delete(oldest);
  }
}
