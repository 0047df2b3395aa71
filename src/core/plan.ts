/**
 * Changes the configuration in two steps. An operator submits an intent and
 * receives a plan, which lists the changes against one version of the
 * configuration. Confirming applies exactly that plan, or fails.
 */
import {createHash} from 'node:crypto';
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {majoritiesMeet} from './ack.js';
import {
  Config,
  configSchema,
  CustomerConfig,
  findCustomer,
  findService,
  ServiceConfig,
} from './config.js';

const serviceSchema = configSchema.shape.services.element;
const customerSchema = configSchema.shape.customers.element;
const nameSchema = serviceSchema.shape.name;

const actionSchema = z.discriminatedUnion('do', [
  z.strictObject({do: z.literal('put_service'), service: serviceSchema}),
  z.strictObject({do: z.literal('remove_service'), name: nameSchema}),
  z.strictObject({
    do: z.literal('put_customer'),
    customer: customerSchema.omit({keys: true}),
  }),
  z.strictObject({do: z.literal('remove_customer'), name: nameSchema}),
  z.strictObject({
    do: z.literal('add_key'),
    customer: nameSchema,
    key: customerSchema.shape.keys.unwrap().element,
  }),
  z.strictObject({
    do: z.literal('withdraw_key'),
    customer: nameSchema,
    id: nameSchema,
  }),
  z.strictObject({
    do: z.literal('set_rate'),
    customer: nameSchema,
    ratePerS: customerSchema.shape.ratePerS,
    burst: customerSchema.shape.burst,
  }),
  z.strictObject({
    do: z.literal('set_leaving'),
    service: nameSchema,
    database: nameSchema,
    leaving: z.boolean(),
  }),
]);

/** Schema of an intent: the actions, which are applied in order. */
export const intentSchema = z.strictObject({
  actions: z.array(actionSchema).min(1).max(1_000),
});

export type Intent = z.infer<typeof intentSchema>;
export type Action = Intent['actions'][number];

/** The effect of an intent on one version of the configuration. */
export interface Plan {
  readonly id: string;
  readonly baseVersion: number;
  readonly intent: Intent;
  readonly operator: string;
  /** One line per change, starting with `+`, `-` or `~`. */
  readonly changes: readonly string[];
  readonly warnings: readonly string[];
}

/** Largest accepted document; below the platform's own limit. */
export const MAX_CONFIG_BYTES = 900_000;
const MAX_HISTORY = 200;
const PLAN_ID_LENGTH = 12;

/** Parses an intent; the error lists each invalid field on its own line. */
export function parseIntent(input: unknown): Result<Intent, string> {
  const parsed = intentSchema.safeParse(input);
  if (parsed.success) return ok(parsed.data);
  const problems = parsed.error.issues.map(
    issue => `${issue.path.join('.') || 'intent'}: ${issue.message}`,
  );
  return err(problems.join('\n'));
}

/** Plans an intent against the configuration; `nonce` makes the id unique. */
export function makePlan(
  config: Config,
  intent: Intent,
  operator: string,
  nonce: string,
): Result<Plan, string> {
  return applyActions(config, intent).andThen(next =>
    checkSize(next).map(() => ({
      id: createPlanId(config, intent, nonce),
      baseVersion: config.version,
      intent,
      operator,
      changes: describeChanges(config, next),
      warnings: findWarnings(config, next),
    })),
  );
}

/** Applies a plan; fails if the configuration has changed since it was made. */
export function applyPlan(
  config: Config,
  plan: Plan,
  operator: string,
  nowMs: number,
): Result<Config, string> {
  if (config.version !== plan.baseVersion) return err(conflictOf(config, plan));
  return applyActions(config, plan.intent).andThen(next =>
    checkSize(withHistory(next, plan, operator, nowMs)),
  );
}

/**
 * Returns the version that a plan produced; undefined if it was not applied.
 */
export const appliedVersion = (
  config: Config,
  planId: string,
): number | undefined =>
  config.history.find(entry => entry.planId === planId)?.version;

