/**
 * Databases that leave, lapse or are lost in the model of a change of primary,
 * what fronts know of acknowledged commits, and which loss counts as avoidable.
 */
import {combineReports} from '../src/core/commit_positions.js';
import {isAccountedFor} from '../src/core/former_members.js';
import {Position} from '../src/core/position.js';
import {PositionSample} from '../src/core/routing.js';
import {ChangeModelRules} from './primary_change_rules.js';
import {
  ChangeSystem,
  GoneDatabase,
  replaceAt,
  withDatabase,
  withHolder,
} from './primary_change_system.js';

/**
 * The oldest executed promotion takes effect; other logs are rolled back.
 *
 * A missing commit is excused if all databases with it have ended for good and
 * no log with it was refused earlier in favour of none: no rule could keep it.
 */
export function takeEffect(system: ChangeSystem): ChangeSystem {
  const [primary, ...executed] = system.executed;
  const waitsFor = Math.max(0, system.holder.waitsFor - 1);
  const next = withHolder({...system, executed}, {waitsFor});
  if (!system.databases[primary].isRunning) return next;
  const {log} = system.databases[primary];
  const isLostForGood = (id: number): boolean =>
    id >= system.refusedEnd &&
    !system.databases.some(other => other.isRunning && other.log.includes(id));
  const excused = system.commits.flatMap(({stage}, id) =>
    stage === 'acknowledged' && isLostForGood(id) ? [id] : [],
  );
  // A position of an earlier term is below all of the new one.
  const inTerm = (end: number): number => Math.min(end, log.length);
  const {atLeast, atMost} = system.holder;
  return {
    ...withHolder(next, {
      atLeast: inTerm(atLeast),
      atMost: atMost === undefined ? undefined : inTerm(atMost),
    }),
    primary,
    leads: true,
    excused: [...new Set([...system.excused, ...excused])],
    refusedEnd: 0,
    fronts: system.fronts.map(front => ({
      ...front,
      atLeast: inTerm(front.atLeast),
      atMost: inTerm(front.atMost),
      sampledAfter:
        front.sampledAfter === undefined
          ? undefined
          : inTerm(front.sampledAfter),
    })),
    gone: system.gone.map(gone => ({
      ...gone,
      sampled: gone.sampled === undefined ? undefined : inTerm(gone.sampled),
    })),
    databases: system.databases.map(database => ({
      ...database,
      log: database.log.filter((id, at) => log[at] === id),
      isPaused: false,
    })),
  };
}

export const withGone = (
  system: ChangeSystem,
  database: number,
  reason: GoneDatabase['reason'],
  {members}: ChangeModelRules,
): ChangeSystem => {
  const sampled = members.samplesAfterGone ? undefined : 0;
  const gone = {database, reason, sampled, isForgotten: false};
  return {...system, gone: [...system.gone, gone]};
};

/** A database ends for good. */
export const endDatabase = (
  system: ChangeSystem,
  database: number,
  rules: ChangeModelRules,
): ChangeSystem =>
  withGone(
    withDatabase(system, database, {isRunning: false, isListed: false}),
    database,
    'end',
    rules,
  );

/** The primary ends for good; the directory goes on showing its entry. */
export const losePrimary = (system: ChangeSystem): ChangeSystem =>
  withDatabase({...system, leads: false}, system.primary, {isRunning: false});

export const endFront = (
  system: ChangeSystem,
  front: number,
): ChangeSystem => ({
  ...system,
  disturbed: [...system.disturbed, 'endFront' as const].sort(),
  fronts: replaceAt(system.fronts, front, {
    isFresh: false,
    hasEnded: true,
    atLeast: 0,
    atMost: 0,
  }),
});

/** Whether a sample of the primary's log would tell a front anything. */
export const isSampleUseful = ({leads, gone, fronts}: ChangeSystem): boolean =>
  leads &&
  (gone.some(({sampled}) => sampled === undefined) ||
    fronts.some(
      ({hasEnded, sampledAfter}) => hasEnded && sampledAfter === undefined,
    ));

