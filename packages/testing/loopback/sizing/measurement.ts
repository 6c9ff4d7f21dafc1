import type { LoopbackCluster } from './cluster.js';
import type { Figure } from './figure.js';
import type { MeasurementName } from './measurement-names.js';
import type { SizingOptions } from './options.js';

/** Figures that were taken at one go. */
export interface MeasuredFigures {
  /** Its name; one that is about several roles adds the role. */
  measurement: MeasurementName | `${MeasurementName}, ${string}`;
  figures: Figure[];
}

/** Measures at a cluster whose fleet is full; leaves it so that others can go on there. */
export type Measure = (
  cluster: LoopbackCluster,
  options: SizingOptions,
) => Promise<MeasuredFigures[]>;
