/**
 * Plans and confirms operators' intents, i.e. requested changes of the
 * configuration. Plans and the configuration are stored in the platform.
 */
import {randomBytes} from 'node:crypto';
import {err, ok, Result} from 'neverthrow';
import {Config, configSchema, EMPTY_CONFIG} from '../core/config.js';
import {
  appliedVersion,
  applyPlan,
  Intent,
  makePlan,
  parseIntent,
  Plan,
} from '../core/plan.js';
import {Store, StoreError, StoreErrorKind, StoreKey} from '../store/store.js';

/** Why planning or confirming an operator's change failed. */
export const IntentErrorKind = {
  /** The intent is malformed or its plan is invalid. */
  invalid: 'invalid',
  /** The configuration has changed since the plan was made. */
  moved: 'moved',
  unknownPlan: 'unknown_plan',
  /** The platform did not answer; it is safe to confirm again. */
  platformUnavailable: 'platform_unavailable',
} as const;
export type IntentErrorKind =
  (typeof IntentErrorKind)[keyof typeof IntentErrorKind];

export interface IntentError {
  readonly kind: IntentErrorKind;
  readonly message: string;
}

/** The configuration after a plan was confirmed, and its version. */
export interface ConfirmedPlan {
  readonly planId: string;
  readonly version: number;
  readonly config: Config;
}

interface StoredConfig {
  readonly config: Config;
  readonly revision: number;
}

const MAX_CONFIRM_ATTEMPTS = 4;
const CONFIRM_RETRY_DELAY_MS = 200;

const intentError = (kind: IntentErrorKind, message: string): IntentError => ({
  kind,
  message,
});

const platformUnavailable = (error: StoreError): IntentError =>
  intentError(
    'platform_unavailable',
    `the platform did not answer: ${error.message}`,
  );

/** Plans and confirms changes in one store. */
export class Intents {
  private constructor(
    private readonly store: Store,
    private readonly heldConfig: () => Config,
  ) {}

  /** `heldConfig` returns the newest configuration that this VM has. */
  static create(store: Store, heldConfig: () => Config): Intents {
    return new Intents(store, heldConfig);
  }

  /** Computes the plan of an intent and stores it for confirmation. */
  async plan(
    input: unknown,
    operator: string,
  ): Promise<Result<Plan, IntentError>> {
    const intent = parseIntent(input);
    if (intent.isErr()) return err(intentError('invalid', intent.error));
    const stored = await this.readConfig();
    if (stored.isErr()) return err(stored.error);
    return this.storePlan(stored.value.config, intent.value, operator);
  }

  /** Applies a plan. Confirming a plan again returns the same version. */
  async confirm(
    planId: string,
    operator: string,
  ): Promise<Result<ConfirmedPlan, IntentError>> {
    const plan = await this.readPlan(planId);
    let lastError = intentError(
      'platform_unavailable',
      'the platform did not answer',
    );
    for (let attempt = 0; attempt < MAX_CONFIRM_ATTEMPTS; attempt++) {
      const outcome = await this.confirmOnce(planId, plan, operator);
      if (outcome.isOk()) return outcome;
      if (outcome.error.kind !== 'platform_unavailable') return outcome;
      lastError = outcome.error;
      await new Promise(resolve => setTimeout(resolve, CONFIRM_RETRY_DELAY_MS));
    }
    return err(lastError);
  }

  private async storePlan(
    config: Config,
    intent: Intent,
    operator: string,
  ): Promise<Result<Plan, IntentError>> {
    const nonce = randomBytes(8).toString('hex');
    const plan = makePlan(config, intent, operator, nonce);
    if (plan.isErr()) return err(intentError('invalid', plan.error));
    const written = await this.store.compareAndSet(
      StoreKey.plan(plan.value.id),
      0,
      JSON.stringify(plan.value),
    );
    return written.map(() => plan.value).mapErr(platformUnavailable);
  }

  private async confirmOnce(
    planId: string,
    plan: Result<Plan, IntentError>,
    operator: string,
  ): Promise<Result<ConfirmedPlan, IntentError>> {
    const stored = await this.readConfig();
    if (stored.isErr()) return err(stored.error);
    const {config, revision} = stored.value;
    const version = appliedVersion(config, planId);
    if (version !== undefined) return ok({planId, version, config});
    if (plan.isErr()) return err(plan.error);
    const next = applyPlan(config, plan.value, operator, Date.now());
    if (next.isErr()) return err(intentError('moved', next.error));
    const written = await this.store.compareAndSet(
      StoreKey.config,
      revision,
      JSON.stringify(next.value),
    );
    return written
      .map(() => ({planId, version: next.value.version, config: next.value}))
      .mapErr(error =>
        // In both cases the next attempt reads which change took effect.
        intentError(
          'platform_unavailable',
          error.kind === StoreErrorKind.conflict
            ? 'the configuration was changed concurrently'
            : error.message,
        ),
      );
  }

  private async readConfig(): Promise<Result<StoredConfig, IntentError>> {
    const read = await this.store.read(StoreKey.config);
    if (read.isErr()) return err(platformUnavailable(read.error));
    const {value, revision} = read.value;
    const config =
      value === '' ? EMPTY_CONFIG : configSchema.parse(JSON.parse(value));
    const held = this.heldConfig();
    return config.version < held.version
      ? this.writeBack(held, revision)
      : ok({config, revision});
  }

  /**
   * Writes a configuration again that the platform has lost in a restore, since
   * a change of the older one would not be newer than what VMs have.
   */
  private async writeBack(
    config: Config,
    revision: number,
  ): Promise<Result<StoredConfig, IntentError>> {
    const text = JSON.stringify(config);
    const written = await this.store.compareAndSet(
      StoreKey.config,
      revision,
      text,
    );
    return written
      .map(next => ({config, revision: next}))
      .mapErr(platformUnavailable);
  }

  private async readPlan(planId: string): Promise<Result<Plan, IntentError>> {
    const read = await this.store.read(StoreKey.plan(planId));
    if (read.isErr()) return err(platformUnavailable(read.error));
    return read.value.value === ''
      ? err(
          intentError('unknown_plan', `no plan ${planId}; it may have expired`),
        )
      : ok(JSON.parse(read.value.value) as Plan);
  }
}
