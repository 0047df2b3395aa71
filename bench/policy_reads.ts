/** Share of reads on replicas: sessions that write, read back and roam. */
import {
  comparePositions,
  DatabaseStatus,
  Position,
} from '../src/core/position.js';
import {
  emptyGroupView,
  GroupView,
  addStatusSample,
  RouteRead,
} from '../src/core/routing.js';
import type {UserSize} from './policy.js';
import {exponential, randomOf, VirtualTime} from './simulation.js';

const DURATION_MS = 30_000;
const SESSIONS = 40;
const THINK_MS = 60;
const WRITE_SHARE = 0.2;
const STALE_OK_SHARE = 0.3;
const ACCEPTED_AGE_MS = 2_000;
const PROBE_MS = 100;
const DEADLINE_MS = 15_000;

/** Replays reads and writes; returns the share of reads replicas served. */
export function simulateReads(
  user: UserSize,
  route: RouteRead,
  seed: number,
): number {
  const time = VirtualTime.create();
  const random = randomOf(seed);
  /** Times at which the primary committed. */
  const commitsMs: number[] = [];
  const lagsMs = [user.replicaLagMs, user.replicaLagMs * 4];
  let view: GroupView = emptyGroupView();
  let onReplica = 0;
  let onPrimary = 0;

  const offsetAt = (atMs: number): number =>
    commitsMs.filter(commitMs => commitMs <= atMs).length;
  const statusOf = (index: number): DatabaseStatus => ({
    database: `db${index}`,
    role: index === 0 ? 'primary' : 'replica',
    term: 1,
    offset:
      index === 0 ? commitsMs.length : offsetAt(time.nowMs - lagsMs[index - 1]),
    lineage: [{term: 1, startOffset: 0}],
  });
  const probe = (): void => {
    for (const index of [0, 1, 2]) {
      const sentAtMs = time.nowMs;
      const status = statusOf(index);
      time.after(2 * user.zoneDelayMs, () => {
        view = addStatusSample(view, {status, sentAtMs});
      });
    }
  };
  const read = (
    floor: Position,
    maxStalenessMs: number | undefined,
    arrivedAtMs: number,
  ): void => {
    const need = {
      floor,
      maxStalenessMs,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + DEADLINE_MS,
    };
    const chosen = route(view, need, () => 0, time.nowMs);
    if (chosen.kind === 'wait') {
      probe();
      time.after(chosen.untilMs - time.nowMs, () =>
        read(floor, maxStalenessMs, arrivedAtMs),
      );
      return;
    }
    if (chosen.kind !== 'database') return;
    if (chosen.database === 'db0') onPrimary++;
    else onReplica++;
  };
  const session = (floor: Position): void => {
    time.after(exponential(random, THINK_MS), () => {
      if (random() < WRITE_SHARE) {
        commitsMs.push(time.nowMs);
        const written = {term: 1, offset: commitsMs.length};
        // Acknowledged once the nearest replica holds it.
        time.after(lagsMs[0], () => session(later(floor, written)));
        return;
      }
      read(
        floor,
        random() < STALE_OK_SHARE ? ACCEPTED_AGE_MS : undefined,
        time.nowMs,
      );
      session(floor);
    });
  };
  probe();
  time.every(PROBE_MS, probe);
  for (let i = 0; i < SESSIONS; i++) session({term: 0, offset: 0});
  time.runUntil(DURATION_MS);
  return onReplica / Math.max(1, onReplica + onPrimary);
}

const later = (a: Position, b: Position): Position =>
  comparePositions(a, b) > 0 ? a : b;
