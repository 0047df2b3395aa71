/**
 * Calls the group control functions of a database: status, raise, promote and
 * follow.
 */
import {err, ok, Result} from 'neverthrow';
import {serialize} from 'pg-protocol';
import {failure, Failure} from '../core/errors.js';
import {DatabaseStatus} from '../core/position.js';
import {BackendConnection, BackendTarget} from '../pg/backend.js';
import {bodyOf, FrameCode} from '../pg/wire.js';

/** Response of a database to `raise`, `promote` and `follow`. */
export interface ControlResponse {
  readonly granted: boolean;
  readonly status?: DatabaseStatus;
}

/** Offset in a DataRow body, after the number of columns. */
const FIRST_COLUMN_OFFSET = 2;

/** The control connection to one database; reconnects after a failure. */
export class ControlLink {
  private connection: BackendConnection | undefined;
  private queue: Promise<unknown> = Promise.resolve();
  private closed = false;

  private constructor(private readonly target: BackendTarget) {}

  static create(target: BackendTarget): ControlLink {
    return new ControlLink(target);
  }

  status(timeoutMs: number): Promise<Result<DatabaseStatus, Failure>> {
    return this.enqueue<DatabaseStatus>('SELECT group_status()', timeoutMs);
  }

  /**
   * Claims a term for a failover; a database grants each term to one claimant
   * only.
   */
  raise(
    term: number,
    claimant: string,
    timeoutMs: number,
  ): Promise<Result<ControlResponse, Failure>> {
    return this.enqueue(
      `SELECT group_raise(${term}, '${claimant}')`,
      timeoutMs,
    );
  }

  promote(
    term: number,
    claimant: string,
    timeoutMs: number,
  ): Promise<Result<ControlResponse, Failure>> {
    return this.enqueue(
      `SELECT group_promote(${term}, '${claimant}')`,
      timeoutMs,
    );
  }

  follow(
    term: number,
    primary: string,
    timeoutMs: number,
  ): Promise<Result<ControlResponse, Failure>> {
    return this.enqueue(
      `SELECT group_follow(${term}, '${primary}')`,
      timeoutMs,
    );
  }

  close(): void {
    this.closed = true;
    this.connection?.destroy();
  }

  /**
   * Runs one control query once all earlier queries on this link have finished.
   */
  private enqueue<T>(
    sql: string,
    timeoutMs: number,
  ): Promise<Result<T, Failure>> {
    const result = this.queue.then(() => this.run<T>(sql, timeoutMs));
    this.queue = result;
    return result;
  }

  private async run<T>(
    sql: string,
    timeoutMs: number,
  ): Promise<Result<T, Failure>> {
    const opened = await this.open(timeoutMs);
    if (opened.isErr()) return err(opened.error);
    const text = await queryValue(opened.value, sql, timeoutMs);
    if (text === undefined) {
      opened.value.destroy();
      this.connection = undefined;
      return err(failure('backend_unreachable', 'control query timed out'));
    }
    return ok(JSON.parse(text) as T);
  }

  private async open(
    timeoutMs: number,
  ): Promise<Result<BackendConnection, Failure>> {
    if (this.closed) return err(failure('backend_unreachable', 'link closed'));
    if (this.connection && !this.connection.isClosed)
      return ok(this.connection);
    const opened = await BackendConnection.connect({
      ...this.target,
      connectTimeoutMs: timeoutMs,
    });
    if (opened.isErr()) return err(opened.error);
    this.connection = opened.value;
    if (this.closed) this.connection.destroy();
    return ok(opened.value);
  }
}

/** Returns the first column of the row, or undefined on error or timeout. */
function queryValue(
  connection: BackendConnection,
  sql: string,
  timeoutMs: number,
): Promise<string | undefined> {
  return new Promise(resolve => {
    let value: string | undefined;
    const finish = (result: string | undefined): void => {
      clearTimeout(timer);
      connection.setHandlers(undefined);
      resolve(result);
    };
    const timer = setTimeout(() => finish(undefined), timeoutMs);
    connection.setHandlers({
      onFrame: (code, frame) => {
        if (code === FrameCode.dataRow) value = firstColumn(frame);
        if (code === FrameCode.ready) finish(value);
      },
      onChunkEnd: () => undefined,
      onClose: () => finish(undefined),
    });
    connection.send([serialize.query(sql)]);
  });
}

function firstColumn(frame: Buffer): string {
  const body = bodyOf(frame);
  const bytes = body.readInt32BE(FIRST_COLUMN_OFFSET);
  const start = FIRST_COLUMN_OFFSET + 4;
  return body.toString('utf8', start, start + bytes);
}
