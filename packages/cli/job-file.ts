/** Reads job files. */
import { readFileSync } from 'node:fs';
import { CommandError, ExitCode } from './command-error.js';

/** Reads a JSON file that holds an object; throws CommandError, which names the file. The service checks the fields. */
export function readJobFile(file: string): object {
  const job = parse(file, read(file));
  if (typeof job === 'object' && job !== null && !Array.isArray(job)) return job;
  throw new CommandError(ExitCode.badInput, `${file}: is not a JSON object`);
}

function read(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (err) {
    const { code, message } = err as NodeJS.ErrnoException;
    throw new CommandError(ExitCode.badInput, `${file}: cannot be read: ${code ?? message}`, {
      cause: err,
    });
  }
}

function parse(file: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (err) {
    const [reason] = (err as Error).message.split('\n');
    throw new CommandError(ExitCode.badInput, `${file}: is not JSON: ${reason}`, { cause: err });
  }
}
