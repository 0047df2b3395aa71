/** Judges the log of a service against what its callers were told. */
import {CommittedChange} from '../test/platform/standin_database.js';
import {Finding} from './statement_judge.js';

/** What a caller knows about an attempt to write. */
export const Outcome = {
  /** The write or COMMIT succeeded. */
  acknowledged: 'acknowledged',
  /** An answer promised that nothing is kept. */
  promised: 'promised',
  /** The caller sent no COMMIT. */
  notAsked: 'not_asked',
  unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** A single write, or the writes of a transaction. */
export interface Attempt {
  readonly front: string;
  readonly writes: readonly string[];
  readonly outcome: Outcome;
  /** When the caller had the answer, by `performance.now()`. */
  readonly answeredAtMs: number;
  /** The answer that the outcome was derived from. */
  readonly answer: string;
}

/** Returns the broken rules TWICE, LOST, REFUSED and UNASKED. */
export function judgeCommits(
  attempts: readonly Attempt[],
  log: readonly CommittedChange[],
): Finding[] {
  const counts = new Map<string, number>();
  for (const {requestId} of log) {
    counts.set(requestId, (counts.get(requestId) ?? 0) + 1);
  }
  return attempts.flatMap(attempt => {
    const {writes, outcome} = attempt;
    const kept = writes.filter(id => counts.has(id));
    const fail = (rule: string, kind: string): Finding => ({
      rule,
      kind,
      details: {...attempt, kept},
    });
    const findings: Finding[] = [];
    if (kept.some(id => (counts.get(id) ?? 0) > 1)) {
      findings.push(fail('TWICE', 'write'));
    }
    const isWhole = kept.length === writes.length;
    if (outcome === Outcome.acknowledged && !isWhole) {
      findings.push(fail('LOST', 'commit'));
    } else if (outcome === Outcome.promised && kept.length > 0) {
      findings.push(fail('REFUSED', 'kept'));
    } else if (outcome === Outcome.notAsked && kept.length > 0) {
      findings.push(fail('UNASKED', 'commit'));
    } else if (kept.length > 0 && !isWhole) {
      findings.push(fail('LOST', 'part'));
    }
    return findings;
  });
}
