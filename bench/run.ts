/** `npm run bench -- path|policy|overload|faults|slopes [--seconds N]`. */
import {cac} from 'cac';
import {benchFaults} from './faults.js';
import {benchOverload} from './overload.js';
import {benchPath} from './path.js';
import {benchPolicy} from './policy.js';
import {benchSlopes} from './slopes.js';

const say = (line: string): void => void process.stderr.write(`${line}\n`);

const BENCHES: Record<
  string,
  | ((say: (line: string) => void, seconds: number) => Promise<object>)
  | undefined
> = {
  path: benchPath,
  policy: benchPolicy,
  overload: benchOverload,
  faults: benchFaults,
  slopes: benchSlopes,
};

const cli = cac('bench');
cli
  .command(
    '<name>',
    'run one benchmark: path, policy, overload, faults or slopes',
  )
  .option('--seconds <n>', 'time for each figure', {default: 3})
  .example('npm run bench -- path')
  .action(async (name: string, options: {seconds: number}) => {
    const bench = BENCHES[name];
    if (!bench) {
      say(
        `no benchmark '${name}'; allowed: ${Object.keys(BENCHES).join(', ')}`,
      );
      process.exitCode = 2;
      return;
    }
    const result = await bench(say, Number(options.seconds));
    process.stdout.write(`${JSON.stringify(result)}\n`);
    const violations = (result as {total_violations?: number}).total_violations;
    process.exitCode = violations ? 1 : 0;
  });
cli.help();
cli.parse();
