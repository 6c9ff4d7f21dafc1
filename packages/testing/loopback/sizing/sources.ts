/** Identifies the measured sources and builds the command that starts their controllers. */
import { execFileSync } from 'node:child_process';
import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { parse } from 'smol-toml';

/** Version of the measured sources. */
export interface SourceVersion {
  /** Version in package.json. */
  version: string;
  /** Abbreviated commit id; null outside a git checkout. */
  commit: string | null;
  /** Whether files differ from the commit. */
  changed: boolean;
}

/** The directory does not contain a built checkout; the message names what is missing. */
export class NotBuilt extends Error {}

/** The program as separate modules, so that a profile names the module of each function. */
const UNBUNDLED_PROGRAM = 'target/cli/main.js';

/**
 * The words of the run command in deploy/service.toml, with additional Node options. The path of the settings
 * file must be appended.
 */
export function runCommand(directory: string, nodeOptions: string[]): string[] {
  const file = path.join(directory, 'deploy/service.toml');
  if (!existsSync(file))
    throw new NotBuilt(`--sources ${directory}: deploy/service.toml is missing`);
  const { run } = parse(readFileSync(file, 'utf8')) as { run: string };
  const words = run.split(' ');
  const program = words.find((word) => word.endsWith('.js'));
  if (program !== undefined && !existsSync(path.join(directory, program))) {
    throw new NotBuilt(
      `--sources ${directory}: ${program} is missing; build it with npm run build`,
    );
  }
  const [node, ...args] = words;
  return [node, ...nodeOptions, ...args];
}

/** The run command of a profiled controller, which writes its profile to the directory when it exits. */
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
