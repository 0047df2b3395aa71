/** Tests of the decisions about requests to cold databases. */
import test from 'ava';
import {fc, testProp} from '@fast-check/ava';
import {decodeConfiguration} from '../../platform/configuration.js';
import {coldUntilMs, refutes} from '../../src/core/cold_state.js';
import {
  DatabaseEntry,
  Directory,
  KnownDatabase,
  putEntry,
} from '../../src/core/directory.js';
import {FrontMember, Fronts, rankHolders} from '../../src/core/fronts.js';
import {
  FORMER_HOLDER_MS,
  HolderHistory,
} from '../../src/core/holder_history.js';
import {NO_LOAD, rankForRead} from '../../src/core/read_choice.js';
import {
  DEFAULT_WARM_UP_TOLERANCE,
  frontShare,
  WARM_UP_WINDOW_MS,
  WarmUpLimiter,
} from '../../src/core/warm_up.js';
import {databaseEntry} from '../fixtures/database_entry.js';

const PLACE = {zone: 'z', region: 'r'};

const share = (coldPerS: number): number =>
  frontShare({coldPerS, coldStartMs: 0}, DEFAULT_WARM_UP_TOLERANCE);

/** Returns the largest number of times within one second. */
function highestPerSecond(timesMs: readonly number[]): number {
  const sorted = [...timesMs].sort((a, b) => a - b);
  let first = 0;
  return sorted.reduce((highest, atMs, index) => {
    while (atMs - sorted[first] > 1_000) first++;
    return Math.max(highest, index - first + 1);
  }, 0);
}

test('a front gets half of the limit, rounded down, and at least one request', t => {
  t.is(share(20), 17);
  t.is(share(10), 10);
  t.is(frontShare({coldPerS: 0.1, coldStartMs: 0}, {excess: 1, slack: 0}), 1);
});

const attempts = fc.array(
  fc.record({
    pauseMs: fc.integer({min: 0, max: 300}),
    front: fc.nat({max: 1}),
    count: fc.integer({min: 1, max: 3}),
    /** Time until the database receives the request, and until the answer. */
    transitMs: fc.nat({max: 400}),
    answerMs: fc.nat({max: 600}),
  }),
  {maxLength: 120},
);

testProp(
  'one or two holders under any load stay within the limit in any second, however long requests are in transit',
  [attempts, fc.integer({min: 1, max: 12}), fc.boolean()],
  (t, requests, coldPerS, areTwo) => {
    const sharePerS = share(coldPerS);
    const limiters = [0, 1].map(() => WarmUpLimiter.create(() => sharePerS));
    const received: number[][] = [[], []];
    const ends: Array<{atMs: number; end: (nowMs: number) => void}> = [];
    let nowMs = 0;
    for (const {pauseMs, front, count, transitMs, answerMs} of requests) {
      nowMs += pauseMs;
      ends.sort((a, b) => a.atMs - b.atMs);
      while (ends[0]?.atMs <= nowMs) {
        const {atMs, end} = ends.shift()!;
        end(atMs);
      }
      const index = areTwo ? front : 0;
      const sent = Math.min(count, sharePerS);
      const waitMs = limiters[index].waitMs(sent, nowMs);
      const permit = limiters[index].start(sent, nowMs);
      t.is(permit !== undefined, waitMs === 0);
      if (!permit) continue;
      const receivedAtMs = nowMs + transitMs;
      received[index].push(...Array<number>(sent).fill(receivedAtMs));
      ends.push({atMs: receivedAtMs + answerMs, end: permit.end});
    }
    t.true(received.every(times => highestPerSecond(times) <= sharePerS));
    const limit = Math.max(areTwo ? 2 : 1, coldPerS * 1.5 + 5);
    t.true(highestPerSecond(received.flat()) <= limit);
  },
);

testProp(
  'a limiter has room after the time that it states',
  [fc.integer({min: 1, max: 5}), fc.array(fc.nat({max: 500}), {minLength: 1})],
  (t, sharePerS, pausesMs) => {
    const limiter = WarmUpLimiter.create(() => sharePerS);
    let nowMs = 0;
    for (const pauseMs of pausesMs) {
      nowMs += pauseMs;
      limiter.start(1, nowMs)?.end(nowMs);
      t.is(limiter.waitMs(1, nowMs + limiter.waitMs(1, nowMs)), 0);
    }
  },
);

