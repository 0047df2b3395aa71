/** The `standin` command: stand-ins of the platform and the databases. */
import {readFileSync} from 'node:fs';
import {loadModule} from 'libpg-query';
import {Config, digestKey} from '../core/config.js';
import {StoreKey} from '../store/store.js';
import {StandinGroup} from '../standin/group.js';
import {StandinPlatform} from '../standin/platform.js';
import {describeViolation} from '../standin/transaction_judge.js';
import {ExitCode} from './main.js';

type Options = Readonly<Record<string, unknown>>;

const DATABASES_PER_GROUP = 3;
const CUSTOMER_NAME = 'supermaxi';
const CUSTOMER_KEY = 'standin-key';
const GROUP_LIMITS = {
  slots: 2,
  connections: 16,
  connectMs: 10,
  serviceTimeMs: 0,
};
const RATE_LIMIT = {ratePerS: 100_000, burst: 100_000, weight: 1};
const PLACES = [
  {region: 'sierra', zone: 'sierra-a'},
  {region: 'sierra', zone: 'sierra-b'},
  {region: 'costa', zone: 'costa-a'},
];

/** Runs the stand-ins until SIGINT or SIGTERM. */
export async function runStandin(
  options: Options,
  printLine: (line: string) => void,
): Promise<ExitCode> {
  await loadModule();
  const platform = await StandinPlatform.create({
    port: Number(options.platformPort),
  });
  const groups = await startGroups(options, printLine);
  platform.put(StoreKey.config, JSON.stringify(createConfig(groups)));
  if (typeof options.vms === 'string') {
    platform.put(StoreKey.vms, readFileSync(options.vms, 'utf8'));
  }
  printLine(
    `platform at ${platform.url}; customer ${CUSTOMER_NAME}, key ${CUSTOMER_KEY}`,
  );
  for (const group of groups) {
    const ports = group.servers.map(server => server.port).join(', ');
    printLine(`${group.options.service}: ports ${ports}`);
  }
  await new Promise<void>(resolve => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  printLine(describeJudgement(groups));
  await Promise.all(groups.map(group => group.close()));
  await platform.close();
  return ExitCode.ok;
}

/** Reports on the statements that name their caller. */
function describeJudgement(groups: readonly StandinGroup[]): string {
  const servers = groups.flatMap(group => group.servers);
  const tagged = servers.reduce((n, server) => n + server.taggedStatements, 0);
  const wrong = servers.reduce((n, server) => n + server.violations.length, 0);
  return `${tagged} tagged statements, ${wrong} in a wrong transaction`;
}

async function startGroups(
  options: Options,
  printLine: (line: string) => void,
): Promise<StandinGroup[]> {
  const groups: StandinGroup[] = [];
  for (let i = 0; i < Number(options.services); i++) {
    groups.push(
      await StandinGroup.create({
        service: `order-books-${i + 1}`,
        databases: DATABASES_PER_GROUP,
        places: PLACES,
        ...GROUP_LIMITS,
        lagMs: Number(options.lagMs),
        basePort: Number(options.basePort) + i * DATABASES_PER_GROUP,
        onViolation: violation => printLine(describeViolation(violation)),
      }),
    );
  }
  return groups;
}

function createConfig(groups: readonly StandinGroup[]): Config {
  const services = groups.map(group => ({
    name: group.options.service,
    databases: group.databaseConfigs(),
    slots: GROUP_LIMITS.slots,
    connections: GROUP_LIMITS.connections,
    writeAck: 'replica' as const,
    open: false,
  }));
  const customer = {
    name: CUSTOMER_NAME,
    keys: [{id: 'first', digest: digestKey(CUSTOMER_KEY)}],
    services: services.map(service => service.name),
    ...RATE_LIMIT,
  };
  return {version: 1, services, customers: [customer], history: []};
}
