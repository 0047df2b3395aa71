/**
 * A version takes a key away from one tenant and the next one adds it to another,
 * while a session with that key has an open transaction. With `TROUBLE=0` the two
 * versions change nothing but their number.
 */
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  BOUNDS,
  configuration,
  newId,
  pause,
  runCase,
  tenant,
} from '../lib-3/world.mjs';

const PAUSE_MS = 500;
const MARGIN_MS = 500;
const hasTrouble = process.env.TROUBLE !== '0';
const KEY = 'key-moved';

const before = configuration(1, [
  tenant('ana', [KEY, 'key-ana']),
  tenant('bea', ['key-bea']),
]);
const without = hasTrouble
  ? configuration(2, [tenant('ana', ['key-ana']), tenant('bea', ['key-bea'])])
  : {...before, version: 2};
const after = hasTrouble
  ? configuration(3, [tenant('ana', ['key-ana']), tenant('bea', ['key-bea', KEY])])
  : {...before, version: 3};
/** Between the two versions. */
const STEP_MS = 100;

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  settings: {config: before},
  run: async (world, record) => {
    const holder = hasTrouble ? 'bea' : 'ana';
    const requests = [];
    let changedAtMs = Infinity;
    const runClient = async (front, database) => {
      const client = await front.session(database, KEY);
      const send = async text => {
        const request = {id: newId(), text, sentAtMs: performance.now()};
        requests.push(request);
        const answer = await client.query(request.id, text);
        record(`${front.name}, ${database}: ${request.id} ${text}: ${answer.error ? `ERROR ${answer.error}` : `DONE ${answer.done}`}, state ${answer.state}`);
        return answer.state;
      };
      let state = await send('BEGIN');
      for (let count = 0; count < 10 && state === 'T'; count++) {
        state = await send(count % 2 ? 'READ item' : `WRITE item-${database} d${count}`);
        await pause(PAUSE_MS);
      }
      if (state === 'T') await send('COMMIT');
      client.close();
    };
    const clients = world.fronts.map(front => runClient(front, 'primary'));
    await pause(250);
    world.configure(without);
    await pause(STEP_MS);
    world.configure(after);
    changedAtMs = performance.now();
    await Promise.all(clients);
    const appliedAtMs = changedAtMs + BOUNDS.config_apply_ms + MARGIN_MS;
    const sentAtMs = new Map(requests.map(r => [r.id, r.sentAtMs]));
    return world.group.databases.flatMap(({id, executedStatements}) =>
      executedStatements
        .filter(run => sentAtMs.get(run.requestId) > appliedAtMs && run.customer !== holder)
        .map(run => `${run.requestId} ${run.text}, sent ${Math.round(sentAtMs.get(run.requestId) - changedAtMs)} ms after the acknowledgement, ran at ${id} for tenant ${run.customer}; its key is held by ${holder}`));
  },
});
