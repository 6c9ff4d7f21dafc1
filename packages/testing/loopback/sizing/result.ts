import { currentLoad, type MachineSpeed, measureSpeed } from '../../measurement/machine-speed.js';
import type { MeasuredFigures } from './measurement.js';
import type { SizingOptions } from './options.js';
import { sourceVersion, type SourceVersion } from './sources.js';

/** What all results of one run have in common. */
export interface ResultContext {
  sources: SourceVersion;
  machine: MachineSpeed;
  size: ReturnType<typeof sizeOf>;
  nodeOptions: string[];
  /** Cores that each controller was held to by stopping and continuing it; null: it was not. */
  throttleCores: number | null;
}

/** One measurement as a JSON object; `load` is that of the machine when it ended. */
export interface Result extends MeasuredFigures, ResultContext {
  load: number;
}

export function resultContext(options: SizingOptions): ResultContext {
  const { sources, nodeOptions, throttleCores } = options;
  const machine = measureSpeed();
  return {
    sources: sourceVersion(sources),
    machine,
    size: sizeOf(options),
    nodeOptions,
    throttleCores,
  };
}

export function makeResult(measured: MeasuredFigures, context: ResultContext): Result {
  return { ...measured, load: currentLoad(), ...context };
}

function sizeOf({ cluster, machines, jobsPerMinute }: SizingOptions) {
  const { workers, state, limits } = cluster.deployment;
  return { controllers: cluster.controllers, machines, jobsPerMinute, workers, state, limits };
}
