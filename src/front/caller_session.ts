/**
 * One caller's session. Answers login, session settings, BEGIN and ROLLBACK
 * itself and routes reads, writes and commits to databases. Statements run one
 * at a time, in order of arrival.
 */
import {Socket} from 'node:net';
import {Result} from 'neverthrow';
import {ErrorKind} from '../core/errors.js';
import {
  admit,
  ANONYMOUS,
  FrontConfig,
  RouteConfig,
} from '../core/front_config.js';
import {Homes, homesOf} from '../core/homes.js';
import {laterPosition} from '../core/position_samples.js';
import {Position} from '../core/position.js';
import {
  customerOfKey,
  refusalOf,
  withdrawalOf,
} from '../core/session_rights.js';
import {
  deallocate,
  EMPTY_SESSION,
  isWithinLimits,
  prepare,
  requiredStateFor,
  SessionState,
  setValue,
} from '../core/session_state.js';
import {
  Access,
  Fault,
  faultReply,
  PreparedStatement,
  provesNotRun,
  Reply,
  TransactionState,
  Work,
} from '../core/work.js';
import {IdSource} from '../core/process_ids.js';
import {JsonLog} from './json_log.js';
import {Router} from './router.js';
import {
  CallerAnswer,
  CallerCodec,
  CallerMessage,
  WIRE_ENCODING,
} from './wire_types.js';

/** Services of the front that a session uses. */
export interface SessionHost {
  readonly codec: CallerCodec;
  readonly router: Router;
  readonly log: JsonLog;
  readonly newId: IdSource;
  /** Returns the current configuration; undefined before the first arrives. */
  readonly config: () => FrontConfig | undefined;
  /** Whether the configuration is recent enough for checking keys. */
  readonly isConfigFresh: () => boolean;
  /** Takes one token from the customer's rate limiter; false when exceeded. */
  readonly admitRate: (customer: string) => boolean | Promise<boolean>;
  /**
   * Rolls back the transaction whose exclusive use of a connection to
   * `database` is named `lane`.
   */
  readonly endLane: (database: string, lane: string) => void;
  /** Cancels work whose caller has disconnected. */
  readonly cancel: (work: Work) => void;
  readonly isStopping: () => boolean;
  readonly onEnded: (session: CallerSession) => void;
  /**
   * Called for each answered statement; `kind` is `ok`, a fault or an error.
   */
  readonly onAnswered: (kind: string, tookMs: number) => void;
}

interface Transaction {
  /** Identifies the transaction in logs of all fronts. */
  readonly id: string;
  readonly readOnly: boolean;
  /** Holder of the session's key at its BEGIN; all of it runs as this one. */
  readonly customer: string;
  readonly route: RouteConfig;
  /** Homes at its BEGIN; later configurations do not change them. */
  readonly homes: Homes;
  /** Arrival of its BEGIN, from which the freshness of its reads counts. */
  readonly startedAtMs: number;
  database: string;
  /**
   * Name of its exclusive use of a database connection; undefined until its
   * first statement has opened the transaction there.
   */
  lane: string | undefined;
  hasWritten: boolean;
  /** Whether it was opened as read-write, which only a primary allows. */
  isReadWrite: boolean;
}

type Query = Extract<CallerMessage, {kind: 'query'}>;

/** Part of a statement's time limit that is reserved for sending the answer. */
const ANSWER_RESERVE_MS = 12;
/** Retry delay sent to callers when the expected wait is unknown. */
const RETRY_AFTER_MS = 250;
const RATE_RETRY_AFTER_MS = 1_000;
/** The socket is paused while more messages or bytes than these are queued. */
const MAX_QUEUED_MESSAGES = 64;
const MAX_QUEUED_BYTES = 65_536;
/** Bytes of answers that may wait for the caller while a statement starts. */
const MAX_UNREAD_BYTES = 262_144;

/** Returns the text of a refusal, `text` unless its kind needs another. */
const refusalText = (error: ErrorKind, text: string): string =>
  error === 'customer_unusable'
    ? 'databases cannot be told the name of this customer'
    : text;

