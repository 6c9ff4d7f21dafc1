/** Reads the settings files of a controller. */
import { SettingsError, loadSettings, type Settings } from '#controller';
import { CommandError, ExitCode } from './command-error.js';

/** Paths of a controller's settings files. */
export interface SettingsFiles {
  /** The platform's settings (TOML). */
  config: string;
  /** The operators' own settings (JSON), if there are any. */
  operator?: string;
}

/** Reads the settings files; throws CommandError, which names file, field and reason. */
export function readSettings({ config, operator }: SettingsFiles): Settings {
  try {
    return loadSettings(config, operator ?? null);
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    throw new CommandError(ExitCode.badInput, err.message, { cause: err });
  }
}

/**
 * Parses the arguments of a controller: `--config FILE`, with or without `--operator FILE`. Null for all other
 * arguments, which commander parses. A controller does not load commander, which took a tenth of its start time.
 */
export function parseControllerArguments(args: string[]): SettingsFiles | null {
  const files: Partial<SettingsFiles> = {};
  for (let at = 0; at < args.length; at += 2) {
    const option = args[at];
    const file = args.at(at + 1);
    if (file === undefined || file.startsWith('-')) return null;
    if (option === '--config') files.config = file;
    else if (option === '--operator') files.operator = file;
    else return null;
  }
  const { config, operator } = files;
  return config === undefined ? null : { config, operator };
}
