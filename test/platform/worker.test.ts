/** Tests how a worker fails the work for a database that does not answer. */
import {createServer, Server, Socket} from 'node:net';
import {createInterface} from 'node:readline';
import test from 'ava';
import {databaseCodec} from '../../platform/wire.js';
import {putEntry} from '../../src/core/directory.js';
import {createIdSource} from '../../src/core/process_ids.js';
import {Access, ExecutionMode, Reply, Work} from '../../src/core/work.js';
import {DatabaseWorker} from '../../src/front/database_worker.js';
import {freePort, until} from './fleet_fixture.js';
import {sleep} from './lane_fixture.js';

/** Starts a server that accepts connections and never answers. */
async function startSilentDatabase(): Promise<{
  port: number;
  close: () => void;
}> {
  const sockets: Socket[] = [];
  const server: Server = createServer(socket => sockets.push(socket));
  const port = await freePort();
  await new Promise<void>(done => server.listen(port, '127.0.0.1', done));
  const close = (): void => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  };
  return {port, close};
}

/**
 * Starts a database that answers each line by `answer`; `lines` are the lines
 * that it received, with the number of their connection.
 */
async function startScriptedDatabase(
  answer: (line: string) => string,
): Promise<{port: number; lines: string[]; close: () => void}> {
  const lines: string[] = [];
  const sockets: Socket[] = [];
  const server = createServer(socket => {
    const connection = sockets.push(socket);
    const reader = createInterface(socket);
    // A worker may close a connection with an answer that it has not read; the
    // reader emits the error of the socket again.
    socket.on('error', () => undefined);
    reader.on('error', () => undefined);
    reader.on('line', line => {
      lines.push(`${connection} ${line}`);
      socket.write(answer(line));
    });
  });
  const port = await freePort();
  await new Promise<void>(done => server.listen(port, '127.0.0.1', done));
  const close = (): void => {
    sockets.forEach(socket => socket.destroy());
    server.close();
  };
  return {port, lines, close};
}

const ORIGIN = {vm: 'f', process: 'p', connection: ''};

const readWork = (n: number): Work => ({
  key: `k${n}`,
  service: 's',
  database: 'd',
  customer: `c${n % 3}`,
  requestId: `r${n}`,
  text: 'READ a',
  access: Access.read,
  mode: ExecutionMode.single,
  session: {values: [], prepared: undefined},
  after: undefined,
  priority: 1,
  budgetMs: 1_500,
});

const startWorker = (
  port: number,
  isHolder: boolean,
  canCommit: () => boolean = () => true,
): DatabaseWorker => {
  const entry = {
    id: 'd',
    service: 's',
    host: '127.0.0.1',
    port,
    zone: 'z',
    slots: 2,
    leaving: false,
    remainingWarmUpMs: 0,
    isLeader: true,
    startedAtUnixMs: 1,
    sequence: 1,
  };
  const place = {zone: 'z', region: 'r'};
  const known = putEntry(new Map(), entry, place, 1).get('d');
  return DatabaseWorker.create({
    entry: known!,
    codec: databaseCodec,
    log: () => undefined,
    newId: createIdSource('p'),
    connectionLimit: () => 4,
    isHolder: () => isHolder,
    isNear: true,
    canServeAsPrimary: () => true,
    canCommit,
    laneIdleMs: () => 1_000,
  });
};

interface Timed {
  readonly reply: Reply;
  readonly tookMs: number;
}

async function timed(run: Promise<Reply>): Promise<Timed> {
  const startedMs = performance.now();
  const reply = await run;
  return {reply, tookMs: performance.now() - startedMs};
}

test('a front that is not the holder fails work soon, later work at once', async t => {
  const database = await startSilentDatabase();
  const worker = startWorker(database.port, false);
  t.teardown(() => {
    worker.close();
    database.close();
  });
  const first = await Promise.all(
    Array.from({length: 12}, (_, n) => timed(worker.run(readWork(n), ORIGIN))),
  );
  t.true(first.every(({reply}) => !reply.ok));
  t.true(
    first.every(({tookMs}) => tookMs < 600),
    `${Math.max(...first.map(({tookMs}) => tookMs))} ms`,
  );
  const next = await timed(worker.run(readWork(99), ORIGIN));
  t.true(!next.reply.ok && next.tookMs < 50);
});

test('the holder detects a silent database while its first connection opens', async t => {
  const database = await startSilentDatabase();
  const worker = startWorker(database.port, true);
  t.teardown(() => {
    worker.close();
    database.close();
  });
  const replies = await Promise.all(
    Array.from({length: 12}, (_, n) => timed(worker.run(readWork(n), ORIGIN))),
  );
  t.true(
    replies.every(({reply, tookMs}) => !reply.ok && tookMs < 1_200),
    `${Math.max(...replies.map(({tookMs}) => tookMs))} ms`,
  );
});

// A connection whose transaction could not be ended went back to the pool, and
// the next statement on it ran inside the transaction of another caller.
test('a connection on which a ROLLBACK failed runs no other statement in that transaction', async t => {
  let rollbacks = 0;
  const database = await startScriptedDatabase(line => {
    const done = 'DONE sig\r\n';
    if (line.startsWith('START')) return 'READY I 1.1\r\n';
    if (line.endsWith('ROLLBACK') && ++rollbacks === 1) {
      return 'ERROR READONLY d\r\nREADY E 1.1\r\n';
    }
    const isOpen = line.endsWith('BEGIN') || line.includes('READ a');
    return `${done}READY ${isOpen ? 'T' : 'I'} 1.1\r\n`;
  });
  const worker = startWorker(database.port, true);
  t.teardown(() => {
    worker.close();
    database.close();
  });
  const fenced = {...readWork(0), mode: ExecutionMode.fenced};
  t.true((await worker.run(fenced, ORIGIN)).ok);
  const next = {...readWork(3), text: 'READ b'};
  t.true((await worker.run(next, ORIGIN)).ok);
  const {lines} = database;
  const failedAt = lines.findIndex(line => line.endsWith('ROLLBACK'));
  const nextAt = lines.findIndex(line => line.endsWith('READ b'));
  const connection = lines[nextAt].split(' ')[0];
  const isEnded = lines
    .slice(failedAt + 1, nextAt)
    .some(line => line === `${connection} QUERY - ROLLBACK`);
  t.true(connection !== '1' || isEnded, lines.join('; '));
});

