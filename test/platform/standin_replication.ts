/**
 * Sends the log of a stand-in group's primary to its replicas over links that
 * each have a delay of their own and that can be cut, so that one replica alone
 * may hold the newest commits. Every log is a prefix of the primary's.
 */
import type {
  CommittedChange,
  StandinDatabase,
  StandinGroup,
} from './standin_database.js';

const SEND_INTERVAL_MS = 4;

interface Waiter {
  readonly from: StandinDatabase;
  readonly commit: CommittedChange;
  readonly resolve: () => void;
}

const pairOf = (a: StandinDatabase, b: StandinDatabase): string =>
  [a.id, b.id].sort().join(' ');

export class StandinReplication {
  /** How many cuts each pair of databases has. */
  private readonly cuts = new Map<string, number>();
  private readonly committedAtMs = new WeakMap<CommittedChange, number>();
  private waiting: Waiter[] = [];
  private readonly timer: NodeJS.Timeout;

  private constructor(
    private readonly group: StandinGroup,
    /** Time from a commit to its arrival at a replica; may change. */
    private readonly delayMsOf: (replica: StandinDatabase) => number,
  ) {
    this.timer = setInterval(() => this.send(), SEND_INTERVAL_MS);
  }

  /** Replaces the way in which a group replicates. */
  static start(
    group: StandinGroup,
    delayMsOf: (replica: StandinDatabase) => number,
  ): StandinReplication {
    const replication = new StandinReplication(group, delayMsOf);
    group.replication = replication;
    return replication;
  }

  /** Cuts two databases off from each other; returns what ends this cut. */
  cut(a: StandinDatabase, b: StandinDatabase): () => void {
    const pair = pairOf(a, b);
    this.cuts.set(pair, (this.cuts.get(pair) ?? 0) + 1);
    let isOver = false;
    return () => {
      if (isOver) return;
      isOver = true;
      this.cuts.set(pair, (this.cuts.get(pair) ?? 0) - 1);
    };
  }

  /**
   * Resolves once a replica has a commit; never if `from` ends or stops being
   * primary before.
   */
  replicate(from: StandinDatabase, commit: CommittedChange): Promise<void> {
    const nowMs = performance.now();
    for (let index = from.log.length - 1; index >= 0; index--) {
      if (this.committedAtMs.has(from.log[index])) break;
      this.committedAtMs.set(from.log[index], nowMs);
    }
    return new Promise(resolve => this.waiting.push({from, commit, resolve}));
  }

  stop(): void {
    clearInterval(this.timer);
    this.waiting = [];
  }

  private send(): void {
    const nowMs = performance.now();
    const from = this.group.primary;
    if (!from?.isRunning) return;
    for (const replica of this.group.databases) {
      const isReached =
        replica !== from &&
        replica.isRunning &&
        !replica.isPaused &&
        nowMs >= replica.receivesFromMs &&
        !this.cuts.get(pairOf(from, replica));
      if (isReached) this.sendTo(replica, from, nowMs);
    }
    this.waiting = this.waiting.filter(waiter => {
      if (waiter.from !== from) return waiter.from.isPrimary;
      const {commit, resolve} = waiter;
      const index = commit.offset - 1;
      if (from.log[index] !== commit) return false;
      const isHeld = this.group.databases.some(
        replica => replica !== from && replica.log[index] === commit,
      );
      if (isHeld) resolve();
      return !isHeld;
    });
  }

  private sendTo(
    replica: StandinDatabase,
    from: StandinDatabase,
    nowMs: number,
  ): void {
    const committedUntilMs = nowMs - this.delayMsOf(replica);
    for (let next = replica.log.length; next < from.log.length; next++) {
      const commit = from.log[next];
      if ((this.committedAtMs.get(commit) ?? 0) > committedUntilMs) return;
      replica.log.push(commit);
    }
  }
}
