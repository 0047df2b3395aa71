import test from 'ava';
import {checkAll, QUICK_BOUNDS} from '../model/check.js';

// A mutant that passes means that the models no longer detect a missing rule.
test('every model holds and every mutant is caught', t => {
  const result = checkAll(QUICK_BOUNDS, line => t.log(line));
  t.is(result.model, 'ok');
  t.is(result.mutants_caught, result.mutants);
});
