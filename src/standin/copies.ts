/**
 * Copies of a stand-in store's state, from which it can be restored. A restore
 * loses what the system under test wrote after the copy; the writes of others,
 * such as operators and databases, are repeated by their authors.
 */

/** A state of the store and when it was current. */
interface Copy<State> {
  readonly atMs: number;
  readonly state: State;
}

/** A write by an author who repeats it; `value` is undefined for a removal. */
interface RepeatedWrite<Value> {
  readonly atMs: number;
  readonly value: Value | undefined;
}

/** What a restore yields. */
export interface Restored<State, Value> {
  readonly state: State;
  /** The last write to each key since the copy, by authors who repeat it. */
  readonly repeated: ReadonlyMap<string, Value | undefined>;
}

/** Copies that are kept; the oldest ones are dropped. */
const MAX_COPIES = 2_000;

/** Keeps the last states of one store. */
export class Copies<State, Value> {
  private readonly copies: Array<Copy<State>> = [];
  private readonly lastWrites = new Map<string, RepeatedWrite<Value>>();

  private constructor(private readonly nowMs: () => number) {}

  static create<State, Value>(
    nowMs: () => number = () => performance.now(),
  ): Copies<State, Value> {
    return new Copies(nowMs);
  }

  /** Keeps a state, which must not be changed afterwards. */
  record(state: State): void {
    this.copies.push({atMs: this.nowMs(), state});
    if (this.copies.length > MAX_COPIES) this.copies.shift();
  }

  /** Notes a write that its author repeats after a restore. */
  recordRepeated(key: string, value: Value | undefined): void {
    this.lastWrites.set(key, {atMs: this.nowMs(), value});
  }

  /**
   * Returns the state of `ageMs` ago, or the first one if that is younger, and
   * forgets the later ones.
   */
  restore(ageMs: number): Restored<State, Value> {
    const copyAtMs = this.nowMs() - ageMs;
    const index = this.copies.findLastIndex(({atMs}) => atMs <= copyAtMs);
    const [copy] = this.copies.splice(Math.max(0, index));
    if (!copy) throw new Error('no state was recorded');
    this.copies.push(copy);
    const repeated = [...this.lastWrites]
      .filter(([, {atMs}]) => atMs > copyAtMs)
      .map(([key, {value}]) => [key, value] as const);
    return {state: copy.state, repeated: new Map(repeated)};
  }
}
