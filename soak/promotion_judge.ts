/** Judges, as a promotion takes effect, which acknowledged commits it loses. */
import {
  PromotionOrder,
  StandinDatabase,
} from '../test/platform/standin_database.js';
import {Attempt, Outcome} from './commit_judge.js';
import {Finding} from './statement_judge.js';

/** Which database has a commit that a promotion loses. */
const Holder = {
  replica: 'held_by_replica',
  /** One that runs, but is not listed. */
  unlisted: 'held_by_unlisted',
  formerPrimary: 'held_by_former_primary',
  /** A database that does not run and may come back. */
  stopped: 'held_by_stopped',
  /** A database that has left. */
  left: 'held_by_left',
  nobody: 'held_by_nobody',
} as const;
type Holder = (typeof Holder)[keyof typeof Holder];

export interface PromotionJudgeOptions {
  readonly isListed: (database: StandinDatabase) => boolean;
  /** Database that ran a statement. */
  readonly databaseOf: (requestId: string) => string | undefined;
}

/** Checks rule LOST at each promotion; reports each commit once. */
export class PromotionJudge {
  private readonly reported = new Set<Attempt>();

  private constructor(private readonly options: PromotionJudgeOptions) {}

  static create(options: PromotionJudgeOptions): PromotionJudge {
    return new PromotionJudge(options);
  }

  /** Must be called before any log is rolled back. */
  judge(
    attempts: readonly Attempt[],
    promoted: StandinDatabase,
    order: PromotionOrder | undefined,
  ): Finding[] {
    const nowMs = performance.now();
    const held = new Set(promoted.log.map(({requestId}) => requestId));
    const lost = attempts.filter(
      attempt =>
        attempt.outcome === Outcome.acknowledged &&
        !this.reported.has(attempt) &&
        !attempt.writes.every(id => held.has(id)),
    );
    const {group} = promoted;
    return lost.map(attempt => {
      this.reported.add(attempt);
      const holders = this.holdersOf(attempt, promoted);
      const kind = Object.values(Holder).find(
        known => known === Holder.nobody || holders.some(h => h.is === known),
      );
      const details = {
        service: group.service,
        promoted: promoted.id,
        leaving: promoted.isDraining,
        orderedBy: order?.holder,
        fence: order?.fencingToken,
        orderedAgoMs: order && Math.round(nowMs - order.receivedAtMs),
        formerTerm: group.term,
        logLength: promoted.log.length,
        front: attempt.front,
        writes: attempt.writes,
        ranAt: this.options.databaseOf(attempt.writes[0]),
        acknowledgedAgoMs: Math.round(nowMs - attempt.answeredAtMs),
        holders,
      };
      return {rule: 'LOST', kind: `promotion_${kind}`, details};
    });
  }

  private holdersOf(
    {writes}: Attempt,
    {group}: StandinDatabase,
  ): Array<{id: string; is: Holder}> {
    const has = ({log}: StandinDatabase): boolean => {
      const ids = new Set(log.map(({requestId}) => requestId));
      return writes.every(id => ids.has(id));
    };
    const present = group.databases
      .filter(has)
      .map(database => ({id: database.id, is: this.stateOf(database)}));
    const left = group.former
      .filter(has)
      .map(({id}) => ({id, is: Holder.left}));
    return [...present, ...left];
  }

  private stateOf(database: StandinDatabase): Holder {
    if (database.isPrimary) return Holder.formerPrimary;
    if (!database.isRunning) return Holder.stopped;
    return this.options.isListed(database) ? Holder.replica : Holder.unlisted;
  }
}
