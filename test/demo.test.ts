/** The demo: a passing run, and one with a fault that it must detect. */
import test from 'ava';
import {DEMO_DEFAULTS, routeIgnoringFloors, runDemo} from '../src/demo/demo.js';

test.serial('the demo passes with three proxies', async t => {
  const report = await runDemo({...DEMO_DEFAULTS, sessions: 6});
  t.is(report.demo, 'ok');
  t.is(report.stale_reads, 0);
  t.is(report.mixed_transactions, 0);
  t.is(report.lost_changes, 0);
  t.true(report.replica_read_share > 0);
});

test.serial('the demo fails if routing ignores floors', async t => {
  const report = await runDemo({
    ...DEMO_DEFAULTS,
    sessions: 6,
    routeRead: routeIgnoringFloors,
  });
  t.is(report.demo, 'failed');
  t.true(report.stale_reads > 0);
});
