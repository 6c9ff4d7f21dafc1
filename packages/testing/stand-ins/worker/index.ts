/** Stand-ins for the workers of a fleet. */
export { GangRegistry } from './gang-registry.js';
export * from './late-heartbeats.js';
export type { ControllerAddress } from './controller-selector.js';
export * from './worker.js';
export * from './worker-environment.js';
