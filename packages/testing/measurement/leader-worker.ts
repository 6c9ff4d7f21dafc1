/** Entry point of the process in which the measurement `leader` runs one benchmark. */
import { BENCHMARKS } from '../leader-load/leader-benchmarks.js';
import { type FleetRecords } from '../leader-load/fleet-records.js';
import { FleetFixture, SETTLED_AT } from '../leader-load/fleet-fixture.js';
import { SeededRandom } from '../random.js';

const EARLY_RUNS = 20;
const LATE_RUNS = 400;
/** Number of last runs from which the median is taken. */
const MEDIAN_RUNS = 100;
/** Simulated time from one run to the next, in seconds. */
const RUN_INTERVAL_S = 1 / 4;
/** Message from the parent process: the benchmark to run. */
export interface BenchmarkRequest {
  machines: number;
  records: FleetRecords;
  benchmark: string;
}

/** Message to the parent process: milliseconds of processor time. */
export interface BenchmarkResult {
  firstMs: number;
  earlyMs: number;
  lateMs: number;
}

function measure({ records, benchmark }: BenchmarkRequest): BenchmarkResult {
  const fixture = FleetFixture.fromRecords(records, new SeededRandom(2));
  const { prepare, run } = BENCHMARKS[benchmark];
  const times: number[] = [];
  for (let i = 0; i < LATE_RUNS; i++) {
    const now = SETTLED_AT + i * RUN_INTERVAL_S;
    prepare(fixture, now);
    const startedAt = process.cpuUsage();
    run(fixture, now);
    const { user, system } = process.cpuUsage(startedAt);
    times.push((user + system) / 1000);
    fixture.settle(now);
  }
  const early = times.slice(1, EARLY_RUNS);
  const late = times.slice(-MEDIAN_RUNS).sort((a, b) => a - b);
  return {
    firstMs: times[0],
    earlyMs: early.reduce((sum, each) => sum + each, 0) / early.length,
    lateMs: late[late.length >> 1],
  };
}

process.once('message', (request) => process.send?.(measure(request as BenchmarkRequest)));
