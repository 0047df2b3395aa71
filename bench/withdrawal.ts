/** Measures how soon the withdrawal of a key disconnects its callers. */
import {LocalFleet, waitUntil} from '../src/standin/local_fleet.js';
import {SERVICE} from './fault_cases.js';
import {percentile} from './simulation.js';

/**
 * Times from the request to withdraw the key to the disconnection, over all
 * callers. The keys are printed as JSON.
 */
export interface WithdrawalTimes {
  readonly callers: number;
  readonly p50_ms: number;
  readonly p99_ms: number;
  readonly max_ms: number;
}

const PROXY_COUNT = 5;
const CALLER_COUNT = 60;
const CUSTOMER = 'villacres';

/** Withdraws a key while callers are idle, run queries or hold transactions. */
export async function measureWithdrawal(): Promise<WithdrawalTimes> {
  const fleet = await LocalFleet.create({
    proxies: PROXY_COUNT,
    services: [{service: SERVICE}],
    customers: [{name: CUSTOMER}],
  });
  try {
    let requestedAtMs = Infinity;
    const disconnectTimesMs: number[] = [];
    for (let i = 0; i < CALLER_COUNT; i++) {
      await startCaller(fleet, i, () =>
        disconnectTimesMs.push(Math.max(0, Date.now() - requestedAtMs)),
      );
    }
    const withdrawal = fleet.applyActions(0, [
      {do: 'withdraw_key', customer: CUSTOMER, id: 'first'},
    ]);
    requestedAtMs = Date.now();
    await withdrawal;
    await waitUntil(() => disconnectTimesMs.length === CALLER_COUNT);
    return {
      callers: CALLER_COUNT,
      p50_ms: percentile(disconnectTimesMs, 0.5),
      p99_ms: percentile(disconnectTimesMs, 0.99),
      max_ms: Math.max(...disconnectTimesMs),
    };
  } finally {
    await fleet.close();
  }
}

/**
 * Connects a caller. By index, half of the callers stay idle, a third run
 * queries and a sixth hold a transaction open.
 */
async function startCaller(
  fleet: LocalFleet,
  index: number,
  onDisconnect: () => void,
): Promise<void> {
  const client = fleet.createClient(index % PROXY_COUNT, CUSTOMER, SERVICE);
  await client.connect();
  client.once('end', onDisconnect);
  if (index % 6 === 5) await client.query('BEGIN');
  if (index % 3 !== 1) return;
  const queryRepeatedly = async (): Promise<void> => {
    for (;;) await client.query('SELECT 1');
  };
  queryRepeatedly().catch(() => undefined);
}