test('requests to a database that turns out to be cold count too', t => {
  const limiter = WarmUpLimiter.create(() => 2);
  for (let i = 0; i < 9; i++) limiter.record(1, i).end(i);
  t.is(limiter.waitMs(1, 10), WARM_UP_WINDOW_MS - 3);
});

test('statements with more setup than the share can be sent alone', t => {
  const limiter = WarmUpLimiter.create(() => 2);
  const permit = limiter.start(9, 0);
  t.truthy(permit);
  t.is(limiter.start(1, 0), undefined);
  permit?.end(1);
  t.is(limiter.waitMs(9, 2), WARM_UP_WINDOW_MS - 1);
});

const entry = (overrides: Partial<DatabaseEntry> = {}): DatabaseEntry =>
  databaseEntry('d', {host: '127.0.0.1', startedAtUnixMs: 100, ...overrides});

/** Receives entries in turn, each with the time of receipt. */
function receive(
  ...entries: ReadonlyArray<readonly [number, Partial<DatabaseEntry>]>
): KnownDatabase {
  let directory: Directory = new Map();
  for (const [nowMs, overrides] of entries)
    directory = putEntry(directory, entry(overrides), PLACE, 1, nowMs);
  return directory.get('d')!;
}

test('a database is cold from the receipt of its newest entry', t => {
  const cold = {remainingWarmUpMs: 1_000};
  t.is(receive([50, cold]).coldUntilMs, 1_050);
  t.is(
    receive([50, cold], [500, {sequence: 2, remainingWarmUpMs: 600}])
      .coldUntilMs,
    1_100,
  );
  t.is(
    receive([50, cold], [60, {startedAtUnixMs: 200, remainingWarmUpMs: 3_000}])
      .coldUntilMs,
    3_060,
  );
});

test('an entry that the store lists again does not extend the warm-up; an older one never ends it', t => {
  const cold = {sequence: 2, remainingWarmUpMs: 1_000};
  t.is(receive([50, cold], [900, cold]).coldUntilMs, 1_050);
  t.is(
    receive([50, cold], [60, {startedAtUnixMs: 50, sequence: 9}]).coldUntilMs,
    1_050,
  );
});

test('after a restart under the same id only an entry of later date ends the suspicion', t => {
  const former = receive([0, {sequence: 4}]);
  const suspicion = {entry: former, atMs: 100, untilMs: 5_100};
  t.is(coldUntilMs(former, suspicion), 5_100);
  t.false(refutes(receive([200, {sequence: 4}]), suspicion));
  t.false(refutes(receive([200, {sequence: 5}]), suspicion));
  t.true(refutes(receive([1_700, {sequence: 5}]), suspicion));
  t.true(refutes(receive([101, {startedAtUnixMs: 101}]), suspicion));
});

const frontsOf = (vms: readonly string[], leaving: readonly string[] = []) =>
  new Map(
    vms.map((vm): [string, FrontMember] => [
      vm,
      {vm, host: '', port: 1, place: PLACE, leaving: leaving.includes(vm)},
    ]),
  );

const RANKED = rankHolders(frontsOf(['a', 'b', 'c']), 'd', PLACE).map(
  ({vm}) => vm,
);
const [FIRST, SECOND, THIRD] = RANKED;

/** Records lists of fronts as the front `vm` receives them. */
function historyOf(
  vm: string,
  ...views: ReadonlyArray<readonly [number, Fronts]>
): HolderHistory {
  const history = HolderHistory.create(vm);
  for (const [nowMs, fronts] of views) history.record(fronts, nowMs);
  return history;
}

test('a front that succeeds one holder starts at once', t => {
  const history = historyOf(
    SECOND,
    [0, frontsOf(RANKED)],
    [5_000, frontsOf([SECOND, THIRD])],
  );
  t.is(history.waitMs('d', PLACE, 5_000), 0);
});

test('when two holders stop within a second, the third waits until the first has sent nothing for a second', t => {
  const history = historyOf(
    THIRD,
    [0, frontsOf(RANKED)],
    [5_000, frontsOf([SECOND, THIRD])],
    [5_400, frontsOf([THIRD])],
  );
  t.is(history.waitMs('d', PLACE, 5_400), FORMER_HOLDER_MS - 400);
  t.is(history.waitMs('d', PLACE, 5_000 + FORMER_HOLDER_MS), 0);
});

