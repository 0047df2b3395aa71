/**
 * Mutual authentication between VMs: TLS with a pre-shared key derived from a
 * secret of the fleet. A server accepts several secrets, so that a secret can
 * be replaced without interruption; a client uses the first.
 */
import {createHash} from 'node:crypto';
import {TlsOptions} from 'node:tls';
import {ConnectionOptions} from 'node:tls';

const CIPHERS = 'ECDHE-PSK-CHACHA20-POLY1305:PSK-AES256-GCM-SHA384';
const IDENTITY_HEX_DIGITS = 16;

const derivePsk = (secret: string): Buffer =>
  createHash('sha256').update(`mustardpass-peer\0${secret}`).digest();

/** Returns the PSK identity of a secret: a digest of the derived key. */
const pskIdentityOf = (secret: string): string =>
  createHash('sha256')
    .update(derivePsk(secret))
    .digest('hex')
    .slice(0, IDENTITY_HEX_DIGITS);

const COMMON_TLS_OPTIONS = {
  ciphers: CIPHERS,
  minVersion: 'TLSv1.2',
  maxVersion: 'TLSv1.2',
  ALPNProtocols: ['h2'],
} as const;

/** Returns the TLS options of a server that accepts all of `secrets`. */
export function serverTls(secrets: readonly string[]): TlsOptions {
  const keys = new Map(
    secrets.map(secret => [pskIdentityOf(secret), derivePsk(secret)]),
  );
  return {
    ...COMMON_TLS_OPTIONS,
    ALPNProtocols: [...COMMON_TLS_OPTIONS.ALPNProtocols],
    pskCallback: (_socket, identity) => keys.get(identity) ?? null,
  };
}

/** Returns the TLS options of a client that uses the first secret. */
export function clientTls(secrets: readonly string[]): ConnectionOptions {
  const [secret] = secrets;
  return {
    ...COMMON_TLS_OPTIONS,
    ALPNProtocols: [...COMMON_TLS_OPTIONS.ALPNProtocols],
    checkServerIdentity: () => undefined,
    pskCallback: () => ({
      psk: derivePsk(secret),
      identity: pskIdentityOf(secret),
    }),
  };
}
