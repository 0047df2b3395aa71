/**
 * Texts and values that a front sends to the platform's store and promotion
 * endpoint: each arrives unchanged, or the call is not made.
 */
import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {fc} from '@fast-check/ava';
import test, {ExecutionContext} from 'ava';
import {createPromoter} from '../../platform/promotion.js';
import {createStoreClient} from '../../platform/store.js';

const OPTIONS = {seed: 47, numRuns: 200};
const HOST = '127.0.0.1';

interface ReceivedCall {
  readonly path: string;
  /** Percent-encoded parts are decoded, and nothing else. */
  readonly query: Readonly<Record<string, string>>;
  readonly headers: IncomingMessage['headers'];
  readonly body: unknown;
}

/** A server that keeps the calls and answers with `replyBody`. */
async function startRecorder(t: ExecutionContext) {
  const calls: ReceivedCall[] = [];
  const state: {replyBody: object} = {replyBody: {}};
  const server = createServer(
    (request: IncomingMessage, response: ServerResponse) => {
      const chunks: Buffer[] = [];
      request.on('data', (chunk: Buffer) => chunks.push(chunk));
      request.on('end', () => {
        const [path, query = ''] = (request.url ?? '').split('?');
        const text = Buffer.concat(chunks).toString('utf8');
        calls.push({
          path,
          query: Object.fromEntries(
            query
              .split('&')
              .map(pair => pair.split('=').map(decodeURIComponent)),
          ),
          headers: request.headers,
          body: text === '' ? undefined : JSON.parse(text),
        });
        response.end(JSON.stringify(state.replyBody));
      });
    },
  );
  await new Promise<void>(resolve => server.listen(0, HOST, resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as {port: number};
  const takeCall = (): ReceivedCall | undefined => calls.splice(0).pop();
  return {state, takeCall, address: () => ({host: HOST, port})};
}

/** Keys with characters that have a meaning in a URL, and odd ones. */
const key = fc.oneof(
  fc.string({unit: 'binary', maxLength: 30}),
  fc.string({unit: fc.constantFrom('+', ' ', '%', '&', '=', '#', '/', '?')}),
);

// Guards against keys with a blank, which the query held as "+", and against
// keys that are cut, merged or not valid Unicode.
test('keys reach the store as they are, or the call is not made', async t => {
  const {state, takeCall, address} = await startRecorder(t);
  const client = createStoreClient(address);
  state.replyBody = {items: [], has_more: false, as_of: 1};
  await fc.assert(
    fc.asyncProperty(key, key, async (prefix, after) => {
      const {result} = await client.listPage(prefix, after);
      const isValid = [prefix, after].every(
        text => !/\p{Cs}/u.test(text) && Buffer.byteLength(text) <= 200,
      );
      t.is(result.isOk(), isValid);
      const expected = after === '' ? {prefix} : {prefix, after};
      t.deepEqual(takeCall()?.query, isValid ? expected : undefined);
    }),
    OPTIONS,
  );
});

test('writes reach the store as they are, or the call is not made', async t => {
  const {state, takeCall, address} = await startRecorder(t);
  const client = createStoreClient(address);
  state.replyBody = {revision: 1};
  await fc.assert(
    fc.asyncProperty(
      key,
      fc.string({unit: 'grapheme'}),
      async (name, value) => {
        const {result} = await client.commit({
          expected: [{key: name, revision: 3}],
          writes: [{key: name, value, leaseId: 0}],
          removals: [name],
        });
        const isValid = !/\p{Cs}/u.test(name) && Buffer.byteLength(name) <= 200;
        t.is(result.isOk(), isValid);
        const expected = {
          expected_rev: [{key: name, revision: 3}],
          writes: [
            {
              key: name,
              value: Buffer.from(value).toString('base64'),
              lease_id: 0,
            },
          ],
          remove: [name],
        };
        t.deepEqual(takeCall()?.body, isValid ? expected : undefined);
      },
    ),
    OPTIONS,
  );
});

test('a key of up to 200 bytes is stored, a longer one is refused', async t => {
  const {state, address} = await startRecorder(t);
  const client = createStoreClient(address);
  state.replyBody = {revision: 1};
  const commit = async (name: string): Promise<boolean> => {
    const {result} = await client.commit({
      expected: [],
      writes: [{key: name, value: '', leaseId: 0}],
      removals: [],
    });
    return result.isOk();
  };
  t.true(await commit('x'.repeat(200)));
  t.false(await commit('x'.repeat(201)));
  t.true(await commit('ñ'.repeat(100)));
  t.false(await commit('ñ'.repeat(100) + 'x'));
});

// Guards against values of which characters that are no base64 were dropped.
test('values of the store are read as they are, or the reply is a fault', async t => {
  const {state, address} = await startRecorder(t);
  const client = createStoreClient(address);
  const read = async (value: string) => {
    const item = {key: 'k', value, revision: 1};
    state.replyBody = {items: [item], has_more: false, as_of: 1};
    return (await client.listPage('', '')).result;
  };
  for (const value of [
    'AA',
    'AA=',
    'A',
    'AA==AA==',
    'AA-_',
    'AA= =',
    'A\nA==',
  ]) {
    t.true((await read(value)).isErr(), value);
  }
  await fc.assert(
    fc.asyncProperty(fc.uint8Array({maxLength: 40}), async bytes => {
      const value = Buffer.from(bytes);
      const page = await read(value.toString('base64'));
      t.deepEqual(page._unsafeUnwrap().items[0].value, value);
    }),
    OPTIONS,
  );
});

// Guards against a promotion in the name of another front, and against an
// exception for a name that a header cannot hold.
test('a promotion names its holder in UTF-8', async t => {
  const {takeCall, address} = await startRecorder(t);
  const promote = createPromoter(address);
  const order = {service: 'pedidos-ñ', database: 'i-1', fencingToken: 3};
  for (const holder of ['front-1', 'front-ñ', 'front-Ś', 'front 東']) {
    t.is(await promote({...order, holder}), 'done');
    const {headers, body} = takeCall()!;
    const received = String(headers['mustardpass-duty-holder']);
    t.is(Buffer.from(received, 'latin1').toString('utf8'), holder);
    t.deepEqual(body, {service: 'pedidos-ñ', id: 'i-1'});
  }
  t.is(await promote({...order, holder: 'x\ud800'}), 'not_done');
});
