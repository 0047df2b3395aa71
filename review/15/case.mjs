/**
 * The primary of the service is lost for good, and right after that all fronts are
 * killed, as at the end of a day. `TROUBLE=0` kills the fronts only.
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
  until,
} from '../lib-3/world.mjs';

const ROUTES = ['primary', 'bounded', 'readyourwrites'];
const CALLERS_PER_ROUTE = 3;
const BEFORE_MS = 5000;
/** From the loss of the primary until the fronts are killed. */
const STEP_MS = 100;
/** An entry is removed after three heartbeat intervals of silence. */
const LAPSE_MS = 3600;
/** How long requests are counted after `recovery_s`, as on the bench. */
const COUNTED_MS = 3500;
const hasTrouble = process.env.TROUBLE !== '0';

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  settings: {
    config: configuration(1, [tenant('ana', ['key-ana'])]),
    restarts: true,
  },
  run: async (world, record) => {
    const {fronts, group, store} = world;
    const requests = [];
    let isOver = false;
    const runCaller = async (front, route) => {
      for (let count = 0; !isOver; count++) {
        const request = {route, sentAtMs: performance.now(), outcome: 'no session'};
        requests.push(request);
        try {
          const client = await front.session(route, 'key-ana');
          const text = count % 3 === 0 ? 'WRITE item data' : 'READ item';
          const answer = await client.query(newId(), text);
          request.outcome = answer.done ? 'served' : answer.error ? answer.error.split(' ')[0] : 'ended';
          client.close();
        } catch {
          // Refused or not connected.
        }
        await pause(150);
      }
    };
    const callers = fronts.flatMap(front =>
      ROUTES.flatMap(route =>
        Array.from({length: CALLERS_PER_ROUTE}, () => runCaller(front, route)),
      ),
    );
    await pause(BEFORE_MS);
    const faultAtMs = performance.now();
    const {primary} = group;
    if (hasTrouble) {
      record(`the primary ${primary.id} is lost for good`);
      setTimeout(() => store.remove(`servers/${primary.id}`), LAPSE_MS);
      await group.remove(primary);
    }
    await pause(STEP_MS);
    record('SIGKILL to all fronts');
    for (const front of fronts) front.signal('SIGKILL');
    await Promise.all(fronts.map(({ended}) => ended));
    await until(() => fronts.every(({isRunning}) => isRunning), 5000, 'all fronts run again');
    const backAtMs = performance.now();
    record('all fronts run again');
    const endMs = backAtMs + BOUNDS.recovery_s * 1000 + COUNTED_MS;
    await pause(endMs - performance.now());
    const countedUntilMs = performance.now();
    // Goes on to see when the service is served again.
    await pause(hasTrouble ? 12000 : 1000);
    isOver = true;
    await Promise.race([Promise.all(callers), pause(3000)]);
    const summary = (fromMs, toMs) => {
      const sent = requests.filter(({sentAtMs}) => sentAtMs >= fromMs && sentAtMs < toMs);
      const counts = {};
      for (const {outcome} of sent) counts[outcome] = (counts[outcome] ?? 0) + 1;
      return {sent: sent.length, served: counts.served ?? 0, counts};
    };
    for (let second = -4; second < 28; second += 2) {
      const fromMs = backAtMs + second * 1000;
      record(`${second} to ${second + 2} s after the fronts are back: ${JSON.stringify(summary(fromMs, fromMs + 2000).counts)}`);
    }
    const before = summary(faultAtMs - 4000, faultAtMs);
    const after = summary(backAtMs + BOUNDS.recovery_s * 1000, countedUntilMs);
    record(`before the fault ${before.served} of ${before.sent} served; later than recovery_s after it ${after.served} of ${after.sent}`);
    return before.served * 4 >= before.sent && after.served * 4 < after.sent
      ? [`${after.served} of ${after.sent} requests sent later than ${BOUNDS.recovery_s} s after the machines were back were served`]
      : [];
  },
});
