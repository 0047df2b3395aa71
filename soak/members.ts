/** Changes of the databases of one service, and cuts between them and others. */
import {
  StandinDatabase,
  StandinGroup,
} from '../test/platform/standin_database.js';
import {StoreFaultMode} from '../test/platform/standin_store.js';
import {FrontProcess} from './front_process.js';
import {World} from './world.js';

/** Time from a change of role to the entries that say so. */
const ROLE_LISTED_MS = 200;
/** After that silence the platform removes the entry of a database. */
const LAPSE_MS = 3_600;
const STORE_POLL_MS = 100;
const SHRINK_DRAIN_MS = 1_000;
const MIN_SIZE = 3;
const MAX_SIZE = 6;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** How fronts see that they are cut off from a database. */
export const CutKind = {
  /** Messages are ignored on connections that stay open. */
  silent: 'silent',
  /** Connections are closed, also new ones. */
  refused: 'refused',
} as const;
export type CutKind = (typeof CutKind)[keyof typeof CutKind];

export class Members {
  /** Whether a fault that excludes others of its sort is under way. */
  isBusy = false;

  private constructor(
    private readonly world: World,
    readonly group: StandinGroup,
    private readonly log: (event: string, details: object) => void,
  ) {
    group.onRoleChange = () => void this.listRoles();
  }

  static create(
    world: World,
    group: StandinGroup,
    log: (event: string, details: object) => void,
  ): Members {
    return new Members(world, group, log);
  }

  get primary(): StandinDatabase | undefined {
    return this.group.primary;
  }

  /** Replicas that run and do not leave. */
  get replicas(): readonly StandinDatabase[] {
    return this.group.databases.filter(
      database =>
        !database.isPrimary && database.isRunning && !database.isDraining,
    );
  }

  get mayGrow(): boolean {
    return this.group.databases.length < MAX_SIZE;
  }

  /** Whether the store has an entry of a database. */
  isListed({id}: StandinDatabase): boolean {
    return this.world.store.get(`servers/${id}`) !== undefined;
  }

  /** Starts a database that receives and is listed after some time. */
  async join(
    zone: string,
    receivesAfterMs: number,
    listedAfterMs: number,
    replaced?: StandinDatabase,
  ): Promise<StandinDatabase> {
    const database = await this.group.join(zone, replaced);
    database.receivesFromMs = performance.now() + receivesAfterMs;
    database.reachesStore = false;
    const {id, log} = database;
    this.note('joined', database, {
      from: replaced?.id,
      entries: log.length,
      id,
    });
    void pause(listedAfterMs).then(() => this.list(database));
    return database;
  }

  /**
   * A database announces that it leaves, and ends; another one comes with its
   * log to its address. Resolves when that one has started.
   */
  async leave(
    database: StandinDatabase,
    drainMs: number,
    replacedAfterMs: number,
  ): Promise<void> {
    database.isDraining = true;
    this.note('leaves', database, {drainMs});
    void this.list(database);
    await pause(drainMs);
    await this.replace(database, replacedAfterMs, true);
  }

  /** Ends a database for good; another one comes in its place. */
  async replace(
    database: StandinDatabase,
    replacedAfterMs: number,
    keepsLog: boolean,
  ): Promise<void> {
    if (!this.group.databases.includes(database)) return;
    this.note('ends', database);
    database.reachesStore = false;
    const {isDraining} = database;
    await this.group.remove(database);
    const removed = pause(isDraining ? 0 : LAPSE_MS).then(() =>
      this.unlist(database),
    );
    await pause(replacedAfterMs);
    const kept = keepsLog ? database : undefined;
    await this.join(database.zone, 500, 300, kept);
    await removed;
  }

  /** Ends a replica that was more than the service needs. */
  async shrink(): Promise<void> {
    const surplus = this.replicas.find(replica => this.isListed(replica));
    if (this.group.databases.length <= MIN_SIZE || !surplus) return;
    this.note('ends', surplus);
    surplus.isDraining = true;
    await this.list(surplus);
    await pause(SHRINK_DRAIN_MS);
    surplus.reachesStore = false;
    await this.group.remove(surplus);
    this.unlist(surplus);
  }

