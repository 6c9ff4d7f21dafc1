/** Checks of arguments of the command line. */
import { isJobId } from '#wire';
import { CommandError, ExitCode } from './command-error.js';

const MAX_PORT = 65_535;

/** A `HOST:PORT` as it was given, or a CommandError. */
export function parseControllerAddress(text: string): string {
  const [, port] = /^[^:\s]+:([0-9]{1,5})$/.exec(text) ?? [];
  const isPort = Number(port) >= 1 && Number(port) <= MAX_PORT;
  if (isPort) return text;
  throw new CommandError(ExitCode.badInput, `--at ${text}: must be HOST:PORT`);
}

/** A job's id as it was given, or a CommandError. */
export function parseJobId(text: string): string {
  if (isJobId(text)) return text;
  throw new CommandError(ExitCode.badInput, `${text}: is no job id, like j-000412`);
}
