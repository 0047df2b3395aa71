// LOST: the databases of a service are replaced one after the other. A new one
// that starts while a promotion is carried out is not paused; commits that it
// receives count as acknowledged, and the promoted database lacks them.
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  beginRecord,
  configuration,
  finish,
  IS_TROUBLED,
  nowS,
  record,
  sleep,
  standin,
  startFronts,
  until,
  ZONES,
} from '../lib-2/harness.mjs';

/** "1,000 ms a promote" of the deployment. */
const PROMOTE_MS = 1_000;
/** Pause between two steps of the replacement (`gap_s`). */
const GAP_MS = 1_000;
/** From a new database's start until the one that it replaces drains. */
const DRAINS_AFTER_MS = 600;
const CLIENTS = 6;

beginRecord(dirname(fileURLToPath(import.meta.url)));
const {StandinGroup, StandinDatabase} = await standin('standin_database');
const {StandinStore} = await standin('standin_store');
const {WireClient} = await standin('fleet_fixture');

const group = await StandinGroup.start('orders', ZONES);
group.slots = 3;
group.maxConnections = 36;
group.promotionMs = PROMOTE_MS;
const store = await StandinStore.start([group]);
store.put('op/config', configuration('orders'));
const fronts = await startFronts(3, store.port);
group.onEvent = event => {
  if (event.kind === 'ran')
    record(`${event.connection} runs ${event.requestId} ${event.text}`);
};
const {onRoleChange} = group;
group.onRoleChange = () => {
  record(
    `${group.primary?.id} leads term ${group.term}; its log has ` +
      `${group.primary?.log.length} commits`,
  );
  onRoleChange();
};

/** Writes one after the other until told to stop; keeps what was answered. */
const acknowledged = [];
let isOver = false;
async function write(front, index) {
  let count = 0;
  while (!isOver) {
    try {
      const {client, answer} = await WireClient.start(
        front.port,
        'primary',
        'ana-key',
        front.host,
      );
      while (!isOver && answer.state === 'I' && !client.isEnded) {
        const id = `c${index}-${++count}`;
        record(`client ${index} sends ${id}`);
        const result = await client.query(`WRITE ${id} data`, id);
        record(`client ${index} gets ${id}: ${result.done ?? result.error ?? 'no answer'}`);
        if (result.done) acknowledged.push({id, atS: nowS()});
        await sleep(60);
        if (result.error) break;
      }
      client.close();
    } catch (error) {
      record(`client ${index}: ${error.message}`);
    }
    await sleep(60);
  }
}
const writers = Array.from({length: CLIENTS}, (_, i) =>
  write(fronts[i % fronts.length], i + 1),
);
await sleep(4_000);

/** Starts the database that replaces `old`, in the same zone. */
async function startNew(old) {
  const database = new StandinDatabase(group, `${old.id}-new`, old.zone);
  await database.start();
  group.databases.push(database);
  store.registerDatabases();
  record(`${database.id} has started; it receives the log`);
}

const replaced = [...group.databases];
const before = group.primary;
if (IS_TROUBLED) {
  for (const old of replaced.slice(0, 2)) {
    const startedMs = performance.now();
    await startNew(old);
    setTimeout(() => {
      old.isDraining = true;
      store.registerDatabases();
      record(`${old.id} reports that it is draining`);
    }, DRAINS_AFTER_MS);
    await sleep(GAP_MS - (performance.now() - startedMs));
  }
  await until(() => group.primary !== before, 10_000, 'another primary leads');
}
await sleep(3_000);
isOver = true;
await Promise.all(writers);
for (const order of store.promotions.received)
  record(`promotion ordered: ${JSON.stringify(order)}`);
const inLog = new Set(group.primary.log.map(change => change.requestId));
const lost = acknowledged.filter(({id}) => !inLog.has(id));
for (const {id, atS} of lost)
  record(`${id}: success at ${atS.toFixed(3)} s, not in the log of ${group.primary.id}`);
if (acknowledged.length < 20) finish(2, 'too few writes were acknowledged');
finish(
  lost.length > 0 ? 1 : 0,
  `${lost.length} of ${acknowledged.length} acknowledged commits are not in ` +
    'the log of the promoted database',
);
