/** Evacuations of zones during a run, and what ran in the zones all the same. */
import {StandinDatabase} from '../test/platform/standin_database.js';
import {StandinStore} from '../test/platform/standin_store.js';
import {Finding} from './statement_judge.js';

/** `bounds.evacuate_ms` of the fronts of a run. */
export const EVACUATE_MS = 3_000;
/** Time after an outage of the store in which all fronts are in contact again. */
const CONTACT_MS = 3_000;

/** A time in which nothing may run in a zone; by `performance.now()`. */
export interface ClosedZone {
  readonly zone: string;
  readonly fromMs: number;
  readonly untilMs: number;
}

/** The evacuations of a run; several faults may evacuate the same zone. */
export class ZoneEvacuations {
  readonly closed: ClosedZone[] = [];
  private readonly current = new Map<string, {count: number; fromMs: number}>();

  private constructor(private readonly store: StandinStore) {}

  static create(store: StandinStore): ZoneEvacuations {
    return new ZoneEvacuations(store);
  }

  begin(zone: string): void {
    const known = this.current.get(zone);
    if (known) return void known.count++;
    this.store.put(`op/evacuate/${zone}`, {});
    const fromMs = performance.now() + EVACUATE_MS;
    this.current.set(zone, {count: 1, fromMs});
  }

  end(zone: string): void {
    const known = this.current.get(zone);
    if (!known || --known.count > 0) return;
    this.current.delete(zone);
    const untilMs = performance.now();
    this.store.remove(`op/evacuate/${zone}`);
    if (untilMs > known.fromMs)
      this.closed.push({zone, fromMs: known.fromMs, untilMs});
  }

  /**
   * Must be called when an outage of the store ends: fronts may not have been
   * in contact with it when an evacuation began.
   */
  recordContact(): void {
    const fromMs = performance.now() + CONTACT_MS;
    for (const known of this.current.values())
      known.fromMs = Math.max(known.fromMs, fromMs);
  }
}

/** Reports the callers' statements that ran in zones that were closed. */
export function judgeEvacuations(
  closed: readonly ClosedZone[],
  databases: readonly StandinDatabase[],
): Finding[] {
  return closed.flatMap(({zone, fromMs, untilMs}) =>
    databases
      .filter(database => database.zone === zone)
      .flatMap(({executedStatements}) => executedStatements)
      .filter(
        ({executedAtMs}) => executedAtMs > fromMs && executedAtMs < untilMs,
      )
      .map(({database, requestId, executedAtMs}) => {
        const lateMs = Math.round(executedAtMs - fromMs);
        const details = {zone, database, requestId, lateMs};
        return {rule: 'EVAC', kind: 'ran_in_zone', details};
      }),
  );
}
