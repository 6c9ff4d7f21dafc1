/** Speed of this machine, so that results of different machines can be compared. */
import { availableParallelism, cpus, loadavg } from 'node:os';

/** The machine on which a measurement runs. */
export interface MachineSpeed {
  model: string;
  cores: number;
  node: string;
  /** Processor time of a fixed calibration workload in milliseconds, the minimum of several runs. */
  calibrationMs: number;
}

/** Average number of processes that ran or waited for a processor over the last minute. */
export function currentLoad(): number {
  return loadavg()[0];
}

/** Describes the machine in one line. */
export function describeMachine({ cores, model, node, calibrationMs }: MachineSpeed): string {
  return `${cores} cores, ${model}, Node ${node}; calibration ${calibrationMs.toFixed(0)} ms`;
}

const RUNS = 5;
const ROUNDS = 40_000;

export function measureSpeed(): MachineSpeed {
  return {
    model: cpus()[0]?.model ?? 'unknown',
    cores: availableParallelism(),
    node: process.version,
    calibrationMs: Math.min(...Array.from({ length: RUNS }, timeWork)),
  };
}

function timeWork(): number {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000;
}

/** Calibration workload: JSON, strings, maps and numbers, as a controller handles them. */
function work(): number {
  const counts = new Map<string, number>();
  let total = 0;
  for (let round = 0; round < ROUNDS; round++) {
    const text = JSON.stringify({ machine: `n-${round % 500}`, tasks: [round, round + 1] });
    const { machine, tasks } = JSON.parse(text) as { machine: string; tasks: number[] };
    counts.set(machine, (counts.get(machine) ?? 0) + tasks.length);
    total += Buffer.from(text).reduce((sum, byte) => sum + byte, 0);
  }
  return total + counts.size;
}
