/** Questions to a database on connections of their own. */
import {PositionSample} from '../core/routing.js';
import {Fault} from '../core/work.js';
import {DatabaseLink, LinkTarget} from './database_link.js';
import {DatabaseCodec} from './wire_types.js';

/** Name under which a front asks for itself. */
export const INTERNAL_CUSTOMER = 'mustardpass';

const PROBE_TIMEOUT_MS = 600;

/** Whether the database answers a new connection, if only by refusing it. */
export function probeDatabase(
  target: LinkTarget,
  codec: DatabaseCodec,
): Promise<boolean> {
  return new Promise(resolve => {
    const link = DatabaseLink.open(
      target,
      codec,
      fault => {
        resolve(fault === undefined || fault === Fault.tooMany);
        link?.close();
      },
      () => undefined,
      PROBE_TIMEOUT_MS,
    );
  });
}

/**
 * The position of a database that leads: it alone opens a plain transaction.
 * Undefined when it does not lead or does not answer.
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
