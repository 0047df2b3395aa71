#!/usr/bin/env node
/** Entry point of the `mustardpass` command. */
import {main} from '../cli/main.js';

process.exitCode = await main(process.argv.slice(2));
