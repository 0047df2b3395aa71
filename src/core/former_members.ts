/**
 * Databases of a service that are not listed but may hold commits: a database
 * whose entry has lapsed may still run and receive, one that has just left or
 * restarted empty may have been the only replica that had received a commit.
 */
import {KnownDatabase, startKey} from './directory.js';
import {MemberRecord, RecordedMember} from './member_records.js';
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
  /** A position that the primary is known to have reached after that time. */
  readonly coveredBy?: Position;
}

/** A database that a record names and that was not listed when it was read. */
export interface RecordedLog extends MissingLog, RecordedMember {
  readonly service: string;
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
/**
 * As `COUNTS_MS`, for a database that this front has never seen: as long as a
 * change waits for commits that it knows to be missing. Without a record of the
 * service's databases, there may be one that nobody knows of.
 */
const UNSEEN_COUNTS_MS = 15_000;
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
  {goneSinceMs, coveredBy}: Pick<MissingLog, 'goneSinceMs' | 'coveredBy'>,
  logEnds: readonly Position[],
  samples: PositionSamples,
): boolean {
  const sampled =
    goneSinceMs === undefined ? undefined : floorSince(samples, goneSinceMs);
  return [coveredBy, sampled].some(
    reached =>
      reached !== undefined &&
      logEnds.some(end => comparePositions(end, reached) >= 0),
  );
}

/** Adds the first of the primary's positions by which a log is covered. */
function withCover<L extends MissingLog>(log: L, samples: PositionSamples): L {
  const {coveredBy, goneSinceMs} = log;
  if (coveredBy || goneSinceMs === undefined) return log;
  const reached = floorSince(samples, goneSinceMs);
  return reached ? {...log, coveredBy: reached} : log;
}

/** The databases that a front remembers. Times are of one steady clock. */
export class FormerMembers {
  /** Members by id and start, in the order in which they disappeared. */
  private readonly members = new Map<
    string,
    FormerMember & {sinceMs: number}
  >();

  /** Databases that only records tell of, by start. */
  private readonly recorded = new Map<string, RecordedLog>();
  /** Services whose databases were recorded when the store was listed. */
  private readonly recordedServices = new Set<string>();
  private listedAtMs = -Infinity;

  private constructor(private readonly joinsWithinMs: number) {}

  /**
   * `joinsWithinMs`: how long a database that runs may take to be listed, if the
   * store can be reached.
   */
  static create(joinsWithinMs: number): FormerMembers {
    return new FormerMembers(joinsWithinMs);
  }

  /**
   * Records when this front learned which databases exist, without what had
   * changed before.
   */
  recordList(nowMs: number): void {
    this.listedAtMs = nowMs;
    this.recordedServices.clear();
  }

  /**
   * Takes over a record that was read with the newest list; `listedStarts` are
   * the databases in that list.
   */
  adopt(
    {service, members}: MemberRecord,
    listedStarts: ReadonlySet<string>,
    nowMs: number,
  ): void {
    this.recordedServices.add(service);
    const countsUntilMs = nowMs + UNSEEN_COUNTS_MS;
    for (const member of members) {
      const {start, leaving} = member;
      const isKnown = this.members.has(start) || this.recorded.has(start);
      if (listedStarts.has(start) || isKnown) continue;
      const goneSinceMs = leaving ? nowMs + LEAVES_WITHIN_MS : undefined;
      const log = {...member, service, countsUntilMs, goneSinceMs};
      this.recorded.set(start, log);
    }
  }

  /** Whether a record told of a service's databases when the store was listed. */
  isRecorded(service: string): boolean {
    return this.recordedServices.has(service);
  }

  /** Databases of a service that count and that only a record tells of. */
  recordedOf(service: string, nowMs: number): readonly RecordedLog[] {
    for (const [start, {countsUntilMs}] of this.recorded) {
      if (nowMs >= countsUntilMs) this.recorded.delete(start);
    }
    return [...this.recorded.values()].filter(log => log.service === service);
  }

  /**
   * A database that may have disappeared before the newest list, so that this
   * front has never seen it; undefined once it does not matter any more. If the
   * service's databases were recorded, it can only be one that has joined lately
   * and is not listed yet; `failedAtMs` is when the store last failed to answer.
   */
  unseen(
    service: string,
    nowMs: number,
    failedAtMs = -Infinity,
  ): MissingLog | undefined {
    const goneSinceMs = this.listedAtMs;
    const limitMs = goneSinceMs + UNSEEN_COUNTS_MS;
    const joinedByMs = Math.max(goneSinceMs, failedAtMs) + this.joinsWithinMs;
    const countsUntilMs = this.isRecorded(service)
      ? Math.min(limitMs, joinedByMs)
      : limitMs;
    return nowMs < countsUntilMs ? {countsUntilMs, goneSinceMs} : undefined;
  }

  /** Services with a database that has gone and is still remembered. */
  get services(): ReadonlySet<string> {
    return new Set([
      ...[...this.members.values()].map(({entry}) => entry.service),
      ...[...this.recorded.values()].map(({service}) => service),
    ]);
  }

  /**
   * Returns the databases of a service to record: the listed ones, and those
   * that a front which starts now would have to know of. `samples` are positions
   * of the primary.
   */
  toRecord(
    service: string,
    listed: readonly KnownDatabase[],
    samples: PositionSamples,
    nowMs: number,
  ): readonly RecordedMember[] {
    this.cover(service, samples);
    const hasLeader = listed.some(({isLeader}) => isLeader);
    const present = listed.map(entry => ({
      start: startKey(entry),
      leads: entry.isLeader,
      leaving: entry.leaving,
    }));
    const seen = [...this.members.values()]
      .filter(
        ({entry, sinceMs}) =>
          entry.service === service && nowMs - sinceMs < ASKED_MS,
      )
      .map(({entry, coveredBy}) => ({
        start: startKey(entry),
        leads: entry.isLeader,
        leaving: entry.leaving,
        coveredBy,
      }));
    const starts = new Set(present.map(({start}) => start));
    const gone = [...seen, ...this.recordedOf(service, nowMs)]
      .filter(({start}) => !starts.has(start))
      .map(({start, leads, leaving, coveredBy}) => ({
        start,
        leads: leads && !hasLeader,
        leaving,
        coveredBy,
      }));
    return [...present, ...gone];
  }

  /** Keeps the first position that the primary reached after a database left. */
  private cover(service: string, samples: PositionSamples): void {
    for (const [key, member] of this.members) {
      if (member.entry.service === service)
        this.members.set(key, withCover(member, samples));
    }
    for (const [start, log] of this.recorded) {
      if (log.service === service)
        this.recorded.set(start, withCover(log, samples));
    }
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
    this.recorded.delete(startKey(entry));
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
