/** Fixture: the dispatchers of a few fronts over a stand-in database. */
import {Server, Socket} from 'node:net';
import {databaseCodec} from '../../platform/wire.js';
import {Directory, putEntry} from '../../src/core/directory.js';
import {FrontMember} from '../../src/core/fronts.js';
import {createIdSource, ProcessIdentity} from '../../src/core/process_ids.js';
import {Access, ExecutionMode, Reply, Work} from '../../src/core/work.js';
import {Dispatcher, PeerMethodName} from '../../src/front/dispatcher.js';
import {
  decodeCancel,
  decodeLaneEnd,
  decodeWork,
} from '../../src/front/peer_messages.js';
import {servePeers} from '../../src/front/peer_service.js';
import {freePort} from './fleet_fixture.js';
import {StandinDatabase, StandinGroup} from './standin_database.js';

const HOST = '127.0.0.1';
const SERVICE = 'orders';
const NEAR = {zone: 'norte', region: 'norte'};
const FAR = {zone: 'puerto', region: 'puerto'};
const SECRET = 'secret';
/** Longer than the pause of a link after it lost its connection. */
const RECONNECT_MS = 350;

export const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** A front without callers, store and rates. */
export interface TestFront {
  readonly dispatcher: Dispatcher;
  /** Events that were logged, each with its fields. */
  readonly events: ReadonlyArray<Readonly<Record<string, unknown>>>;
  /** Accepted connections of other fronts, the oldest first. */
  readonly peerSockets: readonly Socket[];
  /** Closes all sockets at once. */
  kill(): void;
}

export interface LaneFleet {
  readonly database: StandinDatabase;
  /** VM of the front nearest to the database, which holds its connections. */
  readonly holder: string;
  /**
   * Starts a process of a VM; the VM keeps its name and address. Only `holder`
   * accepts connections of the others.
   */
  start(vm: string): Promise<TestFront>;
  /** Removes the database's entry from the view of all fronts. */
  removeEntry(): void;
  /** Adds the database's entry to the view of all fronts. */
  addEntry(): void;
  stop(): Promise<void>;
}

/** Starts a primary and its replica; `vms` beside `holder` are in another zone. */
export async function startLaneFleet(
  vms: readonly string[],
): Promise<LaneFleet> {
  const group = await StandinGroup.start(SERVICE, [NEAR.zone, FAR.zone]);
  const [database] = group.databases;
  const holder = 'holder';
  const members = new Map<string, FrontMember>();
  for (const vm of [holder, ...vms]) {
    members.set(vm, {
      vm,
      host: HOST,
      port: await freePort(),
      place: vm === holder ? NEAR : FAR,
      leaving: false,
    });
  }
  const entry = {
    id: database.id,
    service: SERVICE,
    host: HOST,
    port: database.port,
    zone: NEAR.zone,
    slots: 2,
    leaving: false,
    remainingWarmUpMs: 0,
    isLeader: true,
    startedAtUnixMs: 1,
    sequence: 1,
  };
  const listed = putEntry(new Map(), entry, NEAR, 1);
  let directory: Directory = listed;
  const fronts: TestFront[] = [];
  const dispatchers: Dispatcher[] = [];
  let processCount = 0;

  const start = async (vm: string): Promise<TestFront> => {
    const self: ProcessIdentity = {vm, process: `p${++processCount}`};
    const events: Array<Record<string, unknown>> = [];
    const log = (event: string, fields: object = {}): void =>
      void events.push({event, ...fields});
    const member = members.get(vm)!;
    const newId = createIdSource(self.process);
    const dispatcher = Dispatcher.create({
      self,
      newId,
      zone: member.place.zone,
      codec: databaseCodec,
      log,
      directory: () => directory,
      fronts: () => members,
      serviceOf: name => ({
        name,
        maxConnections: 16,
        syncReplicas: 0,
      }),
      idleTransactionMs: () => 2_000,
      secret: () => SECRET,
      canServeAsPrimary: () => true,
    });
    const peerSockets: Socket[] = [];
    let server: Server | undefined;
    if (vm === holder) {
      server = await servePeers({
        self,
        address: {host: HOST, port: member.port},
        newId,
        secret: () => SECRET,
        methods: {
          [PeerMethodName.run]: (params, from) =>
            dispatcher.runForPeer(decodeWork(params), from),
          [PeerMethodName.endLane]: params => {
            const {database, lane} = decodeLaneEnd(params);
            dispatcher.endLocalLane(database, lane);
          },
          [PeerMethodName.cancel]: params => {
            const {database, key} = decodeCancel(params);
            dispatcher.cancelLocally(database, key);
          },
        },
        onDisconnect: ({connection}) => dispatcher.endLanesOf(connection),
        log,
      });
      server.on('connection', socket => peerSockets.push(socket));
    }
    const front: TestFront = {
      dispatcher,
      events,
      peerSockets,
      kill: () => {
        dispatcher.close();
        server?.close();
        for (const socket of peerSockets) socket.destroy();
      },
    };
    fronts.push(front);
    dispatchers.push(dispatcher);
    return front;
  };
  const show = (next: Directory): void => {
    directory = next;
    for (const dispatcher of dispatchers) dispatcher.refresh();
  };
  return {
    database,
    holder,
    start,
    removeEntry: () => show(new Map()),
    addEntry: () => show(listed),
    stop: async () => {
      for (const front of fronts) front.kill();
      await group.stop();
    },
  };
}

/** Waits until a link that lost its connection may connect again. */
export const awaitReconnect = (): Promise<void> => sleep(RECONNECT_MS);

/** A caller's transaction at a front. */
export interface TestTransaction {
  readonly customer: string;
  readonly transaction: string;
  lane?: string;
}

let keyCount = 0;

/** Runs one statement of a transaction; the first one opens it. */
export async function runIn(
  front: TestFront,
  database: StandinDatabase,
  transaction: TestTransaction,
  requestId: string,
  text: string,
): Promise<Reply> {
  const work = workIn(database, transaction, requestId, text);
  const {reply} = await front.dispatcher.run(work);
  transaction.lane = reply.lane ?? transaction.lane;
  return reply;
}

/** Returns one statement of a transaction as work; the first one opens it. */
export function workIn(
  database: StandinDatabase,
  {customer, transaction, lane}: TestTransaction,
  requestId: string,
  text: string,
): Work {
  return {
    key: `${transaction}/${++keyCount}`,
    service: SERVICE,
    database: database.id,
    customer,
    requestId,
    text,
    access: text === 'COMMIT' ? Access.commit : Access.write,
    mode: lane === undefined ? ExecutionMode.open : ExecutionMode.lane,
    lane,
    transaction,
    session: {values: [], prepared: undefined},
    priority: 1,
    budgetMs: 1_000,
  };
}
