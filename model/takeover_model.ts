/**
 * Takeover on a platform that arbitrates terms: three databases, a commit is
 * acknowledged once a replica holds it, replicas can be stopped, orders to
 * promote may be carried out late. The platform checks their fences, or does not.
 */
import {
  chooseTakeover,
  SAFE_TAKEOVER,
  StoppedLog,
  TakeoverRules,
} from '../src/core/takeover.js';
import {Model} from './explore.js';

/** One database. */
interface Database {
  /** Ids of the commits in its log. */
  readonly log: readonly number[];
  readonly stopped: boolean;
}

/** An order to promote that has not been carried out or refused. */
interface Order {
  readonly database: number;
  readonly fence: number;
}

/** The whole system. */
export interface TakeoverSystem {
  readonly databases: readonly Database[];
  readonly leader: number;
  /** The primary as the holder knows it; it does not stop that one's log. */
  readonly knownLeader: number;
  readonly commits: number;
  readonly acknowledged: readonly number[];
  /** What the present holder has seen stopped, by database. */
  readonly seen: ReadonlyArray<number | undefined>;
  readonly orders: readonly Order[];
  readonly fence: number;
  /** Highest fence that the platform has seen. */
  readonly seenFence: number;
  /** An order of this holder or of an earlier one may still be carried out. */
  readonly inDoubt: boolean;
  readonly holderChanges: number;
}

/** One thing that may happen. */
export type TakeoverEvent =
  | {
      readonly type:
        | 'commit'
        | 'acknowledge'
        | 'order'
        | 'giveUp'
        | 'changeHolder'
        | 'observe'
        | 'confirmLeader';
    }
  | {readonly type: 'deliver' | 'stop'; readonly database: number}
  | {readonly type: 'carryOut'; readonly order: number};

/** Parts that mutants replace. */
export interface TakeoverModelRules {
  readonly takeover: TakeoverRules;
  /** Whether replicas may receive again while an order is outstanding. */
  readonly resumesInDoubt: boolean;
  /** Whether a new order after a doubtful one has a higher fence. */
  readonly raisesFence: boolean;
  /** Whether a new holder takes orders of earlier ones into account. */
  readonly doubtsEarlierHolders: boolean;
  /** Whether the platform refuses an order with a lower fence than it has seen. */
  readonly checksFence: boolean;
  /**
   * Without that check: whether only the database of an order that may still be
   * carried out is ordered, or named as the leader again.
   */
  readonly insists: boolean;
}

export const SAFE_TAKEOVER_RULES: TakeoverModelRules = {
  takeover: SAFE_TAKEOVER,
  resumesInDoubt: false,
  raisesFence: true,
  doubtsEarlierHolders: true,
  checksFence: true,
  insists: false,
};

/** The rules where the platform does not check fences. */
export const UNFENCED_TAKEOVER_RULES: TakeoverModelRules = {
  ...SAFE_TAKEOVER_RULES,
  checksFence: false,
  insists: true,
};

const MAX_COMMITS = 3;
const MAX_ORDERS = 2;
const NONE_SEEN = [undefined, undefined, undefined];

/** Builds the model. */
export function takeoverModel(
  name: string,
  rules: TakeoverModelRules,
): Model<TakeoverSystem, TakeoverEvent> {
  return {
    name,
    initial: {
      databases: [0, 1, 2].map(() => ({log: [], stopped: false})),
      leader: 0,
      knownLeader: 0,
      commits: 0,
      acknowledged: [],
      seen: NONE_SEEN,
      orders: [],
      fence: 1,
      seenFence: 0,
      inDoubt: false,
      holderChanges: 0,
    },
    enabled: system => enabledEvents(system, rules),
    step: (system, event) => step(system, event, rules),
    invariants: {
      acknowledgedCommitsLead: system =>
        system.acknowledged.every(id =>
          system.databases[system.leader].log.includes(id),
        ),
    },
    fingerprint: system => JSON.stringify(system),
  };
}

function enabledEvents(
  system: TakeoverSystem,
  rules: TakeoverModelRules,
): TakeoverEvent[] {
  const events: TakeoverEvent[] = [];
  if (system.commits < MAX_COMMITS) events.push({type: 'commit'});
  if (unacknowledged(system) !== undefined) events.push({type: 'acknowledge'});
  system.databases.forEach((_, database) => {
    if (canReceive(system, database)) events.push({type: 'deliver', database});
    if (database === system.knownLeader) return;
    events.push({type: 'stop', database});
  });
  const chosen = choice(system, rules);
  const isAllowed = chosen !== undefined && mayLead(system, chosen, rules);
  if (system.orders.length < MAX_ORDERS && isAllowed) {
    events.push({type: 'order'});
  }
  system.orders.forEach((_, order) => events.push({type: 'carryOut', order}));
  if (!system.inDoubt || rules.resumesInDoubt) events.push({type: 'giveUp'});
  else {
    events.push({type: 'observe'});
    if (mayLead(system, system.leader, rules)) {
      events.push({type: 'confirmLeader'});
    }
  }
  if (system.holderChanges === 0) events.push({type: 'changeHolder'});
  return events;
}

/** The first commit of the leader that a replica holds and no one was told of. */
function unacknowledged(system: TakeoverSystem): number | undefined {
  const {databases, leader, acknowledged} = system;
  return databases[leader].log.find(
    id =>
      !acknowledged.includes(id) &&
      databases.some((d, index) => index !== leader && d.log.includes(id)),
  );
}

function canReceive(system: TakeoverSystem, database: number): boolean {
  const {log, stopped} = system.databases[database];
  if (database === system.leader) return false;
  const from = system.databases[system.leader].log;
  const isPrefix = log.every((id, index) => from[index] === id);
  return !stopped && isPrefix && log.length < from.length;
}

