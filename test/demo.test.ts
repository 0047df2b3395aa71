import test from 'ava';
import {DEMO_DEFAULTS, routeAnywhere, runDemo} from '../src/demo/demo.js';

test.serial('the demo proves its promises through three proxies', async t => {
  const report = await runDemo({...DEMO_DEFAULTS, sessions: 6});
  t.is(report.demo, 'ok');
  t.is(report.stale_reads, 0);
  t.is(report.mixed_transactions, 0);
  t.true(report.replica_read_share > 0);
});

test.serial('the demo fails when floors are ignored', async t => {
  const report = await runDemo({
    ...DEMO_DEFAULTS,
    sessions: 6,
    routeRead: routeAnywhere,
  });
  t.is(report.demo, 'failed');
  t.true(report.stale_reads > 0);
});
