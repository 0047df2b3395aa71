/**
 * What the holder of the coordinator lease may do next in the model of a change
 * of primary.
 */
import {mayCommit} from '../src/core/leader_record.js';
import {areAllRead} from './primary_change_members.js';
import {ChangeModelRules} from './primary_change_rules.js';
import {
  ChangeSystem,
  CUT_OFF,
  HolderEvent,
  isLeading,
  isObeyed,
} from './primary_change_system.js';

const MAX_ORDERS_IN_FLIGHT = 2;
const MAX_ORDERS = 4;
const MAX_ATTEMPTS = 3;

/** Events of the holder: what may happen next in its effect. */
export function holderEvents(
  system: ChangeSystem,
  rules: ChangeModelRules,
): HolderEvent[] {
  const {holder, databases, record, orders} = system;
  const {effect, progress, lengths, asked} = holder;
  if (!effect) return idleEvents(system);
  const timeOuts: HolderEvent[] = [
    {type: 'timeOut', isLate: false},
    {type: 'timeOut', isLate: true},
  ];
  const canSend =
    orders.length < MAX_ORDERS_IN_FLIGHT && system.ordersSent < MAX_ORDERS;
  switch (effect.type) {
    case 'stopCommits': {
      if (progress === 0) return [{type: 'proceed'}];
      if (isObeyed(system) || mayEndByStepDown(system, rules))
        return [...timeOuts, {type: 'proceed'}];
      const former = holder.change?.former;
      const isOnlyAtFormer = !record || record.database === former;
      return former !== undefined && isOnlyAtFormer
        ? [...timeOuts, {type: 'stepDown'}]
        : timeOuts;
    }
    case 'readLogs': {
      if (progress === 0) {
        const isShown = databases.every(
          ({isRunning, isListed}) => !isRunning || isListed,
        );
        return isShown || !rules.readsNewDirectory ? [{type: 'proceed'}] : [];
      }
      const unread = asked.filter(
        id => lengths[id] === undefined && databases[id].isRunning,
      );
      return [
        ...unread.map(database => ({type: 'readLog', database}) as const),
        {type: 'choose', isEndRead: false},
        {type: 'choose', isEndRead: true},
        ...lastChoices(system, rules),
      ];
    }
    case 'order':
      if (progress === 2) return timeOuts;
      return progress === 0 || canSend ? [{type: 'proceed'}] : [];
    case 'restore':
      return restoreEvents(system, canSend, rules);
    case 'awaitLead': {
      const isSeen = isLeading(system, Number(effect.database));
      const mayProceed = progress === 0 ? isSeen : holder.waitsFor === 0;
      return mayProceed
        ? [{type: 'proceed'}, {type: 'timeOut'}]
        : [{type: 'timeOut'}];
    }
    case 'resumeReplicas':
      return [
        {type: 'proceed', isLate: false},
        {type: 'proceed', isLate: true},
      ];
    case 'checkFormer':
      return [
        {type: 'check', hasRecovered: false},
        {type: 'check', hasRecovered: true},
      ];
  }
}

function restoreEvents(
  system: ChangeSystem,
  canSend: boolean,
  rules: ChangeModelRules,
): HolderEvent[] {
  const {holder} = system;
  switch (holder.progress) {
    case 1: {
      const {isStopObeyed} = holder;
      const mayConfirm =
        isStopObeyed || isObeyed(system) || !rules.confirmsWhenObeyed;
      return mayConfirm
        ? [{type: 'proceed'}, {type: 'timeOut'}]
        : [{type: 'timeOut'}];
    }
    case 2:
      return canSend ? [{type: 'proceed'}] : [];
    case 3:
      return [{type: 'timeOut'}];
    default:
      return holder.waitsFor === 0 ? [{type: 'proceed'}] : [];
  }
}

const mayEndByStepDown = (
  {holder, fronts}: ChangeSystem,
  {members}: ChangeModelRules,
): boolean =>
  holder.hasSteppedDown &&
  (!members.asksFrontsFirst ||
    fronts.every(
      ({isCurrent, hasEnded}, front) =>
        front === CUT_OFF || isCurrent || hasEnded,
    ));

/** A choice after the longest wait for a log with all acknowledged commits. */
const lastChoices = (
  system: ChangeSystem,
  {members}: ChangeModelRules,
): HolderEvent[] =>
  members.countsUntilSampled && areAllRead(system)
    ? [{type: 'choose', isEndRead: false, isLast: true}]
    : [];

function idleEvents(system: ChangeSystem): HolderEvent[] {
  const {record, primary, leads} = system;
  if (system.attempts >= MAX_ATTEMPTS) return [];
  const isOver =
    !record || (record.settled && mayCommit(record, String(primary)));
  const mayRestore = leads && !isOver && !isInDoubt(system, String(primary));
  return mayRestore
    ? [{type: 'begin'}, {type: 'restoreCommits'}]
    : [{type: 'begin'}];
}

/** Whether an order for another database than `leader` may be executed. */
export function isInDoubt(
  {holder: {inDoubt, isNew, hasAnswer}}: ChangeSystem,
  leader: string | undefined,
): boolean {
  const isOther = inDoubt !== undefined && String(inDoubt) !== leader;
  return isOther || (isNew && !hasAnswer);
}
