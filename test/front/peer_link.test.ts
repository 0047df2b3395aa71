/** The connection to another front, which is opened again after it was lost. */
import {createServer, Server, Socket} from 'node:net';
import test from 'ava';
import {openChannel, PeerChannel} from '../../src/front/peer_protocol.js';
import {PeerLink} from '../../src/front/peer_link.js';

const HOST = '127.0.0.1';
/** Longer than a link pauses after a lost connection. */
const RECONNECT_MS = 350;

const sleep = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

interface Call {
  readonly id: number;
  readonly params: string;
}

/** A front that accepts every link and keeps the calls that it receives. */
async function startPeer() {
  const calls: Call[] = [];
  const channels: PeerChannel[] = [];
  const sockets: Socket[] = [];
  const server: Server = createServer(socket => {
    let isWelcome = false;
    const channel = openChannel(socket, message => {
      if (isWelcome) return void calls.push(message as Call);
      isWelcome = true;
      channel.send({welcome: true});
    });
    socket.on('error', () => undefined);
    channels.push(channel);
    sockets.push(socket);
    channel.send({nonce: 'n'});
  });
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  const {port} = server.address() as {port: number};
  const awaitCall = async (count: number): Promise<Call> => {
    while (calls.length < count) await sleep(5);
    return calls[count - 1];
  };
  const stop = (): void => {
    server.close();
    for (const socket of sockets) socket.destroy();
  };
  return {port, channels, sockets, awaitCall, stop};
}

/** Encodes a message as the first one on a channel. */
function encodeMessage(message: unknown): Buffer {
  const chunks: Buffer[] = [];
  const socket = new Socket();
  socket.write = (chunk: string | Uint8Array): boolean => {
    chunks.push(Buffer.from(chunk));
    return true;
  };
  openChannel(socket, () => undefined).send(message);
  return Buffer.concat(chunks);
}

// Guards against a call that gets the answer of another one, as the calls of
// each connection have the same numbers.
test('an answer on a lost connection does not end a call of the next one', async t => {
  const peer = await startPeer();
  const link = PeerLink.create({
    self: {vm: 'a', process: 'p1'},
    target: {vm: 'b', host: HOST, port: peer.port},
    secret: () => 'secret',
    log: () => undefined,
  });
  t.teardown(() => {
    link.close();
    peer.stop();
  });
  const first = link.call('m', 'first');
  const {id} = await peer.awaitCall(1);
  const {socket: lost} = link as unknown as {socket: Socket};
  peer.sockets[0].destroy();
  await t.throwsAsync(first);
  await sleep(RECONNECT_MS);
  const second = link.call('m', 'second');
  t.is((await peer.awaitCall(2)).id, id);
  lost.emit('data', encodeMessage({jsonrpc: '2.0', id, result: 'first'}));
  await sleep(20);
  peer.channels[1].send({jsonrpc: '2.0', id, result: 'second'});
  t.is(await second, 'second');
});
