import test from 'ava';
import {FAULTS} from '../bench/fault_cases.js';
import {FaultRow, pairsOf, runFaults} from '../bench/faults.js';

const STRUCK_MS = 2_500;
const PAIR_SEED = 31;

/** Everything a caller must never see. Gaps are measured by the benchmark. */
const wrongs = (row: FaultRow): object => ({
  lost: row.lost,
  doubled: row.doubled,
  falseNotRun: row.false_not_run,
  torn: row.torn,
  stale: row.stale,
  crossed: row.crossed,
});

const NONE = {
  lost: 0,
  doubled: 0,
  falseNotRun: 0,
  torn: 0,
  stale: 0,
  crossed: 0,
};

for (const fault of FAULTS) {
  test.serial(`accounts settle under: ${fault.name}`, async t => {
    const row = await runFaults([fault], STRUCK_MS);
    t.deepEqual(wrongs(row), NONE, JSON.stringify(row));
    t.true(row.requests > 0);
  });
}

for (const pair of pairsOf(3, PAIR_SEED)) {
  const names = pair.map(fault => fault.name).join(' + ');
  test.serial(`accounts settle under: ${names}`, async t => {
    const row = await runFaults(pair, STRUCK_MS);
    t.deepEqual(wrongs(row), NONE, JSON.stringify(row));
  });
}

test.serial('without confirmation a killed primary loses writes', async t => {
  const killed = FAULTS.filter(fault => fault.name === 'primary killed');
  const row = await runFaults(killed, STRUCK_MS, {
    services: [{service: 'order-books-1', lagMs: 1_000}],
    hooks: {confirms: () => true},
  });
  t.true(row.lost > 0, JSON.stringify(row));
});
