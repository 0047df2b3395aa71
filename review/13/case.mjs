/**
 * The store comes back from a copy that is some seconds old, and a front starts
 * again before the operator has written what it had written since. `TROUBLE=0`
 * restarts the front at the same moment of the same play without the drill.
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

const hasTrouble = process.env.TROUBLE !== '0';
const OLD_KEY = 'key-old';
/** Between the acknowledgement of the version without the key and the drill. */
const BEFORE_DRILL_MS = 6000;
const COPY_AGE_MS = 9000;
const AWAY_MS = 1000;
/** From the return of the store until the operator has written again. */
const WRITTEN_AGAIN_MS = 2000;

const before = configuration(1, [tenant('ana', ['key-ana', OLD_KEY])]);
const after = configuration(2, [tenant('ana', ['key-ana'])]);

await runCase({
  folder: dirname(fileURLToPath(import.meta.url)),
  settings: {config: before, restarts: true},
  run: async (world, record) => {
    const {store, group} = world;
    const [front] = world.fronts;
    const sentAtMs = new Map();
    let isOver = false;
    /** Opens a session with the old key and reads, again and again. */
    const tryOldKey = async database => {
      let last = '';
      while (!isOver) {
        let outcome;
        try {
          const client = await front.session(database, OLD_KEY);
          const id = newId();
          sentAtMs.set(id, performance.now());
          const answer = await client.query(id, 'READ item');
          outcome = answer.done ? 'DONE' : `ERROR ${answer.error}`;
          if (answer.done) record(`${front.name}, ${database}, old key: ${id} READ item: DONE ${answer.done}`);
          client.close();
        } catch (error) {
          outcome = error.message;
        }
        if (outcome !== last && outcome !== 'DONE') record(`${front.name}, ${database}, old key: ${outcome}`);
        last = outcome;
        await pause(250);
      }
    };
    // Copies from before the change exist by the time of the drill.
    await pause(2000);
    world.configure(after);
    const acknowledgedAtMs = performance.now();
    await pause(BEFORE_DRILL_MS);
    const clients = ['primary', 'bounded'].map(tryOldKey);
    await pause(500);
    if (hasTrouble) {
      record('the store goes away');
      store.faultMode = 'silent';
    }
    record(`SIGKILL to ${front.name}`);
    front.signal('SIGKILL');
    await pause(AWAY_MS);
    if (hasTrouble) {
      record(`the store comes back from a copy ${COPY_AGE_MS} ms old`);
      const {copies} = store;
      const restoreAll = copies.restore.bind(copies);
      copies.restore = ageMs => {
        const {state, repeated} = restoreAll(ageMs);
        const later = new Map(repeated);
        later.delete('op/config');
        return {state, repeated: later};
      };
      store.restore(COPY_AGE_MS);
      copies.restore = restoreAll;
      store.faultMode = 'none';
      await pause(WRITTEN_AGAIN_MS);
      world.configure(after);
    }
    await pause(4000);
    isOver = true;
    await Promise.all(clients);
    await until(() => front.isReady(), 15000, `${front.name} is ready`);
    return group.databases.flatMap(({id, executedStatements}) =>
      executedStatements
        .filter(({requestId}) => sentAtMs.get(requestId) > acknowledgedAtMs + BOUNDS.revoke_ms)
        .map(({requestId, text, customer}) => `${requestId} ${text}, sent with the withdrawn key ${Math.round(sentAtMs.get(requestId) - acknowledgedAtMs)} ms after the acknowledgement, ran at ${id} for ${customer}`));
  },
});
