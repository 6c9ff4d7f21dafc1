/** Measures the memory that objects of a test take. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

let collectGarbage: (() => void) | null = null;

/**
 * Bytes of the heap and of array buffers that are in use after a garbage collection. Changes an option of V8 with its
 * first call, after which this process writes no code cache that a controller accepts.
 */
export function usedMemoryBytes(): number {
  collectGarbage ??= exposeGarbageCollection();
  collectGarbage();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

function exposeGarbageCollection(): () => void {
  setFlagsFromString('--expose-gc');
  return runInNewContext('gc') as () => void;
}
