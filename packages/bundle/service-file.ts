/** Reads the deploy file, by which the platform builds and starts the service. */
import { readFileSync } from 'node:fs';
import { parse } from 'smol-toml';

const SERVICE_FILE = new URL('../../deploy/service.toml', import.meta.url);

/** How the platform builds and starts the service. */
interface ServiceFile {
  build: string;
  /** A program with its arguments; the path of a settings file is appended. */
  run: string;
}

/** The options of Node in the command that starts a controller. */
export function nodeOptions(): string[] {
  const { run } = parse(readFileSync(SERVICE_FILE, 'utf8')) as unknown as ServiceFile;
  const [, ...args] = run.split(' ');
  const program = args.findIndex((arg) => !arg.startsWith('-'));
  return args.slice(0, program);
}
