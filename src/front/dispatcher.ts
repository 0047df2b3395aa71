/**
 * Brings work to the front that holds a database's connections: this one, or
 * another over its peer link, the next in rank when one cannot be reached.
 */
import {FrontMember, Fronts, rankHolders} from '../core/fronts.js';
import {Directory, KnownDatabase} from '../core/directory.js';
import {FrontService} from '../core/front_config.js';
import {
  Access,
  Fault,
  faultReply,
  TransactionState,
  Reply,
  Work,
  ExecutionMode,
} from '../core/work.js';
import {usualLimit} from '../core/connection_budget.js';
import {DatabaseWorker} from './database_worker.js';
import {
  SampleByAge,
  PositionSamples,
  toSamplesByAge,
  fromSamplesByAge,
} from '../core/position_samples.js';
import {JsonLog} from './json_log.js';
import {PeerLink, PeerUnavailableError} from './peer_link.js';
import {DatabaseCodec} from './wire_types.js';

/** What a dispatcher needs. */
export interface DispatcherOptions {
  readonly self: string;
  readonly zone: string;
  readonly codec: DatabaseCodec;
  readonly log: JsonLog;
  readonly directory: () => Directory;
  readonly fronts: () => Fronts;
  readonly serviceOf: (name: string) => FrontService | undefined;
  readonly idleTransactionMs: () => number;
  readonly secret: () => string;
  /** Whether this front may use a database as primary at this moment. */
  readonly canServeAsPrimary: (entry: KnownDatabase) => boolean;
}

/** Names of the methods that fronts serve each other. */
export const PeerMethodName = {
  run: 'work.run',
  cancel: 'work.cancel',
  endLane: 'lane.end',
  lend: 'rate.lend',
  probe: 'database.probe',
  suspect: 'duty.suspect',
  marks: 'database.marks',
  follow: 'store.follow',
  leader: 'leader.hear',
  ping: 'ping',
} as const;

/** Fronts tried for one piece of work. */
const MAX_HOLDERS = 2;
/** Time that an answer may take on its way beyond the work's own limit. */
const TRANSIT_MS = 60;
/** Age up to which marks are told to another front. */
const MARKS_SENT_MS = 900;
const LANE_EXTRA_MS = 1_500;
/** Separates the holder from its lane in a lane's name between fronts. */
const LANE_SEPARATOR = '|';

/** A reply with the front that gave it. */
export interface DispatchedReply {
  readonly reply: Reply;
  readonly holder: string;
}

/** Runs work wherever its database is held. */
export class Dispatcher {
  private readonly workers = new Map<string, DatabaseWorker>();
  private readonly links = new Map<string, PeerLink>();
  /** Holders by database, for one set of fronts. */
  private readonly ranked = new Map<string, FrontMember[]>();
  private rankedFronts: Fronts | undefined;
  private closed = false;

  private constructor(private readonly options: DispatcherOptions) {}

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Runs work for a caller of this front. */
  async run(work: Work): Promise<DispatchedReply> {
    if (work.mode === ExecutionMode.lane) return this.runInLane(work);
    const entry = this.options.directory().get(work.database);
    if (!entry) return this.unreachable('database is not listed');
    const deadlineMs = performance.now() + work.budgetMs;
    const holders = this.holders(entry).slice(0, MAX_HOLDERS);
    let last: DispatchedReply | undefined;
    for (const holder of holders) {
      const budgetMs = Math.floor(deadlineMs - performance.now());
      if (budgetMs <= 0) break;
      const done = await this.runAt(holder, {...work, budgetMs});
      if (done && (done.reply.ok || done.reply.fault !== Fault.unreachable)) {
        return done;
      }
      last = done ?? last;
    }
    return last ?? this.unreachable('no front reaches the database');
  }

  /** Runs work that another front, or this one, has sent here. */
  async runLocally(work: Work, origin: string): Promise<Reply> {
    const worker = this.worker(work.database);
    if (!worker) return faultReply(Fault.unreachable, 'database is not listed');
    return worker.run(work, origin);
  }

  /** The caller has left. */
  cancel(work: Work): void {
    this.cancelLocally(work.database, work.key);
    const entry = this.options.directory().get(work.database);
    const [first] = entry ? this.holders(entry) : [];
    if (first && first.vm !== this.options.self) {
      const params = {database: work.database, key: work.key};
      this.links.get(first.vm)?.notify(PeerMethodName.cancel, params);
    }
  }