  /** A database crashes; it comes back with its log, or with an empty one. */
  async crash(
    database: StandinDatabase,
    durationMs: number,
    isEmptied = false,
  ): Promise<void> {
    if (!database.isRunning) return;
    this.note('crashes', database, {durationMs, isEmptied});
    await database.crash();
    if (isEmptied) database.log.length = 0;
    await this.vanish(database, durationMs);
    if (!this.group.databases.includes(database)) return;
    await database.start();
    await this.list(database);
    this.note('back', database);
  }

  /** A database and its surroundings lose sight of each other. */
  async darken(database: StandinDatabase, durationMs: number): Promise<void> {
    this.note('dark', database, {durationMs});
    const heal = this.cutReplication(database, this.group.databases);
    database.isUnresponsive = true;
    await this.vanish(database, durationMs);
    heal();
    database.isUnresponsive = false;
    // What it has not read is lost, so its connections are of no use.
    for (const socket of database.sockets) socket.destroy();
    if (this.group.databases.includes(database)) await this.list(database);
    this.note('visible', database);
  }

  /** The entry of a database lapses while it goes on receiving. */
  async lapse(database: StandinDatabase, durationMs: number): Promise<void> {
    this.note('lapses', database, {durationMs});
    database.reachesStore = false;
    this.unlist(database);
    await pause(durationMs);
    await this.list(database);
  }

  /** A database receives nothing for a while. */
  async deafen(database: StandinDatabase, durationMs: number): Promise<void> {
    this.note('deaf', database, {durationMs});
    database.receivesFromMs = Infinity;
    await pause(durationMs);
    database.receivesFromMs = performance.now();
  }

  /** Cuts a database off from others; returns what ends that. */
  cutReplication(
    database: StandinDatabase,
    others: readonly StandinDatabase[],
  ): () => void {
    const cut = others.filter(other => other !== database);
    this.note('cut_off', database, {from: cut.map(({id}) => id)});
    const {replication} = this.group;
    const heal = cut.map(other => replication?.cut(database, other));
    return () => {
      this.note('healed', database);
      for (const end of heal) end?.();
    };
  }

  /** Cuts a database off from fronts. */
  async cutFronts(
    database: StandinDatabase,
    fronts: readonly FrontProcess[],
    kind: CutKind,
    durationMs: number,
  ): Promise<void> {
    const names = fronts.map(({name}) => name);
    this.note('fronts_cut', database, {names, kind, durationMs});
    const hosts =
      kind === CutKind.silent ? database.silentHosts : database.refusedHosts;
    const close = (): void => {
      for (const socket of database.sockets) {
        const host = String(socket.localAddress);
        if (fronts.some(({platformHost}) => platformHost === host))
          socket.destroy();
      }
    };
    for (const {platformHost} of fronts) hosts.add(platformHost);
    if (kind === CutKind.refused) close();
    await pause(durationMs);
    for (const {platformHost} of fronts) hosts.delete(platformHost);
    if (kind === CutKind.silent) close();
    this.note('fronts_back', database);
  }

  private async listRoles(): Promise<void> {
    await pause(ROLE_LISTED_MS);
    await this.untilStoreServes();
    this.world.store.registerDatabases();
  }

  private async untilStoreServes(): Promise<void> {
    const {store} = this.world;
    while (store.faultMode !== StoreFaultMode.none) await pause(STORE_POLL_MS);
  }

  /** Registers a database once the store can be reached. */
  private async list(database: StandinDatabase): Promise<void> {
    await this.untilStoreServes();
    if (!this.group.databases.includes(database)) return;
    database.reachesStore = true;
    this.world.store.registerDatabases();
  }

  private unlist({id}: StandinDatabase): void {
    this.world.store.remove(`servers/${id}`);
  }

  /** A database writes no entry for a while, so that the known one lapses. */
  private async vanish(
    database: StandinDatabase,
    durationMs: number,
  ): Promise<void> {
    database.reachesStore = false;
    await pause(Math.min(durationMs, LAPSE_MS));
    if (durationMs <= LAPSE_MS) return;
    this.unlist(database);
    await pause(durationMs - LAPSE_MS);
  }

  private note(
    what: string,
    {id, isPrimary}: StandinDatabase,
    details = {},
  ): void {
    const {service} = this.group;
    this.log('member', {what, service, database: id, isPrimary, ...details});
  }
}
