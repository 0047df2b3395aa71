/**
 * One caller's session: answers what needs no database by itself, and brings
 * reads, writes and commits to one. Statements run one after the other.
 */
import {Socket} from 'node:net';
import {ErrorKind} from '../core/errors.js';
import {
  admit,
  ANONYMOUS,
  FrontConfig,
  RouteConfig,
} from '../core/front_config.js';
import {laterPosition} from '../core/position_samples.js';
import {Position} from '../core/position.js';
import {
  deallocate,
  EMPTY_SESSION,
  prepare,
  SessionState,
  setValue,
  requiredStateFor,
} from '../core/session_state.js';
import {
  Access,
  Fault,
  TransactionState,
  PreparedStatement,
  provesNotRun,
  Reply,
  Work,
} from '../core/work.js';
import {JsonLog} from './json_log.js';
import {Router} from './router.js';
import {
  CallerAnswer,
  CallerCodec,
  CallerMessage,
  WIRE_ENCODING,
} from './wire_types.js';

/** What a session needs of its front. */
export interface SessionHost {
  readonly codec: CallerCodec;
  readonly router: Router;
  readonly log: JsonLog;
  /** The configuration in force; undefined before the first. */
  readonly config: () => FrontConfig | undefined;
  /** Whether the configuration is recent enough to trust a key. */
  readonly isFresh: () => boolean;
  /** Takes one operation from a customer's rate. */
  readonly admitRate: (customer: string) => boolean | Promise<boolean>;
  /** Rolls back a transaction whose caller is gone. */
  readonly endLane: (database: string, lane: string) => void;
  readonly cancel: (work: Work) => void;
  readonly isStopping: () => boolean;
  readonly onEnded: (session: CallerSession) => void;
  readonly onAnswered: (kind: string, tookMs: number) => void;
}

interface Transaction {
  readonly readOnly: boolean;
  readonly route: RouteConfig;
  readonly sinceMs: number;
  database: string;
  lane: string | undefined;
  wrote: boolean;
  /** Whether it was opened where only a leader opens one. */
  plain: boolean;
}

type Query = Extract<CallerMessage, {kind: 'query'}>;

/** Time left for the answer's way back. */
const RETURN_MS = 12;
/** Pause that a caller is asked to keep after a refusal without an estimate. */
const RETRY_AFTER_MS = 250;
const RATE_RETRY_AFTER_MS = 1_000;
const MAX_QUEUED_MESSAGES = 64;

/** A connected caller. */
export class CallerSession {
  private readonly decoder;
  private started = false;
  private database = '';
  private key = '';
  private state: SessionState = EMPTY_SESSION;
  private transaction: Transaction | undefined;
  private failed = false;
  private position: Position | undefined;
  private ownCommit: Position | undefined;
  private readonly waiting: Array<{message: CallerMessage; atMs: number}> = [];
  private busy = false;
  private gone = false;
  private sentWork: Work | undefined;
  private idleTimer: NodeJS.Timeout | undefined;
  private out = '';

  private constructor(
    private readonly socket: Socket,
    private readonly host: SessionHost,
  ) {
    this.decoder = host.codec.createDecoder();
    socket.setNoDelay(true);
    socket.on('data', chunk => this.receive(chunk));
    socket.on('error', () => this.leave());
    socket.on('close', () => this.leave());
    socket.on('end', () => socket.end());
  }

  static create(socket: Socket, host: SessionHost): CallerSession {
    return new CallerSession(socket, host);
  }

  /** Whether closing now would cut nothing. */
  get isIdle(): boolean {
    return (
      !this.busy &&
      this.waiting.length === 0 &&
      !this.transaction &&
      !this.failed
    );
  }

  /**
   * Closes the session when nothing is under way. Both directions close: a
   * statement that is on its way must not be read, as it could not be answered.
   */
  closeIfIdle(): void {
    if (!this.isIdle || this.gone) return;
    this.socket.destroy();
    this.leave();
  }

