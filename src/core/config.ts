/**
 * The operators' configuration: one immutable document with a version. A higher
 * version replaces a lower one, never the reverse.
 */
import {createHash, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';

const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and dashes');

/**
 * Which databases must hold a write before it is acknowledged: only the
 * primary, or with it so many replicas that they form a majority (one replica
 * in a group of three).
 */
export const WriteAck = {primary: 'primary', replica: 'replica'} as const;
export type WriteAck = (typeof WriteAck)[keyof typeof WriteAck];

const databaseSchema = z.strictObject({
  name: NAME,
  host: z.string().min(1),
  port: z.number().int().min(1).max(65_535),
  region: NAME,
  zone: NAME,
  /** Whether it is being removed from service; it gets no new requests then. */
  leaving: z.boolean().default(false),
});

const serviceSchema = z.strictObject({
  name: NAME,
  databases: z.array(databaseSchema).min(1).max(9),
  /** Number of statements that one database runs at the same time. */
  slots: z.number().int().min(1).max(1_000),
  /** Number of connections that one database accepts from the whole fleet. */
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

/** Schema of the configuration document. */
export const configSchema = z.strictObject({
  version: z.number().int().min(0),
  services: z.array(serviceSchema),
  customers: z.array(customerSchema),
  /** Recently applied plans, newest last; makes a confirm idempotent. */
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

export const EMPTY_CONFIG: Config = {
  version: 0,
  services: [],
  customers: [],
  history: [],
};

/** Returns the received configuration if it is newer, else the held one. */
export const newerConfig = (held: Config, received: Config): Config =>
  received.version > held.version ? received : held;

/** Returns the SHA-256 of a key in hexadecimal. */
export const digestKey = (key: string): string =>
  createHash('sha256').update(key).digest('hex');

/** The customer as which a caller is authenticated. */
export interface Identity {
  readonly customer: string;
  /** The key that the caller presented; undefined on an open service. */
  readonly key: CustomerConfig['keys'][number] | undefined;
}

const isSameDigest = (a: string, b: string): boolean => {
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

/** Returns the identity for a customer name and key; undefined if invalid. */
export function authenticate(
  config: Config,
  customerName: string,
  key: string,
): Identity | undefined {
  const digest = digestKey(key);
  const customer = findCustomer(config, customerName);
  const match = customer?.keys.find(entry =>
    isSameDigest(entry.digest, digest),
  );
  if (!customer || !match) return undefined;
  return {customer: customer.name, key: match};
}

/** Whether the configuration still allows an identity to use a service. */
export function mayUse(
  config: Config,
  identity: Identity,
  serviceName: string,
): boolean {
  const service = findService(config, serviceName);
  if (!service) return false;
  const presented = identity.key;
  if (presented === undefined) return service.open;
  const customer = findCustomer(config, identity.customer);
  const isKeyValid = customer?.keys.some(
    key => key.id === presented.id && key.digest === presented.digest,
  );
  return Boolean(isKeyValid && customer?.services.includes(serviceName));
}
