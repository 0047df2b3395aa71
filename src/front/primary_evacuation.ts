/**
 * Chooses the services whose primaries are to be moved out of evacuated zones,
 * and when. A change of primary pauses the replicas, so that the primary cannot
 * acknowledge commits meanwhile: none is begun unless another database could
 * replace it, and one that fails is repeated at growing intervals.
 */
import {Evacuations, evacuationRetryMs, isOutside} from '../core/evacuation.js';
import {KnownDatabase} from '../core/directory.js';
import {comparePositions, Position} from '../core/position.js';
import {runControlStatement} from './control_link.js';
import {JsonLog} from './json_log.js';
import {pause} from './timeout.js';
import {DatabaseCodec} from './wire_types.js';

export interface PrimaryEvacuationOptions {
  readonly evacuations: () => Evacuations;
  /** Databases of a service other than `leader`. */
  readonly replicasOf: (service: string, leader: string) => KnownDatabase[];
  readonly codec: DatabaseCodec;
  readonly log: JsonLog;
}

/** Changes of primary that evacuations may have under way at once. */
const MAX_RUNNING = 40;
/** The platform accepts 50 promotion calls a second; other changes need some. */
const MAX_STARTS_PER_S = 40;
/**
 * How long a database outside may take to reach the position that the furthest
 * replica had. One that is further behind would delay the change, with the
 * replicas paused again and again.
 */
const CATCH_UP_TIMEOUT_MS = 2_500;
const POLL_INTERVAL_MS = 100;

export class PrimaryEvacuation {
  private readonly running = new Set<string>();
  /** When attempts were begun in the last second, oldest first. */
  private startsAtMs: readonly number[] = [];
  private readonly failures = new Map<string, number>();
  private readonly retryAtMs = new Map<string, number>();
  /** Why the primary of each service cannot be moved, as logged. */
  private readonly blocked = new Map<string, string>();

  private constructor(private readonly options: PrimaryEvacuationOptions) {}

  static create(options: PrimaryEvacuationOptions): PrimaryEvacuation {
    return new PrimaryEvacuation(options);
  }

  /** Must be called when the coordinator lease has been acquired. */
  beginTenure(): void {
    this.failures.clear();
    this.retryAtMs.clear();
    this.blocked.clear();
  }

  /** Whether the primary of a service is to be moved now. */
  isDue(service: string, leader: KnownDatabase, nowMs: number): boolean {
    if (!this.isEvacuating(leader)) {
      this.forget(service);
      return false;
    }
    if (!this.hasOutside(service, leader)) {
      this.logBlocked(service, leader, 'no database outside');
      return false;
    }
    const isRetryDue = (this.retryAtMs.get(service) ?? 0) <= nowMs;
    this.startsAtMs = this.startsAtMs.filter(atMs => nowMs - atMs < 1_000);
    const hasRoom =
      this.running.size < MAX_RUNNING &&
      this.startsAtMs.length < MAX_STARTS_PER_S;
    return isRetryDue && hasRoom;
  }

  isEvacuating({zone}: KnownDatabase): boolean {
    return this.options.evacuations().isEvacuating(zone);
  }

  /** Whether a service has another database that could be primary outside. */
  hasOutside(service: string, leader: KnownDatabase): boolean {
    return this.outsideOf(service, leader).length > 0;
  }

  begin(service: string, nowMs: number): void {
    this.running.add(service);
    this.startsAtMs = [...this.startsAtMs, nowMs];
  }

  end(service: string): void {
    this.running.delete(service);
  }

  /** Records whether an attempt has moved the primary of a service. */
  record(service: string, isMoved: boolean): void {
    if (isMoved) return this.forget(service);
    const failures = (this.failures.get(service) ?? 0) + 1;
    this.failures.set(service, failures);
    const retryMs = evacuationRetryMs(failures);
    this.retryAtMs.set(service, performance.now() + retryMs);
  }

  /**
   * Resolves to whether a database outside answers and has, within a time limit,
   * the log that the furthest replica had at first. Pauses nothing.
   */
  async isOutsideReady(
    service: string,
    leader: KnownDatabase,
  ): Promise<boolean> {
    const untilMs = performance.now() + CATCH_UP_TIMEOUT_MS;
    const replicas = this.options.replicasOf(service, leader.id);
    const positions = await this.positionsOf(replicas);
    const furthest = [...positions.values()].reduce(
      (best: Position | undefined, position) =>
        best && comparePositions(best, position) >= 0 ? best : position,
      undefined,
    );
    let known = positions;
    for (;;) {
      const outside = this.outsideOf(service, leader);
      const isReady = outside.some(({id}) => {
        const position = known.get(id);
        return (
          position && furthest && comparePositions(position, furthest) >= 0
        );
      });
      if (isReady) return true;
      if (performance.now() > untilMs || !this.isEvacuating(leader)) {
        const isAnswered = outside.some(({id}) => known.has(id));
        const reason = isAnswered
          ? 'databases outside are behind'
          : 'no database outside answers';
        this.logBlocked(service, leader, reason);
        return false;
      }
      await pause(POLL_INTERVAL_MS);
      known = await this.positionsOf(outside);
    }
  }

  private outsideOf(service: string, leader: KnownDatabase): KnownDatabase[] {
    const evacuations = this.options.evacuations();
    return this.options
      .replicasOf(service, leader.id)
      .filter(entry => isOutside(evacuations, entry));
  }

  private async positionsOf(
    entries: readonly KnownDatabase[],
  ): Promise<ReadonlyMap<string, Position>> {
    const positions = new Map<string, Position>();
    await Promise.all(
      entries.map(async entry => {
        const statement = {kind: 'status'} as const;
        const {codec} = this.options;
        const report = await runControlStatement(entry, codec, statement);
        if (report) positions.set(entry.id, report.position);
      }),
    );
    return positions;
  }

  private forget(service: string): void {
    this.failures.delete(service);
    this.retryAtMs.delete(service);
    this.blocked.delete(service);
  }

  private logBlocked(
    service: string,
    {id: database, zone}: KnownDatabase,
    reason: string,
  ): void {
    if (this.blocked.get(service) === reason) return;
    this.blocked.set(service, reason);
    this.options.log('evacuation_blocked', {service, database, zone, reason});
  }
}
