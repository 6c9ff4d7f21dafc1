/** Assembles the commands of the command line. */
import { Command, CommanderError } from 'commander';
import { readFileSync } from 'node:fs';
import { ExitCode } from './command-error.js';
import { formatExamples } from './help.js';
import type { Output } from './output.js';
import { addShardCommands } from './shard-commands.js';
import { addReplicaCommands } from './replica-commands.js';
import { serve } from './serve.js';
import { addSettingsCommands } from './settings-commands.js';
import type { SettingsFiles } from './settings-files.js';
import { addUserCommands } from './user-commands.js';

/** Runs the command that the arguments name; throws CommandError if it fails. */
export async function runCommand(args: string[], output: Output): Promise<ExitCode> {
  try {
    await makeProgram(output).parseAsync(args, { from: 'user' });
    return ExitCode.done;
  } catch (err) {
    if (!(err instanceof CommanderError)) throw err;
    // Commander has already written its error message, or the requested help.
    return err.exitCode === 0 ? ExitCode.done : ExitCode.badInput;
  }
}

function makeProgram(output: Output): Command {
  const program = new Command('sorreldale')
    .description('A fair-share scheduler for fleets that serve language models')
    .version(readVersion())
    .exitOverride()
    .showSuggestionAfterError(false)
    .configureOutput({ writeOut: output.out, writeErr: output.err })
    .option('--config <file>', "run a controller with the platform's settings file (TOML)")
    .option('--operator <file>', "the operators' own settings (JSON)")
    .addHelpText(
      'after',
      formatExamples(
        '--config examples/settings.toml',
        '--config examples/settings.toml --operator examples/operator.json',
      ),
    )
    .action(async ({ config, operator }: Partial<SettingsFiles>) => {
      if (config === undefined) program.help({ error: true });
      else await serve({ config, operator });
    });
  addSettingsCommands(program, output);
  addUserCommands(program, output);
  addShardCommands(program, output);
  addReplicaCommands(program, output);
  return program;
}

function readVersion(): string {
  const file = new URL('../../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as { version: string }).version;
}