/**
 * Whether a database may be made the leader, or named again. Where fences are
 * not checked, an order is waited for until it cannot be carried out any more.
 */
function mayLead(
  system: TakeoverSystem,
  database: number,
  {insists}: TakeoverModelRules,
): boolean {
  if (!insists) return true;
  return system.orders.every(order => order.database === database);
}

/** What the holder would order from what it has seen. */
function choice(
  system: TakeoverSystem,
  rules: TakeoverModelRules,
): number | undefined {
  const logs: StoppedLog[] = [];
  system.seen.forEach((length, database) => {
    if (length === undefined) return;
    const position = {term: 1, offset: length};
    logs.push({database: String(database), position, leaving: false});
  });
  if (logs.length === 0) return undefined;
  const group = {size: 3, syncReplicas: 1};
  const preferred = rules.insists ? system.orders[0]?.database : undefined;
  const chosen = chooseTakeover(
    group,
    logs,
    rules.takeover,
    preferred === undefined ? undefined : String(preferred),
  );
  return chosen.kind === 'promote' ? Number(chosen.database) : undefined;
}

function step(
  system: TakeoverSystem,
  event: TakeoverEvent,
  rules: TakeoverModelRules,
): TakeoverSystem {
  switch (event.type) {
    case 'commit':
      return append(system, system.leader, system.commits, {
        commits: system.commits + 1,
      });
    case 'acknowledge': {
      const id = unacknowledged(system);
      return id === undefined
        ? system
        : {...system, acknowledged: [...system.acknowledged, id]};
    }
    case 'deliver': {
      const {log} = system.databases[event.database];
      const id = system.databases[system.leader].log[log.length];
      return append(system, event.database, id, {});
    }
    case 'stop':
      return stop(system, event.database, rules);
    case 'order':
      return order(system, rules);
    case 'carryOut':
      return carryOut(system, event.order, rules);
    case 'giveUp':
      return {
        ...resumeAll(system),
        seen: NONE_SEEN,
        knownLeader: system.leader,
      };
    case 'observe':
      return observe(system, rules);
    case 'changeHolder':
      return {
        ...system,
        fence: system.fence + 1,
        seen: NONE_SEEN,
        knownLeader: system.leader,
        inDoubt: rules.doubtsEarlierHolders,
        holderChanges: 1,
      };
    case 'confirmLeader':
      // Naming the present primary again ends the attempt.
      if (rules.insists) {
        return {
          ...resumeAll(system),
          seen: NONE_SEEN,
          knownLeader: system.leader,
          inDoubt: false,
        };
      }
      // Ordering it changes nothing but the highest fence.
      return {
        ...system,
        fence: system.fence + 1,
        seenFence: system.fence + 1,
        inDoubt: false,
      };
  }
}

function append(
  system: TakeoverSystem,
  database: number,
  id: number,
  extra: Partial<TakeoverSystem>,
): TakeoverSystem {
  const {log, stopped} = system.databases[database];
  const next = {log: [...log, id], stopped};
  const databases = system.databases.with(database, next);
  return {...system, ...extra, databases};
}

function stop(
  system: TakeoverSystem,
  database: number,
  rules: TakeoverModelRules,
): TakeoverSystem {
  // The database reports that it leads: the holder begins anew.
  if (database === system.leader) return observe(system, rules);
  const {log} = system.databases[database];
  return {
    ...system,
    databases: system.databases.with(database, {log, stopped: true}),
    seen: system.seen.with(database, log.length),
  };
}

const resumeAll = (system: TakeoverSystem): TakeoverSystem => ({
  ...system,
  databases: system.databases.map(({log}) => ({log, stopped: false})),
});

function order(
  system: TakeoverSystem,
  rules: TakeoverModelRules,
): TakeoverSystem {
  const database = choice(system, rules);
  if (database === undefined) return system;
  const raised = system.inDoubt && rules.raisesFence;
  const fence = raised ? system.fence + 1 : system.fence;
  return {
    ...system,
    fence,
    inDoubt: true,
    // Another order needs another round of stopping and reading.
    seen: NONE_SEEN,
    orders: [...system.orders, {database, fence}],
  };
}

/** The platform carries an order out, unless a higher fence came before. */
function carryOut(
  system: TakeoverSystem,
  index: number,
  {checksFence}: TakeoverModelRules,
): TakeoverSystem {
  const {database, fence} = system.orders[index];
  const orders = system.orders.filter((_, at) => at !== index);
  const isOutdated = checksFence && fence < system.seenFence;
  const refused = isOutdated || database === system.leader;
  const seenFence = Math.max(fence, system.seenFence);
  if (refused) return {...system, orders, seenFence};
  const {log} = system.databases[database];
  return {
    ...system,
    orders,
    seenFence,
    leader: database,
    // Those that were ahead are rolled back; a promotion lets all receive.
    databases: system.databases.map(d => ({
      log: d.log.filter((id, at) => log[at] === id),
      stopped: false,
    })),
  };
}

/** The holder sees who leads; without open orders replicas may receive. */
function observe(
  system: TakeoverSystem,
  rules: TakeoverModelRules,
): TakeoverSystem {
  const seen = {...system, seen: NONE_SEEN, knownLeader: system.leader};
  if (!mayLead(system, system.leader, rules)) return seen;
  if (rules.insists && system.orders.length > 0) return resumeAll(seen);
  const open = system.orders.some(({fence}) => fence === system.fence);
  if (open || system.seenFence < system.fence) return seen;
  return {...resumeAll(seen), inDoubt: false};
}
