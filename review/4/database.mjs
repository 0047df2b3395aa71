/**
 * A stand-in service of three databases that speak the wire protocol of the
 * users' pages. Each has slots, a log and replication; a commit is acknowledged
 * once one replica has received it.
 */
import {createServer} from 'node:net';

const LAG_MS = 8;
const WORK_MS = 5;
const CONNECT_MS = 12;
const PROMOTE_MS = 300;
const SLOTS = 2;
const MAX_CONNECTIONS = 16;

const sleep = ms => new Promise(done => setTimeout(done, ms));

export class Database {
  log = [];
  /** Commits that wait for a replica, in log order. */
  waiting = [];
  isPrimary = false;
  pausedAtTerm = 0;
  /** Cut off from the fronts: nothing arrives and nothing gets out. */
  isDark = false;
  usedSlots = 0;
  slotQueue = [];
  sockets = new Set();
  port = 0;

  constructor(group, id, zone) {
    Object.assign(this, {group, id, zone});
  }

  async start() {
    this.server = createServer(socket => new Connection(this, socket));
    await new Promise(done => this.server.listen(0, '127.0.0.1', done));
    this.port = this.server.address().port;
  }

  get position() {
    const last = this.log.at(-1);
    return last ? `${last.term}.${last.offset}` : `${this.group.term}.0`;
  }

