/** Callers that read slowly or not at all, or make a front keep too much. */
import {connect, Socket} from 'node:net';
import ava from 'ava';
import {
  MAX_SESSION_BYTES,
  MAX_SESSION_ENTRIES,
} from '../../src/core/session_state.js';
import {
  Fleet,
  openSession,
  operatorConfig,
  startFleet,
  until,
} from './fleet_fixture.js';

// Fleets that share a thread slow each other down.
const test = ava.serial;

const ROW_BYTES = 900_000;
const ROWS = 10;
/** Long answers take a busy machine longer than the usual routes allow. */
const ROUTE_TIMEOUT_MS = 8_000;

/** Starts one front whose routes leave long answers time to arrive. */
function startSlowFleet(): Promise<Fleet> {
  const {routes} = operatorConfig('orders');
  const patient = routes.map(route => ({
    ...route,
    timeout_ms: ROUTE_TIMEOUT_MS,
  }));
  return startFleet(['norte'], {routes: patient});
}

/** Stores an item that the primary returns as `rowCount` long rows. */
function storeItem({group}: Fleet, item: string, rowCount: number): void {
  const row = 'x'.repeat(ROW_BYTES);
  const data = Array.from({length: rowCount}, () => row).join('\r\nROW ');
  const log = group.primary?.log ?? [];
  log.push({term: 1, offset: log.length + 1, item, data, requestId: ''});
}

/** A caller that reads `chunkBytes` at a time, with a pause after each. */
class SlowCaller {
  receivedBytes = 0;
  private isReading = true;
  isEnded = false;
  private tail = '';

  private constructor(
    readonly socket: Socket,
    chunkBytes: number,
    pauseMs: number,
  ) {
    let sincePauseBytes = 0;
    socket.on('error', () => undefined);
    socket.on('close', () => (this.isEnded = true));
    socket.on('data', chunk => {
      this.receivedBytes += chunk.length;
      this.tail = (this.tail + chunk.toString('latin1')).slice(-100);
      sincePauseBytes += chunk.length;
      if (sincePauseBytes < chunkBytes) return;
      sincePauseBytes = 0;
      socket.pause();
      setTimeout(() => this.isReading && socket.resume(), pauseMs).unref();
    });
  }

  /** Reads nothing more until `resume` is called. */
  pause(): void {
    this.isReading = false;
    this.socket.pause();
  }

  resume(): void {
    this.isReading = true;
    this.socket.resume();
  }

  static async start(
    port: number,
    chunkBytes: number,
    pauseMs: number,
  ): Promise<SlowCaller> {
    const socket = connect({host: '127.0.0.1', port});
    const caller = new SlowCaller(socket, chunkBytes, pauseMs);
    caller.send('START primary ana-key');
    await until(() => caller.hasReady);
    return caller;
  }

  /** Sends without waiting for answers; what was received stays counted. */
  sendMore(lines: readonly string[]): void {
    this.socket.write(lines.map(line => `${line}\r\n`).join(''), 'latin1');
  }

  /** Whether the last line that was received is a whole READY. */
  get hasReady(): boolean {
    return /(^|\n)READY [ITE] \S+\r\n$/.test(this.tail);
  }

  send(line: string): void {
    this.receivedBytes = 0;
    this.tail = '';
    this.socket.write(`${line}\r\n`, 'latin1');
  }
}

// Guards against answers that are cut off by a planned stop, since a session
// counted as idle once its answer had been handed to the socket (review/9).
test('a planned stop delivers the answers that are on their way', async t => {
  const fleet = await startSlowFleet();
  t.teardown(() => fleet.stop());
  storeItem(fleet, 'long', ROWS);
  const [{front, settings}] = fleet.fronts;
  const {port} = settings.callerAddress;
  const callers = await Promise.all(
    [1, 2, 3].map(() => SlowCaller.start(port, 262_144, 25)),
  );
  callers.forEach((caller, n) => caller.send(`QUERY q${n} READ long`));
  await until(() => callers.every(({receivedBytes}) => receivedBytes > 0));
  const startedAtMs = performance.now();
  await front.stop();
  const tookMs = performance.now() - startedAtMs;
  await until(() => callers.every(({isEnded}) => isEnded));
  for (const caller of callers) {
    t.true(caller.hasReady);
    t.true(caller.receivedBytes > ROWS * ROW_BYTES);
  }
  t.true(tookMs < settings.shutdownGraceMs, `${tookMs}`);
});

test('a caller that does not read does not keep a front past its grace', async t => {
  const fleet = await startSlowFleet();
  t.teardown(() => fleet.stop());
  storeItem(fleet, 'long', ROWS);
  const [front] = fleet.fronts;
  const {port} = front.settings.callerAddress;
  const caller = await SlowCaller.start(port, ROW_BYTES, 60_000);
  caller.send('QUERY q1 READ long');
  await until(() => caller.receivedBytes > 0);
  const idle = await openSession(front, 'primary', 'bea-key');
  const startedAtMs = performance.now();
  const stopping = front.front.stop();
  await until(() => idle.isEnded, 500);
  await stopping;
  const tookMs = performance.now() - startedAtMs;
  t.true(tookMs < front.settings.shutdownGraceMs, `${tookMs}`);
  caller.socket.destroy();
});

