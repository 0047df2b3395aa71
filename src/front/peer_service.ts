/** Accepts connections of other fronts and serves their calls. */
import {randomBytes} from 'node:crypto';
import {createServer, Server, Socket} from 'node:net';
import {
  createJSONRPCErrorResponse,
  JSONRPCErrorCode,
  JSONRPCResponse,
  JSONRPCServer,
} from 'json-rpc-2.0';
import {Address} from './front_settings.js';
import {IdSource, ProcessIdentity, WorkOrigin} from '../core/process_ids.js';
import {JsonLog} from './json_log.js';
import {MAX_SENT_BYTES, maxEncodedBytes} from './message_size.js';
import {
  createProof,
  decodeHello,
  Hello,
  isValidProof,
  MAX_HELLO_BYTES,
  MAX_MESSAGE_BYTES,
  openChannel,
  Welcome,
} from './peer_protocol.js';

/**
 * A method that peers may call; `from` is the caller and its connection. It
 * checks the parameters, and throws if they cannot be used.
 */
export type PeerMethod = (params: unknown, from: WorkOrigin) => unknown;

export interface PeerServiceOptions {
  /** This process. */
  readonly self: ProcessIdentity;
  readonly address: Address;
  readonly newId: IdSource;
  readonly secret: () => string;
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Called when the connection of an authenticated peer has closed. */
  readonly onDisconnect: (from: WorkOrigin) => void;
  readonly log: JsonLog;
}

const HELLO_TIMEOUT_MS = 2_000;
const NONCE_BYTES = 16;

/** Starts the server; resolves when it listens. */
export function servePeers(options: PeerServiceOptions): Promise<Server> {
  const server = createServer(socket => acceptPeer(socket, options));
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(options.address.port, options.address.host, () =>
      resolve(server),
    );
  });
}

function acceptPeer(socket: Socket, options: PeerServiceOptions): void {
  const {self, methods, log} = options;
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  let from: WorkOrigin | undefined;
  let rpc: JSONRPCServer | undefined;
  const helloTimer = setTimeout(() => socket.destroy(), HELLO_TIMEOUT_MS);
  socket.setNoDelay(true);
  socket.on('error', error =>
    log('peer_error', {peer: from?.vm, text: error.message}),
  );
  socket.on('close', () => {
    clearTimeout(helloTimer);
    if (from === undefined) return;
    log('peer_gone', logFieldsOf(from));
    options.onDisconnect(from);
  });
  const receive = (message: unknown): void => {
    if (rpc) {
      Promise.resolve(rpc.receive(message as never))
        .then(answer => {
          if (answer) channel.send(fitAnswer(answer, log));
        })
        .catch((error: Error) => socket.destroy(error));
      return;
    }
    const hello = decodeHello(message);
    if (!hello || !isProved(hello, nonce, options)) {
      log('peer_refused', {peer: hello?.from, to: hello?.to});
      return void socket.destroy();
    }
    clearTimeout(helloTimer);
    from = {
      vm: hello.from,
      process: hello.process ?? '',
      connection: options.newId(),
    };
    rpc = createRpc(methods, from, log);
    log('peer_accepted', logFieldsOf(from));
    const welcome: Welcome = {welcome: true, process: self.process};
    channel.send(welcome);
  };
  const channel = openChannel(socket, receive, () =>
    rpc ? MAX_MESSAGE_BYTES : MAX_HELLO_BYTES,
  );
  channel.send({nonce});
}

/**
 * Whether a hello is for this front and proves the fleet's secret. Nothing does
 * as long as this front does not know the secret.
 */
function isProved(
  {from, to, proof}: Hello,
  nonce: string,
  {self, secret}: PeerServiceOptions,
): boolean {
  const known = secret();
  if (known === '' || to !== self.vm) return false;
  return isValidProof(proof, createProof(known, nonce, from, self.vm));
}

/** Returns an answer, or an error in its place if it is too long to be sent. */
function fitAnswer(answer: JSONRPCResponse, log: JsonLog): JSONRPCResponse {
  const bytes = maxEncodedBytes(answer);
  if (bytes <= MAX_SENT_BYTES) return answer;
  log('peer_answer_too_long', {bytes});
  const text = `answer of ${bytes} bytes is too long`;
  return createJSONRPCErrorResponse(
    answer.id,
    JSONRPCErrorCode.InternalError,
    text,
  );
}

const logFieldsOf = ({vm, process, connection}: WorkOrigin): object => ({
  peer: vm,
  process,
  connection,
});

function createRpc(
  methods: PeerServiceOptions['methods'],
  from: WorkOrigin,
  log: JsonLog,
): JSONRPCServer {
  const rpc = new JSONRPCServer({
    errorListener: (text, error) =>
      log('peer_method_failed', {peer: from.vm, text, error: String(error)}),
  });
  for (const [name, method] of Object.entries(methods)) {
    rpc.addMethod(name, params => method(params, from));
  }
  return rpc;
}
