/** Derives the memory that jobs may take from the limits of a controller. */
import type { DeploymentSettings } from '../settings/platform-settings.js';
import type { JobMemoryLimits } from './job-memory.js';

const BYTES_PER_MB = 2 ** 20;
/** Memory of a leader's process outside its heap and besides its sockets: the program, libraries and buffers. */
const PROCESS_BYTES = 60 * BYTES_PER_MB;
/** Memory for each socket that the process may open, with what a leader keeps of a machine behind some of them. */
const SOCKET_BYTES = 12 * 1024;
/** Live heap of a leader without machines and jobs. */
const EMPTY_HEAP_BYTES = 11 * BYTES_PER_MB;
/** Ratio of the heap before a garbage collection to the live heap; `--heap-growing-percent` in the run line sets it. */
export const HEAP_GROWTH = 1.3;
/**
 * Share of the remaining heap that is for jobs. The rest is for pages of records that are being read, and for jobs that
 * other controllers have accepted but that are not known here yet.
 */
const JOBS_SHARE = 0.85;
/** Least share of the memory that jobs may take, for processes that are smaller than expected. */
const MIN_JOBS_SHARE = 1 / 32;

/** The limits of the memory for jobs of a controller with these settings. */
export function jobMemoryLimits({ limits, teams }: DeploymentSettings): JobMemoryLimits {
  const memoryBytes = limits.memory_mb * BYTES_PER_MB;
  const heapBytes = (memoryBytes - PROCESS_BYTES - limits.sockets * SOCKET_BYTES) / HEAP_GROWTH;
  const jobBytes = JOBS_SHARE * (heapBytes - EMPTY_HEAP_BYTES);
  return {
    limitBytes: Math.max(MIN_JOBS_SHARE * memoryBytes, jobBytes),
    teams: Math.max(1, teams.length),
  };
}
