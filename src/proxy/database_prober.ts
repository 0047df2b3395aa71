/**
 * Probes every database of a group. A probe that gets no answer on its open
 * connection is tried once on a new one, so that a connection gone silent
 * does not count as a database gone.
 */
import {Observable, Subject} from 'rxjs';
import {Result} from 'neverthrow';
import {DatabaseConfig} from '../core/config.js';
import {Failure} from '../core/errors.js';
import {DatabaseStatus} from '../core/position.js';
import {BackendTarget} from '../pg/backend.js';
import {ControlLink} from './control_link.js';

/** Result of one probe. */
export interface ProbeResult {
  readonly database: string;
  readonly status: DatabaseStatus | undefined;
  /** When the answered probe was sent. */
  readonly sentAtMs: number;
  /** Order of sending among probes and commits. */
  readonly sequence: number;
}

/** What a sampler needs. */
export interface DatabaseProberOptions {
  readonly databases: readonly DatabaseConfig[];
  readonly targetOf: (database: DatabaseConfig) => BackendTarget;
  readonly nextSequence: () => number;
}

/** How often databases are probed. */
export const ProbeFrequency = {
  /** Someone waits for the next answer. */
  urgent: 'urgent',
  active: 'active',
  /** No request lately: only failures are to be noticed. */
  quiet: 'quiet',
} as const;
export type ProbeFrequency =
  (typeof ProbeFrequency)[keyof typeof ProbeFrequency];

const INTERVAL_MS: Record<ProbeFrequency, number> = {
  urgent: 2,
  active: 100,
  quiet: 500,
};
const OPEN_PROBE_TIMEOUT_MS = 300;
const FRESH_PROBE_TIMEOUT_MS = 400;

interface Probed {
  readonly link: ControlLink;
  busy: boolean;
  lastAtMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** Probes a group's databases at the pace that is needed. */
export class DatabaseProber {
  private readonly results = new Subject<ProbeResult>();
  private readonly probed = new Map<string, Probed>();
  private pace: ProbeFrequency = ProbeFrequency.active;
  private closed = false;

  private constructor(private readonly options: DatabaseProberOptions) {
    for (const database of options.databases) {
      const link = ControlLink.create(options.targetOf(database));
      this.probed.set(database.name, {
        link,
        busy: false,
        lastAtMs: 0,
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
    return this.pace === ProbeFrequency.quiet;
  }

  controlLink(database: string): ControlLink | undefined {
    return this.probed.get(database)?.link;
  }

  setFrequency(pace: ProbeFrequency): void {
    if (pace === this.pace) return;
    this.pace = pace;
    for (const name of this.probed.keys()) this.schedule(name);
  }

  close(): void {
    this.closed = true;
    for (const entry of this.probed.values()) {
      clearTimeout(entry.timer);
      entry.link.close();
    }
    this.results.complete();
  }

  private schedule(name: string): void {
    const entry = this.probed.get(name);
    if (!entry || entry.busy || this.closed) return;
    clearTimeout(entry.timer);
    const spacingMs = INTERVAL_MS[this.pace];
    const delayMs = Math.max(0, entry.lastAtMs + spacingMs - Date.now());
    entry.timer = setTimeout(() => void this.probe(name, entry), delayMs);
  }

  private async probe(name: string, entry: Probed): Promise<void> {
    entry.busy = true;
    const result = await this.probeTwice(name, entry);
    entry.busy = false;
    if (this.closed) return;
    this.results.next(result);
    this.schedule(name);
  }

  private async probeTwice(name: string, entry: Probed): Promise<ProbeResult> {
    const first = await this.probeOnce(name, entry, OPEN_PROBE_TIMEOUT_MS);
    if (first.status) return first;
    return this.probeOnce(name, entry, FRESH_PROBE_TIMEOUT_MS);
  }

  private async probeOnce(
    name: string,
    entry: Probed,
    timeoutMs: number,
  ): Promise<ProbeResult> {
    const sentAtMs = Date.now();
    entry.lastAtMs = sentAtMs;
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
