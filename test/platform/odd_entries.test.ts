/**
 * Odd entries among those of the databases, which another writer has left in
 * the store: what the decoder makes of them, and fronts as processes that read
 * them.
 */
import {mkdtempSync, rmSync} from 'node:fs';
import {isIPv4} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {fc, testProp} from '@fast-check/ava';
import test, {ExecutionContext} from 'ava';
import {decodeDatabaseEntry} from '../../platform/directory.js';
import {databaseCodec} from '../../platform/wire.js';
import {FrontProcess} from '../../soak/front_process.js';
import {DatabaseEntry} from '../../src/core/directory.js';
import {operatorConfig, WireClient, ZONES} from './fleet_fixture.js';
import {StandinGroup} from './standin_database.js';
import {StandinStore} from './standin_store.js';

const SEED = 35;
const NUMBER_OF_RUNS = 3_000;
/** Deeper than the stack bears one call a level. */
const NESTING_DEPTH = 100_000;

const VALID = {
  service: 'orders',
  addr: '127.0.0.1:5000',
  zone: 'norte',
  version: 'v1',
  slots: 2,
  state: 'ready',
  cold_left_ms: 0,
  db_role: 'replica',
  seq: 1,
  born: 1,
};

const nested = (depth: number, open = '[', close = ']'): string =>
  open.repeat(depth) + close.repeat(depth);

/** JSON text of the valid entry with one field replaced by a JSON text. */
const withField = (name: string, json: string): string =>
  JSON.stringify({...VALID, [name]: '\u0000'}).replace('"\\u0000"', json);

/** Values that are odd for every field of an entry. */
const ODD_VALUES = [
  'null',
  '{}',
  '[]',
  'true',
  '""',
  '-1',
  '1e400',
  '1e308',
  '-1e308',
  '1.5',
  '9007199254740993',
  '{"toString":null}',
  '{"__proto__":{"toString":1},"constructor":1}',
  '"a b"',
  '"x\\r\\nQUERY - RESUME"',
  '"\\u010a\\u010d"',
  '"__proto__"',
  nested(NESTING_DEPTH),
  nested(NESTING_DEPTH, '{"a":', '}').replace('{"a":}', '{}'),
];

const ODD_ADDRESSES = [
  '127.0.0.1:0',
  '127.0.0.1:65536',
  '127.0.0.1:99999',
  '999.0.0.1:80',
  '....:80',
  '127.0.0.1:80x',
  '[::1]:80',
  'localhost:80',
  '1.2:80',
].map(address => JSON.stringify(address));

/** Entries that name no database to use, as texts. */
const ODD_ENTRIES: readonly string[] = [
  '',
  '\u0000\u0001',
  'null',
  '[]',
  '"text"',
  '7',
  nested(NESTING_DEPTH),
  '{"a":'.repeat(NESTING_DEPTH),
  '{"__proto__":{"service":"orders"}}',
  ...ODD_ADDRESSES.map(json => withField('addr', json)),
  ...['service', 'addr', 'zone', 'slots', 'state', 'db_role'].flatMap(name =>
    ODD_VALUES.filter(json => !(json === '1.5' && name === 'zone')).map(json =>
      withField(name, json),
    ),
  ),
  ...['seq', 'born', 'cold_left_ms'].flatMap(name =>
    ODD_VALUES.map(json => withField(name, json)),
  ),
];

/** Whether a decoded entry can be used as it is, in any place. */
const isUsable = (entry: DatabaseEntry): boolean =>
  /^[!-~]+$/.test(entry.id) &&
  databaseCodec.start(entry.service, 'ana', entry.id).isOk() &&
  isIPv4(entry.host) &&
  entry.port >= 1 &&
  entry.port <= 65_535 &&
  entry.zone !== '' &&
  Number.isSafeInteger(entry.slots) &&
  entry.slots >= 1 &&
  entry.slots <= 10_000 &&
  entry.remainingWarmUpMs >= 0 &&
  entry.remainingWarmUpMs <= 86_400_000 &&
  [entry.startedAtUnixMs, entry.sequence].every(
    number => number === undefined || Number.isSafeInteger(number),
  );

function checkDecoded(t: ExecutionContext, id: string, text: string): void {
  const entry = decodeDatabaseEntry(id, Buffer.from(text));
  t.true(entry === undefined || isUsable(entry), text.slice(0, 200));
}

test('a valid entry is decoded, also without the fields that may be missing', t => {
  const decode = (fields: object): DatabaseEntry | undefined =>
    decodeDatabaseEntry('i-1', Buffer.from(JSON.stringify(fields)));
  t.deepEqual(decode({...VALID, cold_left_ms: 1_250.5}), {
    id: 'i-1',
    service: 'orders',
    host: '127.0.0.1',
    port: 5_000,
    zone: 'norte',
    slots: 2,
    leaving: false,
    remainingWarmUpMs: 1_250.5,
    isLeader: false,
    startedAtUnixMs: 1,
    sequence: 1,
  });
  const {seq, born, cold_left_ms: coldLeftMs, ...required} = VALID;
  t.deepEqual([seq, born, coldLeftMs], [1, 1, 0]);
  t.is(decode(required)?.startedAtUnixMs, undefined);
});

