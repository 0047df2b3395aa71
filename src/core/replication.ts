/**
 * Notices a primary whose replicas all stand still although it has moved on:
 * they are cut off from it, however well proxies reach it.
 */
import {GroupView} from './routing.js';

/** What was last seen to move. Immutable. */
export interface ReplicationProgress {
  readonly offsets: ReadonlyMap<string, number>;
  readonly lastProgressAtMs: number;
}

const STANDSTILL_MS = 2_500;

export const createReplicationProgress = (
  nowMs: number,
): ReplicationProgress => ({
  offsets: new Map(),
  lastProgressAtMs: nowMs,
});

/** Takes in a view; any replica that moves or is level counts as progress. */
export function updateReplicationProgress(
  watch: ReplicationProgress,
  view: GroupView,
  nowMs: number,
): ReplicationProgress {
  const primary = view.samples.get(view.primary ?? '')?.status;
  const replicas = [...view.samples.values()]
    .map(sample => sample.status)
    .filter(status => status.role === 'replica');
  const moved = replicas.some(
    status =>
      watch.offsets.get(status.database) !== status.offset ||
      status.offset >= (primary?.offset ?? 0),
  );
  if (!moved && primary && replicas.length > 0) return watch;
  const offsets = new Map(replicas.map(s => [s.database, s.offset]));
  return {offsets, lastProgressAtMs: nowMs};
}

/** Whether every replica has stood still for too long. */
export const isReplicationStalled = (
  watch: ReplicationProgress,
  nowMs: number,
): boolean => nowMs - watch.lastProgressAtMs > STANDSTILL_MS;
