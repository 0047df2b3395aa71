/** State, events, effects and rules of a failover election (`failover.ts`). */
import {majorityOf} from './ack.js';
import {comparePositions, DatabaseStatus, logEnd} from './position.js';

/** Stage of a failover election. */
export type Phase =
  /** No check of the primary and no election is in progress. */
  | {readonly name: 'steady'}
  /** Other VMs have been asked whether they reach the primary. */
  | {
      readonly name: 'checking';
      readonly sinceMs: number;
      /** Number of VMs that were asked. */
      readonly asked: number;
      readonly votes: ReadonlyMap<string, boolean>;
    }
  /** The databases have been asked to grant this claimant's term. */
  | {
      readonly name: 'raising';
      readonly sinceMs: number;
      readonly term: number;
      readonly granted: ReadonlyMap<string, DatabaseStatus>;
      /**
       * The old primary if its replicas cannot reach it, and it must not be
       * promoted again; else undefined.
       */
      readonly avoided: string | undefined;
    }
  /** A database has been requested to become the primary of the term. */
  | {
      readonly name: 'promoting';
      readonly sinceMs: number;
      readonly term: number;
      readonly target: string;
    };

/** The latest status of one database and when it was received. */
export interface StatusReport {
  readonly status: DatabaseStatus;
  readonly answeredAtMs: number;
}

export interface FailoverTimeouts {
  /** Time without an answer after which the primary is suspected. */
  readonly suspectAfterMs: number;
  /** Longest wait for the votes of other VMs. */
  readonly voteWaitMs: number;
  /** Longest wait for grants or a promotion before claiming a higher term. */
  readonly stageWaitMs: number;
  /**
   * How long a database may have a higher term than the primary before a new
   * term is claimed.
   */
  readonly strandedAfterMs: number;
}

/**
 * State of the failover election of one database group at one VM. Immutable.
 */
export interface FailoverState {
  readonly claimant: string;
  readonly databases: readonly string[];
  readonly times: FailoverTimeouts;
  readonly phase: Phase;
  /** The latest status of each database, by name. */
  readonly known: ReadonlyMap<string, StatusReport>;
  /** Highest term reported or claimed. */
  readonly term: number;
  /** When a usable primary last answered. */
  readonly primarySeenAtMs: number;
  /**
   * When a database was first seen with a higher term than the usable primary;
   * undefined if there is none, and reset when a term is claimed. A claimant
   * that stops during an election leaves such a database behind, which can no
   * longer replicate from the primary.
   */
  readonly strandedSinceMs: number | undefined;
  /**
   * Databases that are being removed from service; promoted only if no other
   * database has as long a log.
   */
  readonly leaving: ReadonlySet<string>;
}

/** Input of the state machine: an answer, an observation or the clock. */
export type FailoverEvent =
  | {
      readonly type: 'status';
      readonly status: DatabaseStatus;
      readonly nowMs: number;
    }
  /** Whether a VM, which may be this one, reaches the primary. */
  | {
      readonly type: 'vote';
      readonly observer: string;
      readonly reachable: boolean;
      readonly nowMs: number;
    }
  /** A database's answer to `raise`: whether it granted the term. */
  | {
      readonly type: 'raised';
      readonly database: string;
      readonly term: number;
      readonly granted: boolean;
      readonly status: DatabaseStatus;
      readonly nowMs: number;
    }
  | {
      readonly type: 'promoted';
      readonly term: number;
      readonly granted: boolean;
      readonly nowMs: number;
    }
  /**
   * The primary is being removed from service, and a database that stays has
   * its complete log.
   */
  | {readonly type: 'handOver'; readonly nowMs: number}
  /** The primary is reachable, but no replica receives its log. */
  | {readonly type: 'evict'; readonly nowMs: number}
  | {readonly type: 'leaving'; readonly databases: readonly string[]}
  /** `observers`: VMs that can be asked for a vote, including this one. */
  | {
      readonly type: 'tick';
      readonly observers: readonly string[];
      readonly nowMs: number;
    };

/** Requests that the caller must send. */
export type FailoverEffect =
  | {
      readonly type: 'askObservers';
      readonly database: string;
      readonly observers: readonly string[];
    }
  /** Requests that a database grant a term. */
  | {readonly type: 'raise'; readonly database: string; readonly term: number}
  | {readonly type: 'promote'; readonly database: string; readonly term: number}
  | {
      readonly type: 'follow';
      readonly database: string;
      readonly term: number;
      readonly primary: string;
    };

/** The new state and the effects to carry out. */
export interface FailoverStep {
  readonly state: FailoverState;
  readonly effects: readonly FailoverEffect[];
}

/** Safety rules. The model check weakens each one to show that it is needed. */
export interface FailoverRules {
  /** Number of grants needed from `count` databases. */
  readonly grantsNeeded: (count: number) => number;
  /** Chooses the database to promote among those that granted the term. */
  readonly choose: (
    granted: readonly DatabaseStatus[],
    leaving: ReadonlySet<string>,
  ) => string;
  /** Returns the term to claim when `highest` is the highest known term. */
  readonly nextTerm: (highest: number) => number;
}

function mostAdvancedDatabase(
  granted: readonly DatabaseStatus[],
  leaving: ReadonlySet<string>,
): string {
  const isBetter = (a: DatabaseStatus, b: DatabaseStatus): boolean => {
    const order = comparePositions(logEnd(a), logEnd(b));
    if (order !== 0) return order > 0;
    return leaving.has(b.database) && !leaving.has(a.database);
  };
  return granted.reduce((best, status) =>
    isBetter(status, best) ? status : best,
  ).database;
}

/** The rules used in production. */
export const SAFE_RULES: FailoverRules = {
  grantsNeeded: majorityOf,
  choose: mostAdvancedDatabase,
  nextTerm: highest => highest + 1,
};

export const DEFAULT_FAILOVER_TIMEOUTS: FailoverTimeouts = {
  suspectAfterMs: 700,
  voteWaitMs: 500,
  stageWaitMs: 600,
  strandedAfterMs: 3_000,
};

export const STEADY: Phase = {name: 'steady'};

/** Returns the initial state: steady, with no known primary. */
export const createFailoverState = (options: {
  claimant: string;
  databases: readonly string[];
  times: FailoverTimeouts;
  nowMs: number;
}): FailoverState => ({
  claimant: options.claimant,
  databases: options.databases,
  times: options.times,
  phase: STEADY,
  known: new Map(),
  term: 0,
  primarySeenAtMs: options.nowMs,
  strandedSinceMs: undefined,
  leaving: new Set(),
});
