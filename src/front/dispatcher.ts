/**
 * Dispatches work to the front that holds a database's connections: this one,
 * or another over its peer link. Falls back to the next front in rank when the
 * holder is unreachable.
 */
import {CommitPositions} from '../core/commit_positions.js';
import {FrontMember, Fronts, rankHolders} from '../core/fronts.js';
import {Directory, KnownDatabase} from '../core/directory.js';
import {FrontService} from '../core/front_config.js';
import {allowsRegion, Homes, rankWithinHomes} from '../core/homes.js';
import {
  Access,
  ExecutionMode,
  Fault,
  faultReply,
  Reply,
  TransactionState,
  withElapsed,
  Work,
} from '../core/work.js';
import {usualLimit} from '../core/connection_budget.js';
import {HolderHistory} from '../core/holder_history.js';
import {formatLaneName, parseLaneName} from '../core/lanes.js';
import {
  DEFAULT_WARM_UP_TOLERANCE,
  frontShare,
  WarmUpTolerance,
} from '../core/warm_up.js';
import {ColdRefusal, ColdRefusalReason, WarmUpOptions} from './cold_gate.js';
import {DatabaseWorker} from './database_worker.js';
import {
  fromSamplesByAge,
  PositionSamples,
  SampleByAge,
  toSamplesByAge,
} from '../core/position_samples.js';
import {IdSource, ProcessIdentity, WorkOrigin} from '../core/process_ids.js';
import {JsonLog, originFields} from './json_log.js';
import {MAX_CONTENT_BYTES, maxEncodedBytes} from './message_size.js';
import {
  MessageTooLongError,
  PeerLink,
  PeerUnavailableError,
} from './peer_link.js';
import {decodeReply, decodeSamples} from './peer_messages.js';
import {DatabaseCodec} from './wire_types.js';

export interface DispatcherOptions {
  /** This process. */
  readonly self: ProcessIdentity;
  readonly newId: IdSource;
  readonly zone: string;
  readonly codec: DatabaseCodec;
  readonly log: JsonLog;
  readonly directory: () => Directory;
  readonly fronts: () => Fronts;
  readonly serviceOf: (name: string) => FrontService | undefined;
  readonly idleTransactionMs: () => number;
  /** Returns the secret with which fronts authenticate each other. */
  readonly secret: () => string;
  /** Whether this front may currently use a database as primary. */
  readonly canServeAsPrimary: (entry: KnownDatabase) => boolean;
  /**
   * Whether this front may send commits to a database and acknowledge them; as
   * `canServeAsPrimary` if absent.
   */
  readonly canCommit?: (entry: KnownDatabase) => boolean;
  /** Told of the positions of primaries and of acknowledged commits. */
  readonly commitPositions?: CommitPositions;
  /**
   * Whether no leader record can be missing in this front's view; always if
   * absent.
   */
  readonly isViewReliable?: () => boolean;
  /**
   * Whether the view of the store is recent enough to send requests to a cold
   * database; always if absent.
   */
  readonly isViewFresh?: () => boolean;
  readonly warmUpTolerance?: WarmUpTolerance;
  /** Called when a database may have been restarted. */
  readonly onRestartSuspected?: () => void;
  /** As `WorkerOptions.isZoneClosed`. */
  readonly isZoneClosed?: (zone: string) => boolean;
}

/** Names of the JSON-RPC methods between fronts. */
export const PeerMethodName = {
  run: 'work.run',
  cancel: 'work.cancel',
  endLane: 'lane.end',
  lend: 'rate.lend',
  probe: 'database.probe',
  suspect: 'duty.suspect',
  marks: 'database.marks',
  follow: 'store.changes',
  leader: 'leader.announce',
  ping: 'ping',
} as const;

/** Maximum number of fronts to which one piece of work is dispatched. */
const MAX_HOLDERS = 2;
/** Time allowed for network transit in addition to the work's own limit. */
const TRANSIT_MS = 60;
/**
 * Retry delay of work for a cold database on a front that isn't its holder, or
 * whose view is old: by then the other fronts usually know the present holder.
 */
const HOLDER_CHANGE_MS = 250;
/** Age up to which position samples are sent to another front. */
const MAX_SENT_SAMPLE_AGE_MS = 900;
/**
 * Time by which a worker's idle limit of transactions exceeds the session's
 * own. The session ends an idle transaction first; the worker's limit is a
 * fallback.
 */
