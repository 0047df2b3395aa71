/**
 * Model of a takeover (change of primary) on a platform that executes promotion
 * orders. A group has three databases, and a commit is acknowledged once a
 * replica holds it. The lease holder stops replicas and orders promotions; the
 * platform may execute an order late, and may or may not check fencing tokens.
 */
import {
  chooseTakeover,
  SAFE_TAKEOVER,
  StoppedLog,
  TakeoverRules,
} from '../src/core/takeover.js';
import {Model} from './explore.js';

/** State of one database in the model. */
interface Database {
  /** Ids of the commits in the log, oldest first. */
  readonly log: readonly number[];
  /** Whether the lease holder has stopped it from receiving the log. */
  readonly isStopped: boolean;
}

/** A promotion order that has been neither executed nor refused. */
interface PromotionOrder {
  readonly database: number;
  readonly fencingToken: number;
  /** Whether it confirms the primary, rather than promotes a replica. */
  readonly isConfirmation: boolean;
}

/** State of the databases, the platform and the current lease holder. */
export interface TakeoverSystem {
  readonly databases: readonly Database[];
  readonly primary: number;
  /** Database that the lease holder takes for the primary and does not stop. */
  readonly knownPrimary: number;
  /** Number of commits so far; the next commit gets this id. */
  readonly commits: number;
  /** Ids of the acknowledged commits. */
  readonly acknowledged: readonly number[];
  /**
   * Log length of each database that the current lease holder has stopped from
   * receiving the log; undefined for the others.
   */
  readonly stoppedLengths: ReadonlyArray<number | undefined>;
  readonly orders: readonly PromotionOrder[];
  /** Fencing token of the current lease holder. */
  readonly fencingToken: number;
  /** Highest fencing token that the platform has received. */
  readonly highestFencingToken: number;
  /**
   * Whether the lease holder assumes that the platform may still execute an
   * order of its own or of an earlier holder.
   */
  readonly hasUnconfirmedOrder: boolean;
  readonly holderChanges: number;
  /** Whether homes prefer another one among databases with equal logs. */
  readonly haveHomesChanged: boolean;
}

/** A transition of the model. */
export type TakeoverEvent =
  | {
      readonly type:
        | 'commit'
        | 'acknowledge'
        | 'order'
        | 'abandon'
        | 'changeHolder'
        | 'changeHomes'
        | 'observe'
        | 'confirmPrimary'
        | 'loseConfirmation';
    }
  | {readonly type: 'deliver' | 'stop'; readonly database: number}
  | {readonly type: 'execute'; readonly order: number};

/** The rules of the lease holder and the platform; each mutant weakens one. */
export interface TakeoverModelRules {
  readonly takeover: TakeoverRules;
  /** Whether replicas may receive the log while an order is unconfirmed. */
  readonly resumesWhileUnconfirmed: boolean;
  /** Whether an order after an unconfirmed one has a higher fencing token. */
  readonly raisesFencingToken: boolean;
  /** Whether that includes an unanswered order that confirms the primary. */
  readonly countsConfirmations: boolean;
  /**
   * Whether an order that confirms the primary may be sent, and stay
   * unanswered, while an earlier order may still be executed.
   */
  readonly confirmsBesideOrders: boolean;
  /**
   * Whether a new lease holder assumes that earlier holders have left
   * unconfirmed orders.
   */
  readonly expectsEarlierOrders: boolean;
  /** Whether the platform refuses orders with outdated fencing tokens. */
  readonly checksFencingTokens: boolean;
  /**
   * Whether, as long as an order may still be executed, only the database of
   * that order may be promoted or confirmed as primary. Needed where the
   * platform does not check fencing tokens.
   */
  readonly waitsForOrders: boolean;
  /**
   * Whether a new lease holder's fencing token is above all earlier ones, also
   * if the store that gives it out was restored from an older copy meanwhile.
   */
  readonly tokensRiseOverRestores: boolean;
  /**
   * Whether changed homes apply to the choice only once no order can be executed
   * that was chosen by the former ones.
   */
  readonly waitsForSettledHomes: boolean;
  /** Whether homes change in the model; the other models stay smaller. */
  readonly doHomesChange: boolean;
}

