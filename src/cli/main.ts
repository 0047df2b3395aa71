/** The commands of the `mustardpass` command line. */
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
import {explainFromFiles, formatExplanation} from './explain.js';
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
const printToStderr = (text: string): void =>
  void process.stderr.write(`${text}\n`);
const printJson = (value: unknown): void =>
  print(JSON.stringify(value, null, 2));

/** Runs a command; resolves with its exit code. */
export async function main(argv: readonly string[]): Promise<ExitCode> {
  const cli = cac('mustardpass');
  let exitCode: ExitCode = ExitCode.ok;
  const run = (action: () => Promise<ExitCode>): Promise<void> =>
    action().then(result => {
      exitCode = result;
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
      printToStderr(
        `unknown command '${argv[0] ?? ''}'; see mustardpass --help`,
      );
      return ExitCode.usage;
    }
    await cli.runMatchedCommand();
    return exitCode;
  } catch (error) {
    printToStderr((error as Error).message);
    return ExitCode.usage;
  }
}

/** Runs the action of a command and records its exit code. */
type RunAction = (action: () => Promise<ExitCode>) => Promise<void>;

function addProxyCommands(cli: CAC, run: RunAction): void {
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

function readSettings(options: Options): ResolvedSettings | undefined {
  const flags = Object.fromEntries(
    Object.keys(SETTINGS).map(name => [name, options[name]]),
  );
  const result = resolveSettings(flags, process.env);
  if (result.isOk()) return result.value;
  printToStderr(result.error);
  return undefined;
}

async function runProxy(options: Options): Promise<ExitCode> {
  const settings = readSettings(options);
  if (!settings) return ExitCode.usage;
  enableLogs(settings.settings.log);
  const proxy = await Proxy.create(settings).catch((error: Error) => {
    printToStderr(`cannot start: ${error.message}`);
    return undefined;
  });
  if (!proxy) return ExitCode.failed;
  process.on('SIGUSR2', () => printToStderr(JSON.stringify(proxy.dump())));
  await new Promise<void>(resolve => {
    const stop = (): void => void proxy.drain().then(resolve);
    process.once('SIGTERM', stop);
    process.once('SIGINT', stop);
  });
  return ExitCode.ok;
}

function addOperatorCommands(cli: CAC, run: RunAction): void {
  const command = (usage: string, help: string, example: string) =>
    cli
      .command(usage, help)
      .option(
        '--url <url>',
        'URL of the operator port of any VM [MUSTARDPASS_OPERATOR_URL]',
      )
      .option('--key <key>', 'operator key [MUSTARDPASS_OPERATOR_KEY]')
      .example(example);
  command(
    'plan',
    'show the changes that an intent would make',
    'mustardpass plan -f intent.json',
  )
    .option('-f, --file <file>', 'file with the intent as JSON')
    .option('--json', 'print the plan as JSON')
    .action((options: Options) => run(() => runPlan(options)));
  command(
    'confirm <id>',
    'apply exactly the given plan; safe to repeat',
    'mustardpass confirm 3f2a9c41d0b7',
  ).action((id: string, options: Options) =>
    run(() => callAndPrint(options, 'POST', '/confirm', {planId: String(id)})),
  );
  command(
    'show [what]',
    'show the active configuration; `show config` shows the settings',
    'mustardpass show',
  ).action((what: string | undefined, options: Options) =>
    run(() => runShow(what, options)),
  );
  command('dump', 'print the state of a proxy', 'mustardpass dump').action(
    (options: Options) => run(() => callAndPrint(options, 'GET', '/dump')),
  );
  command('drain', 'shut a proxy down gracefully', 'mustardpass drain').action(
    (options: Options) =>
      run(() => callAndPrint(options, 'POST', '/drain', {})),
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

async function callAndPrint(
  options: Options,
  method: 'GET' | 'POST',
  path: string,
  body?: object,
): Promise<ExitCode> {
  const response = await callOperator(
    operatorOptions(options),
    method,
    path,
    body,
  );
  if (response.exitCode === ExitCode.ok) printJson(response.body);
  else printToStderr(response.message);
  return response.exitCode;
}

async function runShow(
  what: string | undefined,
  options: Options,
): Promise<ExitCode> {
  if (what === undefined) return callAndPrint(options, 'GET', '/show');
  if (what !== 'config') {
    printToStderr(`unknown argument '${what}'; use 'show' or 'show config'`);
    return ExitCode.usage;
  }
  const settings = readSettings({});
  if (!settings) return ExitCode.usage;
  printJson(describeSettings(settings));
  return ExitCode.ok;
}

async function runPlan(options: Options): Promise<ExitCode> {
  const intent = readIntent(options.file);
  if (intent === undefined) return ExitCode.usage;
  const response = await callOperator(
    operatorOptions(options),
    'POST',
    '/plan',
    intent,
  );
  if (response.exitCode !== ExitCode.ok) {
    printToStderr(response.message);
    return response.exitCode;
  }
  if (options.json) printJson(response.body);
  else print(describePlan(response.body as unknown as PrintedPlan));
  return ExitCode.ok;
}

/** The fields of an operator server's plan that the command line prints. */
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
    ...(plan.changes.length === 0 ? ['  no changes'] : []),
    ...plan.warnings.map(line => `warning: ${line}`),
    `nothing has been changed yet; apply with: mustardpass confirm ${plan.id}`,
  ].join('\n');

function readIntent(file: unknown): object | undefined {
  if (typeof file !== 'string') {
    printToStderr('--file is required: a file with an intent as JSON');
    return undefined;
  }
  try {
    return JSON.parse(readFileSync(file, 'utf8')) as object;
  } catch (error) {
    printToStderr(`cannot read --file '${file}': ${(error as Error).message}`);
    return undefined;
  }
}

function addLocalCommands(cli: CAC, run: RunAction): void {
  cli
    .command(
      'explain <id> <...files>',
      'print the log lines of a request, transaction, lane or connection',
    )
    .option('--json', 'print the lines as JSON')
    .example('mustardpass explain 8d2c3068f59c5dac front-*.log')
    .action((id: string, files: string[], options: Options) =>
      run(() => runExplain(String(id), files, options)),
    );
  cli
    .command(
      'keys <customer> <id>',
      'create a customer key; its secret is shown once',
    )
    .example('mustardpass keys supermaxi k-2026-12 > add-key.json')
    .action((customer: string, id: string) =>
      run(() => runKeys(String(customer), String(id))),
    );
  cli
    .command('demo', 'check the consistency guarantees on embedded stand-ins')
    .option('--sessions <n>', 'number of sessions', {
      default: DEMO_DEFAULTS.sessions,
    })
    .example('mustardpass demo --sessions 24')
    .action((options: Options) =>
      run(() => runDemoCommand(Number(options.sessions))),
    );
  cli
    .command('standin', 'run stand-ins of the platform and of database groups')
    .option('--platform-port <port>', 'port of the platform', {default: 2379})
    .option('--base-port <port>', 'first port of the databases', {
      default: 7001,
    })
    .option('--services <n>', 'number of database groups', {default: 1})
    .option('--lag-ms <ms>', 'replication lag in milliseconds', {default: 20})
    .option('--vms <file>', 'file with the list of VMs to publish as JSON')
    .example('mustardpass standin --services 3')
    .action((options: Options) =>
      run(() => runStandin(options, printToStderr)),
    );
}

/**
 * Collects the log lines about a request, transaction, lane or connection from
 * the logs of several processes and prints them.
 */
async function runExplain(
  id: string,
  files: readonly string[],
  options: Options,
): Promise<ExitCode> {
  const found = explainFromFiles(id, files);
  if (found.isErr()) {
    printToStderr(found.error);
    return ExitCode.failed;
  }
  if (options.json) printJson(found.value.lines);
  else for (const line of formatExplanation(found.value)) print(line);
  return ExitCode.ok;
}

/** Prints an intent that adds a new key, and its secret to standard error. */
async function runKeys(customer: string, id: string): Promise<ExitCode> {
  const secret = randomBytes(24).toString('base64url');
  const action = {
    do: 'add_key',
    customer,
    key: {id, digest: digestKey(secret)},
  };
  printToStderr(`key for ${customer}, shown once: ${secret}`);
  printJson({actions: [action]});
  return ExitCode.ok;
}

async function runDemoCommand(sessions: number): Promise<ExitCode> {
  if (!Number.isInteger(sessions) || sessions < 1 || sessions > 1_000) {
    printToStderr('--sessions must be a whole number from 1 to 1000');
    return ExitCode.usage;
  }
  const report = await runDemo({
    ...DEMO_DEFAULTS,
    sessions,
    onProgress: line => printToStderr(line),
  });
  print(JSON.stringify(report));
  return report.demo === 'ok' ? ExitCode.ok : ExitCode.failed;
}