const STATEMENTS = 60;
const LATE_STATEMENTS = 8;

// Guards against a front that ends for lack of memory, as one caller sends
// statements and does not read the answers (review/10).
test('no statement runs for a caller that does not read its answers', async t => {
  const fleet = await startSlowFleet();
  t.teardown(() => fleet.stop());
  const [front] = fleet.fronts;
  storeItem(fleet, 'wide', 1);
  const {port} = front.settings.callerAddress;
  const caller = await SlowCaller.start(port, ROW_BYTES, 0);
  caller.pause();
  const numbers = Array.from({length: STATEMENTS}, (_, n) => n);
  caller.sendMore(numbers.map(n => `QUERY wide-${n} READ wide`));
  const other = await openSession(front, 'primary', 'bea-key');
  for (let n = 0; n < 20; n++) {
    const {done, error} = await other.query('READ item');
    t.truthy(done, error);
    await new Promise(resolve => setTimeout(resolve, 50));
  }
  const ran = (): number =>
    fleet.group.databases
      .flatMap(database => database.executedStatements)
      .filter(({requestId}) => requestId.startsWith('wide-')).length;
  const ranUnread = ran();
  t.true(ranUnread < STATEMENTS / 2, `${ranUnread}`);
  t.is(front.events('caller_not_reading').length, 1);
  caller.socket.destroy();
  await until(() => front.events('caller_has_read').length === 1);
  await new Promise(resolve => setTimeout(resolve, 200));
  t.is(ran(), ranUnread);
});

test('a caller that reads late gets all answers, in order', async t => {
  const fleet = await startSlowFleet();
  t.teardown(() => fleet.stop());
  const [front] = fleet.fronts;
  storeItem(fleet, 'wide', 1);
  const {port} = front.settings.callerAddress;
  const caller = await SlowCaller.start(port, ROW_BYTES, 0);
  caller.pause();
  caller.send('QUERY first READ wide');
  const numbers = Array.from({length: LATE_STATEMENTS}, (_, n) => n);
  caller.sendMore(numbers.map(n => `QUERY late-${n} SET value-${n} v`));
  caller.sendMore(numbers.map(n => `QUERY wide-${n} READ wide`));
  await until(() => front.events('caller_not_reading').length > 0);
  caller.resume();
  const allBytes = (LATE_STATEMENTS + 1) * ROW_BYTES;
  await until(() => caller.receivedBytes > allBytes && caller.hasReady);
  await until(() => front.events('caller_has_read').length > 0);
  t.false(caller.isEnded);
  caller.socket.destroy();
});

test('a caller that does not read keeps no transaction', async t => {
  const fleet = await startSlowFleet();
  t.teardown(() => fleet.stop());
  const [front] = fleet.fronts;
  storeItem(fleet, 'long', ROWS);
  const session = await openSession(front, 'primary', 'ana-key');
  t.is((await session.query('BEGIN')).state, 'T');
  const written = await session.query('WRITE item data');
  t.truthy(written.done, written.error);
  session.socket.pause();
  for (const n of [1, 2, 3]) session.send(`QUERY r${n} READ long`);
  await until(() => front.events('caller_not_reading').length > 0);
  await until(() => front.events('transaction_ended').length > 0, 3_000);
  t.is(front.events('transaction_ended')[0].reason, 'idle for too long');
  session.close();
});

// Guards against a front that ends for lack of memory, as a session keeps ever
// new values or statements.
test('a session keeps values and statements up to its limits', async t => {
  const fleet = await startSlowFleet();
  t.teardown(() => fleet.stop());
  const [front] = fleet.fronts;
  const counted = await openSession(front, 'primary', 'ana-key');
  for (let n = 0; n < MAX_SESSION_ENTRIES; n++) {
    const text = n % 2 === 0 ? `SET v${n} x` : `PREPARE p${n} READ x`;
    t.is((await counted.query(text)).done, '-');
  }
  t.is((await counted.query('SET v0 y')).done, '-');
  t.truthy((await counted.query('READ item')).done);
  const onceMore = await counted.query('SET more x');
  t.regex(onceMore.error ?? '', /^TOOLARGE /);
  t.truthy((await counted.query('READ item')).done);
  const long = await openSession(front, 'primary', 'ana-key');
  const value = 'x'.repeat(MAX_SESSION_BYTES / 4);
  for (const name of ['a', 'b', 'c'])
    t.is((await long.query(`SET ${name} ${value}`)).done, '-');
  const tooLong = await long.query(`PREPARE d READ ${value}`);
  t.regex(tooLong.error ?? '', /^TOOLARGE /);
  t.is((await long.query('SET a x')).done, '-');
  t.is((await long.query(`PREPARE d READ ${value}`)).done, '-');
});
