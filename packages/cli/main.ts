/** The program that the bundle holds and that `launch` starts. */
import { processOutput } from './output.js';
import { runCommandLine } from './program.js';

/** Runs the command line in this process, and ends it with the exit code if something failed. */
export function main(args: string[]): void {
  void runCommandLine(args, processOutput).then((exitCode) => {
    // A controller that has failed may leave timers behind; what succeeded ends by itself.
    if (exitCode !== 0) process.exit(exitCode);
  });
}

/** For the build, which runs a small cluster of the bundled program so that its code gets compiled. */
export { Controller, loadSettings, makeLog } from '#controller';
