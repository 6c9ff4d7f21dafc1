/** The commands for the shard that holds the machines: `part show`, `part move` and `part withdraw`. */
import type { Command } from 'commander';
import {
  encodeMigration,
  encodeMigrationResult,
  MigrationRequests,
  type RequestOutcome,
  type ShardStatus,
} from '#shards';
import { NoAnswer, nodeRuntime, StateApi, StateRefused } from '#wire';
import type { PlatformSettings } from '#controller';
import { CommandError, ExitCode } from './command-error.js';
import { formatExamples } from './help.js';
import type { Output } from './output.js';
import { readSettings } from './settings-files.js';

/** Number of the shard that holds all machines. */
const SHARD = 0;
const REQUEST_TIMEOUT_MS = 2000;
const DEFAULT_WITHIN_S = 30;

interface ShardOptions {
  settings: string;
}

interface MoveOptions extends ShardOptions {
  reason: string;
  within: string;
}

const SETTINGS_OPTION = [
  '--settings <file>',
  "the platform's settings file of any controller (TOML)",
] as const;

/** Adds the commands `part show`, `part move` and `part withdraw`, for operators at a terminal. */
export function addShardCommands(program: Command, output: Output): void {
  const shard = program
    .command('part')
    .description('show and move the part: the shard that holds the machines');
  addShow(shard, output);
  addMove(shard, output);
  addWithdraw(shard);
}

function addShow(shard: Command, output: Output): void {
  shard
    .command('show')
    .description('print the owner of the part and its moves')
    .requiredOption(...SETTINGS_OPTION)
    .addHelpText('after', formatExamples('part show --settings examples/settings.toml'))
    .action(async (options: ShardOptions) => {
      const status = await withMigrationRequests('part show', options, (requests) =>
        requests.status(),
      );
      output.out(`${JSON.stringify(shardStatusToJson(status))}\n`);
    });
}

/** The status under the field names that operators' programs read, with migrations as the stored records. */
function shardStatusToJson({ shard, leader, migration, lastMigration }: ShardStatus): object {
  const isRecord = migration !== null && migration !== 'unreadable';
  return {
    part: shard,
    owner: leader,
    move: isRecord ? encodeMigration(migration) : migration,
    lastMove: lastMigration && encodeMigrationResult(lastMigration),
  };
}

function addMove(shard: Command, output: Output): void {
  shard
    .command('move')
    .description('move the part to another controller while its jobs keep running')
    .argument('<controller>', 'host_name of the controller')
    .requiredOption(...SETTINGS_OPTION)
    .option('--reason <text>', 'text that is stored with the move', '')
    .option('--within <seconds>', 'how long to wait for the move', String(DEFAULT_WITHIN_S))
    .addHelpText(
      'after',
      formatExamples('part move controller-1 --settings examples/settings.toml'),
    )
    .action(async (controller: string, options: MoveOptions) => {
      const withinS = parseSeconds(options.within);
      const name = requireKnownController(controller, options);
      const { reason } = options;
      const outcome = await withMigrationRequests(`part move ${name}`, options, (requests) =>
        requests.move(name, reason, withinS),
      );
      output.out(`${JSON.stringify(requireMigrated(name, outcome))}\n`);
    });
}

function addWithdraw(shard: Command): void {
  shard
    .command('withdraw')
    .description('withdraw a request to move the part')
    .requiredOption(...SETTINGS_OPTION)
    .addHelpText('after', formatExamples('part withdraw --settings examples/settings.toml'))
    .action(async (options: ShardOptions) => {
      const withdraw = (requests: MigrationRequests) => requests.withdraw('withdrawn');
      if (await withMigrationRequests('part withdraw', options, withdraw)) return;
      const why = 'there is no move that can be withdrawn';
      throw new CommandError(ExitCode.refused, `part withdraw: ${why}`);
    });
}

/** The object to print for a completed migration; throws CommandError if the migration was not completed. */
function requireMigrated(name: string, outcome: RequestOutcome): object {
  if (outcome.kind === 'moved') return { owner: name, term: outcome.term };
  if (outcome.kind === 'not-moved') {
    throw new CommandError(ExitCode.refused, `part move ${name}: ${outcome.reason}`);
  }
  const why =
    "the owner did not start it in time; is the section moves in its operators' settings?";
  throw new CommandError(ExitCode.noAnswer, `part move ${name}: withdrawn, ${why}`);
}

function parseSeconds(text: string): number {
  const value = text.trim() === '' ? NaN : Number(text);
  if (value > 0 && value < Infinity) return value;
  throw new CommandError(ExitCode.badInput, `--within ${text}: must be a number above 0`);
}

/** Returns the name if the settings contain such a controller; throws CommandError otherwise. */
function requireKnownController(name: string, { settings }: ShardOptions): string {
  const { host_name, peers } = readSettings({ config: settings });
  const names = [host_name, ...peers.map((peer) => peer.host_name)];
  if (names.includes(name)) return name;
  const known = names.sort().join(', ');
  throw new CommandError(
    ExitCode.badInput,
    `${name}: is not a controller; known controllers: ${known}`,
  );
}

/** Runs requests to the state service named in the settings; throws CommandError if it does not answer. */
async function withMigrationRequests<T>(
  subject: string,
  { settings }: ShardOptions,
  run: (requests: MigrationRequests) => Promise<T>,
): Promise<T> {
  const { external }: PlatformSettings = readSettings({ config: settings });
  const api = new StateApi(nodeRuntime, external.state, REQUEST_TIMEOUT_MS);
  try {
    return await run(new MigrationRequests(api, nodeRuntime.clock, SHARD));
  } catch (err) {
    if (!(err instanceof NoAnswer || err instanceof StateRefused)) throw err;
    const why = `no answer from the state service at ${external.state}: ${err.message}`;
    throw new CommandError(ExitCode.noAnswer, `${subject}: ${why}`, { cause: err });
  } finally {
    api.close();
  }
}
