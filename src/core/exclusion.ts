import {KnownDatabase} from './directory.js';

/** Why a database may not serve a request at present. */
export const Exclusion = {
  /** It is outside the home regions of the request's route or customer. */
  homes: 'homes',
  /** Its zone is being evacuated. */
  evacuated: 'evacuated',
  /** It has been leaving for too long to get new work. */
  drained: 'drained',
} as const;
export type Exclusion = (typeof Exclusion)[keyof typeof Exclusion];

/**
 * Time by which a database gets no new work before the platform's limit: this
 * front learns late that the database leaves, and work takes time to arrive.
 */
const DRAIN_MARGIN_MS = 2_500;

/**
 * Whether a database has been leaving for too long to get new work, where the
 * platform allows it for `drainMs`. That matters for a primary without a
 * successor; replicas that leave get no work at all.
 */
export const isDrained = (
  {leavingSinceMs}: KnownDatabase,
  nowMs: number,
  drainMs: number,
): boolean =>
  leavingSinceMs !== undefined &&
  nowMs - leavingSinceMs >= Math.max(0, drainMs - DRAIN_MARGIN_MS);
