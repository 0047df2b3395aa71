/**
 * For how long the homes of a service's routes have been the same. The choice
 * among databases with equal logs depends on them. An order of promotion may be
 * executed some time after it was sent, and then the next order must name the
 * same database: the model loses acknowledged commits otherwise.
 */

/** A route of the configuration. */
interface Route {
  readonly name: string;
  readonly service: string;
  readonly homeRegions?: readonly string[];
}

/**
 * How long homes count as changed: an unanswered order may be executed for 15 s,
 * and its sender's configuration may have been 5 s old.
 */
export const HOMES_SETTLE_MS = 20_000;

export class HomePreference {
  /** The homes of all routes of a service, as a text; services without: none. */
  private homes: ReadonlyMap<string, string> = new Map();
  private readonly changedAtMs = new Map<string, number>();

  /** `isInitial`: whether no order can have been sent before. */
  private constructor(private isInitial: boolean) {}

  static create(isInitial = false): HomePreference {
    return new HomePreference(isInitial);
  }

  /**
   * Records the routes of a new configuration. The homes in the first one count
   * as changed, since those before it are unknown, unless no order can have been
   * sent before.
   */
  update(routes: Iterable<Route>, nowMs: number): void {
    const homes = new Map<string, string>();
    for (const {name, service, homeRegions} of routes) {
      if (!homeRegions?.length) continue;
      const others = homes.get(service) ?? '';
      homes.set(service, others + JSON.stringify([name, homeRegions]));
    }
    for (const service of new Set([...homes.keys(), ...this.homes.keys()])) {
      const hasChanged = homes.get(service) !== this.homes.get(service);
      if (hasChanged && !this.isInitial) this.changedAtMs.set(service, nowMs);
    }
    this.homes = homes;
    this.isInitial = false;
  }

  /** Whether any order sent under other homes can no longer be executed. */
  isSettled(service: string, nowMs: number): boolean {
    const changedAtMs = this.changedAtMs.get(service);
    return changedAtMs === undefined || nowMs - changedAtMs >= HOMES_SETTLE_MS;
  }
}
