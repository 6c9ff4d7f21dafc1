/**
 * Replica groups: replicas of several members that start, serve and end together (docs/replica-groups.md). The package
 * keeps the state of the groups in memory. It imports `wire` and `core` only.
 */
export * from './replica-group.js';
export * from './group-state-machine.js';
export * from './replica-groups.js';
export * from './replica-rows.js';
export * from './replica-shapes.js';
