/**
 * Moves the part hundreds of times between real controllers on the loopback, under load and with ends and standstills
 * of either side, and says what came of it: `node target/testing/measure-moves.js --help`. Exit code 1 if a rule was
 * broken, or if a machine had two owners.
 */
import { Command } from 'commander';
import { textTable } from './measuring/text-table.js';
import { type MoveRunResult, runMoves } from './moves/loopback-run.js';
import { readOptions } from './sizing/options.js';

interface Arguments {
  moves: string;
  every: string;
  faultEvery: string;
  machines: string;
  controllers: string;
}

const COLUMNS = [
  { heading: 'milliseconds' },
  ...['moves', 'median', '99th percentile', 'most'].map((heading) => ({ heading, isNumber: true })),
];

function distribution(name: string, values: number[]): string[] {
  const sorted = [...values].sort((one, other) => one - other);
  const at = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  const figures = [at(0.5), at(0.99), sorted.at(-1)].map((value) => (value ?? NaN).toFixed(0));
  return [name, String(values.length), ...figures];
}

function describe(result: MoveRunResult): string {
  const { moveMs, undecidedMs, breaches, violations, ...counts } = result;
  const rows = [
    distribution('from the request to the new owner', moveMs),
    distribution('without decisions', undecidedMs),
  ];
  const found = [...breaches, ...violations].map((each) => JSON.stringify(each));
  return [textTable(COLUMNS, rows), JSON.stringify(counts), ...found, ''].join('\n');
}

const program = new Command('measure-moves')
  .option('--moves <number>', 'moves that are asked for', '300')
  .option('--every <seconds>', 'from one move to the next', '0.5')
  .option('--fault-every <number>', 'one move in so many meets a fault; 0: none', '10')
  .option('--machines <number>', 'machines, each of which reports', '40')
  .option('--controllers <number>', 'controllers', '3')
  .parse();
const { moves, every, faultEvery, machines, controllers } = program.opts<Arguments>();
const sizing = readOptions(['--machines', machines, '--controllers', controllers]);
const options = {
  sizing,
  moves: Number(moves),
  everyS: Number(every),
  faultEvery: Number(faultEvery),
};
const result = await runMoves(options, (done) => {
  if (done % 20 === 0) process.stderr.write(`${done} moves\n`);
});
process.stdout.write(describe(result));
// Stand-ins may leave timers behind.
process.exit(result.breaches.length + result.violations.length > 0 ? 1 : 0);
