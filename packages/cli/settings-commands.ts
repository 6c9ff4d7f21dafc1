/** The commands about settings files: `check` and `schema`. */
import type { Command } from 'commander';
import { operatorSchema } from '#controller';
import { formatExamples } from './help.js';
import type { Output } from './output.js';
import { readSettings } from './settings-files.js';

/** Adds the commands `check` and `schema`. */
export function addSettingsCommands(program: Command, output: Output): void {
  program
    .command('check')
    .description('check settings files without starting a controller')
    .argument('<config>', "the platform's settings file (TOML)")
    .option('--with-operator <file>', "the operators' own settings (JSON)")
    .addHelpText(
      'after',
      formatExamples(
        'check examples/settings.toml',
        'check examples/settings.toml --with-operator examples/operator.json',
      ),
    )
    .action((config: string, options: { withOperator?: string }) => {
      readSettings({ config, operator: options.withOperator });
      output.out('settings are fine\n');
    });
  program
    .command('schema')
    .description("print the JSON schema of the operators' own settings")
    .addHelpText('after', formatExamples('schema > operator.schema.json'))
    .action(() => {
      output.out(`${JSON.stringify(operatorSchema, null, 2)}\n`);
    });
}
