/** Stand-in of the cloud that provisions machines. */
export * from './boot-times.js';
export type { CapacityLimit } from './capacity.js';
export * from './cloud-service.js';
export * from './provisioned-machine.js';
