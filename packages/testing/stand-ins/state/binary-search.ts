/** Binary search in a sorted sequence that is read by its index. */

/** The first index from 0 to `length` for which `isBefore` is false; it must be true for all lower ones. */
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
