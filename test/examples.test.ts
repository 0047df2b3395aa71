/** The example intents and settings are valid. */
import {readFileSync} from 'node:fs';
import test from 'ava';
import {EMPTY_CONFIG} from '../src/core/config.js';
import {makePlan, parseIntent} from '../src/core/plan.js';
import {resolveSettings} from '../src/proxy/settings.js';

const example = (name: string): string =>
  readFileSync(new URL(`../../examples/${name}`, import.meta.url), 'utf8');

for (const name of ['villacres.json', 'pitch-office.json']) {
  test(`the intent ${name} can be planned without warnings`, t => {
    const intent = parseIntent(JSON.parse(example(name)))._unsafeUnwrap();
    const plan = makePlan(EMPTY_CONFIG, intent, 'ana', 'n')._unsafeUnwrap();
    t.is(plan.changes.length, intent.actions.length);
    t.deepEqual(plan.warnings, []);
  });
}

test('the example settings of a VM are valid', t => {
  const entries = example('vm.env')
    .trim()
    .split('\n')
    .map(line => line.split('=') as [string, string]);
  const resolved = resolveSettings({}, Object.fromEntries(entries));
  t.is(resolved._unsafeUnwrap().settings.vm, 'vm-1');
});
