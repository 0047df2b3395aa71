/**
 * Finds replicas that an earlier change of primary has left paused, and lets
 * them receive the log again. Works while this front holds the coordinator
 * lease; see `core/resume_checks.ts` for when a service is checked.
 */
import {Directory, KnownDatabase, isAvailable} from '../core/directory.js';
import {
  ResumeCheck,
  ResumeCheckResult,
  ResumeChecks,
} from '../core/resume_checks.js';
import {reportsLead, runControlStatement} from './control_link.js';
import {JsonLog} from './json_log.js';
import {DatabaseCodec} from './wire_types.js';

export interface ResumeSupervisorOptions {
  readonly codec: DatabaseCodec;
  readonly directory: () => Directory;
  readonly serviceNames: () => readonly string[];
  readonly leaderOf: (service: string) => KnownDatabase | undefined;
  /** Databases of a service other than `leader`. */
  readonly replicasOf: (service: string, leader?: string) => KnownDatabase[];
  /** Whether a change of primary can be under way with so many logs stopped. */
  readonly sufficesForChange: (service: string, stopped: number) => boolean;
  /** Whether a change of primary of a service is under way. */
  readonly isBusy: (service: string) => boolean;
  /**
   * Lets the replicas of a service receive again, and begins no change of its
   * primary meanwhile. Resolves to whether all replicas have confirmed it.
   */
  readonly resume: (service: string, leader: KnownDatabase) => Promise<boolean>;
  readonly log: JsonLog;
}

/** Checks that run at the same time, which bounds their load on the front. */
const MAX_RUNNING_CHECKS = 8;

const NO_DATABASES: ReadonlySet<string> = new Set();

/** Runs the checks that are due; called periodically by its owner. */
export class ResumeSupervisor {
  private readonly checks = ResumeChecks.create();
  /** Services in which no order of an earlier holder can be unanswered. */
  private readonly settled = new Set<string>();
  /** Services with a check that has not ended. */
  private readonly running = new Set<string>();
  private lastDirectory: Directory | undefined;
  private available = NO_DATABASES;

  private constructor(private readonly options: ResumeSupervisorOptions) {}

  static create(options: ResumeSupervisorOptions): ResumeSupervisor {
    return new ResumeSupervisor(options);
  }

  /** Number of services whose replicas may be paused. */
  get pendingCount(): number {
    return this.checks.size;
  }

  /**
   * Must be called when this front has acquired the lease: the former holder
   * may have paused replicas of any service.
   */
  beginTenure(nowMs: number): void {
    this.checks.clear();
    this.settled.clear();
    for (const service of this.options.serviceNames())
      this.checks.request(service, nowMs);
  }

  /**
   * Records that no promotion that an earlier holder of the lease has ordered
   * may still be executed.
   */
  recordSettled(service: string): void {
    this.settled.add(service);
  }

  /** Whether that has been recorded, or found by a check, in this tenure. */
  isSettled(service: string): boolean {
    return this.settled.has(service);
  }

  /** Records that replicas of a service may be paused from now on. */
  recordPause(service: string): void {
    this.checks.request(service, performance.now());
  }

  /** Records that all replicas of a service have confirmed that they receive. */
  recordReceiving(service: string): void {
    this.checks.recordReceiving(service, performance.now());
  }

  /** Records that commits of a service get no answer. */
  recordStall(service: string): void {
    this.checks.requestForStall(service, performance.now());
  }

  /** Starts the checks that are due. */
  run(nowMs: number): void {
    this.requestForReturned(nowMs);
    const count = MAX_RUNNING_CHECKS - this.running.size;
    const isBusy = (service: string): boolean =>
      this.running.has(service) || this.options.isBusy(service);
    for (const check of this.checks.take(nowMs, count, isBusy)) {
      this.running.add(check.service);
      void this.checkSafely(check).then(result => {
        this.running.delete(check.service);
        this.checks.record(check, result, performance.now());
      });
    }
  }

  /**
   * Requests checks of services of which a database was listed that was not
   * before: it may have been paused while it was out of sight.
   */
  private requestForReturned(nowMs: number): void {
    const directory = this.options.directory();
    if (directory === this.lastDirectory) return;
    const isFirst = this.lastDirectory === undefined;
    this.lastDirectory = directory;
    const before = this.available;
    const listed = [...directory.values()].filter(isAvailable);
    this.available = new Set(listed.map(({id}) => id));
    if (isFirst) return;
    for (const {id, service} of listed) {
      if (!before.has(id)) this.checks.request(service, nowMs);
    }
  }

  /** Never rejects; a check that throws is repeated. */
  private async checkSafely(check: ResumeCheck): Promise<ResumeCheckResult> {
    try {
      return await this.check(check);
    } catch (error) {
      const text = (error as Error).stack;
      this.options.log('resume_check_error', {service: check.service, text});
      return ResumeCheckResult.unanswered;
    }
  }

  private async check({service}: ResumeCheck): Promise<ResumeCheckResult> {
    const {codec, leaderOf, replicasOf, sufficesForChange, resume, log} =
      this.options;
    const leader = leaderOf(service);
    const replicas = replicasOf(service, leader?.id);
    const query = (entry: KnownDatabase) =>
      runControlStatement(entry, codec, {kind: 'status'});
    const reports = await Promise.all(replicas.map(query));
    const paused = replicas.filter(
      (_, index) => (reports[index]?.pausedAtTerm ?? 0) > 0,
    );
    const unanswered = reports.filter(report => report === undefined).length;
    // An earlier holder orders a promotion only with enough replicas paused.
    if (!sufficesForChange(service, paused.length + unanswered))
      this.settled.add(service);
    if (paused.length === 0) {
      return unanswered > 0
        ? ResumeCheckResult.unanswered
        : ResumeCheckResult.receiving;
    }
    const names = paused.map(({id}) => id);
    log('replicas_found_paused', {service, leader: leader?.id, paused: names});
    // A service without a usable primary gets another one, which ends the pause.
    if (!leader || leader.leaving) return ResumeCheckResult.paused;
    const mayResume =
      (await reportsLead(leader, codec)) && !this.options.isBusy(service);
    return mayResume && (await resume(service, leader))
      ? ResumeCheckResult.receiving
      : ResumeCheckResult.paused;
  }
}
