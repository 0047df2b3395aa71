/** Requests of the front itself to a database, each on a new connection. */
import {PositionSample} from '../core/routing.js';
import {Fault} from '../core/work.js';
import {DatabaseLink, LinkTarget} from './database_link.js';
import {DatabaseCodec} from './wire_types.js';

const PROBE_TIMEOUT_MS = 600;

/**
 * Resolves to whether the database answers a new connection. Refusing it
 * because of too many connections counts as an answer. Calls `onRefused` if the
 * database refuses or closes the connection otherwise.
 */
export function probeDatabase(
  target: LinkTarget,
  codec: DatabaseCodec,
  onRefused: () => void = () => undefined,
): Promise<boolean> {
  return new Promise(resolve => {
    const link = DatabaseLink.open(
      target,
      codec,
      fault => {
        resolve(fault === undefined || fault === Fault.tooMany);
        link?.close();
      },
      ({isClosedByPeer}) => isClosedByPeer && onRefused(),
      PROBE_TIMEOUT_MS,
    );
  });
}

/**
 * Takes a position sample of a primary, from its answer to a read-write BEGIN.
 * Resolves to undefined if the database isn't primary or does not answer.
 */
export function samplePosition(
  target: LinkTarget,
  codec: DatabaseCodec,
): Promise<PositionSample | undefined> {
  return new Promise(resolve => {
    const link = DatabaseLink.open(
      target,
      codec,
      fault => {
        if (fault !== undefined) return resolve(undefined);
        const atMs = performance.now();
        const begin = codec.internalStatement({kind: 'begin', readOnly: false});
        link.run([begin], (_, {ok, position}) => {
          resolve(ok && position ? {atMs, position} : undefined);
          link.close('done');
        });
      },
      () => resolve(undefined),
    );
  });
}
