/** State, events, effects and rules of a failover; see `failover.ts`. */
import {majorityOf} from './ack.js';
import {comparePositions, DatabaseStatus, logEnd} from './position.js';

/** Stage of a failover. */
export type Phase =
  | {readonly name: 'steady'}
  /** Asking other VMs whether they reach the primary. */
  | {
      readonly name: 'checking';
      readonly sinceMs: number;
      readonly asked: number;
      readonly votes: ReadonlyMap<string, boolean>;
    }
  /** Raising the databases to a term of our own. */
  | {
      readonly name: 'raising';
      readonly sinceMs: number;
      readonly term: number;
      readonly granted: ReadonlyMap<string, DatabaseStatus>;
      /** A primary cut off from its replicas, not to be promoted again. */
      readonly avoided: string | undefined;
    }
  | {
      readonly name: 'promoting';
      readonly sinceMs: number;
      readonly term: number;
      readonly target: string;
    };

/** What is known of one database. */
export interface StatusReport {
  readonly status: DatabaseStatus;
  readonly answeredAtMs: number;
}

/** Times that pace a failover. */
export interface FailoverTimeouts {
  /** Silence after which the primary is suspected. */
  readonly suspectAfterMs: number;
  /** Wait for other VMs' votes. */
  readonly voteWaitMs: number;
  /** Wait for raise and promote before trying again with a higher term. */
  readonly stageWaitMs: number;
  /** Time a replica may stay on a term above the primary's. */
  readonly strandedAfterMs: number;
}

/** State of one group's failover at one VM. Immutable. */
export interface FailoverState {
  readonly claimant: string;
  readonly databases: readonly string[];
  readonly times: FailoverTimeouts;
  readonly phase: Phase;
  readonly known: ReadonlyMap<string, StatusReport>;
  /** Highest term seen or claimed. */
  readonly term: number;
  /** When a usable primary last answered. */
  readonly primarySeenAtMs: number;
  /**
   * Since when a database has been on a term above the usable primary's, as a
   * claimant that died early leaves it: it cannot replicate any more.
   */
  readonly strandedSinceMs: number | undefined;
  /** Databases promoted only when none that stays is as advanced. */
  readonly leaving: ReadonlySet<string>;
}

/** What happened. */
export type FailoverEvent =
  | {
      readonly type: 'status';
      readonly status: DatabaseStatus;
      readonly nowMs: number;
    }
  | {
      readonly type: 'vote';
      readonly observer: string;
      readonly reachable: boolean;
      readonly nowMs: number;
    }
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
  /** The primary is leaving and a staying database holds all its log. */
  | {readonly type: 'handOver'; readonly nowMs: number}
  /** The primary answers, but none of its replicas receives its log. */
  | {readonly type: 'evict'; readonly nowMs: number}
  | {readonly type: 'leaving'; readonly databases: readonly string[]}
  /** `observers`: VMs that can be asked, this one included. */
  | {
      readonly type: 'tick';
      readonly observers: readonly string[];
      readonly nowMs: number;
    };

/** What to do. */
export type FailoverEffect =
  | {
      readonly type: 'askObservers';
      readonly database: string;
      readonly observers: readonly string[];
    }
  | {readonly type: 'raise'; readonly database: string; readonly term: number}
  | {readonly type: 'promote'; readonly database: string; readonly term: number}
  | {
      readonly type: 'follow';
      readonly database: string;
      readonly term: number;
      readonly primary: string;
    };

/** New state and what to do. */
export interface FailoverStep {
  readonly state: FailoverState;
  readonly effects: readonly FailoverEffect[];
}

/** Rules that tests weaken to prove that each of them matters. */
export interface FailoverRules {
  /** Grants needed out of `count` databases. */
  readonly grantsNeeded: (count: number) => number;
  /** The database to promote among those that granted. */
  readonly choose: (
    granted: readonly DatabaseStatus[],
    leaving: ReadonlySet<string>,
  ) => string;
  /** The term to claim after `highest`. */
  readonly nextTerm: (highest: number) => number;
}

function mostAdvanced(
  granted: readonly DatabaseStatus[],
  leaving: ReadonlySet<string>,
): string {
  const better = (a: DatabaseStatus, b: DatabaseStatus): boolean => {
    const order = comparePositions(logEnd(a), logEnd(b));
    if (order !== 0) return order > 0;
    return leaving.has(b.database) && !leaving.has(a.database);
  };
  return granted.reduce((best, status) =>
    better(status, best) ? status : best,
  ).database;
}

/** The rules in force. */
export const SAFE_RULES: FailoverRules = {
  grantsNeeded: majorityOf,
  choose: mostAdvanced,
  nextTerm: highest => highest + 1,
};

export const DEFAULT_FAILOVER_TIMEOUTS: FailoverTimeouts = {
  suspectAfterMs: 700,
  voteWaitMs: 500,
  stageWaitMs: 600,
  strandedAfterMs: 3_000,
};

export const STEADY: Phase = {name: 'steady'};

/** Starting state. */
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
