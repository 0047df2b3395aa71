/** Delays with which the replicas of a service receive its log. */
import {StandinDatabase} from '../test/platform/standin_database.js';
import {Random} from './random.js';

/** How long a replica keeps a delay. */
const KEPT_MS = [300, 1_500] as const;
/** Most replicas are near the mean, some far behind it. */
const SHORT_SHARE_PERCENT = 75;
const SHORT_MS = [10, 80] as const;
const LONG_MS = [80, 220] as const;

/** Delays that differ by replica and change; 60 ms on average. */
export class ReplicationDelays {
  private readonly current = new Map<
    StandinDatabase,
    {delayMs: number; untilMs: number}
  >();

  private constructor(private readonly random: Random) {}

  static create(random: Random): ReplicationDelays {
    return new ReplicationDelays(random);
  }

  readonly of = (replica: StandinDatabase): number => {
    const nowMs = performance.now();
    const known = this.current.get(replica);
    if (known && nowMs < known.untilMs) return known.delayMs;
    const {random} = this;
    const range = random.chance(SHORT_SHARE_PERCENT) ? SHORT_MS : LONG_MS;
    const [lowMs, highMs] = range;
    const delayMs = random.between(lowMs, highMs);
    const untilMs = nowMs + random.between(...KEPT_MS);
    this.current.set(replica, {delayMs, untilMs});
    return delayMs;
  };
}
