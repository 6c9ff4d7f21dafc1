import type { Command } from 'commander';
import { BadSettings, loadSettings, operatorSchema, type Settings } from '#controller';
import { CommandError, ExitCode } from './command-error.js';
import { examples } from './help.js';
import type { Output } from './output.js';

/** Reads the settings files; throws CommandError naming file, field and reason. */
export function readSettings(config: string, operator: string | undefined): Settings {
  try {
    return loadSettings(config, operator ?? null);
  } catch (err) {
    if (!(err instanceof BadSettings)) throw err;
    throw new CommandError(ExitCode.badInput, err.message);
  }
}

/** Adds check and schema. */
export function addSettingsCommands(program: Command, output: Output): void {
  program
    .command('check')
    .description('check settings files without starting')
    .argument('<config>', "the platform's settings file (TOML)")
    .option('--with-operator <file>', "the operators' own settings (JSON)")
    .addHelpText(
      'after',
      examples(
        'check examples/settings.toml',
        'check examples/settings.toml --with-operator examples/operator.json',
      ),
    )
    .action((config: string, options: { withOperator?: string }) => {
      readSettings(config, options.withOperator);
      output.out('settings are fine\n');
    });
  program
    .command('schema')
    .description("print the JSON schema of the operators' own settings")
    .addHelpText('after', examples('schema > operator.schema.json'))
    .action(() => output.out(`${JSON.stringify(operatorSchema, null, 2)}\n`));
}
