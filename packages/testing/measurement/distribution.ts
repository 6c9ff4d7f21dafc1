/** Table rows that describe distributions of times in milliseconds. */
import type { Column } from './text-table.js';

export const DISTRIBUTION_COLUMNS: Column[] = [
  { heading: 'milliseconds' },
  ...['number', 'median', '99th percentile', 'maximum'].map((heading) => ({
    heading,
    isNumber: true,
  })),
];

/** Returns a row: name, number of values, median, 99th percentile and maximum. */
export function distributionRow(name: string, values: number[]): string[] {
  const sorted = [...values].sort((one, other) => one - other);
  const percentile = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  const figures = [percentile(0.5), percentile(0.99), sorted.at(-1)].map((value) =>
    (value ?? NaN).toFixed(0),
  );
  return [name, String(values.length), ...figures];
}