  /** Ends an open transaction that rests, as at the end of a shutdown. */
  abortTransaction(reason: string): void {
    if (!this.transaction || this.busy) return;
    this.host.log('transaction_ended', {database: this.database, reason});
    this.dropTransaction();
    this.failed = true;
  }

  private receive(chunk: Buffer): void {
    const atMs = performance.now();
    for (const message of this.decoder.push(chunk)) {
      this.waiting.push({message, atMs});
    }
    if (this.waiting.length > MAX_QUEUED_MESSAGES) this.socket.pause();
    if (!this.busy) void this.work();
  }

  private async work(): Promise<void> {
    this.busy = true;
    for (;;) {
      const next = this.waiting.shift();
      if (!next || this.gone) break;
      clearTimeout(this.idleTimer);
      try {
        await this.handle(next.message, next.atMs);
      } catch (error) {
        this.host.log('session_error', {text: (error as Error).stack});
        this.socket.destroy();
      }
      this.flush();
    }
    this.busy = false;
    if (this.socket.isPaused()) this.socket.resume();
    if (this.host.isStopping()) this.closeIfIdle();
    else if (this.transaction) this.armIdle();
  }

  private armIdle(): void {
    const idleMs = this.host.config()?.idleTransactionMs ?? 0;
    this.idleTimer = setTimeout(
      () => this.abortTransaction('idle for too long'),
      idleMs,
    );
  }

  private async handle(message: CallerMessage, atMs: number): Promise<void> {
    if (!this.started) return this.start(message);
    switch (message.kind) {
      case 'query':
        return this.query(message, atMs);
      case 'bye':
        this.socket.end();
        return this.leave();
      case 'too_large':
        this.fail('request_too_large', 'message is too long');
        return this.end();
      default:
        this.fail('protocol_violation', 'message is not understood');
        return this.end();
    }
  }

  private start(message: CallerMessage): void {
    if (message.kind !== 'start') {
      this.push({kind: 'error', error: 'protocol_violation', text: 'no start'});
      return this.end();
    }
    const config = this.host.config();
    if (!config || this.host.isStopping()) {
      const text = this.retryText(RETRY_AFTER_MS);
      this.push({kind: 'error', error: 'not_ready', text});
      return this.end();
    }
    const admission = admit(config, message.database, message.key);
    if (admission.kind !== 'admitted') {
      const error = this.host.isFresh()
        ? admission.kind
        : 'stale_configuration';
      this.host.log('login_refused', {
        database: message.database,
        error,
        version: config.version,
      });
      this.push({kind: 'error', error, text: message.database});
      return this.end();
    }
    this.started = true;
    this.database = message.database;
    this.key = message.key;
    this.ready();
  }

  private async query(query: Query, atMs: number): Promise<void> {
    const {statement} = query;
    if (
      this.failed &&
      statement.kind !== 'rollback' &&
      statement.kind !== 'commit'
    ) {
      return this.fail('transaction_failed', 'transaction has failed');
    }
    switch (statement.kind) {
      case 'set':
        this.state = setValue(this.state, statement.name, statement.value);
        return this.done();
      case 'prepare':
        this.state = prepare(this.state, statement.prepared);
        return this.done();
      case 'deallocate':
        this.state = deallocate(this.state, statement.name);
        return this.done();
      case 'begin':
        return this.begin(statement.readOnly, atMs);
      case 'rollback':
        this.dropTransaction();
        this.failed = false;
        return this.done();
      case 'commit':
        return this.commit(query, atMs);
      case 'malformed':
        return this.fail('protocol_violation', 'statement is not understood');
      case 'read':
      case 'write':
        return this.run(query, statement.kind, undefined, atMs);
      case 'execute': {
        const prepared = this.state.prepared.get(statement.name);
        if (!prepared) {
          return this.fail('protocol_violation', 'no such prepared statement');
        }
        return this.run(query, prepared.access, prepared, atMs);
      }
    }
  }

  private begin(readOnly: boolean, atMs: number): void {
    if (this.transaction) {
      return this.fail('protocol_violation', 'a transaction is open');
    }
    const route = this.host.config()?.routes.get(this.database);
    if (!route) return this.fail('service_unknown', this.database);
    this.transaction = {
      readOnly,
      route,
      sinceMs: atMs,
      database: '',
      lane: undefined,
      wrote: false,
      plain: false,
    };
    this.done();
  }

