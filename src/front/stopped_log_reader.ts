/** Reads the logs of the databases of a service for a change of primary. */
import {KnownDatabase, startKey} from '../core/directory.js';
import {
  FormerMember,
  isAccountedFor,
  MissingLog,
  RecordedLog,
} from '../core/former_members.js';
import {FrontService} from '../core/front_config.js';
import {Position} from '../core/position.js';
import {PositionSamples} from '../core/position_samples.js';
import {hasStopped, StoppedLog, TakeoverGroup} from '../core/takeover.js';
import {runControlStatement} from './control_link.js';
import {JsonLog} from './json_log.js';
import {Leadership} from './leadership.js';
import {PrimaryEvacuation} from './primary_evacuation.js';
import {pauseReplicas, ReplicaReport} from './replica_pause.js';
import {DatabaseCodec} from './wire_types.js';

export interface StoppedLogReaderOptions {
  readonly codec: DatabaseCodec;
  readonly log: JsonLog;
  readonly leadership: Leadership;
  readonly evacuation: PrimaryEvacuation;
  readonly serviceOf: (name: string) => FrontService | undefined;
  /** Databases of a service other than `leader`. */
  readonly replicasOf: (service: string, leader?: string) => KnownDatabase[];
  /** Databases of a service that are not listed but may hold commits. */
  readonly formerMembersOf: (service: string) => readonly FormerMember[];
  /** Databases of a service that count and that only a record tells of. */
  readonly recordedMembersOf: (service: string) => readonly RecordedLog[];
  /** A database of a service that may have disappeared unseen. */
  readonly unseenMemberOf: (service: string) => MissingLog | undefined;
  /** Number of a service's routes that a primary may serve by their homes. */
  readonly allowedRoutes: (primary: KnownDatabase) => number;
  /** Highest term that a reply has reported; 0 when there is none. */
  readonly termOf: (service: string) => number;
  /** Whether what was begun for a service may go on in this tenure. */
  readonly isTenureOf: (service: string) => boolean;
}

/** Databases whose logs were asked for, and what they reported. */
export interface StoppedLogs {
  readonly term: number;
  readonly logs: readonly StoppedLog[];
  readonly group: TakeoverGroup;
  /** As `group`, without the databases that are not listed any more. */
  readonly listedGroup: TakeoverGroup;
  /** Databases other than the former primary that report that they lead. */
  readonly leading: readonly ReplicaReport[];
}

/** What the number of databases is counted from. */
interface Members {
  readonly leader: KnownDatabase | undefined;
  readonly listed: readonly KnownDatabase[];
  /** Databases that are not listed and were asked for their logs. */
  readonly unlisted: readonly KnownDatabase[];
  readonly former: readonly FormerMember[];
  /** Starts of databases that answered. */
  readonly answered: ReadonlySet<string>;
  readonly logEnds: readonly Position[];
  /** Positions that the primary had reached. */
  readonly samples: PositionSamples;
}

export class StoppedLogReader {
  private constructor(private readonly options: StoppedLogReaderOptions) {}

  static create(options: StoppedLogReaderOptions): StoppedLogReader {
    return new StoppedLogReader(options);
  }

