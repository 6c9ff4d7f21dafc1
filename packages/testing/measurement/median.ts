/** Returns the middle value, or the mean of the middle two; NaN if there are no values. */
export function median(values: number[]): number {
  const sorted = [...values].sort((first, second) => first - second);
  const half = sorted.length >> 1;
  return sorted.length % 2 === 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
}
