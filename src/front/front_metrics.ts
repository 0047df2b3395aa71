/**
 * Counters and latency histograms of a front, as text on request. The histogram
 * library is loaded after the start, which it would delay; what is counted
 * before waits.
 */
import type {Histogram} from 'hdr-histogram-js';

type BuildHistogram = () => Histogram;

const MAX_LATENCY_MS = 60_000;
const QUANTILES = [50, 90, 99, 99.9] as const;
/** Delay after the start until the library is loaded. */
const LOAD_DELAY_MS = 3_000;
const MAX_WAITING = 10_000;

async function loadHistograms(): Promise<BuildHistogram> {
  const {build} = await import('hdr-histogram-js');
  return () =>
    build({
      bitBucketSize: 32,
      highestTrackableValue: MAX_LATENCY_MS,
      numberOfSignificantValueDigits: 2,
    });
}

/** Counts and latencies by outcome. */
export class FrontMetrics {
  private readonly latencies = new Map<string, Histogram>();
  private waiting: Array<readonly [string, number]> = [];
  private build: BuildHistogram | undefined;
  private readonly timer: NodeJS.Timeout;

  private constructor() {
    this.timer = setTimeout(() => void this.load(), LOAD_DELAY_MS);
    this.timer.unref();
  }

  static create(): FrontMetrics {
    return new FrontMetrics();
  }

  /** Counts one answered statement. */
  recordAnswer(outcome: string, tookMs: number): void {
    if (!this.build) {
      if (this.waiting.length < MAX_WAITING) {
        this.waiting.push([outcome, tookMs]);
      }
      return;
    }
    let histogram = this.latencies.get(outcome);
    if (!histogram) {
      histogram = this.build();
      this.latencies.set(outcome, histogram);
    }
    const ms = Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(tookMs)));
    histogram.recordValue(ms);
  }

  /** All figures as lines of name, labels and value. */
  async render(gauges: Readonly<Record<string, number>>): Promise<string> {
    await this.load();
    const lines: string[] = [];
    for (const [outcome, histogram] of this.latencies) {
      const label = `outcome="${outcome}"`;
      lines.push(
        `mustardpass_statements_total{${label}} ${histogram.totalCount}`,
      );
      for (const quantile of QUANTILES) {
        const value = histogram.getValueAtPercentile(quantile);
        lines.push(
          `mustardpass_statement_latency_ms{${label},quantile="${quantile / 100}"} ${value}`,
        );
      }
    }
    for (const [name, value] of Object.entries(gauges)) {
      lines.push(`mustardpass_${name} ${value}`);
    }
    return lines.join('\n') + '\n';
  }

  private async load(): Promise<void> {
    clearTimeout(this.timer);
    this.build ??= await loadHistograms();
    const {waiting} = this;
    this.waiting = [];
    for (const [outcome, tookMs] of waiting) this.recordAnswer(outcome, tookMs);
  }
}
