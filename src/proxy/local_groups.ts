/**
 * The database groups whose connection pools this VM owns, kept up to date with
 * the configuration and with the placement of pools on VMs.
 */
import {interval, merge, Observable, Subscription} from 'rxjs';
import {
  Config,
  DatabaseConfig,
  findService,
  ServiceConfig,
} from '../core/config.js';
import {failure} from '../core/errors.js';
import {
  Executor,
  Lane,
  LaneBatch,
  LaneRequest,
  LaneSink,
} from '../core/lane.js';
import {Candidate, ownerOf} from '../core/placement.js';
import {BackendTarget} from '../pg/backend.js';
import {preferredPlaceOf} from './fleet_executor.js';
import {LocalGroup, LocalGroupOptions} from './local_group.js';

export interface LocalGroupsOptions {
  readonly localVm: string;
  readonly config$: Observable<Config>;
  readonly config: () => Config;
  readonly candidates: () => readonly Candidate[];
  readonly targetOf: (
    service: string,
    database: DatabaseConfig,
  ) => BackendTarget;
  readonly failoverOptions: LocalGroupOptions['failoverOptions'];
  readonly onRouted: LocalGroupOptions['onRouted'];
  readonly routeRead?: LocalGroupOptions['routeRead'];
  readonly confirmRule?: LocalGroupOptions['confirmRule'];
}

/** An open group and the configuration that its pools were made for. */
interface ServedGroup {
  readonly group: LocalGroup;
  readonly service: ServiceConfig;
  /** When another VM became the owner; undefined while this VM owns it. */
  ownershipLostAtMs: number | undefined;
}

const RECONCILE_INTERVAL_MS = 250;
/** Shortest time for which a group stays open after its owner has changed. */
const OWNERSHIP_GRACE_MS = 3_000;

/** Opens lanes of the services whose connection pools this VM owns. */
export class LocalGroups implements Executor {
  private readonly groupsByService = new Map<string, ServedGroup>();
  /** Closed groups, kept until their last lanes end. */
  private readonly retired = new Set<LocalGroup>();
  private readonly subscription: Subscription;
  /** Number of groups opened so far. */
  private groupCount = 0;

  private constructor(private readonly options: LocalGroupsOptions) {
    this.subscription = merge(
      interval(RECONCILE_INTERVAL_MS),
      options.config$,
    ).subscribe(() => this.reconcile());
  }

  static create(options: LocalGroupsOptions): LocalGroups {
    return new LocalGroups(options);
  }

  get laneCount(): number {
    const groups = [...this.groupsByService.values()].map(entry => entry.group);
    return [...groups, ...this.retired].reduce((n, g) => n + g.laneCount, 0);
  }

  open(request: LaneRequest, batch: LaneBatch, sink: LaneSink): Lane {
    const group = this.groupOf(request.service);
    if (group) return group.open(request, batch, sink);
    sink.onFailure(
      failure('service_unknown', `no service "${request.service}"`),
    );
    return NO_LANE;
  }

  dump(): object[] {
    return [...this.groupsByService.values()].map(entry => entry.group.dump());
  }

  close(): void {
    this.subscription.unsubscribe();
    for (const {group} of this.groupsByService.values()) group.close();
    this.groupsByService.clear();
  }

  /**
   * Returns the group of a service, and adds it even if another VM owns it:
   * VMs whose views of the members differ may send requests here.
   */
  private groupOf(name: string): LocalGroup | undefined {
    const known = this.groupsByService.get(name);
    if (known) return known.group;
    const service = findService(this.options.config(), name);
    return service ? this.add(service).group : undefined;
  }

  private add(service: ServiceConfig): ServedGroup {
    const {options} = this;
    const {claimant} = options.failoverOptions;
    // A database takes a claim under the same name for a repeated one.
    const ownClaimant = `${claimant}/${++this.groupCount}`;
    const group = LocalGroup.create({
      service,
      targetOf: database => options.targetOf(service.name, database),
      failoverOptions: {...options.failoverOptions, claimant: ownClaimant},
      onRouted: options.onRouted,
      routeRead: options.routeRead,
      confirmRule: options.confirmRule,
    });
    const served: ServedGroup = {group, service, ownershipLostAtMs: undefined};
    this.groupsByService.set(service.name, served);
    return served;
  }

  private reconcile(): void {
    const config = this.options.config();
    for (const service of config.services) this.reconcileService(service);
    for (const [name, entry] of this.groupsByService) {
      if (!findService(config, name)) this.retire(name, entry);
    }
    for (const group of this.retired) {
      const service = findService(config, group.name);
      if (service) group.checkDatabases(service);
      if (group.laneCount === 0) this.retired.delete(group);
    }
  }

  private reconcileService(service: ServiceConfig): void {
    const entry = this.groupsByService.get(service.name);
    const isOwned = this.owns(service);
    if (!entry) {
      if (isOwned) this.add(service);
      return;
    }
    if (needsNewGroup(entry.service, service)) {
      this.retire(service.name, entry);
      if (isOwned) this.add(service);
      return;
    }
    entry.group.update(service);
    this.updateOwnership(service.name, entry, isOwned);
  }

  private updateOwnership(
    name: string,
    entry: ServedGroup,
    isOwned: boolean,
  ): void {
    if (isOwned) {
      if (entry.ownershipLostAtMs !== undefined) entry.group.setOwned(true);
      entry.ownershipLostAtMs = undefined;
      return;
    }
    if (entry.ownershipLostAtMs === undefined) {
      entry.ownershipLostAtMs = Date.now();
      entry.group.setOwned(false);
    }
    const isGraceOver =
      Date.now() - entry.ownershipLostAtMs > OWNERSHIP_GRACE_MS;
    if (isGraceOver && entry.group.laneCount === 0) this.retire(name, entry);
  }

  private owns(service: ServiceConfig): boolean {
    const {candidates, localVm} = this.options;
    return (
      ownerOf(service.name, preferredPlaceOf(service), candidates())?.vm ===
      localVm
    );
  }

  private retire(name: string, entry: ServedGroup): void {
    this.groupsByService.delete(name);
    this.retired.add(entry.group);
    entry.group.close();
  }
}

/**
 * Whether a configuration change needs new pools. A database that starts or
 * stops leaving doesn't, nor does the access of callers without a key.
 */
function needsNewGroup(before: ServiceConfig, after: ServiceConfig): boolean {
  const comparable = (service: ServiceConfig): string =>
    JSON.stringify({
      ...service,
      open: undefined,
      databases: service.databases.map(entry => ({...entry, leaving: false})),
    });
  return comparable(before) !== comparable(after);
}

const NO_LANE: Lane = {
  send: () => undefined,
  cancel: () => undefined,
  abort: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};
