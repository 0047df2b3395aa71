/** Plans how a batch is served, and defines the settings of a session. */
import {Statement} from './sql.js';

/** How a batch is served. */
export type BatchPlan =
  /** The proxy answers without a database. */
  | {readonly kind: 'local'}
  | {readonly kind: 'refused'; readonly reason: string}
  | {
      readonly kind: 'run';
      readonly access: 'read' | 'write';
      /** Whether the batch can commit a change outside a transaction. */
      readonly mayCommit: boolean;
      /** Whether the batch ends a transaction that was open before it. */
      readonly endsTransaction: boolean;
      /** Whether it ends that transaction by a commit. */
      readonly commitsTransaction: boolean;
    };

const isLocal = (statement: Statement): boolean =>
  statement.kind === 'set' ||
  statement.kind === 'show' ||
  statement.kind === 'discard';

const isReadAccess = (statement: Statement): boolean =>
  statement.kind === 'read' ||
  (statement.kind === 'begin' && statement.readOnly);

/** Plans a batch; refuses one that mixes local and other statements. */
export function planBatch(statements: readonly Statement[]): BatchPlan {
  const refusal = statements.find(entry => entry.kind === 'refused');
  if (refusal?.kind === 'refused') {
    return {kind: 'refused', reason: refusal.reason};
  }
  if (statements.every(isLocal)) return {kind: 'local'};
  if (statements.some(isLocal)) {
    return {
      kind: 'refused',
      reason: 'proxy settings and other statements need separate requests',
    };
  }
  const access = statements.every(isReadAccess) ? 'read' : 'write';
  const end = statements.find(entry => entry.kind === 'end');
  const onlyBegins = statements.every(entry => entry.kind === 'begin');
  return {
    kind: 'run',
    access,
    mayCommit: access === 'write' && !onlyBegins,
    endsTransaction: end !== undefined,
    commitsTransaction: end?.kind === 'end' && end.commits,
  };
}

/** Settings of one session, which callers change with SET. */
export interface SessionSettings {
  readonly maxStalenessMs: number | undefined;
  readonly repeatable: boolean;
  readonly requestId: string | undefined;
}

export const DEFAULT_SETTINGS: SessionSettings = {
  maxStalenessMs: undefined,
  repeatable: false,
  requestId: undefined,
};

/** Names of the settings, as in `SET mustardpass.repeatable = on`. */
export const SettingName = {
  session: 'mustardpass.session',
  maxStalenessMs: 'mustardpass.max_staleness_ms',
  repeatable: 'mustardpass.repeatable',
  requestId: 'mustardpass.request_id',
} as const;

const TRUE_WORDS = new Set(['on', 'true', '1', 'yes']);
const FALSE_WORDS = new Set(['off', 'false', '0', 'no', '']);
const MAX_STALENESS_LIMIT_MS = 3_600_000;
const MAX_REQUEST_ID_LENGTH = 128;

/** Applies a setting; for an invalid value, returns the allowed values. */
export function applySetting(
  settings: SessionSettings,
  name: string,
  value: string,
): SessionSettings | {readonly allowed: string} {
  switch (name) {
    case SettingName.maxStalenessMs:
      return applyStaleness(settings, value);
    case SettingName.repeatable: {
      const word = value.toLowerCase();
      if (TRUE_WORDS.has(word)) return {...settings, repeatable: true};
      if (FALSE_WORDS.has(word)) return {...settings, repeatable: false};
      return {allowed: 'on or off'};
    }
    case SettingName.requestId:
      return value.length <= MAX_REQUEST_ID_LENGTH
        ? {...settings, requestId: value === '' ? undefined : value}
        : {allowed: `at most ${MAX_REQUEST_ID_LENGTH} characters`};
    default:
      return {allowed: Object.values(SettingName).join(', ')};
  }
}

function applyStaleness(
  settings: SessionSettings,
  value: string,
): SessionSettings | {readonly allowed: string} {
  if (value === '' || value === '-1') {
    return {...settings, maxStalenessMs: undefined};
  }
  const ms = Number(value);
  const fits = Number.isInteger(ms) && ms >= 0 && ms <= MAX_STALENESS_LIMIT_MS;
  return fits
    ? {...settings, maxStalenessMs: ms}
    : {allowed: `whole milliseconds from 0 to ${MAX_STALENESS_LIMIT_MS}`};
}

/** Returns the value of a setting as SHOW prints it. */
export function showSetting(settings: SessionSettings, name: string): string {
  switch (name) {
    case SettingName.maxStalenessMs:
      return String(settings.maxStalenessMs ?? '');
    case SettingName.repeatable:
      return settings.repeatable ? 'on' : 'off';
    case SettingName.requestId:
      return settings.requestId ?? '';
    default:
      return '';
  }
}
