/** What the answer to a promotion order tells about its execution. */
import {createServer} from 'node:http';
import {AddressInfo} from 'node:net';
import test, {ExecutionContext} from 'ava';
import {createPromoter} from '../../platform/promotion.js';
import {PromotionOutcome} from '../../src/front/promoter.js';

/** Sends an order to a server that answers with `status`. */
async function outcomeOf(
  t: ExecutionContext,
  status: number,
): Promise<PromotionOutcome> {
  const server = createServer((_, response) => {
    response.statusCode = status;
    response.end('{}');
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => server.closeAllConnections());
  t.teardown(() => void server.close());
  const {port} = server.address() as AddressInfo;
  const promote = createPromoter(() => ({host: '127.0.0.1', port}));
  const order = {service: 's', database: 'i-1', holder: 'f', fencingToken: 1};
  return promote(order);
}

// Guards against an order that takes effect although it was taken for not
// executed: what answers in place of the platform does not know what it did.
for (const status of [500, 502, 504])
  test(`an order that is answered with ${status} may be executed`, async t => {
    t.is(await outcomeOf(t, status), 'unknown');
  });

for (const status of [400, 404, 429, 503])
  test(`an order that is answered with ${status} is not executed`, async t => {
    t.is(await outcomeOf(t, status), 'not_done');
  });

test('an order that is answered with 409 is refused', async t => {
  t.is(await outcomeOf(t, 409), 'refused');
});