export class CallerSession {
  private readonly decoder;
  private isStarted = false;
  /** Route name that the caller gave as its database at login. */
  private database = '';
  private key = '';
  private state: SessionState = EMPTY_SESSION;
  private transaction: Transaction | undefined;
  /** Whether a transaction has failed and awaits its ROLLBACK or COMMIT. */
  private hasFailed = false;
  /** Whether it failed between two statements, so that no answer told of it. */
  private isLossUntold = false;
  /** Position of the newest reply, which each READY reports to the caller. */
  private position: Position | undefined;
  private lastCommit: Position | undefined;
  private readonly queuedMessages: Array<{
    message: CallerMessage;
    atMs: number;
  }> = [];
  /** At least the bytes of the queued messages. */
  private queuedBytes = 0;
  private isBusy = false;
  /** Whether the next statement waits until the caller has read its answers. */
  private isAwaitingReading = false;
  private hasLeft = false;
  private runningWork: Work | undefined;
  /** Whether the key of the running statement has been withdrawn meanwhile. */
  private isRunningWithdrawn: () => boolean = () => false;
  private idleTimer: NodeJS.Timeout | undefined;
  /** Encoded answers that are not yet written to the socket. */
  private output = '';

  private constructor(
    private readonly socket: Socket,
    private readonly host: SessionHost,
  ) {
    this.decoder = host.codec.createDecoder();
    socket.setNoDelay(true);
    socket.on('data', chunk => this.receiveData(chunk));
    socket.on('error', () => this.onDisconnect());
    socket.on('close', () => this.onDisconnect());
    socket.on('end', () => socket.end());
  }

  static create(socket: Socket, host: SessionHost): CallerSession {
    return new CallerSession(socket, host);
  }

  /**
   * Whether the session has no message, statement or transaction in progress,
   * and no answer of which a part has yet to leave the process.
   */
  get isIdle(): boolean {
    return (
      !this.isBusy &&
      this.socket.writableLength === 0 &&
      this.queuedMessages.length === 0 &&
      !this.transaction &&
      !this.hasFailed
    );
  }

  /**
   * Closes an idle session. Both directions close at once: a statement that is
   * already in transit must not be read, as it could not be answered.
   */
  closeIfIdle(): void {
    if (!this.isIdle || this.hasLeft) return;
    this.socket.destroy();
    this.onDisconnect();
  }

  /** Rolls back an open transaction unless one of its statements is running. */
  abortTransaction(reason: string): void {
    const isRunning = this.isBusy && !this.isAwaitingReading;
    if (!this.transaction || isRunning) return;
    this.rollBack(reason);
    this.hasFailed = true;
    this.isLossUntold = true;
  }

  /**
   * Ends what was begun for a customer that no longer holds the session's key:
   * the open transaction and a statement that no database has been sent. Must be
   * called when the configuration changes.
   */
  reauthorize(): void {
    if (this.runningWork && this.isRunningWithdrawn())
      this.host.cancel(this.runningWork);
    const {transaction} = this;
    if (
      transaction &&
      this.isWithdrawn(transaction.route, transaction.customer)
    )
      this.abortTransaction('key withdrawn');
  }

  private receiveData(chunk: Buffer): void {
    const arrivedAtMs = performance.now();
    for (const message of this.decoder.push(chunk)) {
      this.queuedMessages.push({message, atMs: arrivedAtMs});
    }
    this.queuedBytes += chunk.length;
    if (this.hasFullQueue) this.socket.pause();
    if (!this.isBusy) void this.processQueue();
  }

  /** An incomplete message alone does not fill the queue: its rest is needed. */
  private get hasFullQueue(): boolean {
    const count = this.queuedMessages.length;
    if (count === 0) return false;
    return count > MAX_QUEUED_MESSAGES || this.queuedBytes > MAX_QUEUED_BYTES;
  }

  /** Waits until the caller has read most of the answers that it got. */
  private async awaitReading(): Promise<void> {
    const {socket} = this;
    if (socket.writableLength <= MAX_UNREAD_BYTES) return;
    const {log} = this.host;
    const startedAtMs = performance.now();
    const unreadBytes = socket.writableLength;
    log('caller_not_reading', {database: this.database, unreadBytes});
    socket.pause();
    this.isAwaitingReading = true;
    this.startIdleTimer();
    await new Promise<void>(resolve => {
      socket.once('drain', resolve);
      socket.once('close', resolve);
    });
    clearTimeout(this.idleTimer);
    this.isAwaitingReading = false;
    const tookMs = Math.round(performance.now() - startedAtMs);
    log('caller_has_read', {database: this.database, unreadBytes, tookMs});
  }

