/**
 * Model of failover elections and commit acknowledgement. Runs the production
 * code of both: `stepFailover` at two VMs and the acknowledgement rule at the
 * VM that writes, with a few databases and a network that loses and delays
 * messages, also beyond the end of their sender. Each VM, and the group that
 * confirms commits, learns of a change of the group's databases at any moment.
 * Time is abstract: every timer may fire at any moment.
 */
import {
  AckState,
  addCommit,
  addEvidence,
  ConfirmRule,
  confirmedByMajority,
  createAckState,
} from '../src/core/ack.js';
import {WriteAck} from '../src/core/config.js';
import {
  createFailoverState,
  FailoverEffect,
  FailoverEvent,
  FailoverRules,
  FailoverState,
  SAFE_RULES,
} from '../src/core/failover_state.js';
import {stepFailover} from '../src/core/failover.js';
import {
  coverage,
  Coverage,
  DatabaseStatus,
  Position,
  TermStart,
} from '../src/core/position.js';
import {Model} from './explore.js';

/** State of one database in the model. */
interface Database {
  readonly name: string;
  readonly term: number;
  /** The claimant to which the database granted its term. */
  readonly claimant: string;
  readonly role: 'primary' | 'replica';
  readonly following: string | undefined;
  /** Ids of the commits in the log, oldest first. */
  readonly log: readonly number[];
  readonly lineage: readonly TermStart[];
}

/** A request in transit from a VM to a database. */
interface Message {
  readonly from: number;
  readonly claimant: string;
  readonly type: 'raise' | 'promote' | 'follow';
  readonly database: string;
  readonly term: number;
  readonly primary?: string;
}

interface Commit {
  readonly id: number;
  readonly position: Position;
  /** Whether a later primary was promoted before the commit was executed. */
  readonly isAfterReplacement: boolean;
}

/** State of the databases, the VMs and the network. */
export interface FailoverSystem {
  readonly databases: readonly Database[];
  /** State of the failover election at each VM. */
  readonly vms: readonly FailoverState[];
  readonly messages: readonly Message[];
  readonly ack: AckState;
  /** Probe answers in transit, at most one per database. */
  readonly probes: readonly {status: DatabaseStatus; sequence: number}[];
  readonly commits: readonly Commit[];
  /** Ids of the acknowledged commits. */
  readonly confirmed: readonly number[];
  /** All promotions so far, and the initial primary. */
  readonly promoted: readonly {term: number; database: string}[];
  /** Latest sequence number of a commit or probe. */
  readonly sequence: number;
  readonly crashes: number;
  /** Number of changes of the group's databases that each VM has applied. */
  readonly versions: readonly number[];
  /** The same number at the group that confirms commits. */
  readonly ackVersion: number;
}

/** A transition of the model. The numbers are indexes into the system. */
export type FailoverSystemEvent =
  | {readonly type: 'tick'; readonly vm: number}
  | {readonly type: 'crash'; readonly vm: number}
  | {readonly type: 'evict'; readonly vm: number}
  /** A VM applies the next list of databases. */
  | {readonly type: 'configure'; readonly vm: number}
  /** The group that confirms commits applies the next list of databases. */
  | {readonly type: 'configureAck'}
  /** A database restarts; relevant only if it forgets what it granted. */
  | {readonly type: 'restart'; readonly database: number}
  | {
      /** Loss of a message is modelled as never delivering it. */
      readonly type: 'deliver' | 'deliverWithoutAnswer';
      readonly message: number;
    }
  | {readonly type: 'write'; readonly database: number}
  | {readonly type: 'replicate'; readonly database: number}
  | {readonly type: 'probe'; readonly database: number}
  | {readonly type: 'probeAnswer'; readonly probe: number};

