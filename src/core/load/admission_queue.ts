/**
 * The work that waits for one database: ordered by priority, fair across
 * customers within a priority. Work that has missed its objective comes after
 * all work that can still meet it, since it has lost most of its value.
 */
import {FairQueue} from '../fair_queue.js';
import {PriorityTurns} from './priority_turns.js';
import {WorkKind} from './work_times.js';

/** Work that asks for admission; `item` identifies it. Times are monotonic. */
export interface Candidate<T> {
  readonly item: T;
  readonly customer: string;
  /** 0 is the highest. */
  readonly priority: number;
  readonly kind: WorkKind;
  /** Whether another database could serve it, since it is a replica read. */
  readonly isReplicaRead: boolean;
  readonly arrivedAtMs: number;
  readonly deadlineAtMs: number;
  /** When it misses its objective; Infinity without one. */
  readonly objectiveAtMs: number;
  /** Time in a slot to open the connection that it needs; 0 if one is open. */
  readonly connectMs: number;
  /**
   * Number of connections of its customer if it must wait for one of them;
   * undefined if the customer may use or open another one.
   */
  readonly blockedOnConnections?: number;
}

/** Work of one priority that can still meet its objective, or that cannot. */
export interface Level<T> {
  readonly priority: number;
  readonly isLate: boolean;
  readonly queue: FairQueue<Candidate<T>>;
  readonly countByKind: Map<WorkKind, number>;
  replicaReads: number;
  connectMs: number;
  /** No waiting work misses its objective before this. */
  earliestObjectiveAtMs: number;
}

const comesBefore = <T>(a: Level<T>, b: Level<T>): number =>
  Number(a.isLate) - Number(b.isLate) || a.priority - b.priority;

const ANY_CAPACITY = {concurrency: 1, serviceTimeMs: 0};

export class AdmissionQueue<T> {
  private levels: Array<Level<T>> = [];
  private readonly turns = PriorityTurns.create();
  private readonly byItem = new Map<
    T,
    {readonly candidate: Candidate<T>; readonly level: Level<T>}
  >();

  private constructor() {}

  static create<T>(): AdmissionQueue<T> {
    return new AdmissionQueue<T>();
  }

  get size(): number {
    return this.byItem.size;
  }

  /** The levels in the order in which they are served. */
  get orderedLevels(): ReadonlyArray<Level<T>> {
    return this.levels;
  }

  /** Returns the waiting work in the order in which it would be served. */
  inOrder(): Array<{candidate: Candidate<T>; level: Level<T>}> {
    return this.levels.flatMap(level =>
      level.queue.inOrder().map(candidate => ({candidate, level})),
    );
  }

  add(candidate: Candidate<T>, nowMs: number): void {
    const isLate = candidate.objectiveAtMs <= nowMs;
    const level = this.levelOf(candidate.priority, isLate);
    level.queue.offer(
      {
        customer: candidate.customer,
        weight: 1,
        deadlineAtMs: Infinity,
        item: candidate,
      },
      ANY_CAPACITY,
      nowMs,
    );
    this.byItem.set(candidate.item, {candidate, level});
    this.count(level, candidate, 1);
    level.earliestObjectiveAtMs = Math.min(
      level.earliestObjectiveAtMs,
      candidate.objectiveAtMs,
    );
    this.turns.onWaiting(candidate.priority, nowMs);
  }

  /** Removes and returns the next candidate that may start. */
  take(
    nowMs: number,
    isBlocked: (customer: string) => boolean,
    isHeld: (candidate: Candidate<T>) => boolean,
  ): Candidate<T> | undefined {
    this.moveLate(nowMs);
    const starving = this.turns.starving(nowMs);
    if (starving !== undefined) {
      const levels = this.levels.filter(l => l.priority === starving);
      const next = this.takeFrom(levels, isBlocked, isHeld);
      if (next) {
        this.turns.onStarvingTurn();
        return next;
      }
    }
    const next = this.takeFrom(this.levels, isBlocked, isHeld);
    if (next) this.turns.onUsualTurn(next.priority, nowMs);
    return next;
  }

  /** Removes an item; returns its candidate if it was waiting. */
  remove(item: T): Candidate<T> | undefined {
    const waiting = this.byItem.get(item);
    if (!waiting) return undefined;
    const {candidate, level} = waiting;
    level.queue.remove(candidate);
    this.removed(level, candidate);
    return candidate;
  }

  /** Moves work that has missed its objective behind all other work. */
  moveLate(nowMs: number): void {
    for (const level of this.levels) {
      if (level.isLate || nowMs < level.earliestObjectiveAtMs) continue;
      const late = level.queue.removeWhere(
        ({item}) => item.objectiveAtMs <= nowMs,
      );
      for (const {item: candidate} of late) {
        this.count(level, candidate, -1);
        this.add(candidate, nowMs);
      }
      level.earliestObjectiveAtMs = Math.min(
        ...level.queue.inOrder().map(c => c.objectiveAtMs),
      );
    }
  }

  private takeFrom(
    levels: ReadonlyArray<Level<T>>,
    isBlocked: (customer: string) => boolean,
    isHeld: (candidate: Candidate<T>) => boolean,
  ): Candidate<T> | undefined {
    for (const level of levels) {
      const next = level.queue.take(isBlocked, isHeld);
      if (!next) continue;
      this.removed(level, next.item);
      return next.item;
    }
    return undefined;
  }

  private removed(level: Level<T>, candidate: Candidate<T>): void {
    this.byItem.delete(candidate.item);
    this.count(level, candidate, -1);
    const {priority} = level;
    const isWaiting = this.levels.some(
      other => other.priority === priority && other.queue.size > 0,
    );
    if (!isWaiting) this.turns.onEmpty(priority);
  }

  private count(level: Level<T>, candidate: Candidate<T>, by: 1 | -1): void {
    const {kind, connectMs, isReplicaRead} = candidate;
    level.countByKind.set(kind, (level.countByKind.get(kind) ?? 0) + by);
    level.connectMs += by * connectMs;
    if (isReplicaRead) level.replicaReads += by;
  }

  private levelOf(priority: number, isLate: boolean): Level<T> {
    const known = this.levels.find(
      level => level.priority === priority && level.isLate === isLate,
    );
    if (known) return known;
    const level: Level<T> = {
      priority,
      isLate,
      queue: FairQueue.create<Candidate<T>>(),
      countByKind: new Map(),
      replicaReads: 0,
      connectMs: 0,
      earliestObjectiveAtMs: Infinity,
    };
    this.levels = [...this.levels, level].sort(comesBefore);
    return level;
  }
}
