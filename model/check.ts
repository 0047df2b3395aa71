/**
 * Checks the models and their mutants. A mutant is a model with one weakened
 * rule; it must break an invariant, which shows that the rule is needed and
 * that the model can detect its absence.
 */
import {ConfirmRule, confirmedByMajority, majorityOf} from '../src/core/ack.js';
import {WriteAck} from '../src/core/config.js';
import {SAFE_RULES} from '../src/core/failover_state.js';
import {
  comparePositions,
  coverage,
  Coverage,
  DatabaseStatus,
  logEnd,
  Position,
} from '../src/core/position.js';
import {addLentTokens} from '../src/core/rates.js';
import {
  configModel,
  RESTORABLE_CONFIG_RULES,
  SAFE_CONFIG_RULES,
} from './config_model.js';
import {Bounds, explore, Exploration, Model} from './explore.js';
import {
  failoverModel,
  FailoverModelOptions,
  FailoverSystemEvent,
} from './failover_model.js';
import {lanesModel} from './lanes_model.js';
import {Misdirected, SAFE_LANE_RULES} from './lanes_system.js';
import {ratesModel, SAFE_RATE_RULES} from './rates_model.js';
import {changeModels, changeMutants} from './primary_change_checks.js';
import {memberModels, memberMutants} from './primary_change_member_checks.js';
import {
  SAFE_TAKEOVER_RULES,
  takeoverModel,
  UNFENCED_TAKEOVER_RULES,
} from './takeover_model.js';
import {SAFE_TAKEOVER} from '../src/core/takeover.js';

/** Result of all checks; printed as JSON. */
export interface CheckResult {
  readonly model: 'ok' | 'failed';
  readonly states: number;
  readonly invariants: readonly string[];
  readonly mutants_caught: number;
  readonly mutants: number;
}

export const FULL_BOUNDS: Bounds = {
  maxExpanded: 12_000,
  walks: 20_000,
  walkSteps: 40,
  seed: 20_261_204,
};
/** Bounds that are small enough for CI. */
export const QUICK_BOUNDS: Bounds = {
  maxExpanded: 3_000,
  walks: 3_000,
  walkSteps: 40,
  seed: 20_261_204,
};

/** A model to check, without the types of its states and events. */
interface Check {
  readonly name: string;
  readonly invariants: readonly string[];
  /** Returns the part of the bounds that `run` uses; all of them if omitted. */
  readonly limit?: (bounds: Bounds) => Bounds;
  readonly run: (bounds: Bounds) => Exploration;
}

function createCheck<S, E extends {readonly type: string}>(
  model: Model<S, E>,
): Check {
  return {
    name: model.name,
    invariants: Object.keys(model.invariants),
    run: bounds => explore(model, bounds),
  };
}

const FAILOVER_BOUNDS: Omit<FailoverModelOptions, 'name'> = {
  writeAck: WriteAck.replica,
  maxTerm: 3,
  maxWrites: 2,
  maxCrashes: 1,
};

const failover = (
  name: string,
  changes: Partial<FailoverModelOptions> = {},
): Check => createCheck(failoverModel({...FAILOVER_BOUNDS, ...changes, name}));

/** Part of the bounds that suffices for the mutants of models about members. */
const MEMBERS_SHARE = 0.2;

/** A group of another size, or one whose databases change; one election. */
function members(
  name: string,
  changes: Partial<FailoverModelOptions> = {},
): Check {
  return shareOf(failover(name, {...ONE_ELECTION, ...changes}));
}

/** Limits a check to a part of the bounds. */
function shareOf(check: Check): Check {
  const limit = (bounds: Bounds): Bounds => ({
    ...bounds,
    maxExpanded: Math.ceil(bounds.maxExpanded * MEMBERS_SHARE),
    walks: Math.ceil(bounds.walks * MEMBERS_SHARE),
  });
  return {...check, limit, run: bounds => check.run(limit(bounds))};
}

const RATE_BOUNDS = {maxMs: 1_500, maxLoans: 2};

const rates = (
  name: string,
  changes: Partial<typeof SAFE_RATE_RULES> = {},
): Check =>
  createCheck(
    ratesModel({...RATE_BOUNDS, name, rules: {...SAFE_RATE_RULES, ...changes}}),
  );

const config = (
  name: string,
  changes: Partial<typeof SAFE_CONFIG_RULES> = {},
): Check => createCheck(configModel(name, {...SAFE_CONFIG_RULES, ...changes}));

