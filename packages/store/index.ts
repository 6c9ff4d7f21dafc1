export * from './budget.js';
export * from './cache.js';
export * from './client.js';
export * from './commit.js';
export * from './hedge.js';
export * from './ownership.js';
export * from './records.js';
export * from './txn-limits.js';
