/**
 * The closed list of error kinds, and the table from kind to the answer a
 * caller receives.
 */

/** What is known about a request that did not get its answer. */
export const Outcome = {
  /** The request had no effect, provably. */
  notRun: 'not_run',
  /** The request may or may not have taken effect. */
  unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** The answer for one kind of error. */
interface Answer {
  /** SQLSTATE, five characters. */
  readonly sqlState: string;
  /** `FATAL` ends the connection. */
  readonly severity: 'ERROR' | 'FATAL';
  readonly outcome: Outcome;
  /** Whether the proxy itself may try again under its retry budget. */
  readonly retryable: boolean;
}

const answer = (
  sqlState: string,
  outcome: Outcome,
  extra: Partial<Answer> = {},
): Answer => ({
  sqlState,
  severity: 'ERROR',
  outcome,
  retryable: false,
  ...extra,
});

const FATAL = {severity: 'FATAL'} as const;
const RETRYABLE = {retryable: true} as const;

/** Every error kind with its answer. */
export const ANSWERS = {
  key_rejected: answer('28P01', Outcome.notRun, FATAL),
  key_withdrawn: answer('28000', Outcome.notRun, FATAL),
  login_limited: answer('53300', Outcome.notRun, FATAL),
  service_unknown: answer('3D000', Outcome.notRun, FATAL),
  service_denied: answer('42501', Outcome.notRun, FATAL),
  not_ready: answer('57P03', Outcome.notRun, FATAL),
  shutting_down: answer('57P01', Outcome.notRun, FATAL),
  protocol_violation: answer('08P01', Outcome.notRun, FATAL),
  request_too_large: answer('54000', Outcome.notRun, FATAL),
  not_supported: answer('0A000', Outcome.notRun),
  setting_invalid: answer('22023', Outcome.notRun),
  token_invalid: answer('22023', Outcome.notRun),
  write_lost: answer('MP001', Outcome.notRun),
  rate_exceeded: answer('53400', Outcome.notRun),
  queue_deadline: answer('53000', Outcome.notRun),
  primary_unavailable: answer('57P03', Outcome.notRun, RETRYABLE),
  backend_unreachable: answer('08001', Outcome.notRun, RETRYABLE),
  transaction_lost: answer('40000', Outcome.notRun),
  canceled: answer('57014', Outcome.notRun),
  outcome_unknown: answer('08007', Outcome.unknown),
  /** The configuration held here is too old to trust a key. */
  stale_configuration: answer('57P03', Outcome.notRun),
  /** A read without an answer within its time limit. */
  timed_out: answer('57014', Outcome.unknown),
  /** A transaction that has failed accepts only its end. */
  transaction_failed: answer('25P02', Outcome.notRun),
} as const satisfies Record<string, Answer>;

export type ErrorKind = keyof typeof ANSWERS;

/** An error of a known kind; `message` is safe to show to the caller. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly message: string;
}

/** Builds a failure. */
export const failure = (kind: ErrorKind, message: string): Failure => ({
  kind,
  message,
});

/** The answer for a failure. */
export const answerOf = (kind: ErrorKind): Answer => ANSWERS[kind];
