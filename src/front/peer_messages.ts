/**
 * Decodes what other fronts send: the parameters of their calls, and their
 * replies to calls of this front. A sender has proved that it belongs to the
 * fleet, but it may run another version, so that each field that is used is
 * checked for its type and range. Nothing is converted.
 */
import {
  isAmount,
  isCount,
  isObject,
  isOneOf,
  isOptional,
  isText,
} from '../core/fields.js';
import {CommitReport} from '../core/commit_positions.js';
import {LoadReport} from '../core/load/database_reports.js';
import {FailingVote} from '../core/load/failing_primary.js';
import {isCommitRule, StoredLeaderRecord} from '../core/leader_record.js';
import {Position} from '../core/position.js';
import {SampleByAge} from '../core/position_samples.js';
import {LentInterval} from '../core/rates.js';
import {RelayedEvent} from '../core/relay.js';
import {
  Access,
  ExecutionMode,
  Fault,
  PreparedStatement,
  Reply,
  RequiredSessionState,
  TransactionState,
  Work,
} from '../core/work.js';
import {LendRequest} from '../proxy/rate_limiter.js';
import {FollowRequest, RelayedChanges} from './change_relay.js';
import {SuspectReport} from './suspect_reporter.js';
import {PauseReport} from './takeover_runner.js';

/** Thrown for a message with a field that cannot be used. */
export class PeerMessageError extends Error {}

/** Longest time that a timer takes. */
const MAX_TIMER_MS = 2 ** 31 - 1;

type Check<T> = (value: unknown) => value is T;

/** Returns a decoder that throws if a value does not pass a check. */
const decoderOf =
  <T>(name: string, check: Check<T>) =>
  (value: unknown): T => {
    if (!check(value)) throw new PeerMessageError(`invalid ${name}`);
    return value;
  };

const isBoolean = (value: unknown): value is boolean =>
  typeof value === 'boolean';

const isArrayOf =
  <T>(check: Check<T>) =>
  (value: unknown): value is T[] =>
    Array.isArray(value) && value.every(check);

const isTimeMs = (value: unknown): value is number =>
  typeof value === 'number' && Math.abs(value) <= MAX_TIMER_MS;

const isPosition = (value: unknown): value is Position =>
  isObject(value) && isCount(value.term) && isCount(value.offset);

const isTextPair = (value: unknown): value is [string, string] =>
  Array.isArray(value) && value.length === 2 && value.every(isText);

const isAccess = isOneOf(Access);
const isMode = isOneOf(ExecutionMode);
const isFault = isOneOf(Fault);
const isState = isOneOf(TransactionState);
const isPauseReport = isOneOf(PauseReport);

const isPrepared = (value: unknown): value is PreparedStatement =>
  isObject(value) &&
  isText(value.name) &&
  isText(value.shape) &&
  (value.access === Access.read || value.access === Access.write);

const isSession = (value: unknown): value is RequiredSessionState =>
  isObject(value) &&
  isArrayOf(isTextPair)(value.values) &&
  isOptional(value.prepared, isPrepared);

const isWork = (value: unknown): value is Work =>
  isObject(value) &&
  isText(value.key) &&
  isText(value.service) &&
  isText(value.database) &&
  isText(value.customer) &&
  isText(value.requestId) &&
  isText(value.text) &&
  isAccess(value.access) &&
  isMode(value.mode) &&
  isOptional(value.lane, isText) &&
  isOptional(value.transaction, isText) &&
  isSession(value.session) &&
  isOptional(value.after, isPosition) &&
  isAmount(value.priority) &&
  isTimeMs(value.budgetMs) &&
  isOptional(value.homes, isArrayOf(isText)) &&
  isOptional(value.remainingObjectiveMs, isTimeMs);

const isLoadReport = (value: unknown): value is LoadReport =>
  isObject(value) &&
  isTimeMs(value.waitMs) &&
  isOptional(value.position, isPosition) &&
  isOptional(value.positionAgeMs, isTimeMs) &&
  isCount(value.failed) &&
  isCount(value.answers);

const isReply = (value: unknown): value is Reply => {
  if (!isObject(value) || !isState(value.state)) return false;
  const hasCommonFields =
    isOptional(value.position, isPosition) &&
    isOptional(value.lane, isText) &&
    isOptional(value.waitMs, isTimeMs) &&
    isOptional(value.report, isLoadReport);
  if (!hasCommonFields) return false;
  if (value.ok === true)
    return isArrayOf(isText)(value.rows) && isText(value.signature);
  return (
    value.ok === false &&
    isFault(value.fault) &&
    isText(value.text) &&
    isOptional(value.retryAfterMs, isTimeMs) &&
    isOptional(value.isCold, isBoolean) &&
    isOptional(value.isPrimaryChanging, isBoolean)
  );
};

