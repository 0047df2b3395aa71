/**
 * Decides which database takes over a service. A commit is acknowledged once
 * the primary and `syncReplicas` others hold it. Databases that have stopped
 * receiving hold it for good; among enough of them at least one does, and the
 * one with the furthest log holds all that any of them does.
 */
import {comparePositions, Position} from './position.js';

/** A database that has stopped receiving, and what it holds. */
export interface StoppedLog {
  readonly database: string;
  readonly position: Position;
  /** It is about to leave and must not lead. */
  readonly leaving: boolean;
}

/** What is known of the group. */
export interface TakeoverGroup {
  /** Databases of the service, the primary included, as many as were known. */
  readonly size: number;
  /** Replicas that hold a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** What to do next. */
export type TakeoverChoice =
  | {readonly kind: 'promote'; readonly database: string}
  /** Too few logs are known. */
  | {readonly kind: 'need_logs'; readonly missing: number}
  /** Only databases that leave are far enough. */
  | {readonly kind: 'catch_up'};

/** Rules that tests weaken to prove that each of them matters. */
export interface TakeoverRules {
  readonly logsNeeded: (group: TakeoverGroup) => number;
  readonly isBetter: (a: StoppedLog, b: StoppedLog) => boolean;
}

/** Logs that must be seen so that each acknowledged commit is on one of them. */
const logsNeeded = ({size, syncReplicas}: TakeoverGroup): number =>
  Math.max(1, Math.max(size, syncReplicas + 2) - Math.max(1, syncReplicas));

const isFurther = (a: StoppedLog, b: StoppedLog): boolean =>
  comparePositions(a.position, b.position) > 0;

export const SAFE_TAKEOVER: TakeoverRules = {logsNeeded, isBetter: isFurther};

/** Chooses among the logs that are known; `preferred` among equals. */
export function chooseTakeover(
  group: TakeoverGroup,
  logs: readonly StoppedLog[],
  rules: TakeoverRules = SAFE_TAKEOVER,
  preferred?: string,
): TakeoverChoice {
  const missing = rules.logsNeeded(group) - logs.length;
  if (missing > 0) return {kind: 'need_logs', missing};
  const furthest = logs.reduce((best, log) =>
    rules.isBetter(log, best) ? log : best,
  );
  const fit = logs.filter(
    log => !log.leaving && !rules.isBetter(furthest, log),
  );
  if (fit.length === 0) return {kind: 'catch_up'};
  // The same choice at every front, so that a late order and a new one agree.
  const names = fit.map(log => log.database).sort();
  const isFit = preferred !== undefined && names.includes(preferred);
  return {kind: 'promote', database: isFit ? preferred : names[0]};
}

/** Votes on whether a primary answers; silent voters do not count. */
export function isPrimaryUnreachable(votes: readonly boolean[]): boolean {
  const unreachable = votes.filter(reached => !reached).length;
  return votes.length > 0 && unreachable * 2 > votes.length;
}