  cancelLocally(database: string, key: string): void {
    this.workers.get(database)?.cancel(key);
  }

  /** Rolls back a transaction. */
  endLane(database: string, name: string): void {
    const {holder, lane} = splitLane(name);
    if (holder === this.options.self) return this.endLocalLane(database, lane);
    const params = {database, lane};
    this.links.get(holder)?.notify(PeerMethodName.endLane, params);
  }

  endLocalLane(database: string, lane: string): void {
    this.workers.get(database)?.endLane(lane);
  }

  /** A peer's connection has ended: its transactions go with it. */
  endLanesFrom(vm: string): void {
    for (const worker of this.workers.values()) worker.endLanesFrom(vm);
  }

  /** The worker of a listed database, made when first needed. */
  worker(database: string): DatabaseWorker | undefined {
    const known = this.workers.get(database);
    if (known) return known;
    const entry = this.options.directory().get(database);
    if (!entry || this.closed) return undefined;
    const {codec, log, zone} = this.options;
    const worker = DatabaseWorker.create({
      entry,
      codec,
      log,
      isNear: entry.zone === zone,
      connectionLimit: () => this.connectionLimit(database),
      isHolder: () => this.isHolder(entry),
      canServeAsPrimary: () =>
        this.options.canServeAsPrimary(
          this.options.directory().get(database) ?? entry,
        ),
      laneIdleMs: () => this.options.idleTransactionMs() + LANE_EXTRA_MS,
    });
    this.workers.set(database, worker);
    return worker;
  }

  /** Ends what only a primary may run at a service's other databases. */
  abortPrimaryWorkExcept(service: string, leader: string): void {
    for (const worker of this.workers.values()) {
      const {service: own, id} = worker.database;
      if (own === service && id !== leader) worker.abortPrimaryWork();
    }
  }

  /** Workers that exist, by database. */
  get workersByDatabase(): ReadonlyMap<string, DatabaseWorker> {
    return this.workers;
  }

  /** Whether no work is under way here. */
  get isIdle(): boolean {
    return [...this.workers.values()].every(worker => worker.isIdle);
  }

  /** Expected wait at a database that this front holds. */
  localWaitMs(database: string, customer: string, priority: number): number {
    return this.workers.get(database)?.expectedWaitMs(customer, priority) ?? 0;
  }

  /** Marks of a leader from the front that holds it, on this front's clock. */
  async positionSamplesOf(database: string): Promise<PositionSamples> {
    const entry = this.options.directory().get(database);
    const [holder] = entry ? this.holders(entry) : [];
    if (!holder) return [];
    if (holder.vm === this.options.self) {
      return this.worker(database)?.positionSamples() ?? [];
    }
    const askedAtMs = performance.now();
    const call = this.link(holder.vm)?.call<SampleByAge[]>(
      PeerMethodName.marks,
      {
        database,
      },
    );
    return call ? fromSamplesByAge(await call, askedAtMs) : [];
  }

  /** The same for another front, by age. */
  async localPositionSamples(database: string): Promise<SampleByAge[]> {
    const marks = (await this.worker(database)?.positionSamples()) ?? [];
    return toSamplesByAge(marks, MARKS_SENT_MS, performance.now());
  }

  /** Takes in changes of the directory and of the fronts. */
  refresh(): void {
    const directory = this.options.directory();
    for (const [id, worker] of this.workers) {
      const entry = directory.get(id);
      if (entry) {
        worker.update(entry);
        worker.releaseIdle(this.connectionLimit(id));
      } else {
        worker.close();
        this.workers.delete(id);
      }
    }
    const fronts = this.options.fronts();
    for (const [vm, link] of this.links) {
      if (fronts.has(vm)) continue;
      link.close();
      this.links.delete(vm);
    }
  }

  /** The link to another front, made when first needed. */
  link(vm: string): PeerLink | undefined {
    const member = this.options.fronts().get(vm);
    if (!member || this.closed) return undefined;
    const known = this.links.get(vm);
    if (known?.hasAddress(member)) return known;
    known?.close();
    const link = PeerLink.create({
      self: this.options.self,
      target: {vm, host: member.host, port: member.port},
      secret: this.options.secret,
      log: this.options.log,
    });
    this.links.set(vm, link);
    return link;
  }

