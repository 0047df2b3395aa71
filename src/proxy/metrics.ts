/** Sends metrics over StatsD and keeps the counts that a state dump shows. */
import {StatsD} from 'hot-shots';
import {build, Histogram} from 'hdr-histogram-js';
import {ErrorKind} from '../core/errors.js';

export interface MetricsOptions {
  /** StatsD host; if empty, nothing is sent. */
  readonly host: string;
  readonly port: number;
  readonly vm: string;
}

const MAX_LATENCY_MS = 600_000;

/** Request counts and latencies of one proxy. */
export class Metrics {
  private readonly client: StatsD;
  private readonly latencyHistogram: Histogram;
  private readonly errorCounts = new Map<ErrorKind, number>();
  private answeredCount = 0;
  private replicaReadCount = 0;
  private primaryReadCount = 0;
  private writeCount = 0;

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
    this.latencyHistogram = build({
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
  recordAnswer(kind: ErrorKind | undefined, latencyMs: number): void {
    this.answeredCount++;
    this.latencyHistogram.recordValue(
      Math.min(MAX_LATENCY_MS, Math.max(1, latencyMs)),
    );
    if (kind === undefined) return;
    this.errorCounts.set(kind, (this.errorCounts.get(kind) ?? 0) + 1);
    this.client.increment('errors', {kind});
  }

  /** Counts a lane by access and by whether a replica serves it. */
  recordRoute(access: 'read' | 'write', toReplica: boolean): void {
    if (access === 'write') this.writeCount++;
    else if (toReplica) this.replicaReadCount++;
    else this.primaryReadCount++;
  }

  /** Sends the current values; called at intervals, not per request. */
  publish(gauges: Readonly<Record<string, number>>): void {
    if (this.client.mockBuffer) this.client.mockBuffer.length = 0;
    for (const [name, value] of Object.entries(gauges)) {
      this.client.gauge(name, value);
    }
    this.client.gauge('answered_total', this.answeredCount);
    this.client.gauge('replica_reads_total', this.replicaReadCount);
    this.client.gauge('primary_reads_total', this.primaryReadCount);
    this.client.gauge(
      'latency_p99_ms',
      this.latencyHistogram.getValueAtPercentile(99),
    );
  }

  dump(): object {
    return {
      answered: this.answeredCount,
      errors: Object.fromEntries(this.errorCounts),
      replicaReads: this.replicaReadCount,
      primaryReads: this.primaryReadCount,
      writes: this.writeCount,
      latencyP50Ms: this.latencyHistogram.getValueAtPercentile(50),
      latencyP99Ms: this.latencyHistogram.getValueAtPercentile(99),
    };
  }

  close(): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()));
  }
}
