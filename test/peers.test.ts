import tls from 'node:tls';
import {syncBuiltinESMExports} from 'node:module';
import test from 'ava';
import {JSONRPCServer} from 'json-rpc-2.0';
import {PeerClient} from '../src/peer/client.js';
import {PeerServer} from '../src/peer/server.js';
import {LocalFleet, waitUntil} from '../src/standin/local_fleet.js';

const SECRETS = ['fleet-secret'];
const MAX_FRAME_BYTES = 65_536;
const SERVICE = 'order-books-1';

const delay = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

async function createServer(): Promise<PeerServer> {
  const rpc = new JSONRPCServer();
  rpc.addMethod('ping', () => 'pong');
  return PeerServer.create({
    host: '127.0.0.1',
    port: 0,
    secrets: SECRETS,
    rpc,
    executor: {
      open: () => {
        throw new Error('no lane is expected');
      },
    },
    maxFrameBytes: MAX_FRAME_BYTES,
  });
}

const createClient = (port: number): PeerClient =>
  PeerClient.create({
    vm: 'vm-2',
    address: {host: '127.0.0.1', port},
    secrets: SECRETS,
    maxFrameBytes: MAX_FRAME_BYTES,
  });

/** Calls back between the end of the TLS handshake and HTTP/2's `connect`. */
function interceptConnect(callback: () => void): () => void {
  const {connect} = tls;
  tls.connect = ((...args: Parameters<typeof connect>) => {
    const socket = connect(...args);
    socket.once('secureConnect', () => process.nextTick(callback));
    return socket;
  }) as typeof connect;
  syncBuiltinESMExports();
  return () => {
    tls.connect = connect;
    syncBuiltinESMExports();
  };
}

// Guards against the end of the process by ERR_HTTP2_INVALID_SESSION, as in the
// demo (issue 19).
test.serial('a connection may be closed just before it is ready', async t => {
  const server = await createServer();
  const client = createClient(server.port);
  const restore = interceptConnect(() => client.close());
  try {
    await t.throwsAsync(client.call('ping', {}, 500));
    const next = createClient(server.port);
    restore();
    t.is(await next.call('ping', {}, 500), 'pong');
    next.close();
  } finally {
    restore();
    await server.close();
  }
});

// Guards against work that is sent to the former address of a VM that was started
// again at another one.
test.serial('a VM that starts again elsewhere is reached there', async t => {
  const places = [{region: 'sierra', zone: 'sierra-b'}];
  const fleet = await LocalFleet.create({
    proxies: 2,
    services: [{service: SERVICE, places}],
  });
  try {
    const client = fleet.createClient(0, 'villacres', SERVICE);
    await client.connect();
    await client.query("INSERT INTO t (id) VALUES ('a')");
    await fleet.proxies[1].close();
    const again = await fleet.startProxy(1);
    await waitUntil(() => (again.dump() as {ready: boolean}).ready);
    await delay(1_500);
    await client.query('BEGIN');
    t.is((again.dump() as {lanes: number}).lanes, 1);
    await client.query('ROLLBACK');
    await client.end();
  } finally {
    await fleet.close();
  }
});
