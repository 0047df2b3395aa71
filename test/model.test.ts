import test from 'ava';
import {checkAll, QUICK_BOUNDS} from '../model/check.js';
import {explore} from '../model/explore.js';
import {SAFE_TAKEOVER_RULES, takeoverModel} from '../model/takeover_model.js';

// A mutant that passes means that the models no longer detect a missing rule.
test('every model holds and every mutant is caught', t => {
  const result = checkAll(QUICK_BOUNDS, line => t.log(line));
  t.is(result.model, 'ok');
  t.is(result.mutants_caught, result.mutants);
});

// Guards against the loss of acknowledged commits: the platform executes an
// unanswered promotion, and after it an unanswered confirmation of the primary.
test('a late confirmation of the primary after a late promotion loses no commit', t => {
  const rules = {...SAFE_TAKEOVER_RULES, confirmsBesideOrders: true};
  const model = takeoverModel('confirmations beside orders', rules);
  t.is(explore(model, QUICK_BOUNDS).violation, undefined);
});
