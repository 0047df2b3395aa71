/**
 * Tells the holder of the coordinator lease what only other fronts see: a
 * primary that does not respond, one that fails everything, one whose commits
 * get no answer, and services that a former holder has left in a change of
 * primary.
 */
import {Directory, KnownDatabase} from '../core/directory.js';
import {isFailing} from '../core/load/failing_primary.js';
import {DatabaseWorker} from './database_worker.js';
import {JsonLog} from './json_log.js';
import {PauseReport, TakeoverRunner} from './takeover_runner.js';

/** What a front tells the holder of the coordinator lease. */
export interface SuspectReport {
  readonly service: string;
  /** The suspect primary. */
  readonly database: string;
  /** Set if the replicas may be paused, rather than the primary be lost. */
  readonly pause?: PauseReport;
  /**
   * Set if the primary responds, but fails every statement. A front of an
   * earlier version asks whether the primary can be reached, and finds it well.
   */
  readonly failing?: boolean;
}

export interface SuspectReporterOptions {
  /** Name of this VM. */
  readonly self: string;
  /** VM that holds the lease, as far as this front knows. */
  readonly holder: () => string | undefined;
  /** Whether this front holds the lease. */
  readonly isLeaseHeld: () => boolean;
  readonly workers: () => ReadonlyMap<string, DatabaseWorker>;
  readonly directory: () => Directory;
  readonly leaderOf: (service: string) => KnownDatabase | undefined;
  readonly takeoverRunner: TakeoverRunner;
  /** Sends a report; resolves to false if there is no link to the front. */
  readonly send: (vm: string, report: SuspectReport) => Promise<boolean>;
  readonly log: JsonLog;
}

const REPORT_INTERVAL_MS = 150;

/** Reports periodically until it is closed. */
export class SuspectReporter {
  private readonly timer: NodeJS.Timeout;

  private constructor(private readonly options: SuspectReporterOptions) {
    this.timer = setInterval(() => this.report(), REPORT_INTERVAL_MS);
  }

  static create(options: SuspectReporterOptions): SuspectReporter {
    return new SuspectReporter(options);
  }

  /** Handles a report of this or another front. */
  handle({service, database, pause, failing}: SuspectReport): void {
    const {takeoverRunner} = this.options;
    if (failing) takeoverRunner.reportFailing(service, database);
    else if (pause === undefined)
      takeoverRunner.reportSuspect(service, database);
    else takeoverRunner.reportPause(service, pause);
  }

  close(): void {
    clearInterval(this.timer);
  }

  private report(): void {
    const {workers, directory, leaderOf, takeoverRunner} = this.options;
    for (const [database, worker] of workers()) {
      const failing = isFailing(worker.answerCounts);
      if (!worker.isSuspect && !worker.isStalled && !failing) continue;
      const service = directory().get(database)?.service;
      if (service === undefined || leaderOf(service)?.id !== database) continue;
      if (failing) void this.tellHolder({service, database, failing});
      if (worker.isSuspect) void this.tellHolder({service, database});
      const pause = PauseReport.stalled;
      if (worker.isStalled) void this.tellHolder({service, database, pause});
    }
    for (const service of takeoverRunner.abandonedServices) {
      const pause = PauseReport.abandoned;
      void this.tellHolder({service, database: '', pause}).then(isTold => {
        if (isTold) takeoverRunner.forgetAbandoned(service);
      });
    }
  }

  /** Resolves to whether the front that holds the lease knows the report. */
  private async tellHolder(report: SuspectReport): Promise<boolean> {
    const {self, isLeaseHeld, send, log} = this.options;
    const holder = this.options.holder();
    if (holder === undefined) return false;
    if (holder === self) {
      this.handle(report);
      return isLeaseHeld();
    }
    try {
      return await send(holder, report);
    } catch (error) {
      log('suspect_untold', {holder, text: (error as Error).message});
      return false;
    }
  }
}
