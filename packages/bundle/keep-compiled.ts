/** Writes the compiled code of the program, so that a controller need not compile it at each start. */
import { writeFileSync } from 'node:fs';
import { CACHE_FILE, compileProgram, loadProgram } from '../cli/launch.cjs';

const script = compileProgram(undefined);
process.on('exit', () => writeFileSync(CACHE_FILE, script.createCachedData()));
loadProgram(script).main(['--version']);
