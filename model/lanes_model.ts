/**
 * Model of transactions over fronts. The front of the callers sends statements,
 * ends of transactions and cancels to the holder, which runs them on its
 * database connections. Both are started again under their names, their
 * connection is lost, and the holder makes its worker of the database anew.
 * Messages of a lost connection may arrive after those of the next one.
 */
import {Model} from './explore.js';
import {
  clearWorker,
  closeConnection,
  deliver,
  startWork,
} from './lanes_holder.js';
import {
  CALLER,
  endTransactions,
  idAfter,
  LaneRules,
  LaneSystem,
  loseConnection,
  Misdirected,
  send,
  setTransaction,
  Transaction,
} from './lanes_system.js';

/** A transition of the model. */
export type LaneEvent =
  | {
      readonly type:
        | 'begin'
        | 'start'
        | 'lose'
        | 'restartCaller'
        | 'restartHolder'
        | 'remakeWorker';
    }
  | {readonly type: 'run' | 'end' | 'leave'; readonly transaction: number}
  | {readonly type: 'deliver' | 'close'; readonly connection: number};

const MAX_TRANSACTIONS = 2;
const MAX_STARTS = 2;
const MAX_LOSSES = 1;

/** Invariants by the kind of misdirection that they exclude. */
const INVARIANTS: Readonly<Record<Misdirected, string>> = {
  /** A statement runs inside its own transaction only. */
  statement: 'statementsRunInTheirTransaction',
  /** A caller's end of a transaction ends no other one. */
  end: 'endsMeetTheirTransaction',
  /** A cancel removes no other work. */
  cancel: 'cancelsMeetTheirWork',
  /** A closed connection ends only transactions that came over it. */
  close: 'closesEndTheirTransactions',
};

/** Creates the model; `excluded` are the misdirections that it checks. */
export function lanesModel(
  name: string,
  rules: LaneRules,
  excluded: readonly Misdirected[] = Object.values(Misdirected),
): Model<LaneSystem, LaneEvent> {
  const invariants = excluded.map(kind => [
    INVARIANTS[kind],
    ({misdirected}: LaneSystem) => !misdirected.includes(kind),
  ]);
  return {
    name,
    initial: {
      transactions: [],
      connections: [],
      connectionCount: 0,
      queue: [],
      lanes: [],
      caller: {starts: 1, ids: 0},
      holder: {starts: 1, ids: 0},
      worker: {makes: 1, ids: 0},
      losses: 0,
      misdirected: [],
    },
    enabled: enabledEvents,
    step: (system, event) => step(system, event, rules),
    invariants: Object.fromEntries(invariants),
    fingerprint: system => JSON.stringify(system),
  };
}

function enabledEvents(system: LaneSystem): LaneEvent[] {
  const {transactions, connections, queue, lanes} = system;
  const {caller, holder, worker} = system;
  const events: LaneEvent[] = [];
  for (const {number, messages, isLost} of connections) {
    if (messages.length > 0) events.push({type: 'deliver', connection: number});
    if (isLost) events.push({type: 'close', connection: number});
  }
  if (queue.length > 0) events.push({type: 'start'});
  transactions.forEach(({state}, transaction) => {
    if (state === 'opening') events.push({type: 'leave', transaction});
    if (state !== 'idle') return;
    events.push({type: 'run', transaction}, {type: 'end', transaction});
  });
  if (transactions.length < MAX_TRANSACTIONS) events.push({type: 'begin'});
  const isConnected = connections.some(connection => !connection.isLost);
  if (isConnected && system.losses < MAX_LOSSES) events.push({type: 'lose'});
  // A restart is left out where the process or worker has nothing to lose, which
  // keeps the model small enough for all of its states.
  if (caller.starts < MAX_STARTS && caller.ids > 0)
    events.push({type: 'restartCaller'});
  const isUsed = queue.length > 0 || lanes.length > 0;
  if (holder.starts < MAX_STARTS && isUsed)
    events.push({type: 'restartHolder'});
  if (worker.makes < MAX_STARTS && isUsed) events.push({type: 'remakeWorker'});
  return events;
}

function step(
  system: LaneSystem,
  event: LaneEvent,
  rules: LaneRules,
): LaneSystem {
  switch (event.type) {
    case 'begin':
      return begin(system, rules);
    case 'run':
      return send(
        setTransaction(system, event.transaction, {state: 'running'}),
        {type: 'statement', transaction: event.transaction},
        rules,
      );
    case 'end':
    case 'leave':
      return send(
        setTransaction(system, event.transaction, {state: 'over'}),
        {
          type: event.type === 'end' ? 'end' : 'cancel',
          transaction: event.transaction,
        },
        rules,
      );
    case 'deliver':
      return deliver(system, event.connection, rules);
    case 'start':
      return startWork(system, rules);
    case 'lose':
      return {...loseConnection(system), losses: system.losses + 1};
    case 'close':
      return closeConnection(system, event.connection, rules);
    case 'restartCaller':
      return {
        ...endTransactions(loseConnection(system), () => true),
        caller: {starts: system.caller.starts + 1, ids: 0},
      };
    case 'restartHolder':
      return {
        ...clearWorker(loseConnection(system)),
        connections: [],
        holder: {starts: system.holder.starts + 1, ids: 0},
        worker: {makes: 1, ids: 0},
      };
    case 'remakeWorker':
      return {
        ...clearWorker(system),
        worker: {makes: system.worker.makes + 1, ids: 0},
      };
  }
}

/** Begins a transaction and sends its first statement. */
function begin(system: LaneSystem, rules: LaneRules): LaneSystem {
  const {caller, transactions} = system;
  const process = rules.processId(CALLER, caller.starts);
  const transaction: Transaction = {
    id: idAfter(process, caller.ids),
    key: idAfter(process, caller.ids + 1),
    state: 'opening',
    process: caller.starts,
  };
  return send(
    {
      ...system,
      caller: {...caller, ids: caller.ids + 2},
      transactions: [...transactions, transaction],
    },
    {type: 'open', transaction: transactions.length},
    rules,
  );
}