  /**
   * Pauses all databases that may hold commits but the primary, listed or not,
   * at the next term. Those that answer report their logs.
   */
  async read(
    service: string,
    leader: KnownDatabase | undefined,
  ): Promise<StoppedLogs> {
    const {codec, log, isTenureOf, formerMembersOf, leadership} = this.options;
    const listed = this.options.replicasOf(service, leader?.id);
    const listedIds = new Set([leader?.id, ...listed.map(({id}) => id)]);
    const unlisted = formerMembersOf(service)
      .filter(({entry, mayAnswer}) => mayAnswer && !listedIds.has(entry.id))
      .map(({entry}) => entry);
    const replicas = [...listed, ...unlisted];
    const expectedTerm = await this.nextTerm(service, replicas);
    const paused = await pauseReplicas(replicas, expectedTerm, codec, () =>
      isTenureOf(service),
    );
    const {term} = paused;
    if (term > expectedTerm)
      log('takeover_term_outdated', {service, term, expectedTerm});
    // Databases may have restarted empty, or left, while they were asked.
    const former = formerMembersOf(service);
    const restarted = new Set(
      former
        .filter(({mayAnswer}) => !mayAnswer)
        .map(({entry}) => startKey(entry)),
    );
    const reports = paused.reports.filter(
      ({entry}) => !restarted.has(startKey(entry)),
    );
    const logs = reports
      .filter(({report}) => hasStopped(report, term))
      .map(({entry, report: {position}}) => ({
        database: entry.id,
        position,
        leaving: entry.leaving || !listedIds.has(entry.id),
        evacuated: this.options.evacuation.isEvacuating(entry),
        allowedRoutes: this.options.allowedRoutes(entry),
      }));
    const commits = leadership.commitsOf(service);
    const {atLeast, atMost} = commits;
    const size = this.countDatabases(service, {
      leader,
      listed,
      unlisted,
      former,
      answered: new Set(reports.map(({entry}) => startKey(entry))),
      logEnds: logs.map(({position}) => position),
      samples: commits.samples,
    });
    const syncReplicas = this.options.serviceOf(service)?.syncReplicas ?? 0;
    return {
      term,
      logs,
      group: {size, syncReplicas, acknowledged: {atLeast, atMost}},
      listedGroup: {size: listed.length + 1, syncReplicas},
      leading: reports.filter(({report}) => report.isLeader),
    };
  }

  /**
   * Counts the databases that may hold commits, the primary included: the listed
   * ones, and those that are gone unless a log has all that they may have held.
   */
  private countDatabases(
    service: string,
    {leader, listed, unlisted, former, answered, logEnds, samples}: Members,
  ): number {
    const {log, unseenMemberOf, recordedMembersOf} = this.options;
    const nowMs = performance.now();
    const listedKeys = new Set(listed.map(startKey));
    const isMissing = (member: MissingLog): boolean =>
      nowMs < member.countsUntilMs && !isAccountedFor(member, logEnds, samples);
    const counted = former
      .filter(
        ({entry}) =>
          entry.id !== leader?.id && !listedKeys.has(startKey(entry)),
      )
      .filter(
        member => answered.has(startKey(member.entry)) || isMissing(member),
      )
      .map(({entry}) => entry);
    const recorded = recordedMembersOf(service).filter(isMissing);
    const unseen = unseenMemberOf(service);
    const isUnseenCounted =
      unseen !== undefined && !isAccountedFor(unseen, logEnds, samples);
    const isPrimaryCounted =
      !leader &&
      (counted.some(entry => entry.isLeader) ||
        recorded.some(({leads}) => leads));
    const size =
      listed.length +
      counted.length +
      recorded.length +
      (isPrimaryCounted ? 0 : 1) +
      (isUnseenCounted ? 1 : 0);
    const isLarger =
      counted.length > 0 || recorded.length > 0 || isUnseenCounted;
    if (unlisted.length > 0 || isLarger) {
      log('takeover_former_members', {
        service,
        size,
        asked: unlisted.map(({id}) => id),
        counted: counted.map(({id}) => id),
        recorded: recorded.map(({start}) => start),
        unseen: isUnseenCounted,
        unseenForMs: unseen && Math.round(unseen.countsUntilMs - nowMs),
      });
    }
    return size;
  }

  /**
   * Returns a term above every known one. Queries the replicas for their terms
   * when no reply has reported one.
   */
  async nextTerm(
    service: string,
    replicas: readonly KnownDatabase[] = this.options.replicasOf(service),
  ): Promise<number> {
    const knownTerm = this.options.termOf(service);
    if (knownTerm > 0) return knownTerm + 1;
    const {codec} = this.options;
    const reports = await Promise.all(
      replicas.map(entry =>
        runControlStatement(entry, codec, {kind: 'status'}),
      ),
    );
    return 1 + Math.max(0, ...reports.map(report => report?.term ?? 0));
  }
}
