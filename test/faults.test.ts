import test from 'ava';
import {FAULTS} from '../bench/fault_cases.js';
import {FaultRow, randomFaultPairs, runFaults} from '../bench/faults.js';

const FAULT_MS = 2_500;
const PAIR_SEED = 31;

/**
 * Selects the violations that no fault may cause. Only the benchmark checks the
 * gap in writes.
 */
const violationsOf = (row: FaultRow): object => ({
  lost: row.lost,
  doubled: row.doubled,
  falseNotRun: row.false_not_run,
  torn: row.torn,
  stale: row.stale,
  crossed: row.crossed,
});

const NO_VIOLATIONS = {
  lost: 0,
  doubled: 0,
  falseNotRun: 0,
  torn: 0,
  stale: 0,
  crossed: 0,
};

for (const fault of FAULTS) {
  test.serial(`outcomes match the log under: ${fault.name}`, async t => {
    const row = await runFaults([fault], FAULT_MS);
    t.deepEqual(violationsOf(row), NO_VIOLATIONS, JSON.stringify(row));
    t.true(row.requests > 0);
  });
}

for (const pair of randomFaultPairs(3, PAIR_SEED)) {
  const names = pair.map(fault => fault.name).join(' + ');
  test.serial(`outcomes match the log under: ${names}`, async t => {
    const row = await runFaults(pair, FAULT_MS);
    t.deepEqual(violationsOf(row), NO_VIOLATIONS, JSON.stringify(row));
  });
}

// Shows that the check behind `lost`, a comparison with the log, detects lost
// writes.
test.serial(
  'without acknowledgement by a replica, a killed primary loses writes',
  async t => {
    const killed = FAULTS.filter(fault => fault.name === 'primary killed');
    const row = await runFaults(killed, FAULT_MS, {
      services: [{service: 'order-books-1', lagMs: 1_000}],
      hooks: {confirms: () => true},
    });
    t.true(row.lost > 0, JSON.stringify(row));
  },
);
