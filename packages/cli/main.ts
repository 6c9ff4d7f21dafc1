/** Entry point of the bundled program, which `launch.cts` starts. */
import { processOutput } from './output.js';
import { runCommandLine } from './program.js';

/** Runs the command line in this process, and exits with the exit code if the command failed. */
export function main(args: string[]): void {
  void runCommandLine(args, processOutput).then((exitCode) => {
    // Timers of a failed controller may keep the process alive. After a success the process ends by itself.
    if (exitCode !== 0) process.exit(exitCode);
  });
}

/** Exported for the build, which simulates a small cluster with the bundled program so that V8 compiles its code. */
export { Controller, loadSettings, makeLog } from '#controller';
