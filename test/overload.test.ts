/** Value that callers receive when they send more than a database can serve. */
import test from 'ava';
import {POLICIES, SCENARIOS, simulateOverload} from '../bench/overload.js';

const SEED = 20261204;

const simulate = (scenario: string, policy: string, load: number) =>
  simulateOverload(SCENARIOS[scenario], POLICIES[policy], load, SEED);

for (const scenario of ['villacres', 'pitch_office']) {
  test(`${scenario}, normal load: nearly all requests meet their objective`, t => {
    const {valueShare, worstKindShare} = simulate(scenario, 'today', 1);
    t.true(valueShare >= 0.99, `value share ${valueShare}`);
    t.true(worstKindShare >= 0.99, `worst kind ${worstKindShare}`);
  });

  test(`${scenario}, twice the load: early rejection and priorities deliver more value`, t => {
    const today = simulate(scenario, 'today', 2);
    const firstCome = simulate(scenario, 'first_come', 2);
    const fairOnly = simulate(scenario, 'fair_only', 2);
    t.true(today.valueShare >= 3 * firstCome.valueShare);
    t.true(today.valueShare > fairOnly.valueShare);
    t.true(today.worstKindShare > fairOnly.worstKindShare);
  });

  test(`${scenario}, four times the load: the delivered value does not collapse`, t => {
    const today = simulate(scenario, 'today', 4);
    t.true(today.valueShare >= 0.2, `value share ${today.valueShare}`);
    t.true(today.valueShare > simulate(scenario, 'fair_only', 4).valueShare);
  });
}