export function sample(system: ChangeSystem): ChangeSystem {
  const {length} = system.databases[system.primary].log;
  return {
    ...system,
    gone: system.gone.map(gone => ({
      ...gone,
      sampled: gone.sampled ?? length,
    })),
    fronts: system.fronts.map(front =>
      front.hasEnded
        ? {...front, sampledAfter: front.sampledAfter ?? length}
        : front,
    ),
  };
}

export const forget = (system: ChangeSystem): ChangeSystem => ({
  ...system,
  gone: system.gone.map(gone => ({...gone, isForgotten: true})),
});

/** All logs of the model are of one term; see `takeEffect`. */
export const positionAt = (offset: number): Position => ({term: 1, offset});

const START_MS = 0;
/** When the process of a front, or a database, has ended. */
const ENDED_MS = 1;
const SAMPLED_MS = 2;

const samplesOf = (sampled: number | undefined): PositionSample[] =>
  sampled === undefined
    ? []
    : [{atMs: SAMPLED_MS, position: positionAt(sampled)}];

/** The holder learns what was acknowledged, once fronts have stopped commits. */
export function collectReports(
  system: ChangeSystem,
  {members}: ChangeModelRules,
): ChangeSystem {
  const {fronts} = system;
  const reporting = fronts.filter(
    ({isCurrent, hasEnded}) => isCurrent && !hasEnded,
  );
  const ended = fronts.filter(({hasEnded}) => hasEnded);
  const isComplete =
    !members.needsAllFronts ||
    reporting.length + ended.length === fronts.length;
  const hasLost = ended.length > 0 && members.countsEndedFronts;
  const samples = [
    {atMs: START_MS, position: positionAt(0)},
    ...ended.flatMap(({sampledAfter}) => samplesOf(sampledAfter)),
  ];
  const reports = reporting.map(({atLeast, atMost}) => ({
    atLeast: positionAt(atLeast),
    atMost: positionAt(atMost),
    samples,
    sinceMs: START_MS,
  }));
  const lostAtMs = hasLost ? ENDED_MS : START_MS;
  const known = combineReports(reports, isComplete ? lostAtMs : Infinity);
  return withHolder(system, {
    atLeast: known.atLeast?.offset ?? 0,
    atMost: known.atMost?.offset,
  });
}

/** Whether a database that is gone is to be counted with the missing logs. */
export function countsAsMissing(
  {database, reason, sampled, isForgotten}: GoneDatabase,
  lengths: ReadonlyArray<number | undefined>,
  {members}: ChangeModelRules,
): boolean {
  const isRead = lengths[database] !== undefined;
  if (isForgotten || !members.countsGone) return false;
  if (isRead && reason !== 'restartEmpty') return false;
  if (!members.countsUntilSampled) return true;
  const mayReceive = reason === 'lapse' && members.countsWhileRunning;
  const goneSinceMs = mayReceive ? undefined : ENDED_MS;
  const ends = lengths.flatMap(length =>
    length === undefined ? [] : [positionAt(length)],
  );
  return !isAccountedFor({goneSinceMs}, ends, samplesOf(sampled));
}

/**
 * Whether all databases that run have been read, so that waiting longer brings
 * no further log. The limit of the wait is assumed to be longer than any outage
 * that ends.
 */
export const areAllRead = ({databases, holder}: ChangeSystem): boolean =>
  databases.every(
    ({isRunning}, id) => !isRunning || holder.lengths[id] !== undefined,
  );

/** Notes the longest log that was read, if there is no primary any more. */
export const noteRefused = (system: ChangeSystem): ChangeSystem =>
  system.databases[system.primary].isRunning
    ? system
    : {
        ...system,
        refusedEnd: Math.max(
          system.refusedEnd,
          ...system.holder.lengths.map(length => length ?? 0),
        ),
      };
