import test from 'ava';
import fc from 'fast-check';
import {FairQueue} from '../src/core/fair_queue.js';
import {
  createMembership,
  MemberUpdate,
  mergeUpdates,
} from '../src/core/membership.js';
import {ownerOf} from '../src/core/placement.js';
import {
  addLentTokens,
  fullBucket,
  lendTokens,
  LentInterval,
  takeTokens,
  TokenBucket,
} from '../src/core/rates.js';
import {decodeToken, encodeToken} from '../src/core/token.js';
import {frameOf, FrameReader} from '../src/pg/wire.js';

const PLACE = {region: 'r', zone: 'z'};

test('frames are reassembled from chunks of any size', t => {
  const frames = fc.array(
    fc.record({
      code: fc.integer({min: 1, max: 255}),
      body: fc.uint8Array({maxLength: 300}),
    }),
    {maxLength: 20},
  );
  fc.assert(
    fc.property(frames, fc.integer({min: 1, max: 64}), (sent, chunkBytes) => {
      const wire = Buffer.concat(
        sent.map(({code, body}) => frameOf(code, Buffer.from(body))),
      );
      const reader = FrameReader.create({maxFrameBytes: 1_000});
      const received: [number, string][] = [];
      for (let at = 0; at < wire.length; at += chunkBytes) {
        const isAccepted = reader.push(
          wire.subarray(at, at + chunkBytes),
          (code, f) => received.push([code, f.subarray(5).toString('hex')]),
        );
        if (!isAccepted) return false;
      }
      const expected = sent.map(({code, body}) => [
        code,
        Buffer.from(body).toString('hex'),
      ]);
      return JSON.stringify(received) === JSON.stringify(expected);
    }),
    {seed: 1},
  );
  t.pass();
});

test('no interleaving of takes and loans grants more than burst + rate * d', t => {
  const rate = {ratePerS: 50, burst: 20};
  const step = fc.record({
    passMs: fc.double({min: 0, max: 300, noNaN: true}),
    vm: fc.integer({min: 0, max: 3}),
    other: fc.integer({min: 0, max: 3}),
    action: fc.constantFrom('take', 'lend', 'arrive', 'drop'),
    amount: fc.double({min: 0.1, max: 10, noNaN: true}),
  });
  fc.assert(
    fc.property(fc.array(step, {maxLength: 300}), steps => {
      const buckets: TokenBucket[] = Array.from({length: 4}, () =>
        fullBucket(rate, 0.25, 0),
      );
      const inFlight: {
        to: number;
        lent: readonly LentInterval[];
        atMs: number;
      }[] = [];
      const grantsMs: number[] = [];
      let nowMs = 0;
      for (const {passMs, vm, other, action, amount} of steps) {
        nowMs += passMs;
        if (action === 'take') {
          const next = takeTokens(buckets[vm], 1, nowMs);
          if (next) {
            buckets[vm] = next;
            grantsMs.push(nowMs);
          }
        } else if (action === 'lend' && vm !== other) {
          const result = lendTokens(buckets[vm], amount, 0, nowMs);
          buckets[vm] = result.bucket;
          inFlight.push({to: other, lent: result.lent, atMs: nowMs});
        } else if (action === 'arrive') {
          const loan = inFlight.shift();
          if (loan) {
            buckets[loan.to] = addLentTokens(
              buckets[loan.to],
              loan.lent,
              loan.atMs,
              nowMs,
            );
          }
        } else {
          inFlight.pop();
        }
      }
      return grantsMs.every((fromMs, first) =>
        grantsMs
          .slice(first)
          .every(
            (toMs, n) =>
              n + 1 <=
              rate.burst + (rate.ratePerS * (toMs - fromMs)) / 1_000 + 1e-6,
          ),
      );
    }),
    {seed: 2, numRuns: 300},
  );
  t.pass();
});

test('a small customer is served within its turn, whatever the backlog', t => {
  fc.assert(
    fc.property(
      fc.integer({min: 2, max: 200}),
      fc.integer({min: 1, max: 4}),
      (flood, weight) => {
        const queue = FairQueue.create<string>();
        const pace = {concurrency: 1, serviceTimeMs: 0};
        const offer = (customer: string, w: number): boolean =>
          queue.offer(
            {customer, weight: w, deadlineAtMs: 1, item: customer},
            pace,
            0,
          );
        for (let i = 0; i < flood; i++) offer('flooder', weight);
        offer('small', 1);
        const served: (string | undefined)[] = [];
        while (queue.size > 0) served.push(queue.take()?.item);
        return served.indexOf('small') <= weight;
      },
    ),
    {seed: 3},
  );
  t.pass();
});

test('a request that cannot meet its deadline is rejected on arrival', t => {
  const queue = FairQueue.create<number>();
  const capacity = {concurrency: 1, serviceTimeMs: 10};
  const accepted = Array.from({length: 10}, (_, i) =>
    queue.offer(
      {customer: 'c', weight: 1, deadlineAtMs: 45, item: i},
      capacity,
      0,
    ),
  );
  t.is(accepted.filter(Boolean).length, 5);
});

test('membership does not depend on the order of updates', t => {
  const update = fc.record({
    address: fc.constantFrom(...['a', 'b', 'c']).map(vm => ({
      vm,
      host: 'h',
      peerPort: 1,
      place: PLACE,
    })),
    incarnation: fc.integer({min: 0, max: 3}),
    status: fc.constantFrom('alive', 'leaving', 'suspect', 'gone'),
  }) as fc.Arbitrary<MemberUpdate>;
  const viewOf = (updates: readonly MemberUpdate[]): string => {
    const address = {vm: 'self', host: 'h', peerPort: 1, place: PLACE};
    const view = mergeUpdates(createMembership(address, 0), updates, 0);
    return JSON.stringify(
      [...view.others.values()]
        .map(m => `${m.address.vm} ${m.incarnation} ${m.status}`)
        .sort(),
    );
  };
  fc.assert(
    fc.property(
      fc.array(update, {maxLength: 12}),
      updates => viewOf(updates) === viewOf([...updates].reverse()),
    ),
    {seed: 4},
  );
  t.pass();
});

test('the loss of a VM changes the owner of its own services only', t => {
  const vms = Array.from({length: 9}, (_, i) => ({
    vm: `vm-${i}`,
    place: {region: `r${i % 3}`, zone: `z${i}`},
  }));
  const home = {region: 'r1', zone: 'z1'};
  for (let n = 0; n < 300; n++) {
    const key = `service-${n}`;
    const owner = ownerOf(key, home, vms);
    const left = vms.filter(candidate => candidate.vm !== 'vm-4');
    const next = ownerOf(key, home, left);
    if (owner?.vm !== 'vm-4') t.is(next?.vm, owner?.vm);
  }
});

test('a token cannot be forged or used for another service', t => {
  const token = encodeToken('secret', 'orders', {term: 3, offset: 77});
  t.deepEqual(decodeToken(['secret'], 'orders', token)._unsafeUnwrap(), {
    term: 3,
    offset: 77,
  });
  t.true(decodeToken(['secret'], 'other', token).isErr());
  t.true(decodeToken(['other'], 'orders', token).isErr());
  t.true(decodeToken(['new', 'secret'], 'orders', token).isOk());
  fc.assert(
    fc.property(fc.string({maxLength: 60}), text =>
      decodeToken(['secret'], 'orders', text).isErr(),
    ),
    {seed: 5},
  );
  t.true(
    decodeToken(['secret'], 'orders', token.replace('3/77', '3/7')).isErr(),
  );
});
