/** Reads the deploy file, which tells the platform how to build and start the service. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

const SERVICE_FILE = new URL('../../deploy/service.toml', import.meta.url);

/** The commands with which the platform builds and starts the service. */
interface ServiceFile {
  build: string;
  /** A program with its arguments; the platform appends the path of a settings file. */
  run: string;
}

/** The options for Node in the command that starts a controller. */
export function nodeOptions(): string[] {
  const { run } = parse(readFileSync(SERVICE_FILE, 'utf8')) as unknown as ServiceFile;
  const [, ...args] = run.split(' ');
  const program = args.findIndex((arg) => !arg.startsWith('-'));
  return args.slice(0, program);
}