export const SAFE_TAKEOVER_RULES: TakeoverModelRules = {
  takeover: SAFE_TAKEOVER,
  resumesWhileUnconfirmed: false,
  raisesFencingToken: true,
  countsConfirmations: true,
  confirmsBesideOrders: false,
  expectsEarlierOrders: true,
  checksFencingTokens: true,
  waitsForOrders: false,
  tokensRiseOverRestores: true,
  waitsForSettledHomes: true,
  doHomesChange: false,
};

/** The rules where the platform does not check fencing tokens. */
export const UNFENCED_TAKEOVER_RULES: TakeoverModelRules = {
  ...SAFE_TAKEOVER_RULES,
  checksFencingTokens: false,
  waitsForOrders: true,
};

const MAX_COMMITS = 3;
const MAX_ORDERS = 2;
const NO_STOPPED_LOGS = [undefined, undefined, undefined];

/**
 * `isNewHolder`: begins with a holder that knows nothing of earlier orders.
 * `earlierOrders`: databases whose promotion an earlier holder has ordered; it
 * has left the replicas stopped.
 */
export function takeoverModel(
  name: string,
  rules: TakeoverModelRules,
  isNewHolder = false,
  earlierOrders: readonly number[] = [],
): Model<TakeoverSystem, TakeoverEvent> {
  return {
    name,
    initial: {
      databases: [0, 1, 2].map(database => ({
        log: [],
        isStopped: database !== 0 && earlierOrders.length > 0,
      })),
      primary: 0,
      knownPrimary: 0,
      commits: 0,
      acknowledged: [],
      stoppedLengths: NO_STOPPED_LOGS,
      orders: earlierOrders.map(database => ({
        database,
        fencingToken: 0,
        isConfirmation: false,
      })),
      fencingToken: 1,
      highestFencingToken: 0,
      hasUnconfirmedOrder: isNewHolder,
      holderChanges: isNewHolder ? 1 : 0,
      haveHomesChanged: false,
    },
    enabled: system => enabledEvents(system, rules),
    step: (system, event) => step(system, event, rules),
    invariants: {
      /** The primary holds every acknowledged commit. */
      acknowledgedCommitsLead: system =>
        system.acknowledged.every(id =>
          system.databases[system.primary].log.includes(id),
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
  if (firstAcknowledgeable(system) !== undefined)
    events.push({type: 'acknowledge'});
  system.databases.forEach((_, database) => {
    if (canReceive(system, database)) events.push({type: 'deliver', database});
    if (database === system.knownPrimary) return;
    events.push({type: 'stop', database});
  });
  const chosen = chooseDatabase(system, rules);
  const isAllowed =
    chosen !== undefined && mayBecomePrimary(system, chosen, rules);
  if (system.orders.length < MAX_ORDERS && isAllowed) {
    events.push({type: 'order'});
  }
  system.orders.forEach((_, order) => events.push({type: 'execute', order}));
  if (!system.hasUnconfirmedOrder || rules.resumesWhileUnconfirmed)
    events.push({type: 'abandon'});
  else {
    events.push({type: 'observe'});
    if (mayBecomePrimary(system, system.primary, rules)) {
      events.push({type: 'confirmPrimary'});
    }
    const mayConfirm =
      system.orders.length === 0 ||
      (rules.confirmsBesideOrders && system.orders.length < MAX_ORDERS);
    if (!rules.waitsForOrders && mayConfirm)
      events.push({type: 'loseConfirmation'});
  }
  if (system.holderChanges === 0) events.push({type: 'changeHolder'});
  // No model without fencing changes homes: its holder forgets an order that was executed, and
  // other databases may follow even if homes never change; a front remembers its
  // order for as long as it may be executed (`front/unconfirmed_orders.ts`).
  const mayHomesChange =
    rules.doHomesChange &&
    (system.orders.length === 0 || !rules.waitsForSettledHomes);
  if (!system.haveHomesChanged && mayHomesChange)
    events.push({type: 'changeHomes'});
  return events;
}

/**
 * Returns the primary's first unacknowledged commit that a replica holds;
 * undefined if there is none.
 */
function firstAcknowledgeable(system: TakeoverSystem): number | undefined {
  const {databases, primary, acknowledged} = system;
  return databases[primary].log.find(
    id =>
      !acknowledged.includes(id) &&
      databases.some((d, index) => index !== primary && d.log.includes(id)),
  );
}

function canReceive(system: TakeoverSystem, database: number): boolean {
  const {log, isStopped} = system.databases[database];
  if (database === system.primary) return false;
  const primaryLog = system.databases[system.primary].log;
  const isPrefix = log.every((id, index) => primaryLog[index] === id);
  return !isStopped && isPrefix && log.length < primaryLog.length;
}

/**
 * Whether a database may be promoted or confirmed as primary. Without fencing,
 * an order that can still be executed excludes all other databases.
 */
function mayBecomePrimary(
  system: TakeoverSystem,
  database: number,
  {waitsForOrders}: TakeoverModelRules,
): boolean {
  if (!waitsForOrders) return true;
  return system.orders.every(order => order.database === database);
}

/**
 * Returns the database that the lease holder would promote, given the logs that
 * it has stopped; undefined if it needs more of them.
 */
function chooseDatabase(
  system: TakeoverSystem,
  rules: TakeoverModelRules,
): number | undefined {
  const logs: StoppedLog[] = [];
  system.stoppedLengths.forEach((length, database) => {
    if (length === undefined) return;
    const position = {term: 1, offset: length};
    const allowedRoutes = system.haveHomesChanged ? database : 0;
    logs.push({
      database: String(database),
      position,
      leaving: false,
      allowedRoutes,
    });
  });
  if (logs.length === 0) return undefined;
  const group = {size: 3, syncReplicas: 1};
  const preferred = rules.waitsForOrders
    ? system.orders[0]?.database
    : undefined;
  const chosen = chooseTakeover(
    group,
    logs,
    rules.takeover,
    preferred === undefined ? {} : {ordered: String(preferred)},
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
      return append(system, system.primary, system.commits, {
        commits: system.commits + 1,
      });
    case 'acknowledge': {
      const id = firstAcknowledgeable(system);
      return id === undefined
        ? system
        : {...system, acknowledged: [...system.acknowledged, id]};
    }
    case 'deliver': {
      const {log} = system.databases[event.database];
      const id = system.databases[system.primary].log[log.length];
      return append(system, event.database, id, {});
    }
    case 'stop':
      return stopReplication(system, event.database, rules);
    case 'order':
      return issueOrder(system, rules);
    case 'execute':
      return executeOrder(system, event.order, rules);
    case 'abandon':
      return {
        ...resumeAll(system),
        stoppedLengths: NO_STOPPED_LOGS,
        knownPrimary: system.primary,
      };
    case 'observe':
      return observe(system, rules);
    case 'changeHolder':
      return {
        ...system,
        fencingToken: rules.tokensRiseOverRestores
          ? system.fencingToken + 1
          : system.fencingToken - 1,
        stoppedLengths: NO_STOPPED_LOGS,
        knownPrimary: system.primary,
        hasUnconfirmedOrder: rules.expectsEarlierOrders,
        holderChanges: 1,
      };
    case 'changeHomes':
      // The holder waits for longer than it takes to stop the replicas.
      return {
        ...system,
        haveHomesChanged: true,
        stoppedLengths: rules.waitsForSettledHomes
          ? NO_STOPPED_LOGS
          : system.stoppedLengths,
      };
    case 'confirmPrimary':
      // Without fencing, confirming the current primary ends the takeover.
      if (rules.waitsForOrders) {
        return {
          ...resumeAll(system),
          stoppedLengths: NO_STOPPED_LOGS,
          knownPrimary: system.primary,
          hasUnconfirmedOrder: false,
        };
      }
      // Ordering the current primary again only raises the platform's highest
      // fencing token, which voids earlier orders.
      return {
        ...system,
        fencingToken: system.fencingToken + 1,
        highestFencingToken: system.fencingToken + 1,
        hasUnconfirmedOrder: false,
      };
    case 'loseConfirmation': {
      const fencingToken = system.fencingToken + 1;
      const database = system.primary;
      const order = {database, fencingToken, isConfirmation: true};
      return {...system, fencingToken, orders: [...system.orders, order]};
    }
  }
}

function append(
  system: TakeoverSystem,
  database: number,
  id: number,
  changes: Partial<TakeoverSystem>,
): TakeoverSystem {
  const {log, isStopped} = system.databases[database];
  const next = {log: [...log, id], isStopped};
  const databases = system.databases.with(database, next);
  return {...system, ...changes, databases};
}

function stopReplication(
  system: TakeoverSystem,
  database: number,
  rules: TakeoverModelRules,
): TakeoverSystem {
  // The database reports that it is primary: the lease holder starts over.
  if (database === system.primary) return observe(system, rules);
  const {log} = system.databases[database];
  return {
    ...system,
    databases: system.databases.with(database, {log, isStopped: true}),
    stoppedLengths: system.stoppedLengths.with(database, log.length),
  };
}

const resumeAll = (system: TakeoverSystem): TakeoverSystem => ({
  ...system,
  databases: system.databases.map(({log}) => ({log, isStopped: false})),
});

function issueOrder(
  system: TakeoverSystem,
  rules: TakeoverModelRules,
): TakeoverSystem {
  const database = chooseDatabase(system, rules);
  if (database === undefined) return system;
  const isForgotten =
    system.orders.at(-1)?.isConfirmation === true && !rules.countsConfirmations;
  const isRaised =
    system.hasUnconfirmedOrder && rules.raisesFencingToken && !isForgotten;
  const fencingToken = isRaised ? system.fencingToken + 1 : system.fencingToken;
  return {
    ...system,
    fencingToken,
    hasUnconfirmedOrder: true,
    // Before another order, the replicas must be stopped and read again.
    stoppedLengths: NO_STOPPED_LOGS,
    orders: [...system.orders, {database, fencingToken, isConfirmation: false}],
  };
}

/** Executes an order, unless a higher fencing token was received before it. */
function executeOrder(
  system: TakeoverSystem,
  index: number,
  {checksFencingTokens}: TakeoverModelRules,
): TakeoverSystem {
  const {database, fencingToken} = system.orders[index];
  const orders = system.orders.filter((_, at) => at !== index);
  const isOutdated =
    checksFencingTokens && fencingToken < system.highestFencingToken;
  const isRefused = isOutdated || database === system.primary;
  const highestFencingToken = Math.max(
    fencingToken,
    system.highestFencingToken,
  );
  if (isRefused) return {...system, orders, highestFencingToken};
  const {log} = system.databases[database];
  return {
    ...system,
    orders,
    highestFencingToken,
    primary: database,
    // Promotion rolls back entries that the new primary lacks, and lets all
    // databases receive the log again.
    databases: system.databases.map(d => ({
      log: d.log.filter((id, at) => log[at] === id),
      isStopped: false,
    })),
  };
}

/**
 * The lease holder learns which database is primary. Replicas receive
 * the log again if no order for another database can still be executed.
 */
function observe(
  system: TakeoverSystem,
  rules: TakeoverModelRules,
): TakeoverSystem {
  const observed = {
    ...system,
    stoppedLengths: NO_STOPPED_LOGS,
    knownPrimary: system.primary,
  };
  if (!mayBecomePrimary(system, system.primary, rules)) return observed;
  if (rules.waitsForOrders && system.orders.length > 0)
    return resumeAll(observed);
  const hasOpenOrder = system.orders.some(
    ({fencingToken}) => fencingToken === system.fencingToken,
  );
  if (hasOpenOrder || system.highestFencingToken < system.fencingToken)
    return observed;
  return {...resumeAll(observed), hasUnconfirmedOrder: false};
}
