/** Rows of tables that say how milliseconds are distributed. */
import type { Column } from './text-table.js';

export const DISTRIBUTION_COLUMNS: Column[] = [
  { heading: 'milliseconds' },
  ...['number', 'median', '99th percentile', 'most'].map((heading) => ({
    heading,
    isNumber: true,
  })),
];

/** A name, how many there are, median, 99th percentile and the most. */
export function distributionRow(name: string, values: number[]): string[] {
  const sorted = [...values].sort((one, other) => one - other);
  const percentile = (share: number) =>
    sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
  const figures = [percentile(0.5), percentile(0.99), sorted.at(-1)].map((value) =>
    (value ?? NaN).toFixed(0),
  );
  return [name, String(values.length), ...figures];
}
