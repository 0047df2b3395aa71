/**
 * Odd bytes and messages on the port for other fronts, before and after the
 * sender has proved that it belongs to the fleet, and from a front to which this
 * one connects.
 */
import {connect, createServer, Server, Socket} from 'node:net';
import {fc} from '@fast-check/ava';
import test, {ExecutionContext} from 'ava';
import {Packr} from 'msgpackr';
import {PeerLink} from '../../src/front/peer_link.js';
import {createProof, openChannel} from '../../src/front/peer_protocol.js';
import {servePeers} from '../../src/front/peer_service.js';

const HOST = '127.0.0.1';
const SECRET = 'secret';
const SEED = 35;
const NUMBER_OF_RUNS = 150;
const packr = new Packr();

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** First messages that are no hello; the first one is that of review/5. */
const ODD_MESSAGES: readonly Buffer[] = [
  Buffer.from('d40000', 'hex'),
  ...[
    undefined,
    null,
    7,
    'text',
    [],
    {},
    {from: null, to: null, proof: null},
    {from: 'a', to: 'b', proof: ['x']},
    {from: {toString: null}, to: 'b', proof: 'x'},
    {from: 'a', to: 'b', proof: {toString: 7}},
    {from: 'a', to: 'b', proof: 'x', process: {toString: null}},
  ].map(message => packr.pack(message)),
  Buffer.alloc(64, 0xff),
  Buffer.alloc(100_000, 0x91),
  Buffer.from('dfffffffff', 'hex'),
];

/** Serves the port for other fronts; `log` holds its events. */
async function startService(t: ExecutionContext, secret = SECRET) {
  const log: Array<{event: string; length: number}> = [];
  const server: Server = await servePeers({
    self: {vm: 'b', process: 'p2'},
    address: {host: HOST, port: 0},
    newId: () => 'id',
    secret: () => secret,
    methods: {echo: (params: unknown) => params},
    onDisconnect: () => undefined,
    log: (event, fields) =>
      log.push({event, length: JSON.stringify(fields ?? {}).length}),
  });
  const sockets = new Set<Socket>();
  server.on('connection', (socket: Socket) => sockets.add(socket));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const {port} = server.address() as {port: number};
  const link = (): PeerLink => {
    const created = PeerLink.create({
      self: {vm: 'a', process: 'p1'},
      target: {vm: 'b', host: HOST, port},
      secret: () => secret,
      log: () => undefined,
    });
    t.teardown(() => created.close());
    return created;
  };
  return {port, log, link};
}

/** Sends bytes on a new connection; resolves once it is closed. */
function send(port: number, bytes: Uint8Array, proves = false): Promise<void> {
  return new Promise(resolve => {
    const socket = connect({host: HOST, port});
    socket.on('error', () => undefined);
    socket.on('close', () => resolve());
    let hasProved = !proves;
    const channel = openChannel(socket, message => {
      if (hasProved) return void socket.end(bytes);
      hasProved = true;
      const {nonce} = message as {nonce: string};
      const proof = createProof(SECRET, nonce, 'a', 'b');
      channel.send({from: 'a', to: 'b', proof, process: 'p1'});
    });
    socket.setTimeout(1_000, () => socket.destroy());
  });
}

// Guards against a front that ends because anyone sends three bytes to the port
// for other fronts.
test('an odd first message ends only the connection that it came on', async t => {
  const {port, log, link} = await startService(t);
  for (const bytes of ODD_MESSAGES) await send(port, bytes);
  t.is(await link().call('echo', 'x'), 'x');
  t.true(log.every(({length}) => length < 1_000));
});

test('random bytes and messages before the proof end only their connection', async t => {
  const {port, link} = await startService(t);
  const bytes = fc.oneof(
    fc.uint8Array({maxLength: 300}),
    fc.jsonValue({maxDepth: 3}).map(value => packr.pack(value)),
    fc
      .record(
        {from: fc.jsonValue(), to: fc.constant('b'), proof: fc.jsonValue()},
        {requiredKeys: []},
      )
      .map(value => packr.pack(value)),
  );
  await fc.assert(
    fc.asyncProperty(bytes, sent => send(port, sent)),
    {seed: SEED, numRuns: NUMBER_OF_RUNS},
  );
  t.is(await link().call('echo', 'x'), 'x');
});

test('random bytes and messages after the proof end only their connection', async t => {
  const {port, link} = await startService(t);
  const bytes = fc.oneof(
    fc.constantFrom(...ODD_MESSAGES),
    fc.uint8Array({maxLength: 300}),
    fc.jsonValue({maxDepth: 3}).map(value => packr.pack(value)),
    fc
      .record(
        {
          jsonrpc: fc.constantFrom('2.0', 2, null),
          id: fc.jsonValue(),
          method: fc.constantFrom('echo', '__proto__', 'toString', 7, null),
          params: fc.jsonValue(),
        },
        {requiredKeys: []},
      )
      .map(value => packr.pack(value)),
  );
  await fc.assert(
    fc.asyncProperty(bytes, sent => send(port, sent, true)),
    {seed: SEED, numRuns: NUMBER_OF_RUNS},
  );
  t.is(await link().call('echo', 'x'), 'x');
});

// Guards against the same from the other side: what listens at the address of a
// front need not be that front.
test('an odd answer of what a front connects to fails the call', async t => {
  for (const position of [0, 1, 2]) {
    for (const bytes of ODD_MESSAGES) {
      const server = createServer(socket => {
        let received = 0;
        socket.on('error', () => undefined);
        const channel = openChannel(socket, () => {
          received++;
          if (received === position) socket.write(bytes);
          else if (received === 1) channel.send({welcome: true});
        });
        if (position === 0) socket.write(bytes);
        else channel.send({nonce: 'n'});
        setTimeout(() => socket.destroy(), 30);
      });
      await new Promise<void>(resolve => server.listen(0, HOST, resolve));
      const {port} = server.address() as {port: number};
      const link = PeerLink.create({
        self: {vm: 'a', process: 'p1'},
        target: {vm: 'b', host: HOST, port},
        secret: () => SECRET,
        log: () => undefined,
      });
      const outcome = link.call('echo', 'x').then(
        () => 'answered',
        () => 'failed',
      );
      const late = sleep(3_000).then(() => 'no end');
      t.is(await Promise.race([outcome, late]), 'failed');
      link.close();
      server.close();
    }
  }
});

// Guards against calls of anybody: a front that did not know the secret yet took
// a proof that was made with an empty one.
test('a front that does not know the secret accepts no proof', async t => {
  const {link} = await startService(t, '');
  await t.throwsAsync(link().call('echo', 'x'));
});
