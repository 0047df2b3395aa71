/** Gap in writes after a primary dies silently: the real failover core. */
import {
  createFailoverState,
  FailoverEffect,
  FailoverEvent,
  FailoverTimeouts,
} from '../src/core/failover_state.js';
import {stepFailover} from '../src/core/failover.js';
import {DatabaseStatus} from '../src/core/position.js';
import type {UserSize} from './policy.js';
import {VirtualTime} from './simulation.js';

const DATABASES = ['db0', 'db1', 'db2'];
const DIES_AT_MS = 1_030;
const END_MS = 30_000;
const PROBE_MS = 100;
const TICK_MS = 50;
const REACH_TIMEOUT_MS = 400;

/** Time from the primary's death to a new primary. */
export function simulateFailover(
  user: UserSize,
  times: FailoverTimeouts,
): number {
  const time = VirtualTime.create();
  const roundTripMs = 2 * user.regionDelayMs;
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
    times,
    nowMs: 0,
  });
  let doneAtMs = Infinity;

  const answers = (database: string): boolean =>
    database !== 'db0' || time.nowMs < DIES_AT_MS;
  const apply = (event: FailoverEvent): void => {
    const step = stepFailover(state, event);
    state = step.state;
    step.effects.forEach(perform);
  };
  const change = (database: string, fields: Partial<DatabaseStatus>): void => {
    const held = statuses.get(database);
    if (held) statuses.set(database, {...held, ...fields});
  };
  const statusOf = (database: string): DatabaseStatus => {
    const status = statuses.get(database);
    if (!status) throw new Error(`no database ${database}`);
    return status;
  };
  const perform = (effect: FailoverEffect): void => {
    if (effect.type === 'askObservers') {
      for (const observer of observers) {
        time.after(roundTripMs + REACH_TIMEOUT_MS, () =>
          apply({type: 'vote', observer, reachable: false, nowMs: time.nowMs}),
        );
      }
      return;
    }
    time.after(roundTripMs / 2, () => {
      if (answers(effect.database)) reply(effect);
    });
  };
  const reply = (
    effect: Exclude<FailoverEffect, {type: 'askObservers'}>,
  ): void => {
    const {database, term} = effect;
    if (effect.type === 'raise') {
      change(database, {term, role: 'replica', following: undefined});
    } else if (effect.type === 'promote') {
      change(database, {role: 'primary'});
      doneAtMs = Math.min(doneAtMs, time.nowMs);
    }
    const status = statusOf(database);
    time.after(roundTripMs / 2, () => {
      const nowMs = time.nowMs;
      if (effect.type === 'raise') {
        apply({type: 'raised', database, term, granted: true, status, nowMs});
      } else if (effect.type === 'promote') {
        apply({type: 'promoted', term, granted: true, nowMs});
      }
    });
  };
  const probe = (): void =>
    DATABASES.filter(answers).forEach(database => {
      const status = statusOf(database);
      time.after(roundTripMs, () =>
        apply({type: 'status', status, nowMs: time.nowMs}),
      );
    });
  time.every(PROBE_MS, probe);
  time.every(TICK_MS, () =>
    apply({type: 'tick', observers, nowMs: time.nowMs}),
  );
  time.runUntil(END_MS);
  return doneAtMs - DIES_AT_MS;
}
