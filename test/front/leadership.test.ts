/**
 * Giving up a former primary where the platform does not fence it, in virtual
 * time: nothing is ordered while a front could still use it.
 */
import {mock} from 'node:test';
import test from 'ava';
import {Fronts} from '../../src/core/fronts.js';
import {
  decodeLeaderRecord,
  isPromotionAllowed,
} from '../../src/core/leader_record.js';
import {CoordinatorLease} from '../../src/front/coordinator_lease.js';
import {Leadership} from '../../src/front/leadership.js';
import {DatabaseCodec} from '../../src/front/wire_types.js';

const PROOF_LIMIT_MS = 4_800;

const settle = async (): Promise<void> => {
  for (let n = 0; n < 30; n++) await Promise.resolve();
};

async function advance(ms: number): Promise<void> {
  for (let n = 0; n < ms; n += 10) {
    mock.timers.tick(10);
    await settle();
  }
}

/** The holder of the duty among fronts of which some give no answer. */
function holderWith(silent: readonly string[], error = 'no answer') {
  const duty = {isHeld: true, write: () => Promise.resolve(10)};
  const vms = ['a', 'b', 'c'];
  const fronts: Fronts = new Map(
    vms.map(vm => [
      vm,
      {
        vm,
        host: '',
        port: 0,
        place: {zone: 'z', region: 'r'},
        leaving: false,
      },
    ]),
  );
  const leadership = Leadership.create({
    isFenced: false,
    prefix: 'own/',
    storedItems: () => new Map(),
    knownRevision: () => 10,
    fronts: () => fronts,
    isFreshAndRegistered: () => true,
    maxConfigAgeMs: PROOF_LIMIT_MS,
    coordinatorLease: () => duty as unknown as CoordinatorLease,
    codec: {} as DatabaseCodec,
    announce: vm =>
      silent.includes(vm)
        ? Promise.reject(new Error(error))
        : Promise.resolve(),
    abortPrimaryWorkExcept: () => undefined,
    log: () => undefined,
    nowMs: () => Date.now(),
  });
  return {leadership, duty};
}

test.beforeEach(() =>
  mock.timers.enable({apis: ['setTimeout', 'setInterval', 'Date']}),
);
test.afterEach.always(() => mock.timers.reset());

test.serial(
  'all fronts answer: the former primary is given up at once',
  async t => {
    const {leadership} = holderWith([]);
    const appointed = leadership.appoint('orders', 'db-2', undefined, 2);
    await advance(50);
    t.true(await appointed);
  },
);

test.serial(
  'a silent front is waited for until its proof has ended',
  async t => {
    const {leadership} = holderWith(['b']);
    let outcome: boolean | undefined;
    void leadership
      .appoint('orders', 'db-2', undefined, 2)
      .then(done => (outcome = done));
    await advance(PROOF_LIMIT_MS);
    t.is(outcome, undefined);
    await advance(600);
    t.true(outcome);
  },
);

test.serial('a process that has ended is not waited for', async t => {
  const {leadership} = holderWith(['b'], 'connect ECONNREFUSED 10.0.0.1:7560');
  const appointed = leadership.appoint('orders', 'db-2', undefined, 2);
  await advance(50);
  t.true(await appointed);
});

test.serial(
  'a holder that loses the duty meanwhile orders nothing',
  async t => {
    const {leadership, duty} = holderWith(['b']);
    const appointed = leadership.appoint('orders', 'db-2', undefined, 2);
    await advance(1_000);
    duty.isHeld = false;
    await advance(500);
    t.false(await appointed);
  },
);

test.serial(
  'while an order may still be carried out nothing else may lead',
  t => {
    const doubt = {database: 'db-2', untilMs: 1_000};
    t.true(isPromotionAllowed(doubt, 'db-2'));
    t.false(isPromotionAllowed(doubt, 'db-3'));
    t.false(isPromotionAllowed(doubt, undefined));
    t.true(isPromotionAllowed(undefined, 'db-3'));
  },
);

test.serial('a record that cannot be read says nothing', t => {
  t.is(decodeLeaderRecord('{"service":', 1), undefined);
  t.is(decodeLeaderRecord('null', 1), undefined);
  t.is(decodeLeaderRecord('{"service":1,"database":"x"}', 1), undefined);
});
