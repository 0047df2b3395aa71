/**
 * One connection to a stand-in database after its password was accepted:
 * decodes PostgreSQL messages, runs their statements and encodes the results.
 */
import {Socket} from 'node:net';
import {POSITION_PARAMETER} from '../core/position.js';
import {
  authenticationOkFrame,
  backendKeyDataFrame,
  bodyOf,
  FrameCode,
  commandCompleteFrame,
  dataRowFrame,
  emptyFrame,
  FrameReader,
  frameOf,
  parameterStatusFrame,
  errorResponseFrame,
  readyForQueryFrame,
  rowDescriptionFrame,
} from '../pg/wire.js';
import {StandinDatabase} from './database.js';
import {readText} from './frame_text.js';
import {
  DatabaseSession,
  FindDatabase,
  StatementOutcome,
} from './database_session.js';
import {
  countParameters,
  describeColumns,
  Node,
  parseStatements,
  SqlError,
  Value,
} from './sql_engine.js';
import {
  readTag,
  StatementTag,
  TransactionJudge,
  Violation,
} from './transaction_judge.js';

const MAX_FRAME_BYTES = 64 * 1024 * 1024;
const ROWS_PER_WRITE = 256;

/** The part of a database server that its sessions use. */
export interface SessionServer {
  readonly database: StandinDatabase;
  readonly options: {readonly findDatabase: FindDatabase};
  executedStatements: number;
  /** Statements that name their caller. */
  taggedStatements: number;
  recordViolation(violation: Violation): void;
  acquireSlot(): Promise<void>;
  releaseSlot(): void;
}

/** Resolves after `ms`, without a timer for 0. */
export const delay = (ms: number): Promise<void> =>
  ms > 0 ? new Promise(resolve => setTimeout(resolve, ms)) : Promise.resolve();

interface Portal {
  readonly node: Node | undefined;
  readonly tag: StatementTag | undefined;
  readonly parameters: readonly Value[];
}

interface Statement {
  readonly node: Node | undefined;
  readonly tag: StatementTag | undefined;
}

interface Message {
  readonly code: number;
  readonly body: Buffer;
}

/** Serves the simple and the extended query protocol on one connection. */
export class BackendSession {
  readonly processId: number;
  private readonly session: DatabaseSession;
  private readonly reader = FrameReader.create({
    maxFrameBytes: MAX_FRAME_BYTES,
  });
  private readonly received: Message[] = [];
  private readonly statements = new Map<string, Statement>();
  private readonly portals = new Map<string, Portal>();
  private readonly judge = TransactionJudge.create();
  private isProcessing = false;
  private hasStoppedResponding = false;
  private isSkippingToSync = false;
  private isCancelRequested = false;
  private endSleep: (() => void) | undefined;
  private committedPosition: string | undefined;

  private constructor(
    private readonly server: SessionServer,
    private readonly socket: Socket,
    identity: {processId: number; user: string},
  ) {
    this.processId = identity.processId;
    this.session = DatabaseSession.create(
      server.database,
      server.options.findDatabase,
      identity.user,
    );
  }

  static create(
    server: SessionServer,
    socket: Socket,
    identity: {processId: number; user: string},
  ): BackendSession {
    return new BackendSession(server, socket, identity);
  }

  completeLogin(): void {
    this.send(authenticationOkFrame());
    this.send(parameterStatusFrame('server_version', '15.0'));
    this.send(parameterStatusFrame('client_encoding', 'UTF8'));
    this.send(backendKeyDataFrame(this.processId, 0));
    this.send(readyForQueryFrame('I'));
    this.socket.on('data', chunk => this.receive(chunk));
  }

  stopResponding(): void {
    this.hasStoppedResponding = true;
  }

  cancel(): void {
    this.isCancelRequested = true;
    this.endSleep?.();
  }

  private get isUnresponsive(): boolean {
    return (
      this.hasStoppedResponding || this.server.database.faults.isUnresponsive
    );
  }

  private send(frame: Buffer): boolean {
    if (this.isUnresponsive) return true;
    return this.socket.write(frame);
  }

  private receive(chunk: Buffer): void {
    if (this.isUnresponsive) return;
    const isValid = this.reader.push(chunk, (code, frame) =>
      this.received.push({code, body: bodyOf(frame)}),
    );
    if (!isValid) this.socket.destroy();
    void this.processMessages();
  }

