/** The command line: runs a command or a controller, and maps errors to exit codes. */
import { CommandError, ExitCode, LoggedError } from './command-error.js';
import type { Output } from './output.js';
import { serve } from './serve.js';
import { parseControllerArguments } from './settings-files.js';

/** Runs the command line; resolves with the exit code once all output is written, and never rejects. */
export async function runCommandLine(args: string[], output: Output): Promise<ExitCode> {
  try {
    const files = parseControllerArguments(args);
    if (files === null) return await runCommand(args, output);
    await serve(files);
    return ExitCode.done;
  } catch (err) {
    return printError(err, output);
  }
}

/** Runs a command. The commands are loaded on demand, because a controller starts without them. */
async function runCommand(args: string[], output: Output): Promise<ExitCode> {
  const commands = await import('./commands.js');
  return commands.runCommand(args, output);
}

/** Writes the error as one line, unless it has been logged, and returns the exit code. */
function printError(err: unknown, output: Output): ExitCode {
  if (err instanceof LoggedError) return err.exitCode;
  const known = err instanceof CommandError;
  const message = known ? err.message : `unexpected error: ${String(err).split('\n')[0]}`;
  output.err(`${message}\n`);
  return known ? err.exitCode : ExitCode.unexpected;
}
