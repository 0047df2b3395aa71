/** The command line. */
import {readFileSync} from 'node:fs';
import {randomBytes} from 'node:crypto';
import {cac, CAC} from 'cac';
import {digestKey} from '../core/config.js';
import {DEMO_DEFAULTS, runDemo} from '../demo/demo.js';
import {enableLogs} from '../proxy/log.js';
import {Proxy} from '../proxy/proxy.js';
import {
  describeSettings,
  flagOf,
  resolveSettings,
  ResolvedSettings,
  SETTINGS,
  variableOf,
} from '../proxy/settings.js';
import {callOperator, OperatorOptions} from './operator_client.js';
import {formatLogLine, readRequestLines} from './explain.js';
import {runStandin} from './standin_command.js';

/** Exit codes of the command line. */
export const ExitCode = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unavailable: 4,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

type Options = Readonly<Record<string, unknown>>;

const print = (text: string): void => void process.stdout.write(`${text}\n`);
const complain = (text: string): void => void process.stderr.write(`${text}\n`);
const printJson = (value: unknown): void =>
  print(JSON.stringify(value, null, 2));

/** Runs the command line; resolves with the exit code once it is done. */
export async function main(argv: readonly string[]): Promise<ExitCode> {
  const cli = cac('mustardpass');
  let code: ExitCode = ExitCode.ok;
  const run = (action: () => Promise<ExitCode>): Promise<void> =>
    action().then(result => {
      code = result;
    });
  addProxyCommands(cli, run);
  addOperatorCommands(cli, run);
  addLocalCommands(cli, run);
  cli.help();
  cli.version('0.1.0');
  try {
    cli.parse(['node', 'mustardpass', ...argv], {run: false});
    if (cli.options.help || cli.options.version) return ExitCode.ok;
    if (!cli.matchedCommand) {
      complain(`unknown command '${argv[0] ?? ''}'; see mustardpass --help`);
      return ExitCode.usage;
    }
    await cli.runMatchedCommand();
    return code;
  } catch (error) {
    complain((error as Error).message);
    return ExitCode.usage;
  }
}

type Run = (action: () => Promise<ExitCode>) => Promise<void>;

function addProxyCommands(cli: CAC, run: Run): void {
  const proxy = cli
    .command('proxy', 'run a proxy on this VM')
    .example(
      'mustardpass proxy --vm vm-1 --zone sierra-a --fleet-secrets s3cret',
    );
  for (const [name, setting] of Object.entries(SETTINGS)) {
    proxy.option(
      `${flagOf(name)} <value>`,
      `${setting.help} [${variableOf(name)}]`,
    );
  }
  proxy.action((options: Options) => run(() => runProxy(options)));
}

function resolved(options: Options): ResolvedSettings | undefined {
  const flags = Object.fromEntries(
    Object.keys(SETTINGS).map(name => [name, options[name]]),
  );
  const result = resolveSettings(flags, process.env);
  if (result.isOk()) return result.value;
  complain(result.error);
  return undefined;
}

async function runProxy(options: Options): Promise<ExitCode> {
  const settings = resolved(options);
  if (!settings) return ExitCode.usage;
  enableLogs(settings.settings.log);
  const proxy = await Proxy.create(settings).catch((error: Error) => {
    complain(`cannot start: ${error.message}`);
    return undefined;
  });
  if (!proxy) return ExitCode.failed;
  process.on('SIGUSR2', () => complain(JSON.stringify(proxy.dump())));
  await new Promise<void>(resolve => {
    const stop = (): void => void proxy.drain().then(resolve);
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  });
  return ExitCode.ok;
}

function addOperatorCommands(cli: CAC, run: Run): void {
  const command = (usage: string, help: string, example: string) =>
    cli
      .command(usage, help)
      .option(
        '--url <url>',
        'operators’ port of any VM [MUSTARDPASS_OPERATOR_URL]',
      )
      .option('--key <key>', 'operator key [MUSTARDPASS_OPERATOR_KEY]')
      .example(example);
  command(
    'plan',
    'show what an intent would change',
    'mustardpass plan -f intent.json',
  )
    .option('-f, --file <file>', 'intent, as JSON')
    .option('--json', 'print the plan as JSON')
    .action((options: Options) => run(() => runPlan(options)));
  command(
    'confirm <id>',
    'apply exactly one plan; safe to repeat',
    'mustardpass confirm 3f2a9c41d0b7',
  ).action((id: string, options: Options) =>
    run(() => request(options, 'POST', '/confirm', {planId: String(id)})),
  );
  command(
    'show [what]',
    'show the configuration in force; `show config` shows settings',
    'mustardpass show',
  ).action((what: string | undefined, options: Options) =>
    run(() => runShow(what, options)),
  );
  command('dump', 'print the state of a proxy', 'mustardpass dump').action(
    (options: Options) => run(() => request(options, 'GET', '/dump')),
  );
  command('drain', 'shut a proxy down gracefully', 'mustardpass drain').action(
    (options: Options) => run(() => request(options, 'POST', '/drain', {})),
  );
}

