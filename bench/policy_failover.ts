/** Simulates the failover election after the primary stops responding. */
import {
  createFailoverState,
  FailoverEffect,
  FailoverEvent,
  FailoverTimeouts,
} from '../src/core/failover_state.js';
import {stepFailover} from '../src/core/failover.js';
import {DatabaseStatus} from '../src/core/position.js';
import type {DeploymentProfile} from './policy.js';
import {VirtualTime} from './simulation.js';

const DATABASES = ['db0', 'db1', 'db2'];
const PRIMARY_FAILS_AT_MS = 1_030;
const END_MS = 30_000;
const PROBE_INTERVAL_MS = 100;
const TICK_INTERVAL_MS = 50;
const REACHABILITY_TIMEOUT_MS = 400;

/** Returns the time in ms from the failure of the primary to a promotion. */
export function simulateFailover(
  deployment: DeploymentProfile,
  timeouts: FailoverTimeouts,
): number {
  const time = VirtualTime.create();
  const roundTripMs = 2 * deployment.regionDelayMs;
  const observers = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
  const statuses = new Map<string, DatabaseStatus>(
    DATABASES.map((database, index) => [
      database,
      {
        database,
        role: index === 0 ? 'primary' : 'replica',
        term: 1,
        offset: 100,
        lineage: [{term: 1, startOffset: 0}],
        following: index === 0 ? undefined : 'db0',
      },
    ]),
  );
  let state = createFailoverState({
    claimant: 'vm-1/boot',
    databases: DATABASES,
    times: timeouts,
    nowMs: 0,
  });
  let promotedAtMs = Infinity;

  const isReachable = (database: string): boolean =>
    database !== 'db0' || time.nowMs < PRIMARY_FAILS_AT_MS;
  const dispatch = (event: FailoverEvent): void => {
    const step = stepFailover(state, event);
    state = step.state;
    step.effects.forEach(runEffect);
  };
  const updateStatus = (
    database: string,
    fields: Partial<DatabaseStatus>,
  ): void => {
    const status = statuses.get(database);
    if (status) statuses.set(database, {...status, ...fields});
  };
  const statusOf = (database: string): DatabaseStatus => {
    const status = statuses.get(database);
    if (!status) throw new Error(`no database ${database}`);
    return status;
  };
  const runEffect = (effect: FailoverEffect): void => {
    if (effect.type === 'askObservers') {
      for (const observer of observers) {
        time.after(roundTripMs + REACHABILITY_TIMEOUT_MS, () =>
          dispatch({
            type: 'vote',
            observer,
            reachable: false,
            nowMs: time.nowMs,
          }),
        );
      }
      return;
    }
    time.after(roundTripMs / 2, () => {
      if (isReachable(effect.database)) executeOrder(effect);
    });
  };
  const executeOrder = (
    effect: Exclude<FailoverEffect, {type: 'askObservers'}>,
  ): void => {
    const {database, term} = effect;
    if (effect.type === 'raise') {
      updateStatus(database, {term, role: 'replica', following: undefined});
    } else if (effect.type === 'promote') {
      updateStatus(database, {role: 'primary'});
      promotedAtMs = Math.min(promotedAtMs, time.nowMs);
    }
    const status = statusOf(database);
    time.after(roundTripMs / 2, () => {
      const nowMs = time.nowMs;
      if (effect.type === 'raise') {
        dispatch({
          type: 'raised',
          database,
          term,
          granted: true,
          status,
          nowMs,
        });
      } else if (effect.type === 'promote') {
        dispatch({type: 'promoted', term, granted: true, nowMs});
      }
    });
  };
  const probeDatabases = (): void =>
    DATABASES.filter(isReachable).forEach(database => {
      const status = statusOf(database);
      time.after(roundTripMs, () =>
        dispatch({type: 'status', status, nowMs: time.nowMs}),
      );
    });
  time.every(PROBE_INTERVAL_MS, probeDatabases);
  time.every(TICK_INTERVAL_MS, () =>
    dispatch({type: 'tick', observers, nowMs: time.nowMs}),
  );
  time.runUntil(END_MS);
  return promotedAtMs - PRIMARY_FAILS_AT_MS;
}
