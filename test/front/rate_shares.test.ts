/**
 * Load pattern: a large idle fleet with hundreds of fronts and customers and
 * few statements. The work of a front for rates must not grow with either.
 */
import test from 'ava';
import {FrontConfig, FrontCustomer} from '../../src/core/front_config.js';
import {FrontMember, Fronts} from '../../src/core/fronts.js';
import {FrontList, frontEntryKey} from '../../src/front/front_list.js';
import {RateShares} from '../../src/front/rate_shares.js';
import {StoredItem} from '../../src/store/key_values.js';

const PREFIX = 'own/';
const noLog = (): void => undefined;

const member = (n: number, leaving = false): FrontMember => ({
  vm: `front-${n}`,
  host: '127.0.0.1',
  port: 7000 + n,
  place: {region: `r${n % 3}`, zone: `z${n % 6}`},
  leaving,
});

const fleetOf = (size: number): Fronts =>
  new Map(
    Array.from({length: size}, (_, n) => [member(n).vm, member(n)] as const),
  );

function configOf(customers: number, version = 1): FrontConfig {
  const entries = Array.from({length: customers}, (_, n) => {
    const rate = {ratePerS: 4 + n, burst: 4 + n};
    const customer: FrontCustomer = {name: `c${n}`, keys: [], rate};
    return [customer.name, customer] as const;
  });
  return {
    version,
    routes: new Map(),
    services: new Map(),
    customers: new Map(entries),
    customerOfKey: new Map(),
    idleTransactionMs: 400,
  };
}

const item = (value: string, revision: number): StoredItem => ({
  key: '',
  value: Buffer.from(value),
  revision,
});

test('the shares of a customer add up to one over the fleet', t => {
  const fronts = fleetOf(195);
  const config = configOf(40);
  const fleet = [...fronts.values()].map(({vm, place}) =>
    RateShares.create({
      self: vm,
      place,
      fronts: () => fronts,
      frontsAtStart: () => fronts,
      config: () => config,
      mayAccrue: () => true,
    }),
  );
  for (const customer of config.customers.keys()) {
    const sum = fleet.reduce((all, s) => all + s.shareOf(customer), 0);
    t.true(Math.abs(sum - 1) < 1e-9, `${customer}: ${sum}`);
  }
});

test('the change token stays the same object until an input changes', t => {
  let fronts = fleetOf(30);
  let config = configOf(10);
  let mayAccrue = true;
  const shares = RateShares.create({
    self: 'front-1',
    place: member(1).place,
    fronts: () => fronts,
    frontsAtStart: () => fronts,
    config: () => config,
    mayAccrue: () => mayAccrue,
  });
  const first = shares.changeToken;
  t.is(shares.changeToken, first);
  config = configOf(10, 2);
  const second = shares.changeToken;
  t.not(second, first);
  fronts = fleetOf(31);
  const third = shares.changeToken;
  t.not(third, second);
  mayAccrue = false;
  t.not(shares.changeToken, third);
  t.is(shares.shareOf('c1'), 0);
});

test('shares follow changes of the rate and of the fleet', t => {
  let fronts = fleetOf(8);
  let config = configOf(1);
  const shares = RateShares.create({
    self: 'front-0',
    place: member(0).place,
    fronts: () => fronts,
    frontsAtStart: () => fronts,
    config: () => config,
    mayAccrue: () => true,
  });
  const lenders = shares.lendersOf('c0').length;
  const wide = configOf(1, 2);
  const rate = {ratePerS: 400, burst: 400};
  config = {
    ...wide,
    customers: new Map([['c0', {name: 'c0', keys: [], rate}]]),
  };
  t.true(shares.lendersOf('c0').length > lenders);
  fronts = fleetOf(1);
  t.is(shares.shareOf('c0'), 1);
});

test('the map of fronts stays the same until an entry changes, and ignores invalid entries', t => {
  const list = FrontList.create(PREFIX, noLog);
  const entries = [1, 2].map(n => [
    frontEntryKey(PREFIX, `front-${n}`),
    item(JSON.stringify(member(n)), n),
  ]) as Array<[string, StoredItem]>;
  const first = list.decodeFronts(new Map(entries));
  t.is(first.size, 2);
  const renewed = new Map(entries).set(`${PREFIX}duty`, item('front-1', 9));
  t.is(list.decodeFronts(renewed), first);
  const garbled = new Map(entries).set(
    frontEntryKey(PREFIX, 'front-3'),
    item('{"vm":', 10),
  );
  t.is(list.decodeFronts(garbled).size, 2);
  const leaving = new Map(entries).set(
    frontEntryKey(PREFIX, 'front-2'),
    item(JSON.stringify(member(2, true)), 11),
  );
  t.true(list.decodeFronts(leaving).get('front-2')?.leaving);
  t.is(list.decodeFronts(new Map(entries.slice(0, 1))).size, 1);
});