const LANE_IDLE_MARGIN_MS = 1_500;

/** A reply and the front that gave it. */
export interface DispatchedReply {
  readonly reply: Reply;
  readonly holder: string;
}

/** Runs work on the front that holds the connections to the work's database. */
export class Dispatcher {
  private readonly workers = new Map<string, DatabaseWorker>();
  private readonly links = new Map<string, PeerLink>();
  /** Cache of ranked fronts by database, valid for `rankedFronts`. */
  private readonly rankedHolders = new Map<string, FrontMember[]>();
  private rankedFronts: Fronts | undefined;
  /** This front's work under way, by key, and the front that it was sent to. */
  private readonly underWay = new Map<
    string,
    {holder: string; isCancelled: boolean}
  >();
  private isClosed = false;
  private readonly holderHistory: HolderHistory;

  /** Refusals of work at this front's workers, by reason. */
  readonly refusals = new Map<string, number>();
  private readonly ownOrigin: WorkOrigin;

  private constructor(private readonly options: DispatcherOptions) {
    this.ownOrigin = {...options.self, connection: ''};
    this.holderHistory = HolderHistory.create(options.self.vm);
  }

  static create(options: DispatcherOptions): Dispatcher {
    return new Dispatcher(options);
  }

  /** Runs work for a caller of this front. */
  async run(work: Work): Promise<DispatchedReply> {
    this.underWay.set(work.key, {holder: '', isCancelled: false});
    try {
      return await this.runUnderWay(work);
    } finally {
      this.underWay.delete(work.key);
    }
  }

  private async runUnderWay(work: Work): Promise<DispatchedReply> {
    if (work.mode === ExecutionMode.lane) return this.runInLane(work);
    const entry = this.options.directory().get(work.database);
    if (!entry) return this.unreachable('database is not listed');
    const startedAtMs = performance.now();
    const frontsToTry = this.allowedHolders(entry, work.homes);
    let lastReply: DispatchedReply | undefined;
    for (const holder of frontsToTry) {
      const leftWork = withElapsed(work, performance.now() - startedAtMs);
      if (leftWork.budgetMs <= 0 || this.isCancelled(work)) break;
      const dispatched = await this.runAt(holder, leftWork);
      if (
        dispatched &&
        (dispatched.reply.ok || dispatched.reply.fault !== Fault.unreachable)
      ) {
        return dispatched;
      }
      lastReply = dispatched ?? lastReply;
    }
    return lastReply ?? this.unreachable('no front reaches the database');
  }

  /** Runs work of this or another front on a connection of this front. */
  async runLocally(work: Work, origin: WorkOrigin): Promise<Reply> {
    const worker = this.worker(work.database);
    if (!worker) return faultReply(Fault.unreachable, 'database is not listed');
    return worker.run(work, origin);
  }

  /** Runs another front's work; logs the statements of transactions. */
  async runForPeer(work: Work, origin: WorkOrigin): Promise<Reply> {
    const startedAtMs = performance.now();
    const reply = this.fitReply(work, await this.runLocally(work, origin));
    if (work.transaction === undefined) return reply;
    this.options.log('peer_statement', {
      request: work.requestId,
      transaction: work.transaction,
      lane: reply.lane ?? work.lane,
      access: work.access,
      mode: work.mode,
      database: work.database,
      ...originFields(origin),
      outcome: reply.ok ? 'ok' : reply.fault,
      text: reply.ok ? undefined : reply.text,
      tookMs: Math.round(performance.now() - startedAtMs),
    });
    return reply;
  }

  /**
   * Returns a reply as it can be sent to another front. Work whose reply is too
   * long for that counts as unanswered, and its transaction ends.
   */
  private fitReply(work: Work, reply: Reply): Reply {
    const bytes = maxEncodedBytes(reply);
    if (bytes <= MAX_CONTENT_BYTES) return reply;
    if (reply.lane !== undefined) this.endLocalLane(work.database, reply.lane);
    this.options.log('reply_too_long', {request: work.requestId, bytes});
    const text = `answer of ${bytes} bytes is too long to pass between fronts`;
    return unansweredReply(work, text);
  }

