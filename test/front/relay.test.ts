/** Relaying the store's changes between fronts, decided without I/O. */
import {randomBytes} from 'node:crypto';
import test from 'ava';
import fc from 'fast-check';
import {ageMs, ClockReading} from '../../src/core/freshness.js';
import {FrontMember} from '../../src/core/fronts.js';
import {
  addChanges,
  asOfOnLocalClock,
  emptyChangeHistory,
  changesAfter,
  asOfOffsetMs,
  RelayedEvent,
  relayFor,
  unpackValue,
} from '../../src/core/relay.js';
import {ChangeRelay, RelayedChanges} from '../../src/front/change_relay.js';

const member = (vm: string, region: string, leaving = false): FrontMember => ({
  vm,
  host: 'h',
  port: 1,
  place: {zone: region, region},
  leaving,
});

const fleet = (...members: FrontMember[]) =>
  new Map(members.map(front => [front.vm, front]));

const put = (revision: number, bytes = 10): RelayedEvent => ({
  kind: 'put',
  key: `k${revision}`,
  value: Buffer.alloc(bytes),
  revision,
});

test('with many fronts in two regions, one per region watches the store for the others', t => {
  const names = Array.from({length: 60}, (_, n) => `f${n}`);
  const fronts = fleet(
    ...names.map((vm, n) => member(vm, n < 40 ? 'north' : 'south')),
  );
  for (const [region, count] of [
    ['north', 40],
    ['south', 20],
  ] as const) {
    const own = [...fronts.values()].filter(f => f.place.region === region);
    const relays = own.map(f => relayFor(fronts, f.vm, region, () => true));
    const watching = relays.filter(vm => vm === undefined);
    t.is(watching.length, 1);
    t.is(new Set(relays.filter(vm => vm !== undefined)).size, 1);
    t.is(own.length, count);
  }
});

test('an unusable or leaving relay is replaced by the next candidate, then by the store', t => {
  const fronts = fleet(member('a', 'r'), member('b', 'r'), member('c', 'r'));
  const first = ['a', 'b', 'c'].find(
    vm => relayFor(fronts, vm, 'r', () => true) === undefined,
  );
  const [x, y] = ['a', 'b', 'c'].filter(vm => vm !== first);
  const without = (vm: string) => vm !== first;
  const next = relayFor(fronts, x, 'r', without) ?? x;
  t.is(relayFor(fronts, next === x ? y : x, 'r', without), next);
  t.is(
    relayFor(fronts, x === next ? y : x, 'r', () => false),
    undefined,
  );
  const leaving = new Map(fronts);
  leaving.set(first!, member(first!, 'r', true));
  t.not(
    relayFor(leaving, x, 'r', () => true),
    first,
  );
});

test('kept changes have no gap, and a request for older ones is refused', t => {
  let history = emptyChangeHistory(5);
  for (let n = 0; n < 1_500; n++) history = addChanges(history, [put(6 + n)]);
  t.is(changesAfter(history, 5), undefined);
  t.is(changesAfter(history, 1_500)?.length, 5);
  t.is(changesAfter(history, history.since)?.length, 1_000);
});

test('a value too large for narrow links between fronts is replaced by a notice', t => {
  const noise: RelayedEvent = {
    kind: 'put',
    key: 'k1',
    revision: 1,
    value: randomBytes(300_000),
  };
  const history = addChanges(emptyChangeHistory(0), [noise, put(2)]);
  const [large, small] = changesAfter(history, 0) ?? [];
  t.deepEqual(large, {kind: 'changed', key: 'k1', revision: 1});
  t.is(small.kind, 'put');
});

test('delays, suspensions and clock steps never make a relayed state look younger than it is', t => {
  const step = fc.integer({min: 0, max: 5_000});
  fc.assert(
    fc.property(
      step,
      step,
      step,
      step,
      fc.boolean(),
      fc.integer({min: -8_000, max: 8_000}),
      fc.boolean(),
      (
        viewAgeMs,
        requestDelayMs,
        waitMs,
        replyDelayMs,
        isSuspended,
        clockStepMs,
        isNewer,
      ) => {
        // Moments in real time, in ms; the request is sent at 0.
        const arrival = requestDelayMs;
        const answered = arrival + waitMs;
        const received = answered + replyDelayMs;
        const asOfReal = isNewer
          ? Math.max(arrival - viewAgeMs, answered - viewAgeMs)
          : arrival - viewAgeMs;
        // At most one of the two clocks of each VM is wrong.
        const relay = (real: number): ClockReading => ({
          steadyMs: isSuspended && real > arrival ? arrival : real,
          wallMs: isSuspended || real <= arrival ? real : real + clockStepMs,
        });
        const requester = (real: number): ClockReading => ({
          steadyMs: 70 + (isSuspended && real > 0 ? real / 2 : real),
          wallMs: 90 + real,
        });
        const offset = asOfOffsetMs(relay(arrival), relay(asOfReal));
        const asOf = asOfOnLocalClock(
          requester(0),
          offset,
          requester(received),
        );
        const age = ageMs(asOf, requester(received));
        t.true(age >= received - asOfReal - 1e-9);
      },
    ),
    {seed: 20261204, numRuns: 2_000},
  );
});

test('pending requests get the changes of the store’s next reply, or learn that there is none', async t => {
  let nowMs = 0;
  const clocks = () => ({steadyMs: nowMs, wallMs: nowMs});
  const relay = ChangeRelay.create(clocks);
  t.is((await relay.follow({after: 1})).kind, 'unheard');
  relay.reset(10);
  relay.publish(10, clocks());
  nowMs = 400;
  const pending = relay.follow({after: 10});
  nowMs = 900;
  const asOf = clocks();
  nowMs = 1_000;
  relay.record([put(11)]);
  relay.publish(11, asOf);
  const changes = (await pending) as RelayedChanges & {kind: 'changes'};
  t.is(changes.revision, 11);
  t.is(changes.events.length, 1);
  t.is(changes.offsetMs, 500);
  t.is((await relay.follow({after: 9})).kind, 'gone');
  const unanswered = relay.follow({after: 11});
  relay.suspend();
  t.is((await unanswered).kind, 'unheard');
});

test('a configuration that compresses well is relayed whole', t => {
  const value = Buffer.from('{"name":"route","kind":"bounded"},'.repeat(2_000));
  const event = {kind: 'put', key: 'config', revision: 1, value} as const;
  const [passed] =
    changesAfter(addChanges(emptyChangeHistory(0), [event]), 0) ?? [];
  t.is(passed.kind, 'packed');
  if (passed.kind !== 'packed') return;
  t.true(passed.value.length < value.length / 4);
  t.deepEqual(unpackValue(passed.value), value);
  t.throws(() => unpackValue(randomBytes(100)));
  // A front that relays the packed change again keeps it packed.
  t.deepEqual(addChanges(emptyChangeHistory(0), [passed]).events, [passed]);
});
