/** What the build does after tsc: puts the program into one file and keeps its compiled code beside it. */
import { spawnSync } from 'node:child_process';
import { rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { CACHE_FILE } from '../cli/launch.cjs';
import { bundleProgram } from './bundle-program.js';
import { nodeOptions } from './service-file.js';

/** Compiled code is of use only to a process with the same options, so such a process makes it. */
function writeCodeCache(): void {
  const program = fileURLToPath(new URL('./keep-compiled.js', import.meta.url));
  const { status, error } = spawnSync(process.execPath, [...nodeOptions(), program], {
    stdio: 'inherit',
  });
  if (status !== 0) throw new Error('the compiled code could not be kept', { cause: error });
}

// Node does not notice that compiled code is of another program, if both are of the same length.
rmSync(CACHE_FILE, { force: true });
await bundleProgram();
writeCodeCache();
