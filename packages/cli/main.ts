import { processOutput } from './output.js';
import { runCommandLine } from './program.js';

void runCommandLine(process.argv.slice(2), processOutput).then((exitCode) => {
  // A controller that has failed may leave timers behind; what succeeded ends by itself.
  if (exitCode !== 0) process.exit(exitCode);
});