function conflictOf(config: Config, plan: Plan): string {
  const since = config.history
    .filter(entry => entry.version > plan.baseVersion)
    .map(entry => `version ${entry.version} by ${entry.operator}`);
  return (
    `plan ${plan.id} was made against version ${plan.baseVersion}, ` +
    `but the configuration moved: ${since.join(', ')}; plan again`
  );
}

const createPlanId = (config: Config, intent: Intent, nonce: string): string =>
  createHash('sha256')
    .update(JSON.stringify([config.version, intent, nonce]))
    .digest('hex')
    .slice(0, PLAN_ID_LENGTH);

function withHistory(
  config: Config,
  plan: Plan,
  operator: string,
  nowMs: number,
): Config {
  const version = config.version + 1;
  const entry = {planId: plan.id, version, operator, atMs: nowMs};
  const history = [...config.history, entry].slice(-MAX_HISTORY);
  return {...config, version, history};
}

function checkSize(config: Config): Result<Config, string> {
  const bytes = Buffer.byteLength(JSON.stringify(config));
  return bytes <= MAX_CONFIG_BYTES
    ? ok(config)
    : err(
        `the configuration would take ${bytes} bytes; ` +
          `at most ${MAX_CONFIG_BYTES} are accepted`,
      );
}

/**
 * Rejects a change of a service's databases after which a VM with the old list
 * could elect a primary without any database that confirmed a commit.
 */
function checkDatabases(before: Config, after: Config): Result<Config, string> {
  const namesOf = (service: ServiceConfig): string[] =>
    service.databases.map(entry => entry.name);
  const apart = after.services.find(service => {
    const old = findService(before, service.name);
    return old && !majoritiesMeet(namesOf(old), namesOf(service));
  });
  return apart
    ? err(`service ${apart.name}: add or remove one database at a time`)
    : ok(after);
}

function applyActions(config: Config, intent: Intent): Result<Config, string> {
  return applyEach(config, intent).andThen(next =>
    checkDatabases(config, next),
  );
}

function applyEach(config: Config, intent: Intent): Result<Config, string> {
  let next: Result<Config, string> = ok(config);
  for (const [index, action] of intent.actions.entries()) {
    next = next.andThen(current =>
      applyAction(current, action).mapErr(
        problem => `actions.${index} (${action.do}): ${problem}`,
      ),
    );
  }
  return next;
}

const upsertByName = <T extends {readonly name: string}>(
  list: readonly T[],
  item: T,
): T[] => {
  const index = list.findIndex(entry => entry.name === item.name);
  return index < 0 ? [...list, item] : list.with(index, item);
};

function applyAction(config: Config, action: Action): Result<Config, string> {
  switch (action.do) {
    case 'put_service':
      return ok({
        ...config,
        services: upsertByName(config.services, action.service),
      });
    case 'remove_service':
      return findService(config, action.name)
        ? ok({
            ...config,
            services: config.services.filter(s => s.name !== action.name),
          })
        : err(`name: no service ${action.name}`);
    case 'put_customer':
      return ok(putCustomer(config, action.customer));
    case 'remove_customer':
      return findCustomer(config, action.name)
        ? ok({
            ...config,
            customers: config.customers.filter(c => c.name !== action.name),
          })
        : err(`name: no customer ${action.name}`);
    case 'set_leaving':
      return setLeaving(config, action);
    case 'add_key':
    case 'withdraw_key':
    case 'set_rate':
      return editCustomer(config, action);
  }
}

function putCustomer(
  config: Config,
  customer: Omit<CustomerConfig, 'keys'>,
): Config {
  const keys = findCustomer(config, customer.name)?.keys ?? [];
  return {
    ...config,
    customers: upsertByName(config.customers, {...customer, keys}),
  };
}

type CustomerAction = Extract<Action, {readonly customer: string}>;

