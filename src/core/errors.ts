/**
 * All error kinds, with the SQLSTATE, severity and outcome that a caller
 * receives for each.
 */

/** Whether a failed request may have taken effect. */
export const Outcome = {
  /** The request is guaranteed to have had no effect. */
  notRun: 'not_run',
  /** The request may or may not have taken effect. */
  unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** The answer to a caller for one kind of error. */
interface Answer {
  /** SQLSTATE, five characters. */
  readonly sqlState: string;
  /** `FATAL` ends the connection. */
  readonly severity: 'ERROR' | 'FATAL';
  readonly outcome: Outcome;
  /** Whether the proxy may retry the request, within its retry budget. */
  readonly retryable: boolean;
}

const defineAnswer = (
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

/** The answer for each error kind. */
export const ANSWERS = {
  key_rejected: defineAnswer('28P01', Outcome.notRun, FATAL),
  key_withdrawn: defineAnswer('28000', Outcome.notRun, FATAL),
  login_limited: defineAnswer('53300', Outcome.notRun, FATAL),
  /** The customer cannot be named to databases. */
  customer_unusable: defineAnswer('42602', Outcome.notRun, FATAL),
  service_unknown: defineAnswer('3D000', Outcome.notRun, FATAL),
  service_denied: defineAnswer('42501', Outcome.notRun, FATAL),
  not_ready: defineAnswer('57P03', Outcome.notRun, FATAL),
  shutting_down: defineAnswer('57P01', Outcome.notRun, FATAL),
  protocol_violation: defineAnswer('08P01', Outcome.notRun, FATAL),
  request_too_large: defineAnswer('54000', Outcome.notRun, FATAL),
  not_supported: defineAnswer('0A000', Outcome.notRun),
  setting_invalid: defineAnswer('22023', Outcome.notRun),
  token_invalid: defineAnswer('22023', Outcome.notRun),
  write_lost: defineAnswer('MP001', Outcome.notRun),
  rate_exceeded: defineAnswer('53400', Outcome.notRun),
  queue_deadline: defineAnswer('53000', Outcome.notRun),
  primary_unavailable: defineAnswer('57P03', Outcome.notRun, RETRYABLE),
  backend_unreachable: defineAnswer('08001', Outcome.notRun, RETRYABLE),
  transaction_lost: defineAnswer('40000', Outcome.notRun),
  /** The key has passed to another customer since the request was begun. */
  customer_changed: defineAnswer('40000', Outcome.notRun),
  canceled: defineAnswer('57014', Outcome.notRun),
  outcome_unknown: defineAnswer('08007', Outcome.unknown),
  /** The local configuration is too old to accept a key. */
  stale_configuration: defineAnswer('57P03', Outcome.notRun),
  /** A read got no answer within its time limit. */
  timed_out: defineAnswer('57014', Outcome.unknown),
  /** A failed transaction accepts only COMMIT or ROLLBACK. */
  transaction_failed: defineAnswer('25P02', Outcome.notRun),
} as const satisfies Record<string, Answer>;

export type ErrorKind = keyof typeof ANSWERS;

/** An error of a known kind; `message` is safe to show to the caller. */
export interface Failure {
  readonly kind: ErrorKind;
  readonly message: string;
}

export const failure = (kind: ErrorKind, message: string): Failure => ({
  kind,
  message,
});

export const answerOf = (kind: ErrorKind): Answer => ANSWERS[kind];
