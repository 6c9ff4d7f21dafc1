/**
 * Writes the compiled code of the program, so that a controller need not compile it: neither when it starts nor
 * when it has much to do for the first time, as after a failover.
 */
import { writeFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { CACHE_FILE, compileProgram, loadProgram } from '../cli/launch.cjs';
import { warmUp } from './rehearsal.js';

// What has not run for a while would be given up, and be missing. Compiled code is of use only under the
// options under which it was written, so the usual ones are in force again by then.
setFlagsFromString('--no-flush-bytecode');
const script = compileProgram(undefined);
await warmUp(loadProgram(script));
setFlagsFromString('--flush-bytecode');
writeFileSync(CACHE_FILE, script.createCachedData());
// Controllers of the simulation never end by themselves.
process.exit();
