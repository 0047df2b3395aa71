/**
 * The open transactions of one process that have a database connection to
 * themselves. A statement names its lane and its transaction; both must match.
 */
import {WorkOrigin} from './process_ids.js';

/** Separates the holder's VM from the lane's id, which does not contain it. */
const LANE_SEPARATOR = '|';

export const formatLaneName = (holder: string, lane: string): string =>
  `${holder}${LANE_SEPARATOR}${lane}`;

/**
 * Splits the name of a lane; the holder is empty if the name is a mere id. The
 * name of a VM may contain the separator.
 */
export function parseLaneName(name: string): {holder: string; lane: string} {
  const at = name.lastIndexOf(LANE_SEPARATOR);
  return {holder: name.slice(0, Math.max(0, at)), lane: name.slice(at + 1)};
}

/** A transaction's exclusive use of a connection. */
export interface OpenLane {
  /** Unique among all processes and workers, those before a restart included. */
  readonly id: string;
  /** Transaction for which it was opened; undefined if its front tells none. */
  readonly transaction: string | undefined;
  /** Where its newest statement came from. */
  origin: WorkOrigin;
}

/** Why a statement may not run in the lane that it names. */
export const LaneRefusal = {
  /** No such lane is open: it has ended, or another process had opened it. */
  notOpen: 'not_open',
  /** The lane was opened for another transaction. */
  otherTransaction: 'other_transaction',
  /** The lane's connection was opened for another customer. */
  otherCustomer: 'other_customer',
} as const;
export type LaneRefusal = (typeof LaneRefusal)[keyof typeof LaneRefusal];

/** Result of looking for the lane of a statement. */
export type LaneLookup<L extends OpenLane> =
  | {readonly lane: L; readonly refusal: undefined}
  | {readonly lane: undefined; readonly refusal: LaneRefusal};

/** The lanes that are open on one database's connections. */
export class Lanes<L extends OpenLane> {
  private readonly lanes = new Map<string, L>();

  private constructor() {}

  static create<L extends OpenLane>(): Lanes<L> {
    return new Lanes<L>();
  }

  get size(): number {
    return this.lanes.size;
  }

  /** The open lanes, in the order in which they were opened. */
  get all(): L[] {
    return [...this.lanes.values()];
  }

  add(lane: L): void {
    this.lanes.set(lane.id, lane);
  }

  delete(lane: L): void {
    this.lanes.delete(lane.id);
  }

  get(id: string | undefined): L | undefined {
    return id === undefined ? undefined : this.lanes.get(id);
  }

  /**
   * Returns the lanes whose newest statement came over a connection between
   * fronts. Their caller's front may have reconnected for other lanes, or
   * another process of that VM has opened them.
   */
  of(connection: string): L[] {
    return this.all.filter(lane => lane.origin.connection === connection);
  }

  /**
   * Returns the lane in which a statement of a transaction may run, and records
   * where the statement came from.
   */
  find(
    id: string | undefined,
    transaction: string | undefined,
    origin: WorkOrigin,
  ): LaneLookup<L> {
    const lane = this.get(id);
    if (!lane) return {lane, refusal: LaneRefusal.notOpen};
    if (lane.transaction !== transaction) {
      return {lane: undefined, refusal: LaneRefusal.otherTransaction};
    }
    lane.origin = origin;
    return {lane, refusal: undefined};
  }
}
