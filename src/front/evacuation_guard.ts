/**
 * Applies evacuations on this front: tells the router and the workers which
 * zones they may use, and ends the work that is left in a zone at its deadline.
 * Workers ask again just before they send, because a process that was suspended
 * runs its timers late.
 */
import {merge, Observable, Subscription} from 'rxjs';
import {KnownDatabase} from '../core/directory.js';
import {Evacuations} from '../core/evacuation.js';
import {Exclusion} from '../core/exclusion.js';
import {ClockReading} from '../core/freshness.js';

export interface EvacuationGuardOptions {
  readonly evacuations: () => Evacuations;
  /** Emits when the evacuations may have changed. */
  readonly evacuations$: Observable<unknown>;
  /** Emits when a database may have moved to another zone. */
  readonly directory$: Observable<unknown>;
  readonly clocks: () => ClockReading;
  /** Ends the work at all databases whose zones are closed. */
  readonly endWorkInClosedZones: () => void;
}

export class EvacuationGuard {
  private readonly timers = new Map<string, NodeJS.Timeout>();
  private subscription: Subscription | undefined;

  private constructor(private readonly options: EvacuationGuardOptions) {}

  static create(options: EvacuationGuardOptions): EvacuationGuard {
    return new EvacuationGuard(options);
  }

  /** Must be called once the workers exist that the options refer to. */
  start(): void {
    const {evacuations$, directory$} = this.options;
    this.subscription = merge(evacuations$, directory$).subscribe(() =>
      this.enforce(),
    );
  }

  /** Whether a zone is being evacuated: others are preferred for reads. */
  isEvacuating(zone: string): boolean {
    return this.options.evacuations().isEvacuating(zone);
  }

  /** Whether nothing may be sent to the databases of a zone any more. */
  isZoneClosed(zone: string): boolean {
    const evacuations = this.options.evacuations();
    // Asked before each send, so the clocks are read only if it matters.
    if (!evacuations.isEvacuating(zone)) return false;
    return evacuations.isClosed(zone, this.options.clocks());
  }

  /** Why a database may not serve any request now; undefined if it may. */
  exclusionOf({zone}: KnownDatabase): Exclusion | undefined {
    return this.isZoneClosed(zone) ? Exclusion.evacuated : undefined;
  }

  close(): void {
    this.subscription?.unsubscribe();
    for (const timer of this.timers.values()) clearTimeout(timer);
    this.timers.clear();
  }

  /** Ends work in closed zones; sets a timer for each zone that will close. */
  private enforce(): void {
    const {evacuations, clocks, endWorkInClosedZones} = this.options;
    const {byZone} = evacuations();
    for (const [zone, timer] of this.timers) {
      clearTimeout(timer);
      this.timers.delete(zone);
    }
    if (byZone.size === 0) return;
    const now = clocks();
    for (const zone of byZone.keys()) {
      if (evacuations().isClosed(zone, now)) continue;
      const remainingMs = evacuations().remainingMs(zone, now);
      // Timers may fire up to a millisecond early.
      const timer = setTimeout(() => this.enforce(), remainingMs + 1);
      this.timers.set(zone, timer);
    }
    endWorkInClosedZones();
  }
}
