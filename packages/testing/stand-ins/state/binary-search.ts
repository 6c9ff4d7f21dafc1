/** Binary search over the indexes of a sorted sequence. */

/**
 * Returns the first index for which `isBefore` is false, or `length` if there is none. `isBefore` must be true for all
 * lower indexes and false for all higher ones.
 */
export function lowerBound(length: number, isBefore: (index: number) => boolean): number {
  let low = 0;
  let high = length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (isBefore(middle)) low = middle + 1;
    else high = middle;
  }
  return low;
}
