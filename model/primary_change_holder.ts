/**
 * The holder of the coordinator lease in the model of a change of primary. It
 * carries out the effects of `core/primary_change.ts`, each in several steps.
 */
import {
  CommitRule,
  hasStoppedCommits,
  isPromotionAllowed,
  LeaderRecord,
  mayCommit,
  stoppedRecord,
} from '../src/core/leader_record.js';
import {
  beginChange,
  ChangeEvent,
  ChangePhase,
  stepChange,
} from '../src/core/primary_change.js';
import {isInDoubt} from './primary_change_holder_events.js';
import {beginReading, choose} from './primary_change_logs.js';
import {collectReports, noteRefused} from './primary_change_members.js';
import {ChangeModelRules} from './primary_change_rules.js';
import {
  ChangeSystem,
  executeOrder,
  HolderEvent,
  isLeading,
  NO_LENGTHS,
  SERVICE,
  withDatabase,
  withHolder,
  writeRecord,
} from './primary_change_system.js';

export function stepHolder(
  system: ChangeSystem,
  event: HolderEvent,
  rules: ChangeModelRules,
): ChangeSystem {
  switch (event.type) {
    case 'begin':
      return begin(system);
    case 'restoreCommits':
      return beginRestore(system);
    case 'stepDown': {
      const isFormer = system.holder.change?.former === String(system.primary);
      const leads = system.leads && !isFormer;
      return withHolder({...system, leads}, {hasSteppedDown: true});
    }
    case 'readLog': {
      const {database} = event;
      const lengths = system.holder.lengths.map((length, at) =>
        at === database ? system.databases[at].log.length : length,
      );
      const read = withHolder(system, {lengths});
      return isLeading(system, database)
        ? read
        : withDatabase(read, database, {isPaused: true});
    }
    case 'choose': {
      const {choice, isPrimaryEndKnown} = choose(system, event, rules);
      const read = {type: 'logsRead', choice, isPrimaryEndKnown} as const;
      const noted = choice.kind === 'catch_up' ? noteRefused(system) : system;
      return advance(noted, {...read, isMoot: false}, rules);
    }
    case 'check': {
      const leader = system.leads ? String(system.primary) : undefined;
      const {hasRecovered} = event;
      const checked = {type: 'formerChecked', leader, hasRecovered} as const;
      return advance(system, checked, rules);
    }
    case 'timeOut':
      return timeOut(system, rules, event.isLate);
    case 'proceed':
      return proceed(system, rules, event.isLate);
    case 'execute':
      return execute(system, event, rules);
  }
}

function begin(system: ChangeSystem): ChangeSystem {
  const isLost = !system.databases[system.primary].isRunning;
  const former = system.leads || isLost ? String(system.primary) : undefined;
  const earlyEnd = system.databases[system.primary].log.length;
  return withHolder(
    {...system, attempts: system.attempts + 1},
    {...beginChange(former), progress: 0, earlyEnd, hasSteppedDown: false},
  );
}

function beginRestore(system: ChangeSystem): ChangeSystem {
  const former = String(system.primary);
  const change = {phase: ChangePhase.restoring, former, isDone: false};
  const effect = {type: 'restore', database: former} as const;
  return withHolder(
    {...system, attempts: system.attempts + 1},
    {change, effect, progress: 0},
  );
}

/** Reports the result of an effect to the state machine. */
function advance(
  system: ChangeSystem,
  event: ChangeEvent,
  rules: ChangeModelRules,
  isLate = false,
): ChangeSystem {
  const {change} = system.holder;
  if (!change) return system;
  const isOrderInDoubt = isInDoubt(system, change.former);
  const facts = {isLate, isOrderInDoubt};
  const next = stepChange(change, event, facts, rules.change);
  const isEnded = next.effect === undefined;
  return withHolder(system, {
    change: isEnded ? undefined : next.change,
    effect: next.effect,
    progress: 0,
    lengths: NO_LENGTHS,
    asked: [],
    earlierStarts: 0,
    waitsFor: 0,
    ...(isEnded && {earlyEnd: 0, hasSteppedDown: false}),
  });
}

