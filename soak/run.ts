/**
 * Command line of the fault soak: `npm run soak -- --seeds N --minutes M`.
 * Prints a line of JSON for each seed; exits with 1 if a rule was broken.
 */
import {rmSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {cac} from 'cac';
import {FaultSet} from './fault_schedule.js';
import {hasPassed, runSoak} from './soak_run.js';

const PROGRAM = fileURLToPath(new URL('../platform/main.js', import.meta.url));

interface Options {
  readonly seed: number;
  readonly seeds: number;
  readonly minutes: number;
  readonly fronts: number;
  readonly callers: number;
  readonly faults: FaultSet;
  readonly kinds?: string;
  readonly program: string;
  readonly logs: string;
  readonly keep?: boolean;
}

const cli = cac('soak');
cli
  .command(
    '',
    'run fronts as processes under faults and judge what databases saw',
  )
  .option('--seed <n>', 'first seed', {default: 1})
  .option('--seeds <n>', 'number of seeds', {default: 1})
  .option('--minutes <n>', 'time of faults for each seed', {default: 1})
  .option('--fronts <n>', 'number of front processes', {default: 6})
  .option('--callers <n>', 'callers at each front', {default: 8})
  .option('--faults <set>', 'set of faults: single or primary', {
    default: FaultSet.single,
  })
  .option('--kinds <list>', 'kinds of faults, by commas; all by default')
  .option('--program <path>', 'entry point of a front', {default: PROGRAM})
  .option('--logs <folder>', 'folder for logs', {default: 'target/soak'})
  .option('--keep', 'keep the logs of seeds that passed')
  .action(async (options: Options) => {
    const first = Number(options.seed);
    for (let seed = first; seed < first + Number(options.seeds); seed++) {
      const folder = join(options.logs, `seed-${seed}`);
      rmSync(folder, {recursive: true, force: true});
      const result = await runSoak({
        seed,
        minutes: Number(options.minutes),
        fronts: Number(options.fronts),
        callersPerFront: Number(options.callers),
        faults: options.faults,
        kinds: options.kinds?.split(','),
        program: options.program,
        folder,
      });
      const passed = hasPassed(result);
      process.stdout.write(`${JSON.stringify({passed, ...result})}\n`);
      if (!passed) process.exitCode = 1;
      else if (!options.keep) rmSync(folder, {recursive: true, force: true});
    }
  });
cli.help();
// Runs the exit handlers, which end the processes of a run.
for (const signal of ['SIGINT', 'SIGTERM']) {
  process.once(signal, () => process.exit(1));
}
cli.parse();
