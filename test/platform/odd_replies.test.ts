/** Odd replies of the store, and of databases to control statements. */
import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {fc} from '@fast-check/ava';
import test, {ExecutionContext} from 'ava';
import {createStoreClient} from '../../platform/store.js';
import {StoreClient} from '../../src/store/store_client.js';

const SEED = 35;
const NUMBER_OF_RUNS = 300;

const ITEM = {key: 'a', value: 'AA==', revision: 3, created: 2, lease_id: 0};
const PAGE = {items: [ITEM], has_more: false, as_of: 9};
const WATCH = {
  events: [ITEM, {key: 'b', revision: 4, tombstone: true}],
  as_of: 9,
};

/** A store that answers every call with the body that `reply` holds. */
async function startOddStore(t: ExecutionContext) {
  const reply: {body: string; era?: string} = {body: ''};
  const server = createServer(
    (_: IncomingMessage, response: ServerResponse) => {
      if (reply.era !== undefined) response.setHeader('Store-Era', reply.era);
      response.end(reply.body);
    },
  );
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const {port} = server.address() as {port: number};
  return {reply, client: createStoreClient(() => ({host: '127.0.0.1', port}))};
}

type Call = (client: StoreClient) => ReturnType<StoreClient['commit']>;

const CALLS: Readonly<Record<string, Call>> = {
  list: client => client.listPage('', '') as never,
  watch: client => client.watch('', 3, 0) as never,
  commit: client =>
    client.commit({expected: [], writes: [], removals: []}) as never,
  grant: client => client.grant(1_000) as never,
  renew: client => client.renew(7) as never,
};

const ODD_BODIES: readonly string[] = [
  null,
  7,
  [],
  {},
  {...PAGE, items: null},
  {...PAGE, items: {}},
  {...PAGE, items: [null]},
  {...PAGE, items: [{...ITEM, key: 7}]},
  {...PAGE, items: [{...ITEM, value: 7}]},
  {...PAGE, items: [{...ITEM, revision: '3'}]},
  {...PAGE, items: [{...ITEM, revision: -1}]},
  {...PAGE, as_of: 1e308},
  {...PAGE, as_of: null},
  {...PAGE, has_more: 1},
  {...WATCH, events: 'none'},
  {...WATCH, events: [{key: 'a'}]},
  {revision: 1.5},
  {lease_id: null, ttl_ms: null},
  {lease_id: 5, ttl_ms: -5},
].map(body => JSON.stringify(body));

// Guards against processes that end because a reply of the store has not the
// expected form: the exception left the loop that follows the store.
test('a reply of the store with an odd body is a fault of its call', async t => {
  const {reply, client} = await startOddStore(t);
  for (const body of ['', '{"items":', '['.repeat(100_000), ...ODD_BODIES]) {
    reply.body = body;
    for (const [name, call] of Object.entries(CALLS)) {
      const {result} = await call(client);
      t.true(result.isErr(), `${name} ${body.slice(0, 100)}`);
    }
  }
});

test('replies of the expected form are decoded', async t => {
  const {reply, client} = await startOddStore(t);
  reply.body = JSON.stringify(PAGE);
  const page = (await client.listPage('', '')).result._unsafeUnwrap();
  t.deepEqual(page, {
    items: [{key: 'a', value: Buffer.from([0]), revision: 3}],
    revision: 9,
    hasMore: false,
  });
  reply.body = JSON.stringify(WATCH);
  const watch = (await client.watch('', 3, 0)).result._unsafeUnwrap();
  t.deepEqual(
    watch.events.map(({kind}) => kind),
    ['put', 'removed'],
  );
  reply.body = JSON.stringify({lease_id: 5, ttl_ms: 1_000, revision: 4});
  t.deepEqual((await client.grant(1_000)).result._unsafeUnwrap(), {
    leaseId: 5,
    ttlMs: 1_000,
  });
  t.is((await CALLS.commit(client)).result._unsafeUnwrap(), 4);
  t.is((await client.renew(5)).result._unsafeUnwrap(), 1_000);
});

// Guards against an era that is read from a text which is no number of one.
test('only a whole number is taken for an era of the store', async t => {
  const {reply, client} = await startOddStore(t);
  reply.body = JSON.stringify(PAGE);
  const eraOf = async (era: string): Promise<number | undefined> => {
    reply.era = era;
    return (await client.listPage('', '')).era;
  };
  t.is(await eraOf('0'), 0);
  t.is(await eraOf('12'), 12);
  for (const era of ['', ' ', '0x10', '1e3', '1.0', '-1', '1, 2', 'x'])
    t.is(await eraOf(era), undefined, era);
});

test('no random body of a reply makes a call reject', async t => {
  const {reply, client} = await startOddStore(t);
  const field = fc.oneof(fc.jsonValue({maxDepth: 2}), fc.constant([ITEM]));
  const body = fc.oneof(
    fc.string(),
    fc.json({maxDepth: 3}),
    fc
      .record(
        {items: field, events: field, as_of: field, has_more: field},
        {requiredKeys: []},
      )
      .map(value => JSON.stringify(value)),
  );
  await fc.assert(
    fc.asyncProperty(body, async text => {
      reply.body = text;
      await Promise.all(Object.values(CALLS).map(call => call(client)));
    }),
    {seed: SEED, numRuns: NUMBER_OF_RUNS},
  );
  t.pass();
});