/** The record that the holder writes next in its effect, if any. */
export function nextWrite(
  system: ChangeSystem,
  rules: ChangeModelRules,
): LeaderRecord | undefined {
  const {holder, record} = system;
  const {effect, progress, change} = holder;
  switch (effect?.type) {
    case 'stopCommits':
      return progress > 0 ? undefined : nextStop(record, change?.former ?? '');
    case 'order':
      return progress > 0
        ? undefined
        : rules.orderRecord(record, SERVICE, effect.database);
    case 'restore':
      return effect.database === undefined
        ? undefined
        : nextRestoreWrite(system, effect.database, rules);
    default:
      return undefined;
  }
}

/** The record that stops commits; undefined if the newest one does. */
const nextStop = (
  record: LeaderRecord | undefined,
  leader: string,
): LeaderRecord | undefined =>
  record && hasStoppedCommits(record)
    ? undefined
    : stoppedRecord(record, SERVICE, leader);

function nextRestoreWrite(
  {holder, record}: ChangeSystem,
  database: string,
  rules: ChangeModelRules,
): LeaderRecord | undefined {
  const settled = {service: SERVICE, database, settled: true};
  switch (holder.progress) {
    case 0:
      return isUnconfirmed(holder, record, database, rules)
        ? nextStop(record, database)
        : settled;
    case 1:
      return confirmationRecord(database, rules);
    case 4:
      return settled;
    default:
      return undefined;
  }
}

const confirmationRecord = (
  database: string,
  {confirmationCommits: commits}: ChangeModelRules,
): LeaderRecord => ({service: SERVICE, database, settled: false, commits});

function proceed(
  system: ChangeSystem,
  rules: ChangeModelRules,
  isLate?: boolean,
): ChangeSystem {
  const {holder} = system;
  const {effect, progress} = holder;
  switch (effect?.type) {
    case 'stopCommits': {
      if (progress > 0 || holder.isStopObeyed)
        return advance(
          withHolder(progress > 0 ? collectReports(system, rules) : system, {
            isStopObeyed: true,
          }),
          {type: 'commitsStopped', isStopped: true},
          rules,
        );
      const record = nextWrite(system, rules);
      const written = record ? writeRecord(system, record) : system;
      return withHolder(written, {progress: 1, hasSteppedDown: false});
    }
    case 'readLogs':
      return beginReading(system, rules);
    case 'order': {
      const {database} = effect;
      if (progress === 1) return sendOrder(system, Number(database));
      const record = rules.orderRecord(system.record, SERVICE, database);
      return withHolder(writeRecord(system, record), {progress: 1});
    }
    case 'awaitLead': {
      const isContested = system.record?.commits === CommitRule.contested;
      if (progress === 0 && isContested && rules.waitsForEffects)
        return waitForEffects(system, 1);
      const isSeen = isLeading(system, Number(effect.database));
      const {inDoubt} = holder;
      const settled = {
        service: SERVICE,
        database: effect.database,
        settled: true,
      };
      const ended =
        isSeen && inDoubt === undefined ? writeRecord(system, settled) : system;
      const resumed = isSeen ? resumeAll(ended) : ended;
      return advance(resumed, {type: 'leadAwaited', isSeen}, rules);
    }
    case 'resumeReplicas':
      return advance(
        resumeAll(system),
        {type: 'replicasResumed'},
        rules,
        isLate,
      );
    case 'restore':
      return restore(system, effect.database, rules);
    default:
      return system;
  }
}

/** The holder gives up waiting. */
function timeOut(
  system: ChangeSystem,
  rules: ChangeModelRules,
  isLate?: boolean,
): ChangeSystem {
  const orders = system.orders.map(order => ({...order, isAwaited: false}));
  const {effect} = system.holder;
  switch (effect?.type) {
    case 'stopCommits': {
      const stopped = {type: 'commitsStopped', isStopped: false} as const;
      return advance(system, stopped, rules, isLate);
    }
    case 'order': {
      const {database} = effect;
      const unanswered = withHolder(
        {...system, orders},
        {inDoubt: Number(database), raisesToken: true},
      );
      const event = {type: 'ordered', database, isAccepted: false} as const;
      return advance(unanswered, event, rules, isLate);
    }
    case 'awaitLead': {
      const unseen = withHolder(system, {raisesToken: true});
      return advance(unseen, {type: 'leadAwaited', isSeen: false}, rules);
    }
    case 'restore': {
      const isOrdered = system.holder.progress > 1;
      const unanswered = isOrdered
        ? withHolder({...system, orders}, {raisesToken: true})
        : system;
      return advance(unanswered, {type: 'restored'}, rules);
    }
    default:
      return system;
  }
}