const isLentInterval = (value: unknown): value is LentInterval =>
  isObject(value) &&
  isTimeMs(value.oldestAgeMs) &&
  isTimeMs(value.newestAgeMs) &&
  isAmount(value.tokensPerMs);

const isSample = (value: unknown): value is SampleByAge =>
  Array.isArray(value) &&
  value.length === 3 &&
  isTimeMs(value[0]) &&
  isCount(value[1]) &&
  isCount(value[2]);

const hasDatabase = (value: unknown): value is {readonly database: string} =>
  isObject(value) && isText(value.database);

const isRelayedEvent = (value: unknown): value is RelayedEvent => {
  if (!isObject(value) || !isText(value.key) || !isCount(value.revision))
    return false;
  switch (value.kind) {
    case 'put':
    case 'packed':
      return Buffer.isBuffer(value.value);
    default:
      return value.kind === 'removed' || value.kind === 'changed';
  }
};

const isRelayedChanges = (value: unknown): value is RelayedChanges => {
  if (!isObject(value)) return false;
  if (value.kind !== 'changes')
    return value.kind === 'unheard' || value.kind === 'gone';
  return (
    isArrayOf(isRelayedEvent)(value.events) &&
    isCount(value.revision) &&
    isTimeMs(value.offsetMs)
  );
};

export const decodeWork = decoderOf('work', isWork);

export const decodeReply = decoderOf('reply', isReply);

export const decodeDatabase = decoderOf('database', hasDatabase);

export const decodeCancel = decoderOf(
  'cancel request',
  (value): value is {readonly database: string; readonly key: string} =>
    isObject(value) && isText(value.database) && isText(value.key),
);

export const decodeLaneEnd = decoderOf(
  'end of a lane',
  (value): value is {readonly database: string; readonly lane: string} =>
    isObject(value) && isText(value.database) && isText(value.lane),
);

export const decodeLendRequest = decoderOf(
  'request for tokens',
  (value): value is LendRequest =>
    isObject(value) &&
    isText(value.customer) &&
    isAmount(value.wanted) &&
    isOptional(value.least, (least): least is number => isAmount(least)),
);

export const decodeLentIntervals = decoderOf(
  'lent tokens',
  isArrayOf(isLentInterval),
);

export const decodeSamples = decoderOf('position samples', isArrayOf(isSample));

export const decodeVote = decoderOf('vote', isBoolean);

/** A call for a vote: on whether a front reaches a database, if not stated. */
export interface VoteRequest {
  readonly database: string;
  readonly on?: 'failing';
}

export const decodeVoteRequest = decoderOf(
  'call for a vote',
  (value): value is VoteRequest =>
    isObject(value) &&
    isText(value.database) &&
    (value.on === undefined || value.on === 'failing'),
);

const isFailingVote = (value: unknown): value is FailingVote =>
  isObject(value) &&
  isOptional(value.failing, isBoolean) &&
  isOptional(value.leadsForMs, isTimeMs);

/** A front of an earlier version votes on something else: it abstains. */
export const decodeFailingVote = (value: unknown): FailingVote =>
  isBoolean(value) ? {} : decoderOf('vote', isFailingVote)(value);

export const decodeSuspectReport = decoderOf(
  'report',
  (value): value is SuspectReport =>
    isObject(value) &&
    isText(value.service) &&
    isText(value.database) &&
    isOptional(value.pause, isPauseReport) &&
    isOptional(value.failing, isBoolean),
);

export const decodeAnnouncedRecord = decoderOf(
  'leader record',
  (value): value is StoredLeaderRecord =>
    isObject(value) &&
    isText(value.service) &&
    isText(value.database) &&
    isBoolean(value.settled) &&
    isOptional(value.commits, isCommitRule) &&
    isCount(value.revision),
);

const isCommitReport = (value: unknown): value is CommitReport =>
  isObject(value) &&
  isOptional(value.atLeast, isPosition) &&
  isOptional(value.atMost, isPosition) &&
  isArrayOf(isSample)(value.samples) &&
  isAmount(value.sinceAgeMs);

/** A front of an earlier version answers a leader record with `true`. */
export const decodeCommitReport = (value: unknown): CommitReport | undefined =>
  value === true
    ? undefined
    : decoderOf('report of commits', isCommitReport)(value);

export const decodeFollowRequest = decoderOf(
  'request for changes',
  (value): value is FollowRequest => isObject(value) && isCount(value.after),
);

export const decodeRelayedChanges = decoderOf(
  'relayed changes',
  isRelayedChanges,
);
