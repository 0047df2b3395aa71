/**
 * Limits the requests that one front sends to a cold database, one that answers
 * slowly for some time after its start.
 */

/** What the operators allow a cold database of a service to receive. */
export interface WarmUpRule {
  /** Requests per second that a cold database serves; above 0. */
  readonly coldPerS: number;
  /** How long a database is cold after its start. */
  readonly coldStartMs: number;
}

/** Tolerance by which the requests per second may exceed `coldPerS`. */
export interface WarmUpTolerance {
  readonly excess: number;
  readonly slack: number;
}

export const DEFAULT_WARM_UP_TOLERANCE: WarmUpTolerance = {
  excess: 1.5,
  slack: 5,
};

/**
 * Returns the requests that one front may send to a cold database in any
 * second: half of what the database may receive, so that two fronts that both
 * consider themselves the holder stay within the limit.
 */
export const frontShare = (
  {coldPerS}: WarmUpRule,
  {excess, slack}: WarmUpTolerance,
): number => Math.max(1, Math.floor((coldPerS * excess + slack) / 2));

/**
 * Length of the window: a second, and 10 ms for clocks that run at different
 * rates and for the resolution of the database's clock.
 */
export const WARM_UP_WINDOW_MS = 1_010;

/** Requests that are counted as in flight until `end` is called. */
export interface WarmUpPermit {
  /** Must be called when the requests are answered, or their connection closed. */
  end(nowMs: number): void;
}

/**
 * Counts requests in a sliding window. A request is counted from when it is
 * sent until a window after its answer, because the database receives it at an
 * unknown time in between. Has no clock; times must not decrease.
 */
export class WarmUpLimiter {
  private inFlight = 0;
  /** When the requests of the last window ended, the oldest first. */
  private readonly endedAtMs: number[] = [];

  private constructor(private readonly share: () => number) {}

  /** `share`: the number of requests that may be counted at once. */
  static create(share: () => number): WarmUpLimiter {
    return new WarmUpLimiter(share);
  }

  /** Number of requests that are counted at present. */
  countAt(nowMs: number): number {
    this.prune(nowMs);
    return this.inFlight + this.endedAtMs.length;
  }

  /**
   * Returns how long until `count` requests may be sent; 0 if they may be sent
   * now. Requests in flight are assumed to be answered now.
   */
  waitMs(count: number, nowMs: number): number {
    const surplus = this.countAt(nowMs) + this.chargeOf(count) - this.share();
    if (surplus <= 0) return 0;
    const endedAtMs = this.endedAtMs[surplus - 1] ?? nowMs;
    return endedAtMs + WARM_UP_WINDOW_MS - nowMs;
  }

  /** Counts requests that are sent now; undefined if they must not be sent. */
  start(count: number, nowMs: number): WarmUpPermit | undefined {
    return this.waitMs(count, nowMs) === 0
      ? this.record(count, nowMs)
      : undefined;
  }

  /** Counts requests that are sent now, whether there is room or not. */
  record(count: number, nowMs: number): WarmUpPermit {
    this.prune(nowMs);
    const charge = this.chargeOf(count);
    this.inFlight += charge;
    let hasEnded = false;
    return {
      end: endMs => {
        if (hasEnded) return;
        hasEnded = true;
        this.inFlight -= charge;
        for (let i = 0; i < charge; i++) this.endedAtMs.push(endMs);
      },
    };
  }

  /** A charge above the share could never be admitted. */
  private chargeOf(count: number): number {
    return Math.min(count, this.share());
  }

  private prune(nowMs: number): void {
    const {endedAtMs} = this;
    const firstCounted = endedAtMs.findIndex(
      atMs => nowMs - atMs < WARM_UP_WINDOW_MS,
    );
    endedAtMs.splice(0, firstCounted < 0 ? endedAtMs.length : firstCounted);
  }
}
