/**
 * Keeps a priority from starving: one whose work has waited for longer than a
 * bound without a turn gets one of eight turns, until it is served in its usual
 * order again.
 */

/** Time without a turn after which a priority starves. */
export const STARVING_AFTER_MS = 1_000;
/** One of this many turns goes to a priority that starves. */
export const TURNS_PER_STARVING_TURN = 8;
/** Smallest part of a database's capacity that a priority gets. */
export const MIN_SHARE = 1 / TURNS_PER_STARVING_TURN;

export class PriorityTurns {
  /** When each waiting priority began to wait or had its last usual turn. */
  private readonly waitingSinceMs = new Map<number, number>();
  private turns = 0;

  private constructor() {}

  static create(): PriorityTurns {
    return new PriorityTurns();
  }

  /** Records that a priority has waiting work. */
  onWaiting(priority: number, nowMs: number): void {
    if (!this.waitingSinceMs.has(priority))
      this.waitingSinceMs.set(priority, nowMs);
  }

  /** Records that a priority has no waiting work. */
  onEmpty(priority: number): void {
    this.waitingSinceMs.delete(priority);
  }

  /** Returns the priority that starves for longest, if the turn belongs to it. */
  starving(nowMs: number): number | undefined {
    if (this.turns < TURNS_PER_STARVING_TURN - 1) return undefined;
    let longest: number | undefined;
    let sinceMs = nowMs - STARVING_AFTER_MS;
    for (const [priority, waitingSinceMs] of this.waitingSinceMs) {
      if (waitingSinceMs >= sinceMs) continue;
      longest = priority;
      sinceMs = waitingSinceMs;
    }
    return longest;
  }

  /** Records that work was taken in the usual order. */
  onUsualTurn(priority: number, nowMs: number): void {
    this.turns++;
    if (this.waitingSinceMs.has(priority))
      this.waitingSinceMs.set(priority, nowMs);
  }

  /** Records that work was taken in a turn for a priority that starves. */
  onStarvingTurn(): void {
    this.turns = 0;
  }
}
