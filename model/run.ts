/**
 * Runs the model check: `npm run model [-- --quick]`. Prints a line for each
 * model and mutant, then the result as JSON. Exits with 1 if a model breaks an
 * invariant or a mutant breaks none.
 */
import {checkAll, FULL_BOUNDS, QUICK_BOUNDS} from './check.js';

const isQuick = process.argv.includes('--quick');
const print = (line: string): void => void process.stdout.write(`${line}\n`);
const result = checkAll(isQuick ? QUICK_BOUNDS : FULL_BOUNDS, print);
print(JSON.stringify(result));
process.exitCode = result.model === 'ok' ? 0 : 1;
