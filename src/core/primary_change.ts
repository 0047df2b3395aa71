/**
 * State machine of one attempt to change the primary of a service, which the
 * holder of the coordinator lease runs. No commit of the service is acknowledged
 * from the end of the first phase until the new primary leads or the change is
 * undone, so it does not matter which databases join, restart or are out of
 * sight meanwhile, nor when an order takes effect. What must outlive the holder
 * is in the leader records (`leader_record.ts`): the next holder finds commits
 * stopped, or an order that is not settled, and goes on from there.
 */
import {TakeoverChoice} from './takeover.js';

/** Phase of an attempt; logged. */
export const ChangePhase = {
  /** Every front is being told to acknowledge no commit any more. */
  stopping: 'stopping',
  /** The logs are read, and a database is chosen among them. */
  choosing: 'choosing',
  /** The promotion of the chosen database has been ordered. */
  ordering: 'ordering',
  /** The platform has accepted the order; the database does not lead yet. */
  awaiting: 'awaiting',
  /** Nothing can be ordered now: the replicas receive the log again. */
  resuming: 'resuming',
  /** It is being checked whether the former primary may go on. */
  checking: 'checking',
  /** A primary is being confirmed and gets commits again. */
  restoring: 'restoring',
  ended: 'ended',
} as const;
export type ChangePhase = (typeof ChangePhase)[keyof typeof ChangePhase];

export interface PrimaryChange {
  readonly phase: ChangePhase;
  /** Primary when the attempt began; undefined if there was none. */
  readonly former: string | undefined;
  /** Whether the service has a new primary; final in the phase `ended`. */
  readonly isDone: boolean;
}

/** What the runner carries out next; it reports the result as an event. */
export type ChangeEffect =
  /** Resolves once no front can acknowledge a commit of the service. */
  | {readonly type: 'stopCommits'}
  | {readonly type: 'readLogs'}
  | {readonly type: 'order'; readonly database: string}
  | {readonly type: 'awaitLead'; readonly database: string}
  | {readonly type: 'resumeReplicas'}
  | {readonly type: 'checkFormer'}
  /** Makes orders for other databases void, then allows commits at this one. */
  | {readonly type: 'restore'; readonly database: string | undefined};

/** The result of an effect. */
export type ChangeEvent =
  | {readonly type: 'commitsStopped'; readonly isStopped: boolean}
  | {
      readonly type: 'logsRead';
      readonly choice: TakeoverChoice;
      /** Whether the reason for the attempt no longer holds. */
      readonly isMoot: boolean;
      /**
       * Whether the end of the primary's log is known, so that a replica that
       * receives may reach it.
       */
      readonly isPrimaryEndKnown: boolean;
    }
  | {
      readonly type: 'ordered';
      /** Whether the platform has accepted the order. */
      readonly isAccepted: boolean;
      readonly database: string;
    }
  | {readonly type: 'leadAwaited'; readonly isSeen: boolean}
  | {readonly type: 'replicasResumed'}
  | {
      readonly type: 'formerChecked';
      /** Primary by the directory. */
      readonly leader: string | undefined;
      /** Whether the reason to replace the former primary no longer holds. */
      readonly hasRecovered: boolean;
    }
  | {readonly type: 'restored'}
  /** The lease was lost: another front may act on the service now. */
  | {readonly type: 'leaseLost'};

/** What holds at the time of an event. */
export interface ChangeFacts {
  /** Whether the attempt has taken too long to go on. */
  readonly isLate: boolean;
  /** Whether an order for another database than the former primary may be executed. */
  readonly isOrderInDoubt: boolean;
}

export interface ChangeStep {
  readonly change: PrimaryChange;
  /** Undefined once the attempt has ended. */
  readonly effect: ChangeEffect | undefined;
}

/** Safety rules. The model check weakens each one to show that it is needed. */
export interface ChangeRules {
  /** Whether logs are read only once no front can acknowledge a commit. */
  readonly waitsForFronts: boolean;
  /** Whether the former primary is restored only if no order is in doubt. */
  readonly finishesOrdersInDoubt: boolean;
}

