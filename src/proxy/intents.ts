/** Plans and confirms operators' intents against the platform. */
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

/** Why an operator's request failed. */
export const IntentErrorKind = {
  /** The intent or plan is not acceptable. */
  invalid: 'invalid',
  /** Another operator's change came first. */
  moved: 'moved',
  unknownPlan: 'unknown_plan',
  /** The platform gave no answer; confirming again is safe. */
  platformUnavailable: 'platform_unavailable',
} as const;
export type IntentErrorKind =
  (typeof IntentErrorKind)[keyof typeof IntentErrorKind];

/** A failed operator's request. */
export interface IntentError {
  readonly kind: IntentErrorKind;
  readonly message: string;
}

/** A confirmed plan. */
export interface Confirmed {
  readonly planId: string;
  readonly version: number;
  readonly config: Config;
}

interface Held {
  readonly config: Config;
  readonly revision: number;
}

const CONFIRM_ATTEMPTS = 4;
const RETRY_MS = 200;

const fail = (kind: IntentErrorKind, message: string): IntentError => ({
  kind,
  message,
});

const unavailable = (error: StoreError): IntentError =>
  fail('platform_unavailable', `the platform did not answer: ${error.message}`);

/** Plans and confirms against one store. */
export class Intents {
  private constructor(private readonly store: Store) {}

  static create(store: Store): Intents {
    return new Intents(store);
  }

  /** Weighs an intent and keeps the plan for its confirmation. */
  async plan(
    input: unknown,
    operator: string,
  ): Promise<Result<Plan, IntentError>> {
    const intent = parseIntent(input);
    if (intent.isErr()) return err(fail('invalid', intent.error));
    const held = await this.readConfig();
    if (held.isErr()) return err(held.error);
    return this.keepPlan(held.value.config, intent.value, operator);
  }

  /** Applies a plan. Confirming a plan again returns the same version. */
  async confirm(
    planId: string,
    operator: string,
  ): Promise<Result<Confirmed, IntentError>> {
    const plan = await this.readPlan(planId);
    let last = fail('platform_unavailable', 'the platform did not answer');
    for (let attempt = 0; attempt < CONFIRM_ATTEMPTS; attempt++) {
      const outcome = await this.confirmOnce(planId, plan, operator);
      if (outcome.isOk()) return outcome;
      if (outcome.error.kind !== 'platform_unavailable') return outcome;
      last = outcome.error;
      await new Promise(resolve => setTimeout(resolve, RETRY_MS));
    }
    return err(last);
  }

  private async keepPlan(
    config: Config,
    intent: Intent,
    operator: string,
  ): Promise<Result<Plan, IntentError>> {
    const nonce = randomBytes(8).toString('hex');
    const plan = makePlan(config, intent, operator, nonce);
    if (plan.isErr()) return err(fail('invalid', plan.error));
    const kept = await this.store.compareAndSet(
      StoreKey.plan(plan.value.id),
      0,
      JSON.stringify(plan.value),
    );
    return kept.map(() => plan.value).mapErr(unavailable);
  }

  private async confirmOnce(
    planId: string,
    plan: Result<Plan, IntentError>,
    operator: string,
  ): Promise<Result<Confirmed, IntentError>> {
    const held = await this.readConfig();
    if (held.isErr()) return err(held.error);
    const {config, revision} = held.value;
    const version = appliedVersion(config, planId);
    if (version !== undefined) return ok({planId, version, config});
    if (plan.isErr()) return err(plan.error);
    const next = applyPlan(config, plan.value, operator, Date.now());
    if (next.isErr()) return err(fail('moved', next.error));
    const written = await this.store.compareAndSet(
      StoreKey.config,
      revision,
      JSON.stringify(next.value),
    );
    return written
      .map(() => ({planId, version: next.value.version, config: next.value}))
      .mapErr(error =>
        // Either way the next attempt reads what took effect.
        fail(
          'platform_unavailable',
          error.kind === StoreErrorKind.conflict
            ? 'another change came in between'
            : error.message,
        ),
      );
  }

  private async readConfig(): Promise<Result<Held, IntentError>> {
    const read = await this.store.read(StoreKey.config);
    if (read.isErr()) return err(unavailable(read.error));
    const {value, revision} = read.value;
    const config =
      value === '' ? EMPTY_CONFIG : configSchema.parse(JSON.parse(value));
    return ok({config, revision});
  }

  private async readPlan(planId: string): Promise<Result<Plan, IntentError>> {
    const read = await this.store.read(StoreKey.plan(planId));
    if (read.isErr()) return err(unavailable(read.error));
    return read.value.value === ''
      ? err(fail('unknown_plan', `no plan ${planId}; it may have expired`))
      : ok(JSON.parse(read.value.value) as Plan);
  }
}
