/**
 * Messages on a lane stream. Metadata travels as JSON-RPC notifications in
 * frames of their own; statements and results are raw PostgreSQL frames.
 */
import {z} from 'zod';
import {ANSWERS, ErrorKind, Failure} from '../core/errors.js';
import {LaneBatch, LaneRequest} from '../core/lane.js';
import {Position} from '../core/position.js';
import {bodyOf, FrameCode, frameOf} from '../pg/wire.js';

const positionSchema = z.object({
  term: z.number().int().min(0),
  offset: z.number().int().min(0),
});

const requestSchema = z.object({
  requestId: z.string().max(256),
  service: z.string().max(63),
  customer: z.string().max(63),
  weight: z.number().positive(),
  access: z.enum(['read', 'write']),
  floor: positionSchema.optional(),
  maxStalenessMs: z.number().min(0).optional(),
  budgetMs: z.number(),
  repeatable: z.boolean(),
});

const batchSchema = z.object({
  expectsReady: z.boolean(),
  mayCommit: z.boolean(),
  budgetMs: z.number(),
});

const failureSchema = z.object({
  kind: z.custom<ErrorKind>(
    kind => typeof kind === 'string' && Object.hasOwn(ANSWERS, kind),
  ),
  message: z.string(),
});

const version = z.literal('2.0');

const messageSchema = z.discriminatedUnion('method', [
  z.object({
    jsonrpc: version,
    method: z.literal('open'),
    params: z.object({request: requestSchema, batch: batchSchema}),
  }),
  z.object({
    jsonrpc: version,
    method: z.literal('send'),
    params: z.object({batch: batchSchema}),
  }),
  z.object({jsonrpc: version, method: z.literal('cancel')}),
  z.object({jsonrpc: version, method: z.literal('abort')}),
  z.object({
    jsonrpc: version,
    method: z.literal('position'),
    params: positionSchema,
  }),
  z.object({
    jsonrpc: version,
    method: z.literal('failure'),
    params: failureSchema,
  }),
  z.object({jsonrpc: version, method: z.literal('done')}),
]);

/** A parsed message of either direction. */
export type LaneMessage = z.infer<typeof messageSchema>;

const encode = (method: string, params?: object): Buffer =>
  frameOf(
    FrameCode.rpc,
    Buffer.from(JSON.stringify({jsonrpc: '2.0', method, params})),
  );

const batchParams = (batch: LaneBatch): object => ({
  expectsReady: batch.expectsReady,
  mayCommit: batch.mayCommit,
  budgetMs: batch.budgetMs,
});

const withFrames = (head: Buffer, batch: LaneBatch): Buffer =>
  Buffer.concat([head, frameOf(FrameCode.batch, Buffer.concat(batch.frames))]);

/** Opens a lane with its first batch. */
export const openMessage = (request: LaneRequest, batch: LaneBatch): Buffer =>
  withFrames(encode('open', {request, batch: batchParams(batch)}), batch);

/** Sends a further batch on an open lane. */
export const sendMessage = (batch: LaneBatch): Buffer =>
  withFrames(encode('send', {batch: batchParams(batch)}), batch);

export const cancelMessage = (): Buffer => encode('cancel');
export const abortMessage = (): Buffer => encode('abort');
export const doneMessage = (): Buffer => encode('done');
export const positionMessage = (position: Position): Buffer =>
  encode('position', position);
export const failureMessage = (reason: Failure): Buffer =>
  encode('failure', reason);

/** Reads a message; undefined when it is not one. */
export function readMessage(frame: Buffer): LaneMessage | undefined {
  try {
    const parsed = messageSchema.safeParse(
      JSON.parse(bodyOf(frame).toString('utf8')),
    );
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
