/** Simulates reads and writes of sessions and the routing of their reads. */
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
import type {DeploymentProfile} from './policy.js';
import {exponential, seededRandom, VirtualTime} from './simulation.js';

const DURATION_MS = 30_000;
const SESSION_COUNT = 40;
const MEAN_THINK_TIME_MS = 60;
const WRITE_SHARE = 0.2;
/** Fraction of reads that accept results of up to `MAX_STALENESS_MS`. */
const BOUNDED_READ_SHARE = 0.3;
const MAX_STALENESS_MS = 2_000;
const PROBE_INTERVAL_MS = 100;
const DEADLINE_MS = 15_000;

/** Returns the fraction of reads that replicas serve. */
export function simulateReads(
  deployment: DeploymentProfile,
  route: RouteRead,
  seed: number,
): number {
  const time = VirtualTime.create();
  const random = seededRandom(seed);
  // Times of the commits at the primary.
  const commitTimesMs: number[] = [];
  const lagsMs = [deployment.replicaLagMs, deployment.replicaLagMs * 4];
  let view: GroupView = emptyGroupView();
  let replicaReads = 0;
  let primaryReads = 0;

  const offsetAt = (atMs: number): number =>
    commitTimesMs.filter(commitMs => commitMs <= atMs).length;
  const statusOf = (index: number): DatabaseStatus => ({
    database: `db${index}`,
    role: index === 0 ? 'primary' : 'replica',
    term: 1,
    offset:
      index === 0
        ? commitTimesMs.length
        : offsetAt(time.nowMs - lagsMs[index - 1]),
    lineage: [{term: 1, startOffset: 0}],
  });
  const probe = (): void => {
    for (const index of [0, 1, 2]) {
      const sentAtMs = time.nowMs;
      const status = statusOf(index);
      time.after(2 * deployment.zoneDelayMs, () => {
        view = addStatusSample(view, {status, sentAtMs});
      });
    }
  };
  const routeRead = (
    floor: Position,
    maxStalenessMs: number | undefined,
    arrivedAtMs: number,
  ): void => {
    const requirements = {
      floor,
      maxStalenessMs,
      arrivedAtMs,
      deadlineAtMs: arrivedAtMs + DEADLINE_MS,
    };
    const choice = route(view, requirements, () => 0, time.nowMs);
    if (choice.kind === 'wait') {
      probe();
      time.after(choice.untilMs - time.nowMs, () =>
        routeRead(floor, maxStalenessMs, arrivedAtMs),
      );
      return;
    }
    if (choice.kind !== 'database') return;
    if (choice.database === 'db0') primaryReads++;
    else replicaReads++;
  };
  const scheduleRequest = (floor: Position): void => {
    time.after(exponential(random, MEAN_THINK_TIME_MS), () => {
      if (random() < WRITE_SHARE) {
        commitTimesMs.push(time.nowMs);
        const position = {term: 1, offset: commitTimesMs.length};
        // A commit is acknowledged once the faster replica has it.
        time.after(lagsMs[0], () =>
          scheduleRequest(laterPosition(floor, position)),
        );
        return;
      }
      routeRead(
        floor,
        random() < BOUNDED_READ_SHARE ? MAX_STALENESS_MS : undefined,
        time.nowMs,
      );
      scheduleRequest(floor);
    });
  };
  probe();
  time.every(PROBE_INTERVAL_MS, probe);
  for (let i = 0; i < SESSION_COUNT; i++) scheduleRequest({term: 0, offset: 0});
  time.runUntil(DURATION_MS);
  return replicaReads / Math.max(1, replicaReads + primaryReads);
}

const laterPosition = (a: Position, b: Position): Position =>
  comparePositions(a, b) > 0 ? a : b;
