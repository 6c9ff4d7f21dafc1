/** Which sources are measured, and how their controllers are started. */
import { execFileSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { parse } from 'smol-toml';

/** The measured sources, as far as they can be told. */
export interface SourceVersion {
  /** Of package.json. */
  version: string;
  /** Null outside a git checkout. */
  commit: string | null;
  /** Files differ from the commit. */
  changed: boolean;
}

/** A directory that holds no built checkout; the message names what is missing. */
export class NotBuilt extends Error {}

/** The program of the run line before it was put in one file, so that each function tells its module. */
const UNBUNDLED_PROGRAM = 'target/cli/main.js';

/** The run line of deploy/service.toml in words, with more options of Node; the settings file follows. */
export function runLine(directory: string, nodeOptions: string[]): string[] {
  const file = path.join(directory, 'deploy/service.toml');
  if (!existsSync(file)) throw new NotBuilt(`--sources ${directory}: has no deploy/service.toml`);
  const { run } = parse(readFileSync(file, 'utf8')) as { run: string };
  const words = run.split(' ');
  const program = words.find((word) => word.endsWith('.js'));
  if (program !== undefined && !existsSync(path.join(directory, program))) {
    throw new NotBuilt(`--sources ${directory}: ${program} is missing; npm run build makes it`);
  }
  const [node, ...args] = words;
  return [node, ...nodeOptions, ...args];
}

/** The same for a controller that is profiled: it leaves its profile in that directory when it ends. */
export function profiledRunCommand(command: string[], profileDirectory: string): string[] {
  const unbundled = command.map((word) => (word.endsWith('.js') ? UNBUNDLED_PROGRAM : word));
  const [node, ...args] = unbundled;
  return [node, '--cpu-prof', `--cpu-prof-dir=${profileDirectory}`, ...args];
}

export function sourceVersion(directory: string): SourceVersion {
  const manifest = readFileSync(path.join(directory, 'package.json'), 'utf8');
  const { version } = JSON.parse(manifest) as { version: string };
  const commit = git(directory, 'rev-parse', '--short', 'HEAD');
  const changed = (git(directory, 'status', '--porcelain') ?? '') !== '';
  return { version, commit, changed };
}

function git(directory: string, ...args: string[]): string | null {
  try {
    const options = { cwd: directory, stdio: 'pipe' } as const;
    return execFileSync('git', args, options).toString().trim();
  } catch {
    return null;
  }
}
