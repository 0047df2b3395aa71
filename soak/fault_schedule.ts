/** Draws the faults of a run from its seed. */
import {
  PRIMARY_ODDS,
  PRIMARY_PAUSE_MS,
  PrimaryFaultKind,
} from './primary_fault_kinds.js';
import {Random} from './random.js';

/** What happens to a front, a database or an entry of the store. */
export const FaultKind = {
  /** SIGKILL; the front starts again at once. */
  kill: 'kill',
  /** The same, and again after `durationMs`, so that the process is young. */
  killTwice: 'kill_twice',
  /** SIGTERM; the front starts again once the process has ended. */
  terminate: 'terminate',
  /** SIGSTOP, then SIGCONT. */
  freeze: 'freeze',
  /** The connections that other fronts opened to a front are closed. */
  cutPeers: 'cut_peers',
  /** These connections go silent for good, but stay open; new ones work. */
  silencePeers: 'silence_peers',
  /** All connections of a database are closed. */
  cutDatabase: 'cut_database',
  /** A database neither reads nor answers. */
  silenceDatabase: 'silence_database',
  /** A database crashes and comes back under its id. */
  restartDatabase: 'restart_database',
  /** A database's entry is missing from the store. */
  removeEntry: 'remove_entry',
  /** A front's entry is removed from the store; it registers itself again. */
  removeFrontEntry: 'remove_front_entry',
  /** A spare front joins and leaves, so that holders change twice. */
  addFront: 'add_front',
  /** As `kill`, of the front that holds the coordinator lease. */
  killHolder: 'kill_holder',
  /** As `freeze`, of the front that holds the coordinator lease. */
  freezeHolder: 'freeze_holder',
  /** The primary of the database's service neither reads nor answers. */
  silencePrimary: 'silence_primary',
  /** The replicas of the database's service neither read nor answer. */
  silenceReplicas: 'silence_replicas',
  /** A database fails every statement while it reports itself healthy. */
  failDatabase: 'fail_database',
  /** As `fail_database`, of the primary of the database's service. */
  failPrimary: 'fail_primary',
  /** The replicas of the database's service stop replaying their logs. */
  lagReplicas: 'lag_replicas',
  /** The platform neither executes nor answers promotion orders. */
  losePromotions: 'lose_promotions',
  /** The platform executes promotion orders late and does not answer. */
  delayPromotions: 'delay_promotions',
  /** The store refuses all calls. */
  busyStore: 'busy_store',
  /** The store answers no call. */
  silentStore: 'silent_store',
  /** The zone of a database is evacuated for a while. */
  evacuate: 'evacuate',
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** A fault at a time of the run; `target` counts fronts, databases or services. */
export interface ScheduledFault {
  readonly atMs: number;
  readonly kind: FaultKind | PrimaryFaultKind;
  readonly target: number;
  readonly durationMs: number;
  /** Seed of what else is drawn for a fault of a service. */
  readonly choice?: number;
}

export interface FaultOdds {
  readonly kind: FaultKind | PrimaryFaultKind;
  readonly weight: number;
  readonly of: 'fronts' | 'databases' | 'spares' | 'services';
  readonly durationMs: readonly [number, number];
}

const ODDS: readonly FaultOdds[] = [
  {kind: 'kill', weight: 4, of: 'fronts', durationMs: [0, 0]},
  {kind: 'kill_twice', weight: 6, of: 'fronts', durationMs: [900, 3_000]},
  {kind: 'terminate', weight: 2, of: 'fronts', durationMs: [0, 0]},
  {kind: 'freeze', weight: 3, of: 'fronts', durationMs: [100, 2_500]},
  {kind: 'cut_peers', weight: 2, of: 'fronts', durationMs: [0, 0]},
  {kind: 'silence_peers', weight: 2, of: 'fronts', durationMs: [0, 0]},
  {kind: 'cut_database', weight: 2, of: 'databases', durationMs: [0, 0]},
  {
    kind: 'silence_database',
    weight: 1,
    of: 'databases',
    durationMs: [200, 1_500],
  },
  {
    kind: 'restart_database',
    weight: 1,
    of: 'databases',
    durationMs: [50, 1_500],
  },
  {
    kind: 'remove_entry',
    weight: 2,
    of: 'databases',
    durationMs: [1_000, 4_000],
  },
  {kind: 'remove_front_entry', weight: 1, of: 'fronts', durationMs: [0, 0]},
  {kind: 'add_front', weight: 2, of: 'spares', durationMs: [2_000, 5_000]},
  {kind: 'kill_holder', weight: 2, of: 'fronts', durationMs: [0, 0]},
  {kind: 'freeze_holder', weight: 2, of: 'fronts', durationMs: [500, 4_000]},
  {
    kind: 'silence_primary',
    weight: 3,
    of: 'databases',
    durationMs: [600, 3_000],
  },
  {
    kind: 'silence_replicas',
    weight: 1,
    of: 'databases',
    durationMs: [300, 2_500],
  },
  {
    kind: 'lose_promotions',
    weight: 2,
    of: 'fronts',
    durationMs: [1_000, 6_000],
  },
  {
    kind: 'delay_promotions',
    weight: 1,
    of: 'fronts',
    durationMs: [1_000, 4_000],
  },
  {
    kind: 'fail_database',
    weight: 2,
    of: 'databases',
    durationMs: [500, 4_000],
  },
  {
    kind: 'fail_primary',
    weight: 2,
    of: 'databases',
    durationMs: [1_500, 7_000],
  },
  {
    kind: 'lag_replicas',
    weight: 2,
    of: 'databases',
    durationMs: [1_000, 7_000],
  },
  {kind: 'busy_store', weight: 1, of: 'fronts', durationMs: [500, 4_000]},
  {kind: 'silent_store', weight: 1, of: 'fronts', durationMs: [500, 3_000]},
  {kind: 'evacuate', weight: 3, of: 'databases', durationMs: [1_000, 9_000]},
];
/** Pause between two faults, which may overlap. */
const PAUSE_MS = [200, 1_400] as const;

/** Named sets of faults. */
export const FaultSet = {
  /** Single faults of processes, databases and the store. */
  single: 'single',
  /** Faults around changes of primary, with the times of a site. */
  primary: 'primary',
} as const;
export type FaultSet = (typeof FaultSet)[keyof typeof FaultSet];

const SETS: Readonly<
  Record<
    FaultSet,
    {
      readonly odds: readonly FaultOdds[];
      readonly pauseMs: readonly [number, number];
    }
  >
> = {
  single: {odds: ODDS, pauseMs: PAUSE_MS},
  primary: {odds: PRIMARY_ODDS, pauseMs: PRIMARY_PAUSE_MS},
};
const MAX_CHOICE = 1_000_000;

/** How many targets there are of each sort. */
export interface FaultTargets {
  readonly fronts: number;
  readonly databases: number;
  readonly spares: number;
  readonly services: number;
}

/** Returns the faults of a run, by time; only those of `kinds` if given. */
export function drawSchedule(
  seed: number,
  lengthMs: number,
  targets: FaultTargets,
  kinds?: readonly string[],
  set: FaultSet = FaultSet.single,
): ScheduledFault[] {
  const random = Random.create(seed);
  const {odds: all, pauseMs} = SETS[set];
  const bag = all
    .filter(({kind}) => kinds?.includes(kind) ?? true)
    .flatMap(odds => new Array<FaultOdds>(odds.weight).fill(odds));
  const faults: ScheduledFault[] = [];
  let atMs = 0;
  for (;;) {
    atMs += random.between(...pauseMs);
    if (atMs >= lengthMs) return faults;
    const {kind, of, durationMs} = random.pick(bag);
    const fault = {
      atMs,
      kind,
      target: random.between(0, targets[of] - 1),
      durationMs: random.between(...durationMs),
    };
    const isOfService = of === 'services';
    faults.push(
      isOfService ? {...fault, choice: random.between(1, MAX_CHOICE)} : fault,
    );
  }
}