/** Bounds of the model, and the rules that a mutant weakens. */
export interface FailoverModelOptions {
  readonly name: string;
  readonly writeAck: WriteAck;
  readonly maxTerm: number;
  readonly maxWrites: number;
  readonly maxCrashes: number;
  readonly rules?: FailoverRules;
  readonly confirms?: ConfirmRule;
  /** The lists of the group's databases, in order; one of three if omitted. */
  readonly lists?: readonly (readonly string[])[];
  /** Whether VMs may replace a primary that its replicas cannot reach. */
  readonly evicts?: boolean;
  /** Whether a group made anew claims under the name of the former one. */
  readonly reusesClaimant?: boolean;
  /** Whether a database that restarts forgets to whom it granted its term. */
  readonly forgetsGrants?: boolean;
  /** Whether a database grants the same term to several claimants. */
  readonly grantsTermTwice?: boolean;
  /** Events that lead from the initial state to where exploration starts. */
  readonly prefix?: readonly FailoverSystemEvent[];
  /** Whether a log covers a floor (minimum position that a read must see). */
  readonly covers?: (status: DatabaseStatus, floor: Position) => boolean;
}

const DEFAULT_LISTS = [['a', 'b', 'c']];
const TIMEOUTS = {
  suspectAfterMs: 1,
  voteWaitMs: 1,
  stageWaitMs: 1,
  strandedAfterMs: 1,
};
/** All events but ticks happen at 1 ms; at 2 ms every timer has expired. */
const NOW_MS = 1;
const TICK_MS = 2;

const listsOf = (options: FailoverModelOptions) =>
  options.lists ?? DEFAULT_LISTS;

/** Names of all databases that belong to the group at some time. */
const namesOf = (options: FailoverModelOptions): string[] => [
  ...new Set(listsOf(options).flat()),
];

/** Returns the state of a VM at start; `boot` makes its claimant unique. */
const createVm = (
  index: number,
  boot: string,
  databases: readonly string[],
): FailoverState =>
  createFailoverState({
    claimant: `p${index}.${boot}`,
    databases,
    times: TIMEOUTS,
    nowMs: NOW_MS,
  });

const statusOf = (database: Database): DatabaseStatus => ({
  database: database.name,
  role: database.role,
  term: database.term,
  offset: database.log.length,
  lineage: database.lineage,
  following: database.following,
});

function initialSystem(options: FailoverModelOptions): FailoverSystem {
  const [first] = listsOf(options);
  const databases = namesOf(options).map((name, index): Database => ({
    name,
    term: 1,
    claimant: '',
    role: index === 0 ? 'primary' : 'replica',
    following: index === 0 ? undefined : first[0],
    log: [],
    lineage: [{term: 1, startOffset: 0}],
  }));
  const vms = [0, 1].map(index =>
    learnStatuses(createVm(index, '0', first), databases),
  );
  return {
    databases,
    vms,
    messages: [],
    ack: createAckState(first, options.writeAck),
    probes: [],
    commits: [],
    confirmed: [],
    promoted: [{term: 1, database: 'a'}],
    sequence: 0,
    crashes: 0,
    versions: [0, 0],
    ackVersion: 0,
  };
}

/** Returns a VM's state after its first probes of the databases it lists. */
const learnStatuses = (
  vm: FailoverState,
  databases: readonly Database[],
): FailoverState =>
  databases
    .filter(database => vm.databases.includes(database.name))
    .reduce(
      (state, database) =>
        stepFailover(state, {
          type: 'status',
          status: statusOf(database),
          nowMs: NOW_MS,
        }).state,
      vm,
    );

export function failoverModel(
  options: FailoverModelOptions,
): Model<FailoverSystem, FailoverSystemEvent> {
  return {
    name: options.name,
    initial: (options.prefix ?? []).reduce(
      (system, event) => stepSystem(system, event, options),
      initialSystem(options),
    ),
    enabled: system => enabledEvents(system, options),
    step: (system, event) => stepSystem(system, event, options),
    invariants: {
      noAcknowledgementByReplacedPrimary: noAckAfterReplacement,
      onePrimaryPerTerm,
      ...(options.writeAck === WriteAck.replica ? {nothingAckedIsLost} : {}),
      readYourWritesAcrossTerms: system =>
        coveredReadsSeeWrites(system, options.covers ?? coversFloor),
    },
    fingerprint,
  };
}

const coversFloor = (status: DatabaseStatus, floor: Position): boolean =>
  coverage(status, floor) === Coverage.covered;

