/** How soon a withdrawn key stops callers that are connected. */
import {LocalFleet, waitUntil} from '../src/standin/local_fleet.js';
import {SERVICE} from './fault_cases.js';
import {percentile} from './simulation.js';

/** Times from the confirmation to the refusal, over all callers. */
export interface WithdrawalTimes {
  readonly callers: number;
  readonly p50_ms: number;
  readonly p99_ms: number;
  readonly max_ms: number;
}

const PROXIES = 5;
const CALLERS = 60;
const CUSTOMER = 'villacres';

/** Withdraws a key while callers are idle, querying or in transactions. */
export async function measureWithdrawal(): Promise<WithdrawalTimes> {
  const scene = await LocalFleet.create({
    proxies: PROXIES,
    services: [{service: SERVICE}],
    customers: [{name: CUSTOMER}],
  });
  try {
    let confirmedAtMs = Infinity;
    const stoppedMs: number[] = [];
    for (let i = 0; i < CALLERS; i++) {
      await startCaller(scene, i, () =>
        stoppedMs.push(Math.max(0, Date.now() - confirmedAtMs)),
      );
    }
    const done = scene.applyActions(0, [
      {do: 'withdraw_key', customer: CUSTOMER, id: 'first'},
    ]);
    confirmedAtMs = Date.now();
    await done;
    await waitUntil(() => stoppedMs.length === CALLERS);
    return {
      callers: CALLERS,
      p50_ms: percentile(stoppedMs, 0.5),
      p99_ms: percentile(stoppedMs, 0.99),
      max_ms: Math.max(...stoppedMs),
    };
  } finally {
    await scene.close();
  }
}

/** Half are idle, a third query, a sixth hold a transaction open. */
async function startCaller(
  scene: LocalFleet,
  index: number,
  onStopped: () => void,
): Promise<void> {
  const client = scene.createClient(index % PROXIES, CUSTOMER, SERVICE);
  await client.connect();
  client.once('end', onStopped);
  if (index % 6 === 5) await client.query('BEGIN');
  if (index % 3 !== 1) return;
  const loop = async (): Promise<void> => {
    for (;;) await client.query('SELECT 1');
  };
  loop().catch(() => undefined);
}
