/** Pauses the replicas of a service for a takeover. */
import {KnownDatabase} from '../core/directory.js';
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
 * Pauses replicas at a term; at a higher one if the replicas know of a primary
 * whose term is not below it, as a pause would have no effect then. `mayPause`
 * is called just before each replica is paused.
 */
export async function pauseReplicas(
  replicas: readonly KnownDatabase[],
  term: number,
  codec: DatabaseCodec,
  mayPause: () => boolean,
): Promise<ReplicaPause> {
  const reports = await pauseAt(term, replicas, codec, mayPause);
  const primaryTerms = reports.map(({report}) => report.primaryTerm);
  const primaryTerm = Math.max(0, ...primaryTerms);
  if (primaryTerm < term) return {term, reports};
  const newTerm = primaryTerm + 1;
  return {
    term: newTerm,
    reports: await pauseAt(newTerm, replicas, codec, mayPause),
  };
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
