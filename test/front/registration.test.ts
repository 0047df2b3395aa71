/**
 * Renewal of a front's entry in the store, in virtual time. Guards against a
 * late reply about an expired lease making the front abandon the lease that
 * replaced it.
 */
import {mock} from 'node:test';
import test from 'ava';
import {err, ok} from 'neverthrow';
import {BehaviorSubject} from 'rxjs';
import {Registration} from '../../src/front/registration.js';
import {StoreFeed} from '../../src/front/store_feed.js';
import {
  KeyValueStore,
  StoreFaultKind,
  StoreResult,
} from '../../src/store/key_values.js';
import {advance, settle} from '../fixtures/virtual_time.js';

test.serial(
  'a late reply about an expired lease does not end the next one',
  async t => {
    mock.timers.enable({apis: ['setTimeout', 'setInterval']});
    t.teardown(() => mock.timers.reset());
    let leases = 0;
    const renewals: Array<() => void> = [];
    const leaseNotFound = err({
      kind: StoreFaultKind.leaseNotFound,
      message: 'gone',
    });
    const store = {
      grant: () => Promise.resolve(ok({leaseId: ++leases, ttlMs: 6_000})),
      commit: () => Promise.resolve(ok(1)),
      renew: () =>
        new Promise(resolve =>
          renewals.push(() => resolve(leaseNotFound)),
        ) as StoreResult<number>,
      revoke: () => Promise.resolve(ok(undefined)),
    } as unknown as KeyValueStore;
    const feed = {
      config: {},
      config$: new BehaviorSubject({}),
      fleetItems$: new BehaviorSubject(new Map()),
      isStoreFailing: false,
      knownRevision: 0,
    } as unknown as StoreFeed;
    const registration = Registration.create({
      member: {
        vm: 'a',
        host: 'h',
        port: 1,
        place: {zone: 'z', region: 'r'},
        leaving: false,
      },
      prefix: 'own/',
      store,
      feed,
      log: () => undefined,
    });
    await advance(100);
    t.is(leases, 1);
    await advance(4_000);
    t.is(renewals.length, 2);
    renewals[0]();
    await advance(600);
    t.is(leases, 2);
    t.true(registration.isLeaseValid);
    renewals[1]();
    await settle();
    t.true(registration.isLeaseValid);
    t.is(leases, 2);
    await registration.close();
  },
);
