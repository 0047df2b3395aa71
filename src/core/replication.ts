/**
 * Notices a primary whose replicas all stand still although it has moved on:
 * they are cut off from it, however well proxies reach it.
 */
import {GroupView} from './routing.js';

/** What was last seen to move. Immutable. */
export interface ReplicationWatch {
  readonly offsets: ReadonlyMap<string, number>;
  readonly progressAtMs: number;
}

const STANDSTILL_MS = 2_500;

export const createReplicationWatch = (nowMs: number): ReplicationWatch => ({
  offsets: new Map(),
  progressAtMs: nowMs,
});

/** Takes in a view; any replica that moves or is level counts as progress. */
export function watchReplication(
  watch: ReplicationWatch,
  view: GroupView,
  nowMs: number,
): ReplicationWatch {
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
  return {offsets, progressAtMs: nowMs};
}

/** Whether every replica has stood still for too long. */
export const isReplicationStuck = (
  watch: ReplicationWatch,
  nowMs: number,
): boolean => nowMs - watch.progressAtMs > STANDSTILL_MS;
