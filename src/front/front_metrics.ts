/**
 * Counters and latency histograms of a front, rendered as text on request. The
 * histogram library is loaded some time after the start, which it would delay;
 * answers recorded before that are buffered.
 */
import type {Histogram} from 'hdr-histogram-js';

type BuildHistogram = () => Histogram;

const MAX_LATENCY_MS = 60_000;
const QUANTILES = [50, 90, 99, 99.9] as const;
/** Time after the start at which the histogram library is loaded. */
const LOAD_DELAY_MS = 3_000;
const MAX_BUFFERED = 10_000;

async function loadHistograms(): Promise<BuildHistogram> {
  const {build} = await import('hdr-histogram-js');
  return () =>
    build({
      bitBucketSize: 32,
      highestTrackableValue: MAX_LATENCY_MS,
      numberOfSignificantValueDigits: 2,
    });
}

/** Counts and latencies of answered statements, by outcome. */
export class FrontMetrics {
  private readonly latencies = new Map<string, Histogram>();
  private buffered: Array<readonly [string, number]> = [];
  private buildHistogram: BuildHistogram | undefined;
  private readonly timer: NodeJS.Timeout;

  private constructor() {
    this.timer = setTimeout(() => void this.load(), LOAD_DELAY_MS);
    this.timer.unref();
  }

  static create(): FrontMetrics {
    return new FrontMetrics();
  }

  /** Records the outcome of one statement and how long it took. */
  recordAnswer(outcome: string, tookMs: number): void {
    if (!this.buildHistogram) {
      if (this.buffered.length < MAX_BUFFERED) {
        this.buffered.push([outcome, tookMs]);
      }
      return;
    }
    let histogram = this.latencies.get(outcome);
    if (!histogram) {
      histogram = this.buildHistogram();
      this.latencies.set(outcome, histogram);
    }
    const ms = Math.min(MAX_LATENCY_MS, Math.max(1, Math.round(tookMs)));
    histogram.recordValue(ms);
  }

  /** Renders all figures as lines of name, labels and value. */
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
    this.buildHistogram ??= await loadHistograms();
    const {buffered} = this;
    this.buffered = [];
    for (const [outcome, tookMs] of buffered)
      this.recordAnswer(outcome, tookMs);
  }
}
