/**
 * Load pattern: many fronts of one region start at once. Guards against fronts
 * registering again because their view of the store lags behind their own
 * write.
 */
import test from 'ava';
import {operatorConfig, startFront, until} from './fleet_fixture.js';
import {StandinGroup} from './standin_database.js';
import {StandinStore} from './standin_store.js';

const FRONTS = 24;

test('each of many fronts that start at once writes its entry once', async t => {
  const group = await StandinGroup.start('orders', ['norte']);
  const store = await StandinStore.start([group]);
  store.put('op/config', operatorConfig('orders'));
  const fronts = await Promise.all(
    Array.from({length: FRONTS}, (_, n) =>
      startFront(`front-${n}`, 'norte', store),
    ),
  );
  t.teardown(async () => {
    await Promise.all(fronts.map(({front}) => front.stop()));
    await group.stop();
    await store.stop();
  });
  await until(() => fronts.every(({front}) => front.isReady));
  await new Promise(resolve => setTimeout(resolve, 1_200));
  const entries = fronts.map((_, n) =>
    store.get(`mustardpass/fronts/front-${n}`),
  );
  const again = entries.filter(entry => entry?.revision !== entry?.created);
  t.is(entries.filter(Boolean).length, FRONTS);
  t.is(again.length, 0);
});
