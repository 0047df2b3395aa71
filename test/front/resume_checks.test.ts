/** When services are checked for replicas that are still paused. */
import test from 'ava';
import {ResumeCheckResult, ResumeChecks} from '../../src/core/resume_checks.js';

const NEVER_BUSY = (): boolean => false;

const take = (
  checks: ResumeChecks,
  nowMs: number,
  count = 10,
  isBusy: (service: string) => boolean = NEVER_BUSY,
): string[] => checks.take(nowMs, count, isBusy).map(({service}) => service);

test('services whose commits hang are checked first, others in turn', t => {
  const checks = ResumeChecks.create();
  for (const service of ['a', 'b', 'c']) checks.request(service, 0);
  checks.requestForStall('c', 0);
  t.deepEqual(take(checks, 0, 2), ['c', 'a']);
  t.deepEqual(take(checks, 0, 2), ['b']);
  t.is(checks.size, 0);
});

// Guards against two checks at once, and against a check within an attempt.
test('a check that was taken, or whose service is busy, is not taken', t => {
  const checks = ResumeChecks.create();
  checks.request('a', 0);
  t.deepEqual(
    take(checks, 0, 10, service => service === 'a'),
    [],
  );
  t.deepEqual(take(checks, 0), ['a']);
  t.deepEqual(take(checks, 0), []);
});

// Guards against a pause that is forgotten because an earlier check, under way
// while it was ordered, found all replicas receiving.
test('a request that comes during a check outlives it', t => {
  const checks = ResumeChecks.create();
  checks.request('a', 0);
  const [check] = checks.take(0, 1, NEVER_BUSY);
  checks.request('a', 5);
  checks.record(check, ResumeCheckResult.receiving, 10);
  t.deepEqual(take(checks, 10), ['a']);
});

// Guards against checks that add to the load of an overloaded service.
test('signs of a stall cause no check for five seconds after a clean one', t => {
  const checks = ResumeChecks.create();
  checks.recordReceiving('a', 0);
  checks.requestForStall('a', 4_000);
  checks.requestForStall('a', 4_999);
  t.deepEqual(take(checks, 4_999), []);
  t.deepEqual(take(checks, 5_000), ['a']);
  checks.recordReceiving('a', 6_000);
  checks.request('a', 6_001);
  t.deepEqual(take(checks, 6_001), ['a']);
});

// Guards against writes that hang until the next commit runs out of time: signs
// of a stall that came soon after a clean check were dropped.
test('signs of a stall that come soon after a clean check are not forgotten', t => {
  const checks = ResumeChecks.create();
  checks.recordReceiving('a', 0);
  checks.requestForStall('a', 1_000);
  t.deepEqual(take(checks, 5_000), ['a']);
});

/** Returns after how long the next check is due, to 100 ms; takes none. */
function nextCheckMs(checks: ResumeChecks, nowMs: number): number {
  for (let delayMs = 0; ; delayMs += 100) {
    let isDue = false;
    checks.take(nowMs + delayMs, 1, () => (isDue = true));
    if (isDue) return delayMs;
  }
}

test('checks are repeated, of paused replicas soon and of silent ones ever later', t => {
  const checks = ResumeChecks.create();
  checks.request('a', 0);
  const delaysMs: number[] = [];
  let nowMs = 0;
  for (let n = 0; n < 6; n++) {
    const [check] = checks.take(nowMs, 1, NEVER_BUSY);
    checks.record(check, ResumeCheckResult.unanswered, nowMs);
    delaysMs.push(nextCheckMs(checks, nowMs));
    nowMs += delaysMs[n];
  }
  t.deepEqual(delaysMs, [400, 800, 1_600, 3_200, 5_000, 5_000]);
  const [check] = checks.take(nowMs, 1, NEVER_BUSY);
  checks.record(check, ResumeCheckResult.paused, nowMs);
  t.is(nextCheckMs(checks, nowMs), 400);
});
