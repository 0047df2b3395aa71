/**
 * Which fronts may have sent requests to a database as its holder lately. Two
 * fronts stay within the limit of a cold database (`core/warm_up.ts`); a third
 * has to wait until the first has sent nothing for a second.
 */
import {FrontMember, Fronts, rankHolders} from './fronts.js';
import {Place} from './placement.js';

/**
 * How long a former holder counts: the second to which the limit applies, and
 * 500 ms by which it may learn later than this front that it is not the holder.
 */
export const FORMER_HOLDER_MS = 1_500;

/** A list of fronts and the time in which it was the known one. */
interface View {
  readonly fronts: Fronts;
  untilMs: number;
}

export class HolderHistory {
  private views: View[] = [];
  /** When the first list was received; what happened before is unknown. */
  private sinceMs = Infinity;
  /** By database, when its possible senders were last seen, newest first. */
  private readonly sendersUntilMs = new Map<string, readonly number[]>();

  private constructor(private readonly self: string) {}

  static create(self: string): HolderHistory {
    return new HolderHistory(self);
  }

  /** Records the list of fronts that is known now. */
  record(fronts: Fronts, nowMs: number): void {
    const current = this.views.at(-1);
    if (fronts === current?.fronts || fronts.size === 0) return;
    this.sinceMs = Math.min(this.sinceMs, nowMs);
    if (current) current.untilMs = nowMs;
    this.views.push({fronts, untilMs: Infinity});
    this.views = this.views.filter(
      ({untilMs}) => nowMs - untilMs < FORMER_HOLDER_MS,
    );
    this.sendersUntilMs.clear();
  }

  /**
   * Returns how long this front, as the holder of a database, must wait until
   * at most one other front may have sent to the database within a second.
   */
  waitMs(database: string, place: Place, nowMs: number): number {
    const second = this.sendersOf(database, place)[1] ?? -Infinity;
    const knownFromMs = Math.max(this.sinceMs, second) + FORMER_HOLDER_MS;
    return Math.max(0, Math.min(FORMER_HOLDER_MS, knownFromMs - nowMs));
  }

  private sendersOf(database: string, place: Place): readonly number[] {
    const cached = this.sendersUntilMs.get(database);
    if (cached) return cached;
    const senders = new Map<string, number>();
    this.views.forEach(({fronts, untilMs}, index) => {
      const next = this.views[index + 1]?.fronts;
      const successor = next && stayingHolder(next, database, place)?.vm;
      for (const vm of possibleHolders(fronts, database, place, successor)) {
        if (vm !== this.self) senders.set(vm, untilMs);
      }
    });
    const result = [...senders.values()].sort((a, b) => b - a);
    this.sendersUntilMs.set(database, result);
    return result;
  }
}

const stayingHolder = (
  fronts: Fronts,
  database: string,
  place: Place,
): FrontMember | undefined => rankHolders(fronts, database, place)[0];

/**
 * Returns the fronts of a list that may have sent as holders before the next
 * list was known, in which `successor` is the holder: the holder, fronts before
 * it that leave and finish their transactions, and those between it and the
 * successor, which may have been holders in lists that this front never saw.
 */
function possibleHolders(
  fronts: Fronts,
  database: string,
  place: Place,
  successor: string | undefined,
): string[] {
  const staying = new Map(
    [...fronts].map(([vm, front]) => [vm, {...front, leaving: false}]),
  );
  const ranked = rankHolders(staying, database, place).map(({vm}) => vm);
  const holder = stayingHolder(fronts, database, place)?.vm ?? '';
  const last = Math.max(
    ranked.indexOf(holder),
    successor === undefined ? -1 : ranked.indexOf(successor) - 1,
  );
  return ranked.slice(0, last + 1);
}
