/**
 * Databases of a service that are not listed but may hold commits: a database
 * whose entry has lapsed may still run and receive, one that has just left or
 * restarted empty may have been the only replica that had received a commit.
 */
import {KnownDatabase, startKey} from './directory.js';

/** A database that is not listed, or an earlier start of a listed one. */
export interface FormerMember {
  readonly entry: KnownDatabase;
  /** Whether the database may still run as it was listed. */
  readonly mayAnswer: boolean;
  /** Until when its log counts as missing if it does not answer. */
  readonly countsUntilMs: number;
}

/**
 * How long the log of a database counts as missing after its entry lapsed or it
 * started again. Longer than a change waits for a front that does not answer.
 */
const LAPSED_COUNTS_MS = 8_000;
/** As `LAPSED_COUNTS_MS`, for a database that had announced that it leaves. */
const LEFT_COUNTS_MS = 1_500;
/** How long a database is asked for its log after its entry disappeared. */
const ASKED_MS = 60_000;
const MAX_MEMBERS = 500;

/** The databases that a front remembers. Times are of one steady clock. */
export class FormerMembers {
  /** Members by id and start, in the order in which they disappeared. */
  private readonly members = new Map<
    string,
    FormerMember & {sinceMs: number}
  >();

  private constructor() {}

  static create(): FormerMembers {
    return new FormerMembers();
  }

  /** Records that the entry of a database has disappeared. */
  recordUnlisted(entry: KnownDatabase, nowMs: number): void {
    const countsMs = entry.leaving ? LEFT_COUNTS_MS : LAPSED_COUNTS_MS;
    this.add(entry, nowMs, true, countsMs);
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
        const countsUntilMs = nowMs + LAPSED_COUNTS_MS;
        this.members.set(key, {...member, mayAnswer: false, countsUntilMs});
      }
    }
    if (known && known.startedAtUnixMs !== entry.startedAtUnixMs)
      this.add(known, nowMs, false, LAPSED_COUNTS_MS);
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
    countsMs: number,
  ): void {
    const key = startKey(entry);
    if (this.members.has(key)) return;
    const countsUntilMs = sinceMs + countsMs;
    this.members.set(key, {entry, sinceMs, mayAnswer, countsUntilMs});
    const [oldest] = this.members.keys();
    if (this.members.size > MAX_MEMBERS) this.members.delete(oldest);
  }
}
