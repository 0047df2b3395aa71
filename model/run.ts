/**
 * Model checking of the core: every model must hold, and every mutant (one
 * rule weakened) must be caught. `npm run model [-- --quick]`.
 */
import {checkAll, FULL_BOUNDS, QUICK_BOUNDS} from './check.js';

const quick = process.argv.includes('--quick');
const say = (line: string): void => void process.stdout.write(`${line}\n`);
const result = checkAll(quick ? QUICK_BOUNDS : FULL_BOUNDS, say);
say(JSON.stringify(result));
process.exitCode = result.model === 'ok' ? 0 : 1;