const operatorOptions = (options: Options): OperatorOptions => ({
  url: String(
    options.url ??
      process.env.MUSTARDPASS_OPERATOR_URL ??
      'http://127.0.0.1:6434',
  ),
  key: String(options.key ?? process.env.MUSTARDPASS_OPERATOR_KEY ?? ''),
});

async function request(
  options: Options,
  method: 'GET' | 'POST',
  path: string,
  body?: object,
): Promise<ExitCode> {
  const answer = await callOperator(
    operatorOptions(options),
    method,
    path,
    body,
  );
  if (answer.exitCode === ExitCode.ok) printJson(answer.body);
  else complain(answer.problem);
  return answer.exitCode;
}

async function runShow(
  what: string | undefined,
  options: Options,
): Promise<ExitCode> {
  if (what === undefined) return request(options, 'GET', '/show');
  if (what !== 'config') {
    complain(`show: '${what}' is not known; allowed: config, or nothing`);
    return ExitCode.usage;
  }
  const settings = resolved({});
  if (!settings) return ExitCode.usage;
  printJson(describeSettings(settings));
  return ExitCode.ok;
}

async function runPlan(options: Options): Promise<ExitCode> {
  const intent = readIntent(options.file);
  if (intent === undefined) return ExitCode.usage;
  const answer = await callOperator(
    operatorOptions(options),
    'POST',
    '/plan',
    intent,
  );
  if (answer.exitCode !== ExitCode.ok) {
    complain(answer.problem);
    return answer.exitCode;
  }
  if (options.json) printJson(answer.body);
  else print(describePlan(answer.body as unknown as PrintedPlan));
  return ExitCode.ok;
}

interface PrintedPlan {
  readonly id: string;
  readonly baseVersion: number;
  readonly changes: readonly string[];
  readonly warnings: readonly string[];
}

const describePlan = (plan: PrintedPlan): string =>
  [
    `plan ${plan.id} against version ${plan.baseVersion}`,
    ...plan.changes.map(line => `  ${line}`),
    ...(plan.changes.length === 0 ? ['  nothing would change'] : []),
    ...plan.warnings.map(line => `warning: ${line}`),
    `nothing has happened yet; apply with: mustardpass confirm ${plan.id}`,
  ].join('\n');

function readIntent(file: unknown): object | undefined {
  if (typeof file !== 'string') {
    complain('--file is required: an intent as JSON');
    return undefined;
  }
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as object;
  } catch (error) {
    complain(`--file is '${file}': ${(error as Error).message}`);
    return undefined;
  }
}

function addLocalCommands(cli: CAC, run: Run): void {
  cli
    .command('explain <request> <...files>', "tell a request's story from logs")
    .option('--json', 'print the lines as JSON')
    .example('mustardpass explain 8d2c3068f59c5dac front-*.log')
    .action((request: string, files: string[], options: Options) =>
      run(() => explain(String(request), files, options)),
    );
  cli
    .command('keys <customer> <id>', 'make a key; its secret is shown once')
    .example('mustardpass keys supermaxi k-2026-12 > add-key.json')
    .action((customer: string, id: string) =>
      run(() => makeKey(String(customer), String(id))),
    );
  cli
    .command('demo', 'prove the main promises on embedded stand-ins')
    .option('--sessions <n>', 'callers', {default: DEMO_DEFAULTS.sessions})
    .example('mustardpass demo --sessions 24')
    .action((options: Options) => run(() => demo(Number(options.sessions))));
  cli
    .command('standin', 'run a stand-in platform and database groups')
    .option('--platform-port <port>', 'port of the platform', {default: 2379})
    .option('--base-port <port>', 'first port of the databases', {
      default: 7001,
    })
    .option('--services <n>', 'database groups', {default: 1})
    .option('--lag-ms <ms>', 'replication lag', {default: 20})
    .option('--vms <file>', 'list of VMs to publish, as JSON')
    .example('mustardpass standin --services 3')
    .action((options: Options) => run(() => runStandin(options, complain)));
}

/** Prints what the logs of several processes say of one request. */
async function explain(
  request: string,
  files: readonly string[],
  options: Options,
): Promise<ExitCode> {
  const found = readRequestLines(request, files);
  if (found.isErr()) {
    complain(found.error);
    return ExitCode.failed;
  }
  if (options.json) printJson(found.value);
  else for (const line of found.value) print(formatLogLine(line));
  return ExitCode.ok;
}

/** Prints the intent that adds a new key; the secret goes to standard error. */
async function makeKey(customer: string, id: string): Promise<ExitCode> {
  const secret = randomBytes(24).toString('base64url');
  const action = {
    do: 'add_key',
    customer,
    key: {id, digest: digestKey(secret)},
  };
  complain(`key for ${customer}, shown once: ${secret}`);
  printJson({actions: [action]});
  return ExitCode.ok;
}

async function demo(sessions: number): Promise<ExitCode> {
  if (!Number.isInteger(sessions) || sessions < 1 || sessions > 1_000) {
    complain('--sessions: allowed is a whole number from 1 to 1000');
    return ExitCode.usage;
  }
  const report = await runDemo({
    ...DEMO_DEFAULTS,
    sessions,
    onProgress: line => complain(line),
  });
  print(JSON.stringify(report));
  return report.demo === 'ok' ? ExitCode.ok : ExitCode.failed;
}
