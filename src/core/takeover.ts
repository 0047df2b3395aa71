/**
 * Chooses the database to promote in a takeover, that is a change of primary. A
 * commit is acknowledged once the primary and `syncReplicas` replicas hold it,
 * and none is once the change has begun. Any log that has reached the end of the
 * primary's, or the highest position that the fronts saw acknowledged, has every
 * acknowledged commit. If no such log is known, enough logs that are read after
 * that include one with every acknowledged commit, and the longest of them
 * contains all the others; not, however, if it is known to lack one: the logs of
 * databases that nobody knows of are not among them.
 */
import {CommitBounds} from './commit_positions.js';
import {comparePositions, Position} from './position.js';

/** The final log end of a database that has stopped replicating. */
export interface StoppedLog {
  readonly database: string;
  readonly position: Position;
  /**
   * Whether the database is about to be removed from its group, or not listed.
   * Others are preferred then.
   */
  readonly leaving: boolean;
  /** Whether its zone is being evacuated; others are preferred then. */
  readonly evacuated?: boolean;
  /** Number of the service's routes whose homes allow its region. */
  readonly allowedRoutes?: number;
}

/**
 * Whether a database has stopped replicating for a takeover at `term`. A pause
 * at a term that is not above that of the primary has no effect.
 */
export const hasStopped = (
  {pausedAtTerm}: {readonly pausedAtTerm: number},
  term: number,
): boolean => pausedAtTerm >= term;

/** What determines how many logs a takeover of a database group needs. */
export interface TakeoverGroup {
  /** Number of known databases of the service, including the primary. */
  readonly size: number;
  /** Number of replicas that must hold a commit before it is acknowledged. */
  readonly syncReplicas: number;
  /**
   * End of the primary's log, read after the last commit was acknowledged;
   * undefined if the primary has not reported it.
   */
  readonly primaryEnd?: Position;
  /** What the fronts know of the highest acknowledged position. */
  readonly acknowledged?: CommitBounds;
}

/** The next step of a takeover. */
export type TakeoverChoice =
  | {readonly kind: 'promote'; readonly database: string}
  /**
   * The log ends of `missing` more databases are needed; at least one if the
   * known ones lack an acknowledged commit.
   */
  | {readonly kind: 'need_logs'; readonly missing: number}
  /**
   * Only leaving or evacuated databases have the longest log; another one must
   * first catch up with it.
   */
  | {readonly kind: 'catch_up'}
  /**
   * Several databases have the longest log, and the homes or evacuations by
   * which one of them is chosen have changed lately.
   */
  | {readonly kind: 'unsettled'};

/** Safety rules. The model check weakens each one to show that it is needed. */
export interface TakeoverRules {
  readonly logsNeeded: (group: TakeoverGroup) => number;
  /** Whether a log contains every acknowledged commit, whatever others hold. */
  readonly isComplete: (log: StoppedLog, group: TakeoverGroup) => boolean;
  /** Whether a log is known to lack an acknowledged commit. */
  readonly isIncomplete: (log: StoppedLog, group: TakeoverGroup) => boolean;
  readonly isBetter: (a: StoppedLog, b: StoppedLog) => boolean;
}

/** Returns how many logs include one with each acknowledged commit. */
const logsNeeded = ({size, syncReplicas}: TakeoverGroup): number =>
  Math.max(1, Math.max(size, syncReplicas + 2) - Math.max(1, syncReplicas));

const hasLongerLog = (a: StoppedLog, b: StoppedLog): boolean =>
  comparePositions(a.position, b.position) > 0;

const hasReached = (
  {position}: StoppedLog,
  end: Position | undefined,
): boolean => end !== undefined && comparePositions(position, end) >= 0;

const isKnownComplete = (
  log: StoppedLog,
  {primaryEnd, acknowledged}: TakeoverGroup,
): boolean =>
  hasReached(log, primaryEnd) || hasReached(log, acknowledged?.atMost);

const isKnownIncomplete = (
  log: StoppedLog,
  {acknowledged}: TakeoverGroup,
): boolean =>
  acknowledged?.atLeast !== undefined && !hasReached(log, acknowledged.atLeast);

