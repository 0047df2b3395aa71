/** Rules of the model of a change of primary; each mutant weakens one. */
import {
  CommitRule,
  LeaderRecord,
  orderRecord,
} from '../src/core/leader_record.js';
import {ChangeRules, SAFE_CHANGE} from '../src/core/primary_change.js';
import {SAFE_TAKEOVER, TakeoverRules} from '../src/core/takeover.js';

/** What happens to replicas, or to a front, at most once each. */
export type Disturbance =
  | 'join'
  | 'restart'
  | 'restartEmpty'
  | 'lapse'
  /** A replica announces that it leaves; it counts until its end. */
  | 'leave'
  /** A replica ends for good, and its log with it. */
  | 'end'
  /** The primary is lost for good. */
  | 'losePrimary'
  | 'endFront';

/** What is enforced; each mutant weakens one rule. */
export interface ChangeModelRules {
  readonly change: ChangeRules;
  readonly disturbances: readonly Disturbance[];
  /** Whether databases are counted whose entry has lapsed. */
  readonly countsLapsed: boolean;
  /** Whether the earlier start of a database that restarted empty is counted. */
  readonly countsEarlierStarts: boolean;
  /**
   * Whether that includes one that restarted after the logs were asked for and
   * before its own was read.
   */
  readonly countsAfterReading: boolean;
  /**
   * Whether the directory by which logs are read shows the databases that had
   * joined when commits were stopped.
   */
  readonly readsNewDirectory: boolean;
  /** Whether the primary's log end is read after commits were stopped. */
  readonly readsEndLate: boolean;
  /** Whether a front uses a primary only with a fresh view. */
  readonly checksAge: boolean;
  /** Whether a front checks the record when the answer to a commit arrives. */
  readonly checksAnswers: boolean;
  readonly orderRecord: (
    newest: LeaderRecord | undefined,
    service: string,
    database: string,
  ) => LeaderRecord;
  /** Whether commits wait until executed promotions have taken effect. */
  readonly waitsForEffects: boolean;
  /** Whether a primary is confirmed by an order before commits are restored. */
  readonly confirmsRestored: boolean;
  /** Commits that the record of that order permits. */
  readonly confirmationCommits: CommitRule;
  /** Whether that order waits until no front can act by an older record. */
  readonly confirmsWhenObeyed: boolean;
  /** Whether an order for another database prevents that commits are restored. */
  readonly withholdsInDoubt: boolean;
  /** Whether a replaced holder's write is refused. */
  readonly comparesWrites: boolean;
  readonly members: MemberRules;
}

/** Rules about logs that are not read. */
export interface MemberRules {
  readonly takeover: TakeoverRules;
  /** Whether a database that is gone counts with the missing logs. */
  readonly countsGone: boolean;
  /**
   * Whether a database that is gone counts until a log that was read has reached
   * a position that was sampled later.
   */
  readonly countsUntilSampled: boolean;
  /** Whether the sample is taken after the database had gone. */
  readonly samplesAfterGone: boolean;
  /**
   * Whether a database whose entry has lapsed counts, whatever was sampled, as it
   * may go on receiving.
   */
  readonly countsWhileRunning: boolean;
  /** Whether a database that is gone counts no longer after some time. */
  readonly countsForSomeTime: boolean;
  /** Whether a new holder knows the databases that had gone before. */
  readonly knowsEarlierGone: boolean;
  /** Whether `atMost` takes reports of all fronts. */
  readonly needsAllFronts: boolean;
  /** Whether fronts that have ended are among them. */
  readonly countsEndedFronts: boolean;
  /**
   * Whether the fronts that answer have reported before a former primary that
   * steps down ends the wait for them.
   */
  readonly asksFrontsFirst: boolean;
  /**
   * Whether a front knows the end of the primary's log when it sends a commit;
   * otherwise it knows one that is older by a commit.
   */
  readonly knowsEndBefore: boolean;
  /** Whether the front that may be cut off, or end, acknowledges commits. */
  readonly silentFrontCommits: boolean;
  /** Whether a leaving database is promoted if the primary is lost. */
  readonly promotesLeaving: boolean;
}

export const SAFE_MEMBERS: MemberRules = {
  takeover: SAFE_TAKEOVER,
  countsGone: true,
  countsUntilSampled: true,
  samplesAfterGone: true,
  countsWhileRunning: true,
  countsForSomeTime: false,
  knowsEarlierGone: true,
  needsAllFronts: true,
  countsEndedFronts: true,
  asksFrontsFirst: false,
  knowsEndBefore: true,
  silentFrontCommits: true,
  promotesLeaving: true,
};

/** The former rules: logs are counted for some time. */
export const COUNTED_MEMBERS: MemberRules = {
  ...SAFE_MEMBERS,
  takeover: {
    ...SAFE_TAKEOVER,
    isComplete: (log, {primaryEnd, ...group}) =>
      SAFE_TAKEOVER.isComplete(log, {...group, primaryEnd, acknowledged: {}}),
    isIncomplete: () => false,
  },
  countsUntilSampled: false,
  countsForSomeTime: true,
  promotesLeaving: false,
};

export const SAFE_CHANGE_RULES: ChangeModelRules = {
  change: SAFE_CHANGE,
  disturbances: ['join', 'restart', 'restartEmpty', 'lapse'],
  countsLapsed: true,
  countsEarlierStarts: true,
  countsAfterReading: true,
  readsNewDirectory: true,
  readsEndLate: true,
  checksAge: true,
  checksAnswers: true,
  orderRecord,
  waitsForEffects: true,
  confirmsRestored: true,
  confirmationCommits: CommitRule.contested,
  confirmsWhenObeyed: true,
  withholdsInDoubt: true,
  comparesWrites: true,
  members: SAFE_MEMBERS,
};
