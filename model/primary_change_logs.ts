/**
 * How the holder of the coordinator lease reads the logs in the model of a change
 * of primary, and chooses a database.
 */
import {chooseTakeover, TakeoverChoice} from '../src/core/takeover.js';
import {
  ChangeModelRules,
  ChangeSystem,
  withHolder,
} from './primary_change_system.js';

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
  {disturbed}: ChangeSystem,
  {countsEarlierStarts}: ChangeModelRules,
): number => Number(countsEarlierStarts && disturbed.includes('restartEmpty'));

/** Chooses among the logs that were read. */
export function choose(
  system: ChangeSystem,
  isEndRead: boolean,
  rules: ChangeModelRules,
): {choice: TakeoverChoice; isPrimaryEndKnown: boolean} {
  const {databases, holder, primary, leads, record} = system;
  const {change, lengths, asked, inDoubt, earlyEnd} = holder;
  const earlierStarts = rules.countsAfterReading
    ? countEarlierStarts(system, rules)
    : holder.earlierStarts;
  const size = asked.length + 1 + earlierStarts;
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
            position: {term: 1, offset: length},
            leaving: databases[id].hasLapsed,
          },
        ],
  );
  const group = {size, syncReplicas: 1};
  const ordered = inDoubt === undefined ? {} : {ordered: String(inDoubt)};
  const choice = chooseTakeover(group, logs, undefined, ordered);
  const isOnlyPrimary = !record || record.database === former;
  if (choice.kind !== 'need_logs' || !isEndRead || !leads || !isOnlyPrimary)
    return {choice, isPrimaryEndKnown: false};
  const end = rules.readsEndLate ? databases[primary].log.length : earlyEnd;
  const primaryEnd = {term: 1, offset: end};
  return {
    choice: chooseTakeover({...group, primaryEnd}, logs, undefined, ordered),
    isPrimaryEndKnown: true,
  };
}