  private async processQueue(): Promise<void> {
    this.isBusy = true;
    while (this.queuedMessages.length > 0 && !this.hasLeft) {
      await this.awaitReading();
      const next = this.queuedMessages.shift();
      if (!next || this.hasLeft) break;
      clearTimeout(this.idleTimer);
      try {
        await this.handleMessage(next.message, next.atMs);
      } catch (error) {
        this.host.log('session_error', {text: (error as Error).stack});
        this.socket.destroy();
      }
      this.flush();
    }
    this.isBusy = false;
    this.queuedBytes = 0;
    if (this.hasLeft) return this.rollBack('caller disconnected');
    if (this.socket.isPaused()) this.socket.resume();
    // The key may have been withdrawn while a statement of the transaction ran.
    this.reauthorize();
    if (this.host.isStopping()) this.closeIfIdle();
    else if (this.transaction) this.startIdleTimer();
  }

  private startIdleTimer(): void {
    const idleMs = this.host.config()?.idleTransactionMs ?? 0;
    this.idleTimer = setTimeout(
      () => this.abortTransaction('idle for too long'),
      idleMs,
    );
  }

  private async handleMessage(
    message: CallerMessage,
    arrivedAtMs: number,
  ): Promise<void> {
    if (!this.isStarted) return this.logIn(message);
    switch (message.kind) {
      case 'query':
        return this.handleQuery(message, arrivedAtMs);
      case 'bye':
        this.socket.end();
        return this.onDisconnect();
      case 'too_large':
        this.sendError('request_too_large', 'message is too long');
        return this.closeAfterFlush();
      default:
        this.sendError('protocol_violation', 'unknown message');
        return this.closeAfterFlush();
    }
  }

  private logIn(message: CallerMessage): void {
    if (message.kind !== 'start') {
      this.enqueue({
        kind: 'error',
        error: 'protocol_violation',
        text: 'not started',
      });
      return this.closeAfterFlush();
    }
    const config = this.host.config();
    if (!config || this.host.isStopping()) {
      const text = this.retryDelayText(RETRY_AFTER_MS);
      this.enqueue({kind: 'error', error: 'not_ready', text});
      return this.closeAfterFlush();
    }
    const admission = admit(config, message.database, message.key);
    if (admission.kind !== 'admitted') {
      const error = this.host.isConfigFresh()
        ? admission.kind
        : 'stale_configuration';
      this.host.log('login_refused', {
        database: message.database,
        error,
        version: config.version,
      });
      const text = refusalText(error, message.database);
      this.enqueue({kind: 'error', error, text});
      return this.closeAfterFlush();
    }
    this.isStarted = true;
    this.database = message.database;
    this.key = message.key;
    this.sendReady();
  }

  private async handleQuery(query: Query, arrivedAtMs: number): Promise<void> {
    const {statement} = query;
    if (
      this.hasFailed &&
      statement.kind !== 'rollback' &&
      statement.kind !== 'commit'
    ) {
      return this.refuseInFailed(query);
    }
    switch (statement.kind) {
      case 'set':
        return this.changeState(
          setValue(this.state, statement.name, statement.value),
        );
      case 'prepare':
        return this.changeState(prepare(this.state, statement.prepared));
      case 'deallocate':
        this.state = deallocate(this.state, statement.name);
        return this.sendDone();
      case 'begin':
        return this.beginTransaction(statement.readOnly, arrivedAtMs);
      case 'rollback':
        this.rollBack('rolled back by the caller');
        this.hasFailed = this.isLossUntold = false;
        return this.sendDone();
      case 'commit':
        return this.commit(query, arrivedAtMs);
      case 'malformed':
        return this.sendError('protocol_violation', 'unknown statement');
      case 'read':
      case 'write':
        return this.run(query, statement.kind, undefined, arrivedAtMs);
      case 'execute': {
        const prepared = this.state.prepared.get(statement.name);
        if (!prepared) {
          return this.sendError(
            'protocol_violation',
            'no such prepared statement',
          );
        }
        return this.run(query, prepared.access, prepared, arrivedAtMs);
      }
    }
  }

