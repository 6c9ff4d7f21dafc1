/**
 * Measures the speed of the simulation in simulated seconds per second, for a small and a large cluster without
 * faults.
 */
import { currentLoad, describeMachine, measureSpeed } from './machine-speed.js';
import { type Column, formatNumber, textTable } from './text-table.js';
import { DEFAULT_CLASSES } from '../stand-ins/index.js';
import {
  LARGE_CLUSTER,
  SMALL_CLUSTER,
  type ClusterSettings,
} from '../simulation/cluster-settings.js';
import { runScenario } from '../simulation/run-scenario.js';

const LENGTH_S = 300;
const SEED = 1;

const COLUMNS: Column[] = [
  { heading: 'cluster' },
  { heading: 'simulated seconds per second', isNumber: true },
  { heading: 'per second of processor time', isNumber: true },
  { heading: 'events', isNumber: true },
  { heading: 'jobs', isNumber: true },
  { heading: 'tasks started', isNumber: true },
];

/** Simulates one cluster and returns its row of the table. */
async function measure(cluster: ClusterSettings, intensity: number): Promise<string[]> {
  const name = `${cluster.controllers} controllers, ${cluster.capacity[0].machines} machines`;
  const workload = { classes: DEFAULT_CLASSES, intensity, untilS: LENGTH_S };
  const scenario = { name, cluster, workload, faults: [], lengthS: LENGTH_S };
  const startedAtMs = performance.now();
  const usedBefore = process.cpuUsage();
  const { eventCount, counts } = await runScenario(scenario, SEED);
  const tookS = (performance.now() - startedAtMs) / 1000;
  const used = process.cpuUsage(usedBefore);
  const processorS = (used.user + used.system) / 1e6;
  const figures = [LENGTH_S / tookS, LENGTH_S / processorS, eventCount];
  return [name, ...[...figures, counts.jobsSubmitted, counts.tasksStarted].map(formatNumber)];
}

/** Prints one line for each cluster. Resolves with the exit code. */
export async function run(): Promise<number> {
  const rows = [await measure(SMALL_CLUSTER, 2), await measure(LARGE_CLUSTER, 8)];
  const load = currentLoad().toFixed(1);
  process.stdout.write(`${describeMachine(measureSpeed())}, load ${load}\n\n`);
  process.stdout.write(textTable(COLUMNS, rows));
  return 0;
}
