/**
 * Settings of a proxy: flags and `MUSTARDPASS_*` variables, checked together.
 * A flag goes before its variable, a variable before the default.
 */
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';

const port = z.coerce.number().int().min(0).max(65_535);
const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/);
const list = z
  .string()
  .transform(text => text.split(',').filter(Boolean))
  .pipe(z.array(z.string()).min(1));

/** Each setting: its schema, what it means, and whether it is a secret. */
export const SETTINGS = {
  vm: {schema: name.default('vm-1'), help: 'name of this VM'},
  region: {schema: name.default('region-1'), help: 'region of this VM'},
  zone: {schema: name.default('zone-1'), help: 'availability zone of this VM'},
  host: {
    schema: z.string().min(1).default('127.0.0.1'),
    help: 'address to listen on, and under which peers reach this VM',
  },
  callerPort: {schema: port.default(6432), help: 'port for callers'},
  peerPort: {schema: port.default(6433), help: 'port for other VMs'},
  operatorPort: {schema: port.default(6434), help: 'port for operators'},
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
    help: 'VMs to ask at boot while the platform is down, as host:port',
  },
  fleetSecrets: {
    schema: list,
    help: 'secrets shared by all VMs, comma-separated, the first is offered',
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
  tlsKeyFile: {schema: z.string().default(''), help: 'its private key'},
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
    help: 'callers connected at once',
  },
  maxFrameBytes: {
    schema: z.coerce
      .number()
      .int()
      .min(1_024)
      .max(1_000_000_000)
      .default(16 * 1024 * 1024),
    help: 'largest message of a caller or backend server',
  },
  drainTimeoutMs: {
    schema: z.coerce.number().int().min(0).max(3_600_000).default(60_000),
    help: 'longest graceful shutdown',
  },
  metricsHost: {
    schema: z.string().default(''),
    help: 'StatsD host; empty: off',
  },
  metricsPort: {schema: port.default(8125), help: 'StatsD port'},
  log: {
    schema: z.string().default('*'),
    help: 'components that log, comma-separated; empty: none',
  },
} as const;

type SettingName = keyof typeof SETTINGS;

/** Checked settings. */
export type Settings = {
  readonly [K in SettingName]: z.infer<(typeof SETTINGS)[K]['schema']>;
};

/** Where a value came from. */
export type SettingSource = 'flag' | 'environment' | 'default';

/** Settings with the source of each. */
export interface ResolvedSettings {
  readonly settings: Settings;
  readonly sources: Readonly<Record<SettingName, SettingSource>>;
}

/** Variables of the operators' commands. */
const OPERATOR_VARIABLES = [
  'MUSTARDPASS_OPERATOR_URL',
  'MUSTARDPASS_OPERATOR_KEY',
];

const NAMES = Object.keys(SETTINGS) as SettingName[];

const dashed = (text: string): string =>
  text.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);

/** `callerPort` as the flag `--caller-port`. */
export const flagOf = (setting: string): string => `--${dashed(setting)}`;

/** `callerPort` as the variable `MUSTARDPASS_CALLER_PORT`. */
export const variableOf = (setting: string): string =>
  `MUSTARDPASS_${dashed(setting).replaceAll('-', '_').toUpperCase()}`;

/**
 * Resolves all settings. The error names each wrong one, its value and what is
 * allowed.
 */
export function resolveSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<ResolvedSettings, string> {
  const settings: Record<string, unknown> = {};
  const sources: Record<string, SettingSource> = {};
  const problems: string[] = [];
  for (const setting of NAMES) {
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
  const given =
    source === 'environment' ? variableOf(setting) : flagOf(setting);
  const shown = isSecret(setting) ? '***' : `'${raw ?? ''}'`;
  const allowed = error.issues.map(issue => issue.message).join('; ');
  return raw === undefined
    ? `${given} (or ${variableOf(setting)}) is required: ${SETTINGS[setting].help}`
    : `${given} is ${shown}: ${allowed}`;
}

function unknownVariables(
  environment: Readonly<Record<string, string | undefined>>,
): string[] {
  const known = new Set([...NAMES.map(variableOf), ...OPERATOR_VARIABLES]);
  return Object.keys(environment)
    .filter(key => key.startsWith('MUSTARDPASS_') && !known.has(key))
    .map(key => `${key} is not a setting; see mustardpass proxy --help`);
}

const isSecret = (setting: SettingName): boolean =>
  'secret' in SETTINGS[setting];

/** The settings for people to read, with secrets masked. */
export function describeSettings(resolved: ResolvedSettings): object {
  return Object.fromEntries(
    NAMES.map(setting => [
      setting,
      {
        value: isSecret(setting) ? '***' : resolved.settings[setting],
        source: resolved.sources[setting],
      },
    ]),
  );
}