  private async commit(query: Query, atMs: number): Promise<void> {
    if (this.failed) {
      this.failed = false;
      this.dropTransaction();
      return this.fail('transaction_lost', 'rolled back');
    }
    if (!this.transaction) {
      return this.fail('protocol_violation', 'no transaction is open');
    }
    return this.run(query, Access.commit, undefined, atMs);
  }

  private async run(
    query: Query,
    access: Access,
    prepared: PreparedStatement | undefined,
    atMs: number,
  ): Promise<void> {
    const config = this.host.config();
    const route = this.transaction?.route ?? config?.routes.get(this.database);
    const refusal = this.refusal(config, route);
    if (refusal || !route || !config) {
      this.host.log('request_refused', {
        request: query.id,
        database: this.database,
        error: refusal,
        version: config?.version,
        fresh: this.host.isFresh(),
      });
      return this.fail(refusal ?? 'not_ready', this.retryText(RETRY_AFTER_MS));
    }
    const customer = this.customerOf(config);
    const {transaction} = this;
    const first = transaction?.lane === undefined;
    if (first && !(await this.isWithinRate(customer))) {
      this.host.log('rate_refused', {request: query.id, customer});
      return this.fail('rate_exceeded', this.retryText(RATE_RETRY_AFTER_MS));
    }
    if (this.gone) return;
    // Waiting for the rate may have taken long enough to outlive the proof.
    if (first && !this.host.isFresh()) {
      return this.fail('stale_configuration', this.retryText(RETRY_AFTER_MS));
    }
    const deadlineMs = atMs + route.timeoutMs - RETURN_MS;
    const reply = first
      ? await this.runFirst(
          query,
          access,
          prepared,
          route,
          customer,
          atMs,
          deadlineMs,
        )
      : await this.runNext(query, access, prepared, customer, deadlineMs);
    this.sentWork = undefined;
    if (this.gone) {
      if (reply.lane !== undefined) {
        this.host.endLane(this.transaction?.database ?? '', reply.lane);
      }
      return;
    }
    this.host.onAnswered(
      reply.ok ? 'ok' : reply.fault,
      performance.now() - atMs,
    );
    this.settle(reply, access);
  }

  /** Why no statement may run now, checked before each one. */
  private refusal(
    config: FrontConfig | undefined,
    route: RouteConfig | undefined,
  ): ErrorKind | undefined {
    if (!config) return 'not_ready';
    if (!route) return 'service_unknown';
    if (!route.open) {
      if (!this.host.isFresh()) return 'stale_configuration';
      if (!config.customerOfKey.has(this.key)) return 'key_withdrawn';
    }
    return undefined;
  }

  private customerOf(config: FrontConfig): string {
    return config.customerOfKey.get(this.key) ?? ANONYMOUS;
  }

  private isWithinRate(customer: string): boolean | Promise<boolean> {
    return customer === ANONYMOUS || this.host.admitRate(customer);
  }

  private async runFirst(
    query: Query,
    access: Access,
    prepared: PreparedStatement | undefined,
    route: RouteConfig,
    customer: string,
    atMs: number,
    deadlineMs: number,
  ): Promise<Reply> {
    const {transaction} = this;
    const opens = !transaction
      ? 'no'
      : transaction.readOnly && access === Access.read
        ? 'read'
        : 'plain';
    const {reply, database} = await this.host.router.run({
      route,
      customer,
      requestId: query.id,
      text: query.text,
      access,
      opens,
      session: requiredStateFor(this.state, prepared),
      freshAsOfMs: transaction?.sinceMs ?? atMs,
      deadlineMs,
      ownCommit: this.ownCommit,
      onSent: work => (this.sentWork = work),
      hasCallerLeft: () => this.gone,
    });
    if (transaction) {
      transaction.database = database;
      transaction.plain = opens === 'plain';
    }
    return reply;
  }