  private changeState(next: SessionState): void {
    if (!isWithinLimits(next)) {
      const text = 'the session keeps too many or too long values';
      return this.sendError('request_too_large', text);
    }
    this.state = next;
    this.sendDone();
  }

  private beginTransaction(readOnly: boolean, arrivedAtMs: number): void {
    if (this.transaction) {
      return this.sendError('protocol_violation', 'a transaction is open');
    }
    const config = this.host.config();
    const route = config?.routes.get(this.database);
    if (!config || !route)
      return this.sendError('service_unknown', this.database);
    this.transaction = {
      id: this.host.newId(),
      readOnly,
      customer: customerOfKey(config, this.key),
      route,
      homes: this.homesOn(config, route),
      startedAtMs: arrivedAtMs,
      database: '',
      lane: undefined,
      hasWritten: false,
      isReadWrite: false,
    };
    this.sendDone();
  }

  private async commit(query: Query, arrivedAtMs: number): Promise<void> {
    if (this.hasFailed) {
      this.hasFailed = this.isLossUntold = false;
      this.rollBack('has failed before');
      return this.sendError('transaction_lost', 'rolled back');
    }
    if (!this.transaction) {
      return this.sendError('protocol_violation', 'no transaction is open');
    }
    return this.run(query, Access.commit, undefined, arrivedAtMs);
  }

  private async run(
    query: Query,
    access: Access,
    prepared: PreparedStatement | undefined,
    arrivedAtMs: number,
  ): Promise<void> {
    const {transaction} = this;
    const config = this.host.config();
    const route = transaction?.route ?? config?.routes.get(this.database);
    const refusal = this.refusalOf(route, transaction?.customer);
    if (refusal || !route || !config)
      return this.refuse(query, refusal ?? 'not_ready');
    const customer = transaction?.customer ?? customerOfKey(config, this.key);
    const isFirst = transaction?.lane === undefined;
    if (isFirst && !(await this.isWithinRate(customer))) {
      this.host.log('rate_refused', {
        request: query.id,
        transaction: transaction?.id,
        customer,
      });
      return this.sendError(
        'rate_exceeded',
        this.retryDelayText(RATE_RETRY_AFTER_MS),
      );
    }
    if (this.hasLeft) return;
    // The configuration may have changed, or become too old, during the wait for
    // a token.
    const lateRefusal = isFirst ? this.refusalOf(route, customer) : undefined;
    if (lateRefusal) return this.refuse(query, lateRefusal);
    if (isFirst && !this.host.isConfigFresh())
      return this.refuse(query, 'stale_configuration');
    this.isRunningWithdrawn = () => this.isWithdrawn(route, customer);
    const deadlineMs = arrivedAtMs + route.timeoutMs - ANSWER_RESERVE_MS;
    const homes = transaction?.homes ?? this.homesOn(config, route);
    const reply = isFirst
      ? await this.runFirst(
          query,
          access,
          prepared,
          route,
          homes,
          customer,
          arrivedAtMs,
          deadlineMs,
        )
      : await this.runNext(query, access, prepared, customer, deadlineMs);
    this.runningWork = undefined;
    if (this.hasLeft) {
      if (transaction) transaction.lane = reply.lane ?? transaction.lane;
      if (reply.ok && access === Access.commit) this.transaction = undefined;
      return;
    }
    const withdrawal =
      !reply.ok && provesNotRun(reply.fault)
        ? withdrawalOf(this.host.config() ?? config, {
            key: this.key,
            route,
            customer,
          })
        : undefined;
    if (withdrawal) {
      if (transaction) transaction.lane = reply.lane ?? transaction.lane;
      return this.refuse(query, withdrawal);
    }
    this.host.onAnswered(
      reply.ok ? 'ok' : reply.fault,
      performance.now() - arrivedAtMs,
    );
    this.handleReply(reply, access);
  }

  /**
   * Returns why a statement may not run at present, if so. Checked before each
   * one, as keys can be withdrawn during a session.
   */
  private refusalOf(
    route: RouteConfig | undefined,
    customer: string | undefined,
  ): ErrorKind | undefined {
    const {config, isConfigFresh} = this.host;
    const claim = {key: this.key, route, customer};
    return refusalOf(config(), isConfigFresh(), claim);
  }

