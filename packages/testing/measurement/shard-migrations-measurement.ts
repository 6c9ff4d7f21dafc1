/**
 * Migrates the shard hundreds of times between real controllers on the loopback, under load and while the source or the
 * target crashes or freezes, and prints the outcome. The exit code is 1 if a rule was violated or if a machine had two
 * leaders.
 */
import { Command } from 'commander';
import { DISTRIBUTION_COLUMNS, distributionRow } from './distribution.js';
import { textTable } from './text-table.js';
import {
  type MigrationRunResult,
  runMigrations,
} from '../loopback/shard-migrations/loopback-run.js';
import { readOptions } from '../loopback/sizing/options.js';

interface Arguments {
  moves: string;
  every: string;
  faultEvery: string;
  machines: string;
  controllers: string;
}

function formatResult(result: MigrationRunResult): string {
  const { moveMs, undecidedMs, breaches, violations, ...counts } = result;
  const rows = [
    distributionRow('from the request to the new leader', moveMs),
    distributionRow('without scheduling decisions', undecidedMs),
  ];
  const found = [...breaches, ...violations].map((each) => JSON.stringify(each));
  return [textTable(DISTRIBUTION_COLUMNS, rows), JSON.stringify(counts), ...found, ''].join('\n');
}

/** Migrates the shard as the arguments say. Resolves with the exit code: 1 if a rule was violated. */
export async function run(args: string[]): Promise<number> {
  const program = new Command('shard-migrations')
    .option('--moves <number>', 'number of migrations to request', '300')
    .option('--every <seconds>', 'time from one migration to the next', '0.5')
    .option('--fault-every <number>', 'every n-th migration meets a fault; 0: none', '10')
    .option('--machines <number>', 'machines, each of which sends heartbeats', '40')
    .option('--controllers <number>', 'number of controllers', '3')
    .parse(args, { from: 'user' });
  const { moves, every, faultEvery, machines, controllers } = program.opts<Arguments>();
  const sizing = readOptions(['--machines', machines, '--controllers', controllers]);
  const options = {
    sizing,
    moves: Number(moves),
    everyS: Number(every),
    faultEvery: Number(faultEvery),
  };
  const result = await runMigrations(options, (done) => {
    if (done % 20 === 0) process.stderr.write(`${done} migrations\n`);
  });
  process.stdout.write(formatResult(result));
  return result.breaches.length + result.violations.length > 0 ? 1 : 0;
}
