/**
 * What a worker knows of its database from answers: the newest log position and
 * the outcomes of the last second. The holder adds it to each reply.
 */
import {
  AnswerCounts,
  answerKindOf,
  answersIn,
  AnswerWindow,
  databaseFailuresIn,
} from '../core/load/answer_window.js';
import {comparePositions, Position} from '../core/position.js';
import {Access, Reply, Work} from '../core/work.js';

/**
 * Age from which a lower position replaces the newest one: answers overtake each
 * other, but only a database that lost its log stays lower.
 */
const POSITION_KEPT_MS = 1_000;

export class AnswerReporter {
  private readonly answers = AnswerWindow.create();
  private newest: {position: Position; atMs: number} | undefined;

  private constructor() {}

  static create(): AnswerReporter {
    return new AnswerReporter();
  }

  /** Answers to callers' statements in the last second. */
  get counts(): AnswerCounts {
    return this.answers.counts(performance.now());
  }

  /** Records the position of any answer of the database. */
  recordPosition(position: Position): void {
    const atMs = performance.now();
    const {newest} = this;
    const isLower =
      newest !== undefined && comparePositions(position, newest.position) < 0;
    if (isLower && atMs - newest.atMs < POSITION_KEPT_MS) return;
    this.newest = {position, atMs};
  }

  /** Records the reply to a caller's statement. */
  record(work: Work, reply: Reply): void {
    // The worker answers a ROLLBACK itself.
    const kind =
      work.access === Access.rollback ? undefined : answerKindOf(reply);
    if (kind) this.answers.record(kind, work.customer, performance.now());
  }

  /** Returns a reply with the report of the database. */
  addReport(reply: Reply, waitMs: number): Reply {
    const {counts, newest} = this;
    const report = {
      waitMs: Math.round(waitMs),
      failed: databaseFailuresIn(counts),
      answers: answersIn(counts),
    };
    if (!newest) return {...reply, report};
    const {position, atMs} = newest;
    // The reply itself shows the position mostly.
    const isShown =
      reply.position && comparePositions(reply.position, position) === 0;
    if (isShown) return {...reply, report};
    const positionAgeMs = Math.floor(performance.now() - atMs);
    return {...reply, report: {...report, position, positionAgeMs}};
  }
}