  /** Whether the session's key no longer allows work on a route as a customer. */
  private isWithdrawn(route: RouteConfig, customer: string): boolean {
    const config = this.host.config();
    const claim = {key: this.key, route, customer};
    return config !== undefined && withdrawalOf(config, claim) !== undefined;
  }

  /** Refuses a statement that no database was sent, and ends its transaction. */
  private refuse(query: Query, error: ErrorKind): void {
    this.host.log('request_refused', {
      request: query.id,
      transaction: this.transaction?.id,
      database: this.database,
      error,
      customer: this.transaction?.customer,
      version: this.host.config()?.version,
      fresh: this.host.isConfigFresh(),
    });
    const retryDelay = this.retryDelayText(RETRY_AFTER_MS);
    const isCommit = query.statement.kind === 'commit';
    this.sendError(error, refusalText(error, retryDelay), isCommit);
  }

  /**
   * Refuses a statement of a transaction that has failed. The first one after a
   * loss that no answer told of is told that the transaction was rolled back.
   */
  private refuseInFailed(query: Query): void {
    if (!this.isLossUntold)
      return this.sendError('transaction_failed', 'transaction has failed');
    this.isLossUntold = false;
    const route = this.host.config()?.routes.get(this.database);
    const error = this.refusalOf(route, undefined) ?? 'transaction_lost';
    this.refuse(query, error);
  }

  private homesOn(config: FrontConfig, route: RouteConfig): Homes {
    return homesOf(
      route,
      config.customers.get(customerOfKey(config, this.key)),
    );
  }

  private isWithinRate(customer: string): boolean | Promise<boolean> {
    return customer === ANONYMOUS || this.host.admitRate(customer);
  }

  /** Runs a statement outside a transaction, or the first one of it. */
  private async runFirst(
    query: Query,
    access: Access,
    prepared: PreparedStatement | undefined,
    route: RouteConfig,
    homes: Homes,
    customer: string,
    arrivedAtMs: number,
    deadlineMs: number,
  ): Promise<Reply> {
    const {transaction} = this;
    const opens = !transaction
      ? 'none'
      : transaction.readOnly && access === Access.read
        ? 'readOnly'
        : 'readWrite';
    const {reply, database} = await this.host.router.run({
      route,
      homes,
      customer,
      requestId: query.id,
      text: query.text,
      access,
      opens,
      session: requiredStateFor(this.state, prepared),
      transaction: transaction?.id,
      freshAsOfMs: transaction?.startedAtMs ?? arrivedAtMs,
      deadlineMs,
      lastCommit: this.lastCommit,
      onSent: work => (this.runningWork = work),
      isCancelled: () => this.hasLeft || this.isRunningWithdrawn(),
    });
    if (transaction) {
      transaction.database = database;
      transaction.isReadWrite = opens === 'readWrite';
    }
    return reply;
  }

  /** Runs a further statement of the transaction. */
  private runNext(
    query: Query,
    access: Access,
    prepared: PreparedStatement | undefined,
    customer: string,
    deadlineMs: number,
  ): Promise<Reply> {
    const {transaction} = this;
    if (!transaction) throw new Error('no transaction');
    const {id, route, homes, database, lane, isReadWrite, hasWritten} =
      transaction;
    const provesLeader =
      isReadWrite && (access !== Access.commit || hasWritten);
    return this.host.router.runInLane(
      {
        service: route.service,
        database,
        customer,
        requestId: query.id,
        text: query.text,
        access,
        lane,
        transaction: id,
        session: requiredStateFor(this.state, prepared),
        priority: route.priority,
        budgetMs: Math.max(1, Math.floor(deadlineMs - performance.now())),
        homes,
      },
      provesLeader,
      work => (this.runningWork = work),
    );
  }

  /**
   * Takes over the lane and the position from a reply and answers the caller.
   */
  private handleReply(reply: Reply, access: Access): void {
    const {transaction} = this;
    if (reply.position) this.position = reply.position;
    if (reply.ok) {
      const result = this.encodeResult(reply);
      if (result.isErr()) {
        const {lane, state} = reply;
        const fault = faultReply(Fault.lost, result.error, {state});
        return this.handleReply({...fault, lane}, access);
      }
      if (transaction) {
        transaction.lane = reply.lane ?? transaction.lane;
        if (access === Access.write) transaction.hasWritten = true;
      }
      const isCommit =
        access === Access.commit || (access === Access.write && !transaction);
      if (isCommit) {
        this.lastCommit = laterPosition(this.lastCommit, reply.position);
        this.transaction = undefined;
      }
      this.output += result.value;
      return this.sendReady();
    }
    const hasWritten = transaction?.hasWritten ?? access === Access.write;
    if (transaction) {
      transaction.lane = reply.lane ?? transaction.lane;
      if (reply.lane === undefined) transaction.lane = undefined;
      this.rollBack(reply.fault);
      this.hasFailed = access !== Access.commit;
    }
    this.enqueue(this.faultAnswer(reply, access, hasWritten));
    this.sendReady();
  }

