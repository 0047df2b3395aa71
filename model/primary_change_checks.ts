/** The models of a change of primary to check, and their mutants. */
import {CommitRule} from '../src/core/leader_record.js';
import {SAFE_CHANGE} from '../src/core/primary_change.js';
import {Model} from './explore.js';
import {primaryChangeModel} from './primary_change_model.js';
import {
  AFTER_AN_EXECUTED_ORDER,
  AFTER_AN_UNANSWERED_ORDER,
  AFTER_READING,
  COMMIT_AFTER_BEGIN,
  CONFIRMING,
  CONFIRMING_BEFORE_AN_EFFECT,
  CUT_OFF_WHILE_READ,
  JOINED_WITH_A_COMMIT,
  LAPSED_WITH_A_COMMIT,
  PROMOTED_BEFORE_ANOTHER,
  READ_WITHOUT_WAIT,
  READING_WITH_A_COMMIT,
  REPLACED_WHILE_RESTORING,
} from './primary_change_prefixes.js';
import {ChangeModelRules, SAFE_CHANGE_RULES} from './primary_change_rules.js';
import {ChangeModelEvent, ChangeSystem} from './primary_change_system.js';

type ChangeModel = Model<ChangeSystem, ChangeModelEvent>;

const change = (
  name: string,
  changes: Partial<ChangeModelRules> = {},
  prefix?: readonly ChangeModelEvent[],
): ChangeModel =>
  primaryChangeModel(name, {...SAFE_CHANGE_RULES, ...changes}, prefix);

/** The models with the rules used in production. */
export const changeModels = (): ChangeModel[] => [
  change('change of primary'),
  change(
    'change of primary, an order is executed',
    {},
    AFTER_AN_EXECUTED_ORDER,
  ),
  change(
    'change of primary, an order has no answer',
    {},
    AFTER_AN_UNANSWERED_ORDER,
  ),
];

/** Models with one weakened rule each. */
export const changeMutants = (): ChangeModel[] => [
  change(
    'logs are read before fronts stop commits, a replica joins',
    {disturbances: ['join'], change: {...SAFE_CHANGE, waitsForFronts: false}},
    READ_WITHOUT_WAIT,
  ),
  change(
    'logs are read before fronts stop commits, a replica restarts',
    {
      disturbances: ['restart'],
      change: {...SAFE_CHANGE, waitsForFronts: false},
    },
    READ_WITHOUT_WAIT,
  ),
  change(
    'databases whose entries have lapsed are not counted',
    {disturbances: ['join', 'lapse'], countsLapsed: false},
    LAPSED_WITH_A_COMMIT,
  ),
  change(
    'the earlier start of a database is not counted',
    {
      disturbances: ['restartEmpty'],
      countsEarlierStarts: false,
    },
    READING_WITH_A_COMMIT,
  ),
  change(
    'a database that restarts while logs are read is not counted',
    {
      disturbances: ['restartEmpty'],
      countsAfterReading: false,
    },
    READING_WITH_A_COMMIT,
  ),
  change(
    'logs are read by a directory older than the record',
    {disturbances: ['join'], readsNewDirectory: false},
    JOINED_WITH_A_COMMIT,
  ),
  change(
    "the end of the primary's log is read before commits stop",
    {
      disturbances: [],
      readsEndLate: false,
    },
    COMMIT_AFTER_BEGIN,
  ),
  change(
    'a front acknowledges commits with an old view',
    {disturbances: ['restart'], checksAge: false},
    CUT_OFF_WHILE_READ,
  ),
  change(
    'a front checks the record only when it sends a commit',
    {disturbances: ['restart'], checksAnswers: false},
    AFTER_READING,
  ),
  change(
    'a former primary is restored while an order is in doubt',
    {
      disturbances: [],
      change: {...SAFE_CHANGE, finishesOrdersInDoubt: false},
      withholdsInDoubt: false,
      confirmsRestored: false,
    },
    AFTER_AN_UNANSWERED_ORDER,
  ),
  change(
    'a primary is restored without a confirmation',
    {disturbances: [], confirmsRestored: false},
    AFTER_AN_EXECUTED_ORDER,
  ),
  change(
    'a primary is confirmed before the fronts obey',
    {disturbances: [], confirmsWhenObeyed: false},
    CONFIRMING_BEFORE_AN_EFFECT,
  ),
  change(
    'a primary takes commits while it is being confirmed',
    {disturbances: ['restart'], confirmationCommits: CommitRule.allowed},
    CONFIRMING,
  ),
  change(
    'a confirmed primary does not wait for promotions to take effect',
    {disturbances: [], waitsForEffects: false},
    CONFIRMING,
  ),
  change(
    'commits are never contested',
    {
      disturbances: ['lapse'],
      orderRecord: (_newest, service, database) => ({
        service,
        database,
        settled: false,
      }),
    },
    PROMOTED_BEFORE_ANOTHER,
  ),
  change(
    'contested commits do not wait for promotions to take effect',
    {disturbances: ['lapse'], waitsForEffects: false},
    PROMOTED_BEFORE_ANOTHER,
  ),
  change(
    'records are written without comparison',
    {disturbances: ['restart'], comparesWrites: false},
    REPLACED_WHILE_RESTORING,
  ),
];
