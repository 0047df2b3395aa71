/** What callers get when more is asked than the databases can do. */
import test from 'ava';
import {POLICIES, simulateOverload, SITES} from '../bench/overload.js';

const SEED = 20261204;

const play = (site: string, policy: string, load: number) =>
  simulateOverload(SITES[site], POLICIES[policy], load, SEED);

for (const site of ['villacres', 'pitch_office']) {
  test(`${site}, the usual load: next to all is served in time`, t => {
    const {worth, worstKind} = play(site, 'today', 1);
    t.true(worth >= 0.99, `worth ${worth}`);
    t.true(worstKind >= 0.99, `worst kind ${worstKind}`);
  });

  test(`${site}, all customers ask twice as much: early refusals and priorities serve more`, t => {
    const today = play(site, 'today', 2);
    const firstCome = play(site, 'first_come', 2);
    const fairOnly = play(site, 'fair_only', 2);
    t.true(today.worth >= 3 * firstCome.worth);
    t.true(today.worth > fairOnly.worth);
    t.true(today.worstKind > fairOnly.worstKind);
  });

  test(`${site}, four times as much: no collapse`, t => {
    const today = play(site, 'today', 4);
    t.true(today.worth >= 0.2, `worth ${today.worth}`);
    t.true(today.worth > play(site, 'fair_only', 4).worth);
  });
}
