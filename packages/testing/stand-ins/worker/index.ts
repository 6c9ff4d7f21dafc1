/** Stand-ins for the workers of a fleet. */
export { GangNetwork } from './gang-network.js';
export * from './late-heartbeats.js';
export type { ControllerAddress } from './node-choice.js';
export * from './worker.js';
export * from './worker-setup.js';