  /** Cancels this front's work unless a database has been sent it. */
  cancel(work: Work): void {
    const {database, key} = work;
    const sent = this.underWay.get(key);
    if (!sent) return;
    sent.isCancelled = true;
    if (sent.holder === this.options.self.vm)
      return this.cancelLocally(database, key);
    const params = {database, key};
    this.links.get(sent.holder)?.notify(PeerMethodName.cancel, params);
  }

  private isCancelled({key}: Work): boolean {
    return this.underWay.get(key)?.isCancelled === true;
  }

  private recordHolder({key}: Work, holder: string): void {
    const sent = this.underWay.get(key);
    if (sent) sent.holder = holder;
  }

  cancelLocally(database: string, cancelKey: string): void {
    this.workers.get(database)?.cancel(cancelKey);
  }

  /**
   * Rolls back the transaction of a lane, on the front that its qualified name
   * contains.
   */
  endLane(database: string, name: string): void {
    const {holder, lane} = parseLaneName(name);
    if (holder === this.options.self.vm)
      return this.endLocalLane(database, lane);
    const params = {database, lane};
    this.links.get(holder)?.notify(PeerMethodName.endLane, params);
  }

  endLocalLane(database: string, lane: string): void {
    this.workers.get(database)?.endLane(lane);
  }

  /** Rolls back the transactions that came over a lost connection of a front. */
  endLanesOf(connection: string): void {
    for (const worker of this.workers.values()) worker.endLanesOf(connection);
  }

  /** Returns the worker of a listed database, creating it on first use. */
  worker(database: string): DatabaseWorker | undefined {
    const existing = this.workers.get(database);
    if (existing) return existing;
    const entry = this.options.directory().get(database);
    if (!entry || this.isClosed) return undefined;
    const {codec, log, zone, newId} = this.options;
    const current = (): KnownDatabase =>
      this.options.directory().get(database) ?? entry;
    const worker = DatabaseWorker.create({
      entry,
      codec,
      log,
      newId,
      isNear: entry.zone === zone,
      connectionLimit: () => this.connectionLimit(database),
      isHolder: () => this.isHolder(current()),
      canServeAsPrimary: () => this.options.canServeAsPrimary(current()),
      canCommit: () => {
        const {canCommit, canServeAsPrimary} = this.options;
        return (canCommit ?? canServeAsPrimary)(current());
      },
      commitPositions: this.options.commitPositions,
      isViewReliable: this.options.isViewReliable,
      isZoneClosed: this.options.isZoneClosed,
      onRefused: reason =>
        this.refusals.set(reason, (this.refusals.get(reason) ?? 0) + 1),
      laneIdleMs: () => this.options.idleTransactionMs() + LANE_IDLE_MARGIN_MS,
      warmUp: this.warmUpOptions(entry),
    });
    this.workers.set(database, worker);
    return worker;
  }

  /** Aborts work that needs the primary on a service's other databases. */
  abortPrimaryWorkExcept(service: string, leader: string): void {
    for (const worker of this.workers.values()) {
      const {service: workerService, id} = worker.database;
      if (workerService === service && id !== leader) worker.abortPrimaryWork();
    }
  }

  /**
   * Ends what could be committed at a service's databases other than `allowed`;
   * resolves once no commit there can be acknowledged any more.
   */
  async stopCommitsExcept(
    service: string,
    allowed: string | undefined,
    finishMs: number,
  ): Promise<void> {
    const workers = [...this.workers.values()].filter(
      ({database}) => database.service === service && database.id !== allowed,
    );
    await Promise.all(workers.map(worker => worker.stopCommits(finishMs)));
  }

  /** Ends the work at all databases whose zones are closed. */
  endWorkInClosedZones(): void {
    for (const worker of this.workers.values()) worker.endWorkIfZoneClosed();
  }

  /** Workers created so far, by database. */
  get workersByDatabase(): ReadonlyMap<string, DatabaseWorker> {
    return this.workers;
  }

  /** Whether this front has neither work nor an open transaction. */
  get isIdle(): boolean {
    return [...this.workers.values()].every(worker => worker.isIdle);
  }

  /** Returns the expected queueing time on this front; 0 without a worker. */
  localWaitMs(database: string, customer: string, priority: number): number {
    return this.workers.get(database)?.expectedWaitMs(customer, priority) ?? 0;
  }

