/** Counters and latency histograms of a front, as text on request. */
import {build, Histogram} from 'hdr-histogram-js';

const MAX_LATENCY_MS = 60_000;
const QUANTILES = [50, 90, 99, 99.9] as const;

/** Counts and latencies by outcome. */
export class FrontMetrics {
  private readonly latencies = new Map<string, Histogram>();
  private readonly counters = new Map<string, number>();

  private constructor() {}

  static create(): FrontMetrics {
    return new FrontMetrics();
  }

  /** Counts one answered statement. */
  answered(outcome: string, tookMs: number): void {
    let histogram = this.latencies.get(outcome);
    if (!histogram) {
      histogram = build({
        bitBucketSize: 32,
        highestTrackableValue: MAX_LATENCY_MS,
        numberOfSignificantValueDigits: 2,
      });
      this.latencies.set(outcome, histogram);
    }
    histogram.recordValue(Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(tookMs))));
  }

  /** Counts one event. */
  count(event: string): void {
    this.counters.set(event, (this.counters.get(event) ?? 0) + 1);
  }

  /** All figures as lines of name, labels and value. */
  text(gauges: Readonly<Record<string, number>>): string {
    const lines: string[] = [];
    for (const [outcome, histogram] of this.latencies) {
      const label = `outcome="${outcome}"`;
      lines.push(`mustardpass_statements_total{${label}} ${histogram.totalCount}`);
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(
          `mustardpass_statement_latency_ms{${label},quantile="${quantile / 100}"} ${value}`,
        );
      }
    }
    for (const [event, count] of this.counters) {
      lines.push(`mustardpass_events_total{event="${event}"} ${count}`);
    }
    for (const [name, value] of Object.entries(gauges)) {
      lines.push(`mustardpass_${name} ${value}`);
    }
    return lines.join('\n') + '\n';
  }
}
