/** Position samples that a worker takes of its database as primary. */
import {addPositionSample, PositionSamples} from '../core/position_samples.js';
import {PositionSample} from '../core/routing.js';
import {StepAnswer} from './database_link.js';

export interface PositionSamplerOptions {
  /** Whether this VM may currently use the database as primary. */
  readonly canServeAsPrimary: () => boolean;
  /** Takes a sample on an open, idle connection; undefined if there is none. */
  readonly sampleOnIdle: () => Promise<void> | undefined;
  /** Takes a sample on an extra connection. */
  readonly sampleOnNew: () => Promise<PositionSample | undefined>;
  /** Called when the extra connection was answered. */
  readonly onAnswered: () => void;
  /** Called with each sample. */
  readonly onSample?: (sample: PositionSample) => void;
}

/** Age from which the newest position sample is refreshed on request. */
const MAX_SAMPLE_AGE_MS = 200;

export class PositionSampler {
  /** Positions that the database is known to have reached as primary. */
  private samples: PositionSamples = [];
  private pendingSample: Promise<PositionSample | undefined> | undefined;

  private constructor(private readonly options: PositionSamplerOptions) {}

  static create(options: PositionSamplerOptions): PositionSampler {
    return new PositionSampler(options);
  }

  /** Records the position of an answer that only a primary gives. */
  record(sentAtMs: number, answer: StepAnswer): void {
    if (!answer.ok || !answer.position) return;
    if (!this.options.canServeAsPrimary()) return;
    this.add({atMs: sentAtMs, position: answer.position});
  }

  /**
   * Returns the samples; takes a new one when the newest is older than
   * `MAX_SAMPLE_AGE_MS`.
   */
  async refresh(): Promise<PositionSamples> {
    if (!this.options.canServeAsPrimary()) return this.samples;
    const newest = this.samples[this.samples.length - 1];
    const nowMs = performance.now();
    if (newest && nowMs - newest.atMs < MAX_SAMPLE_AGE_MS) return this.samples;
    await (this.options.sampleOnIdle() ?? this.sampleOnNew());
    return this.samples;
  }

  private async sampleOnNew(): Promise<void> {
    const {sampleOnNew, onAnswered, canServeAsPrimary} = this.options;
    this.pendingSample ??= sampleOnNew().finally(
      () => (this.pendingSample = undefined),
    );
    const sample = await this.pendingSample;
    if (!sample) return;
    onAnswered();
    if (canServeAsPrimary()) this.add(sample);
  }

  private add(sample: PositionSample): void {
    this.samples = addPositionSample(this.samples, sample);
    this.options.onSample?.(sample);
  }
}
