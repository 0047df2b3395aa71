/**
 * Mutual authentication between VMs: TLS with a key derived from the fleet's
 * secret. Several secrets may be accepted at once, so that one can be replaced
 * without a gap; the first is the one offered.
 */
import {createHash} from 'node:crypto';
import {TlsOptions} from 'node:tls';
import {ConnectionOptions} from 'node:tls';

const CIPHERS = 'ECDHE-PSK-CHACHA20-POLY1305:PSK-AES256-GCM-SHA384';
const IDENTITY_LENGTH = 16;

const keyOf = (secret: string): Buffer =>
  createHash('sha256').update(`mustardpass-peer\0${secret}`).digest();

/** The public name of a secret: a digest of the derived key. */
const identityOf = (secret: string): string =>
  createHash('sha256')
    .update(keyOf(secret))
    .digest('hex')
    .slice(0, IDENTITY_LENGTH);

const COMMON = {
  ciphers: CIPHERS,
  minVersion: 'TLSv1.2',
  maxVersion: 'TLSv1.2',
  ALPNProtocols: ['h2'],
} as const;

/** TLS options of the listening side. */
export function serverTls(secrets: readonly string[]): TlsOptions {
  const keys = new Map(
    secrets.map(secret => [identityOf(secret), keyOf(secret)]),
  );
  return {
    ...COMMON,
    ALPNProtocols: [...COMMON.ALPNProtocols],
    pskCallback: (_socket, identity) => keys.get(identity) ?? null,
  };
}

/** TLS options of the connecting side. */
export function clientTls(secrets: readonly string[]): ConnectionOptions {
  const [secret] = secrets;
  return {
    ...COMMON,
    ALPNProtocols: [...COMMON.ALPNProtocols],
    checkServerIdentity: () => undefined,
    pskCallback: () => ({psk: keyOf(secret), identity: identityOf(secret)}),
  };
}