  private async processMessages(): Promise<void> {
    if (this.isProcessing) return;
    this.isProcessing = true;
    this.socket.cork();
    for (;;) {
      const message = this.received.shift();
      if (!message || this.socket.destroyed) break;
      await this.handle(message);
    }
    this.socket.uncork();
    this.isProcessing = false;
  }

  private async handle(message: Message): Promise<void> {
    if (this.isSkippingToSync && message.code !== FrameCode.sync) return;
    try {
      await this.dispatch(message);
    } catch (error) {
      this.reportError(error as Error);
      if (message.code === FrameCode.query) this.sendReady();
      else this.isSkippingToSync = true;
    }
  }

  private reportError(error: Error): void {
    const sqlState = error instanceof SqlError ? error.sqlState : 'XX000';
    this.session.fail();
    this.send(errorResponseFrame('ERROR', sqlState, error.message));
  }

  private async dispatch({code, body}: Message): Promise<void> {
    switch (code) {
      case FrameCode.query:
        return this.simpleQuery(readText(body, 0)[0]);
      case FrameCode.parse:
        return this.parse(body);
      case FrameCode.bind:
        return this.bind(body);
      case FrameCode.describe:
        return this.describe(body);
      case FrameCode.execute:
        return this.execute(readText(body, 0)[0]);
      case FrameCode.close:
        this.send(emptyFrame(FrameCode.closeComplete));
        return;
      case FrameCode.sync:
        this.isSkippingToSync = false;
        return this.sendReady();
      case FrameCode.terminate:
        this.socket.end();
        return;
      default:
        return;
    }
  }

  private sendReady(): void {
    if (this.committedPosition) {
      this.send(
        parameterStatusFrame(POSITION_PARAMETER, this.committedPosition),
      );
    }
    this.committedPosition = undefined;
    this.send(readyForQueryFrame(this.session.status));
  }

  private async simpleQuery(text: string): Promise<void> {
    const nodes = parseStatements(text);
    const tag = readTag(text);
    if (nodes.length === 0) this.send(emptyFrame(FrameCode.emptyQuery));
    for (const node of nodes) {
      const outcome = await this.run(node, [], tag);
      if (outcome.result.columns.length > 0) {
        this.send(rowDescriptionFrame(outcome.result.columns));
      }
      await this.sendRows(outcome);
    }
    this.sendReady();
  }

  private async run(
    node: Node,
    parameters: readonly Value[],
    tag: StatementTag | undefined,
  ): Promise<StatementOutcome> {
    const isControl = Boolean(node.TransactionStmt) || callsGroupFunction(node);
    const serviceTimeMs = this.server.database.serviceTimeMs;
    if (isControl) return this.runJudged(node, parameters, tag);
    await this.server.acquireSlot();
    this.server.executedStatements++;
    try {
      await delay(serviceTimeMs);
      const outcome = this.runJudged(node, parameters, tag);
      if (outcome.sleepMs > 0) await this.sleep(outcome.sleepMs);
      this.committedPosition = outcome.position ?? this.committedPosition;
      return outcome;
    } finally {
      this.server.releaseSlot();
    }
  }

  private runJudged(
    node: Node,
    parameters: readonly Value[],
    tag: StatementTag | undefined,
  ): StatementOutcome {
    if (tag) this.server.taggedStatements++;
    const place = {
      database: this.server.database.name,
      connection: this.processId,
      isInTransaction: this.session.status !== 'I',
      isBegin: isBegin(node),
    };
    const violation = this.judge.judge(place, tag);
    if (violation) this.server.recordViolation(violation);
    return this.session.run(node, parameters);
  }