/**
 * Whether a position that the primary reports can be the end of its log. One that
 * has restarted may have lost what other databases or callers still know of.
 */
export const mayBePrimaryEnd = (
  end: Position,
  {acknowledged}: TakeoverGroup,
  logs: readonly StoppedLog[],
): boolean =>
  [acknowledged?.atLeast, ...logs.map(({position}) => position)].every(
    known => known === undefined || comparePositions(end, known) >= 0,
  );

export const SAFE_TAKEOVER: TakeoverRules = {
  logsNeeded,
  isComplete: isKnownComplete,
  isIncomplete: isKnownIncomplete,
  isBetter: hasLongerLog,
};

/** What decides among databases with equal logs. */
export interface TakeoverPreference {
  /** Wins among equal logs, as an order to promote it may still be executed. */
  readonly ordered?: string;
  /**
   * Whether a database in an evacuated zone may be chosen, rather than wait for
   * another one to catch up; by default it may.
   */
  readonly mayPromoteEvacuated?: boolean;
  /**
   * Whether a leaving database may be chosen if no other one has as long a log:
   * nobody sends its log to the others, until it leads itself. By default it
   * may not.
   */
  readonly mayPromoteLeaving?: boolean;
  /**
   * Whether any order that was chosen by other homes, or by other evacuations,
   * can no longer be executed; by default none can.
   */
  readonly areHomesSettled?: boolean;
  readonly areEvacuationsSettled?: boolean;
}

const byHomes = (a: StoppedLog, b: StoppedLog): number =>
  (b.allowedRoutes ?? 0) - (a.allowedRoutes ?? 0) ||
  (a.database < b.database ? -1 : 1);

/** Outside of evacuated zones first, then in a region that homes allow. */
const byEvacuationAndHomes = (a: StoppedLog, b: StoppedLog): number =>
  Number(a.evacuated === true) - Number(b.evacuated === true) || byHomes(a, b);

/**
 * Chooses a database by its log, and among equal logs by preference. Every front
 * with the same view makes the same choice, so a delayed order matches a new
 * one; while views may differ, nothing is chosen that depends on them.
 */
export function chooseTakeover(
  group: TakeoverGroup,
  logs: readonly StoppedLog[],
  rules: TakeoverRules = SAFE_TAKEOVER,
  preference: TakeoverPreference = {},
): TakeoverChoice {
  const missing = rules.logsNeeded(group) - logs.length;
  const candidates =
    missing > 0 ? logs.filter(log => rules.isComplete(log, group)) : logs;
  if (candidates.length === 0) return {kind: 'need_logs', missing};
  const longest = candidates.reduce((best, log) =>
    rules.isBetter(log, best) ? log : best,
  );
  if (rules.isIncomplete(longest, group))
    return {kind: 'need_logs', missing: Math.max(1, missing)};
  const longestLogs = candidates.filter(log => !rules.isBetter(longest, log));
  const staying = longestLogs.filter(log => !log.leaving);
  const mayLeave = staying.length === 0 && preference.mayPromoteLeaving;
  const eligible = mayLeave ? longestLogs : staying;
  if (eligible.length === 0) return {kind: 'catch_up'};
  const {ordered, areHomesSettled, areEvacuationsSettled} = preference;
  if (eligible.some(({database}) => database === ordered))
    return {kind: 'promote', database: String(ordered)};
  const [best] = [...eligible].sort(byEvacuationAndHomes);
  if (best.evacuated && preference.mayPromoteEvacuated === false)
    return {kind: 'catch_up'};
  if (areHomesSettled === false && eligible.length > 1)
    return {kind: 'unsettled'};
  const [bestByHomes] = [...eligible].sort(byHomes);
  if (areEvacuationsSettled === false && bestByHomes !== best)
    return {kind: 'unsettled'};
  return {kind: 'promote', database: best.database};
}

/** Whether most voters could not reach the primary; `true`: reached it. */
export function isPrimaryUnreachable(votes: readonly boolean[]): boolean {
  const unreachable = votes.filter(reached => !reached).length;
  return votes.length > 0 && unreachable * 2 > votes.length;
}
