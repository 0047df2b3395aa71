/**
 * Failover with acknowledgements: the real `stepFailover` at two VMs, the real
 * acknowledgement rule at the VM that writes, three databases, and a network
 * that loses and delays. Time is abstract: every timer may fire at any moment.
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

/** One database: its log holds the ids of commits. */
interface Database {
  readonly name: string;
  readonly term: number;
  readonly claimant: string;
  readonly role: 'primary' | 'replica';
  readonly following: string | undefined;
  readonly log: readonly number[];
  readonly lineage: readonly TermStart[];
}

/** A request on its way to a database. */
interface Message {
  readonly from: number;
  readonly type: 'raise' | 'promote' | 'follow';
  readonly database: string;
  readonly term: number;
  readonly primary?: string;
}

/** A commit, with what was true when it was executed. */
interface Commit {
  readonly id: number;
  readonly position: Position;
  /** A later primary had been promoted before the commit was executed. */
  readonly afterReplacement: boolean;
}

/** The whole system. */
export interface System {
  readonly databases: readonly Database[];
  readonly promoters: readonly FailoverState[];
  readonly messages: readonly Message[];
  readonly ack: AckState;
  /** Probe answers on their way back, at most one a database. */
  readonly probes: readonly {status: DatabaseStatus; sequence: number}[];
  readonly commits: readonly Commit[];
  readonly confirmed: readonly number[];
  /** Databases promoted, by term. */
  readonly promoted: readonly {term: number; database: string}[];
  readonly sequence: number;
  readonly crashes: number;
}

/** One thing that may happen. */
export type SystemEvent =
  | {readonly type: 'tick'; readonly promoter: number}
  | {readonly type: 'crash'; readonly promoter: number}
  | {
      /** A message that is never delivered is a lost one. */
      readonly type: 'deliver' | 'deliverWithoutAnswer';
      readonly message: number;
    }
  | {readonly type: 'write'; readonly database: number}
  | {readonly type: 'replicate'; readonly database: number}
  | {readonly type: 'probe'; readonly database: number}
  | {readonly type: 'probeAnswer'; readonly probe: number};

/** How the system is bounded, and what is weakened in it. */
export interface FailoverModelOptions {
  readonly name: string;
  readonly writeAck: WriteAck;
  readonly maxTerm: number;
  readonly maxWrites: number;
  readonly maxCrashes: number;
  readonly rules?: FailoverRules;
  readonly confirms?: ConfirmRule;
  /** Databases grant a term to whoever asks. */
  readonly grantsTwice?: boolean;
  /** Events that lead to the state where the exploration starts. */
  readonly prefix?: readonly SystemEvent[];
  /** Decides whether a log holds a floor. */
  readonly covers?: (status: DatabaseStatus, floor: Position) => boolean;
}

const NAMES = ['a', 'b', 'c'];
const TIMES = {
  suspectAfterMs: 1,
  voteWaitMs: 1,
  stageWaitMs: 1,
  strandedAfterMs: 1,
};
/** All events but ticks happen at 1; a tick at 2 lets every timer fire. */
const NOW_MS = 1;
const TICK_MS = 2;

const promoterOf = (index: number, boot: number): FailoverState =>
  createFailoverState({
    claimant: `p${index}.${boot}`,
    databases: NAMES,
    times: TIMES,
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

function initialSystem(options: FailoverModelOptions): System {
  const databases = NAMES.map((name, index): Database => ({
    name,
    term: 1,
    claimant: '',
    role: index === 0 ? 'primary' : 'replica',
    following: index === 0 ? undefined : NAMES[0],
    log: [],
    lineage: [{term: 1, startOffset: 0}],
  }));
  const promoters = [0, 1].map(index =>
    databases.reduce(
      (state, database) =>
        stepFailover(state, {
          type: 'status',
          status: statusOf(database),
          nowMs: NOW_MS,
        }).state,
      promoterOf(index, 0),
    ),
  );
  return {
    databases,
    promoters,
    messages: [],
    ack: createAckState(NAMES, options.writeAck),
    probes: [],
    commits: [],
    confirmed: [],
    promoted: [{term: 1, database: 'a'}],
    sequence: 0,
    crashes: 0,
  };
}

/** Builds the model. */
export function failoverModel(
  options: FailoverModelOptions,
): Model<System, SystemEvent> {
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
        coveredReadsSeeWrites(system, options.covers ?? covers),
    },
    fingerprint,
  };
}