export const SAFE_CHANGE: ChangeRules = {
  waitsForFronts: true,
  finishesOrdersInDoubt: true,
};

const enter = (
  change: PrimaryChange,
  phase: ChangePhase,
  effect: ChangeEffect,
): ChangeStep => ({change: {...change, phase}, effect});

const end = (change: PrimaryChange, isDone: boolean): ChangeStep => ({
  change: {...change, phase: ChangePhase.ended, isDone},
  effect: undefined,
});

const stop = (change: PrimaryChange): ChangeStep =>
  enter(change, ChangePhase.stopping, {type: 'stopCommits'});

const check = (change: PrimaryChange): ChangeStep =>
  enter(change, ChangePhase.checking, {type: 'checkFormer'});

const restore = (
  change: PrimaryChange,
  database: string | undefined,
): ChangeStep =>
  enter(
    {...change, isDone: database !== change.former},
    ChangePhase.restoring,
    {
      type: 'restore',
      database,
    },
  );

/** Begins an attempt. */
export const beginChange = (former: string | undefined): ChangeStep =>
  stop({phase: ChangePhase.stopping, former, isDone: false});

/** Returns the state after an event and the next effect. */
export function stepChange(
  change: PrimaryChange,
  event: ChangeEvent,
  facts: ChangeFacts,
  rules: ChangeRules = SAFE_CHANGE,
): ChangeStep {
  switch (event.type) {
    case 'leaseLost':
      return end(change, false);
    case 'commitsStopped':
      if (event.isStopped || !rules.waitsForFronts)
        return enter(change, ChangePhase.choosing, {type: 'readLogs'});
      return facts.isLate ? giveUp(change, facts, rules) : check(change);
    case 'logsRead':
      return onLogsRead(change, event, facts, rules);
    case 'ordered': {
      const {database, isAccepted} = event;
      return isAccepted
        ? enter(change, ChangePhase.awaiting, {type: 'awaitLead', database})
        : check(change);
    }
    case 'leadAwaited':
      // If it is not seen, the next attempt begins with its order in doubt.
      return end(change, event.isSeen);
    case 'replicasResumed':
      return facts.isLate ? giveUp(change, facts, rules) : check(change);
    case 'formerChecked':
      return onFormerChecked(change, event, facts, rules);
    case 'restored':
      return end(change, change.isDone);
  }
}

function onLogsRead(
  change: PrimaryChange,
  event: Extract<ChangeEvent, {type: 'logsRead'}>,
  facts: ChangeFacts,
  rules: ChangeRules,
): ChangeStep {
  const {choice, isMoot, isPrimaryEndKnown} = event;
  if (isMoot) return giveUp(change, facts, rules);
  if (choice.kind === 'promote') {
    const {database} = choice;
    return enter(change, ChangePhase.ordering, {type: 'order', database});
  }
  const isWaitingForLogs = choice.kind === 'need_logs' && !isPrimaryEndKnown;
  return isWaitingForLogs && !facts.isLate
    ? check(change)
    : enter(change, ChangePhase.resuming, {type: 'resumeReplicas'});
}

function onFormerChecked(
  change: PrimaryChange,
  {leader, hasRecovered}: Extract<ChangeEvent, {type: 'formerChecked'}>,
  facts: ChangeFacts,
  rules: ChangeRules,
): ChangeStep {
  const isOther = leader !== undefined && leader !== change.former;
  if (isOther) return restore(change, leader);
  return hasRecovered && mayRestore(facts, rules)
    ? restore(change, change.former)
    : stop(change);
}

/**
 * Whether the former primary may take commits again. An order that confirms it
 * may stay unanswered as well, and be executed after that of the other database.
 */
const mayRestore = (
  {isOrderInDoubt}: ChangeFacts,
  {finishesOrdersInDoubt}: ChangeRules,
): boolean => !isOrderInDoubt || !finishesOrdersInDoubt;

/** Undoes the change, unless it has to be finished by the next attempt. */
const giveUp = (
  change: PrimaryChange,
  facts: ChangeFacts,
  rules: ChangeRules,
): ChangeStep =>
  mayRestore(facts, rules)
    ? restore(change, change.former)
    : end(change, false);
