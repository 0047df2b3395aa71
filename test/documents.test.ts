/** Documents of the store and of operators: read as they were written. */
import {
  createServer,
  IncomingMessage,
  request,
  ServerResponse,
} from 'node:http';
import {fc, testProp} from '@fast-check/ava';
import test, {ExecutionContext} from 'ava';
import {firstValueFrom} from 'rxjs';
import {parseBase64, parseJson, readAll} from '../src/core/documents.js';
import {
  LocalFleet,
  LOCAL_FLEET_OPERATOR_KEY,
} from '../src/standin/local_fleet.js';
import {EtcdStore} from '../src/store/etcd.js';

const OPTIONS = {seed: 47, numRuns: 500};

async function* piecesOf(
  bytes: Buffer,
  sizes: readonly number[],
): AsyncGenerator<Buffer> {
  for (let at = 0, n = 0; at < bytes.length; n++) {
    const size = sizes[n % sizes.length];
    yield bytes.subarray(at, at + size);
    at += size;
  }
}

// Guards against characters that are replaced because they were cut in two.
testProp(
  'a document is read as it was written, cut anywhere',
  [
    fc.jsonValue(),
    fc.array(fc.integer({min: 1, max: 5}), {minLength: 1}),
    fc.string({unit: 'binary'}),
  ],
  async (t, value, sizes, text) => {
    const document = {value, text};
    const bytes = Buffer.from(JSON.stringify(document));
    const read = await readAll(piecesOf(bytes, sizes), bytes.length);
    t.deepEqual(parseJson(read!), JSON.parse(JSON.stringify(document)));
    const pieces = piecesOf(bytes, sizes);
    t.is(await readAll(pieces, bytes.length - 1), undefined);
  },
  OPTIONS,
);

testProp(
  'bytes are read from base64 as they were written',
  [fc.uint8Array()],
  (t, bytes) => {
    const value = Buffer.from(bytes);
    t.deepEqual(parseBase64(value.toString('base64')), value);
  },
  OPTIONS,
);

/**
 * A store that answers each call with `value` under any key, one byte at a
 * time.
 */
async function startStore(t: ExecutionContext, value: string) {
  const reply = ({url}: IncomingMessage): object => {
    const kv = {key: 'aw==', value, mod_revision: '7'};
    if (!url?.endsWith('/watch')) return {kvs: [kv]};
    return {result: {note: 'ñ東', events: [{kv}]}};
  };
  const server = createServer(
    async (call: IncomingMessage, response: ServerResponse) => {
      call.resume();
      response.socket?.setNoDelay(true);
      const bytes = Buffer.from(JSON.stringify(reply(call)) + '\n');
      for (const byte of bytes) {
        response.write(Buffer.of(byte));
        await new Promise(resolve => setImmediate(resolve));
      }
      if (!call.url?.endsWith('/watch')) response.end();
    },
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as {port: number};
  const url = `http://127.0.0.1:${port}`;
  const store = EtcdStore.create({url, timeoutMs: 2_000});
  t.teardown(async () => {
    await store.close();
    server.closeAllConnections();
    server.close();
  });
  return store;
}

test('values of the store are read as they are', async t => {
  const text = '{"host":"dbñ-東-\u{1f35a}"}';
  const store = await startStore(t, Buffer.from(text).toString('base64'));
  const expected = {value: text, revision: 7};
  t.deepEqual((await store.read('k'))._unsafeUnwrap(), expected);
  t.deepEqual(await firstValueFrom(store.watch('k')), expected);
});

// Guards against two documents that become equal since bytes are replaced or
// skipped.
test('values of the store that are no text are not taken', async t => {
  const values = ['/w==', 'w7H/', 'YQ', 'Y Q=', 'YQ==YQ=='];
  for (const value of values) {
    const store = await startStore(t, value);
    const {kind} = (await store.read('k'))._unsafeUnwrapErr();
    t.is(kind, 'unavailable', value);
    await t.throwsAsync(firstValueFrom(store.watch('k')), undefined, value);
  }
});

// Guards against a plan for another name than the operator sent.
test('a plan is read as the operator sent it, cut within a character', async t => {
  const fleet = await LocalFleet.create({proxies: 1});
  t.teardown(() => fleet.close());
  const action = {do: 'remove_customer', name: 'villacres', cañón: 1};
  const bytes = Buffer.from(JSON.stringify({actions: [action]}));
  const cut = bytes.indexOf('ñ') + 1;
  const answer = await new Promise<string>((resolve, reject) => {
    const post = request(
      {
        host: '127.0.0.1',
        port: fleet.proxies[0].operatorPort,
        path: '/plan',
        method: 'POST',
        headers: {authorization: `Bearer ${LOCAL_FLEET_OPERATOR_KEY}`},
      },
      async response => resolve(String(await readAll(response, 10_000))),
    );
    post.on('error', reject);
    post.setNoDelay(true);
    post.write(bytes.subarray(0, cut));
    setTimeout(() => post.end(bytes.subarray(cut)), 100);
  });
  t.true(answer.includes('cañón'), answer);
});