function enabledEvents(
  system: FailoverSystem,
  options: FailoverModelOptions,
): FailoverSystemEvent[] {
  const events: FailoverSystemEvent[] = [];
  system.vms.forEach((state, vm) => {
    if (canTick(state, options)) events.push({type: 'tick', vm});
    if (system.crashes < options.maxCrashes && state.phase.name !== 'steady') {
      events.push({type: 'crash', vm});
    }
    if (options.evicts && canTick(state, options)) {
      events.push({type: 'evict', vm});
    }
    if (system.versions[vm] + 1 < listsOf(options).length) {
      events.push({type: 'configure', vm});
    }
  });
  if (system.ackVersion + 1 < listsOf(options).length) {
    events.push({type: 'configureAck'});
  }
  system.messages.forEach((sent, message) => {
    events.push({type: 'deliver', message});
    if (sent.type !== 'follow') {
      events.push({type: 'deliverWithoutAnswer', message});
    }
  });
  system.databases.forEach((database, index) => {
    if (options.forgetsGrants && database.term > 1) {
      events.push({type: 'restart', database: index});
    }
    if (
      database.role === 'primary' &&
      system.ack.databases.includes(database.name) &&
      system.commits.length < options.maxWrites
    ) {
      events.push({type: 'write', database: index});
    }
    if (canReplicate(system, database)) {
      events.push({type: 'replicate', database: index});
    }
    if (mayProbe(system, database)) {
      events.push({type: 'probe', database: index});
    }
  });
  system.probes.forEach((_, probe) =>
    events.push({type: 'probeAnswer', probe}),
  );
  return events;
}

/** A VM at the highest term has no tick, because it could claim the next. */
const canTick = (
  state: FailoverState,
  options: FailoverModelOptions,
): boolean => state.term < options.maxTerm;

const databaseNamed = (system: FailoverSystem, name: string | undefined) =>
  system.databases.find(entry => entry.name === name);

function canReplicate(system: FailoverSystem, database: Database): boolean {
  const primary = databaseNamed(system, database.following);
  return (
    primary !== undefined &&
    primary.role === 'primary' &&
    primary.term === database.term &&
    !sameLog(primary, database)
  );
}

const sameLog = (a: Database, b: Database): boolean =>
  a.log.length === b.log.length && a.lineage.length === b.lineage.length;

const mayProbe = (system: FailoverSystem, database: Database): boolean =>
  system.ack.pending.length > 0 &&
  system.ack.databases.includes(database.name) &&
  !system.probes.some(probe => probe.status.database === database.name);

function stepSystem(
  system: FailoverSystem,
  event: FailoverSystemEvent,
  options: FailoverModelOptions,
): FailoverSystem {
  switch (event.type) {
    case 'tick':
      return applyToVm(system, event.vm, tickOf(event.vm), options);
    case 'crash':
      return crash(system, event.vm, options);
    case 'evict':
      return applyToVm(system, event.vm, EVICTION, options);
    case 'configure':
      return configure(system, event.vm, options);
    case 'configureAck':
      return configureAck(system, options);
    case 'restart':
      return restart(system, event.database);
    case 'deliver':
    case 'deliverWithoutAnswer':
      return deliver(system, event, options);
    case 'write':
      return write(system, event.database);
    case 'replicate':
      return replicate(system, event.database);
    case 'probe':
      return probe(system, event.database);
    case 'probeAnswer':
      return answerProbe(system, event.probe, options);
  }
}

const tickOf = (vm: number): FailoverEvent => ({
  type: 'tick',
  observers: [`vm${vm}`],
  nowMs: TICK_MS,
});

const EVICTION: FailoverEvent = {type: 'evict', nowMs: NOW_MS};

/** The statements of the VM that are on their way may still be run. */
function crash(
  system: FailoverSystem,
  vm: number,
  options: FailoverModelOptions,
): FailoverSystem {
  const crashes = system.crashes + 1;
  const boot = `${crashes}.${system.versions[vm]}`;
  const state = createVm(vm, boot, listsOf(options)[system.versions[vm]]);
  const restarted = learnStatuses(state, system.databases);
  return {...system, crashes, vms: system.vms.with(vm, restarted)};
}

