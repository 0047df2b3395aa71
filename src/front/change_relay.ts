/** Passes the store's changes on to fronts that ask this one for them. */
import {ClockReading} from '../core/freshness.js';
import {
  addChanges,
  emptyChangeHistory,
  changesAfter,
  ChangeHistory,
  asOfOffsetMs,
  RelayedEvent,
} from '../core/relay.js';

/** A question for changes. */
export interface FollowRequest {
  /** Revision up to which the asker knows all. */
  readonly after: number;
}

/** What a front passes on. */
export type RelayedChanges =
  /** The asked front does not hear the store itself. */
  | {readonly kind: 'unheard'}
  /** Changes that the asker lacks are no longer kept here. */
  | {readonly kind: 'gone'}
  | {
      readonly kind: 'changes';
      readonly events: readonly RelayedEvent[];
      /** Revision up to which the events are complete. */
      readonly revision: number;
      /** When that held, relative to the arrival of the question. */
      readonly offsetMs: number;
    };

interface Asker {
  readonly after: number;
  readonly askedAt: ClockReading;
  readonly answer: (changes: RelayedChanges) => void;
}

/** What this front has last heard from the store itself. */
interface Heard {
  readonly revision: number;
  readonly asOf: ClockReading;
}

/** Answers those who ask as soon as the store has answered this front. */
export class ChangeRelay {
  private history: ChangeHistory = emptyChangeHistory(0);
  private heard: Heard | undefined;
  private waiting: Asker[] = [];

  private constructor(private readonly clocks: () => ClockReading) {}

  static create(clocks: () => ClockReading): ChangeRelay {
    return new ChangeRelay(clocks);
  }

  /** All that was kept is void: the state was read anew at this revision. */
  reset(revision: number): void {
    this.history = emptyChangeHistory(revision);
  }

  /** Keeps changes, wherever they were heard. */
  record(events: readonly RelayedEvent[]): void {
    this.history = addChanges(this.history, events);
  }

  /** The store itself has answered: passes on what is new. */
  publish(revision: number, asOf: ClockReading): void {
    this.heard = {revision, asOf};
    for (const asker of this.waiting.splice(0)) {
      asker.answer(this.changesFor(asker, this.heard));
    }
  }

  /** This front no longer hears the store itself. */
  suspend(): void {
    this.heard = undefined;
    for (const {answer} of this.waiting.splice(0)) answer({kind: 'unheard'});
  }

  /** Answers at once when something is new, else after the store's next answer. */
  follow({after}: FollowRequest): Promise<RelayedChanges> {
    const {heard} = this;
    if (!heard) return Promise.resolve({kind: 'unheard'});
    return new Promise(answer => {
      const asker = {after, askedAt: this.clocks(), answer};
      const kept = changesAfter(this.history, after);
      if (kept?.length === 0) this.waiting.push(asker);
      else answer(this.changesFor(asker, heard));
    });
  }

  private changesFor(asker: Asker, heard: Heard): RelayedChanges {
    const events = changesAfter(this.history, asker.after);
    if (!events) return {kind: 'gone'};
    return {
      kind: 'changes',
      events,
      revision: Math.max(heard.revision, asker.after),
      offsetMs: asOfOffsetMs(asker.askedAt, heard.asOf),
    };
  }
}
