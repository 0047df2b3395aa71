/**
 * What a router knows of databases from the replies to its statements, and which
 * of the candidates of a read it follows from that: databases that fail are
 * ejected, replicas that lack the read's position are left out.
 */
import {
  AnswerCounts,
  AnswerKind,
  answerKindOf,
  answersIn,
  AnswerWindow,
  databaseFailuresIn,
} from '../core/load/answer_window.js';
import {DatabaseReports, withPosition} from '../core/load/database_reports.js';
import {FailingVote, voteOf} from '../core/load/failing_primary.js';
import {estimateHolding, Holding} from '../core/load/lag_estimate.js';
import {
  AnswerShare,
  EjectionChange,
  failsMostly,
  OutlierDetector,
  Peer,
} from '../core/load/outlier.js';
import {chooseLessLoaded, RandomSource} from '../core/load/two_choices.js';
import {Position} from '../core/position.js';
import {PositionSamples} from '../core/position_samples.js';
import {arrivalDelayMs, ReadCandidate} from '../core/read_choice.js';
import {Fault, Reply} from '../core/work.js';
import {JsonLog} from './json_log.js';

export interface ReadObserverOptions {
  /** All databases of a service; `share` is filled in here. */
  readonly peersOf: (service: string) => ReadonlyArray<Omit<Peer, 'share'>>;
  readonly random: RandomSource;
  readonly log: JsonLog;
}

/** A read for which a database is chosen. */
export interface ReadRequirement {
  /** Position that the database must hold. */
  readonly after: Position | undefined;
  readonly leader: string | undefined;
  /** Whether the read may run on the leader if no candidate is left. */
  readonly mayFallBack: boolean;
  readonly samples: PositionSamples;
}

/** A chosen database; `isProbe`: it is ejected, and its answer decides. */
export interface ReadChoice {
  readonly candidate: ReadCandidate;
  readonly isProbe: boolean;
}

/** A statement that was sent to a database. */
export interface SentStatement {
  readonly service: string;
  readonly database: string;
  readonly customer: string;
  readonly sentAtMs: number;
  readonly isProbe: boolean;
}

/**
 * Time between two reads that try a replica which should lack the position;
 * doubled with each that finds it so, up to the maximum.
 */
const MIN_TRIAL_INTERVAL_MS = 250;
/** Less than the age at which a report is discarded, so that one remains. */
const MAX_TRIAL_INTERVAL_MS = 1_000;
/** Age up to which the outcomes in a report count for an ejection. */
const MAX_OUTCOME_AGE_MS = 500;
/**
 * Extra cost at which a read that cannot use its nearest replica goes to another
 * replica rather than to the primary, whose slots writes need.
 */
const DETOUR_COST_MS = 100;

interface JudgedCandidate extends ReadCandidate {
  readonly isLeader: boolean;
  readonly holding: Holding;
  readonly isEjected: boolean;
}

export class ReadObserver {
  private readonly reports = DatabaseReports.create();
  private readonly outliers = OutlierDetector.create();
  private readonly windows = new Map<string, AnswerWindow>();
  /** Replicas that lag, and until when no read tries them. */
  private readonly trials = new Map<
    string,
    {readonly nextAtMs: number; readonly intervalMs: number}
  >();
  /** Primary of each service, and when it was seen to replace another one. */
  private readonly leaders = new Map<string, {id: string; sinceMs?: number}>();
  /** Reads that were not sent to a replica because it lacks their position. */
  lagSkips = 0;
  ejections = 0;

  private constructor(private readonly options: ReadObserverOptions) {}

  static create(options: ReadObserverOptions): ReadObserver {
    return new ReadObserver(options);
  }

  get ejectedCount(): number {
    return this.outliers.ejectedCount;
  }

  /** Returns the reported queueing time; undefined without a recent report. */
  waitMs(database: string): number | undefined {
    return this.reports.get(database, performance.now())?.report.waitMs;
  }

  /** Records which database is primary. */
  recordLeader(service: string, id: string): void {
    const known = this.leaders.get(service);
    if (known?.id === id) return;
    const sinceMs = known && performance.now();
    this.leaders.set(service, {id, sinceMs});
  }

  /** Records the reply to a statement, and ejects or readmits its database. */
  recordReply(sent: SentStatement, reply: Reply): void {
    const {database, service} = sent;
    const nowMs = performance.now();
    const {report} = reply;
    if (report) {
      const shown = withPosition(report, reply.position);
      this.reports.record(database, shown, sent.sentAtMs, nowMs);
    }
    if (reply.ok) this.trials.delete(database);
    else if (reply.fault === Fault.lagging) this.delayTrial(database, nowMs);
    const kind = answerKindOf(reply);
    if (kind) this.windowOf(database).record(kind, sent.customer, nowMs);
    if (sent.isProbe) {
      const isWell = kind && kind === AnswerKind.ok;
      this.logChange(
        service,
        this.outliers.endProbe(database, isWell, nowMs),
        nowMs,
      );
    }
    const isBad = kind !== undefined && kind !== AnswerKind.ok;
    if (isBad || (report && failsMostly(report))) this.judge(service, database);
  }

