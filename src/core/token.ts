/**
 * Session tokens: a service and the minimum log position that a session must
 * see, authenticated with the fleet's secret so that callers cannot forge one.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {err, ok, Result} from 'neverthrow';
import {failure, Failure} from './errors.js';
import {formatPosition, parsePosition, Position} from './position.js';

const MAC_BYTES = 16;

const macOf = (secret: string, body: string): Buffer =>
  createHmac('sha256', secret).update(body).digest().subarray(0, MAC_BYTES);

const isSameMac = (mac: Buffer, expected: Buffer): boolean =>
  mac.length === expected.length && timingSafeEqual(mac, expected);

/** Encodes a token as `service:term/offset:mac`. */
export function encodeToken(
  secret: string,
  service: string,
  floor: Position,
): string {
  const body = `${service}:${formatPosition(floor)}`;
  return `${body}:${macOf(secret, body).toString('base64url')}`;
}

/**
 * Decodes a token for `service` that was signed with any of the secrets; fails
 * if the MAC is invalid or the token is for another service.
 */
export function decodeToken(
  secrets: readonly string[],
  service: string,
  text: string,
): Result<Position, Failure> {
  const macSeparator = text.lastIndexOf(':');
  const body = text.slice(0, Math.max(macSeparator, 0));
  const mac = Buffer.from(text.slice(macSeparator + 1), 'base64url');
  if (!secrets.some(secret => isSameMac(mac, macOf(secret, body)))) {
    return err(failure('token_invalid', 'session token is not authentic'));
  }
  const positionSeparator = body.lastIndexOf(':');
  const position = parsePosition(body.slice(positionSeparator + 1));
  if (body.slice(0, positionSeparator) !== service || !position) {
    return err(
      failure('token_invalid', `session token is not for service ${service}`),
    );
  }
  return ok(position);
}