const takeover = (
  name: string,
  changes: Partial<typeof SAFE_TAKEOVER_RULES> = {},
  isNewHolder = false,
  earlierOrders: readonly number[] = [],
): Check =>
  createCheck(
    takeoverModel(
      name,
      {...SAFE_TAKEOVER_RULES, ...changes},
      isNewHolder,
      earlierOrders,
    ),
  );

const lanes = (
  name: string,
  changes: Partial<typeof SAFE_LANE_RULES> = {},
  excluded?: readonly Misdirected[],
): Check =>
  createCheck(lanesModel(name, {...SAFE_LANE_RULES, ...changes}, excluded));

/** The models with the rules used in production. */
const models = (): Check[] => [
  failover('failover, write_ack replica'),
  failover('failover, write_ack primary', {writeAck: WriteAck.primary}),
  failover('failover, two claims and a late write', {
    writeAck: WriteAck.primary,
    prefix: TWO_CLAIMS_AND_A_LATE_WRITE,
  }),
  members('failover, a group of five', FIVE_DATABASES),
  members('failover, a primary is evicted', {evicts: true, maxCrashes: 1}),
  members('failover, a database joins', {
    lists: [THREE, FOUR],
    prefix: A_WRITE_REACHES_A_JOINED_DATABASE,
  }),
  members('failover, a database leaves', {
    lists: [FOUR, THREE],
  }),
  members('failover, a group is made anew', MADE_ANEW),
  rates('rate shares'),
  config('configuration'),
  config('configuration, restored platform', RESTORABLE_CONFIG_RULES),
  takeover('takeover on a platform'),
  takeover('takeover by a new holder', {}, true),
  takeover('takeover on a platform, homes change', {doHomesChange: true}),
  takeover(
    'takeover by a new holder after an order, homes change',
    {doHomesChange: true},
    true,
    [1],
  ),
  takeover('takeover without fencing', UNFENCED_TAKEOVER_RULES),
  ...changeModels().map(createCheck),
  ...memberModels().map(model => shareOf(createCheck(model))),
  lanes('transactions over fronts'),
  // Comparing the transactions suffices if only the lanes' ids repeat.
  lanes(
    'transactions over fronts, ids of lanes that repeat',
    {workersShareIds: false},
    [Misdirected.statement],
  ),
];

const THREE = ['a', 'b', 'c'];
const FOUR = [...THREE, 'd'];
const FIVE = [...FOUR, 'e'];

const ONE_ELECTION: Partial<FailoverModelOptions> = {
  maxTerm: 2,
  maxWrites: 1,
  maxCrashes: 0,
};
const FIVE_DATABASES: Partial<FailoverModelOptions> = {
  lists: [FIVE],
  prefix: [
    {type: 'write', database: 0},
    {type: 'replicate', database: 1},
    {type: 'probe', database: 0},
    {type: 'probe', database: 1},
    {type: 'probe', database: 2},
  ],
};

/** Only the group that confirms commits knows the joined database. */
const A_WRITE_REACHES_A_JOINED_DATABASE: readonly FailoverSystemEvent[] = [
  {type: 'configureAck'},
  {type: 'write', database: 0},
  {type: 'replicate', database: 3},
];

/** A VM makes its group anew while a promotion is on its way. */
const MADE_ANEW: Partial<FailoverModelOptions> = {
  maxWrites: 0,
  lists: [THREE, THREE],
  prefix: [
    {type: 'tick', vm: 0},
    {type: 'deliver', message: 1},
    {type: 'deliver', message: 1},
    {type: 'configure', vm: 0},
  ],
};

/** A former rule, with a fault: one replica sufficed in a group of any size. */
const heldByOneReplica: ConfirmRule = (state, commit) =>
  confirmedByMajority({...state, writeAck: WriteAck.primary}, commit) &&
  [...state.evidence.values()].some(
    ({status, sequence}) =>
      sequence > commit.sequence &&
      status.term === commit.position.term &&
      status.role === 'replica' &&
      coverage(status, commit.position) === Coverage.covered,
  );

/** Weakened rule that ignores whether a probe was sent after the commit. */
const ignoresProbeOrder: ConfirmRule = (state, commit) => {
  const agreeing = state.databases.filter(
    name => state.evidence.get(name)?.status.term === commit.position.term,
  );
  return agreeing.length >= majorityOf(state.databases.length);
};