  /** Fronts that should hold a database, best first. */
  holders(entry: KnownDatabase): FrontMember[] {
    const fronts = this.options.fronts();
    if (fronts !== this.rankedFronts) {
      this.rankedFronts = fronts;
      this.ranked.clear();
    }
    const known = this.ranked.get(entry.id);
    if (known) return known;
    const holders = rankHolders(fronts, entry.id, entry.place);
    this.ranked.set(entry.id, holders);
    return holders;
  }

  close(): void {
    this.closed = true;
    for (const worker of this.workers.values()) worker.close();
    for (const link of this.links.values()) link.close();
  }

  dump(): object {
    return {workers: [...this.workers.values()].map(w => w.dump())};
  }

  private connectionLimit(database: string): number {
    const entry = this.options.directory().get(database);
    const service = entry && this.options.serviceOf(entry.service);
    if (!entry || !service) return 1;
    return usualLimit(service.maxConnections, this.isHolder(entry));
  }

  private isHolder(entry: KnownDatabase): boolean {
    const [first] = this.holders(entry);
    return first?.vm === this.options.self;
  }

  private unreachable(text: string): DispatchedReply {
    const reply = faultReply(Fault.unreachable, text);
    return {reply, holder: this.options.self};
  }

  /** Undefined when the work did not reach the holder and may go elsewhere. */
  private async runAt(
    holder: FrontMember,
    work: Work,
  ): Promise<DispatchedReply | undefined> {
    const {self} = this.options;
    if (holder.vm === self) {
      const reply = await this.runLocally(work, self);
      return {reply: nameLane(reply, self), holder: self};
    }
    const link = this.link(holder.vm);
    if (!link || link.isDown) return undefined;
    const reply = await this.runOver(link, work);
    return reply && {reply: nameLane(reply, holder.vm), holder: holder.vm};
  }

  private async runInLane(work: Work): Promise<DispatchedReply> {
    const {self} = this.options;
    const {holder, lane} = splitLane(work.lane ?? '');
    const here = {...work, lane};
    if (holder === self) {
      const reply = await this.runLocally(here, self);
      return {reply: nameLane(reply, self), holder};
    }
    const link = this.links.get(holder);
    const reply = link ? await this.runOver(link, here) : undefined;
    if (reply) return {reply: nameLane(reply, holder), holder};
    const gone = faultReply(Fault.aborted, 'front of the transaction is gone', {
      state: TransactionState.failed,
    });
    return {reply: gone, holder};
  }

  private async runOver(
    link: PeerLink,
    work: Work,
  ): Promise<Reply | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((_, reject) => {
      timer = setTimeout(
        () => reject(new PeerUnavailableError('no answer in time', true)),
        work.budgetMs + TRANSIT_MS,
      );
    });
    try {
      const call = link.call<Reply>(PeerMethodName.run, work);
      return await Promise.race([call, late]);
    } catch (error) {
      const sent = !(error instanceof PeerUnavailableError) || error.wasSent;
      const text = (error as Error).message;
      this.options.log('hop_failed', {request: work.requestId, sent, text});
      return sent ? lostReply(work, text) : undefined;
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Work that a front took along: a transaction is rolled back with it. */
function lostReply(work: Work, text: string): Reply {
  const inTransaction =
    work.mode === ExecutionMode.lane ||
    work.mode === ExecutionMode.open ||
    work.mode === ExecutionMode.openRead;
  const undone = inTransaction && work.access !== Access.commit;
  return faultReply(undone ? Fault.aborted : Fault.lost, text, {
    state: inTransaction ? TransactionState.failed : TransactionState.idle,
  });
}

const nameLane = (reply: Reply, holder: string): Reply =>
  reply.lane === undefined
    ? reply
    : {...reply, lane: `${holder}${LANE_SEPARATOR}${reply.lane}`};

function splitLane(name: string): {holder: string; lane: string} {
  const at = name.indexOf(LANE_SEPARATOR);
  return {holder: name.slice(0, at), lane: name.slice(at + 1)};
}
