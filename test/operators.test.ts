import test from 'ava';
import {main} from '../src/cli/main.js';
import {Config, EMPTY_CONFIG} from '../src/core/config.js';
import {makePlan, parseIntent} from '../src/core/plan.js';
import {Roster} from '../src/core/roster.js';
import {resolveSettings} from '../src/proxy/settings.js';
import {StoreKey} from '../src/store/store.js';
import {
  LocalFleet,
  LOCAL_FLEET_OPERATOR_KEY,
  waitUntil,
} from '../src/standin/local_fleet.js';

const rateAction = (ratePerS: number) => ({
  do: 'set_rate',
  customer: 'villacres',
  ratePerS,
  burst: 10,
});

const versionOf = (fleet: LocalFleet, proxy: number): number =>
  (fleet.proxies[proxy].dump() as {configVersion: number}).configVersion;

async function withFleet(
  run: (fleet: LocalFleet) => Promise<void>,
): Promise<void> {
  const fleet = await LocalFleet.create({proxies: 5});
  try {
    await run(fleet);
  } finally {
    await fleet.close();
  }
}

async function planOf(fleet: LocalFleet, proxy: number, ratePerS: number) {
  const actions = [rateAction(ratePerS)];
  const plan = await fleet.callOperatorPort(proxy, 'POST', '/plan', {actions});
  return plan.body as unknown as {id: string; changes: string[]};
}

test.serial('a plan takes effect once, when it is confirmed', async t => {
  await withFleet(async fleet => {
    const plan = await planOf(fleet, 0, 5);
    t.true(plan.changes.some(line => line.includes('ratePerS: 1000000 -> 5')));
    t.is(versionOf(fleet, 0), 1);
    const confirm = () =>
      fleet.callOperatorPort(3, 'POST', '/confirm', {planId: plan.id});
    const first = await confirm();
    const again = await confirm();
    t.deepEqual([first.status, first.body.version], [200, 2]);
    t.deepEqual([again.status, again.body.version], [200, 2]);
    await waitUntil(() =>
      [0, 1, 2, 3, 4].every(i => versionOf(fleet, i) === 2),
    );
  });
});

test.serial(
  'of two concurrent confirmations, one succeeds and one gets 409',
  async t => {
    await withFleet(async fleet => {
      const plans = [await planOf(fleet, 0, 5), await planOf(fleet, 1, 6)];
      const answers = await Promise.all(
        plans.map((plan, i) =>
          fleet.callOperatorPort(i, 'POST', '/confirm', {planId: plan.id}),
        ),
      );
      const statuses = answers.map(answer => answer.status).sort();
      t.deepEqual(statuses, [200, 409]);
      const loser = answers.find(answer => answer.status === 409);
      t.regex(String(loser?.body.error), /moved: version 2 by ana/);
    });
  },
);

test.serial(
  'a confirmation succeeds although a response of the platform is lost',
  async t => {
    await withFleet(async fleet => {
      const plan = await planOf(fleet, 0, 7);
      fleet.platform.faults.responsesToDrop = 1;
      const done = await fleet.callOperatorPort(0, 'POST', '/confirm', {
        planId: plan.id,
      });
      t.deepEqual([done.status, done.body.version], [200, 2]);
      t.is(fleet.platform.faults.responsesToDrop, 0);
    });
  },
);

test.serial(
  'a VM that starts in a platform outage gets its configuration from peers',
  async t => {
    await withFleet(async fleet => {
      await fleet.applyActions(0, [rateAction(9)]);
      await waitUntil(() => versionOf(fleet, 4) === 2);
      const seeds = fleet.proxies.map(proxy => `127.0.0.1:${proxy.peerPort}`);
      fleet.platform.setDown(true);
      const booted = await fleet.startProxy(5, {seedPeers: seeds.join(',')});
      await waitUntil(
        () => (booted.dump() as {configVersion: number}).configVersion === 2,
      );
      await waitUntil(
        async () =>
          (await fleet.callOperatorPort(5, 'GET', '/health')).status === 200,
      );
      t.pass();
    });
  },
);