  private async sleep(ms: number): Promise<void> {
    this.isCancelRequested = false;
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, ms);
      this.endSleep = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.endSleep = undefined;
    if (this.isCancelRequested) {
      throw SqlError.create('57014', 'canceling statement due to user request');
    }
  }

  private async sendRows(outcome: StatementOutcome): Promise<void> {
    if (outcome.position) this.committedPosition = outcome.position;
    let sent = 0;
    let pending: Buffer[] = [];
    for (const row of outcome.result.rows) {
      pending.push(dataRowFrame(row));
      if (++sent % ROWS_PER_WRITE !== 0) continue;
      await this.flush(pending);
      pending = [];
    }
    pending.push(commandCompleteFrame(outcome.result.tag));
    this.send(Buffer.concat(pending));
  }

  private async flush(frames: readonly Buffer[]): Promise<void> {
    this.socket.uncork();
    if (!this.send(Buffer.concat(frames)) && !this.socket.destroyed) {
      await new Promise<void>(resolve => {
        this.socket.once('drain', resolve);
        this.socket.once('close', resolve);
      });
    }
    this.socket.cork();
  }

  private parse(body: Buffer): void {
    const [name, textAt] = readText(body, 0);
    const [text] = readText(body, textAt);
    const tag = readTag(text);
    this.statements.set(name, {node: parseStatements(text)[0], tag});
    this.send(emptyFrame(FrameCode.parseComplete));
  }

  private bind(body: Buffer): void {
    const [portal, nameAt] = readText(body, 0);
    const [name, formatsAt] = readText(body, nameAt);
    const statement = this.statements.get(name);
    if (!statement) {
      throw SqlError.create('26000', `no prepared statement "${name}"`);
    }
    const parameters = readParameters(body, formatsAt);
    this.portals.set(portal, {...statement, parameters});
    this.send(emptyFrame(FrameCode.bindComplete));
  }

  private describe(body: Buffer): void {
    const [name] = readText(body, 1);
    const isStatement = body[0] === 0x53;
    const target = isStatement
      ? this.statements.get(name)
      : this.portals.get(name);
    if (!target) throw SqlError.create('26000', `nothing named "${name}"`);
    if (isStatement) this.send(parameterDescription(target.node));
    const columns = target.node ? this.columnsOf(target.node) : [];
    this.send(
      columns.length > 0
        ? rowDescriptionFrame(columns)
        : emptyFrame(FrameCode.noData),
    );
  }

  private columnsOf(node: Node): readonly string[] {
    const table = node.SelectStmt?.fromClause?.[0]?.RangeVar?.relname;
    const firstRow = table && [...this.server.database.all(String(table))][0];
    const columns = describeColumns(node);
    const isStar =
      node.SelectStmt?.targetList?.[0]?.ResTarget?.val?.ColumnRef?.fields?.[0]
        ?.A_Star;
    return isStar && firstRow ? Object.keys(firstRow[1]) : columns;
  }

  private async execute(portalName: string): Promise<void> {
    const portal = this.portals.get(portalName);
    if (!portal) throw SqlError.create('34000', `no portal "${portalName}"`);
    if (!portal.node) {
      this.send(emptyFrame(FrameCode.emptyQuery));
      return;
    }
    const {node, parameters, tag} = portal;
    await this.sendRows(await this.run(node, parameters, tag));
  }
}

const isBegin = (node: Node): boolean =>
  ['TRANS_STMT_BEGIN', 'TRANS_STMT_START'].includes(node.TransactionStmt?.kind);

const callsGroupFunction = (node: Node): boolean =>
  String(
    node.SelectStmt?.targetList?.[0]?.ResTarget?.val?.FuncCall?.funcname?.[0]
      ?.String?.sval ?? '',
  ).startsWith('group_');

function parameterDescription(node: Node | undefined): Buffer {
  const TEXT_OID = 25;
  const count = node ? countParameters(node) : 0;
  const body = Buffer.alloc(2 + 4 * count);
  body.writeUInt16BE(count, 0);
  for (let i = 0; i < count; i++) body.writeUInt32BE(TEXT_OID, 2 + 4 * i);
  return frameOf(FrameCode.parameterDescription, body);
}

/**
 * Returns the parameter values of a Bind message as texts. Binary values must
 * be integers.
 */
function readParameters(body: Buffer, formatsOffset: number): Value[] {
  const formatCount = body.readUInt16BE(formatsOffset);
  const formats: number[] = [];
  for (let i = 0; i < formatCount; i++) {
    formats.push(body.readUInt16BE(formatsOffset + 2 + 2 * i));
  }
  let offset = formatsOffset + 2 + 2 * formatCount;
  const count = body.readUInt16BE(offset);
  offset += 2;
  const values: Value[] = [];
  for (let i = 0; i < count; i++) {
    const bytes = body.readInt32BE(offset);
    offset += 4;
    const isBinary = (formats.length === 1 ? formats[0] : formats[i]) === 1;
    const raw = bytes < 0 ? null : body.subarray(offset, offset + bytes);
    offset += Math.max(0, bytes);
    values.push(raw && (isBinary ? readInteger(raw) : raw.toString('utf8')));
  }
  return values;
}

const readInteger = (raw: Buffer): string =>
  String(
    raw.length === 8 ? raw.readBigInt64BE() : raw.readIntBE(0, raw.length),
  );