  /** Encodes rows and signature; the error tells what cannot be sent. */
  private encodeResult({
    rows,
    signature,
  }: Extract<Reply, {ok: true}>): Result<string, string> {
    const {codec, log} = this.host;
    const answers: CallerAnswer[] = [
      ...rows.map(data => ({kind: 'row', data}) as const),
      {kind: 'done', signature},
    ];
    return Result.combine(answers.map(answer => codec.encode(answer)))
      .map(lines => lines.join(''))
      .mapErr(text => {
        log('answer_unsendable', {database: this.database, text});
        return `the answer cannot be sent: ${text}`;
      });
  }

  /**
   * Returns the answer for a fault. It says that nothing was committed only
   * where that is certain; a lost write or commit has an unknown outcome.
   */
  private faultAnswer(
    reply: Extract<Reply, {ok: false}>,
    access: Access,
    hasWritten: boolean,
  ): CallerAnswer {
    const {fault} = reply;
    if (provesNotRun(fault)) {
      const text = this.retryDelayText(reply.retryAfterMs ?? RETRY_AFTER_MS);
      return {kind: 'fault', fault, text};
    }
    if (fault === Fault.lost) {
      if (access === Access.read)
        return {kind: 'error', error: 'timed_out', text: reply.text};
      if (access === Access.commit && !hasWritten) {
        return {kind: 'fault', fault: Fault.aborted, text: reply.text};
      }
      return {kind: 'error', error: 'outcome_unknown', text: reply.text};
    }
    return {kind: 'fault', fault, text: reply.text};
  }

  private rollBack(reason: string): void {
    const {transaction} = this;
    this.transaction = undefined;
    if (!transaction) return;
    this.host.log('transaction_ended', {
      transaction: transaction.id,
      lane: transaction.lane,
      database: this.database,
      reason,
    });
    if (transaction.lane === undefined) return;
    this.host.endLane(transaction.database, transaction.lane);
  }

  private retryDelayText(ms: number): string {
    return `retry_after_ms=${Math.round(ms)}`;
  }

  /**
   * Answers with an error, which also fails an open transaction, or ends it if
   * `isCommit`.
   */
  private sendError(error: ErrorKind, text: string, isCommit = false): void {
    if (this.transaction) {
      this.rollBack(error);
      this.hasFailed = !isCommit;
    }
    this.host.onAnswered(error, 0);
    this.enqueue({kind: 'error', error, text});
    this.sendReady();
  }

  private sendDone(): void {
    this.enqueue({kind: 'done', signature: '-'});
    this.sendReady();
  }

  private sendReady(): void {
    const state = this.hasFailed
      ? TransactionState.failed
      : this.transaction
        ? TransactionState.open
        : TransactionState.idle;
    this.enqueue({kind: 'ready', state, position: this.position});
  }

  /** Adds an answer to the output; throws if it cannot be encoded. */
  private enqueue(answer: CallerAnswer): void {
    const encoded = this.host.codec.encode(answer);
    if (encoded.isErr()) throw new Error(encoded.error);
    this.output += encoded.value;
  }

  private flush(): void {
    const {output} = this;
    this.output = '';
    if (output !== '' && !this.hasLeft)
      this.socket.write(output, WIRE_ENCODING);
  }

  private closeAfterFlush(): void {
    this.flush();
    this.socket.end();
    this.onDisconnect();
  }

  private onDisconnect(): void {
    if (this.hasLeft) return;
    this.hasLeft = true;
    clearTimeout(this.idleTimer);
    if (this.runningWork) this.host.cancel(this.runningWork);
    if (!this.isBusy) this.rollBack('caller disconnected');
    this.host.onEnded(this);
  }
}
