/**
 * State of the model of a change of primary: the databases of a service, the
 * fronts, the platform that executes promotion orders, and the holder of the
 * coordinator lease. All logs are prefixes of the primary's log.
 */
import {LeaderRecord, mayCommit} from '../src/core/leader_record.js';
import {ChangeEffect, PrimaryChange} from '../src/core/primary_change.js';
import {ChangeModelRules, Disturbance} from './primary_change_rules.js';

export interface ChangeDatabase {
  /** Ids of the commits in the log, oldest first. */
  readonly log: readonly number[];
  readonly isPaused: boolean;
  readonly isRunning: boolean;
  /** Whether the holder's directory shows the database. */
  readonly isListed: boolean;
  /** Whether the entry of the database has lapsed. */
  readonly hasLapsed: boolean;
  /** Whether the database has announced that it leaves. */
  readonly isLeaving: boolean;
}

/** A database, or an earlier start of one, that is not listed any more. */
export interface GoneDatabase {
  readonly database: number;
  readonly reason: 'end' | 'lapse' | 'restartEmpty';
  /** The end of the primary's log, sampled after the entry had gone. */
  readonly sampled: number | undefined;
  /** Whether it no longer counts since enough time has passed. */
  readonly isForgotten: boolean;
}

/** A commit, from the time when a front sends it. */
export interface SentCommit {
  readonly database: number;
  readonly front: number;
  readonly stage: 'sent' | 'answered' | 'acknowledged';
  /** Length that a log with the commit has reached, as far as its front knows. */
  readonly atLeast: number;
  /** Length of the primary's log, as reported with the answer. */
  readonly atMost: number;
}

export interface ModelFront {
  readonly record: LeaderRecord | undefined;
  /** Whether `record` is the newest one in the store. */
  readonly isCurrent: boolean;
  /** Whether the view of the store is new enough to use a primary. */
  readonly isFresh: boolean;
  /** Highest `atLeast` and `atMost` of the commits that it has acknowledged. */
  readonly atLeast: number;
  readonly atMost: number;
  /** Its process has ended, with what it knew. */
  readonly hasEnded: boolean;
  /** The end of the primary's log, sampled after the process had ended. */
  readonly sampledAfter: number | undefined;
}

/** An order that has been neither executed nor refused. */
export interface ChangeOrder {
  readonly database: number;
  readonly fencingToken: number;
  /** Whether the holder still waits for the answer. */
  readonly isAwaited: boolean;
}

/** The holder of the coordinator lease. */
export interface Holder {
  readonly change: PrimaryChange | undefined;
  readonly effect: ChangeEffect | undefined;
  /** Number of steps of `effect` that have been carried out. */
  readonly progress: number;
  /** Log length of each database that was read since the last stop. */
  readonly lengths: ReadonlyArray<number | undefined>;
  /** Databases that are asked for their logs. */
  readonly asked: readonly number[];
  /** Number of earlier starts that were known when the logs were asked for. */
  readonly earlierStarts: number;
  /** What fronts reported when they had stopped commits. */
  readonly atLeast: number;
  /** Undefined unless it is known of all fronts. */
  readonly atMost: number | undefined;
  /** Length of the primary's log when the attempt began. */
  readonly earlyEnd: number;
  /** Whether the former primary has confirmed that it does not lead. */
  readonly hasSteppedDown: boolean;
  /**
   * Whether the holder has found that nobody can commit by a record older than
   * the newest one, which stops commits.
   */
  readonly isStopObeyed: boolean;
  /** Number of promotions that take effect before a wait ends. */
  readonly waitsFor: number;
  /** Database of an order without an answer. */
  readonly inDoubt: number | undefined;
  readonly raisesToken: boolean;
  /** Whether orders of earlier holders may be in flight. */
  readonly isNew: boolean;
  /** Whether the platform has answered an order of this holder. */
  readonly hasAnswer: boolean;
  readonly fencingToken: number;
}

