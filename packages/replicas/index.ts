export * from './group.js';
export * from './group-machine.js';
export * from './replica-groups.js';
export * from './replica-rows.js';
export * from './shapes.js';
