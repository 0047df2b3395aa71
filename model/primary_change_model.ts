/**
 * Model of a change of primary on a platform with fencing. The holder of the
 * coordinator lease carries out the effects of the state machine in
 * `core/primary_change.ts`, each in several steps, between which replicas join
 * and restart, orders are executed late, and the holder may be replaced.
 *
 * Assumed, not explored: the directory by which the logs are read is as new as
 * the record that stops commits, and the holder knows the databases that have
 * gone, unless all fronts report what they acknowledged (`ALL_REPORTED` in
 * `primary_change_member_checks.ts`). The holder waits up to 250 ms for the
 * directory; if its view arrives later, it may be older. The limit of the wait
 * for logs is longer than any outage of a database that ends.
 */
import {Model} from './explore.js';
import {nextWrite, stepHolder} from './primary_change_holder.js';
import {holderEvents} from './primary_change_holder_events.js';
import {
  endDatabase,
  endFront,
  forget,
  isSampleUseful,
  losePrimary,
  sample,
  takeEffect,
  withGone,
} from './primary_change_members.js';
import {ChangeModelRules, Disturbance} from './primary_change_rules.js';
import {
  canAnswer,
  canReceive,
  ChangeModelEvent,
  ChangeSystem,
  changeHolder,
  CUT_OFF,
  expireView,
  INITIAL_SYSTEM,
  isLeading,
  JOINING,
  mayAcknowledge,
  maySend,
  replaceAt,
  showRecord,
  withCommit,
  withDatabase,
  writeRecord,
} from './primary_change_system.js';

const MAX_COMMITS = 2;
const MAX_HOLDER_CHANGES = 2;

/** `prefix`: events from which the exploration begins. */
export function primaryChangeModel(
  name: string,
  rules: ChangeModelRules,
  prefix: readonly ChangeModelEvent[] = [],
): Model<ChangeSystem, ChangeModelEvent> {
  return {
    name,
    initial: prefix.reduce((system, event) => {
      const isEnabled = enabledEvents(system, rules).some(
        enabled => JSON.stringify(enabled) === JSON.stringify(event),
      );
      if (!isEnabled)
        throw new Error(`${name}: ${JSON.stringify(event)} is not enabled`);
      return step(system, event, rules);
    }, INITIAL_SYSTEM),
    enabled: system => enabledEvents(system, rules),
    step: (system, event) => step(system, event, rules),
    invariants: {
      /** The primary holds every acknowledged commit that could be kept. */
      acknowledgedCommitsLead: ({commits, databases, primary, excused}) =>
        commits.every(
          ({stage}, id) =>
            stage !== 'acknowledged' ||
            databases[primary].log.includes(id) ||
            excused.includes(id),
        ),
    },
    fingerprint: system => JSON.stringify(system),
  };
}

function enabledEvents(
  system: ChangeSystem,
  rules: ChangeModelRules,
): ChangeModelEvent[] {
  const {fronts, commits, databases, orders, primary, leads} = system;
  const events: ChangeModelEvent[] = [];
  fronts.forEach(({isCurrent, isFresh, hasEnded}, front) => {
    const hasRoom = leads && commits.length < MAX_COMMITS;
    const isSender = front !== CUT_OFF || rules.members.silentFrontCommits;
    if (hasRoom && isSender && maySend(system, front, primary, rules))
      events.push({type: 'commit', front});
    if (!hasEnded && (!isCurrent || !isFresh))
      events.push({type: 'show', front});
    if (front === CUT_OFF && isFresh && !isCurrent)
      events.push({type: 'expireView'});
  });
  commits.forEach((sent, commit) => {
    if (canAnswer(system, commit)) events.push({type: 'answer', commit});
    if (sent.stage === 'answered' && mayAcknowledge(system, sent, rules))
      events.push({type: 'acknowledge', commit});
  });
  databases.forEach((_, database) => {
    if (canReceive(system, database)) events.push({type: 'deliver', database});
    for (const type of rules.disturbances)
      if (canDisturb(system, database, type)) events.push({type, database});
  });
  if (databases[JOINING].isRunning && !databases[JOINING].isListed)
    events.push({type: 'list'});
  orders.forEach(({isAwaited}, order) => {
    events.push({type: 'execute', order, isAnswered: false});
    if (isAwaited) events.push({type: 'execute', order, isAnswered: true});
  });
  if (system.executed.length > 0) events.push({type: 'takeEffect'});
  if (isSampleUseful(system) && rules.members.countsUntilSampled)
    events.push({type: 'sample'});
  const isForgettable = system.gone.some(({isForgotten}) => !isForgotten);
  if (isForgettable && rules.members.countsForSomeTime)
    events.push({type: 'forget'});
  if (canEndFront(system, rules)) events.push({type: 'endFront'});
  if (system.holderChanges < MAX_HOLDER_CHANGES)
    events.push({type: 'changeHolder'});
  if (system.lateWrite && !rules.comparesWrites)
    events.push({type: 'lateWrite'});
  return [...events, ...holderEvents(system, rules)];
}