const covers = (status: DatabaseStatus, floor: Position): boolean =>
  coverage(status, floor) === Coverage.covered;

function enabledEvents(
  system: System,
  options: FailoverModelOptions,
): SystemEvent[] {
  const events: SystemEvent[] = [];
  system.promoters.forEach((state, promoter) => {
    if (mayTick(state, options)) events.push({type: 'tick', promoter});
    if (system.crashes < options.maxCrashes && state.phase.name !== 'steady') {
      events.push({type: 'crash', promoter});
    }
  });
  system.messages.forEach((sent, message) => {
    events.push({type: 'deliver', message});
    if (sent.type !== 'follow') {
      events.push({type: 'deliverWithoutAnswer', message});
    }
  });
  system.databases.forEach((database, index) => {
    if (
      database.role === 'primary' &&
      system.commits.length < options.maxWrites
    ) {
      events.push({type: 'write', database: index});
    }
    if (canReplicate(system, database)) {
      events.push({type: 'replicate', database: index});
    }
    if (wantsProbe(system, database)) {
      events.push({type: 'probe', database: index});
    }
  });
  system.probes.forEach((_, probe) =>
    events.push({type: 'probeAnswer', probe}),
  );
  return events;
}

/** Terms are bounded: no claim is made beyond the highest. */
const mayTick = (
  state: FailoverState,
  options: FailoverModelOptions,
): boolean => state.term < options.maxTerm;

const primaryOf = (system: System, name: string | undefined) =>
  system.databases.find(entry => entry.name === name);

function canReplicate(system: System, database: Database): boolean {
  const primary = primaryOf(system, database.following);
  return (
    primary !== undefined &&
    primary.role === 'primary' &&
    primary.term === database.term &&
    !sameLog(primary, database)
  );
}

const sameLog = (a: Database, b: Database): boolean =>
  a.log.length === b.log.length && a.lineage.length === b.lineage.length;

const wantsProbe = (system: System, database: Database): boolean =>
  system.ack.pending.length > 0 &&
  !system.probes.some(probe => probe.status.database === database.name);