test.serial('operator calls need an operator key', async t => {
  await withFleet(async fleet => {
    for (const key of ['', 'key-villacres', `${LOCAL_FLEET_OPERATOR_KEY}x`]) {
      t.is(
        (await fleet.callOperatorPort(0, 'GET', '/dump', undefined, key))
          .status,
        401,
      );
    }
  });
});

test('the error of an invalid intent names the wrong field', t => {
  const wrong = parseIntent({
    actions: [{do: 'set_rate', customer: 'a', ratePerS: -1, burst: 1}],
  });
  t.regex(wrong._unsafeUnwrapErr(), /actions\.0\.ratePerS/);
  t.regex(parseIntent({})._unsafeUnwrapErr(), /actions/);
});

test('a plan near the size limit of the platform is rejected', t => {
  const actions = Array.from({length: 1_000}, (_, n) => ({
    do: 'put_customer' as const,
    customer: {
      name: `c-${n}`,
      services: Array.from({length: 20}, (_unused, i) => 's'.repeat(40) + i),
      ratePerS: 1,
      burst: 1,
      weight: 1,
    },
  }));
  const plan = makePlan(EMPTY_CONFIG, {actions}, 'ana', 'n');
  t.regex(plan._unsafeUnwrapErr(), /at most 900000/);
});

test('the error of an invalid setting shows name, value and range', t => {
  const wrong = resolveSettings(
    {callerPort: '99999', fleetSecrets: 's'},
    {MUSTARDPASS_REQUEST_TIMEOUT_MS: 'soon', MUSTARDPASS_TYPO: '1'},
  )._unsafeUnwrapErr();
  t.regex(wrong, /--caller-port is '99999': .*65535/);
  t.regex(wrong, /MUSTARDPASS_REQUEST_TIMEOUT_MS is 'soon'/);
  t.regex(wrong, /MUSTARDPASS_TYPO is not a setting/);
  const missing = resolveSettings({}, {})._unsafeUnwrapErr();
  t.regex(missing, /--fleet-secrets .* is required/);
});

test('wrong commands exit with 2, a failed connection with 4', async t => {
  t.is(await main(['nonsense']), 2);
  t.is(await main(['proxy', '--caller-port', 'x']), 2);
  t.is(await main(['plan']), 2);
  t.is(await main(['dump', '--url', 'http://127.0.0.1:1']), 4);
});

const storedVersion = (fleet: LocalFleet): number =>
  (JSON.parse(fleet.platform.get(StoreKey.config) ?? '{}') as Config).version;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

// Guards against a confirmed change that the platform has lost, and against the
// next one getting a version that VMs pass over as old.
test.serial(
  'confirmed changes survive a restore of the platform, and the next one is in force',
  async t => {
    await withFleet(async fleet => {
      await fleet.applyActions(0, [rateAction(5)]);
      await pause(300);
      const copyMs = performance.now();
      await pause(50);
      await fleet.applyActions(1, [rateAction(6)]);
      await fleet.applyActions(2, [rateAction(7)]);
      await waitUntil(() =>
        [0, 1, 2, 3, 4].every(i => versionOf(fleet, i) === 4),
      );
      fleet.platform.restore(performance.now() - copyMs);
      t.is(storedVersion(fleet), 2);
      const version = await fleet.applyActions(3, [rateAction(8)]);
      t.is(version, 5);
      await waitUntil(() =>
        [0, 1, 2, 3, 4].every(i => versionOf(fleet, i) === 5),
      );
    });
  },
);

// Guards against a VM that starts after a restore and takes the older
// configuration for the newest.
test.serial(
  'a restored platform gets the newest configuration and roster again',
  async t => {
    await withFleet(async fleet => {
      const rosterOf = (): Roster =>
        JSON.parse(fleet.platform.get(StoreKey.roster) ?? '{}') as Roster;
      await waitUntil(() => rosterOf().members?.length === 5);
      const roster = rosterOf();
      await fleet.applyActions(0, [rateAction(5)]);
      fleet.platform.restore(performance.now());
      t.not(rosterOf().members?.length, 5);
      await waitUntil(() => storedVersion(fleet) === 2, 5_000);
      await waitUntil(() => rosterOf().members?.length === 5, 5_000);
      t.true(rosterOf().version >= roster.version);
    });
  },
);
