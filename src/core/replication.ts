/**
 * Detects a primary whose replicas have all stopped advancing although its own
 * log has grown: they are partitioned from it, even if the proxies reach it.
 */
import {GroupView} from './routing.js';

/** Last known replica offsets and the time of the last progress. Immutable. */
export interface ReplicationProgress {
  readonly offsets: ReadonlyMap<string, number>;
  readonly lastProgressAtMs: number;
}

const STALL_TIMEOUT_MS = 2_500;

export const createReplicationProgress = (
  nowMs: number,
): ReplicationProgress => ({
  offsets: new Map(),
  lastProgressAtMs: nowMs,
});

/**
 * Updates the progress from a view; a replica makes progress if its offset has
 * changed or has reached the primary's.
 */
export function updateReplicationProgress(
  progress: ReplicationProgress,
  view: GroupView,
  nowMs: number,
): ReplicationProgress {
  const primary = view.samples.get(view.primary ?? '')?.status;
  const replicas = [...view.samples.values()]
    .map(sample => sample.status)
    .filter(status => status.role === 'replica');
  const hasAdvanced = replicas.some(
    status =>
      progress.offsets.get(status.database) !== status.offset ||
      status.offset >= (primary?.offset ?? 0),
  );
  if (!hasAdvanced && primary && replicas.length > 0) return progress;
  const offsets = new Map(replicas.map(s => [s.database, s.offset]));
  return {offsets, lastProgressAtMs: nowMs};
}

/** Whether no replica has made progress for too long. */
export const isReplicationStalled = (
  progress: ReplicationProgress,
  nowMs: number,
): boolean => nowMs - progress.lastProgressAtMs > STALL_TIMEOUT_MS;
