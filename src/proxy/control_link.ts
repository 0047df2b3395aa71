/**
 * Calls the group control functions of a database: status, raise, promote and
 * follow.
 */
import {isUtf8} from 'node:buffer';
import {err, ok, Result} from 'neverthrow';
import {serialize} from 'pg-protocol';
import {z} from 'zod';
import {failure, Failure} from '../core/errors.js';
import {DatabaseStatus} from '../core/position.js';
import {BackendConnection, BackendTarget} from '../pg/backend.js';
import {bodyOf, FrameCode} from '../pg/wire.js';

const countSchema = z.number().int().min(0);

const statusSchema = z.object({
  database: z.string(),
  role: z.enum(['primary', 'replica']),
  term: countSchema,
  offset: countSchema,
  lineage: z.array(z.object({term: countSchema, startOffset: countSchema})),
  following: z.string().optional(),
});

/** Response of a database to `raise`, `promote` and `follow`. */
export interface ControlResponse {
  readonly granted: boolean;
  readonly status?: DatabaseStatus;
}

const responseSchema = z.object({
  granted: z.boolean(),
  status: statusSchema.optional(),
});

/** Offset in a DataRow body, after the number of columns. */
const FIRST_COLUMN_OFFSET = 2;
/** Size of the length of a column. */
const COLUMN_LENGTH_BYTES = 4;

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
    return this.enqueue(statusSchema, 'SELECT group_status()', timeoutMs);
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
      responseSchema,
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
      responseSchema,
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
      responseSchema,
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
    schema: z.ZodType<T>,
    sql: string,
    timeoutMs: number,
  ): Promise<Result<T, Failure>> {
    const result = this.queue.then(() => this.run(schema, sql, timeoutMs));
    this.queue = result;
    return result;
  }

  private async run<T>(
    schema: z.ZodType<T>,
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
    const reply = decode(schema, text);
    return reply === undefined
      ? err(failure('backend_unreachable', 'invalid reply to a control query'))
      : ok(reply);
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

/** Returns the first column of a DataRow; undefined if it is no text. */
export function firstColumn(frame: Buffer): string | undefined {
  const body = bodyOf(frame);
  const start = FIRST_COLUMN_OFFSET + COLUMN_LENGTH_BYTES;
  if (body.length < start) return undefined;
  const bytes = body.readInt32BE(FIRST_COLUMN_OFFSET);
  if (bytes < 0) return undefined;
  const value = body.subarray(start, start + bytes);
  return value.length === bytes && isUtf8(value)
    ? value.toString('utf8')
    : undefined;
}

function decode<T>(schema: z.ZodType<T>, text: string): T | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    // The caller reports a reply that is no JSON as invalid.
    return undefined;
  }
}