export interface ChangeSystem {
  readonly databases: readonly ChangeDatabase[];
  readonly primary: number;
  /** Whether the primary leads; it does not once it has stepped down. */
  readonly leads: boolean;
  readonly commits: readonly SentCommit[];
  /** Newest leader record in the store. */
  readonly record: LeaderRecord | undefined;
  readonly fronts: readonly ModelFront[];
  readonly orders: readonly ChangeOrder[];
  /** Executed promotions that have not taken effect, oldest first. */
  readonly executed: readonly number[];
  readonly highestToken: number;
  readonly holder: Holder;
  /** A write of a replaced holder that the store has not executed. */
  readonly lateWrite: LeaderRecord | undefined;
  readonly holderChanges: number;
  readonly attempts: number;
  readonly ordersSent: number;
  /** Disturbances that have happened. */
  readonly disturbed: readonly Disturbance[];
  readonly gone: readonly GoneDatabase[];
  /**
   * Length of the longest log that was refused, since its database leaves, while
   * the primary was lost.
   */
  readonly refusedEnd: number;
  /** Acknowledged commits that no promotion could have kept. */
  readonly excused: readonly number[];
}

/** What the holder does, or what it waits for. */
export type HolderEvent =
  | {
      readonly type:
        | 'begin'
        | 'restoreCommits'
        | 'stepDown'
        /** The next step of the holder's effect. */
        | 'proceed'
        /** What the holder waits for does not come in time. */
        | 'timeOut';
      /** Whether the attempt has taken too long to go on. */
      readonly isLate?: boolean;
    }
  | {readonly type: 'readLog'; readonly database: number}
  | {readonly type: 'check'; readonly hasRecovered: boolean}
  | {
      readonly type: 'choose';
      readonly isEndRead: boolean;
      /** Whether the attempt has waited as long as it may for missing logs. */
      readonly isLast?: boolean;
    }
  | {
      readonly type: 'execute';
      readonly order: number;
      readonly isAnswered: boolean;
    };

/** A transition of the model. */
export type ChangeModelEvent =
  | HolderEvent
  | {readonly type: 'commit' | 'show'; readonly front: number}
  | {readonly type: 'answer' | 'acknowledge'; readonly commit: number}
  | {readonly type: 'deliver' | Disturbance; readonly database: number}
  | {
      readonly type:
        | 'list'
        | 'expireView'
        | 'takeEffect'
        | 'changeHolder'
        | 'lateWrite'
        /** A front samples the end of the primary's log. */
        | 'sample'
        /** Too much time has passed for a database that is gone to count. */
        | 'forget'
        | 'endFront';
    };

export const SERVICE = 's';
export const NO_LENGTHS = [undefined, undefined, undefined, undefined];
/** The front that may be cut off from the store and the holder. */
export const CUT_OFF = 1;
/** The database that joins later. */
export const JOINING = 3;

const IDLE_HOLDER: Holder = {
  change: undefined,
  effect: undefined,
  progress: 0,
  lengths: NO_LENGTHS,
  asked: [],
  earlierStarts: 0,
  atLeast: 0,
  atMost: undefined,
  earlyEnd: 0,
  hasSteppedDown: false,
  isStopObeyed: false,
  waitsFor: 0,
  inDoubt: undefined,
  raisesToken: false,
  isNew: false,
  hasAnswer: false,
  fencingToken: 1,
};

export const INITIAL_SYSTEM: ChangeSystem = {
  databases: [0, 1, 2, JOINING].map(id => ({
    log: [],
    isPaused: false,
    isRunning: id !== JOINING,
    isListed: id !== JOINING,
    hasLapsed: false,
    isLeaving: false,
  })),
  primary: 0,
  leads: true,
  commits: [],
  record: undefined,
  fronts: [0, 1].map(() => ({
    record: undefined,
    isCurrent: true,
    isFresh: true,
    atLeast: 0,
    atMost: 0,
    hasEnded: false,
    sampledAfter: undefined,
  })),
  orders: [],
  executed: [],
  highestToken: 0,
  holder: IDLE_HOLDER,
  lateWrite: undefined,
  holderChanges: 0,
  attempts: 0,
  ordersSent: 0,
  disturbed: [],
  gone: [],
  refusedEnd: 0,
  excused: [],
};

export const replaceAt = <T>(
  items: readonly T[],
  index: number,
  changes: Partial<T>,
): T[] =>
  items.map((item, at) => (at === index ? {...item, ...changes} : item));