/** The platform executes an order; its answer may reach the holder. */
function execute(
  system: ChangeSystem,
  {order, isAnswered}: {readonly order: number; readonly isAnswered: boolean},
  rules: ChangeModelRules,
): ChangeSystem {
  const {effect, fencingToken} = system.holder;
  const {system: executed, isRefused} = executeOrder(system, order);
  if (!isAnswered) return executed;
  if (effect?.type === 'restore')
    return isRefused
      ? advance(executed, {type: 'restored'}, rules)
      : rules.waitsForEffects
        ? waitForEffects(executed, 4)
        : withHolder(executed, {progress: 4, waitsFor: 0});
  if (effect?.type !== 'order') return executed;
  const {database} = effect;
  const answered = withHolder(executed, {
    inDoubt: undefined,
    raisesToken: false,
    hasAnswer: true,
    fencingToken: isRefused ? fencingToken + 1 : fencingToken,
  });
  const event = {type: 'ordered', database, isAccepted: !isRefused} as const;
  return advance(answered, event, rules);
}

function sendOrder(system: ChangeSystem, database: number): ChangeSystem {
  const {holder} = system;
  const isRestoring = holder.effect?.type === 'restore';
  const isRaised = holder.raisesToken || isRestoring;
  const fencingToken = holder.fencingToken + Number(isRaised);
  const order = {database, fencingToken, isAwaited: true};
  return withHolder(
    {
      ...system,
      orders: [...system.orders, order],
      ordersSent: system.ordersSent + 1,
    },
    {fencingToken, progress: isRestoring ? 3 : 2},
  );
}

const waitForEffects = (system: ChangeSystem, progress: number): ChangeSystem =>
  withHolder(system, {progress, waitsFor: system.executed.length});

function resumeAll(system: ChangeSystem): ChangeSystem {
  return {
    ...system,
    databases: system.databases.map(database => ({
      ...database,
      isPaused: false,
    })),
  };
}

/** Whether a primary is confirmed by an order before it takes commits. */
function isUnconfirmed(
  {raisesToken, inDoubt, isNew}: ChangeSystem['holder'],
  record: LeaderRecord | undefined,
  database: string,
  {confirmsRestored}: ChangeModelRules,
): boolean {
  const hasOrders = raisesToken || inDoubt !== undefined;
  const mayOthersTakeEffect = record
    ? record.database !== database || record.commits === CommitRule.contested
    : isNew;
  return confirmsRestored && (hasOrders || mayOthersTakeEffect);
}

/**
 * Confirms a primary by an order if needed, once all fronts obey a record that
 * stops commits, then lets it take commits.
 */
function restore(
  system: ChangeSystem,
  database: string | undefined,
  rules: ChangeModelRules,
): ChangeSystem {
  const {holder, record} = system;
  const {progress, inDoubt} = holder;
  const restored = {type: 'restored'} as const;
  if (database === undefined)
    return advance(resumeAll(system), restored, rules);
  const id = Number(database);
  if (progress === 2) return sendOrder(system, id);
  const unconfirmed =
    inDoubt === undefined ? undefined : {database: String(inDoubt), untilMs: 0};
  const isWithheld =
    rules.withholdsInDoubt && !isPromotionAllowed(unconfirmed, database);
  if (progress === 0 && isWithheld) return advance(system, restored, rules);
  if (progress === 0 && isUnconfirmed(holder, record, database, rules)) {
    const stop = nextStop(record, database);
    const written = stop ? writeRecord(system, stop) : system;
    return withHolder(written, {progress: 1});
  }
  const obeyed =
    progress === 1 ? withHolder(system, {isStopObeyed: true}) : system;
  if (progress > 0 && !isLeading(system, id))
    return advance(obeyed, restored, rules);
  if (progress === 1) {
    const confirmation = confirmationRecord(database, rules);
    return withHolder(writeRecord(system, confirmation), {progress: 2});
  }
  const confirmed =
    progress === 4
      ? withHolder(system, {inDoubt: undefined, raisesToken: false})
      : system;
  const isSettled = record?.settled === true && mayCommit(record, database);
  const settled = {service: SERVICE, database, settled: true};
  const written =
    record && !isSettled ? writeRecord(confirmed, settled) : confirmed;
  return advance(resumeAll(written), restored, rules);
}
