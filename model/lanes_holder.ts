/** The holder in the model of transactions over fronts. */
import {Lanes} from '../src/core/lanes.js';
import {
  Connection,
  endTransactions,
  HOLDER,
  idAfter,
  LaneRules,
  LaneSystem,
  ModelLane,
  QueuedWork,
  send,
  setConnection,
  setTransaction,
  withMisdirected,
} from './lanes_system.js';

/** Closes the database connections and refuses the queued work. */
export function clearWorker(system: LaneSystem): LaneSystem {
  const refused = new Set(system.queue.map(work => work.transaction));
  return endTransactions({...system, queue: [], lanes: []}, (_, index) =>
    refused.has(index),
  );
}

/** Delivers the oldest message of a connection to the holder. */
export function deliver(
  system: LaneSystem,
  number: number,
  rules: LaneRules,
): LaneSystem {
  const connection = system.connections.find(c => c.number === number);
  if (!connection) return system;
  const [{type, transaction}, ...messages] = connection.messages;
  const next = setConnection(system, {...connection, messages});
  const {key, lane} = system.transactions[transaction];
  const {origin} = connection;
  switch (type) {
    case 'open': {
      const work: QueuedWork = {key, transaction, origin, connection: number};
      return {...next, queue: [...next.queue, work]};
    }
    case 'statement':
      return runStatement(next, transaction, connection, rules);
    case 'end': {
      const lanes = lanesOf(next);
      const found = lanes.get(lane);
      if (!found) return next;
      lanes.delete(found);
      const ended = {...next, lanes: lanes.all};
      return found.owner === transaction
        ? ended
        : withMisdirected(ended, 'end');
    }
    case 'cancel': {
      const found = next.queue.findLast(work => work.key === key);
      if (!found) return next;
      const queue = next.queue.filter(work => work !== found);
      const canceled = endTransactions(
        {...next, queue},
        (_, index) => index === found.transaction,
      );
      return found.transaction === transaction
        ? canceled
        : withMisdirected(canceled, 'cancel');
    }
  }
}

/** Runs a further statement of a transaction, or refuses it. */
function runStatement(
  system: LaneSystem,
  index: number,
  {origin, number}: Connection,
  {checksTransaction}: LaneRules,
): LaneSystem {
  const {id, lane, state} = system.transactions[index];
  const lanes = lanesOf(system);
  const found = checksTransaction
    ? lanes.find(lane, id, origin).lane
    : lanes.get(lane);
  if (found) Object.assign(found, {origin, connection: number});
  const answered =
    state === 'running'
      ? setTransaction(system, index, {state: found ? 'idle' : 'over'})
      : system;
  const next = {...answered, lanes: lanes.all};
  return !found || found.owner === index
    ? next
    : withMisdirected(next, 'statement');
}

/** Opens the transaction of the oldest queued work. */
export function startWork(system: LaneSystem, rules: LaneRules): LaneSystem {
  const {holder, worker} = system;
  const [{transaction, origin, connection}, ...queue] = system.queue;
  const {id, state, process} = system.transactions[transaction];
  const givenIds = rules.workersShareIds ? holder.ids : worker.ids;
  const lane = idAfter(rules.processId(HOLDER, holder.starts), givenIds);
  const lanes = lanesOf(system);
  lanes.add({
    id: lane,
    transaction: id,
    origin,
    owner: transaction,
    connection,
  });
  const opened: LaneSystem = {
    ...system,
    queue,
    lanes: lanes.all,
    holder: {...holder, ids: holder.ids + 1},
    worker: {...worker, ids: worker.ids + 1},
  };
  const isAnswered = system.connections.some(
    ({number, isLost}) => number === connection && !isLost,
  );
  if (!isAnswered || process !== system.caller.starts) return opened;
  if (state === 'opening')
    return setTransaction(opened, transaction, {state: 'idle', lane});
  // The caller has left meanwhile.
  return send(
    setTransaction(opened, transaction, {lane}),
    {type: 'end', transaction},
    rules,
  );
}

/** The holder finds a connection closed; messages still on the way are lost. */
export function closeConnection(
  system: LaneSystem,
  number: number,
  {endsByConnection}: LaneRules,
): LaneSystem {
  const closed = system.connections.find(c => c.number === number);
  if (!closed) return system;
  const lanes = lanesOf(system);
  const ended = endsByConnection
    ? lanes.of(closed.origin.connection)
    : lanes.all.filter(({origin}) => origin.vm === closed.origin.vm);
  for (const lane of ended) lanes.delete(lane);
  const isMisdirected = ended.some(
    lane =>
      lane.connection !== number &&
      system.transactions[lane.owner].state !== 'over',
  );
  const connections = system.connections.filter(c => c !== closed);
  const next = {...system, connections, lanes: lanes.all};
  return isMisdirected ? withMisdirected(next, 'close') : next;
}

function lanesOf(system: LaneSystem): Lanes<ModelLane> {
  const lanes = Lanes.create<ModelLane>();
  for (const lane of system.lanes) lanes.add({...lane});
  return lanes;
}