export const withDatabase = (
  system: ChangeSystem,
  database: number,
  changes: Partial<ChangeDatabase>,
): ChangeSystem => ({
  ...system,
  databases: replaceAt(system.databases, database, changes),
});

export const withHolder = (
  system: ChangeSystem,
  changes: Partial<Holder>,
): ChangeSystem => ({...system, holder: {...system.holder, ...changes}});

export const withCommit = (
  system: ChangeSystem,
  commit: number,
  changes: Partial<SentCommit>,
): ChangeSystem => ({
  ...system,
  commits: replaceAt(system.commits, commit, changes),
});

/** A front learns the newest record, and its view is fresh. */
export const showRecord = (
  system: ChangeSystem,
  front: number,
): ChangeSystem => ({
  ...system,
  fronts: replaceAt(system.fronts, front, {
    record: system.record,
    isCurrent: true,
    isFresh: true,
  }),
});

export const expireView = (
  system: ChangeSystem,
  front: number,
): ChangeSystem => ({
  ...system,
  fronts: replaceAt(system.fronts, front, {isFresh: false}),
});

export const writeRecord = (
  system: ChangeSystem,
  record: LeaderRecord,
): ChangeSystem => ({
  ...withHolder(system, {
    isStopObeyed: false,
    atLeast: 0,
    atMost: undefined,
  }),
  record,
  fronts: system.fronts.map(front => ({...front, isCurrent: false})),
});

export const isLeading = (system: ChangeSystem, database: number): boolean =>
  system.leads && system.primary === database;

/** Whether no front can act by an older record. */
export const isObeyed = ({fronts}: ChangeSystem): boolean =>
  fronts.every(({isCurrent, isFresh}) => isCurrent || !isFresh);

/** Whether a front may send commits to a database. */
export const maySend = (
  {fronts}: ChangeSystem,
  front: number,
  database: number,
  {checksAge}: ChangeModelRules,
): boolean => {
  const {record, isFresh} = fronts[front];
  return (isFresh || !checksAge) && mayCommit(record, String(database));
};

/** Whether a front may acknowledge a commit whose answer has arrived. */
export const mayAcknowledge = (
  system: ChangeSystem,
  {database, front}: SentCommit,
  rules: ChangeModelRules,
): boolean => !rules.checksAnswers || maySend(system, front, database, rules);

export const canReceive = (
  {databases, primary, leads}: ChangeSystem,
  database: number,
): boolean => {
  const {log, isPaused, isRunning} = databases[database];
  const isReceiving = leads && database !== primary && isRunning && !isPaused;
  return isReceiving && log.length < databases[primary].log.length;
};

/** Whether the primary may answer a commit, since a replica has received it. */
export const canAnswer = (system: ChangeSystem, commit: number): boolean => {
  const {database, stage} = system.commits[commit];
  const isReceived = system.databases.some(
    ({log}, at) => at !== database && log.includes(commit),
  );
  return stage === 'sent' && isLeading(system, database) && isReceived;
};

/** Executes an order, unless a higher fencing token was received before. */
export function executeOrder(
  system: ChangeSystem,
  index: number,
): {readonly system: ChangeSystem; readonly isRefused: boolean} {
  const {database, fencingToken} = system.orders[index];
  const orders = system.orders.filter((_, at) => at !== index);
  const isRefused =
    fencingToken < system.highestToken || !system.databases[database].isRunning;
  const highestToken = Math.max(fencingToken, system.highestToken);
  const isPromotion = !isRefused && !isLeading(system, database);
  const executed = isPromotion
    ? [...system.executed, database]
    : system.executed;
  return {system: {...system, orders, executed, highestToken}, isRefused};
}

/** Another front becomes the holder; orders in flight stay without an answer. */
export const changeHolder = (
  system: ChangeSystem,
  {members}: ChangeModelRules,
): ChangeSystem => ({
  ...system,
  gone: members.knowsEarlierGone ? system.gone : [],
  holderChanges: system.holderChanges + 1,
  orders: system.orders.map(order => ({...order, isAwaited: false})),
  holder: {
    ...IDLE_HOLDER,
    isNew: true,
    inDoubt:
      system.record && !system.record.settled
        ? Number(system.record.database)
        : undefined,
    fencingToken: system.holder.fencingToken + 1,
  },
});
