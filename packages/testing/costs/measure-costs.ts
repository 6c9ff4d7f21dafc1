/**
 * Counts what the controllers of a quiet simulated cluster do: `node target/testing/costs/measure-costs.js`. Prints
 * a table for each seed: requests, records, frames, timers and the like, by minute, report and job.
 */
import { type CostRun, runForCosts } from './cost-run.js';
import type { Costs } from '../simulation/costs.js';

const CONTROLLERS = 3;
const MACHINES = 50;
const SEEDS = [1, 2, 3];
const NAME_WIDTH = 16;
const COLUMN_WIDTH = 15;
const HEADING = ['owner, minute', 'owner, report', 'other, minute', 'one job, all'];

function formatRow(name: string, cells: string[]): string {
  return `${name.padEnd(NAME_WIDTH)}${cells.map((cell) => cell.padStart(COLUMN_WIDTH)).join('')}\n`;
}

function formatRun({ ownerMinute, standbyMinute, job }: CostRun): string {
  const names = Object.keys(ownerMinute) as (keyof Costs)[];
  const rows = names.map((name) => {
    const perReport = ownerMinute[name] / ownerMinute.reports;
    const values = [ownerMinute[name], perReport, standbyMinute[name], job[name]];
    return formatRow(
      name,
      values.map((value) => String(Number(value.toFixed(2)))),
    );
  });
  return [formatRow('', HEADING), ...rows].join('');
}

for (const seed of SEEDS) {
  const run = await runForCosts({ controllers: CONTROLLERS, machines: MACHINES, seed });
  const size = `${CONTROLLERS} controllers, ${MACHINES} machines`;
  process.stdout.write(`${size}, seed ${seed}\n${formatRun(run)}\n`);
}
