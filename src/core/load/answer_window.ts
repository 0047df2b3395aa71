/**
 * Counts the answers of one database within the last second, by outcome and
 * customer. Mutable, without a clock: it runs once a statement.
 */
import {Fault, Reply} from '../work.js';

/** What an answer says about the database that gave it. */
export const AnswerKind = {
  ok: 'ok',
  /** The database ran the statement and reported an error. */
  failed: 'failed',
  /** No result for lack of capacity or time; a slow database answers so too. */
  overloaded: 'overloaded',
} as const;
export type AnswerKind = (typeof AnswerKind)[keyof typeof AnswerKind];

/**
 * Returns what a reply says about its database; undefined if a front refused
 * the work itself. Only an answer of the database has a position.
 */
export function answerKindOf(reply: Reply): AnswerKind | undefined {
  if (reply.ok) return AnswerKind.ok;
  switch (reply.fault) {
    case Fault.failed:
      return AnswerKind.failed;
    case Fault.timeout:
    case Fault.lost:
      return AnswerKind.overloaded;
    case Fault.busy:
      return reply.position ? AnswerKind.overloaded : undefined;
    default:
      return undefined;
  }
}

/** Answers of one database within the last second. */
export interface AnswerCounts {
  readonly ok: number;
  readonly failed: number;
  readonly overloaded: number;
  /** Customers with an answer of any kind. */
  readonly customers: number;
  /** Customers with an answer other than `ok`. */
  readonly failedCustomers: number;
  /** Customers with an answer `failed`. */
  readonly erringCustomers: number;
}

export const answersIn = ({ok, failed, overloaded}: AnswerCounts): number =>
  ok + failed + overloaded;

/**
 * Returns the failures that tell about the database. If all are of one customer
 * while others are served, its statements fail by their own fault.
 */
export const databaseFailuresIn = (counts: AnswerCounts): number =>
  counts.failedCustomers === 1 && counts.customers > 1
    ? 0
    : counts.failed + counts.overloaded;

const WINDOW_MS = 1_000;
const BUCKET_MS = 100;

interface Bucket {
  readonly startMs: number;
  readonly counts: Record<AnswerKind, number>;
  readonly customers: Set<string>;
  readonly failedCustomers: Set<string>;
  readonly erringCustomers: Set<string>;
}

const union = (sets: ReadonlyArray<ReadonlySet<string>>): number =>
  new Set(sets.flatMap(set => [...set])).size;

export class AnswerWindow {
  private buckets: Bucket[] = [];

  private constructor() {}

  static create(): AnswerWindow {
    return new AnswerWindow();
  }

  record(kind: AnswerKind, customer: string, nowMs: number): void {
    const startMs = Math.floor(nowMs / BUCKET_MS) * BUCKET_MS;
    let bucket = this.buckets[this.buckets.length - 1];
    if (bucket?.startMs !== startMs) {
      bucket = {
        startMs,
        counts: {ok: 0, failed: 0, overloaded: 0},
        customers: new Set(),
        failedCustomers: new Set(),
        erringCustomers: new Set(),
      };
      this.dropOld(nowMs);
      this.buckets.push(bucket);
    }
    bucket.counts[kind]++;
    bucket.customers.add(customer);
    if (kind !== AnswerKind.ok) bucket.failedCustomers.add(customer);
    if (kind === AnswerKind.failed) bucket.erringCustomers.add(customer);
  }

  counts(nowMs: number): AnswerCounts {
    this.dropOld(nowMs);
    const {buckets} = this;
    const sum = (kind: AnswerKind): number =>
      buckets.reduce((total, {counts}) => total + counts[kind], 0);
    const [ok, failed, overloaded] = [
      sum(AnswerKind.ok),
      sum(AnswerKind.failed),
      sum(AnswerKind.overloaded),
    ];
    // Customers matter only beside failures, which are rare.
    const hasFailures = failed + overloaded > 0;
    return {
      ok,
      failed,
      overloaded,
      customers: hasFailures ? union(buckets.map(b => b.customers)) : 0,
      failedCustomers: hasFailures
        ? union(buckets.map(b => b.failedCustomers))
        : 0,
      erringCustomers:
        failed > 0 ? union(buckets.map(b => b.erringCustomers)) : 0,
    };
  }

  private dropOld(nowMs: number): void {
    const sinceMs = nowMs - WINDOW_MS;
    while (this.buckets[0]?.startMs < sinceMs) this.buckets.shift();
  }
}