/** Weakened rule that ignores the term that a database reports. */
const ignoresTerm: ConfirmRule = (state, commit) => {
  const answered = state.databases.filter(
    name => (state.evidence.get(name)?.sequence ?? 0) > commit.sequence,
  );
  return answered.length >= majorityOf(state.databases.length);
};

/**
 * A VM claims term 2 and crashes, and both the old and the new primary write.
 * Random walks of the full check found this trace; the quick check does not
 * reach that deep.
 */
const TWO_CLAIMS_AND_A_LATE_WRITE: readonly FailoverSystemEvent[] = [
  {type: 'tick', vm: 1},
  {type: 'deliver', message: 1},
  {type: 'write', database: 0},
  {type: 'deliver', message: 1},
  {type: 'deliverWithoutAnswer', message: 1},
  {type: 'crash', vm: 1},
  {type: 'write', database: 1},
  {type: 'probe', database: 1},
  {type: 'tick', vm: 0},
  {type: 'deliverWithoutAnswer', message: 1},
  {type: 'tick', vm: 0},
  {type: 'probeAnswer', probe: 0},
  {type: 'deliver', message: 5},
  {type: 'probe', database: 0},
  {type: 'probe', database: 2},
];

/**
 * A former version of `coverage`, with a fault: it ignored which term wrote the
 * entry at the offset.
 */
function coversAnyWriter(status: DatabaseStatus, floor: Position): boolean {
  const next = status.lineage.find(start => start.term > floor.term);
  if (next && floor.offset > next.startOffset) return false;
  return logEnd(status).term >= floor.term && status.offset >= floor.offset;
}

/** Models with one weakened rule each. */
const mutants = (): Check[] => [
  failover('a single grant suffices', {
    rules: {...SAFE_RULES, grantsNeeded: () => 1},
  }),
  failover('commits are acknowledged without confirmation', {
    confirms: () => true,
  }),
  failover('evidence of probes sent before the commit', {
    confirms: ignoresProbeOrder,
  }),
  failover('evidence of any term', {confirms: ignoresTerm}),
  failover('the least advanced database is promoted', {
    rules: {
      ...SAFE_RULES,
      choose: granted =>
        granted.reduce((worst, status) =>
          comparePositions(logEnd(status), logEnd(worst)) < 0 ? status : worst,
        ).database,
    },
  }),
  failover('a term is granted to several claimants', {grantsTermTwice: true}),
  failover('confirmation by the primary alone', {
    confirms: (state, commit) =>
      (state.evidence.get('a')?.sequence ?? 0) > commit.sequence,
  }),
  failover('coverage by offset alone', {
    writeAck: WriteAck.primary,
    covers: (status, floor) => status.offset >= floor.offset,
  }),
  failover('coverage by offset and later terms alone', {
    writeAck: WriteAck.primary,
    covers: coversAnyWriter,
    prefix: TWO_CLAIMS_AND_A_LATE_WRITE,
  }),
  members('one replica confirms in a group of five', {
    ...FIVE_DATABASES,
    confirms: heldByOneReplica,
  }),
  members('one replica confirms while a database joins', {
    lists: [THREE, FOUR],
    prefix: A_WRITE_REACHES_A_JOINED_DATABASE,
    confirms: heldByOneReplica,
  }),
  members('two databases join at once', {
    lists: [THREE, FIVE],
  }),
  members('a database is replaced in one change', {
    lists: [THREE, ['a', 'b', 'd']],
  }),
  members('a VM is two changes behind', {
    lists: [THREE, FOUR, FIVE],
  }),
  members('a group made anew claims under the same name', {
    ...MADE_ANEW,
    reusesClaimant: true,
  }),
  members('a database forgets its grants in a restart', {
    forgetsGrants: true,
  }),
  rates('lent tokens stay with the lender', {
    lend: (bucket, wanted, reserve, nowMs) => ({
      bucket,
      lent: SAFE_RATE_RULES.lend(bucket, wanted, reserve, nowMs).lent,
    }),
  }),
  rates('borrowed tokens lose their age', {
    receive: (bucket, lent, _requestedAtMs, nowMs) => {
      const rejuvenated = lent.map(interval => ({
        ...interval,
        oldestAgeMs: interval.oldestAgeMs - interval.newestAgeMs,
        newestAgeMs: 0,
      }));
      return addLentTokens(bucket, rejuvenated, nowMs, nowMs);
    },
  }),
  rates('a joining VM accrues at once', {
    share: (roster, vm) =>
      roster.members.some(member => member.vm === vm)
        ? 1 / roster.members.length
        : 0,
  }),
  config('any received version is applied', {
    selectConfig: (_applied, received) => received,
  }),
  config('a swap without comparison', {canSwap: () => true}),
  config('a lost version is not written back after a restore', {
    ...RESTORABLE_CONFIG_RULES,
    writesBack: false,
  }),
  takeover('one stopped log suffices', {
    takeover: {...SAFE_TAKEOVER, logsNeeded: () => 1},
  }),
  takeover('the shortest stopped log is promoted', {
    takeover: {
      ...SAFE_TAKEOVER,
      isBetter: (a, b) => comparePositions(a.position, b.position) < 0,
    },
  }),
  takeover('replicas receive while an order is unconfirmed', {
    resumesWhileUnconfirmed: true,
  }),
  takeover(
    'an unanswered confirmation of the primary is not counted',
    {countsConfirmations: false},
    true,
  ),
  takeover('the primary is confirmed while a promotion is unanswered', {
    confirmsBesideOrders: true,
  }),
  takeover('orders of earlier lease holders are ignored', {
    expectsEarlierOrders: false,
  }),
  takeover(
    'changed homes apply while an order is unconfirmed',
    {doHomesChange: true, waitsForSettledHomes: false},
    true,
    [1],
  ),
  takeover('fencing tokens go back with a restored store', {
    tokensRiseOverRestores: false,
  }),
  takeover('fencing tokens are relied on but not checked', {
    checksFencingTokens: false,
  }),
  takeover('without fencing: replicas receive while an order is unconfirmed', {
    ...UNFENCED_TAKEOVER_RULES,
    resumesWhileUnconfirmed: true,
  }),
  takeover('without fencing: the primary is confirmed despite an open order', {
    ...UNFENCED_TAKEOVER_RULES,
    waitsForOrders: false,
  }),
  takeover('without fencing: orders of earlier lease holders are ignored', {
    ...UNFENCED_TAKEOVER_RULES,
    expectsEarlierOrders: false,
  }),
  ...changeMutants().map(createCheck),
  ...memberMutants().map(createCheck),
  lanes('two processes of a VM have the same id', {processId: vm => vm}),
  lanes('each worker counts its ids', {workersShareIds: false}),
  lanes(
    'each worker counts its ids, and transactions are not compared',
    {workersShareIds: false, checksTransaction: false},
    [Misdirected.statement],
  ),
  lanes(
    'processes of a VM have the same id, and transactions are not compared',
    {processId: vm => vm, checksTransaction: false},
    [Misdirected.statement],
  ),
  lanes('a closed connection ends all transactions of its VM', {
    endsByConnection: false,
  }),
];

