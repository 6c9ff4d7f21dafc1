/** Stand-in of the state service. */
export * from './key-store.js';
export * from './state-service.js';
export type { StateServiceLimits } from './txn-limits.js';
