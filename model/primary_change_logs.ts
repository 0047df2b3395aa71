/**
 * How the holder of the coordinator lease reads the logs in the model of a change
 * of primary, and chooses a database.
 */
import {CommitBounds} from '../src/core/commit_positions.js';
import {chooseTakeover, TakeoverChoice} from '../src/core/takeover.js';
import {countsAsMissing, positionAt} from './primary_change_members.js';
import {ChangeModelRules} from './primary_change_rules.js';
import {
  ChangeSystem,
  Holder,
  HolderEvent,
  withHolder,
} from './primary_change_system.js';

interface Choice {
  readonly choice: TakeoverChoice;
  readonly isPrimaryEndKnown: boolean;
}

/** The holder's directory shows which databases to ask for their logs. */
export function beginReading(
  system: ChangeSystem,
  rules: ChangeModelRules,
): ChangeSystem {
  const {databases, holder} = system;
  const former = holder.change?.former;
  const asked = [...databases.keys()].filter(
    id =>
      databases[id].isListed &&
      String(id) !== former &&
      (rules.countsLapsed || !databases[id].hasLapsed),
  );
  const earlierStarts = countEarlierStarts(system, rules);
  return withHolder(system, {progress: 1, asked, earlierStarts});
}

const countEarlierStarts = (
  {gone}: ChangeSystem,
  {countsEarlierStarts}: ChangeModelRules,
): number =>
  gone.filter(({reason}) => reason === 'restartEmpty' && countsEarlierStarts)
    .length;

/** Number of databases that are not listed and whose logs are missing. */
function countGone(
  {gone, holder}: ChangeSystem,
  rules: ChangeModelRules,
): number {
  const {earlierStarts, lengths} = holder;
  return gone.filter(member => {
    const {reason} = member;
    if (reason === 'lapse' && !rules.countsLapsed) return false;
    const isStart = reason === 'restartEmpty';
    const isKnown = rules.countsAfterReading || earlierStarts > 0;
    if (isStart && !(rules.countsEarlierStarts && isKnown)) return false;
    return countsAsMissing(member, lengths, rules);
  }).length;
}

const boundsOf = ({atLeast, atMost}: Holder): CommitBounds => ({
  atLeast: positionAt(atLeast),
  ...(atMost !== undefined && {atMost: positionAt(atMost)}),
});

/** Chooses among the logs that were read. */
export function choose(
  system: ChangeSystem,
  {isEndRead, isLast}: Extract<HolderEvent, {type: 'choose'}>,
  rules: ChangeModelRules,
): Choice {
  const {databases, holder, primary, leads, record} = system;
  const {change, lengths, asked, inDoubt, earlyEnd} = holder;
  const {members} = rules;
  const listed = asked.filter(
    id => !databases[id].hasLapsed || lengths[id] !== undefined,
  );
  const size = listed.length + 1 + (isLast ? 0 : countGone(system, rules));
  const former = change?.former;
  if (leads && String(primary) !== former)
    return {
      choice: {kind: 'need_logs', missing: size - 1},
      isPrimaryEndKnown: false,
    };
  const logs = lengths.flatMap((length, id) =>
    length === undefined
      ? []
      : [
          {
            database: String(id),
            position: positionAt(length),
            leaving: databases[id].hasLapsed || databases[id].isLeaving,
          },
        ],
  );
  const acknowledged = isLast ? {} : boundsOf(holder);
  const group = {size, syncReplicas: 1, acknowledged};
  const preference = {
    ...(inDoubt === undefined ? {} : {ordered: String(inDoubt)}),
    mayPromoteLeaving: members.promotesLeaving && !(isEndRead && leads),
  };
  const choice = chooseTakeover(group, logs, members.takeover, preference);
  const isOnlyPrimary = !record || record.database === former;
  if (choice.kind !== 'need_logs' || !isEndRead || !leads || !isOnlyPrimary)
    return {choice, isPrimaryEndKnown: false};
  const end = rules.readsEndLate ? databases[primary].log.length : earlyEnd;
  const primaryEnd = positionAt(end);
  return {
    choice: chooseTakeover(
      {...group, primaryEnd},
      logs,
      members.takeover,
      preference,
    ),
    isPrimaryEndKnown: true,
  };
}
