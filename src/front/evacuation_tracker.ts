/**
 * Maintains the evacuations from the changes of their keys in the store. Only
 * the key counts; its value is not read. After the store was restored from a
 * copy, a key that a list lacks may have been lost, so the evacuation stays in
 * force until the operator has had time to write it again.
 */
import {BehaviorSubject} from 'rxjs';
import {Evacuations} from '../core/evacuation.js';
import {ClockReading} from '../core/freshness.js';
import {StoreEvent} from '../store/key_values.js';
import {JsonLog} from './json_log.js';

export interface EvacuationTrackerOptions {
  /** Prefix of the keys; the rest of a key is the zone's name. */
  readonly prefix: string;
  readonly isKnownZone: (zone: string) => boolean;
  /** Time after the key was written from which no request reaches the zone. */
  readonly evacuateMs: number;
  /** How long after a restore a missing key does not end an evacuation. */
  readonly rewriteGraceMs: number;
  readonly clocks: () => ClockReading;
  readonly log: JsonLog;
}

/** The evacuations that a front knows. */
export class EvacuationTracker {
  readonly evacuations$ = new BehaviorSubject<Evacuations>(Evacuations.none);
  /** Time as of which the last view was complete. */
  private viewedAt: ClockReading | undefined;
  private restoredAt: ClockReading | undefined;
  /** Whether a list lacked an evacuation that stays in force. */
  private hasRetained = false;

  private constructor(private readonly options: EvacuationTrackerOptions) {}

  static create(options: EvacuationTrackerOptions): EvacuationTracker {
    return new EvacuationTracker(options);
  }

  get evacuations(): Evacuations {
    return this.evacuations$.value;
  }

  /**
   * Whether the store must be listed again, because evacuations were retained
   * after a restore and the operator has had time to write them again.
   */
  get isListDue(): boolean {
    return this.hasRetained && !this.isRewriting;
  }

  /** Must be called before the first changes after a restore are applied. */
  recordRestore(): void {
    this.restoredAt = this.options.clocks();
  }

  /**
   * Records that the view, with all changes applied, was complete as of a time.
   * After a restore it may lack an evacuation that was written before, so it
   * proves the absence of none until the operator has had time to repeat it.
   */
  recordView(asOf: ClockReading): void {
    if (this.isRewriting) return;
    if (this.viewedAt && asOf.steadyMs < this.viewedAt.steadyMs) return;
    this.viewedAt = asOf;
  }

  /** Applies changes of keys, in order. */
  apply(events: readonly StoreEvent[]): void {
    let evacuations = this.evacuations;
    for (const event of events) {
      const zone = event.key.slice(this.options.prefix.length);
      evacuations =
        event.kind === 'put'
          ? this.begin(evacuations, zone, event.revision)
          : this.end(evacuations, zone, 'removed');
    }
    this.publish(evacuations);
  }

  /** Ends the evacuations whose keys a complete list did not contain. */
  removeUnlisted(keys: ReadonlySet<string>): void {
    this.hasRetained = false;
    let evacuations = this.evacuations;
    for (const zone of evacuations.byZone.keys()) {
      if (keys.has(this.options.prefix + zone)) continue;
      if (this.isRewriting) this.retain(zone);
      else evacuations = this.end(evacuations, zone, 'not listed');
    }
    this.publish(evacuations);
  }

  dump(): object[] {
    const now = this.options.clocks();
    return [...this.evacuations.byZone].map(([zone, {revision}]) => ({
      zone,
      revision,
      remainingMs: Math.round(this.evacuations.remainingMs(zone, now)),
    }));
  }

  private get isRewriting(): boolean {
    if (!this.restoredAt) return false;
    const sinceMs = this.options.clocks().steadyMs - this.restoredAt.steadyMs;
    return sinceMs < this.options.rewriteGraceMs;
  }

  private publish(evacuations: Evacuations): void {
    if (evacuations !== this.evacuations) this.evacuations$.next(evacuations);
  }

  private begin(
    evacuations: Evacuations,
    zone: string,
    revision: number,
  ): Evacuations {
    const {evacuateMs, isKnownZone, clocks, log} = this.options;
    const next = evacuations.begin(zone, revision, this.viewedAt, evacuateMs);
    if (next === evacuations) return next;
    const now = clocks();
    log('evacuation_begun', {
      zone,
      revision,
      deadlineInMs: Math.round(next.remainingMs(zone, now)),
      lastAbsentAgoMs:
        this.viewedAt && Math.round(now.steadyMs - this.viewedAt.steadyMs),
    });
    if (!isKnownZone(zone)) log('evacuation_zone_unknown', {zone, revision});
    return next;
  }

  private end(
    evacuations: Evacuations,
    zone: string,
    reason: string,
  ): Evacuations {
    const known = evacuations.byZone.get(zone);
    if (known) {
      const {revision} = known;
      this.options.log('evacuation_ended', {zone, revision, reason});
    }
    return evacuations.end(zone);
  }

  private retain(zone: string): void {
    this.hasRetained = true;
    this.options.log('evacuation_retained', {
      zone,
      reason: 'the store was restored from a copy that lacks it',
    });
  }
}