  /** Chooses among the candidates of a read, which are ranked by cost. */
  choose(
    candidates: readonly ReadCandidate[],
    requirement: ReadRequirement,
  ): ReadChoice | undefined {
    const nowMs = performance.now();
    const judged = candidates.map(c => this.assess(c, requirement, nowMs));
    for (const candidate of judged) {
      if (isUsable(candidate)) break;
      const choice = this.tryUnusable(candidate, nowMs);
      if (choice) return choice;
    }
    const usable = judged.filter(isUsable);
    const [best] = usable;
    if (!best) {
      // Candidates may be few, as when homes exclude the others.
      const ejected = judged.find(({holding}) => holding !== Holding.lacks);
      return ejected && !requirement.mayFallBack
        ? {candidate: ejected, isProbe: false}
        : undefined;
    }
    const isDisplaced = best !== judged[0];
    const detour = usable.find(c => !c.isLeader);
    const isDetour =
      isDisplaced &&
      best.isLeader &&
      detour !== undefined &&
      detour.cost <= best.cost + DETOUR_COST_MS;
    const first = isDetour ? detour : best;
    const similar = usable.filter(
      ({distance, isLeader}) =>
        distance === first.distance && isLeader === first.isLeader,
    );
    const isAnyLagging = judged.some(c => c.holding === Holding.lacks);
    const sure = similar.filter(({holding}) => holding !== Holding.unsure);
    const preferred = isAnyLagging && sure.length > 0 ? sure : similar;
    const candidate = chooseLessLoaded(preferred, this.options.random);
    return candidate && {candidate, isProbe: false};
  }

  /**
   * Returns this front's vote on whether a primary fails everything, from the
   * answers that its own worker got, or else from those to its callers.
   */
  failingVote(
    service: string,
    database: string,
    workerCounts: AnswerCounts | undefined,
  ): FailingVote {
    const nowMs = performance.now();
    const own = this.windows.get(database)?.counts(nowMs);
    const failing =
      (workerCounts && voteOf(workerCounts)) ?? (own && voteOf(own));
    const leader = this.leaders.get(service);
    const leadsForMs =
      leader?.id === database && leader.sinceMs !== undefined
        ? Math.floor(nowMs - leader.sinceMs)
        : undefined;
    return {failing, leadsForMs};
  }

  private assess(
    candidate: ReadCandidate,
    {after, leader, samples}: ReadRequirement,
    nowMs: number,
  ): JudgedCandidate {
    const {id} = candidate.entry;
    const isLeader = id === leader;
    const dated = isLeader ? undefined : this.reports.get(id, nowMs);
    const waitMs = dated?.report.waitMs ?? 0;
    const holding = isLeader
      ? Holding.holds
      : estimateHolding(
          {shown: dated?.shown, earlier: dated?.earlier, samples},
          after,
          nowMs + arrivalDelayMs(candidate, waitMs),
        );
    const isEjected = this.outliers.isEjected(id);
    return {...candidate, isLeader, holding, isEjected};
  }

  /**
   * Returns a choice if a read may be sent to a candidate that is left out
   * otherwise, to see whether it serves again.
   */
  private tryUnusable(
    candidate: JudgedCandidate,
    nowMs: number,
  ): ReadChoice | undefined {
    const {id} = candidate.entry;
    const {holding, isEjected} = candidate;
    if (holding === Holding.lacks) {
      const isTooEarly = nowMs < (this.trials.get(id)?.nextAtMs ?? 0);
      if (isEjected || isTooEarly) {
        this.lagSkips++;
        return undefined;
      }
      this.delayTrial(id, nowMs);
      return {candidate, isProbe: false};
    }
    if (!this.outliers.isProbeDue(id, nowMs)) return undefined;
    this.outliers.beginProbe(id, nowMs);
    return {candidate, isProbe: true};
  }

  /** Lets no read try a replica for a while; extends a delay that is over. */
  private delayTrial(database: string, nowMs: number): void {
    const last = this.trials.get(database);
    if (last && nowMs < last.nextAtMs) return;
    const intervalMs = last
      ? Math.min(MAX_TRIAL_INTERVAL_MS, last.intervalMs * 2)
      : MIN_TRIAL_INTERVAL_MS;
    this.trials.set(database, {nextAtMs: nowMs + intervalMs, intervalMs});
  }

  private judge(service: string, database: string): void {
    const nowMs = performance.now();
    const peers = this.options
      .peersOf(service)
      .map(peer => ({...peer, share: this.shareOf(peer.id, nowMs)}));
    const change = this.outliers.judge(database, peers, nowMs);
    this.logChange(service, change, nowMs);
  }

  /** Statements on a database, as seen here or by its holder. */
  private shareOf(database: string, nowMs: number): AnswerShare {
    const counts = this.windows.get(database)?.counts(nowMs);
    const own = {
      failed: counts ? databaseFailuresIn(counts) : 0,
      answers: counts ? answersIn(counts) : 0,
    };
    const dated = this.reports.get(database, nowMs);
    const isRecent = dated && nowMs - dated.atMs <= MAX_OUTCOME_AGE_MS;
    return isRecent && dated.report.answers > own.answers ? dated.report : own;
  }

  private windowOf(database: string): AnswerWindow {
    const known = this.windows.get(database);
    if (known) return known;
    const window = AnswerWindow.create();
    this.windows.set(database, window);
    return window;
  }

  private logChange(
    service: string,
    change: EjectionChange | undefined,
    nowMs: number,
  ): void {
    if (!change) return;
    const {kind, database, ms} = change;
    const {failed, answers} = this.shareOf(database, nowMs);
    const dated = this.reports.get(database, nowMs);
    const inputs = {
      service,
      database,
      failed,
      answers,
      reportAgeMs: dated && Math.round(nowMs - dated.atMs),
    };
    if (kind === 'ejected') {
      this.ejections++;
      this.options.log('database_ejected', {...inputs, forMs: ms});
    } else {
      const afterMs = Math.round(ms);
      this.options.log('database_readmitted', {...inputs, afterMs});
    }
  }
}

const isUsable = ({holding, isEjected}: JudgedCandidate): boolean =>
  holding !== Holding.lacks && !isEjected;
