/**
 * State of the model of transactions over fronts: what the callers' front, its
 * connections and the holder keep, and the messages between them.
 */
import {OpenLane} from '../src/core/lanes.js';
import {createIdSource, WorkOrigin} from '../src/core/process_ids.js';

/** A caller's transaction; its position in the list is its true identity. */
export interface Transaction {
  readonly id: string;
  /** Key of the work that opens it. */
  readonly key: string;
  /**
   * As its caller's front knows it: waits for its lane, between two statements,
   * within a statement, or over.
   */
  readonly state: 'opening' | 'idle' | 'running' | 'over';
  /** Number of the process of the caller's front. */
  readonly process: number;
  readonly lane?: string;
}

/** What a message is about is sent as the transaction's id, key or lane. */
export interface Message {
  readonly type: 'open' | 'statement' | 'end' | 'cancel';
  readonly transaction: number;
}

/** A connection that the holder has not found closed yet. */
export interface Connection {
  /** True identity of the connection. */
  readonly number: number;
  readonly origin: WorkOrigin;
  /** Whether it is closed at the caller's front. */
  readonly isLost: boolean;
  /** Messages on the way, oldest first. */
  readonly messages: readonly Message[];
}

/** Work that waits for a database connection. */
export interface QueuedWork {
  readonly key: string;
  readonly transaction: number;
  readonly origin: WorkOrigin;
  readonly connection: number;
}

/** An open transaction at the holder, with what it truly belongs to. */
export interface ModelLane extends OpenLane {
  /** Transaction that is open on the database connection. */
  readonly owner: number;
  /** Connection between the fronts that brought its newest statement. */
  connection: number;
}

/** Messages and events that acted on something else than what they meant. */
export const Misdirected = {
  statement: 'statement',
  end: 'end',
  cancel: 'cancel',
  close: 'close',
} as const;
export type Misdirected = (typeof Misdirected)[keyof typeof Misdirected];

/** State of both fronts and of the connections between them. */
export interface LaneSystem {
  readonly transactions: readonly Transaction[];
  readonly connections: readonly Connection[];
  readonly connectionCount: number;
  readonly queue: readonly QueuedWork[];
  readonly lanes: readonly ModelLane[];
  /** Processes so far, and ids that the present one has given out. */
  readonly caller: {readonly starts: number; readonly ids: number};
  readonly holder: {readonly starts: number; readonly ids: number};
  /** Workers of the holder's process so far, and ids of the present one. */
  readonly worker: {readonly makes: number; readonly ids: number};
  readonly losses: number;
  readonly misdirected: readonly Misdirected[];
}

/** The rules of the fronts; each mutant weakens one or two. */
export interface LaneRules {
  /** Returns the id of a VM's process. */
  readonly processId: (vm: string, start: number) => string;
  /** Whether all workers of a process share its source of ids. */
  readonly workersShareIds: boolean;
  /** Whether a statement only runs in a lane of the transaction it names. */
  readonly checksTransaction: boolean;
  /** Whether a closed connection ends the lanes that came over it only. */
  readonly endsByConnection: boolean;
}

export const SAFE_LANE_RULES: LaneRules = {
  processId: (vm, start) => `${vm}-${start}`,
  workersShareIds: true,
  checksTransaction: true,
  endsByConnection: true,
};

export const CALLER = 'caller';
export const HOLDER = 'holder';

/** Returns the id that a process or worker gives out after `given` others. */
export function idAfter(process: string, given: number): string {
  const newId = createIdSource(process);
  for (let n = 0; n < given; n++) newId();
  return newId();
}

export function setTransaction(
  system: LaneSystem,
  index: number,
  changes: Partial<Transaction>,
): LaneSystem {
  const {transactions} = system;
  const changed = {...transactions[index], ...changes};
  return {...system, transactions: transactions.with(index, changed)};
}

/** Ends transactions at their caller's front, which tells the holder nothing. */
export function endTransactions(
  system: LaneSystem,
  isEnded: (transaction: Transaction, index: number) => boolean,
): LaneSystem {
  const transactions = system.transactions.map((transaction, index) =>
    isEnded(transaction, index)
      ? {...transaction, state: 'over' as const}
      : transaction,
  );
  return {...system, transactions};
}

/** Sends a message over the present connection, which is opened if need be. */
export function send(
  system: LaneSystem,
  message: Message,
  rules: LaneRules,
): LaneSystem {
  const {connections, connectionCount, caller, holder} = system;
  const present = connections.find(connection => !connection.isLost);
  if (present) {
    const messages = [...present.messages, message];
    return setConnection(system, {...present, messages});
  }
  const origin: WorkOrigin = {
    vm: CALLER,
    process: rules.processId(CALLER, caller.starts),
    connection: idAfter(rules.processId(HOLDER, holder.starts), holder.ids),
  };
  const opened: Connection = {
    number: connectionCount,
    origin,
    isLost: false,
    messages: [message],
  };
  return {
    ...system,
    connections: [...connections, opened],
    connectionCount: connectionCount + 1,
    holder: {...holder, ids: holder.ids + 1},
  };
}

export const setConnection = (
  system: LaneSystem,
  changed: Connection,
): LaneSystem => ({
  ...system,
  connections: system.connections.map(connection =>
    connection.number === changed.number ? changed : connection,
  ),
});

/**
 * Loses the present connection at the caller's front, which ends transactions
 * that wait for an answer.
 */
export function loseConnection(system: LaneSystem): LaneSystem {
  const connections = system.connections.map(connection => ({
    ...connection,
    isLost: true,
  }));
  return endTransactions(
    {...system, connections},
    ({state}) => state === 'opening' || state === 'running',
  );
}

export const withMisdirected = (
  system: LaneSystem,
  kind: Misdirected,
): LaneSystem => ({
  ...system,
  misdirected: [...new Set([...system.misdirected, kind])],
});