/** Checks every model and every mutant; `print` receives a line for each. */
export function checkAll(
  bounds: Bounds,
  print: (line: string) => void,
): CheckResult {
  const checkedModels = models().map(check => ({
    check,
    result: check.run(bounds),
  }));
  for (const {check, result} of checkedModels)
    print(describeModel(check, result, check.limit?.(bounds) ?? bounds));
  const checkedMutants = mutants().map(check => ({
    check,
    result: check.run(bounds),
  }));
  for (const {check, result} of checkedMutants)
    print(describeMutant(check, result));
  const caught = checkedMutants.filter(({result}) => result.violation).length;
  const isOk =
    checkedModels.every(({result}) => !result.violation) &&
    caught === checkedMutants.length;
  const names = checkedModels.flatMap(({check}) => check.invariants);
  return {
    model: isOk ? 'ok' : 'failed',
    states: checkedModels.reduce((sum, {result}) => sum + result.states, 0),
    invariants: [...new Set(names)],
    mutants_caught: caught,
    mutants: checkedMutants.length,
  };
}

function describeModel(
  check: Check,
  result: Exploration,
  bounds: Bounds,
): string {
  const extent = result.isComplete
    ? 'all reachable states'
    : `${bounds.maxExpanded} expanded, ${bounds.walks} walks of ${bounds.walkSteps}, seed ${bounds.seed}`;
  const verdict = result.violation
    ? `BROKEN ${result.violation.invariant}: ${result.violation.trace.join(' ')}`
    : 'holds';
  return `${check.name}: ${result.states} states (${extent}): ${verdict}`;
}

const describeMutant = (check: Check, result: Exploration): string =>
  result.violation
    ? `mutant "${check.name}" breaks ${result.violation.invariant} in ${result.violation.trace.length} steps`
    : `mutant "${check.name}" NOT CAUGHT in ${result.states} states`;
