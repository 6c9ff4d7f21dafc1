import type { LoopbackCluster } from './cluster.js';
import type { Figure } from './figure.js';
import type { SizingOptions } from './options.js';

/** What can be measured, in the order in which it is. */
export const MEASUREMENTS = [
  'start',
  'owner',
  'standby',
  'burst',
  'large-jobs',
  'array',
  'take-over',
  'restart',
  'causes',
] as const;

export type MeasurementName = (typeof MEASUREMENTS)[number];

/** Figures that were taken at one go. */
export interface Measured {
  /** Its name; one that is about several roles adds the role. */
  measurement: MeasurementName | `${MeasurementName}, ${string}`;
  figures: Figure[];
}

/** Measures at a cluster whose fleet is full; leaves it so that others can go on there. */
export type Measure = (cluster: LoopbackCluster, options: SizingOptions) => Promise<Measured[]>;
