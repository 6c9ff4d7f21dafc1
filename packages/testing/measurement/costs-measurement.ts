/**
 * Counts the requests, records, frames, timers and connections of the controllers of an idle simulated cluster. Prints
 * a table for each seed: counts per minute, per heartbeat and per job.
 */
import { type Column, textTable } from './text-table.js';
import type { Costs } from '../simulation/costs.js';
import { type CostRun, runForCosts } from './costs/cost-run.js';

const CONTROLLERS = 3;
const MACHINES = 50;
const SEEDS = [1, 2, 3];
const COLUMNS: Column[] = [
  { heading: '' },
  { heading: 'leader, minute', isNumber: true },
  { heading: 'leader, heartbeat', isNumber: true },
  { heading: 'standby, minute', isNumber: true },
  { heading: 'all, one job', isNumber: true },
];

function formatRun({ leaderMinute, standbyMinute, job }: CostRun): string {
  const names = Object.keys(leaderMinute) as (keyof Costs)[];
  const rows = names.map((name) => {
    const perHeartbeat = leaderMinute[name] / leaderMinute.heartbeats;
    const values = [leaderMinute[name], perHeartbeat, standbyMinute[name], job[name]];
    return [name, ...values.map((value) => String(Number(value.toFixed(2))))];
  });
  return textTable(COLUMNS, rows);
}

/** Prints the table of each seed; resolves with the exit code. */
export async function run(): Promise<number> {
  for (const seed of SEEDS) {
    const costs = await runForCosts({ controllers: CONTROLLERS, machines: MACHINES, seed });
    const size = `${CONTROLLERS} controllers, ${MACHINES} machines`;
    process.stdout.write(`${size}, seed ${seed}\n${formatRun(costs)}\n`);
  }
  return 0;
}
