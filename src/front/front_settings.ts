/** What a front has to know of its VM and its surroundings. */
import {Place} from '../core/placement.js';

/** Where something listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Settings of one front. */
export interface FrontSettings {
  readonly vm: string;
  /** Address of this VM, for its peers. */
  readonly host: string;
  readonly place: Place;
  readonly regionOfZone: ReadonlyMap<string, string>;
  readonly callerAddress: Address;
  readonly readyAddress: Address;
  readonly peerPort: number;
  readonly storeAddress: Address;
  readonly minLeaseMs: number;
  /** Where promotions are ordered. */
  readonly promotionAddress: Address;
  /** Interval at which databases renew their entries. */
  readonly heartbeatIntervalMs: number;
  /** Time within which a withdrawn key must have ended. */
  readonly keyRevocationMs: number;
  /** Time from the request to stop until the process is killed. */
  readonly shutdownGraceMs: number;
  /** Whether the platform refuses orders and primaries that are outdated. */
  readonly isFenced: boolean;
}
