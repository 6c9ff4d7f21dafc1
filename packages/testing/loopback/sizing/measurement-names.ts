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