/** Replaces the election of a VM by one of the next list of databases. */
function configure(
  system: FailoverSystem,
  vm: number,
  options: FailoverModelOptions,
): FailoverSystem {
  const version = system.versions[vm] + 1;
  const {claimant} = system.vms[vm];
  const created = createVm(
    vm,
    `${system.crashes}.${version}`,
    listsOf(options)[version],
  );
  const state = options.reusesClaimant ? {...created, claimant} : created;
  // Those that know a later term may have answered no probe yet.
  const lowestTerm = Math.min(...system.databases.map(entry => entry.term));
  const answered = system.databases.filter(entry => entry.term === lowestTerm);
  return {
    ...system,
    versions: system.versions.with(vm, version),
    vms: system.vms.with(vm, learnStatuses(state, answered)),
  };
}

/** Commits that the former list has not confirmed end as unknown. */
function configureAck(
  system: FailoverSystem,
  options: FailoverModelOptions,
): FailoverSystem {
  const ackVersion = system.ackVersion + 1;
  const names = listsOf(options)[ackVersion];
  return {
    ...system,
    ackVersion,
    ack: createAckState(names, options.writeAck),
    probes: [],
  };
}

const restart = (system: FailoverSystem, index: number): FailoverSystem => ({
  ...system,
  databases: system.databases.with(index, {
    ...system.databases[index],
    term: 1,
    claimant: '',
    role: 'replica',
    following: 'a',
  }),
});

/** Applies an event to one VM and sends the resulting messages. */
function applyToVm(
  system: FailoverSystem,
  vm: number,
  event: FailoverEvent,
  options: FailoverModelOptions,
): FailoverSystem {
  const {state, effects} = stepFailover(
    system.vms[vm],
    event,
    options.rules ?? SAFE_RULES,
  );
  const next = {
    ...system,
    vms: system.vms.with(vm, state),
  };
  const needsVotes = effects.some(effect => effect.type === 'askObservers');
  const {claimant} = state;
  const sent = effects.flatMap(effect => messagesOf(vm, claimant, effect));
  const withMessages = {...next, messages: [...next.messages, ...sent]};
  if (!needsVotes) return withMessages;
  // Worst case for safety: every observer reports the primary unreachable.
  const vote: FailoverEvent = {
    type: 'vote',
    observer: `vm${vm}`,
    reachable: false,
    nowMs: NOW_MS,
  };
  return applyToVm(withMessages, vm, vote, options);
}

function messagesOf(
  from: number,
  claimant: string,
  effect: FailoverEffect,
): Message[] {
  switch (effect.type) {
    case 'raise':
    case 'promote':
    case 'follow':
      return [{from, claimant, ...effect}];
    case 'askObservers':
      return [];
  }
}

/** Drops messages that their database would refuse for an outdated term. */
const dropOutdatedMessages = (system: FailoverSystem): FailoverSystem => ({
  ...system,
  messages: system.messages.filter(message => {
    const database = databaseNamed(system, message.database);
    return database !== undefined && message.term >= database.term;
  }),
});

const withoutMessage = (
  system: FailoverSystem,
  index: number,
): FailoverSystem => ({
  ...system,
  messages: system.messages.filter((_, at) => at !== index),
});

function deliver(
  system: FailoverSystem,
  event: {readonly type: string; readonly message: number},
  options: FailoverModelOptions,
): FailoverSystem {
  const message = system.messages[event.message];
  const at = namesOf(options).indexOf(message.database);
  const result = handleRequest(system.databases[at], message, options);
  const promoted =
    message.type === 'promote' && result.granted
      ? [...system.promoted, {term: message.term, database: message.database}]
      : system.promoted;
  const next = {
    ...withoutMessage(system, event.message),
    databases: system.databases.with(at, result.database),
    promoted,
  };
  if (event.type === 'deliverWithoutAnswer') return dropOutdatedMessages(next);
  const isSenderAlive = system.vms[message.from].claimant === message.claimant;
  const reply = isSenderAlive ? replyTo(message, result) : undefined;
  return dropOutdatedMessages(
    reply ? applyToVm(next, message.from, reply, options) : next,
  );
}

/** The database after a request, and whether it granted the request. */
interface RequestResult {
  readonly database: Database;
  readonly granted: boolean;
}

