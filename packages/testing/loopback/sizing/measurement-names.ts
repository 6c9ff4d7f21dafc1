/** Names of the measurements, in the order in which they run. */
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
