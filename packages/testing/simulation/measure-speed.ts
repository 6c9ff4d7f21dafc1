/**
 * Measures how fast the simulated cluster plays: `node target/testing/simulation/measure-speed.js`.
 * Prints simulated seconds per second for a small and a large cluster on a day without faults.
 */
import { USUAL_CLASSES } from '../standins/index.js';
import { LARGE_CLUSTER, SMALL_CLUSTER, type ClusterSettings } from './cluster-settings.js';
import { runScenario } from './run-scenario.js';

const LENGTH_S = 300;
const SEED = 1;

async function measure(name: string, cluster: ClusterSettings, intensity: number): Promise<void> {
  const workload = { classes: USUAL_CLASSES, intensity, untilS: LENGTH_S };
  const scenario = { name, cluster, workload, faults: [], lengthS: LENGTH_S };
  const startedAtMs = performance.now();
  const usedBefore = process.cpuUsage();
  const { eventCount, counts } = await runScenario(scenario, SEED);
  const tookS = (performance.now() - startedAtMs) / 1000;
  const used = process.cpuUsage(usedBefore);
  const processorS = (used.user + used.system) / 1e6;
  process.stdout.write(
    `${name}: ${(LENGTH_S / tookS).toFixed(1)} simulated seconds per second, ` +
      `${(LENGTH_S / processorS).toFixed(1)} per second of processor time; ` +
      `${eventCount} events, ${counts.jobsSubmitted} jobs, ${counts.tasksStarted} tasks started\n`,
  );
}

await measure('3 controllers, 12 machines', SMALL_CLUSTER, 2);
await measure('7 controllers, 60 machines', LARGE_CLUSTER, 8);
