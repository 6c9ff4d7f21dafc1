import { currentLoad, type MachineSpeed, measureSpeed } from '../../measurement/machine-speed.js';
import type { MeasuredFigures } from './measurement.js';
import type { SizingOptions } from './options.js';
import { sourceVersion, type SourceVersion } from './sources.js';

/** The part of a result that is the same for all measurements of one run. */
export interface ResultContext {
  sources: SourceVersion;
  machine: MachineSpeed;
  size: ReturnType<typeof sizeOf>;
  nodeOptions: string[];
  /** Cores to which the throttle limited each controller; null if controllers were not throttled. */
  throttleCores: number | null;
}

/** One measurement as a JSON object; `load` is the machine's load average at the end of the measurement. */
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