  registrationEntry() {
    return {
      service: this.group.service,
      addr: `127.0.0.1:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: SLOTS,
      state: 'ready',
      cold_left_ms: 0,
      db_role: this.isPrimary ? 'primary' : 'replica',
      seq: 1,
      born: 1,
    };
  }

  /** Holds a slot for a while. */
  async useSlot(ms) {
    if (this.usedSlots >= SLOTS)
      await new Promise(done => this.slotQueue.push(done));
    else this.usedSlots++;
    await sleep(ms);
    const next = this.slotQueue.shift();
    if (next) next();
    else this.usedSlots--;
  }

  /** Appends writes; resolves once a replica has them, to false if none will. */
  commit(writes) {
    for (const {item, data} of writes) {
      const {term} = this.group;
      this.log.push({term, offset: this.log.length + 1, item, data});
    }
    return new Promise(acknowledge =>
      this.waiting.push({length: this.log.length, acknowledge}),
    );
  }
}

class Connection {
  text = '';
  steps = Promise.resolve();
  values = new Map();
  prepared = new Map();
  transaction = undefined;
  hasFailed = false;

  constructor(database, socket) {
    this.database = database;
    this.socket = socket;
    database.sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('close', () => database.sockets.delete(socket));
    socket.on('data', chunk => {
      if (database.isDark) return;
      const lines = (this.text + chunk.toString('latin1')).split('\r\n');
      this.text = lines.pop();
      for (const line of lines)
        this.steps = this.steps.then(() => this.handle(line));
    });
  }

  send(...lines) {
    if (this.database.isDark || this.socket.destroyed) return;
    this.socket.write(lines.map(line => `${line}\r\n`).join(''), 'latin1');
  }

  ready() {
    const state = this.hasFailed ? 'E' : this.transaction ? 'T' : 'I';
    return `READY ${state} ${this.database.position}`;
  }

  done(signature = '-', rows = []) {
    this.send(...rows.map(row => `ROW ${row}`), `DONE ${signature}`, this.ready());
  }

  fail(code) {
    if (this.transaction) this.hasFailed = true;
    this.send(`ERROR ${code} ${this.database.id}`, this.ready());
  }

  async handle(line) {
    const {database} = this;
    const [word, first, ...tail] = line.split(' ');
    if (word === 'START') {
      const [, expected] = tail;
      if (first !== database.group.service || (expected ?? database.id) !== database.id)
        return this.end(`ERROR MISROUTED ${database.id}`);
      if (database.sockets.size > MAX_CONNECTIONS)
        return this.end(`ERROR TOOMANY ${database.id}`);
      await database.useSlot(CONNECT_MS);
      return this.send(this.ready());
    }
    if (word === 'QUERY') return this.query(first, tail.join(' '));
    this.socket.end();
  }

  end(line) {
    this.send(line);
    this.socket.end();
  }

  async query(id, full) {
    const {database} = this;
    const {group} = database;
    let text = full;
    if (text.startsWith('AFTER ')) {
      const [, position, ...rest] = text.split(' ');
      text = rest.join(' ');
      const [term, offset] = position.split('.').map(Number);
      const [ownTerm, ownOffset] = database.position.split('.').map(Number);
      if (ownTerm < term || (ownTerm === term && ownOffset < offset))
        return this.fail('LAGGING');
    }
    const [word, ...args] = text.split(' ');
    switch (word) {
      case 'STATUS':
      case 'PAUSE':
      case 'RESUME':
      case 'STEPDOWN':
        return this.control(word, Number(args[0]));
      case 'RESET':
        this.values.clear();
        this.prepared.clear();
        return this.done();
      case 'SET':
        this.values.set(args[0], args[1]);
        return this.done();
      case 'PREPARE':
        this.prepared.set(args[0], args[1]);
        return this.done();
      case 'BEGIN':
        if (args[0] !== 'READ' && !database.isPrimary) return this.fail('READONLY');
        this.transaction = {isPlain: args[0] !== 'READ', writes: []};
        return this.done();
      case 'ROLLBACK':
        this.transaction = undefined;
        this.hasFailed = false;
        return this.done();
    }
    if (this.hasFailed) return this.fail('MALFORMED');
    const access = word === 'EXECUTE' ? this.prepared.get(args[0]) : word;
    const rest = word === 'EXECUTE' ? args.slice(1) : args;
    const needsPrimary = access === 'WRITE' || this.transaction?.isPlain;
    if (needsPrimary && !database.isPrimary) return this.fail('READONLY');
    await database.useSlot(WORK_MS);
    if (needsPrimary && !database.isPrimary) return this.fail('READONLY');
    group.record({ran: text, id, at: database.id});
    const signature = `s.${database.id}.${id}`;
    if (access === 'READ') {
      const row = database.log.findLast(({item}) => item === rest[0])?.data ?? '-';
      return this.done(signature, [row]);
    }
    if (access === 'WRITE' && this.transaction) {
      this.transaction.writes.push({item: rest[0], data: rest[1]});
      return this.done(signature);
    }
    const writes =
      access === 'COMMIT'
        ? (this.transaction?.writes ?? [])
        : [{item: rest[0], data: rest[1]}];
    this.transaction = undefined;
    if (writes.length > 0 && !(await database.commit(writes)))
      return this.socket.destroy();
    this.done(signature);
  }

  control(word, term) {
    const {database} = this;
    const {group} = database;
    if (word === 'PAUSE' && !database.isPrimary && term > group.term)
      database.pausedAtTerm = Math.max(database.pausedAtTerm, term);
    if (word === 'RESUME') database.pausedAtTerm = 0;
    if (word === 'STEPDOWN' && term > group.term) database.isPrimary = false;
    if (word !== 'STATUS') group.record({order: `${word} ${term || ''}`, at: database.id});
    const role = database.isPrimary ? 'primary' : 'replica';
    const {position, pausedAtTerm, usedSlots, sockets} = database;
    this.done('-', [
      `${role} ${group.term} ${position} ${pausedAtTerm} 0 ${usedSlots} ${sockets.size}`,
    ]);
  }
}

/** The three databases; replicates and promotes. */
export class Group {
  term = 1;
  databases = [];
  onRoleChange = () => undefined;

  constructor(service, record) {
    Object.assign(this, {service, record});
  }

  async start(zones) {
    for (const [index, zone] of zones.entries()) {
      const database = new Database(this, `i-${this.service}-${index}`, zone);
      database.isPrimary = index === 0;
      this.databases.push(database);
      await database.start();
    }
    this.timer = setInterval(() => this.replicate(), LAG_MS);
  }

  get primary() {
    return this.databases.find(({isPrimary}) => isPrimary);
  }

  replicate() {
    const {primary} = this;
    if (!primary) return;
    let received = 0;
    for (const database of this.databases) {
      if (database === primary || database.pausedAtTerm > 0) continue;
      database.log.push(...primary.log.slice(database.log.length));
      received = Math.max(received, database.log.length);
    }
    while (primary.waiting[0]?.length <= received)
      primary.waiting.shift().acknowledge(true);
  }

  /** Promotes a database; false if there is none of that id. */
  promote(id) {
    const target = this.databases.find(database => database.id === id);
    if (!target) return false;
    if (target.isPrimary) return true;
    setTimeout(() => {
      this.term++;
      for (const database of this.databases) {
        database.isPrimary = database === target;
        database.pausedAtTerm = 0;
        database.log.splice(target.log.length);
        for (const {acknowledge} of database.waiting.splice(0)) acknowledge(false);
      }
      this.record({promoted: id, term: this.term});
      this.onRoleChange();
    }, PROMOTE_MS);
    return true;
  }

  stop() {
    clearInterval(this.timer);
    for (const {server, sockets} of this.databases) {
      for (const socket of sockets) socket.destroy();
      server.close();
    }
  }
}
