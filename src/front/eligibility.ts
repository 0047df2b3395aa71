/**
 * Which databases of a service may serve a request, where homes or evacuations
 * exclude some of them, and how long a request waits for one that may.
 */
import {databasesOf, Directory, KnownDatabase} from '../core/directory.js';
import {Exclusion} from '../core/exclusion.js';
import {Freshness} from '../core/front_config.js';
import {HOMES_RETRY_DELAY_MS} from '../core/homes.js';
import {leaderWaitDeadlineMs} from '../core/leader_wait.js';
import {DatabaseLoad} from '../core/read_choice.js';
import {Access} from '../core/work.js';
import type {StatementRequest} from './router.js';

export interface EligibilityOptions {
  readonly directory: () => Directory;
  /** Returns the known primary of a service. */
  readonly leader: (service: string) => KnownDatabase | undefined;
  /** Why a database may not serve a request; undefined if it may. */
  readonly exclusionOf: (
    entry: KnownDatabase,
    request: StatementRequest,
  ) => Exclusion | undefined;
  readonly loadOf: (database: string) => DatabaseLoad;
}

/** A database that may not serve a request, as it is logged. */
export interface ExcludedDatabase {
  readonly database: string;
  readonly zone: string;
  readonly region: string;
  readonly reason: Exclusion;
}

const MIN_RETRY_DELAY_MS = 50;

/** Whether only a primary may run a request. */
export const needsLeader = ({
  access,
  opens,
  route,
}: StatementRequest): boolean =>
  access !== Access.read ||
  opens === 'readWrite' ||
  route.freshness === Freshness.primary;

export class Eligibility {
  private constructor(private readonly options: EligibilityOptions) {}

  static create(options: EligibilityOptions): Eligibility {
    return new Eligibility(options);
  }

  /**
   * Returns why no primary may serve a request, now or after a change of
   * primary that is under way; undefined if one may.
   */
  primaryExclusion(request: StatementRequest): Exclusion | undefined {
    const {exclusionOf, leader} = this.options;
    const primary = leader(request.route.service);
    if (primary) return exclusionOf(primary, request);
    const exclusions = this.databasesFor(request).map(entry =>
      exclusionOf(entry, request),
    );
    return exclusions.includes(undefined) ? undefined : exclusions[0];
  }

  /** Returns the databases that may not serve a request, with the reasons. */
  excludedDatabases(request: StatementRequest): ExcludedDatabase[] {
    return this.databasesFor(request).flatMap(entry => {
      const {id, zone, place} = entry;
      const reason = this.options.exclusionOf(entry, request);
      return reason ? [{database: id, zone, region: place.region, reason}] : [];
    });
  }

  /**
   * Whether a read that no primary may serve waits for a replica that lags or
   * has failed lately. It waits as long as for a primary without a takeover.
   */
  mayReplicaReturn(
    request: StatementRequest,
    tried: ReadonlySet<string>,
    startedMs: number,
  ): boolean {
    if (this.primaryExclusion(request) === undefined) return false;
    const {deadlineMs, route} = request;
    const untilMs = leaderWaitDeadlineMs({
      startedMs,
      deadlineMs,
      objectiveMs: route.objectiveMs,
      lostAtMs: undefined,
    });
    return (
      performance.now() < untilMs &&
      this.replicasFor(request).some(({id}) => !tried.has(id))
    );
  }

  /**
   * Returns when to retry a request that no primary may serve: for a read, as
   * soon as a replica that may serve it is chosen again.
   */
  retryDelayMs(request: StatementRequest): number {
    const nowMs = performance.now();
    const delaysMs = this.replicasFor(request).map(({id}) => {
      const {avoidUntilMs, laggingUntilMs} = this.options.loadOf(id);
      return Math.max(avoidUntilMs, laggingUntilMs) - nowMs;
    });
    const soonestMs = Math.min(HOMES_RETRY_DELAY_MS, ...delaysMs);
    return Math.max(MIN_RETRY_DELAY_MS, Math.ceil(soonestMs));
  }

  private databasesFor({route}: StatementRequest): KnownDatabase[] {
    return databasesOf(this.options.directory(), route.service);
  }

  /** Replicas that may serve a request; none for one that needs a primary. */
  private replicasFor(request: StatementRequest): KnownDatabase[] {
    if (needsLeader(request)) return [];
    return this.databasesFor(request).filter(
      entry =>
        !entry.leaving &&
        !entry.isLeader &&
        this.options.exclusionOf(entry, request) === undefined,
    );
  }
}
