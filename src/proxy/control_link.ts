/** A connection for the group's control functions: status, raise, promote. */
import {err, ok, Result} from 'neverthrow';
import {serialize} from 'pg-protocol';
import {failure, Failure} from '../core/errors.js';
import {DatabaseStatus} from '../core/position.js';
import {BackendConnection, BackendTarget} from '../pg/backend.js';
import {bodyOf, Code} from '../pg/wire.js';

/** Answer of `raise`, `promote` and `follow`. */
export interface ControlAnswer {
  readonly granted: boolean;
  readonly status?: DatabaseStatus;
}

const FIRST_VALUE_OFFSET = 2;

/** One database's control connection; it reconnects when it fails. */
export class ControlLink {
  private connection: BackendConnection | undefined;
  private queue: Promise<unknown> = Promise.resolve();
  private closed = false;

  private constructor(private readonly target: BackendTarget) {}

  static create(target: BackendTarget): ControlLink {
    return new ControlLink(target);
  }

  status(timeoutMs: number): Promise<Result<DatabaseStatus, Failure>> {
    return this.ask<DatabaseStatus>('SELECT group_status()', timeoutMs);
  }

  raise(
    term: number,
    claimant: string,
    timeoutMs: number,
  ): Promise<Result<ControlAnswer, Failure>> {
    return this.ask(`SELECT group_raise(${term}, '${claimant}')`, timeoutMs);
  }

  promote(
    term: number,
    claimant: string,
    timeoutMs: number,
  ): Promise<Result<ControlAnswer, Failure>> {
    return this.ask(`SELECT group_promote(${term}, '${claimant}')`, timeoutMs);
  }

  follow(
    term: number,
    primary: string,
    timeoutMs: number,
  ): Promise<Result<ControlAnswer, Failure>> {
    return this.ask(`SELECT group_follow(${term}, '${primary}')`, timeoutMs);
  }

  close(): void {
    this.closed = true;
    this.connection?.destroy();
  }

  /** Runs one control query; queries of a link run one after another. */
  private ask<T>(sql: string, timeoutMs: number): Promise<Result<T, Failure>> {
    const turn = this.queue.then(() => this.run<T>(sql, timeoutMs));
    this.queue = turn;
    return turn;
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
    if (this.connection && !this.connection.closed) return ok(this.connection);
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

/** The first column of the first row, or undefined on error or timeout. */
function queryValue(
  connection: BackendConnection,
  sql: string,
  timeoutMs: number,
): Promise<string | undefined> {
  return new Promise(resolve => {
    let value: string | undefined;
    const finish = (result: string | undefined): void => {
      clearTimeout(timer);
      connection.attach(undefined);
      resolve(result);
    };
    const timer = setTimeout(() => finish(undefined), timeoutMs);
    connection.attach({
      onFrame: (code, frame) => {
        if (code === Code.dataRow) value = firstValue(frame);
        if (code === Code.ready) finish(value);
      },
      onChunkEnd: () => undefined,
      onClose: () => finish(undefined),
    });
    connection.send([serialize.query(sql)]);
  });
}

function firstValue(frame: Buffer): string {
  const body = bodyOf(frame);
  const bytes = body.readInt32BE(FIRST_VALUE_OFFSET);
  const start = FIRST_VALUE_OFFSET + 4;
  return body.toString('utf8', start, start + bytes);
}
