/**
 * Control statements for a single database: status, pause, resume, step down.
 */
import {KnownDatabase} from '../core/directory.js';
import {INTERNAL_CUSTOMER} from '../core/front_config.js';
import {DatabaseLink} from './database_link.js';
import {
  DatabaseCodec,
  DatabaseReport,
  InternalStatement,
} from './wire_types.js';

const ORDER_TIMEOUT_MS = 700;

/**
 * Opens a connection, runs one statement and closes. Resolves to undefined when
 * the connection or the statement fails. `mayRun` is called just before the
 * statement is sent; if it returns false, the statement is not sent.
 */
export function runControlStatement(
  entry: KnownDatabase,
  codec: DatabaseCodec,
  statement: InternalStatement,
  mayRun: () => boolean = () => true,
  timeoutMs = ORDER_TIMEOUT_MS,
): Promise<DatabaseReport | undefined> {
  return new Promise(resolve => {
    const finish = (report: DatabaseReport | undefined): void => {
      clearTimeout(timer);
      resolve(report);
      link.close();
    };
    const timer = setTimeout(() => finish(undefined), timeoutMs);
    const {host, port, service, id} = entry;
    const link = DatabaseLink.open(
      {host, port, service, customer: INTERNAL_CUSTOMER, instance: id},
      codec,
      fault => {
        if (fault !== undefined || !mayRun()) return finish(undefined);
        link.run([codec.internalStatement(statement)], (_, answer) =>
          finish(
            answer.ok ? codec.parseReport(answer.rows[0] ?? '') : undefined,
          ),
        );
      },
      () => finish(undefined),
      timeoutMs,
    );
  });
}

/** Queries a database for whether it is the primary. */
export async function reportsLead(
  entry: KnownDatabase,
  codec: DatabaseCodec,
): Promise<boolean> {
  const report = await runControlStatement(entry, codec, {kind: 'status'});
  return report?.isLeader === true;
}
