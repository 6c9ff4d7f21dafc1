import type { MachineType } from '#wire';

export const MACHINE_TYPE = 'gpu-8';

/** The only machine type of measured fleets; it has eight GPUs. */
export function machineType(zones: string[]): MachineType {
  return {
    name: MACHINE_TYPE,
    cpus: 96,
    gpus: 8,
    memory: 384,
    cacheGb: 600,
    fetchGbPerS: 5,
    price: 20,
    spotPrice: 6,
    bootS: 60,
    zones,
  };
}
