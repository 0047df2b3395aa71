/** Sessions of the own interface whose key is withdrawn while a batch is open. */
import {Duplex} from 'node:stream';
import {Socket} from 'node:net';
import test from 'ava';
import {loadModule, parseSync} from 'libpg-query';
import {Config, configSchema, digestKey} from '../src/core/config.js';
import {LaneSink} from '../src/core/lane.js';
import {createClassifier} from '../src/core/sql.js';
import {FrameCode, frameOf, readyForQueryFrame} from '../src/pg/wire.js';
import {Session} from '../src/proxy/session.js';
import {SessionVariables} from '../src/proxy/session_variables.js';

await loadModule();
const classify = createClassifier(parseSync, {
  cacheEntries: 10,
  cachedTextBytes: 1_000,
});

const SERVICE = 'orders';
const KEY = {id: 'first', digest: digestKey('secret')};

const configOf = (keys: readonly object[]): Config =>
  configSchema.parse({
    version: 1,
    services: [
      {
        name: SERVICE,
        databases: [{name: 'a', host: 'h', port: 1, region: 'r', zone: 'z'}],
        slots: 1,
        connections: 1,
      },
    ],
    customers: [
      {name: 'ana', keys, services: [SERVICE], ratePerS: 1, burst: 1},
    ],
  });

/** Starts a session on lanes that only record what becomes of them. */
function startSession(admit: () => boolean | Promise<boolean>) {
  const socket = new Duplex({
    read: () => undefined,
    write: (chunk, encoding, done) => done(),
  });
  const lanes: Array<{sink: LaneSink; isAborted: boolean}> = [];
  let config = configOf([KEY]);
  const session = Session.create({
    socket: socket as unknown as Socket,
    identity: {customer: 'ana', key: KEY},
    service: SERVICE,
    variables: SessionVariables.create(SERVICE, ['s']),
    host: {
      classify,
      tokenSecrets: ['s'],
      requestTimeoutMs: 1_000,
      maxFrameBytes: 10_000,
      config: () => config,
      executorFor: () => ({
        open: (request, batch, sink) => {
          const lane = {sink, isAborted: false};
          lanes.push(lane);
          return {
            send: () => undefined,
            cancel: () => undefined,
            abort: () => void (lane.isAborted = true),
            pause: () => undefined,
            resume: () => undefined,
          };
        },
      }),
      admit,
      isDraining: () => false,
      nextRequestId: () => 'r',
      recordAnswer: () => undefined,
    },
  });
  return {
    lanes,
    query: (text: string) =>
      session.receive(frameOf(FrameCode.query, Buffer.from(`${text}\0`))),
    withdrawKey: () => {
      config = configOf([]);
      session.reauthorize();
    },
    socket,
  };
}

// Guards against a batch that waits for a token of the customer's rate and runs
// after the key has been withdrawn.
test('a batch that waits for a token does not run once the key is withdrawn', async t => {
  let grant = (): void => undefined;
  const granted = new Promise<boolean>(resolve => {
    grant = () => resolve(true);
  });
  const {lanes, query, withdrawKey, socket} = startSession(() => granted);
  query('INSERT INTO t VALUES (1)');
  withdrawKey();
  grant();
  await granted;
  await new Promise(setImmediate);
  t.is(lanes.length, 0);
  t.true(socket.writableEnded);
});

// Guards against a transaction that stays open at the database for as long as
// its caller is silent, since the key was withdrawn while a batch of it ran.
test('a transaction ends with the batch during which its key was withdrawn', t => {
  const {lanes, query, withdrawKey, socket} = startSession(() => true);
  query('BEGIN');
  const [lane] = lanes;
  withdrawKey();
  t.false(lane.isAborted);
  lane.sink.onFrame(FrameCode.ready, readyForQueryFrame('T'));
  lane.sink.onChunkEnd();
  t.true(lane.isAborted);
  t.true(socket.writableEnded);
});