function handleRequest(
  database: Database,
  message: Message,
  options: FailoverModelOptions,
): RequestResult {
  const {claimant} = message;
  switch (message.type) {
    case 'raise':
      return raise(database, message.term, claimant, options);
    case 'promote':
      return promote(database, message.term, claimant, options);
    case 'follow':
      return message.term < database.term || message.primary === database.name
        ? {database, granted: false}
        : {
            database: {
              ...database,
              term: message.term,
              role: 'replica',
              following: message.primary,
            },
            granted: true,
          };
  }
}

function raise(
  database: Database,
  term: number,
  claimant: string,
  options: FailoverModelOptions,
): RequestResult {
  if (term === database.term) {
    const granted = options.grantsTermTwice || claimant === database.claimant;
    return {database, granted};
  }
  if (term < database.term) return {database, granted: false};
  return {
    database: {
      ...database,
      term,
      claimant,
      role: 'replica',
      following: undefined,
    },
    granted: true,
  };
}

function promote(
  database: Database,
  term: number,
  claimant: string,
  options: FailoverModelOptions,
): RequestResult {
  const isClaimant = options.grantsTermTwice || claimant === database.claimant;
  if (term !== database.term || !isClaimant) return {database, granted: false};
  if (database.role === 'primary') return {database, granted: true};
  const start: TermStart = {term, startOffset: database.log.length};
  return {
    database: {
      ...database,
      role: 'primary',
      lineage: [...database.lineage, start],
    },
    granted: true,
  };
}

function replyTo(
  message: Message,
  result: RequestResult,
): FailoverEvent | undefined {
  const {granted, database} = result;
  switch (message.type) {
    case 'raise':
      return {
        type: 'raised',
        database: database.name,
        term: message.term,
        granted,
        status: statusOf(database),
        nowMs: NOW_MS,
      };
    case 'promote':
      return {type: 'promoted', term: message.term, granted, nowMs: NOW_MS};
    case 'follow':
      return undefined;
  }
}

function write(system: FailoverSystem, index: number): FailoverSystem {
  const database = system.databases[index];
  const id = system.commits.length + 1;
  const sequence = system.sequence + 1;
  const log = [...database.log, id];
  const term = database.lineage[database.lineage.length - 1].term;
  const position = {term, offset: log.length};
  const isAfterReplacement = system.promoted.some(entry => entry.term > term);
  return {
    ...system,
    sequence,
    databases: system.databases.with(index, {...database, log}),
    commits: [...system.commits, {id, position, isAfterReplacement}],
    ack: addCommit(system.ack, {id, position, sequence}),
  };
}

/**
 * Cuts a replica's log back to where it can deviate from the primary's, then
 * copies one entry and the lineage. A log of another lineage starts over.
 */
function replicate(system: FailoverSystem, index: number): FailoverSystem {
  const database = system.databases[index];
  const primary = databaseNamed(system, database.following);
  if (!primary) return system;
  const sharesLineage = database.lineage.every(start =>
    primary.lineage.some(
      other =>
        other.term === start.term && other.startOffset === start.startOffset,
    ),
  );
  const next = primary.lineage.find(
    start => !database.lineage.some(own => own.term === start.term),
  );
  const keptLength = sharesLineage
    ? Math.min(database.log.length, next?.startOffset ?? Infinity)
    : 0;
  const log = primary.log.slice(
    0,
    Math.min(primary.log.length, keptLength + 1),
  );
  return {
    ...system,
    databases: system.databases.with(index, {
      ...database,
      log,
      lineage: primary.lineage,
    }),
  };
}

function probe(system: FailoverSystem, index: number): FailoverSystem {
  const sequence = system.sequence + 1;
  const status = statusOf(system.databases[index]);
  return {...system, sequence, probes: [...system.probes, {status, sequence}]};
}

function answerProbe(
  system: FailoverSystem,
  index: number,
  options: FailoverModelOptions,
): FailoverSystem {
  const {state, confirmed} = addEvidence(
    system.ack,
    system.probes[index],
    options.confirms ?? confirmedByMajority,
  );
  return {
    ...system,
    ack: state,
    probes: system.probes.filter((_, at) => at !== index),
    confirmed: [...system.confirmed, ...confirmed],
  };
}

