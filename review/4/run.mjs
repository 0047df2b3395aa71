/** Plays the case; see claim.txt. */
import {spawn} from 'node:child_process';
import {mkdtempSync, openSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {createServer as createTcpServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {operate} from './client.mjs';
import {Group} from './database.mjs';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const ZONES = ['norte', 'puerto', 'parque'];
const RATE_PER_S = 38;
const RECOVERY_MS = 12_000;
/** Times after the start of traffic. */
const DARK_AT_MS = 8_000;
const DARK_MS = 2_500;
const PLATFORM_DOWN_AT_MS = 7_500;
const PLATFORM_DOWN_MS = 6_000;
const FINAL_FAULT_AT_MS = 20_000;
const DOWN_MS = 1_000;
const LENGTH_MS = 50_000;

const folder = mkdtempSync(join(tmpdir(), 'review-'));
const lines = [];
const startedMs = performance.now();
const record = entry =>
  lines.push(`${((performance.now() - startedMs) / 1_000).toFixed(3)} ${JSON.stringify(entry)}`);
const sleep = ms => new Promise(done => setTimeout(done, ms));
const children = new Set();

function finish(code, text) {
  for (const child of children) child.kill('SIGKILL');
  record({verdict: text});
  writeFileSync(fileURLToPath(new URL('record.txt', import.meta.url)), lines.join('\n') + '\n');
  rmSync(folder, {recursive: true, force: true});
  process.stdout.write(`${text}\n`);
  process.exit(code);
}

async function freePorts(host, count) {
  const servers = [];
  for (let index = 0; index < count; index++) {
    const server = createTcpServer();
    await new Promise((done, fail) => server.once('error', fail).listen(0, host, done));
    servers.push(server);
  }
  const ports = servers.map(server => server.address().port);
  await Promise.all(servers.map(server => new Promise(done => server.close(done))));
  return ports;
}

/** The platform's calls: promotions, with fences. */
class Platform {
  isDown = false;
  highestToken = 0;

  constructor(group) {
    this.group = group;
  }

  async start() {
    this.server = createServer((request, response) => {
      let text = '';
      request.on('data', chunk => (text += chunk));
      request.on('end', () => {
        const {id} = JSON.parse(text);
        const token = Number(request.headers['mustardpass-fence-token']);
        record({promotion: id, token, holder: request.headers['mustardpass-duty-holder'], answered: !this.isDown});
        // Cut off: the call neither arrives nor gets an answer.
        if (this.isDown) return;
        const isValid = token >= this.highestToken;
        if (isValid) this.highestToken = token;
        response.statusCode = isValid && this.group.promote(id) ? 200 : 409;
        response.end('{}');
      });
    });
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    this.port = this.server.address().port;
  }
}

const route = {
  name: 'r-primary', host: 'primary', prefix: '/', kind: 'primary', timeout_ms: 800,
  slo_ms: 600, priority: 1, service: 'orders', max_attempts: 2, max_staleness_ms: 0, public: false,
};
const configuration = {
  version: 1,
  routes: [route],
  services: [{name: 'orders', max_conns: 16, sync_replicas: 1}],
  limits: {tx_idle_ms: 3_000},
  tenants: [{name: 'ana', api_keys: ['ana-key'], priority: 1, rate_per_s: 1_000, burst: 1_000}],
};

class Front {
  starts = 0;

  constructor(name, zone, host, ports, storePort, platformPort) {
    const [port, ready, peers] = ports;
    Object.assign(this, {name, host, port, ready});
    this.settings = join(folder, `${name}.yaml`);
    this.content = {
      node_name: name, role: 'front', machine_class: 'front', serves: ['front'], ip: host, zone, region: zone,
      zones: Object.fromEntries(ZONES.map(z => [z, z])),
      listen: {front: `${host}:${port}`, ready_addr: `${host}:${ready}`},
      port_range: [peers, peers],
      beat_interval_ms: 1_200,
      bounds: {revoke_ms: 5_000, grace_s: 6, require_fence: true},
      platform: {addr: `127.0.0.1:${storePort}`, min_ttl_ms: 1_000},
      cloud_api: {addr: `127.0.0.1:${platformPort}`, duties: ['promote']},
    };
  }

  start() {
    const deploy = readFileSync('deploy/system.toml', 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    writeFileSync(this.settings, JSON.stringify({...this.content, bootstrap: this.starts++ === 0}));
    const log = openSync(join(folder, `${this.name}.log`), 'a');
    this.child = spawn(program === 'node' ? process.execPath : program, args, {
      stdio: ['ignore', log, log],
      env: {PATH: process.env.PATH, MUSTARDPASS_NODE_FILE: this.settings},
    });
    children.add(this.child);
  }

  kill() {
    children.delete(this.child);
    this.child.kill('SIGKILL');
  }

  isReady() {
    return fetch(`http://${this.host}:${this.ready}/-/readiness`, {signal: AbortSignal.timeout(500)}).then(
      ({ok}) => ok,
      () => false,
    );
  }
}

/** 35% writes, 25% transactions, the rest reads. */
function textsOf(number) {
  const item = n => `item${(number * 7 + n) % 200}`;
  const kind = (number * 61) % 100;
  if (kind < 26) return [`WRITE ${item(0)} d${number}`];
  if (kind < 51) {
    const isWrite = number % 3 !== 0;
    return ['BEGIN', `READ ${item(1)}`, isWrite ? `WRITE ${item(2)} d${number}` : `READ ${item(2)}`, 'COMMIT'];
  }
  return [`READ ${item(3)}`];
}

async function main() {
  const {StandinStore} = await import('../../target/review/test/platform/standin_store.js');
  const group = new Group('orders', record);
  await group.start(ZONES);
  const store = await StandinStore.start([group]);
  store.put('op/config', configuration);
  const platform = new Platform(group);
  await platform.start();
  const network = 1 + (process.pid % 250);
  const fronts = [];
  for (const [index, zone] of ZONES.entries()) {
    const host = `127.${network}.2.${index + 1}`;
    const ports = await freePorts(host, 3);
    fronts.push(new Front(`front-${zone}-1`, zone, host, ports, store.port, platform.port));
  }
  for (const front of fronts) front.start();
  for (let tries = 0; ; tries++) {
    if ((await Promise.all(fronts.map(front => front.isReady()))).every(Boolean)) break;
    if (tries > 150) return finish(2, 'the fronts did not get ready');
    await sleep(100);
  }
  await sleep(2_000);
  record({traffic: 'begins', trouble: HAS_TROUBLE});
  const trafficMs = performance.now();
  const at = (ms, action) => setTimeout(action, ms);
  if (HAS_TROUBLE) {
    at(PLATFORM_DOWN_AT_MS, () => ((platform.isDown = true), record({platform: 'cut off'})));
    at(PLATFORM_DOWN_AT_MS + PLATFORM_DOWN_MS, () => ((platform.isDown = false), record({platform: 'back'})));
    const first = group.databases[0];
    at(DARK_AT_MS, () => ((first.isDark = true), record({primary: 'dark'})));
    at(DARK_AT_MS + DARK_MS, () => {
      first.isDark = false;
      // What arrived meanwhile is lost.
      for (const socket of first.sockets) socket.destroy();
      record({primary: 'back'});
    });
  }
  at(FINAL_FAULT_AT_MS, () => {
    // One more change, which the store has acknowledged once it is written.
    store.put('op/config', {...configuration, version: 2, limits: {tx_idle_ms: 2_500}});
    record({final_fault: 'all fronts are killed', paused: group.databases.map(d => d.pausedAtTerm)});
    for (const front of fronts) front.kill();
  });
  const backAtMs = FINAL_FAULT_AT_MS + DOWN_MS;
  at(backAtMs, () => {
    for (const front of fronts) front.start();
    record({fronts: 'started again'});
  });
  const count = {before: [0, 0], after: [0, 0]};
  const operations = [];
  for (let number = 0; ; number++) {
    const sentMs = performance.now() - trafficMs;
    if (sentMs > LENGTH_MS) break;
    const span = sentMs < FINAL_FAULT_AT_MS ? 'before' : sentMs > backAtMs + RECOVERY_MS ? 'after' : undefined;
    operations.push(
      operate(fronts, number, textsOf(number), record).then(isServed => {
        if (!span) return;
        count[span][0]++;
        if (isServed) count[span][1]++;
      }),
    );
    await sleep(Math.max(0, ((number + 1) * 1_000) / RATE_PER_S - sentMs));
  }
  await Promise.all(operations);
  const share = ([all, served]) => served / Math.max(1, all);
  const text =
    `before the final fault ${count.before[1]} of ${count.before[0]} requests were served, ` +
    `later than recovery_s after it ${count.after[1]} of ${count.after[0]}; ` +
    `paused replicas: ${group.databases.filter(d => d.pausedAtTerm > 0).length}`;
  if (share(count.before) < 0.25) return finish(2, `not served before: ${text}`);
  const isBroken = share(count.after) < 0.25;
  finish(isBroken ? 1 : 0, `RECOVER ${isBroken ? 'broken' : 'held'}: ${text}`);
}

main().catch(error => finish(2, error.stack));