  private runNext(
    query: Query,
    access: Access,
    prepared: PreparedStatement | undefined,
    customer: string,
    deadlineMs: number,
  ): Promise<Reply> {
    const {transaction} = this;
    if (!transaction) throw new Error('no transaction');
    const {route, database, lane, plain, wrote} = transaction;
    const proves = plain && (access !== Access.commit || wrote);
    return this.host.router.runInLane(
      {
        service: route.service,
        database,
        customer,
        requestId: query.id,
        text: query.text,
        access,
        lane,
        session: requiredStateFor(this.state, prepared),
        priority: route.priority,
        budgetMs: Math.max(1, Math.floor(deadlineMs - performance.now())),
      },
      proves,
    );
  }

  /** Takes in a reply and answers the caller. */
  private settle(reply: Reply, access: Access): void {
    const {transaction} = this;
    if (reply.position) this.position = reply.position;
    if (reply.ok) {
      if (transaction) {
        transaction.lane = reply.lane ?? transaction.lane;
        if (access === Access.write) transaction.wrote = true;
      }
      const commits =
        access === Access.commit || (access === Access.write && !transaction);
      if (commits) {
        this.ownCommit = laterPosition(this.ownCommit, reply.position);
        this.transaction = undefined;
      }
      for (const data of reply.rows) this.push({kind: 'row', data});
      this.push({kind: 'done', signature: reply.signature});
      return this.ready();
    }
    const wrote = transaction?.wrote ?? access === Access.write;
    if (transaction) {
      transaction.lane = reply.lane ?? transaction.lane;
      if (reply.lane === undefined) transaction.lane = undefined;
      this.dropTransaction();
      this.failed = access !== Access.commit;
    }
    this.push(this.faultAnswer(reply, access, wrote));
    this.ready();
  }

  /** The answer for a fault: a promise only where nothing can be kept. */
  private faultAnswer(
    reply: Extract<Reply, {ok: false}>,
    access: Access,
    wrote: boolean,
  ): CallerAnswer {
    const {fault} = reply;
    if (provesNotRun(fault)) {
      const text = this.retryText(reply.retryAfterMs ?? RETRY_AFTER_MS);
      return {kind: 'fault', fault, text};
    }
    if (fault === Fault.lost) {
      if (access === Access.read)
        return {kind: 'error', error: 'timed_out', text: reply.text};
      if (access === Access.commit && !wrote) {
        return {kind: 'fault', fault: Fault.aborted, text: reply.text};
      }
      return {kind: 'error', error: 'outcome_unknown', text: reply.text};
    }
    return {kind: 'fault', fault, text: reply.text};
  }

  private dropTransaction(): void {
    const {transaction} = this;
    this.transaction = undefined;
    if (transaction?.lane === undefined) return;
    this.host.endLane(transaction.database, transaction.lane);
  }

  private retryText(ms: number): string {
    return `retry_after_ms=${Math.round(ms)}`;
  }

  private fail(error: ErrorKind, text: string): void {
    if (this.transaction) {
      this.dropTransaction();
      this.failed = true;
    }
    this.host.onAnswered(error, 0);
    this.push({kind: 'error', error, text});
    this.ready();
  }

  private done(): void {
    this.push({kind: 'done', signature: '-'});
    this.ready();
  }

  private ready(): void {
    const state = this.failed
      ? TransactionState.failed
      : this.transaction
        ? TransactionState.open
        : TransactionState.idle;
    this.push({kind: 'ready', state, position: this.position});
  }

  private push(answer: CallerAnswer): void {
    this.out += this.host.codec.encode(answer);
  }

  private flush(): void {
    const {out} = this;
    this.out = '';
    if (out !== '' && !this.gone) this.socket.write(out, WIRE_ENCODING);
  }

  private end(): void {
    this.flush();
    this.socket.end();
    this.leave();
  }

  private leave(): void {
    if (this.gone) return;
    this.gone = true;
    clearTimeout(this.idleTimer);
    if (this.sentWork) this.host.cancel(this.sentWork);
    if (!this.busy) this.dropTransaction();
    this.host.onEnded(this);
  }
}
