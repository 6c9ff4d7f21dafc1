/**
 * Replicas of several members, which start, serve and end together (docs/replica-groups.md). The package owns the state
 * of the groups in memory; it imports `wire` and `core` only.
 */
export * from './replica-group.js';
export * from './group-state-machine.js';
export * from './replica-groups.js';
export * from './replica-rows.js';
export * from './replica-shapes.js';
