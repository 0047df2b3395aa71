/** The groups that this VM serves, kept in step with placement and config. */
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

/** What the groups need. */
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

interface Served {
  readonly group: LocalGroup;
  readonly service: ServiceConfig;
  disownedAtMs: number | undefined;
}

const RECONCILE_MS = 250;
/** Time for which a group stays open after its ownership has moved. */
const LINGER_MS = 3_000;

/** Serves lanes of every service whose pools are here. */
export class LocalGroups implements Executor {
  private readonly served = new Map<string, Served>();
  /** Groups replaced by a newer configuration, until their lanes end. */
  private readonly retired = new Set<LocalGroup>();
  private readonly subscription: Subscription;

  private constructor(private readonly options: LocalGroupsOptions) {
    this.subscription = merge(
      interval(RECONCILE_MS),
      options.config$,
    ).subscribe(() => this.reconcile());
  }

  static create(options: LocalGroupsOptions): LocalGroups {
    return new LocalGroups(options);
  }

  get laneCount(): number {
    const groups = [...this.served.values()].map(entry => entry.group);
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
    return [...this.served.values()].map(entry => entry.group.dump());
  }

  close(): void {
    this.subscription.unsubscribe();
    for (const {group} of this.served.values()) group.close();
    this.served.clear();
  }

  private groupOf(name: string): LocalGroup | undefined {
    const known = this.served.get(name);
    if (known) return known.group;
    const service = findService(this.options.config(), name);
    return service ? this.add(service).group : undefined;
  }

  private add(service: ServiceConfig): Served {
    const {options} = this;
    const group = LocalGroup.create({
      service,
      targetOf: database => options.targetOf(service.name, database),
      failoverOptions: options.failoverOptions,
      onRouted: options.onRouted,
      routeRead: options.routeRead,
      confirmRule: options.confirmRule,
    });
    const served: Served = {group, service, disownedAtMs: undefined};
    this.served.set(service.name, served);
    return served;
  }

  private reconcile(): void {
    const config = this.options.config();
    for (const service of config.services) this.reconcileService(service);
    for (const [name, entry] of this.served) {
      if (!findService(config, name)) this.retire(name, entry);
    }
    for (const group of this.retired) {
      if (group.laneCount === 0) this.retired.delete(group);
    }
  }

  private reconcileService(service: ServiceConfig): void {
    const held = this.served.get(service.name);
    const owned = this.owns(service);
    if (!held) {
      if (owned) this.add(service);
      return;
    }
    if (needsNewGroup(held.service, service)) {
      this.retire(service.name, held);
      if (owned) this.add(service);
      return;
    }
    held.group.update(service);
    this.noteOwnership(service.name, held, owned);
  }

  private noteOwnership(name: string, held: Served, owned: boolean): void {
    if (owned) {
      if (held.disownedAtMs !== undefined) held.group.setOwned(true);
      held.disownedAtMs = undefined;
      return;
    }
    if (held.disownedAtMs === undefined) {
      held.disownedAtMs = Date.now();
      held.group.setOwned(false);
    }
    const lingered = Date.now() - held.disownedAtMs > LINGER_MS;
    if (lingered && held.group.laneCount === 0) this.retire(name, held);
  }

  private owns(service: ServiceConfig): boolean {
    const {candidates, localVm: self} = this.options;
    return (
      ownerOf(service.name, preferredPlaceOf(service), candidates())?.vm ===
      self
    );
  }

  private retire(name: string, entry: Served): void {
    this.served.delete(name);
    this.retired.add(entry.group);
    entry.group.close();
  }
}

/** Whether a change needs new pools; a leaving mark does not. */
function needsNewGroup(before: ServiceConfig, after: ServiceConfig): boolean {
  const shape = (service: ServiceConfig): string =>
    JSON.stringify({
      ...service,
      open: undefined,
      databases: service.databases.map(entry => ({...entry, leaving: false})),
    });
  return shape(before) !== shape(after);
}

const NO_LANE: Lane = {
  send: () => undefined,
  cancel: () => undefined,
  abort: () => undefined,
  pause: () => undefined,
  resume: () => undefined,
};