// Guards against processes that end, or use an address or number that cannot
// exist, because of an entry that another writer has left.
test('no odd entry throws or yields what cannot be used', t => {
  for (const text of ODD_ENTRIES) checkDecoded(t, 'i-1', text);
  for (const id of ['', ' ', 'a b', 'a\r\nBYE', '\u010a', 'x\u0000']) {
    t.is(
      decodeDatabaseEntry(id, Buffer.from(JSON.stringify(VALID))),
      undefined,
      JSON.stringify(id),
    );
  }
});

testProp(
  'no entry with random fields or bytes throws or yields what cannot be used',
  [
    fc.string({unit: 'binary', maxLength: 12}),
    fc.oneof(
      fc.uint8Array({maxLength: 200}).map(bytes => Buffer.from(bytes)),
      fc.json({maxDepth: 4}).map(text => Buffer.from(text)),
      fc
        .tuple(
          fc.constantFrom(...Object.keys(VALID)),
          fc.oneof(fc.json({maxDepth: 3}), fc.constantFrom(...ODD_VALUES)),
        )
        .map(([name, json]) => Buffer.from(withField(name, json))),
      fc
        .tuple(fc.nat(255), fc.ipV4(), fc.integer())
        .map(([at, host, port]) =>
          Buffer.from(
            JSON.stringify({...VALID, addr: `${host}:${port}`, seq: at}),
          ),
        ),
      fc
        .tuple(fc.nat(140), fc.nat(255))
        .map(([at, byte]) =>
          Buffer.from(JSON.stringify(VALID)).fill(byte, at, at + 1),
        ),
    ),
  ],
  (t, id, bytes) => {
    const entry = decodeDatabaseEntry(id, bytes);
    t.true(entry === undefined || isUsable(entry));
  },
  {seed: SEED, numRuns: NUMBER_OF_RUNS},
);

/** Starts a front as a process, for one service. */
async function startProcess(t: ExecutionContext) {
  const group = await StandinGroup.start('orders', ZONES);
  const store = await StandinStore.start([group]);
  store.put('op/config', operatorConfig('orders'));
  const folder = mkdtempSync(join(tmpdir(), 'mustardpass-odd-'));
  const failures: object[] = [];
  const front = await FrontProcess.create({
    name: 'front-1',
    zone: ZONES[0],
    host: `127.${1 + (process.pid % 250)}.3.1`,
    program: fileURLToPath(new URL('../../platform/main.js', import.meta.url)),
    peerHosts: [`127.${1 + (process.pid % 250)}.3.1`],
    platformHost: '127.0.0.1',
    storePort: store.port,
    folder,
    onFailure: (kind, details) => failures.push({kind, ...details}),
  });
  front.start();
  t.teardown(async () => {
    await front.close();
    await group.stop();
    await store.stop();
    rmSync(folder, {recursive: true});
  });
  for (let tries = 0; !(await front.isReady()); tries++) {
    if (tries > 200) throw new Error('the front does not get ready');
    await new Promise(resolve => setTimeout(resolve, 100));
  }
  return {group, store, front, failures};
}

/** Opens a session; resolves to the first word of a refusal, else undefined. */
async function tryWrite(
  front: FrontProcess,
  key: string,
): Promise<string | undefined> {
  const {client, answer} = await WireClient.start(
    front.callerPort,
    'primary',
    key,
    front.host,
  );
  const reply = answer.state === 'I' ? await client.query('WRITE k v') : answer;
  client.close();
  return reply.done === undefined ? (reply.error ?? 'closed') : undefined;
}

// Guards against processes that end again and again, or stop following the
// store, because of one odd entry among those of the databases.
test('a process goes on beside odd entries that stay, and follows later changes', async t => {
  const {group, store, front, failures} = await startProcess(t);
  const [, replica] = group.databases;
  ODD_ENTRIES.forEach((text, index) =>
    store.put(`servers/i-odd-${index}`, text),
  );
  store.put('servers/__proto__', JSON.stringify(VALID));
  store.put('servers/', JSON.stringify(VALID));
  store.put('servers/a b\r\nBYE', JSON.stringify(VALID));
  // One that was valid turns odd for a moment.
  store.put(`servers/${replica.id}`, withField('addr', nested(NESTING_DEPTH)));
  await new Promise(resolve => setTimeout(resolve, 500));
  store.registerDatabases();
  const added = {name: 'carla', api_keys: ['carla-key'], priority: 1};
  const config = operatorConfig('orders', {version: 2});
  config.tenants.push({...added, rate_per_s: 500, burst: 500});
  store.put('op/config', config);
  const endMs = performance.now() + 8_000;
  let refusal: string | undefined = 'not tried';
  while (refusal !== undefined && performance.now() < endMs) {
    await new Promise(resolve => setTimeout(resolve, 100));
    refusal = await tryWrite(front, 'carla-key').catch(String);
  }
  t.is(refusal, undefined);
  t.true(await front.isReady());
  t.deepEqual(failures, []);
  t.is(front.starts, 1);
});