test('when two holders vanish in one change, the third assumes that both have sent', t => {
  const history = historyOf(
    THIRD,
    [0, frontsOf(RANKED)],
    [5_000, frontsOf([THIRD])],
  );
  t.is(history.waitMs('d', PLACE, 5_000), FORMER_HOLDER_MS);
});

test('a front that leaves counts as a sender while it is listed', t => {
  const history = historyOf(
    THIRD,
    [0, frontsOf(RANKED)],
    [5_000, frontsOf(RANKED, [FIRST])],
    [6_000, frontsOf([FIRST, THIRD], [FIRST])],
  );
  t.true(history.waitMs('d', PLACE, 7_000) > 0);
  t.is(history.waitMs('d', PLACE, 6_000 + FORMER_HOLDER_MS), 0);
});

test('a front that was just started waits, as it does not know the former holders', t => {
  const history = historyOf(FIRST, [1_000, frontsOf(RANKED)]);
  t.is(history.waitMs('d', PLACE, 1_000), FORMER_HOLDER_MS);
  t.is(history.waitMs('d', PLACE, 1_000 + FORMER_HOLDER_MS), 0);
});

testProp(
  'with holders that change at any rate, at most two send within a second',
  [fc.array(fc.tuple(fc.nat({max: 900}), fc.subarray(RANKED, {minLength: 1})))],
  (t, changes) => {
    const histories = RANKED.map(vm => HolderHistory.create(vm));
    let nowMs = 0;
    let fronts: Fronts = frontsOf(RANKED);
    const sent: Array<{atMs: number; vm: string}> = [];
    for (const [pauseMs, vms] of [[0, RANKED] as const, ...changes]) {
      const untilMs = nowMs + pauseMs;
      for (; nowMs < untilMs; nowMs += 50) {
        const [holder] = rankHolders(fronts, 'd', PLACE);
        const history = histories[RANKED.indexOf(holder.vm)];
        if (history.waitMs('d', PLACE, nowMs) === 0)
          sent.push({atMs: nowMs, vm: holder.vm});
      }
      fronts = frontsOf(vms);
      for (const history of histories) history.record(fronts, nowMs);
    }
    const sendersFrom = (fromMs: number): number =>
      new Set(
        sent
          .filter(({atMs}) => atMs >= fromMs && atMs <= fromMs + 1_000)
          .map(({vm}) => vm),
      ).size;
    t.true(sent.every(({atMs}) => sendersFrom(atMs) <= 2));
  },
);

test('a read leaves out a cold database that refused one; its warm-up costs nothing if it is limited', t => {
  const cold = receive([0, {remainingWarmUpMs: 60_000}]);
  const far = {
    ...receive([0, {id: 'd'}]),
    id: 'far',
    place: {zone: 'f', region: 'f'},
  };
  const rank = (load: object): string[] =>
    rankForRead(
      [cold, far],
      undefined,
      PLACE,
      id => (id === 'd' ? {...NO_LOAD, ...load} : NO_LOAD),
      100,
    ).map(({id}) => id);
  t.deepEqual(rank({}), ['far', 'd']);
  t.deepEqual(rank({isLimitedWhileCold: true}), ['d', 'far']);
  t.deepEqual(rank({isLimitedWhileCold: true, coldUntilMs: 101}), ['far']);
});

test('cold databases are limited only where the configuration has a rate for them', t => {
  const decode = (fields: object) =>
    decodeConfiguration(
      Buffer.from(
        JSON.stringify({
          version: 1,
          routes: [],
          services: [{name: 's', max_conns: 4, ...fields}],
        }),
      ),
    );
  const ruleOf = (fields: object) =>
    decode(fields)._unsafeUnwrap().services.get('s')?.warmUp;
  t.is(ruleOf({}), undefined);
  t.is(ruleOf({cold_start_s: 30, cold_per_s: 0}), undefined);
  t.deepEqual(ruleOf({cold_start_s: 30, cold_per_s: 20}), {
    coldPerS: 20,
    coldStartMs: 30_000,
  });
  t.true(decode({cold_per_s: -1}).isErr());
});
