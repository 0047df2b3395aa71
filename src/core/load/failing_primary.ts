/**
 * Decides from answers whether a primary fails everything although it reports
 * itself healthy, so that another database should lead.
 */
import {AnswerCounts, answersIn} from './answer_window.js';

/** Failures within one second after which a front reports the primary. */
const MIN_REPORTED_FAILURES = 20;
/** With fewer, the statements may fail by the fault of one customer. */
const MIN_REPORTED_CUSTOMERS = 2;
/** Answers within one second from which a front has evidence to vote. */
const MIN_VOTE_ANSWERS = 3;
/**
 * Least time between two such changes of one service, so that databases that
 * fail by turns do not cause one change after another.
 */
export const FAILING_CHANGE_INTERVAL_MS = 30_000;

/** Whether nothing succeeded and most answers are errors, not overload. */
const failsEverything = (counts: AnswerCounts): boolean =>
  counts.ok === 0 && counts.failed > counts.overloaded;

/** Whether a front reports the primary as failing. */
export const isFailing = (counts: AnswerCounts): boolean =>
  failsEverything(counts) &&
  counts.failed >= MIN_REPORTED_FAILURES &&
  counts.erringCustomers >= MIN_REPORTED_CUSTOMERS;

/** A front's vote from its own answers of the last second. */
export interface FailingVote {
  /** Whether the primary failed everything; undefined without evidence. */
  readonly failing?: boolean;
  /**
   * How long ago the front saw the database become primary; undefined if it saw
   * no change of the service's primary.
   */
  readonly leadsForMs?: number;
}

/** Returns the vote that follows from answers; undefined without evidence. */
export const voteOf = (counts: AnswerCounts): boolean | undefined =>
  answersIn(counts) < MIN_VOTE_ANSWERS ? undefined : failsEverything(counts);

/** Whether most of the fronts with evidence found the primary failing. */
export function isConfirmedFailing(votes: readonly FailingVote[]): boolean {
  const evident = votes.filter(({failing}) => failing !== undefined);
  const failing = evident.filter(vote => vote.failing).length;
  return failing * 2 > evident.length;
}

/** Whether most of the fronts with evidence saw statements succeed. */
export function isRefutedFailing(votes: readonly FailingVote[]): boolean {
  const hasEvidence = votes.some(({failing}) => failing !== undefined);
  return hasEvidence && !isConfirmedFailing(votes);
}

/**
 * Whether the service's primary has changed too recently for another such
 * change, as far as the voters saw.
 */
export const hasChangedRecently = (votes: readonly FailingVote[]): boolean =>
  votes.some(
    ({leadsForMs}) =>
      leadsForMs !== undefined && leadsForMs < FAILING_CHANGE_INTERVAL_MS,
  );