const canEndFront = (
  {disturbed, fronts}: ChangeSystem,
  {disturbances}: ChangeModelRules,
): boolean =>
  disturbances.includes('endFront') &&
  !disturbed.includes('endFront') &&
  !fronts[CUT_OFF].hasEnded;

/**
 * Whether something may happen to a replica. A database that loses its log after
 * it was chosen cannot be told from one that still has it.
 */
function canDisturb(
  system: ChangeSystem,
  database: number,
  type: Disturbance,
): boolean {
  const {isRunning, isPaused, isLeaving, log} = system.databases[database];
  if (system.disturbed.includes(type)) return false;
  if (type === 'endFront') return false;
  if (type === 'join') return database === JOINING;
  if (type === 'losePrimary') return isLeading(system, database);
  if (!isRunning || isLeading(system, database)) return false;
  if (type === 'restart') return isPaused;
  if (type === 'lapse') return true;
  if (type === 'leave') return !isLeaving;
  if (type === 'end') return database !== system.primary;
  const {lengths, effect} = system.holder;
  const isChosen =
    lengths[database] !== undefined ||
    system.executed.includes(database) ||
    system.orders.some(order => order.database === database) ||
    (effect?.type === 'order' && effect.database === `${database}`);
  return !isChosen && log.length > 0 && database !== system.primary;
}

function step(
  system: ChangeSystem,
  event: ChangeModelEvent,
  rules: ChangeModelRules,
): ChangeSystem {
  switch (event.type) {
    case 'commit': {
      const {primary, commits, databases} = system;
      const log = [...databases[primary].log, commits.length];
      const sent = {
        database: primary,
        front: event.front,
        stage: 'sent',
        atLeast: log.length - Number(!rules.members.knowsEndBefore),
        atMost: 0,
      } as const;
      return withDatabase({...system, commits: [...commits, sent]}, primary, {
        log,
      });
    }
    case 'deliver': {
      const {length} = system.databases[event.database].log;
      const log = system.databases[system.primary].log.slice(0, length + 1);
      return withDatabase(system, event.database, {log});
    }
    case 'answer':
      return withCommit(system, event.commit, {
        stage: 'answered',
        atMost: system.databases[system.primary].log.length,
      });
    case 'acknowledge':
      return acknowledge(system, event.commit);
    case 'show':
      return showRecord(system, event.front);
    case 'expireView':
      return expireView(system, CUT_OFF);
    case 'list':
      return withDatabase(system, JOINING, {isListed: true});
    case 'join':
    case 'restart':
    case 'restartEmpty':
    case 'lapse':
    case 'leave':
    case 'end':
    case 'losePrimary':
      return disturb(system, event.type, event.database, rules);
    case 'sample':
      return sample(system);
    case 'forget':
      return forget(system);
    case 'endFront':
      return endFront(system, CUT_OFF);
    case 'takeEffect':
      return takeEffect(system);
    case 'lateWrite':
      return system.lateWrite
        ? {...writeRecord(system, system.lateWrite), lateWrite: undefined}
        : system;
    case 'changeHolder':
      return {
        ...changeHolder(system, rules),
        lateWrite: rules.comparesWrites ? undefined : nextWrite(system, rules),
      };
    default:
      return stepHolder(system, event, rules);
  }
}

function acknowledge(system: ChangeSystem, commit: number): ChangeSystem {
  const {front, atLeast, atMost} = system.commits[commit];
  const known = system.fronts[front];
  return {
    ...withCommit(system, commit, {stage: 'acknowledged'}),
    fronts: replaceAt(system.fronts, front, {
      atLeast: Math.max(known.atLeast, atLeast),
      atMost: Math.max(known.atMost, atMost),
    }),
  };
}

function disturb(
  system: ChangeSystem,
  type: Exclude<Disturbance, 'endFront'>,
  database: number,
  rules: ChangeModelRules,
): ChangeSystem {
  const disturbed = [...system.disturbed, type].sort();
  const next = {...system, disturbed};
  switch (type) {
    case 'join':
      return withDatabase(next, database, {isRunning: true});
    case 'restart':
      return withDatabase(next, database, {isPaused: false});
    case 'restartEmpty':
      return withGone(
        withDatabase(next, database, {isPaused: false, log: []}),
        database,
        type,
        rules,
      );
    case 'lapse':
      return withGone(
        withDatabase(next, database, {hasLapsed: true}),
        database,
        type,
        rules,
      );
    case 'leave':
      return withDatabase(next, database, {isLeaving: true});
    case 'end':
      return endDatabase(next, database, rules);
    case 'losePrimary':
      return losePrimary(next);
  }
}
