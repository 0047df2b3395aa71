/**
 * Messages on a lane stream between VMs. Metadata is sent as JSON-RPC
 * notifications in `rpc` frames, the frontend frames of a batch in one `batch`
 * frame after its metadata, and results as unchanged PostgreSQL frames.
 */
import {z} from 'zod';
import {parseJson} from '../core/documents.js';
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

const jsonRpcVersion = z.literal('2.0');

const messageSchema = z.discriminatedUnion('method', [
  z.object({
    jsonrpc: jsonRpcVersion,
    method: z.literal('open'),
    params: z.object({request: requestSchema, batch: batchSchema}),
  }),
  z.object({
    jsonrpc: jsonRpcVersion,
    method: z.literal('send'),
    params: z.object({batch: batchSchema}),
  }),
  z.object({jsonrpc: jsonRpcVersion, method: z.literal('cancel')}),
  z.object({jsonrpc: jsonRpcVersion, method: z.literal('abort')}),
  z.object({
    jsonrpc: jsonRpcVersion,
    method: z.literal('position'),
    params: positionSchema,
  }),
  z.object({
    jsonrpc: jsonRpcVersion,
    method: z.literal('failure'),
    params: failureSchema,
  }),
  z.object({jsonrpc: jsonRpcVersion, method: z.literal('done')}),
]);

/** A parsed notification in either direction. */
export type LaneMessage = z.infer<typeof messageSchema>;

const encodeNotification = (method: string, params?: object): Buffer =>
  frameOf(
    FrameCode.rpc,
    Buffer.from(JSON.stringify({jsonrpc: '2.0', method, params})),
  );

const batchMetadata = (batch: LaneBatch): object => ({
  expectsReady: batch.expectsReady,
  mayCommit: batch.mayCommit,
  budgetMs: batch.budgetMs,
});

const appendFrames = (metadata: Buffer, batch: LaneBatch): Buffer =>
  Buffer.concat([
    metadata,
    frameOf(FrameCode.batch, Buffer.concat(batch.frames)),
  ]);

/** Returns the message that opens a lane and sends its first batch. */
export const openMessage = (request: LaneRequest, batch: LaneBatch): Buffer =>
  appendFrames(
    encodeNotification('open', {request, batch: batchMetadata(batch)}),
    batch,
  );

/** Returns the message that sends another batch on an open lane. */
export const sendMessage = (batch: LaneBatch): Buffer =>
  appendFrames(
    encodeNotification('send', {batch: batchMetadata(batch)}),
    batch,
  );

export const cancelMessage = (): Buffer => encodeNotification('cancel');
export const abortMessage = (): Buffer => encodeNotification('abort');
export const doneMessage = (): Buffer => encodeNotification('done');
export const positionMessage = (position: Position): Buffer =>
  encodeNotification('position', position);
export const failureMessage = (failure: Failure): Buffer =>
  encodeNotification('failure', failure);

/** Parses an `rpc` frame; returns undefined if it is not a valid message. */
export function parseLaneMessage(frame: Buffer): LaneMessage | undefined {
  try {
    const parsed = messageSchema.safeParse(parseJson(bodyOf(frame)));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
