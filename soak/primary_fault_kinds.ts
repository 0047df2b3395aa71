/** Faults around changes of primary, in which several things go wrong at once. */
import {FaultOdds} from './fault_schedule.js';

/** What happens to a service; its effects are drawn from `choice`. */
export const PrimaryFaultKind = {
  /**
   * One replica alone has the newest commits; then something happens to it and
   * something to the primary.
   */
  soleHolder: 'sole_holder',
  /**
   * The primary is out of sight; while it is being replaced, databases join,
   * restart, lapse, orders are late or the lease's holder is lost.
   */
  disturbedChange: 'disturbed_change',
  /**
   * A front is cut off from the store and the other fronts, but not from the
   * databases, while the primary is out of the others' sight for a moment or
   * leaves, and replicas restart and join.
   */
  isolatedFront: 'isolated_front',
  /**
   * The primary and the only replica that has the newest commits are out of the
   * fronts' sight for a while.
   */
  cutPair: 'cut_pair',
  leaveReplica: 'leave_replica',
  leavePrimary: 'leave_primary',
  joinReplica: 'join_replica',
  lapseReplica: 'lapse_replica',
  deafReplica: 'deaf_replica',
  crashReplica: 'crash_replica',
  restartEmpty: 'restart_empty',
  cutReplication: 'cut_replication',
  darkPrimary: 'dark_primary',
  crashPrimary: 'crash_primary',
  cutSomeFronts: 'cut_some_fronts',
  cutAllFronts: 'cut_all_fronts',
  /** Orders are carried out 2 to 12 s late, with or without an answer. */
  lateOrders: 'late_orders',
  /** A front is cut off from the store. */
  cutStore: 'cut_store',
} as const;
export type PrimaryFaultKind =
  (typeof PrimaryFaultKind)[keyof typeof PrimaryFaultKind];

const of = 'services';

export const PRIMARY_ODDS: readonly FaultOdds[] = [
  {kind: 'sole_holder', weight: 8, of, durationMs: [0, 0]},
  {kind: 'disturbed_change', weight: 6, of, durationMs: [0, 0]},
  {kind: 'isolated_front', weight: 4, of, durationMs: [2_500, 6_000]},
  {kind: 'cut_pair', weight: 3, of, durationMs: [3_000, 8_000]},
  {kind: 'leave_replica', weight: 1, of, durationMs: [2_000, 7_000]},
  {kind: 'leave_primary', weight: 2, of, durationMs: [3_000, 7_000]},
  {kind: 'join_replica', weight: 1, of, durationMs: [0, 0]},
  {kind: 'lapse_replica', weight: 1, of, durationMs: [2_000, 9_000]},
  {kind: 'deaf_replica', weight: 1, of, durationMs: [2_000, 7_000]},
  {kind: 'crash_replica', weight: 1, of, durationMs: [500, 5_000]},
  {kind: 'restart_empty', weight: 1, of, durationMs: [300, 2_000]},
  {kind: 'cut_replication', weight: 1, of, durationMs: [1_000, 7_000]},
  {kind: 'dark_primary', weight: 2, of, durationMs: [3_000, 12_000]},
  {kind: 'crash_primary', weight: 1, of, durationMs: [1_000, 8_000]},
  {kind: 'cut_some_fronts', weight: 1, of, durationMs: [1_000, 6_000]},
  {kind: 'cut_all_fronts', weight: 1, of, durationMs: [1_000, 6_000]},
  {kind: 'late_orders', weight: 1, of, durationMs: [2_000, 8_000]},
  {kind: 'cut_store', weight: 1, of, durationMs: [1_000, 8_000]},
  {kind: 'silent_store', weight: 1, of: 'fronts', durationMs: [500, 4_000]},
  {kind: 'kill_holder', weight: 1, of: 'fronts', durationMs: [0, 0]},
  {kind: 'freeze_holder', weight: 1, of: 'fronts', durationMs: [500, 4_000]},
  {kind: 'freeze', weight: 2, of: 'fronts', durationMs: [500, 4_000]},
  {kind: 'kill', weight: 1, of: 'fronts', durationMs: [0, 0]},
];
/** Pause between two faults, which may overlap. */
export const PRIMARY_PAUSE_MS = [800, 4_000] as const;
