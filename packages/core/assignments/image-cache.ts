/** An estimate of the images that a machine's worker has fetched; the worker's own cache is authoritative. */
import type { Job } from '#wire';
import type { Machine } from '../model/entities.js';

/**
 * Records that the machine fetches or uses the job's image, and removes the images that its worker evicts for it: the
 * least recently used ones beyond `cacheGb`, in GB.
 */
export function recordImageUse(machine: Machine, job: Job, cacheGb: number): void {
  const { images } = machine;
  images.delete(job.image);
  images.set(job.image, job.imageGb);
  let heldGb = 0;
  for (const gb of images.values()) heldGb += gb;
  for (const [image, gb] of images) {
    if (heldGb <= cacheGb || images.size === 1) break;
    images.delete(image);
    heldGb -= gb;
  }
}
