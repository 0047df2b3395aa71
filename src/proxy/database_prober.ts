/**
 * Probes every database of a group. A probe that gets no answer on the open
 * connection is repeated once on a new one, so that a broken connection does
 * not count as a failed database.
 */
import {Observable, Subject} from 'rxjs';
import {Result} from 'neverthrow';
import {DatabaseConfig} from '../core/config.js';
import {Failure} from '../core/errors.js';
import {DatabaseStatus} from '../core/position.js';
import {BackendTarget} from '../pg/backend.js';
import {ControlLink} from './control_link.js';

/**
 * Status that a database reported to one probe; undefined if it reported none.
 */
export interface ProbeResult {
  readonly database: string;
  readonly status: DatabaseStatus | undefined;
  /** When the last attempt of the probe was sent. */
  readonly sentAtMs: number;
  /**
   * Sequence number of that attempt, from the counter that also numbers
   * commits: a higher number was sent later.
   */
  readonly sequence: number;
}

export interface DatabaseProberOptions {
  readonly databases: readonly DatabaseConfig[];
  readonly targetOf: (database: DatabaseConfig) => BackendTarget;
  readonly nextSequence: () => number;
}

/** How often databases are probed. */
export const ProbeFrequency = {
  /** A lane or a commit waits for the next result. */
  urgent: 'urgent',
  active: 'active',
  /** No recent requests: probes only detect failures. */
  quiet: 'quiet',
} as const;
export type ProbeFrequency =
  (typeof ProbeFrequency)[keyof typeof ProbeFrequency];

const PROBE_INTERVAL_MS: Record<ProbeFrequency, number> = {
  urgent: 2,
  active: 100,
  quiet: 500,
};
const OPEN_CONNECTION_TIMEOUT_MS = 300;
const NEW_CONNECTION_TIMEOUT_MS = 400;

interface ProbeState {
  readonly link: ControlLink;
  isProbing: boolean;
  lastSentAtMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** Probes a group's databases at an adjustable frequency. */
export class DatabaseProber {
  private readonly results = new Subject<ProbeResult>();
  private readonly probes = new Map<string, ProbeState>();
  private frequency: ProbeFrequency = ProbeFrequency.active;
  private isClosed = false;

  private constructor(private readonly options: DatabaseProberOptions) {
    for (const database of options.databases) {
      const link = ControlLink.create(options.targetOf(database));
      this.probes.set(database.name, {
        link,
        isProbing: false,
        lastSentAtMs: 0,
        timer: undefined,
      });
      this.schedule(database.name);
    }
  }

  static create(options: DatabaseProberOptions): DatabaseProber {
    return new DatabaseProber(options);
  }

  get results$(): Observable<ProbeResult> {
    return this.results;
  }

  get isQuiet(): boolean {
    return this.frequency === ProbeFrequency.quiet;
  }

  controlLink(database: string): ControlLink | undefined {
    return this.probes.get(database)?.link;
  }

  setFrequency(frequency: ProbeFrequency): void {
    if (frequency === this.frequency) return;
    this.frequency = frequency;
    for (const name of this.probes.keys()) this.schedule(name);
  }

  close(): void {
    this.isClosed = true;
    for (const entry of this.probes.values()) {
      clearTimeout(entry.timer);
      entry.link.close();
    }
    this.results.complete();
  }

  private schedule(name: string): void {
    const entry = this.probes.get(name);
    if (!entry || entry.isProbing || this.isClosed) return;
    clearTimeout(entry.timer);
    const intervalMs = PROBE_INTERVAL_MS[this.frequency];
    const delayMs = Math.max(0, entry.lastSentAtMs + intervalMs - Date.now());
    entry.timer = setTimeout(() => void this.probe(name, entry), delayMs);
  }

  private async probe(name: string, entry: ProbeState): Promise<void> {
    entry.isProbing = true;
    const result = await this.probeWithRetry(name, entry);
    entry.isProbing = false;
    if (this.isClosed) return;
    this.results.next(result);
    this.schedule(name);
  }

  private async probeWithRetry(
    name: string,
    entry: ProbeState,
  ): Promise<ProbeResult> {
    const first = await this.probeOnce(name, entry, OPEN_CONNECTION_TIMEOUT_MS);
    if (first.status) return first;
    return this.probeOnce(name, entry, NEW_CONNECTION_TIMEOUT_MS);
  }

  private async probeOnce(
    name: string,
    entry: ProbeState,
    timeoutMs: number,
  ): Promise<ProbeResult> {
    const sentAtMs = Date.now();
    entry.lastSentAtMs = sentAtMs;
    const sequence = this.options.nextSequence();
    const answer: Result<DatabaseStatus, Failure> =
      await entry.link.status(timeoutMs);
    return {
      database: name,
      status: answer.isOk() ? answer.value : undefined,
      sentAtMs,
      sequence,
    };
  }
}
