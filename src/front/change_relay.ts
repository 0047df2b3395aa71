/** Relays the store's changes to other fronts that request them. */
import {ClockReading} from '../core/freshness.js';
import {
  addChanges,
  emptyChangeHistory,
  changesAfter,
  ChangeHistory,
  asOfOffsetMs,
  RelayedEvent,
} from '../core/relay.js';

/** Request of another front for the store's changes after a revision. */
export interface FollowRequest {
  /** Revision up to which the requester's view is complete. */
  readonly after: number;
}

/**
 * Reply to a follow request. Sent between fronts, so its names and kinds stay.
 */
export type RelayedChanges =
  /** The replying front does not receive changes from the store itself. */
  | {readonly kind: 'unheard'}
  /**
   * Changes that the requester lacks are no longer kept; it must list the
   * store.
   */
  | {readonly kind: 'gone'}
  | {
      readonly kind: 'changes';
      readonly events: readonly RelayedEvent[];
      /** Revision up to which the events are complete. */
      readonly revision: number;
      /**
       * Time as of which that held, in milliseconds after the request arrived;
       * negative when before.
       */
      readonly offsetMs: number;
    };

interface PendingRequest {
  readonly after: number;
  readonly receivedAt: ClockReading;
  readonly reply: (changes: RelayedChanges) => void;
}

/** This front's last reply from the store itself. */
interface StoreReply {
  readonly revision: number;
  readonly asOf: ClockReading;
}

/**
 * Keeps the store's latest changes and sends them to other fronts that follow
 * this one.
 */
export class ChangeRelay {
  private history: ChangeHistory = emptyChangeHistory(0);
  private lastReply: StoreReply | undefined;
  private pending: PendingRequest[] = [];

  private constructor(private readonly clocks: () => ClockReading) {}

  static create(clocks: () => ClockReading): ChangeRelay {
    return new ChangeRelay(clocks);
  }

  /**
   * Discards the kept changes, as the state was listed again at this revision.
   */
  reset(revision: number): void {
    this.history = emptyChangeHistory(revision);
  }

  /** Keeps changes for requesters, whether from the store or from a relay. */
  record(events: readonly RelayedEvent[]): void {
    this.history = addChanges(this.history, events);
  }

  /** Handles a reply of the store itself: replies to all pending requests. */
  publish(revision: number, asOf: ClockReading): void {
    this.lastReply = {revision, asOf};
    for (const request of this.pending.splice(0)) {
      request.reply(this.changesFor(request, this.lastReply));
    }
  }

  /**
   * Stops replying with changes until the next `publish`, because this front
   * does not receive them from the store itself.
   */
  suspend(): void {
    this.lastReply = undefined;
    for (const {reply} of this.pending.splice(0)) reply({kind: 'unheard'});
  }

  /**
   * Replies at once when newer changes are kept, otherwise after the store's
   * next reply.
   */
  follow({after}: FollowRequest): Promise<RelayedChanges> {
    const {lastReply} = this;
    if (!lastReply) return Promise.resolve({kind: 'unheard'});
    return new Promise(reply => {
      const request = {after, receivedAt: this.clocks(), reply};
      const kept = changesAfter(this.history, after);
      if (kept?.length === 0) this.pending.push(request);
      else reply(this.changesFor(request, lastReply));
    });
  }

  private changesFor(
    request: PendingRequest,
    lastReply: StoreReply,
  ): RelayedChanges {
    const events = changesAfter(this.history, request.after);
    if (!events) return {kind: 'gone'};
    return {
      kind: 'changes',
      events,
      revision: Math.max(lastReply.revision, request.after),
      offsetMs: asOfOffsetMs(request.receivedAt, lastReply.asOf),
    };
  }
}