// A worker whose database was unlisted opened connections for work that it had
// refused already, and nothing closed them.
test('a closed worker opens no connection for the work that it has refused', async t => {
  const database = await startScriptedDatabase(line =>
    line.startsWith('START') ? 'READY I 1.1\r\n' : '',
  );
  const worker = startWorker(database.port, true);
  t.teardown(() => {
    worker.close();
    database.close();
  });
  const replies = Promise.all(
    Array.from({length: 12}, (_, n) => worker.run(readWork(n), ORIGIN)),
  );
  const starts = (): number =>
    database.lines.filter(line => line.includes(' START ')).length;
  await until(() => starts() === 3);
  worker.close();
  t.true((await replies).every(reply => !reply.ok));
  await sleep(300);
  t.is(starts(), 3);
});

// A second statement in a lane was sent behind the one that was still running,
// so that it ran outside its transaction if that was a COMMIT.
test('a statement is not sent in a lane whose last one has no answer', async t => {
  const database = await startScriptedDatabase(line => {
    if (line.startsWith('START')) return 'READY I 1.1\r\n';
    return line.endsWith('COMMIT') ? '' : 'DONE sig\r\nREADY T 1.1\r\n';
  });
  const worker = startWorker(database.port, true);
  t.teardown(() => {
    worker.close();
    database.close();
  });
  const transaction = 'p.9';
  const opening = {...readWork(0), mode: ExecutionMode.open, transaction};
  const {lane} = await worker.run(opening, ORIGIN);
  const inLane = {...opening, mode: ExecutionMode.lane, lane};
  const commit = worker.run(
    {...inLane, key: 'k1', text: 'COMMIT', access: Access.commit},
    ORIGIN,
  );
  const read = worker.run({...inLane, key: 'k2', text: 'READ b'}, ORIGIN);
  t.like(await read, {ok: false, fault: 'aborted'});
  t.like(await commit, {ok: false, fault: 'lost'});
  await sleep(100);
  t.false(database.lines.some(line => line.endsWith('READ b')));
});

/** A database that answers each statement, COMMIT only when told to. */
async function startCommittingDatabase() {
  let isCommitting = false;
  const database = await startScriptedDatabase(line => {
    const [word, id] = line.split(' ');
    if (word === 'START') return 'READY I 1.1\r\n';
    if (line.includes('COMMIT')) isCommitting = true;
    return `DONE sig.${id}\r\nREADY ${line.includes('COMMIT') ? 'I' : 'T'} 1.1\r\n`;
  });
  return {...database, hasCommitted: () => isCommitting};
}

/** Runs a transaction of one statement; returns the reply to its COMMIT. */
async function runTransaction(
  worker: DatabaseWorker,
  first: Partial<Work>,
  beforeCommit: () => void,
): Promise<Reply> {
  const opened = await worker.run({...readWork(1), ...first}, ORIGIN);
  beforeCommit();
  const commit = {
    ...readWork(2),
    text: 'COMMIT',
    access: Access.commit,
    mode: ExecutionMode.lane,
    lane: opened.lane,
    customer: 'c1',
  };
  return worker.run(commit, ORIGIN);
}

// Guards against acknowledged commits that the next primary lacks: the answer of
// the former one arrives after a database may have been chosen without them.
test('a write that is answered after commits were stopped is not acknowledged', async t => {
  let canCommit = true;
  const database = await startScriptedDatabase(line => {
    if (line.startsWith('START')) return 'READY I 1.1\r\n';
    canCommit = false;
    return 'DONE sig\r\nREADY I 1.2\r\n';
  });
  const worker = startWorker(database.port, true, () => canCommit);
  t.teardown(() => {
    worker.close();
    database.close();
  });
  const write = {...readWork(1), text: 'WRITE a b', access: Access.write};
  const reply = await worker.run(write, ORIGIN);
  t.like(reply, {ok: false, fault: 'lost'});
  const refused = await worker.run({...write, key: 'k2'}, ORIGIN);
  t.like(refused, {ok: false, fault: 'unreachable', isPrimaryChanging: true});
});

// Guards against reads that fail beside a change of primary: a transaction that
// has written nothing needs no permission to commit.
test('transactions without writes commit while commits are stopped', async t => {
  let canCommit = true;
  const database = await startCommittingDatabase();
  const worker = startWorker(database.port, true, () => canCommit);
  t.teardown(() => {
    worker.close();
    database.close();
  });
  const stop = (): void => void (canCommit = false);
  for (const mode of [ExecutionMode.open, ExecutionMode.openRead]) {
    canCommit = true;
    const reply = await runTransaction(worker, {mode}, stop);
    t.true(reply.ok, mode);
  }
  canCommit = true;
  const written = {
    mode: ExecutionMode.open,
    text: 'WRITE a b',
    access: Access.write,
  };
  const reply = await runTransaction(worker, written, stop);
  t.like(reply, {ok: false, fault: 'aborted'});
});