  /** Returns position samples from a leader's holder, on this front's clock. */
  async positionSamplesOf(database: string): Promise<PositionSamples> {
    const entry = this.options.directory().get(database);
    const [holder] = entry ? this.holders(entry) : [];
    if (!holder) return [];
    if (holder.vm === this.options.self.vm) {
      return this.worker(database)?.positionSamples() ?? [];
    }
    const requestedAtMs = performance.now();
    const params = {database};
    const call = this.link(holder.vm)?.call(PeerMethodName.marks, params);
    return call
      ? fromSamplesByAge(decodeSamples(await call), requestedAtMs)
      : [];
  }

  /** Returns this front's position samples by age, to send to another front. */
  async localPositionSamples(database: string): Promise<SampleByAge[]> {
    const samples = (await this.worker(database)?.positionSamples()) ?? [];
    return toSamplesByAge(samples, MAX_SENT_SAMPLE_AGE_MS, performance.now());
  }

  /** Applies changes of the directory and of the set of fronts. */
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
    this.holderHistory.record(fronts, performance.now());
    for (const [vm, link] of this.links) {
      if (fronts.has(vm)) continue;
      link.close();
      this.links.delete(vm);
    }
  }

  /** Returns the link to a registered front, creating it on first use. */
  link(vm: string): PeerLink | undefined {
    const member = this.options.fronts().get(vm);
    if (!member || this.isClosed) return undefined;
    const existing = this.links.get(vm);
    if (existing?.hasAddress(member)) return existing;
    existing?.close();
    const link = PeerLink.create({
      self: this.options.self,
      target: {vm, host: member.host, port: member.port},
      secret: this.options.secret,
      log: this.options.log,
    });
    this.links.set(vm, link);
    return link;
  }

  /** Returns all fronts in their rank for a database, the holder first. */
  holders(entry: KnownDatabase): FrontMember[] {
    const fronts = this.options.fronts();
    if (fronts !== this.rankedFronts) {
      this.rankedFronts = fronts;
      this.rankedHolders.clear();
    }
    // The rank changes when a database restarts elsewhere under the same id.
    const key = `${entry.id} ${entry.zone}`;
    const cached = this.rankedHolders.get(key);
    if (cached) return cached;
    const holders = rankHolders(fronts, entry.id, entry.place);
    this.rankedHolders.set(key, holders);
    return holders;
  }

  /** Returns the fronts to which work for a database may be sent, in order. */
  private allowedHolders(entry: KnownDatabase, homes: Homes): FrontMember[] {
    const {self} = this.options;
    return rankWithinHomes(this.holders(entry), self.vm, homes, MAX_HOLDERS);
  }

  close(): void {
    this.isClosed = true;
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
    return first?.vm === this.options.self.vm;
  }

  private warmUpOptions({id, service}: KnownDatabase): WarmUpOptions {
    const {serviceOf, warmUpTolerance} = this.options;
    const tolerance = warmUpTolerance ?? DEFAULT_WARM_UP_TOLERANCE;
    return {
      sharePerS: () => {
        const rule = serviceOf(service)?.warmUp;
        return rule && frontShare(rule, tolerance);
      },
      coldStartMs: () => serviceOf(service)?.warmUp?.coldStartMs ?? 0,
      refusal: (nowMs, inTransaction) =>
        this.coldRefusal(id, nowMs, inTransaction),
      onSuspected: () => this.options.onRestartSuspected?.(),
    };
  }

  /** Returns why this front may send nothing to a cold database, if so. */
  private coldRefusal(
    database: string,
    nowMs: number,
    inTransaction: boolean,
  ): ColdRefusal | undefined {
    const {directory, fronts, self, isViewFresh} = this.options;
    const retryAfterMs = HOLDER_CHANGE_MS;
    if (isViewFresh?.() === false)
      return {reason: ColdRefusalReason.staleView, retryAfterMs};
    const isLeaving = fronts().get(self.vm)?.leaving === true;
    // A front that leaves finishes its transactions. Others count it as a
    // possible sender as long as it is listed.
    if (inTransaction && isLeaving) return undefined;
    const entry = directory().get(database);
    if (!entry || !this.isHolder(entry))
      return {reason: ColdRefusalReason.notHolder, retryAfterMs};
    const waitMs = this.holderHistory.waitMs(database, entry.place, nowMs);
    return waitMs > 0
      ? {reason: ColdRefusalReason.newHolder, retryAfterMs: waitMs}
      : undefined;
  }

  private unreachable(text: string): DispatchedReply {
    const reply = faultReply(Fault.unreachable, text);
    return {reply, holder: this.options.self.vm};
  }

  /**
   * Runs work on one front. Returns undefined if the work was not sent, so that
   * it may run elsewhere.
   */
  private async runAt(
    holder: FrontMember,
    work: Work,
  ): Promise<DispatchedReply | undefined> {
    const {self} = this.options;
    this.recordHolder(work, holder.vm);
    if (holder.vm === self.vm) {
      const reply = await this.runLocally(work, this.ownOrigin);
      return {reply: withQualifiedLane(reply, self.vm), holder: self.vm};
    }
    const link = this.link(holder.vm);
    if (!link || link.isDown) return undefined;
    const reply = await this.runRemotely(link, work);
    return (
      reply && {reply: withQualifiedLane(reply, holder.vm), holder: holder.vm}
    );
  }

  /** Runs a further statement of a transaction on the front that holds it. */
  private async runInLane(work: Work): Promise<DispatchedReply> {
    const {self} = this.options;
    const {holder, lane} = parseLaneName(work.lane ?? '');
    const localWork = {...work, lane};
    this.recordHolder(work, holder);
    if (holder === self.vm) {
      const reply = await this.runLocally(localWork, this.ownOrigin);
      return {reply: withQualifiedLane(reply, self.vm), holder};
    }
    // The VM may have restarted under the same name in another region.
    const region = this.options.fronts().get(holder)?.place.region;
    const isAllowed = region === undefined || allowsRegion(work.homes, region);
    const link = isAllowed ? this.links.get(holder) : undefined;
    const reply = link ? await this.runRemotely(link, localWork) : undefined;
    if (reply) return {reply: withQualifiedLane(reply, holder), holder};
    const aborted = faultReply(
      Fault.aborted,
      'front with the transaction is lost',
      {
        state: TransactionState.failed,
      },
    );
    return {reply: aborted, holder};
  }

  /**
   * Sends work to another front. Returns undefined if the work was not sent,
   * and a fault if it was sent but not answered in time.
   */
  private async runRemotely(
    link: PeerLink,
    work: Work,
  ): Promise<Reply | undefined> {
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_, reject) => {
      timer = setTimeout(
        () => reject(new PeerUnavailableError('no answer in time', true)),
        work.budgetMs + TRANSIT_MS,
      );
    });
    try {
      const call = link.call(
        PeerMethodName.run,
        work,
        () => !this.isCancelled(work),
      );
      return decodeReply(await Promise.race([call, timeout]));
    } catch (error) {
      const sent = !(error instanceof PeerUnavailableError) || error.wasSent;
      const text = (error as Error).message;
      this.options.log('hop_failed', {
        request: work.requestId,
        transaction: work.transaction,
        lane: work.lane,
        peer: link.vm,
        sent,
        text,
      });
      if (error instanceof MessageTooLongError) return tooLongReply(work, text);
      return sent ? unansweredReply(work, text) : undefined;
    } finally {
      clearTimeout(timer);
    }
  }
}

/** Whether work is part of a transaction on a connection of its own. */
const isInTransaction = ({mode}: Work): boolean =>
  mode === ExecutionMode.lane ||
  mode === ExecutionMode.open ||
  mode === ExecutionMode.openRead;

/** Returns the reply to work that is too long for any other front. */
const tooLongReply = (work: Work, text: string): Reply => ({
  ...faultReply(Fault.malformed, `the statement or its session: ${text}`, {
    state: isInTransaction(work)
      ? TransactionState.failed
      : TransactionState.idle,
  }),
  lane: work.lane,
});

/**
 * Returns the reply to work that another front did not answer. That front rolls
 * back the transaction that the work is part of, unless the work is its COMMIT;
 * the outcome of other work is unknown.
 */
function unansweredReply(work: Work, text: string): Reply {
  const inTransaction = isInTransaction(work);
  const isRolledBack = inTransaction && work.access !== Access.commit;
  return faultReply(isRolledBack ? Fault.aborted : Fault.lost, text, {
    state: inTransaction ? TransactionState.failed : TransactionState.idle,
  });
}

const withQualifiedLane = (reply: Reply, holder: string): Reply =>
  reply.lane === undefined
    ? reply
    : {...reply, lane: formatLaneName(holder, reply.lane)};