function stepSystem(
  system: System,
  event: SystemEvent,
  options: FailoverModelOptions,
): System {
  switch (event.type) {
    case 'tick':
      return applyTo(system, event.promoter, tickOf(event.promoter), options);
    case 'crash':
      return crash(system, event.promoter);
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

const tickOf = (promoter: number): FailoverEvent => ({
  type: 'tick',
  observers: [`vm${promoter}`],
  nowMs: TICK_MS,
});

function crash(system: System, promoter: number): System {
  const crashes = system.crashes + 1;
  const promoters = system.promoters.with(
    promoter,
    promoterOf(promoter, crashes),
  );
  // The restarted VM learns the present statuses by its first probes.
  const restarted = system.databases.reduce(
    (state, database) =>
      stepFailover(state, {
        type: 'status',
        status: statusOf(database),
        nowMs: NOW_MS,
      }).state,
    promoters[promoter],
  );
  return {
    ...system,
    crashes,
    promoters: promoters.with(promoter, restarted),
    messages: system.messages.filter(message => message.from !== promoter),
  };
}

/** Applies an event to one promoter and sends what it wants sent. */
function applyTo(
  system: System,
  promoter: number,
  event: FailoverEvent,
  options: FailoverModelOptions,
): System {
  const {state, effects} = stepFailover(
    system.promoters[promoter],
    event,
    options.rules ?? SAFE_RULES,
  );
  const next = {
    ...system,
    promoters: system.promoters.with(promoter, state),
  };
  const asks = effects.some(effect => effect.type === 'askObservers');
  const sent = effects.flatMap(effect => messageOf(promoter, effect));
  const grown = {...next, messages: [...next.messages, ...sent]};
  if (!asks) return grown;
  // The worst case: whoever is asked cannot reach the primary either.
  const vote: FailoverEvent = {
    type: 'vote',
    observer: `vm${promoter}`,
    reachable: false,
    nowMs: NOW_MS,
  };
  return applyTo(grown, promoter, vote, options);
}

function messageOf(from: number, effect: FailoverEffect): Message[] {
  switch (effect.type) {
    case 'raise':
    case 'promote':
      return [
        {from, type: effect.type, database: effect.database, term: effect.term},
      ];
    case 'follow':
      return [
        {
          from,
          type: 'follow',
          database: effect.database,
          term: effect.term,
          primary: effect.primary,
        },
      ];
    case 'askObservers':
      return [];
  }
}

/** Drops messages that their database can only refuse. */
const current = (system: System): System => ({
  ...system,
  messages: system.messages.filter(message => {
    const database = primaryOf(system, message.database);
    return database !== undefined && message.term >= database.term;
  }),
});

const withoutMessage = (system: System, index: number): System => ({
  ...system,
  messages: system.messages.filter((_, at) => at !== index),
});

function deliver(
  system: System,
  event: {readonly type: string; readonly message: number},
  options: FailoverModelOptions,
): System {
  const message = system.messages[event.message];
  const at = NAMES.indexOf(message.database);
  const {claimant} = system.promoters[message.from];
  const answered = handle(system.databases[at], message, claimant, options);
  const promoted =
    message.type === 'promote' && answered.granted
      ? [...system.promoted, {term: message.term, database: message.database}]
      : system.promoted;
  const next = {
    ...withoutMessage(system, event.message),
    databases: system.databases.with(at, answered.database),
    promoted,
  };
  if (event.type === 'deliverWithoutAnswer') return current(next);
  const reply = replyOf(message, answered);
  return current(reply ? applyTo(next, message.from, reply, options) : next);
}

interface Handled {
  readonly database: Database;
  readonly granted: boolean;
}

function handle(
  database: Database,
  message: Message,
  claimant: string,
  options: FailoverModelOptions,
): Handled {
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
): Handled {
  if (term === database.term) {
    const granted = options.grantsTwice || claimant === database.claimant;
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
): Handled {
  const owns = options.grantsTwice || claimant === database.claimant;
  if (term !== database.term || !owns) return {database, granted: false};
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

function replyOf(
  message: Message,
  handled: Handled,
): FailoverEvent | undefined {
  const {granted, database} = handled;
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

function write(system: System, index: number): System {
  const database = system.databases[index];
  const id = system.commits.length + 1;
  const sequence = system.sequence + 1;
  const log = [...database.log, id];
  const term = database.lineage[database.lineage.length - 1].term;
  const position = {term, offset: log.length};
  const afterReplacement = system.promoted.some(entry => entry.term > term);
  return {
    ...system,
    sequence,
    databases: system.databases.with(index, {...database, log}),
    commits: [...system.commits, {id, position, afterReplacement}],
    ack: addCommit(system.ack, {id, position, sequence}),
  };
}

function replicate(system: System, index: number): System {
  const database = system.databases[index];
  const primary = primaryOf(system, database.following);
  if (!primary) return system;
  const shared = database.lineage.every(start =>
    primary.lineage.some(
      other =>
        other.term === start.term && other.startOffset === start.startOffset,
    ),
  );
  const next = primary.lineage.find(
    start => !database.lineage.some(own => own.term === start.term),
  );
  const keep = shared
    ? Math.min(database.log.length, next?.startOffset ?? Infinity)
    : 0;
  const log = primary.log.slice(0, Math.min(primary.log.length, keep + 1));
  return {
    ...system,
    databases: system.databases.with(index, {
      ...database,
      log,
      lineage: primary.lineage,
    }),
  };
}

function probe(system: System, index: number): System {
  const sequence = system.sequence + 1;
  const status = statusOf(system.databases[index]);
  return {...system, sequence, probes: [...system.probes, {status, sequence}]};
}

function answerProbe(
  system: System,
  index: number,
  options: FailoverModelOptions,
): System {
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

const confirmedCommits = (system: System): Commit[] =>
  system.commits.filter(commit => system.confirmed.includes(commit.id));

const noAckAfterReplacement = (system: System): boolean =>
  confirmedCommits(system).every(commit => !commit.afterReplacement);

const onePrimaryPerTerm = (system: System): boolean =>
  system.promoted.every(entry =>
    system.promoted.every(
      other => other.term !== entry.term || other.database === entry.database,
    ),
  );

/** Every later primary holds each acknowledged commit. */
const nothingAckedIsLost = (system: System): boolean =>
  confirmedCommits(system).every(commit =>
    system.databases
      .filter(entry => entry.role === 'primary')
      .filter(entry => entry.term > commit.position.term)
      .every(entry => entry.log.includes(commit.id)),
  );

/** A database that counts as covering a commit's position holds the commit. */
const coveredReadsSeeWrites = (
  system: System,
  isCovered: (status: DatabaseStatus, floor: Position) => boolean,
): boolean =>
  confirmedCommits(system).every(commit =>
    system.databases
      .filter(entry => isCovered(statusOf(entry), commit.position))
      .every(entry => entry.log.includes(commit.id)),
  );

const textOfStatus = (status: DatabaseStatus): string =>
  [
    status.database,
    status.role === 'primary' ? 'P' : 'r',
    status.term,
    status.offset,
    status.following ?? '-',
    status.lineage.map(start => `${start.term}@${start.startOffset}`).join('.'),
  ].join(' ');

const textOfDatabase = (database: Database): string =>
  `${textOfStatus(statusOf(database))} ${database.claimant} ${database.log.join('.')}`;

/**
 * What a promoter knows of the databases is left out: with timers that may
 * always fire, a tick ends in a claim whatever is known.
 */
function textOfPromoter(state: FailoverState): string {
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

const textOfMessage = (message: Message): string =>
  [
    message.from,
    message.type,
    message.database,
    message.term,
    message.primary ?? '',
  ].join(' ');

const fingerprints = new WeakMap<System, string>();

function fingerprint(system: System): string {
  const known = fingerprints.get(system);
  if (known !== undefined) return known;
  const text = describeSystem(system);
  fingerprints.set(system, text);
  return text;
}

/** Sequence numbers matter only by their order. */
function describeSystem(system: System): string {
  const evidence = [...system.ack.evidence.values()];
  const used = [...system.ack.pending, ...evidence, ...system.probes]
    .map(entry => entry.sequence)
    .sort((a, b) => a - b);
  const rank = (sequence: number): number => used.indexOf(sequence);
  const seen = (entry: {status: DatabaseStatus; sequence: number}): string =>
    `${textOfStatus(entry.status)} ${rank(entry.sequence)}`;
  const parts: string[][] = [
    system.databases.map(textOfDatabase),
    system.promoters.map(textOfPromoter),
    system.messages.map(textOfMessage).sort(),
    system.ack.pending.map(entry => `${entry.id}:${rank(entry.sequence)}`),
    evidence.map(seen).sort(),
    system.probes.map(seen).sort(),
    system.commits.map(
      c => `${c.position.term}/${c.position.offset}/${c.afterReplacement}`,
    ),
    system.confirmed.map(String),
    system.promoted.map(entry => `${entry.term}${entry.database}`).sort(),
    [String(system.crashes)],
  ];
  return parts.map(part => part.join(';')).join('|');
}

/** Grants needed when a majority is replaced by a single database. */
export const grantsOfOne = (): number => 1;
