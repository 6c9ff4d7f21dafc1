/**
 * Writes V8's code cache of the program, so that a controller need not compile functions at its start, or when it
 * first runs them under high load, as after a failover.
 */
import { writeFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { CACHE_FILE, compileProgram, loadProgram } from '../cli/launch.cjs';
import { warmUp } from './warm-up.js';

// Without this flag V8 discards the compiled code of functions that have not run for a while, and the cache would
// lack them. V8 accepts a cache only under the options with which it was written, so the default is restored first.
setFlagsFromString('--no-flush-bytecode');
const script = compileProgram(undefined);
await warmUp(loadProgram(script));
setFlagsFromString('--flush-bytecode');
writeFileSync(CACHE_FILE, script.createCachedData());
// The controllers of the simulation never end by themselves, so the process would not end either.
process.exit();
