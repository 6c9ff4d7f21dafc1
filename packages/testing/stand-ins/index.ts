/**
 * Stand-ins for the systems around the controllers: users, workers, cloud, state service and load
 * balancer.
 */
export * from './balancer/index.js';
export * from './checker/index.js';
export * from './cloud/index.js';
export * from './events.js';
export * from './fleet.js';
export * from './http-server.js';
export * from './job-storage.js';
export * from './latency.js';
export * from './request-fault.js';
export * from './state/index.js';
export * from './worker/index.js';
export * from './users/index.js';
export * from './world-state.js';
export * from './workload/index.js';
