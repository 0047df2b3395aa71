// UNASKED: a line feed within a client's statement ends the statement at the
// front; the database runs a changed text and a smuggled request.
import {connect} from 'node:net';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  beginRecord,
  configuration,
  finish,
  IS_TROUBLED,
  record,
  standin,
  startFronts,
  sleep,
  until,
  ZONES,
} from '../lib-2/harness.mjs';

beginRecord(dirname(fileURLToPath(import.meta.url)));
const {StandinGroup} = await standin('standin_database');
const {StandinStore} = await standin('standin_store');

const group = await StandinGroup.start('orders', ZONES);
const store = await StandinStore.start([group]);
store.put('op/config', configuration('orders'));
const [front] = await startFronts(3, store.port);

/** What the databases ran for clients. */
const runs = [];
group.onEvent = event => {
  if (event.kind !== 'ran') return;
  runs.push(event);
  record(`${event.connection} runs ${event.requestId} ${JSON.stringify(event.text)}`);
};

/** A client: a message ends with CR LF, and an answer with READY. */
const socket = connect({host: front.host, port: front.port});
let received = '';
let isOver = false;
socket.on('data', chunk => (received += chunk.toString('latin1')));
socket.on('error', () => undefined);
socket.on('close', () => (isOver = true));
const answers = () => received.split('\r\n').filter(l => l.startsWith('READY'));
socket.write('START primary ana-key\r\n');
await until(() => answers().length === 1, 3_000, 'the session is ready');

const feed = IS_TROUBLED ? '\n' : ' ';
const messages = [
  // A note of two lines.
  ['q1', `WRITE proof-7 header in two colours${feed}call before delivery`],
  // The data of a write, which looks like a message of its own.
  ['q2', `WRITE proof-8 see below${feed}QUERY forged WRITE proof-9 cancelled`],
];
for (const [id, text] of messages) {
  if (isOver) {
    record(`the session is closed; ${id} goes on a new one`);
    break;
  }
  const before = received.length;
  record(`the client sends QUERY ${id} ${JSON.stringify(text)} CR LF`);
  socket.write(`QUERY ${id} ${text}\r\n`);
  await sleep(600);
  record(`the client receives ${JSON.stringify(received.slice(before))}`);
}
if (isOver) {
  const [id, text] = messages[1];
  const next = connect({host: front.host, port: front.port});
  let got = '';
  next.on('data', chunk => (got += chunk.toString('latin1')));
  next.on('error', () => undefined);
  next.write('START primary ana-key\r\n');
  await until(() => got.includes('READY'), 3_000, 'the session is ready');
  got = '';
  record(`the client sends QUERY ${id} ${JSON.stringify(text)} CR LF`);
  next.write(`QUERY ${id} ${text}\r\n`);
  await sleep(600);
  record(`the client receives ${JSON.stringify(got)}`);
}

const sent = new Map(messages);
const changed = runs.filter(
  ({requestId, text}) => sent.has(requestId) && sent.get(requestId) !== text,
);
const smuggled = runs.filter(({requestId}) => !sent.has(requestId));
for (const {item, data} of group.primary.log)
  record(`log of the primary: ${item} = ${JSON.stringify(data)}`);
if (!IS_TROUBLED && runs.length !== 2) finish(2, 'the statements did not run');
finish(
  changed.length + smuggled.length > 0 ? 1 : 0,
  `${changed.length} statements ran with a changed text, ${smuggled.length} ` +
    'ran that no client sent as a message',
);
