/**
 * Model of a change of primary on a platform with fencing. The holder of the
 * coordinator lease carries out the effects of the state machine in
 * `core/primary_change.ts`, each in several steps, between which replicas join
 * and restart, orders are executed late, and the holder may be replaced.
 *
 * Assumed, not explored: the directory by which the logs are read is as new as
 * the record that stops commits (`readsNewDirectory`). The holder waits up to
 * 250 ms for that; if its view arrives later, the directory may be older.
 */
import {CommitRule, orderRecord} from '../src/core/leader_record.js';
import {SAFE_CHANGE} from '../src/core/primary_change.js';
import {Model} from './explore.js';
import {nextWrite, stepHolder} from './primary_change_holder.js';
import {holderEvents} from './primary_change_holder_events.js';
import {
  canAnswer,
  canReceive,
  ChangeModelEvent,
  ChangeModelRules,
  ChangeSystem,
  changeHolder,
  Disturbance,
  expireView,
  INITIAL_SYSTEM,
  isLeading,
  JOINING,
  mayAcknowledge,
  maySend,
  showRecord,
  takeEffect,
  withCommit,
  withDatabase,
  writeRecord,
} from './primary_change_system.js';

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
};

const MAX_COMMITS = 2;
const MAX_HOLDER_CHANGES = 2;
/** The front that may be cut off from the store and the holder. */
const CUT_OFF = 1;

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
      /** The leading database holds every acknowledged commit. */
      acknowledgedCommitsLead: ({commits, databases, primary}) =>
        commits.every(
          ({stage}, id) =>
            stage !== 'acknowledged' || databases[primary].log.includes(id),
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
  fronts.forEach(({isCurrent, isFresh}, front) => {
    const hasRoom = leads && commits.length < MAX_COMMITS;
    if (hasRoom && maySend(system, front, primary, rules))
      events.push({type: 'commit', front});
    if (!isCurrent || !isFresh) events.push({type: 'show', front});
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
  if (system.holderChanges < MAX_HOLDER_CHANGES)
    events.push({type: 'changeHolder'});
  if (system.lateWrite && !rules.comparesWrites)
    events.push({type: 'lateWrite'});
  return [...events, ...holderEvents(system, rules)];
}

/**
 * Whether something may happen to a replica. A database that loses its log after
 * it was chosen cannot be told from one that still has it.
 */
function canDisturb(
  system: ChangeSystem,
  database: number,
  type: Disturbance,
): boolean {
  const {isRunning, isPaused, log} = system.databases[database];
  if (system.disturbed.includes(type)) return false;
  if (type === 'join') return database === JOINING;
  if (!isRunning || isLeading(system, database)) return false;
  if (type === 'restart') return isPaused;
  if (type === 'lapse') return true;
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
      return withCommit(system, event.commit, 'answered');
    case 'acknowledge':
      return withCommit(system, event.commit, 'acknowledged');
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
      return disturb(system, event.type, event.database);
    case 'takeEffect':
      return takeEffect(system);
    case 'lateWrite':
      return system.lateWrite
        ? {...writeRecord(system, system.lateWrite), lateWrite: undefined}
        : system;
    case 'changeHolder':
      return {
        ...changeHolder(system),
        lateWrite: rules.comparesWrites ? undefined : nextWrite(system, rules),
      };
    default:
      return stepHolder(system, event, rules);
  }
}

function disturb(
  system: ChangeSystem,
  type: Disturbance,
  database: number,
): ChangeSystem {
  const disturbed = [...system.disturbed, type].sort();
  const changes = {
    join: {isRunning: true},
    restart: {isPaused: false},
    restartEmpty: {isPaused: false, log: []},
    lapse: {hasLapsed: true},
  };
  return withDatabase({...system, disturbed}, database, changes[type]);
}
