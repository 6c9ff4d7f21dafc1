import { Command } from 'commander';
import { readFileSync } from 'node:fs';
import { ListenError, nodeRuntime } from '#wire';
import { BadSettings, Controller, loadSettings, makeLog, operatorSchema } from '#controller';
import { addUserCommands } from './user.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_CANNOT_LISTEN = 4;
const EXIT_UNEXPECTED = 5;

function version(): string {
  const file = new URL('../../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as { version: string }).version;
}

function load(config: string, operator: string | undefined) {
  try {
    return loadSettings(config, operator ?? null);
  } catch (err) {
    if (!(err instanceof BadSettings)) throw err;
    process.stderr.write(`${err.message}\n`);
    process.exit(EXIT_BAD_SETTINGS);
  }
}

async function serve(config: string, operator: string | undefined): Promise<void> {
  const settings = load(config, operator);
  const log = makeLog(nodeRuntime.clock, settings.host_name, process.env.LOG_LEVEL);
  const stop = new AbortController();
  for (const name of ['SIGINT', 'SIGTERM'] as const) process.once(name, () => stop.abort());
  // A fault in one request or duty is logged; the process goes on.
  process.on('uncaughtException', (err) => log.error({ err: err.stack }, 'unexpected'));
  process.on('unhandledRejection', (err) => {
    log.error({ err: err instanceof Error ? err.stack : String(err) }, 'unexpected');
  });
  log.info({ startedMs: Math.round(process.uptime() * 1000) }, 'controller');
  try {
    await new Controller(nodeRuntime, settings, log).run(stop.signal);
  } catch (err) {
    if (err instanceof ListenError) {
      log.error({ err: err.message }, 'cannot listen');
      process.exit(EXIT_CANNOT_LISTEN);
    }
    log.error({ err: err instanceof Error ? err.stack : String(err) }, 'unexpected');
    process.exit(EXIT_UNEXPECTED);
  }
}

const program = new Command('sorreldale')
  .description('A fair-share scheduler for fleets that serve language models')
  .version(version())
  .option('--config <file>', "run a controller with the platform's settings file (TOML)")
  .option('--operator <file>', "the operators' own settings (JSON)")
  .action(async (options: { config?: string; operator?: string }) => {
    if (options.config === undefined) program.help({ error: true });
    else await serve(options.config, options.operator);
  });

program
  .command('check')
  .description('check settings files without starting')
  .argument('<config>', "the platform's settings file (TOML)")
  .option('--with-operator <file>', "the operators' own settings (JSON)")
  .action((config: string, options: { withOperator?: string }) => {
    load(config, options.withOperator);
    process.stdout.write('settings are fine\n');
  });

program
  .command('schema')
  .description("print the JSON schema of the operators' own settings")
  .action(() => {
    process.stdout.write(`${JSON.stringify(operatorSchema, null, 2)}\n`);
  });

addUserCommands(program);
void program.parseAsync();