function editCustomer(
  config: Config,
  action: CustomerAction,
): Result<Config, string> {
  const customer = findCustomer(config, action.customer);
  if (!customer) return err(`customer: no customer ${action.customer}`);
  return editKeysOrRate(customer, action).map(changed => ({
    ...config,
    customers: upsertByName(config.customers, changed),
  }));
}

function editKeysOrRate(
  customer: CustomerConfig,
  action: CustomerAction,
): Result<CustomerConfig, string> {
  switch (action.do) {
    case 'set_rate':
      return ok({
        ...customer,
        ratePerS: action.ratePerS,
        burst: action.burst,
      });
    case 'add_key':
      return customer.keys.some(key => key.id === action.key.id)
        ? err(`key.id: ${customer.name} already has a key ${action.key.id}`)
        : ok({...customer, keys: [...customer.keys, action.key]});
    case 'withdraw_key':
      return customer.keys.some(key => key.id === action.id)
        ? ok({
            ...customer,
            keys: customer.keys.filter(key => key.id !== action.id),
          })
        : err(`id: ${customer.name} has no key ${action.id}`);
  }
}

function setLeaving(
  config: Config,
  action: Extract<Action, {do: 'set_leaving'}>,
): Result<Config, string> {
  const service = findService(config, action.service);
  if (!service) return err(`service: no service ${action.service}`);
  if (!service.databases.some(entry => entry.name === action.database)) {
    return err(`database: ${service.name} has no database ${action.database}`);
  }
  const databases = service.databases.map(entry =>
    entry.name === action.database
      ? {...entry, leaving: action.leaving}
      : entry,
  );
  const changed: ServiceConfig = {...service, databases};
  return ok({...config, services: upsertByName(config.services, changed)});
}

/** Returns one line for each added or removed entry and each changed field. */
function describeChanges(before: Config, after: Config): string[] {
  return [
    ...diffByName('service', before.services, after.services),
    ...diffByName('customer', before.customers, after.customers),
  ];
}

function diffByName(
  kind: string,
  before: readonly {readonly name: string}[],
  after: readonly {readonly name: string}[],
): string[] {
  const previous = new Map(before.map(entry => [entry.name, entry]));
  const kept = new Set(after.map(entry => entry.name));
  const removed = before
    .filter(entry => !kept.has(entry.name))
    .map(entry => `- ${kind} ${entry.name}`);
  const addedOrChanged = after.flatMap(entry => {
    const old = previous.get(entry.name);
    if (!old) return [`+ ${kind} ${entry.name}: ${JSON.stringify(entry)}`];
    return diffFields(`${kind} ${entry.name}`, old, entry);
  });
  return [...removed, ...addedOrChanged];
}

function diffFields(label: string, before: object, after: object): string[] {
  const old = before as Record<string, unknown>;
  return Object.entries(after).flatMap(([field, value]) => {
    const oldValue = JSON.stringify(old[field]);
    const newValue = JSON.stringify(value);
    return oldValue === newValue
      ? []
      : [`~ ${label}.${field}: ${oldValue} -> ${newValue}`];
  });
}

function findWarnings(before: Config, after: Config): string[] {
  return [...customerWarnings(before, after), ...serviceWarnings(after)];
}

function customerWarnings(before: Config, after: Config): string[] {
  const services = new Set(after.services.map(service => service.name));
  const unknown = after.customers.flatMap(customer =>
    customer.services
      .filter(name => !services.has(name))
      .map(
        name =>
          `customer ${customer.name} may use ${name}, which does not exist`,
      ),
  );
  const withoutKey = after.customers
    .filter(customer => customer.keys.length === 0)
    .filter(
      customer => (findCustomer(before, customer.name)?.keys.length ?? 0) > 0,
    )
    .map(customer => `customer ${customer.name} is left without a key`);
  return [...unknown, ...withoutKey];
}

const serviceWarnings = (after: Config): string[] =>
  after.services
    .filter(service => service.databases.every(entry => entry.leaving))
    .map(service => `service ${service.name} has only leaving databases`);
