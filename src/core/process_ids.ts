/**
 * Ids that are unique in the fleet and in time. A VM's name stays the same when
 * its process is started again, so a name or a count alone can mean something
 * else in the next process.
 */

/** A process of a VM; two processes of the same VM have different ids. */
export interface ProcessIdentity {
  readonly vm: string;
  /** Random id of the process; empty if the process does not tell it. */
  readonly process: string;
}

/** Where a piece of work came from. */
export interface WorkOrigin extends ProcessIdentity {
  /**
   * Id of the connection over which another front sent it; empty for work of
   * the process itself.
   */
  readonly connection: string;
}

/** Returns a new id on each call. */
export type IdSource = () => string;

/**
 * Creates a source of ids. `process` is the random id of the process; a process
 * has one source, which all its parts share.
 */
export function createIdSource(process: string): IdSource {
  let count = 0;
  return () => `${process}.${++count}`;
}
