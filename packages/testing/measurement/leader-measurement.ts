/**
 * Measures the processor time of the work of a leader, for 200 machines unless another number is given. Each benchmark
 * runs in a process of its own, which reads the fleet from its records as a new leader does. Prints milliseconds of
 * processor time: the first run, the mean of the next runs, before the code is optimised, and the median of the last
 * runs, once it is compiled.
 */
import { fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';
import { BENCHMARKS } from '../leader-load/leader-benchmarks.js';
import { recordsOf } from '../leader-load/fleet-records.js';
import { FleetFixture } from '../leader-load/fleet-fixture.js';
import { nodeOptions } from '../../bundle/service-file.js';
import { SeededRandom } from '../random.js';
import type { BenchmarkRequest, BenchmarkResult } from './leader-worker.js';

/** Share of the accelerators that stays free. */
const FREE_SHARE = 0.03;
const WORKER = fileURLToPath(new URL('./leader-worker.js', import.meta.url));
const DEFAULT_MACHINES = 200;

async function runInOwnProcess(request: BenchmarkRequest): Promise<BenchmarkResult> {
  const child = fork(WORKER, [], { execArgv: nodeOptions() });
  child.send(request);
  const [measured] = (await once(child, 'message')) as [BenchmarkResult];
  child.disconnect();
  return measured;
}

/** Runs all benchmarks with the given number of machines and prints a line for each. Resolves with the exit code. */
export async function run([count]: string[]): Promise<number> {
  const machines = Number(count ?? DEFAULT_MACHINES);
  const fixture = FleetFixture.withMachines(machines, new SeededRandom(1));
  fixture.fill(FREE_SHARE);
  const records = recordsOf(fixture.fleet);
  const tasks = [...fixture.fleet.machines.values()].reduce((sum, m) => sum + m.tasks.size, 0);
  process.stdout.write(`${machines} machines, ${records.jobs.length} jobs, ${tasks} tasks\n`);
  for (const benchmark of Object.keys(BENCHMARKS)) {
    const { firstMs, earlyMs, lateMs } = await runInOwnProcess({ machines, records, benchmark });
    const texts = [firstMs, earlyMs, lateMs].map((ms) => ms.toFixed(3).padStart(9));
    process.stdout.write(`${texts.join('')}  ${benchmark}\n`);
  }
  return 0;
}
