/**
 * Settings of a proxy, from flags and `MUSTARDPASS_*` variables. A flag takes
 * precedence over its variable, a variable over the default.
 */
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';

const portSchema = z.coerce.number().int().min(0).max(65_535);
const nameSchema = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);
const listSchema = z
  .string()
  .transform(text => text.split(',').filter(Boolean))
  .pipe(z.array(z.string()).min(1));

/** Each setting: its schema, what it means, and whether it is a secret. */
export const SETTINGS = {
  vm: {schema: nameSchema.default('vm-1'), help: 'name of this VM'},
  region: {schema: nameSchema.default('region-1'), help: 'region of this VM'},
  zone: {
    schema: nameSchema.default('zone-1'),
    help: 'availability zone of this VM',
  },
  host: {
    schema: z.string().min(1).default('127.0.0.1'),
    help: 'address to listen on, and under which peers reach this VM',
  },
  callerPort: {schema: portSchema.default(6432), help: 'port for callers'},
  peerPort: {schema: portSchema.default(6433), help: 'port for other VMs'},
  operatorPort: {schema: portSchema.default(6434), help: 'port for operators'},
  platformUrl: {
    schema: z.url().default('http://127.0.0.1:2379'),
    help: 'key-value service of the platform',
  },
  platformTimeoutMs: {
    schema: z.coerce.number().int().min(50).max(60_000).default(2_000),
    help: 'time limit of one call to the platform',
  },
  seedPeers: {
    schema: z
      .string()
      .regex(/^([^:,\s]+:\d+)?(,[^:,\s]+:\d+)*$/, 'host:port, comma-separated')
      .default(''),
    help: 'VMs to contact at startup if the platform is down, as host:port',
  },
  fleetSecrets: {
    schema: listSchema,
    help: 'secrets of the fleet, comma-separated; connections use the first',
    secret: true,
  },
  operatorKeys: {
    schema: z.string().default(''),
    help: 'operators as name:key, comma-separated',
    secret: true,
  },
  backendUser: {
    schema: z.string().min(1).default('mustardpass'),
    help: 'user at the backend servers',
  },
  backendPassword: {
    schema: z.string().default(''),
    help: 'password at the backend servers',
    secret: true,
  },
  backendCaFile: {
    schema: z.string().default(''),
    help: 'certificate authority of the backend servers; empty: no TLS',
  },
  tlsCertFile: {
    schema: z.string().default(''),
    help: 'certificate shown to callers; empty: no TLS',
  },
  tlsKeyFile: {
    schema: z.string().default(''),
    help: 'private key of that certificate',
  },
  requestTimeoutMs: {
    schema: z.coerce.number().int().min(10).max(600_000).default(15_000),
    help: 'time limit of one request',
  },
  loginTimeoutMs: {
    schema: z.coerce.number().int().min(50).max(60_000).default(5_000),
    help: 'time limit of a login',
  },
  maxConnections: {
    schema: z.coerce.number().int().min(1).max(100_000).default(10_000),
    help: 'maximum number of caller connections',
  },
  maxFrameBytes: {
    schema: z.coerce
      .number()
      .int()
      .min(1_024)
      .max(1_000_000_000)
      .default(16 * 1024 * 1024),
    help: 'size limit of a message from a caller or backend server, in bytes',
  },
  drainTimeoutMs: {
    schema: z.coerce.number().int().min(0).max(3_600_000).default(60_000),
    help: 'time limit of a graceful shutdown',
  },
  metricsHost: {
    schema: z.string().default(''),
    help: 'StatsD host; empty: off',
  },
  metricsPort: {schema: portSchema.default(8125), help: 'StatsD port'},
  log: {
    schema: z.string().default('*'),
    help: 'components that log, comma-separated; empty: none',
  },
} as const;

type SettingName = keyof typeof SETTINGS;

/** Validated settings. */
export type Settings = {
  readonly [K in SettingName]: z.infer<(typeof SETTINGS)[K]['schema']>;
};

/** Where the value of a setting came from. */
export type SettingSource = 'flag' | 'environment' | 'default';

/** Settings and the source of each value. */
export interface ResolvedSettings {
  readonly settings: Settings;
  readonly sources: Readonly<Record<SettingName, SettingSource>>;
}

/**
 * Environment variables that the operators' commands read; they are not
 * settings of the proxy.
 */
const OPERATOR_VARIABLES = [
  'MUSTARDPASS_OPERATOR_URL',
  'MUSTARDPASS_OPERATOR_KEY',
];

const SETTING_NAMES = Object.keys(SETTINGS) as SettingName[];

const toKebabCase = (text: string): string =>
  text.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** Returns the flag of a setting: `--caller-port` for `callerPort`. */
export const flagOf = (setting: string): string => `--${toKebabCase(setting)}`;

/**
 * Returns the environment variable of a setting: `MUSTARDPASS_CALLER_PORT` for
 * `callerPort`.
 */
export const variableOf = (setting: string): string =>
  `MUSTARDPASS_${toKebabCase(setting).replaceAll('-', '_').toUpperCase()}`;

/**
 * Resolves and validates all settings. The error lists each invalid setting
 * with its value and the allowed values.
 */
export function resolveSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<ResolvedSettings, string> {
  const settings: Record<string, unknown> = {};
  const sources: Record<string, SettingSource> = {};
  const problems: string[] = [];
  for (const setting of SETTING_NAMES) {
    const flag = flags[setting];
    const variable = environment[variableOf(setting)];
    const source =
      flag !== undefined
        ? 'flag'
        : variable !== undefined
          ? 'environment'
          : 'default';
    const raw = source === 'flag' ? String(flag) : variable;
    const parsed = SETTINGS[setting].schema.safeParse(raw);
    if (parsed.success) settings[setting] = parsed.data;
    else problems.push(describeProblem(setting, source, raw, parsed.error));
    sources[setting] = source;
  }
  problems.push(...unknownVariables(environment));
  if (problems.length > 0) return err(problems.join('\n'));
  return ok({settings, sources} as unknown as ResolvedSettings);
}

function describeProblem(
  setting: SettingName,
  source: SettingSource,
  raw: string | undefined,
  error: z.ZodError,
): string {
  const origin =
    source === 'environment' ? variableOf(setting) : flagOf(setting);
  const shown = isSecret(setting) ? '***' : `'${raw ?? ''}'`;
  const allowed = error.issues.map(issue => issue.message).join('; ');
  return raw === undefined
    ? `${origin} (or ${variableOf(setting)}) is required: ${SETTINGS[setting].help}`
    : `${origin} is ${shown}: ${allowed}`;
}

function unknownVariables(
  environment: Readonly<Record<string, string | undefined>>,
): string[] {
  const known = new Set([
    ...SETTING_NAMES.map(variableOf),
    ...OPERATOR_VARIABLES,
  ]);
  return Object.keys(environment)
    .filter(key => key.startsWith('MUSTARDPASS_') && !known.has(key))
    .map(key => `${key} is not a setting; see mustardpass proxy --help`);
}

const isSecret = (setting: SettingName): boolean =>
  'secret' in SETTINGS[setting];

/** Returns each setting's value and source for display, secrets masked. */
export function describeSettings(resolved: ResolvedSettings): object {
  return Object.fromEntries(
    SETTING_NAMES.map(setting => [
      setting,
      {
        value: isSecret(setting) ? '***' : resolved.settings[setting],
        source: resolved.sources[setting],
      },
    ]),
  );
}
