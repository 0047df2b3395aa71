/**
 * Session tokens: a service and the log position a session must see, sealed
 * with the fleet's secret so that a caller cannot forge a floor.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {err, ok, Result} from 'neverthrow';
import {failure, Failure} from './errors.js';
import {formatPosition, parsePosition, Position} from './position.js';

const MAC_BYTES = 16;

const sealOf = (secret: string, body: string): Buffer =>
  createHmac('sha256', secret).update(body).digest().subarray(0, MAC_BYTES);

const isSeal = (mac: Buffer, seal: Buffer): boolean =>
  mac.length === seal.length && timingSafeEqual(mac, seal);

/** Encodes a token as `service:term/offset:mac`. */
export function encodeToken(
  secret: string,
  service: string,
  floor: Position,
): string {
  const body = `${service}:${formatPosition(floor)}`;
  return `${body}:${sealOf(secret, body).toString('base64url')}`;
}

/**
 * Decodes a token for `service`, sealed with any of the secrets; fails when it
 * is sealed for something else.
 */
export function decodeToken(
  secrets: readonly string[],
  service: string,
  text: string,
): Result<Position, Failure> {
  const cut = text.lastIndexOf(':');
  const body = text.slice(0, Math.max(cut, 0));
  const mac = Buffer.from(text.slice(cut + 1), 'base64url');
  if (!secrets.some(secret => isSeal(mac, sealOf(secret, body)))) {
    return err(failure('token_invalid', 'session token is not authentic'));
  }
  const split = body.lastIndexOf(':');
  const position = parsePosition(body.slice(split + 1));
  if (body.slice(0, split) !== service || !position) {
    return err(
      failure('token_invalid', `session token is not for service ${service}`),
    );
  }
  return ok(position);
}
