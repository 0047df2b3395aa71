/** Fixture: fronts whose callers write without a break, for changes of primary. */
import {ExecutionContext} from 'ava';
import {BusyCallers} from './busy_callers.js';
import {
  operatorConfig,
  RunningFront,
  startFront,
  until,
  ZONES,
} from './fleet_fixture.js';
import {StandinGroup} from './standin_database.js';
import {StandinLink} from './standin_link.js';
import {StandinStore} from './standin_store.js';

/** Time from the platform's acceptance of an order to its effect. */
export const PROMOTION_MS = 1_000;
export const CHANGE_LIMIT_MS = 15_000;
export const MIN_WRITES = 30;

export const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** Two fronts with callers at work; each front has a link to the store. */
export interface BusyFleet {
  readonly group: StandinGroup;
  readonly store: StandinStore;
  readonly fronts: readonly RunningFront[];
  readonly links: readonly StandinLink[];
  readonly callers: BusyCallers;
}

export async function startBusyFleet(
  t: ExecutionContext,
  prepare: (group: StandinGroup) => Promise<void> = async () => undefined,
): Promise<BusyFleet> {
  const group = await StandinGroup.start('orders', ZONES);
  group.promotionMs = PROMOTION_MS;
  await prepare(group);
  const store = await StandinStore.start([group]);
  store.put('op/config', operatorConfig('orders'));
  const fronts: RunningFront[] = [];
  const links: StandinLink[] = [];
  for (const [index, zone] of ['norte', 'puerto'].entries()) {
    const link = await StandinLink.start(store.port);
    const address = {host: '127.0.0.1', port: link.port};
    const name = `front-${index + 1}`;
    const overrides = {storeAddress: address, promotionAddress: address};
    links.push(link);
    fronts.push(await startFront(name, zone, store, overrides));
  }
  await until(() => fronts.every(({front}) => front.isReady));
  const callers = BusyCallers.start(group, fronts);
  t.teardown(async () => {
    await callers.stop();
    await Promise.all(fronts.map(({front}) => front.stop()));
    for (const link of links) link.cut();
    await group.stop();
    await store.stop();
  });
  await until(() => callers.succeeded.size >= MIN_WRITES);
  return {group, store, fronts, links, callers};
}

/** Waits until a promotion has had its effect and writes succeed after it. */
export async function untilChanged(
  {group, callers}: BusyFleet,
  limitMs = CHANGE_LIMIT_MS,
): Promise<void> {
  await until(() => group.promotedAtMs < Infinity, limitMs);
  await untilServed(callers, group.promotedAtMs);
}

export const untilServed = (
  callers: BusyCallers,
  sinceMs: number,
): Promise<void> =>
  until(() => callers.lastSuccessSentMs > sinceMs, CHANGE_LIMIT_MS);

export function assertNothingLost(
  t: ExecutionContext,
  {callers}: Pick<BusyFleet, 'callers'>,
): void {
  const {lost, succeeded} = callers;
  t.true(succeeded.size >= MIN_WRITES);
  t.is(lost.length, 0, `${lost.length} of ${succeeded.size} lost`);
}
