/** Checks arguments of the command line. */
import { isJobId } from '#wire';
import { CommandError, ExitCode } from './command-error.js';

const MAX_PORT = 65_535;

/** Returns the text if it has the form `HOST:PORT`; throws CommandError otherwise. */
export function parseControllerAddress(text: string): string {
  const [, port] = /^[^:\s]+:([0-9]{1,5})$/.exec(text) ?? [];
  const isPort = Number(port) >= 1 && Number(port) <= MAX_PORT;
  if (isPort) return text;
  throw new CommandError(ExitCode.badInput, `--at ${text}: must be HOST:PORT`);
}

/** Returns the text if it is a job id; throws CommandError otherwise. */
export function parseJobId(text: string): string {
  if (isJobId(text)) return text;
  throw new CommandError(ExitCode.badInput, `${text}: is not a job id such as j-000412`);
}
