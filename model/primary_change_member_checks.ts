/**
 * The models of a change of primary in which one database alone holds the newest
 * acknowledged commits and leaves, lapses, ends, or is not listed yet.
 */
import {SAFE_TAKEOVER} from '../src/core/takeover.js';
import {Model} from './explore.js';
import {primaryChangeModel} from './primary_change_model.js';
import {
  ALONE,
  ALONE_ENDED,
  ALONE_FRONT_ENDED,
  ALONE_LEAVING,
  ALONE_REFUSED,
  ALONE_STEPPED_DOWN,
  ALONE_UNLISTED,
  ALONE_UNREPORTED,
  ALONE_UNREPORTED_ENDED,
  ALONE_UNREPORTED_LAPSED,
} from './primary_change_prefixes.js';
import {
  COUNTED_MEMBERS,
  Disturbance,
  MemberRules,
  SAFE_CHANGE_RULES,
  SAFE_MEMBERS,
} from './primary_change_rules.js';
import {ChangeModelEvent, ChangeSystem} from './primary_change_system.js';

const DISTURBANCES: readonly Disturbance[] = [
  'join',
  'lapse',
  'leave',
  'end',
  'losePrimary',
  'endFront',
];

type MemberModel = Model<ChangeSystem, ChangeModelEvent>;

const isDisturbance = (type: string): type is Disturbance =>
  DISTURBANCES.some(known => known === type);

/**
 * Every commit is acknowledged by a front that reports it. Then no commit is lost
 * whatever the holder knows of databases that have gone, or are not listed yet.
 */
const ALL_REPORTED: Partial<MemberRules> = {
  silentFrontCommits: false,
  asksFrontsFirst: true,
  countsForSomeTime: true,
  knowsEarlierGone: false,
};

const modelOf = (
  name: string,
  prefix: readonly ChangeModelEvent[],
  disturbances: readonly Disturbance[],
  changes: Partial<MemberRules>,
): MemberModel => {
  const members = {...SAFE_MEMBERS, ...changes};
  const readsNewDirectory = members.silentFrontCommits;
  return primaryChangeModel(
    name,
    {...SAFE_CHANGE_RULES, disturbances, readsNewDirectory, members},
    prefix,
  );
};

/** Everything that may happen to databases happens at most once. */
const members = (
  name: string,
  prefix: readonly ChangeModelEvent[],
  changes: Partial<MemberRules> = {},
): MemberModel => modelOf(name, prefix, DISTURBANCES, changes);

/** Nothing happens to databases but what is in the prefix. */
const mutant = (
  name: string,
  prefix: readonly ChangeModelEvent[],
  changes: Partial<MemberRules>,
): MemberModel => {
  const disturbances = prefix.map(({type}) => type).filter(isDisturbance);
  return modelOf(name, prefix, disturbances, changes);
};

/**
 * The models with the rules used in production. Where a front does not report
 * what it acknowledged, the databases that have gone must be known and count.
 */
export const memberModels = (): MemberModel[] => [
  members('one replica alone has a commit', ALONE, ALL_REPORTED),
  members('one alone has a commit and ends', ALONE_ENDED, ALL_REPORTED),
  members('one alone has a commit and leaves', ALONE_LEAVING, ALL_REPORTED),
  members('an unlisted one alone has a commit', ALONE_UNLISTED, ALL_REPORTED),
  members('one alone has a commit, its front has ended', ALONE_FRONT_ENDED),
  members('one alone has a commit that is not reported', ALONE_UNREPORTED),
  members(
    'one alone has a commit that is not reported, and ends',
    ALONE_UNREPORTED_ENDED,
  ),
  members(
    'one alone has a commit that is not reported, and has lapsed',
    ALONE_UNREPORTED_LAPSED,
  ),
];

const PROMOTES_INCOMPLETE: Partial<MemberRules> = {
  takeover: {...SAFE_TAKEOVER, isIncomplete: () => false},
};

/** The former rules, and models with one weakened rule each. */
export const memberMutants = (): MemberModel[] => [
  mutant('logs are counted, one ends', ALONE_ENDED, COUNTED_MEMBERS),
  mutant('logs are counted, one leaves', ALONE_REFUSED, COUNTED_MEMBERS),
  mutant('logs are counted, one is unlisted', ALONE_UNLISTED, {
    ...COUNTED_MEMBERS,
    silentFrontCommits: false,
  }),
  mutant('a leaving database is never promoted', ALONE_REFUSED, {
    promotesLeaving: false,
  }),
  mutant(
    'a log that lacks an acknowledged commit is promoted',
    ALONE_UNLISTED,
    {...ALL_REPORTED, ...PROMOTES_INCOMPLETE},
  ),
  mutant(
    'a front knows an older end of the log when it sends a commit',
    ALONE_UNLISTED,
    {...ALL_REPORTED, knowsEndBefore: false},
  ),
  mutant('a step-down replaces the reports of fronts', ALONE_STEPPED_DOWN, {
    ...ALL_REPORTED,
    asksFrontsFirst: false,
  }),
  mutant(
    'the acknowledged end is taken from some fronts only',
    ALONE_UNREPORTED,
    {needsAllFronts: false},
  ),
  mutant(
    'the acknowledged end is taken without fronts that have ended',
    ALONE_FRONT_ENDED,
    {countsEndedFronts: false},
  ),
  mutant(
    'a database that is gone stops counting at once',
    ALONE_UNREPORTED_ENDED,
    {countsGone: false},
  ),
  mutant(
    'the log is sampled before a database has gone',
    ALONE_UNREPORTED_ENDED,
    {samplesAfterGone: false},
  ),
  mutant(
    'a database that has lapsed may be accounted for',
    ALONE_UNREPORTED_LAPSED,
    {countsWhileRunning: false},
  ),
];
