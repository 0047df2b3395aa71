/**
 * The operators' configuration: one immutable, versioned document. A later
 * version replaces an earlier one; an earlier one is never taken.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';

const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and dashes');

/** How many databases must hold a write before it is acknowledged. */
export const WriteAck = {primary: 'primary', replica: 'replica'} as const;
export type WriteAck = (typeof WriteAck)[keyof typeof WriteAck];

const databaseSchema = z.strictObject({
  name: NAME,
  host: z.string().min(1),
  port: z.number().int().min(1).max(65_535),
  region: NAME,
  zone: NAME,
  /** A leaving database gets no new work. */
  leaving: z.boolean().default(false),
});

const serviceSchema = z.strictObject({
  name: NAME,
  databases: z.array(databaseSchema).min(1).max(9),
  /** Statements that one database runs at once. */
  slots: z.number().int().min(1).max(1_000),
  /** Connections one database accepts from the fleet. */
  connections: z.number().int().min(1).max(10_000),
  writeAck: z.enum(WriteAck).default(WriteAck.replica),
  /** Whether callers without a key are served. */
  open: z.boolean().default(false),
});

const keySchema = z.strictObject({
  id: NAME,
  /** SHA-256 of the key, hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/, '64 hexadecimal digits'),
});

const customerSchema = z.strictObject({
  name: NAME,
  keys: z.array(keySchema).max(16).default([]),
  /** Names of the services the customer may use. */
  services: z.array(NAME).default([]),
  ratePerS: z.number().positive().max(10_000_000),
  burst: z.number().positive().max(10_000_000),
  weight: z.number().positive().max(1_000).default(1),
});

/** Schema of the document. */
export const configSchema = z.strictObject({
  version: z.number().int().min(0),
  services: z.array(serviceSchema),
  customers: z.array(customerSchema),
  /** Plans applied lately, newest last, so that a confirm can be repeated. */
  history: z
    .array(
      z.strictObject({
        planId: z.string(),
        version: z.number().int(),
        operator: z.string(),
        atMs: z.number(),
      }),
    )
    .default([]),
});

export type Config = z.infer<typeof configSchema>;
export type ServiceConfig = Config['services'][number];
export type CustomerConfig = Config['customers'][number];
export type DatabaseConfig = ServiceConfig['databases'][number];

/** The document before any operator has spoken. */
export const EMPTY_CONFIG: Config = {
  version: 0,
  services: [],
  customers: [],
  history: [],
};

/** Takes a received document only when it is newer. */
export const newerConfig = (held: Config, received: Config): Config =>
  received.version > held.version ? received : held;

/** SHA-256 of a key, hexadecimal. */
export const digestKey = (key: string): string =>
  createHash('sha256').update(key).digest('hex');

/** What a caller has proved to be. */
export interface Identity {
  readonly customer: string;
  /** The key shown; undefined on an open service. */
  readonly key: CustomerConfig['keys'][number] | undefined;
}

const sameDigest = (a: string, b: string): boolean => {
  const left = Buffer.from(a, 'hex');
  const right = Buffer.from(b, 'hex');
  return left.length === right.length && timingSafeEqual(left, right);
};

export const findService = (
  config: Config,
  name: string,
): ServiceConfig | undefined =>
  config.services.find(service => service.name === name);

export const findCustomer = (
  config: Config,
  name: string,
): CustomerConfig | undefined =>
  config.customers.find(customer => customer.name === name);

/** The identity that a customer name and key prove, if any. */
export function authenticate(
  config: Config,
  customerName: string,
  key: string,
): Identity | undefined {
  const digest = digestKey(key);
  const customer = findCustomer(config, customerName);
  const match = customer?.keys.find(entry => sameDigest(entry.digest, digest));
  if (!customer || !match) return undefined;
  return {customer: customer.name, key: match};
}

/** Whether an identity may use a service now. */
export function mayUse(
  config: Config,
  identity: Identity,
  serviceName: string,
): boolean {
  const service = findService(config, serviceName);
  if (!service) return false;
  const shown = identity.key;
  if (shown === undefined) return service.open;
  const customer = findCustomer(config, identity.customer);
  const keyHeld = customer?.keys.some(
    key => key.id === shown.id && key.digest === shown.digest,
  );
  return Boolean(keyHeld && customer?.services.includes(serviceName));
}
