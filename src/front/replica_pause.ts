/** Pauses the replicas of a service for a takeover. */
import {KnownDatabase} from '../core/directory.js';
import {hasStopped} from '../core/takeover.js';
import {runControlStatement} from './control_link.js';
import {DatabaseCodec, DatabaseReport} from './wire_types.js';

/** What a replica replied to being paused. */
export interface ReplicaReport {
  readonly entry: KnownDatabase;
  readonly report: DatabaseReport;
}

/** The term of the pause, and the reports of the replicas that replied. */
export interface ReplicaPause {
  readonly term: number;
  readonly reports: readonly ReplicaReport[];
}

/**
 * How often a pause without effect is repeated at a higher term. A replica may
 * not have heard of the newest terms: each of their primaries has ended since.
 */
const MAX_RAISES = 4;

/**
 * Pauses replicas at a term. A pause has no effect at a term that is not above
 * the newest one; it is repeated above the terms that the replicas know of, and
 * above those that none of them has heard of. `mayPause` is called just before
 * each replica is paused.
 */
export async function pauseReplicas(
  replicas: readonly KnownDatabase[],
  term: number,
  codec: DatabaseCodec,
  mayPause: () => boolean,
): Promise<ReplicaPause> {
  let pausedAtTerm = term;
  for (let raises = 0; ; raises++) {
    const reports = await pauseAt(pausedAtTerm, replicas, codec, mayPause);
    const primaryTerms = reports.map(({report}) => report.primaryTerm);
    const isWithoutEffect = reports.some(
      ({report}) => !report.isLeader && !hasStopped(report, pausedAtTerm),
    );
    const newestTerm = Math.max(
      0,
      ...primaryTerms,
      isWithoutEffect ? pausedAtTerm : 0,
    );
    if (newestTerm < pausedAtTerm || raises === MAX_RAISES || !mayPause())
      return {term: pausedAtTerm, reports};
    pausedAtTerm = newestTerm + 1;
  }
}

async function pauseAt(
  term: number,
  replicas: readonly KnownDatabase[],
  codec: DatabaseCodec,
  mayPause: () => boolean,
): Promise<readonly ReplicaReport[]> {
  const replies = await Promise.all(
    replicas.map(async entry => {
      const statement = {kind: 'pause', term} as const;
      const report = await runControlStatement(
        entry,
        codec,
        statement,
        mayPause,
      );
      return report && {entry, report};
    }),
  );
  return replies.filter(reply => reply !== undefined);
}