const confirmedCommits = (system: FailoverSystem): Commit[] =>
  system.commits.filter(commit => system.confirmed.includes(commit.id));

const noAckAfterReplacement = (system: FailoverSystem): boolean =>
  confirmedCommits(system).every(commit => !commit.isAfterReplacement);

const onePrimaryPerTerm = (system: FailoverSystem): boolean =>
  system.promoted.every(entry =>
    system.promoted.every(
      other => other.term !== entry.term || other.database === entry.database,
    ),
  );

/** Whether the primaries of all later terms hold each acknowledged commit. */
const nothingAckedIsLost = (system: FailoverSystem): boolean =>
  confirmedCommits(system).every(commit =>
    system.databases
      .filter(entry => entry.role === 'primary')
      .filter(entry => entry.term > commit.position.term)
      .every(entry => entry.log.includes(commit.id)),
  );

/**
 * Whether each database that `isCovered` accepts for the position of a
 * confirmed commit holds that commit.
 */
const coveredReadsSeeWrites = (
  system: FailoverSystem,
  isCovered: (status: DatabaseStatus, floor: Position) => boolean,
): boolean =>
  confirmedCommits(system).every(commit =>
    system.databases
      .filter(entry => isCovered(statusOf(entry), commit.position))
      .every(entry => entry.log.includes(commit.id)),
  );

const formatStatus = (status: DatabaseStatus): string =>
  [
    status.database,
    status.role === 'primary' ? 'P' : 'r',
    status.term,
    status.offset,
    status.following ?? '-',
    status.lineage.map(start => `${start.term}@${start.startOffset}`).join('.'),
  ].join(' ');

const formatDatabase = (database: Database): string =>
  `${formatStatus(statusOf(database))} ${database.claimant} ${database.log.join('.')}`;

/**
 * Leaves out the known database statuses: since every timer may fire, a tick
 * leads to a claim regardless of them.
 */
function formatVm(state: FailoverState): string {
  const {phase} = state;
  const granted =
    phase.name === 'raising' ? [...phase.granted.keys()].sort().join('') : '';
  const target = phase.name === 'promoting' ? phase.target : '';
  const stranded = state.strandedSinceMs === undefined ? '' : '!';
  return [
    state.claimant,
    phase.name,
    granted,
    target,
    stranded,
    state.term,
  ].join(',');
}

const formatMessage = (message: Message): string =>
  [
    message.claimant,
    message.type,
    message.database,
    message.term,
    message.primary ?? '',
  ].join(' ');

const fingerprints = new WeakMap<FailoverSystem, string>();

function fingerprint(system: FailoverSystem): string {
  const known = fingerprints.get(system);
  if (known !== undefined) return known;
  const text = formatSystem(system);
  fingerprints.set(system, text);
  return text;
}

/** Sequence numbers are replaced by their rank: only their order matters. */
function formatSystem(system: FailoverSystem): string {
  const evidence = [...system.ack.evidence.values()];
  const sequences = [...system.ack.pending, ...evidence, ...system.probes]
    .map(entry => entry.sequence)
    .sort((a, b) => a - b);
  const rank = (sequence: number): number => sequences.indexOf(sequence);
  const formatEvidence = (entry: {
    status: DatabaseStatus;
    sequence: number;
  }): string => `${formatStatus(entry.status)} ${rank(entry.sequence)}`;
  const parts: string[][] = [
    system.databases.map(formatDatabase),
    system.vms.map(formatVm),
    system.messages.map(formatMessage).sort(),
    system.ack.pending.map(entry => `${entry.id}:${rank(entry.sequence)}`),
    evidence.map(formatEvidence).sort(),
    system.probes.map(formatEvidence).sort(),
    system.commits.map(
      c => `${c.position.term}/${c.position.offset}/${c.isAfterReplacement}`,
    ),
    system.confirmed.map(String),
    system.promoted.map(entry => `${entry.term}${entry.database}`).sort(),
    [String(system.crashes), ...system.versions.map(String)],
    [String(system.ackVersion)],
  ];
  return parts.map(part => part.join(';')).join('|');
}

/** Weakened rule that needs a grant from only one database. */
export const grantsOfOne = (): number => 1;
