import type { LoopbackCluster } from './cluster.js';
import type { Figure } from './figure.js';
import type { MeasurementName } from './measurement-names.js';
import type { SizingOptions } from './options.js';

/** The figures of one run of a measurement. */
export interface MeasuredFigures {
  /** Name of the measurement, with the role of the controller if it measures several roles. */
  measurement: MeasurementName | `${MeasurementName}, ${string}`;
  figures: Figure[];
}

/**
 * Measures a cluster whose fleet has reached its full size. The cluster is ready for the next measurement
 * afterwards.
 */
export type Measure = (
  cluster: LoopbackCluster,
  options: SizingOptions,
) => Promise<MeasuredFigures[]>;
