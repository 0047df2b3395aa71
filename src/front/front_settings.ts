/** Settings of a front: its VM, its addresses and those of the platform. */
import {Place} from '../core/placement.js';
import {WarmUpTolerance} from '../core/warm_up.js';

/** A host and port to listen on or to connect to. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Default of `FrontSettings.evacuateMs`. */
export const DEFAULT_EVACUATE_MS = 5_000;
/** Default of `FrontSettings.drainMs`. */
export const DEFAULT_DRAIN_MS = 7_000;

const MAX_PORT = 65_535;

/** Whether a value is a port that something can listen on. */
export const isPort = (value: unknown): value is number =>
  Number.isInteger(value) && Number(value) >= 1 && Number(value) <= MAX_PORT;

export interface FrontSettings {
  readonly vm: string;
  /** Address of this VM for other fronts. */
  readonly host: string;
  readonly place: Place;
  readonly regionOfZone: ReadonlyMap<string, string>;
  readonly callerAddress: Address;
  readonly readyAddress: Address;
  readonly peerPort: number;
  readonly storeAddress: Address;
  /** Shortest duration of a lease that the store grants. */
  readonly minLeaseMs: number;
  /** Address of the platform's service that executes promotions. */
  readonly promotionAddress: Address;
  /** Interval at which databases renew their entries. */
  readonly heartbeatIntervalMs: number;
  /**
   * Time after the withdrawal of a customer's key from which no front may
   * accept it.
   */
  readonly keyRevocationMs: number;
  /**
   * Time after an operator began to evacuate a zone from which no request
   * reaches a database there; `DEFAULT_EVACUATE_MS` if undefined.
   */
  readonly evacuateMs?: number;
  /**
   * Time after a database announced that it leaves from which no new work
   * reaches it; `DEFAULT_DRAIN_MS` if undefined.
   */
  readonly drainMs?: number;
  /** Time from the stop request until the process is killed. */
  readonly shutdownGraceMs: number;
  /**
   * Whether the platform rejects outdated orders and fences outdated primaries.
   */
  readonly isFenced: boolean;
  /** Whether no front of the fleet has run before this start. */
  readonly isFirstStart: boolean;
  /** By how much requests to a cold database may exceed its rate. */
  readonly warmUpTolerance?: WarmUpTolerance;
}
