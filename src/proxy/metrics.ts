/** Metrics over StatsD, and the counts that a state dump shows. */
import {StatsD} from 'hot-shots';
import {build, Histogram} from 'hdr-histogram-js';
import {ErrorKind} from '../core/errors.js';

/** Where metrics go. */
export interface MetricsOptions {
  /** Empty: nothing is sent. */
  readonly host: string;
  readonly port: number;
  readonly vm: string;
}

const MAX_LATENCY_MS = 600_000;

/** Counts and latencies of one proxy. */
export class Metrics {
  private readonly client: StatsD;
  private readonly latency: Histogram;
  private readonly errors = new Map<ErrorKind, number>();
  private answeredCount = 0;
  private replicaReads = 0;
  private primaryReads = 0;
  private writes = 0;

  private constructor(options: MetricsOptions) {
    this.client = new StatsD({
      host: options.host || '127.0.0.1',
      port: options.port,
      mock: options.host === '',
      prefix: 'mustardpass.',
      globalTags: {vm: options.vm},
      maxBufferSize: 1_400,
      errorHandler: () => undefined,
    });
    this.latency = build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: MAX_LATENCY_MS,
      numberOfSignificantValueDigits: 2,
    });
    if (options.host === '') this.client.mockBuffer = [];
  }

  static create(options: MetricsOptions): Metrics {
    return new Metrics(options);
  }

  /** Counts one answered request. */
  answered(kind: ErrorKind | undefined, latencyMs: number): void {
    this.answeredCount++;
    this.latency.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, latencyMs)));
    if (kind === undefined) return;
    this.errors.set(kind, (this.errors.get(kind) ?? 0) + 1);
    this.client.increment('errors', {kind});
  }

  /** Counts one routed lane. */
  routed(access: 'read' | 'write', toReplica: boolean): void {
    if (access === 'write') this.writes++;
    else if (toReplica) this.replicaReads++;
    else this.primaryReads++;
  }

  /** Sends the present figures; called at intervals, not per request. */
  publish(gauges: Readonly<Record<string, number>>): void {
    if (this.client.mockBuffer) this.client.mockBuffer.length = 0;
    for (const [name, value] of Object.entries(gauges)) {
      this.client.gauge(name, value);
    }
    this.client.gauge('answered_total', this.answeredCount);
    this.client.gauge('replica_reads_total', this.replicaReads);
    this.client.gauge('primary_reads_total', this.primaryReads);
    this.client.gauge('latency_p99_ms', this.latency.getValueAtPercentile(99));
  }

  dump(): object {
    return {
      answered: this.answeredCount,
      errors: Object.fromEntries(this.errors),
      replicaReads: this.replicaReads,
      primaryReads: this.primaryReads,
      writes: this.writes,
      latencyP50Ms: this.latency.getValueAtPercentile(50),
      latencyP99Ms: this.latency.getValueAtPercentile(99),
    };
  }

  close(): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()));
  }
}
