/** The build step after tsc: bundles the program into one file and writes its code cache beside it. */
import { spawnSync } from 'node:child_process';
import { rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { CACHE_FILE } from '../cli/launch.cjs';
import { bundleProgram } from './bundle-program.js';
import { nodeOptions } from './service-file.js';

/** Writes the code cache in a process with a controller's options, because V8 accepts it only with equal options. */
function writeCodeCache(): void {
  const program = fileURLToPath(new URL('./write-code-cache.js', import.meta.url));
  const { status, error } = spawnSync(process.execPath, [...nodeOptions(), program], {
    stdio: 'inherit',
  });
  if (status !== 0) throw new Error('the code cache could not be written', { cause: error });
}

// V8 does not notice that a code cache belongs to another program if both programs have the same length.
rmSync(CACHE_FILE, { force: true });
await bundleProgram();
writeCodeCache();
